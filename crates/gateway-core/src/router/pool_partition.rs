//! Partition of a pool into back ends preferred by short prompts and back ends preferred by long ones.

use super::endpoint::Endpoint;
use super::summary::NameHash;
use super::{Admission, RouterCore};

/// The partition of a pool: short prompts prefer the back ends with the lowest name hashes, long prompts the others.
#[derive(Default)]
pub(super) struct PoolPartition {
    /// The highest name hash in the partition of short prompts; `None` when the pool is not partitioned because nearly
    /// all prompts are of one kind.
    highest_short_hash: Option<u64>,
}

impl PoolPartition {
    pub fn prefers(&self, endpoint: &Endpoint, is_short: bool) -> bool {
        let highest_short_hash = self.highest_short_hash;
        highest_short_hash.is_none_or(|highest| (endpoint.name_hash <= highest) == is_short)
    }
}

impl RouterCore {
    /// Partitions the pool of a request. The size of each partition is proportional to its share of the work.
    pub(super) fn pool_partition(&self, admission: &Admission) -> PoolPartition {
        let Some(short_share) = self.prompt_mix.short_share() else {
            return PoolPartition::default();
        };
        let pool = NameHash::of(admission.pool.as_str());
        let in_pool = |endpoint: &&Endpoint| {
            endpoint.summary.pool == pool && endpoint.summary.is_ready && endpoint.is_reachable()
        };
        let endpoints = self.endpoints.iter().map(|(_, endpoint)| endpoint);
        let hashes = endpoints.filter(in_pool).map(|endpoint| endpoint.name_hash);
        let mut hashes: Vec<u64> = hashes.collect();
        if hashes.is_empty() {
            return PoolPartition::default();
        }
        let short_count = (hashes.len() as f64 * short_share).round() as usize;
        let short_count = short_count.clamp(1, (hashes.len() - 1).max(1));
        let (_, highest_short_hash, _) = hashes.select_nth_unstable(short_count - 1);
        PoolPartition {
            highest_short_hash: Some(*highest_short_hash),
        }
    }
}
