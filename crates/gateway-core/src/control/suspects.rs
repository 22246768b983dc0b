//! Back ends that routers found silent, and how long all routers are told to avoid them.
//!
//! One router loses a request to learn that a back end is silent. With hundreds of routers each of
//! which tries it again after a pause, most requests that go there are such losses. So the leader
//! tells all routers, and again and again until the back end's heartbeat arrives here. Neither sign
//! suffices alone: a router may be cut off from a back end that serves all others, and so may the
//! control machines.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::{LoadEntry, Message};

/// Routers avoid a suspect for twice as long, see `SUSPECT_PAUSE` there.
const TELL_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// A back end whose heartbeat came after the report is alive. Further reports about it are not
/// passed on for so long: the router that sends them may be cut off from it.
const DISBELIEVE_FOR: Duration = Duration::from_secs(10);

/// A back end that a router found silent.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    reported: Timestamp,
    told: Timestamp,
}

/// Suspects, by [`LoadEntry::key_of`].
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<u32, Suspect>);

impl<D: Directory> ControlCore<D> {
    /// A router found back ends silent. The leader tells the other routers at once: each of them
    /// would lose a request to learn it.
    pub(super) fn on_suspects(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let suspect = Suspect {
            reported: now,
            told: now,
        };
        let mut new = Vec::new();
        for key in keys {
            if !self.suspects.0.contains_key(key) {
                self.suspects.0.insert(*key, suspect);
                new.push(*key);
            }
        }
        self.tell_suspects(&new, Some(from));
    }

    /// Tells all routers again of the suspects that have not been heard since.
    pub(super) fn share_suspects(&mut self) {
        let now = self.now;
        let heard = self.heard_by_key();
        let mut told_again = Vec::new();
        self.suspects.0.retain(|key, suspect| {
            let Some(heard) = heard.get(key) else {
                return false;
            };
            if *heard > suspect.reported {
                return now.since(suspect.reported) < DISBELIEVE_FOR;
            }
            if now.since(suspect.told) >= TELL_AGAIN_AFTER {
                suspect.told = now;
                told_again.push(*key);
            }
            true
        });
        self.tell_suspects(&told_again, None);
    }

    /// When each registered back end was heard last, by the key that stands for it.
    fn heard_by_key(&self) -> BTreeMap<u32, Timestamp> {
        if self.suspects.0.is_empty() {
            return BTreeMap::new();
        }
        let registered = self.state.instances().map(|record| {
            let name = record.instance.as_str();
            let heard = self.heard.get(name).copied().unwrap_or_default();
            (LoadEntry::key_of(name), heard)
        });
        registered.collect()
    }

    fn tell_suspects(&mut self, keys: &[u32], except: Option<ConnectionId>) {
        if keys.is_empty() {
            return;
        }
        let connections = self.routers.connections().into_iter();
        for connection in connections.filter(|connection| Some(*connection) != except) {
            let message = Message::Suspects(List::new(keys.to_vec()));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }
}
