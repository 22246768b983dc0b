//! The share of a pool that short prompts need now, from the loads of all routers, which are a few hundred
//! milliseconds old and nearly equal at all routers.

use std::collections::HashMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::endpoint::Endpoint;
use crate::PoolName;

/// Utilization of the slots of the partition of short prompts up to which it is large enough.
const TARGET_UTILIZATION: f64 = 0.75;
/// Time constant with which a need decays after its load has gone. It is longer than the interval at which
/// bursts alternate, so that back ends do not change sides and their caches with each one.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// A partition of short prompts grows beyond their share of the work only if they would be late behind this many
/// long prompts. Others wait a little longer, and long prompts keep their back ends.
const LONG_PROMPTS_AHEAD: u32 = 2;
/// Needs are not updated more often than this; loads of other routers arrive less often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// The running requests of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadOfPool {
    back_ends: f64,
    slots: f64,
    /// Requests that wait for the prefill of a long prompt of their own.
    long_prefills: f64,
    in_flight: f64,
}

/// Shares of the pool's back ends.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    short: f64,
    long: f64,
    at: Timestamp,
    /// The shortest target of the routes with short prompts.
    short_target: Option<Duration>,
}

/// The needs of pools.
#[derive(Debug, Default)]
pub(super) struct PartitionDemand(HashMap<PoolName, Need>);

impl LoadOfPool {
    /// Adds the load of a back end; `long_prefill` is the mean prefill of a long prompt, in tokens.
    pub fn add(&mut self, endpoint: &Endpoint, long_prefill: f64) {
        let in_flight = f64::from(endpoint.all_in_flight());
        let pending = f64::from(endpoint.all_pending_tokens());
        self.back_ends += 1.0;
        self.slots += f64::from(endpoint.slots());
        self.long_prefills += (pending / long_prefill.max(1.0)).min(in_flight);
        self.in_flight += in_flight;
    }

    fn need(&self, at: Timestamp) -> Need {
        let streams = self.in_flight - self.long_prefills;
        Need {
            short: streams / (self.slots * TARGET_UTILIZATION).max(1.0),
            long: (self.long_prefills / self.back_ends.max(1.0)).min(1.0),
            at,
            short_target: None,
        }
    }
}

impl Need {
    fn is_tight(&self, long_prefill: Duration) -> bool {
        let target = self.short_target.unwrap_or(Duration::MAX);
        target < long_prefill * LONG_PROMPTS_AHEAD
    }
}

impl PartitionDemand {
    /// Whether the needs of a pool are so old that they should be updated.
    pub fn is_due(&self, now: Timestamp, pool: &PoolName) -> bool {
        let need = self.0.get(pool);
        need.is_none_or(|need| now.since(need.at) >= UPDATE_INTERVAL)
    }

    /// Raises the needs of a pool at once to those of its load, and lowers them slowly.
    pub fn update(&mut self, now: Timestamp, pool: &PoolName, load: &LoadOfPool) {
        let newest = load.need(now);
        let Some(need) = self.0.get_mut(pool) else {
            self.0.insert(pool.clone(), newest);
            return;
        };
        let passed = now.since(need.at).as_secs_f64();
        let kept = (-passed / DECAY_TIME.as_secs_f64()).exp();
        let decayed = |earlier: f64, newest: f64| newest + (earlier - newest).max(0.0) * kept;
        need.short = decayed(need.short, newest.short);
        need.long = decayed(need.long, newest.long);
        need.at = now;
    }

    /// Records the target of a route with short prompts.
    pub fn note_target(&mut self, pool: &PoolName, target: Duration) {
        if let Some(need) = self.0.get_mut(pool) {
            need.short_target = Some(need.short_target.map_or(target, |known| known.min(target)));
        }
    }

    /// The share of short prompts: that of their work, unless one kind needs more now. If both do, each gets
    /// its part of what they need together. `long_prefill` is the mean time for which a long prompt occupies a back end.
    pub fn short_share(&self, pool: &PoolName, share_of_work: f64, long_prefill: Duration) -> f64 {
        let Some(need) = self.0.get(pool).filter(|need| need.is_tight(long_prefill)) else {
            return share_of_work;
        };
        if need.short + need.long >= 1.0 {
            return need.short / (need.short + need.long);
        }
        share_of_work.clamp(need.short, 1.0 - need.long)
    }
}

#[cfg(test)]
#[path = "partition_demand_tests.rs"]
mod tests;
