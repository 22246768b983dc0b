//! Pools whose back ends crash when they have to reject too many requests in a second.
//!
//! The limit is on the rejections of one back end over all routers, and a router sees only its own. Rejections are
//! therefore avoided by design: each router keeps at most its share of a back end's slots in flight there, so that all of
//! them together do not exceed the slots. If there are more routers than slots, they take random turns, each with one
//! request in flight. A router that is rejected all the same pauses, so that the rejections of all routers stay within
//! the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint::Endpoint;
use super::{InstanceId, RouterCore};
use crate::{PoolName, RejectionRate};

/// Length of a turn. A router that is rejected pauses at least this long, so it is rejected once in a turn.
const TURN: Duration = Duration::from_secs(1);
/// The number of turns that a router checks in advance to find its next one.
const MAX_TURNS_AHEAD: u64 = 32;
/// Standard deviations between the mean number of routers with a turn and the number that a back end withstands.
const DEVIATIONS: f64 = 2.0;
/// The smallest rate of rejections that pauses are computed with; an announced rate of 0 stands for none at all.
const MIN_REJECTIONS_PER_SECOND: f64 = 0.5;
/// Longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Answers of other back ends of the pool, or from before, may lack the announcement for this long after the last one.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(1);

/// What the back ends of a pool have announced.
#[derive(Clone, Copy, Debug)]
struct Brittleness {
    withstood: RejectionRate,
    last_announced: Timestamp,
}

/// A change of what a pool's back ends announce.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrittleChange {
    /// They withstand this many rejections.
    Began(RejectionRate),
    /// They no longer announce a limit.
    Ended,
}

/// The pools whose back ends announce that they are brittle. One back end's announcement counts for its whole pool: a router
/// may not have had an answer of the others yet.
#[derive(Debug, Default)]
pub(super) struct BrittlePools(BTreeMap<PoolName, Brittleness>);

impl BrittlePools {
    /// Processes what an answer to a request that was sent at `sent_at` announces.
    fn on_answer(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        withstood: Option<RejectionRate>,
        sent_at: Timestamp,
    ) -> Option<BrittleChange> {
        let known = self.0.get(pool);
        let Some(withstood) = withstood else {
            let ends = known.is_some_and(|known| {
                sent_at >= known.last_announced
                    && now.since(known.last_announced) >= ANNOUNCEMENT_TTL
            });
            return ends.then(|| {
                self.0.remove(pool);
                BrittleChange::Ended
            });
        };
        let is_known = known.is_some_and(|known| known.withstood == withstood);
        let announced = Brittleness {
            withstood,
            last_announced: now,
        };
        self.0.insert(pool.clone(), announced);
        (!is_known).then_some(BrittleChange::Began(withstood))
    }

    fn get(&self, pool: &PoolName) -> Option<&Brittleness> {
        self.0.get(pool)
    }
}

/// One router's share of the slots of one brittle back end.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SlotShare {
    in_flight: u32,
    /// The probability of having a turn; 1 if the router may always send.
    turn_probability: f64,
}

impl SlotShare {
    fn of(slots: u32, routers: u16, withstood: RejectionRate) -> Self {
        let routers = f64::from(routers.max(1));
        let slots = f64::from(slots.max(1));
        if slots >= routers {
            return Self {
                in_flight: (slots / routers) as u32,
                turn_probability: 1.0,
            };
        }
        let withstood = slots + withstood.as_per_second();
        let routers_in_turn = largest_mean_within(withstood).min(slots);
        Self {
            in_flight: 1,
            turn_probability: (routers_in_turn / routers).min(1.0),
        }
    }
}

/// The largest mean of a sum of many rare independent events with `mean + DEVIATIONS * sqrt(mean) <= most`.
fn largest_mean_within(most: f64) -> f64 {
    let half = DEVIATIONS / 2.0;
    let root = (most + half * half).sqrt() - half;
    root * root
}

/// A router's turns at one back end.
#[derive(Clone, Copy, Debug)]
struct Turns {
    seed: u64,
    probability: f64,
}

impl Turns {
    fn at(self, now: Timestamp) -> u64 {
        (now.0 + self.phase()) / TURN.as_micros() as u64
    }

    /// The offset of the turns in microseconds: routers start them at different times.
    fn phase(self) -> u64 {
        self.seed % TURN.as_micros() as u64
    }

    fn has(self, turn: u64) -> bool {
        let hash = xxh3_64_with_seed(&turn.to_le_bytes(), self.seed);
        (hash as f64 / u64::MAX as f64) < self.probability
    }

    /// The time until the router's next turn; zero while it has one.
    fn wait(self, now: Timestamp) -> Duration {
        let current = self.at(now);
        let mut turns = current..current + MAX_TURNS_AHEAD;
        let next = turns.find(|turn| self.has(*turn));
        let next = next.unwrap_or(current + MAX_TURNS_AHEAD);
        if next == current {
            return Duration::ZERO;
        }
        let start = (next * TURN.as_micros() as u64).saturating_sub(self.phase());
        Timestamp(start).since(now)
    }
}

impl RouterCore {
    /// Records whether an answer to a request that was sent at `sent_at` announces that its back end is brittle.
    pub fn on_brittleness(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        withstood: Option<RejectionRate>,
        sent_at: Timestamp,
    ) -> Option<BrittleChange> {
        let pool = PoolName::new(self.endpoints.get(instance)?.record.pool.as_str());
        self.brittle_pools.on_answer(now, &pool, withstood, sent_at)
    }

    /// Pauses after a rejection by a back end of a brittle pool, long enough that as many rejections of each router stay
    /// within what it withstands.
    pub(super) fn pause_at_brittle(&mut self, now: Timestamp, instance: &InstanceId) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let pool = PoolName::new(endpoint.record.pool.as_str());
        let Some(brittle) = self.brittle_pools.get(&pool) else {
            return;
        };
        let rate = brittle
            .withstood
            .as_per_second()
            .max(MIN_REJECTIONS_PER_SECOND);
        let pause = Duration::from_secs_f64(f64::from(self.router_count.get()) / rate);
        let pause = pause.clamp(TURN, MAX_PAUSE);
        self.endpoints.pause(now, instance, pause);
    }

    /// How long a back end of a brittle pool may not be sent a further request; `None` if it may now.
    pub(super) fn brittle_wait(&self, now: Timestamp, endpoint: &Endpoint) -> Option<Duration> {
        if self.brittle_pools.0.is_empty() {
            return None;
        }
        let pool = PoolName::new(endpoint.record.pool.as_str());
        let brittle = self.brittle_pools.get(&pool)?;
        let routers = self.router_count.get();
        let share = SlotShare::of(endpoint.record.slots, routers, brittle.withstood);
        let turns = Turns {
            seed: self.preference_seed ^ endpoint.name_hash,
            probability: share.turn_probability,
        };
        let wait = turns.wait(now);
        let has_room = endpoint.in_flight < share.in_flight;
        (!wait.is_zero() || !has_room).then_some(wait)
    }
}

#[cfg(test)]
#[path = "brittle_tests.rs"]
mod tests;
