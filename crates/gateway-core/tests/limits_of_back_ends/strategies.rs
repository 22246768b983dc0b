//! Alternative strategies by which routers can share a rate without communicating, for comparison with `RouterCore`.

use std::time::Duration;

use drumshore_core::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{max_requests_in_window, Tally, IDLE_PERIOD, MAX_REQUESTS, REQUEST_PERIOD};

/// How each router uses its equal share of the rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// A token bucket for one request, initially full.
    FullBucket,
    /// The same bucket with a random initial level.
    BucketAtRandomLevel,
    /// As [`Strategy::FullBucket`], but below one token a request is admitted with the probability of the level.
    Probabilistic,
    /// Each router decides at random whether it sends. The few that do share the rate equally, with full buckets;
    /// the others send nothing.
    FewRouters,
}

pub const STRATEGIES: [Strategy; 4] = [
    Strategy::FullBucket,
    Strategy::BucketAtRandomLevel,
    Strategy::Probabilistic,
    Strategy::FewRouters,
];

/// The token bucket of one router.
struct Bucket {
    per_second: f64,
    level: f64,
    updated: Timestamp,
    is_probabilistic: bool,
}

impl Bucket {
    fn try_admit(&mut self, now: Timestamp, random: &mut ChaCha8Rng) -> bool {
        let refill = now.since(self.updated).as_secs_f64() * self.per_second;
        self.level = (self.level + refill).min(1.0);
        self.updated = now;
        let needed = if self.is_probabilistic {
            random.random::<f64>()
        } else {
            1.0
        };
        let admits = self.level >= needed;
        self.level -= if admits { 1.0 } else { 0.0 };
        admits
    }
}

fn bucket(strategy: Strategy, routers: usize, limit: f64, random: &mut ChaCha8Rng) -> Bucket {
    let expected_senders = 2.0 * limit + 2.0;
    let all = routers as f64;
    let sender_count = if strategy == Strategy::FewRouters {
        expected_senders.min(all)
    } else {
        all
    };
    let is_sender =
        strategy != Strategy::FewRouters || random.random::<f64>() < expected_senders / all;
    Bucket {
        per_second: if is_sender { limit / sender_count } else { 0.0 },
        level: match strategy {
            Strategy::BucketAtRandomLevel => random.random(),
            _ if is_sender => 1.0,
            _ => 0.0,
        },
        updated: Timestamp(1),
        is_probabilistic: strategy == Strategy::Probabilistic,
    }
}

/// Applies one strategy to the same request pattern as [`Fleet::run`](super::Fleet::run).
pub fn run(strategy: Strategy, routers: usize, limit: f64, per_second: f64, seed: u64) -> Tally {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let buckets = (0..routers).map(|_| bucket(strategy, routers, limit, &mut random));
    let mut buckets: Vec<Bucket> = buckets.collect();
    let request_period = REQUEST_PERIOD.min(Duration::from_secs_f64(MAX_REQUESTS / per_second));
    let mut now = Timestamp(1).plus(IDLE_PERIOD);
    let end = now.plus(request_period);
    let mut sent = Vec::new();
    while now < end {
        let wait = -random.random::<f64>().max(1e-12).ln() / per_second;
        now = now.plus(Duration::from_secs_f64(wait));
        let router = random.random_range(0..routers);
        if buckets[router].try_admit(now, &mut random) {
            sent.push(now);
        }
    }
    let possible_requests = limit.min(per_second) * request_period.as_secs_f64();
    Tally {
        max_in_window: max_requests_in_window(&sent),
        used_fraction: sent.len() as f64 / possible_requests,
    }
}
