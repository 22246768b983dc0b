//! One process's part of a rate that many share without hearing of one another.
//!
//! A back end names how many requests a second it takes from all routers together; which of them sends, and when, is
//! theirs to settle, and they exchange nothing about it. Each knows the rate and about how many they are. The back end
//! bears, in any [`WINDOW`], [`BORNE_FACTOR`] times what the rate allows and [`BORNE_BEYOND`] more.
//!
//! Where that is a request or more for each router, each has a token bucket so large that the sum stays within it
//! whatever the others do. Where it is less than one, buckets that hold a request each would hold too many after calm
//! seconds: 985 at 985 routers, where 11 are borne. Routers then take turns that each draws for itself: it is a
//! router's turn by chance, for [`TURN`] and so seldom that the number of routers whose turn it is, a sum of many
//! small chances, stays within what is borne.

use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Over any such span the requests of all routers are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// By which part of the rate a window may hold more.
const BORNE_FACTOR: f64 = 1.5;
/// Requests that it may hold besides.
const BORNE_BEYOND: f64 = 5.0;
/// Of these, left to control machines, which ask back ends now and then.
const LEFT_TO_CONTROL: f64 = 1.0;
/// Requests that are sent over a window and so much more may arrive within one.
const DELAYS_DIFFER: Duration = Duration::from_millis(500);
/// Part of a bucket beyond what flows in that is used: a window may begin with each bucket full.
const FILLED: f64 = 0.8;
/// How long a turn lasts. In longer ones more requests come for what they allow; after shorter ones a router that has
/// none gets one sooner, and finds out sooner that a limit has ended.
const TURN: Duration = Duration::from_secs(10);
/// How far ahead a router looks for its next turn.
const MOST_TURNS_AHEAD: u64 = 16;
/// Standard deviations by which a sum of chances may lie above its mean.
const DEVIATIONS: f64 = 4.0;
/// What all routers together send a back end that takes less, or nothing, in requests a second: one in a window, which
/// it bears. Only by an answer a router finds out that the limit has ended.
const LEAST_RATE: f64 = 1.0 / WINDOW.as_secs() as f64;

/// One router's part of a rate.
#[derive(Clone, Debug)]
pub struct RateShare {
    /// Requests a second of all routers, as it was named.
    named: f64,
    share: Share,
    routers: u16,
    /// Of the bucket: one is a request that may be sent.
    level: f64,
    updated: Timestamp,
    /// Sets this router's turns apart from the others'.
    seed: u64,
}

/// How a router uses its part: a token bucket, all the time or by turns.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    /// What flows into the bucket, while it is the router's turn and before.
    per_second: f64,
    capacity: f64,
    /// How likely it is the router's turn, a part of one.
    turn: f64,
}

impl Share {
    fn of(named: f64, routers: u16) -> Self {
        let routers = f64::from(routers.max(1));
        let span = (WINDOW + DELAYS_DIFFER).as_secs_f64();
        let whole = named.max(LEAST_RATE);
        let borne = named * WINDOW.as_secs_f64() * BORNE_FACTOR + BORNE_BEYOND - LEFT_TO_CONTROL;
        let for_each = (borne / routers).floor();
        if for_each < 1.0 {
            // A turn that ends or begins within the span counts as well.
            let have_turns = mean_within(borne) / (1.0 + span / TURN.as_secs_f64());
            return Self {
                per_second: (whole / have_turns).min(1.0 / span),
                capacity: 1.0,
                turn: have_turns / routers,
            };
        }
        let per_second = (whole / routers).min(for_each / span);
        let capacity = (for_each - per_second * span) * FILLED;
        Self {
            per_second,
            capacity: capacity.max(1.0),
            turn: 1.0,
        }
    }
}

/// The mean of a sum of many small chances that is seldom more than `most`: the largest with
/// `mean + DEVIATIONS * sqrt(mean) <= most`.
fn mean_within(most: f64) -> f64 {
    let half = DEVIATIONS / 2.0;
    let root = (most + half * half).sqrt() - half;
    root * root
}

impl RateShare {
    /// The part of one of so many routers, which has just learned of the rate. Its bucket is filled to a level that is
    /// drawn: all routers may learn of the rate at once.
    pub fn new(now: Timestamp, named: f64, routers: u16, seed: u64) -> Self {
        Self {
            named,
            share: Share::of(named, routers),
            routers,
            level: part_of_one(xxh3_64(&seed.to_le_bytes())),
            updated: now,
            seed,
        }
    }

    /// Another rate holds from now on.
    pub fn set_rate(&mut self, now: Timestamp, named: f64) {
        self.change(now, named, self.routers);
    }

    /// So many routers share it from now on.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.change(now, self.named, routers);
    }

    fn change(&mut self, now: Timestamp, named: f64, routers: u16) {
        self.level = self.level(now);
        self.updated = self.updated.max(now);
        self.named = named;
        self.routers = routers;
        self.share = Share::of(named, routers);
        self.level = self.level.min(self.share.capacity);
    }

    /// Requests a second of this router, on the mean.
    pub fn per_second(&self) -> f64 {
        self.share.per_second * self.share.turn
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Timestamp) -> bool {
        self.level(now) >= 1.0 && self.has_turn(turn_at(now, self.seed))
    }

    /// How long until one may be sent, as far as it is looked ahead.
    pub fn wait(&self, now: Timestamp) -> Duration {
        let missing = (1.0 - self.level(now)).max(0.0);
        let filled = now.plus(Duration::from_secs_f64(missing / self.share.per_second));
        let first = turn_at(filled, self.seed);
        let mut turns = first..first + MOST_TURNS_AHEAD;
        let next = turns.find(|turn| self.has_turn(*turn));
        let next = next.unwrap_or(first + MOST_TURNS_AHEAD);
        filled.max(begin_of_turn(next, self.seed)).since(now)
    }

    fn has_turn(&self, turn: u64) -> bool {
        let drawn = xxh3_64_with_seed(&turn.to_le_bytes(), self.seed);
        part_of_one(drawn) < self.share.turn
    }

    /// A request is sent.
    pub fn charge(&mut self, now: Timestamp) {
        self.add(now, -1.0);
    }

    /// One that was charged was not sent.
    pub fn pay_back(&mut self, now: Timestamp) {
        self.add(now, 1.0);
    }

    fn add(&mut self, now: Timestamp, amount: f64) {
        self.level = self.level(now) + amount;
        self.updated = self.updated.max(now);
    }

    fn level(&self, now: Timestamp) -> f64 {
        let flowed_in = now.since(self.updated).as_secs_f64() * self.share.per_second;
        (self.level + flowed_in).min(self.share.capacity)
    }
}

/// Which of a router's turns a time is in, by number. Turns of routers begin at different moments.
fn turn_at(now: Timestamp, seed: u64) -> u64 {
    (now.0 + phase(seed)) / TURN.as_micros() as u64
}

fn begin_of_turn(turn: u64, seed: u64) -> Timestamp {
    Timestamp((turn * TURN.as_micros() as u64).saturating_sub(phase(seed)))
}

/// Microseconds.
fn phase(seed: u64) -> u64 {
    seed % TURN.as_micros() as u64
}

fn part_of_one(drawn: u64) -> f64 {
    drawn as f64 / u64::MAX as f64
}

#[cfg(test)]
#[path = "rate_share_tests.rs"]
mod tests;
