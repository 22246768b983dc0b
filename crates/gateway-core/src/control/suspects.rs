//! Back ends that routers found silent, and how long the leader has all routers avoid them.
//!
//! One router loses a request to learn that a back end is silent. When each of hundreds of routers
//! tries it again after a pause, most requests that go there are such losses. So the leader notifies
//! all routers, and repeats that until a heartbeat of the back end arrives. Neither sign suffices
//! alone: a router may be cut off from a back end that serves all others, and so may the control
//! machines.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore};
use crate::Message;

/// Between two notifications of one suspect. Routers avoid it for twice as long, see their
/// `SUSPECT_PAUSE`.
const NOTIFY_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// A back end whose heartbeat came after the report is alive. Further reports about it are not
/// passed on for so long: the router that sends them may be cut off from it.
const DISBELIEVE_FOR: Duration = Duration::from_secs(10);

/// A back end that a router found silent.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    reported_at: Timestamp,
    notified_at: Timestamp,
}

impl Suspect {
    /// Whether a further report adds nothing: routers are being notified already, or the back end's
    /// heartbeats contradict it. One that was heard longer ago than `fresh` may have fallen silent since.
    fn covers(&self, now: Timestamp, heard: Timestamp, fresh: Duration) -> bool {
        let is_pending = heard <= self.reported_at;
        is_pending || now.since(heard) < fresh
    }
}

/// Suspects, by [`crate::LoadEntry::key_of`].
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<u32, Suspect>);

impl<D: Directory> ControlCore<D> {
    /// A router found back ends silent. The leader notifies the other routers at once: each of them
    /// would lose a request to learn it.
    pub(super) fn on_suspects(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let suspect = Suspect {
            reported_at: now,
            notified_at: now,
        };
        let fresh = self.params.two_heartbeats();
        let mut new = Vec::new();
        for key in keys {
            let heard = self.heard.at_by_short(*key).unwrap_or_default();
            let known = self.suspects.0.get(key);
            if !known.is_some_and(|known| known.covers(now, heard, fresh)) {
                self.suspects.0.insert(*key, suspect);
                new.push(*key);
            }
        }
        self.notify_of_suspects(&new, Some(from));
    }

    /// Notifies all routers again of the suspects that sent no heartbeat since.
    pub(super) fn notify_again_of_suspects(&mut self) {
        if self.suspects.0.is_empty() {
            return;
        }
        let now = self.now;
        let heard = &self.heard;
        let mut due_again = Vec::new();
        self.suspects.0.retain(|key, suspect| {
            let Some(heard) = heard.at_by_short(*key) else {
                return false;
            };
            if heard > suspect.reported_at {
                return now.since(suspect.reported_at) < DISBELIEVE_FOR;
            }
            if now.since(suspect.notified_at) >= NOTIFY_AGAIN_AFTER {
                suspect.notified_at = now;
                due_again.push(*key);
            }
            true
        });
        self.notify_of_suspects(&due_again, None);
    }

    fn notify_of_suspects(&mut self, keys: &[u32], except: Option<ConnectionId>) {
        if keys.is_empty() {
            return;
        }
        let message = Message::Suspects(List::new(keys.to_vec()));
        self.tell_all(message, except);
    }
}
