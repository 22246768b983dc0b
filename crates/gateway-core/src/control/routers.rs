//! Routers that are linked to this machine: who they are, and what they are told.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::Text;

use super::directory;
use super::loads::{LoadReport, Totals};
use super::reads::Waiting;
use super::{ConnectionId, ControlCore, Effect};
use crate::{Announcement, Following, Message, Position, RouterStatus};

/// A router that asked nothing for so long is not handed to callers.
const SILENCE: Duration = Duration::from_millis(4_000);

#[derive(Debug)]
struct Linked {
    status: RouterStatus,
    /// What it is told here.
    following: Following,
    heard: Timestamp,
    /// It has asked nothing for a while; it is known again when it asks.
    is_silent: bool,
    loads: LoadReport,
}

/// Linked routers.
#[derive(Debug, Default)]
pub(super) struct Routers(BTreeMap<ConnectionId, Linked>);

/// When routers were last notified that something changed.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    last: Timestamp,
    /// Something changed since; the notice follows at the next tick.
    is_owed: bool,
}

impl Routers {
    pub fn count(&self) -> u16 {
        u16::try_from(self.heard().count()).unwrap_or(u16::MAX)
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.heard().map(|(connection, _)| connection).collect()
    }

    /// Routers that ask.
    fn heard(&self) -> impl Iterator<Item = (ConnectionId, &Linked)> {
        let heard = self.0.iter().filter(|(_, linked)| !linked.is_silent);
        heard.map(|(connection, linked)| (*connection, linked))
    }

    fn followers(&self) -> Vec<ConnectionId> {
        self.following(Following::has_changes)
    }

    /// Routers that hear of loads, caches, silent and refusing back ends here.
    pub fn receivers_of_news(&self) -> Vec<ConnectionId> {
        self.following(Following::has_news)
    }

    fn following(&self, is_wanted: impl Fn(Following) -> bool) -> Vec<ConnectionId> {
        let wanted = self
            .heard()
            .filter(|(_, linked)| is_wanted(linked.following));
        wanted.map(|(connection, _)| connection).collect()
    }

    /// Prompt tokens that all routers together have waiting, by [`crate::LoadEntry::key_of`] a
    /// back end.
    pub fn pending_tokens(&self) -> BTreeMap<u32, u32> {
        self.total_loads().pending_tokens()
    }

    fn total_loads(&self) -> Totals {
        let mut totals = Totals::default();
        for linked in self.0.values() {
            totals.add(linked.loads.loads());
        }
        totals
    }

    pub fn note_silent(&mut self, now: Timestamp) {
        for linked in self.0.values_mut() {
            linked.is_silent = now.since(linked.heard) >= SILENCE;
        }
    }
}

impl<D: Directory> ControlCore<D> {
    /// Takes in a router's message.
    pub fn on_router(&mut self, now: Timestamp, connection: ConnectionId, message: Message) {
        self.now = now;
        match message {
            Message::Router(status) => self.on_status(connection, status),
            Message::Ping { sequence } => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.heard = now;
                    linked.is_silent = false;
                }
                self.queue_read(Waiting::Router(connection, sequence));
            }
            Message::Loads(loads) => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.loads = LoadReport::of(now, loads.items);
                }
            }
            Message::Suspects(keys) => self.on_suspects(connection, &keys.items),
            Message::Refusing(keys) => self.on_refusing(connection, &keys.items),
            Message::Holders(entries) => self.on_holders(&entries.items),
            Message::FingerprintReports(reports) => self.on_work_reports(&reports.items),
            Message::Usage(entries) => self.on_usage(connection, &entries.items),
            Message::Follow(following) => self.on_follow(connection, following),
            Message::Fetch {
                since,
                source_revision,
            } => {
                let position = Position {
                    held: since,
                    source_revision,
                };
                self.fetches.ask(connection, position);
            }
            _ => {}
        }
    }

    /// A router's link is new, or it has something else to say of itself.
    fn on_status(&mut self, connection: ConnectionId, status: RouterStatus) {
        let now = self.now;
        if let Some(linked) = self.routers.0.get_mut(&connection) {
            linked.status = status;
            linked.heard = now;
            linked.is_silent = false;
            return;
        }
        let linked = Linked {
            status,
            following: Following::Nothing,
            heard: now,
            is_silent: false,
            loads: LoadReport::new(now),
        };
        self.routers.0.insert(connection, linked);
        let zone = Text::new(self.params.zone.as_str());
        let message = Message::ControlZone(zone);
        self.effects.push(Effect::ToRouter(connection, message));
        self.tell_stored(connection);
        self.tell_suspicions(connection);
    }

    fn on_follow(&mut self, connection: ConnectionId, following: Following) {
        if let Some(linked) = self.routers.0.get_mut(&connection) {
            linked.following = following;
        }
        if following.has_changes() {
            self.announce_to(vec![connection]);
        }
    }

    /// A router's link has ended.
    pub fn on_router_gone(&mut self, connection: ConnectionId) {
        self.routers.0.remove(&connection);
        self.fetches.forget(connection);
        self.forget_usage_of(connection);
    }

    /// The addresses of routers that a caller in this zone is to use.
    pub fn directory(&self, zone: &str, caller: IpAddr) -> Vec<String> {
        let heard = self.routers.heard();
        directory::for_caller(heard.map(|(_, linked)| &linked.status), zone, caller)
    }

    /// Tells routers how busy all of them together keep the back ends, where that has changed.
    pub(super) fn share_loads(&mut self) {
        let now = self.now;
        for linked in self.routers.0.values_mut() {
            linked.loads.expire(now);
        }
        let totals = self.routers.total_loads();
        if let Some(message) = self.load_news.next_message(now, &totals) {
            self.tell_all(message, None);
        }
    }

    /// Notifies routers that something changed. Thousands of back ends that register together change
    /// the state with each batch of the log; routers would ask for each of these changes apart.
    pub(super) fn announce(&mut self) {
        let is_soon = self.now.since(self.announcements.last) < self.params.tick;
        self.announcements.is_owed = is_soon;
        if !is_soon {
            self.announce_now();
        }
    }

    /// Sends an announcement that was put off.
    pub(super) fn announce_if_owed(&mut self) {
        if std::mem::take(&mut self.announcements.is_owed) {
            self.announce_now();
        }
    }

    fn announce_now(&mut self) {
        self.announcements.last = self.now;
        let followers = self.routers.followers();
        self.announce_to(followers);
    }

    fn announce_to(&mut self, connections: Vec<ConnectionId>) {
        let revision = self.state.revision();
        let message = Message::Announce(Announcement { revision });
        self.effects.push(Effect::ToRouters(connections, message));
    }
}
