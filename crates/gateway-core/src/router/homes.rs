//! Homes of prompts: the back ends in the order of rendezvous hashing, the same on all routers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidate::Candidate;
use super::sides::Sides;
use super::PromptPart;
use crate::{InstanceId, ModelName};

/// What requests with the same shared parts have in common; `None` when nothing is shared.
pub(super) fn home_key(model: &ModelName, shared: &[PromptPart]) -> Option<u64> {
    let start = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    let key = shared.iter().fold(start, |seed, part| {
        xxh3_64_with_seed(part.id.as_bytes(), seed)
    });
    (!shared.is_empty()).then_some(key)
}

/// The back ends of one side in the order of rendezvous hashing.
pub(super) struct Homes {
    key: u64,
    required_weights: Option<u64>,
    /// Descending.
    weights: Vec<u64>,
}

impl Homes {
    /// The order for one key; with `required_weights`, of those only that hold these weights, and
    /// they have no side then.
    pub fn new(
        key: u64,
        usable: &[Candidate<'_>],
        sides: &Sides,
        is_short: bool,
        required_weights: Option<u64>,
    ) -> Self {
        let own = usable.iter().filter(|candidate| match required_weights {
            Some(_) => candidate.version == required_weights,
            None => sides.is_own(candidate.id, is_short),
        });
        let mut weights: Vec<u64> = own.map(|candidate| weight(candidate.id, key)).collect();
        weights.sort_unstable_by_key(|weight| std::cmp::Reverse(*weight));
        Self {
            key,
            required_weights,
            weights,
        }
    }

    /// How many come before this one.
    pub fn rank(&self, candidate: &Candidate<'_>) -> usize {
        if self.required_weights.is_some() && candidate.version != self.required_weights {
            return self.weights.len();
        }
        let own = weight(candidate.id, self.key);
        self.weights.partition_point(|weight| *weight > own)
    }
}

/// The first home of a prompt is the back end with the highest weight.
pub(super) fn weight(id: &InstanceId, key: u64) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), key)
}
