//! What routers learned of the caches of back ends, on its way from one router to the others.

use std::collections::VecDeque;

use drumshore_consensus::{Directory, Role};
use drumshore_wire::List;

use super::ControlCore;
use crate::{HolderEntry, Message};

/// Bytes a second that this may cost one router, of 14 KB/s for all control traffic.
const BYTES_PER_SECOND: f64 = 3_000.0;
/// Entries that wait for their turn; beyond it the oldest are dropped, for what they tell is the
/// least likely to hold still.
const MOST_WAITING: usize = 256;

/// Entries that routers are still to be told.
#[derive(Debug, Default)]
pub(super) struct HolderNews(VecDeque<HolderEntry>);

impl<D: Directory> ControlCore<D> {
    /// Takes in what a router learned. Only the leader passes it on.
    pub(super) fn on_holders(&mut self, entries: &[HolderEntry]) {
        if self.role() != Role::Leader {
            return;
        }
        let waiting = &mut self.holder_news.0;
        waiting.extend(entries);
        let surplus = waiting.len().saturating_sub(MOST_WAITING);
        waiting.drain(..surplus);
    }

    /// Tells all routers what some learned, as much as a router's part of the traffic allows. Those that learned
    /// it themselves hear what they know.
    pub(super) fn share_holders(&mut self) {
        let budget = BYTES_PER_SECOND * self.params.tick.as_secs_f64();
        let entries = (budget / HolderEntry::BYTES as f64) as usize;
        let waiting = &mut self.holder_news.0;
        let told: Vec<HolderEntry> = waiting.drain(..entries.min(waiting.len())).collect();
        if told.is_empty() {
            return;
        }
        let message = Message::Holders(List::new(told));
        self.tell_all(message, None);
    }
}
