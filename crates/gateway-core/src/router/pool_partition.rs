//! Partition of a pool into back ends preferred by short prompts and back ends preferred by long ones.

use std::time::Duration;

use super::endpoint::Endpoint;
use super::partition_demand::LoadOfPool;
use super::speed_class::SpeedClass;
use super::summary::NameHash;
use super::{Admission, RouterCore};

/// The partition of a pool. The slowest back ends are preferred by short prompts, which need little of them, and
/// the others by long prompts. Back ends of one speed class are ordered by the hash of their names.
#[derive(Default)]
pub(super) struct PoolPartition {
    /// The last back end in the partition of short prompts; `None` when the pool is not partitioned because nearly
    /// all prompts are of one kind.
    last_short: Option<(SpeedClass, u64)>,
}

impl PoolPartition {
    pub fn prefers(&self, endpoint: &Endpoint, is_short: bool) -> bool {
        let position = (endpoint.speed_class, endpoint.name_hash);
        self.last_short
            .is_none_or(|last_short| (position <= last_short) == is_short)
    }

    /// Gives this share of the capacity of some back ends to short prompts, but each kind at least one back end.
    fn of(back_ends: &[(SpeedClass, u64)], short_share: f64) -> Self {
        let mut counts = [0_usize; SpeedClass::COUNT];
        for (class, _) in back_ends {
            counts[class.index()] += 1;
        }
        let mut short = 0;
        let mut capacity = short_share
            * back_ends
                .iter()
                .map(|(class, _)| class.speed())
                .sum::<f64>();
        for (count, speed) in counts.into_iter().zip(SpeedClass::speeds()) {
            let taken = (capacity / speed).round().clamp(0.0, count as f64);
            capacity -= taken * speed;
            short += taken as usize;
        }
        let short = short.clamp(1, (back_ends.len() - 1).max(1));
        let mut back_ends = back_ends.to_vec();
        let (_, last_short, _) = back_ends.select_nth_unstable(short - 1);
        Self {
            last_short: Some(*last_short),
        }
    }
}

impl RouterCore {
    /// Partitions the pool of a request. The capacity of each partition is proportional to its share of the work,
    /// or to what the running requests of all routers need if that is more.
    pub(super) fn pool_partition(&self, admission: &Admission) -> PoolPartition {
        let Some(short_share) = self.prompt_mix.short_share() else {
            return PoolPartition::default();
        };
        let back_ends = self.partitioned(admission);
        let back_ends = back_ends.map(|endpoint| (endpoint.speed_class, endpoint.name_hash));
        let back_ends: Vec<(SpeedClass, u64)> = back_ends.collect();
        if back_ends.is_empty() {
            return PoolPartition::default();
        }
        let long_prefill =
            self.speeds.curve(&admission.pool).us_per_token * self.prompt_mix.long_prefill_tokens();
        let long_prefill = Duration::from_secs_f64(long_prefill / 1e6);
        let demand = &self.partition_demand;
        let short_share = demand.short_share(&admission.pool, short_share, long_prefill);
        PoolPartition::of(&back_ends, short_share)
    }

    /// The load of the pool of a request, from which the need of each kind of prompts is derived.
    pub(super) fn load_of_pool(&self, admission: &Admission) -> LoadOfPool {
        let long_prefill = self.prompt_mix.long_prefill_tokens();
        let mut load = LoadOfPool::default();
        for endpoint in self.partitioned(admission) {
            load.add(endpoint, long_prefill);
        }
        load
    }

    fn partitioned(&self, admission: &Admission) -> impl Iterator<Item = &Endpoint> {
        let pool = NameHash::of(admission.pool.as_str());
        let endpoints = self.endpoints.iter().map(|(_, endpoint)| endpoint);
        endpoints.filter(move |endpoint| {
            endpoint.summary.pool == pool && endpoint.summary.is_ready && endpoint.is_reachable()
        })
    }
}

#[cfg(test)]
#[path = "pool_partition_tests.rs"]
mod tests;
