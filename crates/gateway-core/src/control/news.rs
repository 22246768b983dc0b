//! What the leader tells all routers, by way of the control machines that they follow.
//!
//! Sent to each router by the leader, it would cross zones once for each router, and the leader of a large fleet
//! would do little else. Each other machine gets it once and passes it on to the routers that follow it.
//!
//! Only what heals by itself goes this way, for a machine may be lost with what it was to pass on: whole lists of
//! loads come again each 0.8 s, silent back ends are named again each second, refusing ones each 0.2 s, and what
//! is not heard of caches costs a read.

use drumshore_consensus::{Directory, Role};
use drumshore_wire::Blob;

use super::{ConnectionId, ControlCore, Effect};
use crate::Message;

impl<D: Directory> ControlCore<D> {
    /// Tells all routers, `except` one that need not hear it.
    pub(super) fn tell_all(&mut self, message: Message, except: Option<ConnectionId>) {
        if self.role() == Role::Leader {
            self.tell_other_machines(&message);
        }
        let mut receivers = self.routers.receivers_of_news();
        receivers.retain(|connection| Some(*connection) != except);
        if !receivers.is_empty() {
            self.effects.push(Effect::ToRouters(receivers, message));
        }
    }

    fn tell_other_machines(&mut self, message: &Message) {
        let own = super::address_of(self.replica.raft().id());
        let news = Message::News(Blob::new(message.encode()));
        for address in self.controls() {
            if address != own {
                self.effects.push(Effect::ToControl(address, news.clone()));
            }
        }
    }

    /// Passes on what the leader tells. A machine that has just lost the lead may still tell something; it is as
    /// true as what arrived a moment before.
    pub(super) fn on_news(&mut self, news: &Blob) {
        match Message::decode(&news.bytes) {
            Some(message) if is_news(&message) => {
                if self.role() != Role::Leader {
                    self.tell_all(message, None);
                }
            }
            _ => self.effects.push(Effect::NewsRefused),
        }
    }
}

/// Nothing else is passed on to routers.
fn is_news(message: &Message) -> bool {
    matches!(
        message,
        Message::LoadsOfAll { .. }
            | Message::Holders(_)
            | Message::Suspects(_)
            | Message::Refusing(_)
    )
}
