//! Back ends that turn requests away, passed on from one router to the others.
//!
//! A back end refuses for some hundred milliseconds: while it loads weights, while its queue is
//! full, or when it holds other weights than routers believe, because an order was carried out
//! after it seemed lost and no heartbeat has told so yet. Of hundreds of routers each would send it a request of its own to learn that.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::Message;

/// A back end is passed on again after this long; routers avoid it for longer, see
/// `REFUSING_PAUSE` there.
const TELL_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Back ends by [`crate::LoadEntry::key_of`], and when the routers were told last.
#[derive(Debug, Default)]
pub(super) struct Refusing(BTreeMap<u32, Timestamp>);

impl<D: Directory> ControlCore<D> {
    /// Back ends turned a router's requests away. The leader tells the other routers.
    pub(super) fn on_refusing(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let told = &mut self.refusing.0;
        told.retain(|_, at| now.since(*at) < TELL_AGAIN_AFTER);
        let mut new = Vec::new();
        for key in keys {
            told.entry(*key).or_insert_with(|| {
                new.push(*key);
                now
            });
        }
        if new.is_empty() {
            return;
        }
        let others = self.routers.connections().into_iter();
        for connection in others.filter(|connection| *connection != from) {
            let message = Message::Refusing(List::new(new.clone()));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }
}
