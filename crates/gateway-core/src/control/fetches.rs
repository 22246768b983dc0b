//! Routers that ask for changes, and in what order and how fast they are answered.
//!
//! The load that this answers is a fleet that starts, or a part of it that starts again: hundreds of routers ask
//! for all there is at once. Together they take more than the machine's link carries. Heartbeats of the log would
//! wait behind what they are sent, and a leader whose heartbeats are late loses its lead.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::{ConnectionId, ControlCore, Effect};
use crate::{Message, Position, TargetWeights};

/// What a router is sent of the state at once: 50 ms on its link of 10 Mbit/s. It asks for the rest when it has
/// taken that in, so a control machine queues at most this much for each link.
const MOST_PART_BYTES: usize = 64 << 10;
/// Part of the machine's link that all routers together may take: less than half, so that the log, heartbeats of back
/// ends and operators always find room. Of 1 Gbit/s it is still what forty routers' own links carry.
const LINK_PART: f64 = 0.4;
/// For so long the allowance gathers while nobody asks: a tick.
const GATHERS_FOR: Duration = Duration::from_millis(50);

/// Questions that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct Fetches {
    /// A router's last question replaces the one before.
    asked: BTreeMap<ConnectionId, Position>,
    /// Bytes that may be sent; negative after an answer that was larger.
    allowance: f64,
    allowed_at: Timestamp,
}

impl Fetches {
    /// A router asks for what follows on a position.
    pub fn ask(&mut self, connection: ConnectionId, position: Position) {
        self.asked.insert(connection, position);
    }

    /// A router's link has ended.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.asked.remove(&connection);
    }

    fn refill(&mut self, now: Timestamp, link_bytes_per_second: f64) {
        let rate = link_bytes_per_second * LINK_PART;
        let flowed = now.since(self.allowed_at).as_secs_f64() * rate;
        let most = GATHERS_FOR.as_secs_f64() * rate;
        self.allowance = (self.allowance + flowed).min(most);
        self.allowed_at = now;
    }

    /// Those that have come furthest first: they serve callers and lack little, the others start.
    fn by_position(&self) -> BTreeMap<Reverse<Position>, Vec<ConnectionId>> {
        let mut groups: BTreeMap<Reverse<Position>, Vec<ConnectionId>> = BTreeMap::new();
        for (connection, position) in &self.asked {
            groups
                .entry(Reverse(*position))
                .or_default()
                .push(*connection);
        }
        groups
    }

    /// How many may be sent an answer of this size, at least one while anything is allowed.
    fn spend(&mut self, bytes: usize, wanted: usize) -> usize {
        let bytes = bytes.max(1) as f64;
        let affordable = (self.allowance / bytes).ceil().max(0.0) as usize;
        let count = affordable.min(wanted);
        self.allowance -= bytes * count as f64;
        count
    }
}

impl<D: Directory> ControlCore<D> {
    /// Answers routers, as far as the allowance goes; the others wait for the next tick. Those that have come
    /// equally far, as nearly all have that were told of a change together, share one answer: the more there is
    /// to do, the more ask between two flushes, and the less each costs.
    pub(super) fn answer_fetches(&mut self) {
        let link = self.params.link_bytes_per_second;
        self.fetches.refill(self.now, link);
        for (Reverse(position), mut connections) in self.fetches.by_position() {
            if self.fetches.allowance <= 0.0 {
                return;
            }
            let age_ms = |named: &TargetWeights| self.weights_age_ms(named.revision);
            let part = self.state.next_chunk(position, MOST_PART_BYTES, age_ms);
            if let Some(changes) = part {
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
