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
    required_weights: Option<u64>,
    /// Of all candidates, in their order.
    of_candidates: Vec<u64>,
    /// Of those of the side, in no order.
    of_side: Vec<u64>,
    first: u64,
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
        let is_of_side = |candidate: &Candidate<'_>| match required_weights {
            Some(_) => candidate.version == required_weights,
            None => sides.is_own(candidate.endpoint, is_short),
        };
        let weights = usable.iter().map(|candidate| weight(candidate.id, key));
        let of_candidates: Vec<u64> = weights.collect();
        let all = usable.iter().zip(&of_candidates);
        let of_side = all.filter(|(candidate, _)| is_of_side(candidate));
        let of_side: Vec<u64> = of_side.map(|(_, weight)| *weight).collect();
        Self {
            required_weights,
            first: of_side.iter().copied().max().unwrap_or(0),
            of_side,
            of_candidates,
        }
    }

    /// Whether none comes before the candidate at a position.
    pub fn is_first(&self, position: usize, candidate: &Candidate<'_>) -> bool {
        let may_be = self.has_weights(candidate) || self.of_side.is_empty();
        may_be && self.of_candidates[position] >= self.first
    }

    /// How many come before it.
    pub fn rank(&self, position: usize, candidate: &Candidate<'_>) -> usize {
        if !self.has_weights(candidate) {
            return self.of_side.len();
        }
        let own = self.of_candidates[position];
        self.of_side.iter().filter(|weight| **weight > own).count()
    }

    fn has_weights(&self, candidate: &Candidate<'_>) -> bool {
        self.required_weights.is_none() || candidate.version == self.required_weights
    }
}

/// Its place in the order of rendezvous hashing under a key, or under a draw: the same on all routers. The first
/// home of a prompt is the back end with the highest weight.
pub(super) fn weight(id: &InstanceId, key: u64) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), key)
}
