//! Back ends that refuse requests, forwarded from one router to the others.
//!
//! A back end refuses requests for some hundred milliseconds: while it loads weights, while its
//! queue is full, or when its weights differ from those that routers expect because an order took
//! effect after it seemed lost and no heartbeat has shown that yet. Without notification, each of
//! hundreds of routers would send it a request to find out.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore};
use crate::Message;

/// Minimum interval between two notifications of one back end. Routers avoid the back end for
/// longer than this.
const RENOTIFY_INTERVAL: Duration = Duration::from_millis(200);

/// Time of the last notification of routers, by the back end's [`crate::LoadEntry::key_of`].
#[derive(Debug, Default)]
pub(super) struct Refusing(BTreeMap<u32, Timestamp>);

impl<D: Directory> ControlCore<D> {
    /// Processes a router's report of back ends that refused its requests. The leader notifies the
    /// other routers.
    pub(super) fn on_refusing(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let notified = &mut self.refusing.0;
        notified.retain(|_, at| now.since(*at) < RENOTIFY_INTERVAL);
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
        let message = Message::RefusingBackEnds(List::new(new));
        self.broadcast_news(message, Some(from));
    }
}
