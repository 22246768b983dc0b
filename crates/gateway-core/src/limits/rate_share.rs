//! One router's share of a rate that many routers use without exchanging messages about it.
//!
//! A back end announces how many requests per second it accepts from all routers together. The routers don't
//! coordinate who sends when: each knows only the rate and the approximate number of routers. In any
//! [`COUNTING_WINDOW`] the back end tolerates [`TOLERANCE_FACTOR`] times the requests that the rate allows, plus
//! [`TOLERANCE_REQUESTS`].
//!
//! If that is at least one request per router, each router has a token bucket whose capacity keeps the sum over all
//! routers within the tolerance at any time. If it is less, buckets that hold one request each would
//! hold too many after a few idle seconds: 985 for 985 routers, where 11 are tolerated. Routers then take random
//! turns: for each period of [`TURN`] a router decides by a hash whether it may send. The probability is
//! so low that the number of routers with a turn, a sum of many independent events, stays within the tolerance.

use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The tolerance applies to the requests of all routers within any time span of this length.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);
/// Requests tolerated in a window, as a multiple of the requests that the rate allows in it.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Requests tolerated in a window in addition.
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Requests of the tolerance that are reserved for control machines, which query back ends occasionally.
const RESERVED_FOR_CONTROL: f64 = 1.0;
/// The difference between network delays: requests sent over a window plus this time may arrive within one window.
const DELAY_SPREAD: Duration = Duration::from_millis(500);
/// The fraction that a bucket uses of the capacity that the tolerance leaves it beside the refill. This is a margin
/// for windows at whose start all buckets are full.
const CAPACITY_FRACTION: f64 = 0.8;
/// The length of a turn. With longer turns, fewer of them overlap a window, so the tolerance allows more of them
/// and more requests. With shorter ones, a router gets its next turn sooner, and notices sooner that a limit has
/// ended.
const TURN: Duration = Duration::from_secs(10);
/// The number of turns that a router checks in advance to find the next one in which it may send.
const MAX_TURNS_AHEAD: u64 = 16;
/// Standard deviations between the mean number of routers with a turn and the tolerated number.
const DEVIATIONS: f64 = 4.0;
/// The minimum of requests per second that all routers together send, also when a back end announces less or zero: one
/// per window, which it tolerates. A router notices only from a response that the limit has ended.
const MIN_RATE: f64 = 1.0 / COUNTING_WINDOW.as_secs() as f64;

/// One router's share of a rate that a back end announced.
#[derive(Clone, Debug)]
pub struct RateShare {
    /// The announced rate: requests per second of all routers.
    announced: f64,
    share: BucketShare,
    routers: u16,
    /// The level of the bucket as of `updated`; 1 admits one request.
    level: f64,
    updated: Timestamp,
    /// Makes the turns of this router independent of those of others.
    seed: u64,
}

/// The parameters of a router's token bucket, and how often the router may use it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BucketShare {
    /// The refill rate, during turns and between them.
    per_second: f64,
    capacity: f64,
    /// The probability of having a turn; 1 if the router may always send.
    turn_probability: f64,
}

impl BucketShare {
    fn of(announced: f64, routers: u16) -> Self {
        let routers = f64::from(routers.max(1));
        let span = (COUNTING_WINDOW + DELAY_SPREAD).as_secs_f64();
        let whole = announced.max(MIN_RATE);
        let tolerated = announced * COUNTING_WINDOW.as_secs_f64() * TOLERANCE_FACTOR
            + TOLERANCE_REQUESTS
            - RESERVED_FOR_CONTROL;
        let per_router = (tolerated / routers).floor();
        if per_router < 1.0 {
            // Turns that start or end within the span count as well.
            let routers_in_turn =
                largest_mean_within(tolerated) / (1.0 + span / TURN.as_secs_f64());
            return Self {
                per_second: (whole / routers_in_turn).min(1.0 / span),
                capacity: 1.0,
                turn_probability: routers_in_turn / routers,
            };
        }
        let per_second = (whole / routers).min(per_router / span);
        let capacity = (per_router - per_second * span) * CAPACITY_FRACTION;
        Self {
            per_second,
            capacity: capacity.max(1.0),
            turn_probability: 1.0,
        }
    }
}

/// The largest mean of a sum of many rare independent events that seldom exceeds `most`: the largest with
/// `mean + DEVIATIONS * sqrt(mean) <= most`.
fn largest_mean_within(most: f64) -> f64 {
    let half = DEVIATIONS / 2.0;
    let root = (most + half * half).sqrt() - half;
    root * root
}

impl RateShare {
    /// Creates the share of a router that has just learned the rate. The initial level is random, because all
    /// routers may learn the rate at once.
    pub fn new(now: Timestamp, announced: f64, routers: u16, seed: u64) -> Self {
        Self {
            announced,
            share: BucketShare::of(announced, routers),
            routers,
            level: unit_fraction(xxh3_64(&seed.to_le_bytes())),
            updated: now,
            seed,
        }
    }

    /// Replaces the announced rate.
    pub fn set_rate(&mut self, now: Timestamp, announced: f64) {
        self.change(now, announced, self.routers);
    }

    /// Sets the number of routers that share the rate.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.change(now, self.announced, routers);
    }

    fn change(&mut self, now: Timestamp, announced: f64, routers: u16) {
        self.level = self.level(now);
        self.updated = self.updated.max(now);
        self.announced = announced;
        self.routers = routers;
        self.share = BucketShare::of(announced, routers);
        self.level = self.level.min(self.share.capacity);
    }

    /// The mean rate of this router in requests per second.
    pub fn per_second(&self) -> f64 {
        self.share.per_second * self.share.turn_probability
    }

    /// Whether a request may be sent now: the bucket holds one and the router has a turn.
    pub fn admits(&self, now: Timestamp) -> bool {
        self.level(now) >= 1.0 && self.has_turn(turn_at(now, self.seed))
    }

    /// The time until a request may be sent. If none of the next [`MAX_TURNS_AHEAD`] turns is the router's, the time
    /// ends after them, although no request may be sent then.
    pub fn wait(&self, now: Timestamp) -> Duration {
        let missing = (1.0 - self.level(now)).max(0.0);
        let filled = now.plus(Duration::from_secs_f64(missing / self.share.per_second));
        let first = turn_at(filled, self.seed);
        let mut turns = first..first + MAX_TURNS_AHEAD;
        let next = turns.find(|turn| self.has_turn(*turn));
        let next = next.unwrap_or(first + MAX_TURNS_AHEAD);
        filled.max(start_of_turn(next, self.seed)).since(now)
    }

    fn has_turn(&self, turn: u64) -> bool {
        let hash = xxh3_64_with_seed(&turn.to_le_bytes(), self.seed);
        unit_fraction(hash) < self.share.turn_probability
    }

    /// Takes one request from the bucket.
    pub fn charge(&mut self, now: Timestamp) {
        self.add(now, -1.0);
    }

    /// Returns a charged request that was not sent.
    pub fn pay_back(&mut self, now: Timestamp) {
        self.add(now, 1.0);
    }

    fn add(&mut self, now: Timestamp, amount: f64) {
        self.level = self.level(now) + amount;
        self.updated = self.updated.max(now);
    }

    fn level(&self, now: Timestamp) -> f64 {
        let refill = now.since(self.updated).as_secs_f64() * self.share.per_second;
        (self.level + refill).min(self.share.capacity)
    }
}

/// The number of the router's turn at a time. Routers start their turns at different times.
fn turn_at(now: Timestamp, seed: u64) -> u64 {
    (now.0 + phase(seed)) / TURN.as_micros() as u64
}

fn start_of_turn(turn: u64, seed: u64) -> Timestamp {
    Timestamp((turn * TURN.as_micros() as u64).saturating_sub(phase(seed)))
}

/// The router's offset within a turn in microseconds.
fn phase(seed: u64) -> u64 {
    seed % TURN.as_micros() as u64
}

fn unit_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

#[cfg(test)]
#[path = "rate_share_tests.rs"]
mod tests;
