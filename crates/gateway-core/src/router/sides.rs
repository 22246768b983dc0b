//! The sides of a pool: back ends that short prompts prefer, and those for long ones.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Admission, RouterCore};
use crate::{InstanceId, Lifecycle};

/// The back ends that short prompts prefer; none when nearly all prompts are alike.
#[derive(Default)]
pub(super) struct Sides {
    short: HashSet<InstanceId>,
}

impl Sides {
    pub fn is_own(&self, id: &InstanceId, is_short: bool) -> bool {
        self.short.is_empty() || self.short.contains(id) == is_short
    }
}

impl RouterCore {
    /// Each side is as large as its part of the work.
    pub(super) fn sides(&self, admission: &Admission) -> Sides {
        let Some(short_share) = self.prompt_mix.short_share() else {
            return Sides::default();
        };
        let mut ranked: Vec<(u64, &InstanceId)> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint.record.pool.as_str() == admission.pool.as_str()
                    && endpoint.record.lifecycle == Lifecycle::Ready
                    && endpoint.is_reachable()
            })
            .map(|(id, _)| (xxh3_64_with_seed(id.as_str().as_bytes(), 0), id))
            .collect();
        ranked.sort_unstable();
        let shorts = (ranked.len() as f64 * short_share).round() as usize;
        let shorts = shorts.clamp(1, ranked.len().saturating_sub(1).max(1));
        Sides {
            short: ranked[..shorts.min(ranked.len())]
                .iter()
                .map(|(_, id)| (*id).clone())
                .collect(),
        }
    }
}
