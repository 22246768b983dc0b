//! Routers that are linked to this machine: who they are, and what they are told.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use drumshore_wire::List;

use super::reads::Waiting;
use super::{ConnectionId, ControlCore, Effect};
use crate::{Announcement, LoadEntry, Message, NamedWeights, RouterStatus};

/// A router that asked nothing for so long is not handed to callers.
const SILENCE: Duration = Duration::from_millis(4_000);

/// A router's load that was not told again counts for so long.
const LOADS_COUNT_FOR: Duration = Duration::from_millis(600);

/// All of the others' load is told after this long, in case a message was lost, and before the
/// router takes silence for no load.
const LOADS_WHOLE_AFTER: Duration = Duration::from_millis(800);

/// Bytes a second that the others' load may cost one router, of 14 KB/s that a node may spend on
/// all control traffic. Longer lists are told less often.
const LOADS_BYTES_PER_SECOND: f64 = 10_000.0;

#[derive(Debug)]
struct Linked {
    status: RouterStatus,
    heard: Timestamp,
    loads: Vec<LoadEntry>,
    loads_heard: Timestamp,
    /// What it was told of the others' load.
    told: Vec<LoadEntry>,
    /// When the next list may follow, by the length of those before.
    next_at: Timestamp,
    told_whole_at: Option<Timestamp>,
}

impl Linked {
    /// What this router is to be told of the others' load, if anything is due.
    fn loads_to_tell(&mut self, now: Timestamp, others: Vec<LoadEntry>) -> Option<Message> {
        if now < self.next_at {
            return None;
        }
        let whole_at = self.told_whole_at;
        let is_whole = whole_at.is_none_or(|at| now.since(at) >= LOADS_WHOLE_AFTER);
        let loads = if is_whole {
            others.clone()
        } else {
            changed_loads(&self.told, &others)
        };
        if loads.is_empty() && (self.told.is_empty() || !is_whole) {
            return None;
        }
        let bytes = loads.len() * LoadEntry::BYTES;
        let interval = Duration::from_secs_f64(bytes as f64 / LOADS_BYTES_PER_SECOND);
        self.next_at = now.plus(interval);
        if is_whole {
            self.told_whole_at = Some(now);
        }
        self.told = others;
        Some(Message::LoadsOfOthers {
            whole: u8::from(is_whole),
            loads: List::new(loads),
        })
    }
}

/// The entries of `after` that differ from `before`, and empty ones for those that are gone. Both
/// lists are in the order of their keys.
fn changed_loads(before: &[LoadEntry], after: &[LoadEntry]) -> Vec<LoadEntry> {
    let find = |loads: &[LoadEntry], key: u32| {
        let at = loads.binary_search_by_key(&key, |entry| entry.key);
        at.ok().map(|at| loads[at])
    };
    let changed = after
        .iter()
        .filter(|entry| find(before, entry.key) != Some(**entry))
        .copied();
    let gone = before
        .iter()
        .filter(|entry| find(after, entry.key).is_none())
        .map(|entry| LoadEntry {
            key: entry.key,
            ..LoadEntry::default()
        });
    changed.chain(gone).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    pending: u32,
    in_flight: u32,
}

impl Load {
    fn add(&mut self, entry: &LoadEntry) {
        self.pending += u32::from(entry.pending);
        self.in_flight += u32::from(entry.in_flight);
    }
}

fn totals_without(totals: &BTreeMap<u32, Load>, own: &[LoadEntry]) -> Vec<LoadEntry> {
    let own: BTreeMap<u32, &LoadEntry> = own.iter().map(|entry| (entry.key, entry)).collect();
    let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
    let others = totals.iter().map(|(key, total)| {
        let own = own.get(key).map(|entry| **entry).unwrap_or_default();
        LoadEntry {
            key: *key,
            pending: narrow(total.pending.saturating_sub(u32::from(own.pending))),
            in_flight: narrow(total.in_flight.saturating_sub(u32::from(own.in_flight))),
        }
    });
    others
        .filter(|entry| entry.pending > 0 || entry.in_flight > 0)
        .collect()
}

/// Linked routers.
#[derive(Debug, Default)]
pub(super) struct Routers(BTreeMap<ConnectionId, Linked>);

impl Routers {
    pub fn count(&self) -> u16 {
        u16::try_from(self.0.len()).unwrap_or(u16::MAX)
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.0.keys().copied().collect()
    }

    /// Prompt tokens that all routers together have waiting, by [`LoadEntry::key_of`] a back end.
    pub fn pending_tokens(&self) -> BTreeMap<u32, u32> {
        let mut pending: BTreeMap<u32, u32> = BTreeMap::new();
        for entry in self.0.values().flat_map(|linked| &linked.loads) {
            *pending.entry(entry.key).or_default() += u32::from(entry.pending) * LoadEntry::TOKENS;
        }
        pending
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
                    loads: Vec::new(),
                    loads_heard: now,
                    told: Vec::new(),
                    next_at: Timestamp::default(),
                    told_whole_at: None,
                };
                self.routers.0.insert(connection, linked);
                self.announce_to(connection);
                self.tell_stored(connection);
            }
            Message::Ping { sequence } => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.heard = now;
                }
                self.queue_read(Waiting::Router(connection, sequence));
            }
            Message::Loads(loads) => {
                if let Some(linked) = self.routers.0.get_mut(&connection) {
                    linked.loads = loads.items;
                    linked.loads_heard = now;
                }
            }
            Message::Suspects(keys) => self.on_suspects(connection, &keys.items),
            Message::Refusing(keys) => self.on_refusing(connection, &keys.items),
            Message::Holders(entries) => self.on_holders(connection, &entries.items),
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
    }

    /// The addresses of routers that take callers, those of the caller's zone first.
    pub fn directory(&self, zone: &str) -> Vec<String> {
        let accepting = self.routers.0.values();
        let mut accepting: Vec<&RouterStatus> = accepting
            .map(|linked| &linked.status)
            .filter(|status| status.accepting != 0)
            .collect();
        accepting.sort_by_key(|status| (status.zone.as_str() != zone, status.address.as_str()));
        let mut addresses: Vec<String> = accepting
            .iter()
            .map(|status| status.address.as_str().to_owned())
            .collect();
        addresses.dedup();
        addresses
    }

    /// Tells each router how busy the others keep the back ends, when that has changed.
    pub(super) fn share_loads(&mut self) {
        let now = self.now;
        let mut totals: BTreeMap<u32, Load> = BTreeMap::new();
        for linked in self.routers.0.values_mut() {
            if now.since(linked.loads_heard) >= LOADS_COUNT_FOR {
                linked.loads.clear();
            }
            for entry in &linked.loads {
                totals.entry(entry.key).or_default().add(entry);
            }
        }
        for (connection, linked) in &mut self.routers.0 {
            let others = totals_without(&totals, &linked.loads);
            if let Some(message) = linked.loads_to_tell(now, others) {
                self.effects.push(Effect::ToRouter(*connection, message));
            }
        }
    }

    pub(super) fn announce(&mut self) {
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
