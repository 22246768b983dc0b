//! Routers that are linked to this machine: who they are, and what they are told.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::directory;
use super::loads::{LoadExchange, Totals};
use super::reads::Waiting;
use super::{ConnectionId, ControlCore, Effect};
use crate::{Announcement, Message, NamedWeights, RouterStatus};

/// A router that asked nothing for so long is not handed to callers.
const SILENCE: Duration = Duration::from_millis(4_000);

#[derive(Debug)]
struct Linked {
    status: RouterStatus,
    heard: Timestamp,
    loads: LoadExchange,
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
        u16::try_from(self.0.len()).unwrap_or(u16::MAX)
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.0.keys().copied().collect()
    }

    /// Prompt tokens that all routers together have waiting, by [`crate::LoadEntry::key_of`] a
    /// back end.
    pub fn pending_tokens(&self) -> BTreeMap<u32, u32> {
        self.total_loads().pending_tokens()
    }

    fn total_loads(&self) -> Totals {
        let mut totals = Totals::default();
        for linked in self.0.values() {
            totals.add(linked.loads.reported());
        }
        totals
    }

    pub fn forget_silent(&mut self, now: Timestamp) {
        self.0.retain(|_, linked| now.since(linked.heard) < SILENCE);
    }
}

impl<D: Directory> ControlCore<D> {
    /// Takes in a router's message.
    pub fn on_router(&mut self, now: Timestamp, connection: ConnectionId, message: Message) {
        self.now = now;
        match message {
            Message::Router(status) => {
                let linked = Linked {
                    status,
                    heard: now,
                    loads: LoadExchange::new(now),
                };
                self.routers.0.insert(connection, linked);
                self.announce_to(connection);
                self.tell_stored(connection);
                self.tell_suspicions(connection);
            }
            Message::Ping { sequence } => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.heard = now;
                }
                self.queue_read(Waiting::Router(connection, sequence));
            }
            Message::Loads(loads) => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.loads.on_report(now, loads.items);
                }
            }
            Message::Suspects(keys) => self.on_suspects(connection, &keys.items),
            Message::Refusing(keys) => self.on_refusing(connection, &keys.items),
            Message::Holders(entries) => self.on_holders(connection, &entries.items),
            Message::WorkReports(reports) => self.on_work_reports(&reports.items),
            Message::Usage(entries) => self.on_usage(connection, &entries.items),
            Message::Fetch { since } => {
                let age_ms = |named: &NamedWeights| self.weights_age_ms(named.revision);
                let changes = self.state.changes_since(since, age_ms);
                let message = Message::Changes(changes);
                self.effects.push(Effect::ToRouter(connection, message));
            }
            _ => {}
        }
    }

    /// A router's link has ended.
    pub fn on_router_gone(&mut self, connection: ConnectionId) {
        self.routers.0.remove(&connection);
        self.forget_usage_of(connection);
    }

    /// The addresses of routers that a caller in this zone is to use.
    pub fn directory(&self, zone: &str, caller: IpAddr) -> Vec<String> {
        let linked = self.routers.0.values();
        directory::for_caller(linked.map(|linked| &linked.status), zone, caller)
    }

    /// Sends each router how busy the others keep the back ends, where that has changed.
    pub(super) fn share_loads(&mut self) {
        let now = self.now;
        for linked in self.routers.0.values_mut() {
            linked.loads.expire(now);
        }
        let totals = self.routers.total_loads();
        for (connection, linked) in &mut self.routers.0 {
            if let Some(message) = linked.loads.next_message(now, &totals) {
                self.effects.push(Effect::ToRouter(*connection, message));
            }
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
        for connection in self.routers.connections() {
            self.announce_to(connection);
        }
    }

    fn announce_to(&mut self, connection: ConnectionId) {
        let revision = self.state.revision();
        let message = Message::Announce(Announcement { revision });
        self.effects.push(Effect::ToRouter(connection, message));
    }
}
