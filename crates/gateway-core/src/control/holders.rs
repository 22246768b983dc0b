//! What routers learn of the caches of back ends, forwarded to the other routers.

use std::collections::VecDeque;

use drumshore_consensus::{Directory, Role};
use drumshore_wire::List;

use super::ControlCore;
use crate::{HolderEntry, Message};

/// Bandwidth per router for holders, out of 14 KB/s for all control traffic.
const MAX_BYTES_PER_SECOND: f64 = 3_000.0;
/// Limit on queued entries; beyond it the oldest are dropped, as they are the most likely to be
/// outdated.
const MAX_QUEUED: usize = 256;

/// Entries that are to be sent to routers.
#[derive(Debug, Default)]
pub(super) struct HolderQueue(VecDeque<HolderEntry>);

impl<D: Directory> ControlCore<D> {
    /// Queues the holders that a router reports. Only the leader forwards them.
    pub(super) fn on_holders(&mut self, entries: &[HolderEntry]) {
        if self.role() != Role::Leader {
            return;
        }
        let queue = &mut self.holder_queue.0;
        queue.extend(entries);
        let surplus = queue.len().saturating_sub(MAX_QUEUED);
        queue.drain(..surplus);
    }

    /// Sends queued holders to all routers, as many as the bandwidth allows. The routers that
    /// reported them receive them too.
    pub(super) fn broadcast_holders(&mut self) {
        let budget = MAX_BYTES_PER_SECOND * self.params.tick.as_secs_f64();
        let entries = (budget / HolderEntry::BYTES as f64) as usize;
        let queue = &mut self.holder_queue.0;
        let batch: Vec<HolderEntry> = queue.drain(..entries.min(queue.len())).collect();
        if batch.is_empty() {
            return;
        }
        let message = Message::Holders(List::new(batch));
        self.broadcast_news(message, None);
    }
}
