//! How many back ends of a pool load weights at once.

use std::time::Duration;

/// Occupancy that the back ends left may reach while others load. Above it, prompts wait noticeably for each other.
const TARGET_OCCUPANCY: f64 = 0.7;
/// At most one in this many back ends of a pool loads at once: all of them lose their caches.
const MAX_LOADING_DIVISOR: usize = 4;
/// Back ends of a pool that may load at once even if the pool is small.
const MIN_CONCURRENT_LOADS: usize = 2;

/// A pool with outdated back ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PoolSituation {
    /// Back ends that respond and are not draining, including those that load.
    pub back_ends: usize,
    /// Sum of the occupancies of all back ends, each from 0 to 1.
    pub occupied: f64,
    /// Back ends whose load is not finished.
    pub unfinished: usize,
    /// Time in which all loads have to be finished.
    pub time_left: Duration,
    /// Expected duration of one load, with the notification of routers before it.
    pub cycle: Duration,
    /// More loads at once than this only make each of them longer.
    pub useful: usize,
}

/// How many back ends may load at once, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPace {
    /// Back ends that may load at once.
    pub places: usize,
    /// Back ends that the others can carry the load for.
    pub spare: usize,
    /// Back ends that have to load at once for all to finish in time.
    pub needed: usize,
    /// Limit beyond which loads do not finish sooner.
    pub limit: usize,
}

impl LoadPace {
    /// Loads start as early as the load of the pool permits, because answers from outdated weights are worth less to
    /// callers. A pool without spare capacity spreads its loads over the time that is left.
    pub fn of(pool: &PoolSituation) -> Self {
        let spare = pool.back_ends as f64 - pool.occupied / TARGET_OCCUPANCY;
        let spare = spare.max(0.0) as usize;
        let cycles_left = pool.time_left.as_secs_f64() / pool.cycle.as_secs_f64();
        let needed = (pool.unfinished as f64 / cycles_left.max(1e-9)) as usize;
        let limit = max_concurrent(pool.back_ends).min(pool.useful.max(1));
        Self {
            places: spare.max(needed).min(limit),
            spare,
            needed: needed.min(pool.unfinished),
            limit,
        }
    }
}

/// Back ends of a pool that may load at once in any case.
pub(super) fn max_concurrent(back_ends: usize) -> usize {
    back_ends
        .div_ceil(MAX_LOADING_DIVISOR)
        .max(MIN_CONCURRENT_LOADS)
}

#[cfg(test)]
#[path = "pace_tests.rs"]
mod tests;
