//! How long weight loads of a pool take, and how many at once still finish sooner than fewer would.
//!
//! Back ends that load at the same time may share a source of weights. Once it is saturated, each further load makes
//! the others longer by as much as it gains, and only takes more back ends out of service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

/// Duration of a load assumed until one has been observed.
const INITIAL_DURATION: Duration = Duration::from_millis(800);
/// A load that takes this many times as long as the shortest one shared its source.
const LONGER_FACTOR: f64 = 1.1;
/// Loads of which the shortest is compared: single long loads tell nothing about the others.
const COMPARED_LOADS: usize = 4;
/// Weight of a longer load among few others in the shortest duration, which so follows weights that take longer to load.
const LONGER_WEIGHT: f64 = 0.1;
/// Increase of the limit with each load that was as short as the shortest while the limit was reached, divided by
/// the limit.
const LIMIT_INCREASE: f64 = 1.0;

/// Loads with fewer others than this fraction of the limit tell nothing about it.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// A load in progress.
#[derive(Clone, Copy, Debug)]
struct StartedLoad {
    at: Timestamp,
    /// Loads of the pool in progress then, including this one.
    concurrent: usize,
}

/// Observations of one pool.
#[derive(Debug)]
struct PoolDurations {
    shortest: Duration,
    /// Loads at once that still help; unlimited until loads were longer than the shortest.
    limit: f64,
    last: VecDeque<(Duration, usize)>,
}

impl PoolDurations {
    fn new(first: Duration) -> Self {
        Self {
            shortest: first,
            limit: f64::INFINITY,
            last: VecDeque::new(),
        }
    }

    fn update_shortest(&mut self, duration: Duration, is_undisturbed: bool) {
        let longer = duration.saturating_sub(self.shortest);
        self.shortest = self.shortest.min(duration);
        if is_undisturbed {
            self.shortest += longer.mul_f64(LONGER_WEIGHT);
        }
    }

    /// Additive increase and multiplicative decrease of the limit.
    fn record(&mut self, duration: Duration, concurrent: usize) {
        let is_far_below_limit =
            self.limit.is_finite() && (concurrent as f64) < self.limit * NEAR_LIMIT_FRACTION;
        self.update_shortest(duration, is_far_below_limit || concurrent <= 1);
        let is_short = |duration: Duration| duration <= self.shortest.mul_f64(LONGER_FACTOR);
        if is_short(duration) && concurrent as f64 + 1.0 >= self.limit {
            self.limit += LIMIT_INCREASE / self.limit;
        }
        if is_far_below_limit {
            return;
        }
        self.last.push_back((duration, concurrent));
        if self.last.len() < COMPARED_LOADS {
            return;
        }
        if self.last.iter().all(|(duration, _)| !is_short(*duration)) {
            let rates = self.last.iter().map(|(duration, concurrent)| {
                *concurrent as f64 * self.shortest.as_secs_f64() / duration.as_secs_f64()
            });
            let rate = rates.sum::<f64>() / self.last.len() as f64;
            self.limit = self.limit.min(rate.max(1.0));
            self.last.clear();
        } else {
            self.last.pop_front();
        }
    }
}

/// Durations of weight loads by pool, as this leader observed them.
#[derive(Debug, Default)]
pub(super) struct LoadDurations {
    started: BTreeMap<String, StartedLoad>,
    pools: BTreeMap<String, PoolDurations>,
}

impl LoadDurations {
    /// An order was sent to a back end; `concurrent` loads of its pool are in progress with this one.
    pub fn on_ordered(&mut self, instance: &str, at: Timestamp, concurrent: usize) {
        let load = StartedLoad { at, concurrent };
        self.started.insert(instance.to_owned(), load);
    }

    /// The order was not accepted at once, so the duration of its load is not known.
    pub fn forget(&mut self, instance: &str) {
        self.started.remove(instance);
    }

    /// A load was finished.
    pub fn on_finished(&mut self, now: Timestamp, pool: &str, instance: &str) {
        let Some(load) = self.started.remove(instance) else {
            return;
        };
        let duration = now.since(load.at);
        let pool = self
            .pools
            .entry(pool.to_owned())
            .or_insert_with(|| PoolDurations::new(duration));
        pool.record(duration, load.concurrent);
    }

    /// Expected duration of a load of a pool while few are in progress.
    pub fn expected(&self, pool: &str) -> Duration {
        let pool = self.pools.get(pool);
        pool.map_or(INITIAL_DURATION, |pool| pool.shortest)
    }

    /// Number of loads of a pool at once beyond which loads do not finish sooner.
    pub fn useful(&self, pool: &str) -> usize {
        let limit = self.pools.get(pool).map(|pool| pool.limit);
        limit.map_or(usize::MAX, |limit| limit as usize)
    }
}

#[cfg(test)]
#[path = "durations_tests.rs"]
mod tests;
