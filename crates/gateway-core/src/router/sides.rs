//! The sides of a pool: back ends that short prompts prefer, and those for long ones.

use super::endpoint::Endpoint;
use super::summary::NameHash;
use super::{Admission, RouterCore};

/// The back ends that short prompts prefer: those whose names have the lowest hashes.
#[derive(Default)]
pub(super) struct Sides {
    /// The highest hash among them; `None` when nearly all prompts are alike.
    last_short: Option<u64>,
}

impl Sides {
    pub fn is_own(&self, endpoint: &Endpoint, is_short: bool) -> bool {
        let last_short = self.last_short;
        last_short.is_none_or(|last| (endpoint.name_hash <= last) == is_short)
    }
}

impl RouterCore {
    /// Each side is as large as its part of the work.
    pub(super) fn sides(&self, admission: &Admission) -> Sides {
        let Some(short_share) = self.prompt_mix.short_share() else {
            return Sides::default();
        };
        let pool = NameHash::of(admission.pool.as_str());
        let in_pool = |endpoint: &&Endpoint| {
            endpoint.summary.pool == pool && endpoint.summary.is_ready && endpoint.is_reachable()
        };
        let endpoints = self.endpoints.iter().map(|(_, endpoint)| endpoint);
        let hashes = endpoints.filter(in_pool).map(|endpoint| endpoint.name_hash);
        let mut hashes: Vec<u64> = hashes.collect();
        if hashes.is_empty() {
            return Sides::default();
        }
        let shorts = (hashes.len() as f64 * short_share).round() as usize;
        let shorts = shorts.clamp(1, (hashes.len() - 1).max(1));
        let (_, last_short, _) = hashes.select_nth_unstable(shorts - 1);
        Sides {
            last_short: Some(*last_short),
        }
    }
}
