//! Routers that are connected to this machine: their status, and the messages they are sent.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::{List, Text};

use super::directory;
use super::fetches::Held;
use super::loads::{LoadReport, LoadTotals};
use super::reads::Reader;
use super::{ConnectionId, ControlCore, Effect};
use crate::{load_change, Announcement, Following, LoadEntry, Message, Position, RouterStatus};

/// A router that has sent no ping or status for this long is not listed for callers, and is sent no
/// updates until it sends one.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(4_000);

#[derive(Debug)]
struct ConnectedRouter {
    status: RouterStatus,
    /// The updates that it is sent on this connection.
    following: Following,
    last_seen: Timestamp,
    /// No ping or status came within [`ROUTER_TIMEOUT`]; the next one resets this.
    is_unresponsive: bool,
    loads: LoadReport,
}

/// Connected routers.
#[derive(Debug, Default)]
pub(super) struct Routers(BTreeMap<ConnectionId, ConnectedRouter>);

/// State of the notifications that the replicated state has changed.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    last: Timestamp,
    /// The state has changed since; the announcement follows at the next tick.
    is_pending: bool,
}

impl Routers {
    pub fn count(&self) -> u16 {
        u16::try_from(self.responsive().count()).unwrap_or(u16::MAX)
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.responsive()
            .map(|(connection, _)| connection)
            .collect()
    }

    /// Routers that are not unresponsive.
    fn responsive(&self) -> impl Iterator<Item = (ConnectionId, &ConnectedRouter)> {
        let responsive = self.0.iter().filter(|(_, router)| !router.is_unresponsive);
        responsive.map(|(connection, router)| (*connection, router))
    }

    fn followers(&self) -> Vec<ConnectionId> {
        self.following(Following::has_changes)
    }

    /// Routers that are sent news of the leader on this connection: loads, caches, and unresponsive
    /// and refusing back ends.
    pub fn news_receivers(&self) -> Vec<ConnectionId> {
        self.following(Following::has_news)
    }

    fn following(&self, is_wanted: impl Fn(Following) -> bool) -> Vec<ConnectionId> {
        let wanted = self
            .responsive()
            .filter(|(_, router)| is_wanted(router.following));
        wanted.map(|(connection, _)| connection).collect()
    }

    /// Loads of back ends, summed over all routers.
    pub fn total_loads(&self) -> LoadTotals {
        let mut totals = LoadTotals::default();
        for router in self.0.values() {
            totals.add(router.loads.loads());
        }
        totals
    }

    pub fn update_unresponsive(&mut self, now: Timestamp) {
        for router in self.0.values_mut() {
            router.is_unresponsive = now.since(router.last_seen) >= ROUTER_TIMEOUT;
        }
    }
}

impl<D: Directory> ControlCore<D> {
    /// Processes a message of a router.
    pub fn on_router(&mut self, now: Timestamp, connection: ConnectionId, message: Message) {
        self.now = now;
        match message {
            Message::Router(status) => self.on_status(connection, status),
            Message::Ping { sequence } => {
                if let Some(router) = self.routers.0.get_mut(&connection) {
                    router.last_seen = now;
                    router.is_unresponsive = false;
                }
                self.queue_read_request(Reader::Router(connection, sequence));
            }
            Message::Loads(loads) => {
                self.on_loads(connection, loads.items);
            }
            Message::UnresponsiveBackEnds(keys) => self.on_suspects(connection, &keys.items),
            Message::RefusingBackEnds(keys) => self.on_refusing(connection, &keys.items),
            Message::Holders(entries) => self.on_holders(&entries.items),
            Message::SpeedSamples(samples) => self.on_speed_samples(&samples.items),
            Message::FingerprintReports(reports) => self.on_fingerprint_reports(&reports.items),
            Message::Usage(entries) => self.on_usage(connection, &entries.items),
            Message::DemandReport(entries) => self.on_demand_report(&entries.items),
            Message::FetchPeers => self.on_fetch_peers(connection),
            Message::Follow(following) => self.on_follow(connection, following),
            Message::Fetch {
                since,
                source_revision,
                configuration,
            } => {
                let position = Position {
                    held: since,
                    source_revision,
                };
                let held = Held {
                    position: Reverse(position),
                    configuration,
                };
                self.fetches.request(connection, held);
            }
            _ => {}
        }
    }

    /// Registers a router's new connection, or updates its status.
    fn on_status(&mut self, connection: ConnectionId, status: RouterStatus) {
        let now = self.now;
        if let Some(router) = self.routers.0.get_mut(&connection) {
            router.status = status;
            router.last_seen = now;
            router.is_unresponsive = false;
            return;
        }
        let router = ConnectedRouter {
            status,
            following: Following::Nothing,
            last_seen: now,
            is_unresponsive: false,
            loads: LoadReport::new(now),
        };
        self.routers.0.insert(connection, router);
        let zone = Text::new(self.params.zone.as_str());
        let message = Message::ControlZone(zone);
        self.effects.push(Effect::ToRouter(connection, message));
        self.send_store_contents(connection);
        self.send_suspicions(connection);
    }

    /// Tells a router to which others it may forward requests.
    fn on_fetch_peers(&mut self, connection: ConnectionId) {
        let Some(router) = self.routers.0.get(&connection) else {
            return;
        };
        let responsive = self.routers.responsive().map(|(_, router)| &router.status);
        let peers = directory::for_peer(responsive, &router.status);
        let message = Message::Peers(List::new(peers.iter().map(Text::new).collect()));
        self.effects.push(Effect::ToRouter(connection, message));
    }

    fn on_follow(&mut self, connection: ConnectionId, following: Following) {
        if let Some(router) = self.routers.0.get_mut(&connection) {
            router.following = following;
        }
        if following.has_changes() {
            self.announce_to(vec![connection]);
        }
    }

    /// Removes a router whose connection was closed.
    pub fn on_router_gone(&mut self, connection: ConnectionId) {
        self.routers.0.remove(&connection);
        self.fetches.forget(connection);
        self.forget_usage_of(connection);
    }

    /// Addresses of the routers that a caller in a zone should use.
    pub fn directory(&self, zone: &str, caller: IpAddr) -> Vec<String> {
        let responsive = self.routers.responsive();
        directory::for_caller(responsive.map(|(_, router)| &router.status), zone, caller)
    }

    /// Records a router's load. A long prompt is broadcast at once, as far as the bandwidth allows.
    fn on_loads(&mut self, connection: ConnectionId, loads: Vec<LoadEntry>) {
        let Some(router) = self.routers.0.get_mut(&connection) else {
            return;
        };
        let is_urgent = load_change::is_urgent(router.loads.loads(), &loads);
        router.loads = LoadReport::of(self.now, loads);
        if is_urgent && self.role() == Role::Leader {
            self.broadcast_loads();
        }
    }

    /// Sends routers the changes of the total load of back ends.
    pub(super) fn broadcast_loads(&mut self) {
        let now = self.now;
        for router in self.routers.0.values_mut() {
            router.loads.expire(now);
        }
        let totals = self.routers.total_loads();
        let routers = self.routers.count();
        let message = self.load_broadcast.next_message(now, &totals, routers);
        if let Some(message) = message {
            self.broadcast_news(message, None);
        }
    }

    /// Notifies routers that the state has changed, at most once per tick. Thousands of back ends
    /// that register together change the state with each batch of the log, and routers would
    /// request each change separately.
    pub(super) fn announce(&mut self) {
        let is_soon = self.now.since(self.announcements.last) < self.params.tick;
        self.announcements.is_pending = is_soon;
        if !is_soon {
            self.announce_now();
        }
    }

    /// Sends a delayed announcement.
    pub(super) fn announce_if_pending(&mut self) {
        if std::mem::take(&mut self.announcements.is_pending) {
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
