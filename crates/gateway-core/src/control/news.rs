//! News of the leader, which is its updates on loads, caches, speeds, and unresponsive and refusing
//! back ends. It reaches routers through the control machines that they follow.
//!
//! If the leader sent it to each router, it would cross zones once per router and take up most of
//! the leader's capacity in a large fleet. Instead each other control machine gets it once and
//! forwards it to the routers that follow it.
//!
//! Only updates that tolerate loss are sent this way, because a machine may fail before it forwards
//! them: full lists of loads are repeated every 0.8 s, unresponsive back ends every second and
//! refusing ones every 0.2 s, tenants' demand every 0.5 s while it matters, speeds every few
//! seconds, and a lost update on caches costs one prefill of the prompt.

use drumshore_consensus::{Directory, Role};
use drumshore_wire::Blob;

use super::{ConnectionId, ControlCore, Effect};
use crate::Message;

impl<D: Directory> ControlCore<D> {
    /// Sends a message to all routers, `except` the one that need not receive it.
    pub(super) fn broadcast_news(&mut self, message: Message, except: Option<ConnectionId>) {
        if self.role() == Role::Leader {
            self.forward_to_other_controls(&message);
        }
        let mut receivers = self.routers.news_receivers();
        receivers.retain(|connection| Some(*connection) != except);
        if !receivers.is_empty() {
            self.effects.push(Effect::ToRouters(receivers, message));
        }
    }

    fn forward_to_other_controls(&mut self, message: &Message) {
        let own = super::address_of(self.replica.raft().id());
        let news = Message::News(Blob::new(message.encode()));
        for address in self.controls() {
            if address != own {
                self.effects.push(Effect::ToControl(address, news.clone()));
            }
        }
    }

    /// Forwards news of the leader to the routers that follow this machine. News of a machine that
    /// has just lost leadership is accepted, as it is as valid as news that arrived a moment
    /// earlier.
    pub(super) fn on_news(&mut self, news: &Blob) {
        match Message::decode(&news.bytes) {
            Some(message) if is_news(&message) => {
                if self.role() != Role::Leader {
                    if let Message::BackEndSpeeds(news) = &message {
                        self.on_speed_news(news);
                    }
                    self.broadcast_news(message, None);
                }
            }
            _ => self.effects.push(Effect::NewsRefused),
        }
    }
}

/// Whether a message is news; no other message is forwarded to routers.
fn is_news(message: &Message) -> bool {
    matches!(
        message,
        Message::LoadsOfAll { .. }
            | Message::Holders(_)
            | Message::UnresponsiveBackEnds(_)
            | Message::RefusingBackEnds(_)
            | Message::BackEndSpeeds(_)
            | Message::TenantDemands { .. }
    )
}
