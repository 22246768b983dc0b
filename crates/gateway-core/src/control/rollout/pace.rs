//! How many back ends of a pool load weights at once.

use std::collections::BTreeMap;
use std::time::Duration;

/// Occupancy that the back ends left may reach while others load. Above it, prompts wait noticeably for each other.
const TARGET_OCCUPANCY: f64 = 0.7;
/// At most one in this many back ends of a pool loads at once: all of them lose their caches.
const MAX_LOADING_DIVISOR: usize = 4;
/// One in this many back ends of a pool without spare capacity loads at once, as late as the deadline permits: weights
/// may be replaced again meanwhile, and each load costs the caches.
const BUSY_LOADING_DIVISOR: usize = 6;
/// Back ends of a pool that may load at once even if the pool is small.
const MIN_CONCURRENT_LOADS: usize = 2;

/// A pool with outdated back ends.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PoolSituation {
    /// Back ends that respond and are not draining, including those that load.
    pub back_ends: usize,
    /// Sum of the occupancies of all back ends, each from 0 to 1.
    pub occupied: f64,
    /// Back ends whose load is not finished, by the time in which it has to be.
    pub unfinished: BTreeMap<Duration, usize>,
    /// Expected duration of one load, with the notification of routers before it.
    pub cycle: Duration,
    /// More loads at once than this only make each of them longer.
    pub useful: usize,
}

impl PoolSituation {
    /// Back ends that have to load at once so that all loads are finished in their time; 0 while they can wait. Loads begin
    /// with the most urgent ones, so those due by some time have to fit into that time together.
    fn needed(&self) -> usize {
        let most = self.back_ends.div_ceil(BUSY_LOADING_DIVISOR).max(1);
        let mut due = 0;
        let needed = self.unfinished.iter().map(|(time_left, count)| {
            due += count;
            let cycles = due.div_ceil(most) as f64;
            let cycles_left = time_left.as_secs_f64() / self.cycle.as_secs_f64();
            if time_left.is_zero() {
                due
            } else if cycles >= cycles_left {
                most.min(due)
            } else {
                0
            }
        });
        needed.max().unwrap_or(0)
    }
}

/// How many back ends may load at once, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPace {
    /// Back ends that may load at once.
    pub places: usize,
    /// Back ends that the others can carry the load for.
    pub spare: usize,
    /// Back ends that have to load at once for all to finish in time; 0 while they can wait.
    pub needed: usize,
    /// Limit beyond which loads do not finish sooner.
    pub limit: usize,
}

impl LoadPace {
    /// Loads start as early as the load of the pool permits, because answers from outdated weights are worth less to
    /// callers. A pool without spare capacity waits as long as a few at a time still finish by the deadline.
    pub fn of(pool: &PoolSituation) -> Self {
        let spare = pool.back_ends as f64 - pool.occupied / TARGET_OCCUPANCY;
        let spare = spare.max(0.0) as usize;
        let needed = pool.needed();
        let limit = concurrency_limit(pool.back_ends, pool.useful);
        Self {
            places: spare.max(needed).min(limit),
            spare,
            needed,
            limit,
        }
    }
}

/// Back ends of a pool that may load at once. `useful` is the number beyond which loads were not seen to finish sooner.
/// As orders that are carried out late and back ends that crash make loads look longer than they are, it never lowers the
/// number below what the deadline of a busy pool is planned with.
pub(super) fn concurrency_limit(back_ends: usize, useful: usize) -> usize {
    let most = back_ends
        .div_ceil(MAX_LOADING_DIVISOR)
        .max(MIN_CONCURRENT_LOADS);
    let least = back_ends.div_ceil(BUSY_LOADING_DIVISOR).max(1);
    useful.clamp(least, most)
}

#[cfg(test)]
#[path = "pace_tests.rs"]
mod tests;
