//! Back ends that turn requests away, passed on from one router to the others.
//!
//! A back end refuses for some hundred milliseconds: while it loads weights, while its queue is
//! full, or when it holds other weights than routers believe, because an order was carried out
//! after it seemed lost and no heartbeat has shown that yet. Of hundreds of routers each would send
//! it a request of its own to learn that.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore};
use crate::Message;

/// Between two notifications of one back end. Routers avoid it for longer, see their
/// `REFUSING_PAUSE`.
const NOTIFY_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Back ends by [`crate::LoadEntry::key_of`], and when routers were last notified.
#[derive(Debug, Default)]
pub(super) struct Refusing(BTreeMap<u32, Timestamp>);

impl<D: Directory> ControlCore<D> {
    /// Back ends turned a router's requests away. The leader notifies the other routers.
    pub(super) fn on_refusing(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let notified = &mut self.refusing.0;
        notified.retain(|_, at| now.since(*at) < NOTIFY_AGAIN_AFTER);
        let mut new = Vec::new();
        for key in keys {
            notified.entry(*key).or_insert_with(|| {
                new.push(*key);
                now
            });
        }
        if new.is_empty() {
            return;
        }
        let message = Message::Refusing(List::new(new));
        self.tell_all(message, Some(from));
    }
}
