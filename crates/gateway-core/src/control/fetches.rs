//! Requests of routers for state changes, and the order and rate at which they are answered.
//!
//! The highest load is the start of a fleet, or the restart of a part of it: hundreds of routers
//! request the whole state at once, and together they need more than the machine's link carries.
//! Heartbeats of the replicated log would queue behind the answers, and a leader whose heartbeats
//! are late loses its leadership.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::{ConnectionId, ControlCore, Effect};
use crate::{ConfigurationHash, Message, Position, TargetWeights};

/// Size of the chunk of the state that a router is sent at once: 50 ms on its link of 10 Mbit/s.
/// The router requests the next chunk after it has processed this one, so a control machine queues
/// at most this much for each link.
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Share of the machine's link that all routers together may use: less than half, so that the log,
/// heartbeats of back ends and operators always have capacity. On a link of 1 Gbit/s it is still as
/// much as the links of forty routers carry together.
const LINK_SHARE: f64 = 0.4;
/// Period for which unused allowance accumulates: one tick.
const BURST_DURATION: Duration = Duration::from_millis(50);

/// What a router holds of the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Held {
    /// Ordered such that the most advanced come first: they serve callers and lack little, while the others are still
    /// starting.
    pub position: Reverse<Position>,
    /// `None` if the router applies no patches.
    pub configuration: Option<ConfigurationHash>,
}

/// Requests that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct Fetches {
    /// Only the last request of each router counts.
    requested: BTreeMap<ConnectionId, Held>,
    /// Bytes that may be sent; negative after an answer that was larger.
    allowance: f64,
    refilled_at: Timestamp,
}

impl Fetches {
    /// Queues a router's request for the changes after what it holds.
    pub fn request(&mut self, connection: ConnectionId, held: Held) {
        self.requested.insert(connection, held);
    }

    /// Discards the request of a router whose link was closed.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.requested.remove(&connection);
    }

    fn refill(&mut self, now: Timestamp, link_bytes_per_second: f64) {
        let rate = link_bytes_per_second * LINK_SHARE;
        let added = now.since(self.refilled_at).as_secs_f64() * rate;
        let max_allowance = BURST_DURATION.as_secs_f64() * rate;
        self.allowance = (self.allowance + added).min(max_allowance);
        self.refilled_at = now;
    }

    /// Groups routers by what they hold.
    fn by_held(&self) -> BTreeMap<Held, Vec<ConnectionId>> {
        let mut groups: BTreeMap<Held, Vec<ConnectionId>> = BTreeMap::new();
        for (connection, held) in &self.requested {
            groups.entry(*held).or_default().push(*connection);
        }
        groups
    }

    /// Number of receivers that an answer of this size may be sent to: at least one while there is
    /// any allowance.
    fn spend(&mut self, bytes: usize, receivers: usize) -> usize {
        let bytes = bytes.max(1) as f64;
        let affordable = (self.allowance / bytes).ceil().max(0.0) as usize;
        let count = affordable.min(receivers);
        self.allowance -= bytes * count as f64;
        count
    }
}

impl<D: Directory> ControlCore<D> {
    /// Answers routers within the allowance; the others wait for the next tick. Routers at the same
    /// position share one answer, as nearly all do that were notified of a change together. Under
    /// higher load more of them send requests between two flushes, so each answer costs less.
    pub(super) fn serve_fetches(&mut self) {
        let link = self.params.link_bytes_per_second;
        self.fetches.refill(self.now, link);
        for (held, mut connections) in self.fetches.by_held() {
            if self.fetches.allowance <= 0.0 {
                return;
            }
            let age_ms = |target: &TargetWeights| self.weights_age_ms(target.revision);
            let chunk = self
                .state
                .next_chunk(held.position.0, MAX_CHUNK_BYTES, age_ms);
            if let Some(mut changes) = chunk {
                if let Some(configuration) = held.configuration {
                    self.configuration_patches
                        .apply_to(&mut changes, configuration);
                }
                let count = self.fetches.spend(changes.bytes(), connections.len());
                connections.truncate(count);
                for connection in &connections {
                    self.fetches.forget(*connection);
                }
                let message = Message::Changes(changes);
                self.effects.push(Effect::ToRouters(connections, message));
            } else {
                // The router has this state or a later one; it asks another machine.
                for connection in connections {
                    self.fetches.forget(connection);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "fetches_tests.rs"]
mod tests;
