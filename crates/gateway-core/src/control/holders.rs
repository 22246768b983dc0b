//! What routers learned of the caches of back ends, on its way from one router to the others.

use std::collections::VecDeque;

use drumshore_consensus::{Directory, Role};
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::{HolderEntry, Message};

/// Bytes a second that this may cost one router, of 14 KB/s for all control traffic.
const BYTES_PER_SECOND: f64 = 3_000.0;
/// Entries that wait for their turn; beyond it the oldest are dropped, for what they tell is the
/// least likely to hold still.
const MOST_WAITING: usize = 256;

/// Entries that the other routers are still to be told.
#[derive(Debug, Default)]
pub(super) struct HolderNews(VecDeque<(ConnectionId, HolderEntry)>);

impl<D: Directory> ControlCore<D> {
    /// Takes in what a router learned. Only the leader passes it on.
    pub(super) fn on_holders(&mut self, from: ConnectionId, entries: &[HolderEntry]) {
        if self.role() != Role::Leader {
            return;
        }
        let waiting = &mut self.holder_news.0;
        waiting.extend(entries.iter().map(|entry| (from, *entry)));
        let surplus = waiting.len().saturating_sub(MOST_WAITING);
        waiting.drain(..surplus);
    }

    /// Tells each router what the others learned, as much as its part of the traffic allows.
    pub(super) fn share_holders(&mut self) {
        let budget = BYTES_PER_SECOND * self.params.tick.as_secs_f64();
        let entries = (budget / HolderEntry::BYTES as f64) as usize;
        let waiting = &mut self.holder_news.0;
        let told: Vec<_> = waiting.drain(..entries.min(waiting.len())).collect();
        if told.is_empty() {
            return;
        }
        // Most routers learned none of it themselves and are sent the same.
        let (sources, strangers): (Vec<_>, Vec<_>) = self
            .routers
            .connections()
            .into_iter()
            .partition(|connection| told.iter().any(|(from, _)| from == connection));
        let all = told.iter().map(|(_, entry)| *entry).collect();
        let message = Message::Holders(List::new(all));
        self.effects.push(Effect::ToRouters(strangers, message));
        for connection in sources {
            let others = told.iter().filter(|(from, _)| *from != connection);
            let entries: Vec<HolderEntry> = others.map(|(_, entry)| *entry).collect();
            if !entries.is_empty() {
                let message = Message::Holders(List::new(entries));
                self.effects.push(Effect::ToRouter(connection, message));
            }
        }
    }
}
