//! Back ends that routers reported as unresponsive, and how long the leader has all routers avoid
//! them.
//!
//! One router loses a request when it detects that a back end is unresponsive. If each of hundreds
//! of routers retried the back end after a backoff, most requests sent to it would be lost that
//! way. Therefore the leader notifies all routers and repeats that until a heartbeat of the back
//! end arrives. Neither signal suffices alone: a router may be cut off from a back end that serves
//! all others, and so may the control machines.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore};
use crate::{LoadEntry, Message};

/// Interval between two notifications of one suspect. Routers avoid it for twice as long.
const RENOTIFY_INTERVAL: Duration = Duration::from_secs(1);
/// A back end whose heartbeat arrived after the report is alive. Further reports about it are not
/// forwarded for this long, because the router that sends them may be cut off from it.
const DISTRUST_REPORTS_FOR: Duration = Duration::from_secs(10);

/// A back end that a router reported as unresponsive.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    reported_at: Timestamp,
    notified_at: Timestamp,
}

impl Suspect {
    /// Whether a further report adds nothing: routers are being notified already, or the back end's
    /// heartbeats contradict it. If the last heartbeat is older than `timeout`, the back end may
    /// have become unresponsive since.
    fn makes_redundant(
        &self,
        now: Timestamp,
        last_heartbeat: Timestamp,
        timeout: Duration,
    ) -> bool {
        let is_pending = last_heartbeat <= self.reported_at;
        is_pending || now.since(last_heartbeat) < timeout
    }
}

/// Suspects, by the back end's [`crate::LoadEntry::key_of`].
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<u32, Suspect>);

impl Suspects {
    /// Whether a back end was reported and has sent no heartbeat since; `last_heartbeat` is its last one.
    pub fn is_pending(&self, key: u32, last_heartbeat: Timestamp) -> bool {
        let suspect = self.0.get(&key);
        suspect.is_some_and(|suspect| last_heartbeat <= suspect.reported_at)
    }
}

impl<D: Directory> ControlCore<D> {
    /// Processes a router's report of unresponsive back ends. The leader notifies the other routers
    /// at once, as each of them would lose a request to find out.
    pub(super) fn on_suspects(&mut self, from: ConnectionId, keys: &[u32]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let suspect = Suspect {
            reported_at: now,
            notified_at: now,
        };
        let timeout = self.params.heartbeat_timeout();
        let mut new = Vec::new();
        for key in keys {
            let last_heartbeat = self
                .heartbeat_times
                .last_by_short_key(*key)
                .unwrap_or_default();
            let known = self.suspects.0.get(key);
            if !known.is_some_and(|known| known.makes_redundant(now, last_heartbeat, timeout)) {
                self.suspects.0.insert(*key, suspect);
                new.push(*key);
            }
        }
        self.notify_of_suspects(&new, Some(from));
    }

    /// The process of a back end has started: heartbeats that contradicted a report say nothing of reports on this one.
    pub(super) fn believe_reports_on(&mut self, instance: &str) {
        let key = LoadEntry::key_of(instance);
        let last_heartbeat = self.heartbeat_times.last_by_short_key(key);
        if !self
            .suspects
            .is_pending(key, last_heartbeat.unwrap_or_default())
        {
            self.suspects.0.remove(&key);
        }
    }

    /// Notifies all routers again of suspects without a heartbeat since the report.
    pub(super) fn renotify_of_suspects(&mut self) {
        if self.suspects.0.is_empty() {
            return;
        }
        let now = self.now;
        let heartbeat_times = &self.heartbeat_times;
        let mut due_again = Vec::new();
        self.suspects.0.retain(|key, suspect| {
            let Some(last_heartbeat) = heartbeat_times.last_by_short_key(*key) else {
                return false;
            };
            if last_heartbeat > suspect.reported_at {
                return now.since(suspect.reported_at) < DISTRUST_REPORTS_FOR;
            }
            if now.since(suspect.notified_at) >= RENOTIFY_INTERVAL {
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
        let message = Message::UnresponsiveBackEnds(List::new(keys.to_vec()));
        self.broadcast_news(message, except);
    }
}
