//! Homes of prompts: the back ends ranked by rendezvous hashing, in the same order on all routers.

mod former;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidate::Candidate;
use super::pool_partition::PoolPartition;
use super::PromptPart;
use crate::{InstanceId, ModelName};

/// A hash of the model and the shared parts, equal for prompts that share all of them; `None` when nothing is shared.
pub(super) fn home_key(model: &ModelName, shared: &[PromptPart]) -> Option<u64> {
    let start = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    let key = shared.iter().fold(start, |seed, part| {
        xxh3_64_with_seed(part.id.as_bytes(), seed)
    });
    (!shared.is_empty()).then_some(key)
}

/// The rendezvous scores of the back ends for one key.
pub(super) struct Homes {
    required_weights: Option<u64>,
    /// Scores of all candidates, in the order of the candidates.
    scores: Vec<u64>,
    /// Scores of the candidates in the prompt's partition, unordered.
    partition_scores: Vec<u64>,
    highest_score: u64,
}

impl Homes {
    /// Ranks the back ends of the prompt's partition for a key. With `required_weights`, ranks all back ends that hold
    /// this version instead, regardless of partitions.
    pub fn new(
        key: u64,
        usable: &[Candidate<'_>],
        pool_partition: &PoolPartition,
        is_short: bool,
        required_weights: Option<u64>,
    ) -> Self {
        let is_in_partition = |candidate: &Candidate<'_>| match required_weights {
            Some(_) => candidate.version == required_weights,
            None => pool_partition.prefers(candidate.endpoint, is_short),
        };
        let scores = usable
            .iter()
            .map(|candidate| rendezvous_score(candidate.id, key));
        let scores: Vec<u64> = scores.collect();
        let all = usable.iter().zip(&scores);
        let partition_scores = all.filter(|(candidate, _)| is_in_partition(candidate));
        let partition_scores: Vec<u64> = partition_scores.map(|(_, score)| *score).collect();
        Self {
            required_weights,
            highest_score: partition_scores.iter().copied().max().unwrap_or(0),
            partition_scores,
            scores,
        }
    }

    /// Whether the candidate at a position scores at least as high as all ranked back ends.
    pub fn is_first_home(&self, position: usize, candidate: &Candidate<'_>) -> bool {
        let is_eligible = self.has_weights(candidate) || self.partition_scores.is_empty();
        is_eligible && self.scores[position] >= self.highest_score
    }

    /// Number of ranked back ends that score higher than the candidate at a position.
    pub fn rank(&self, position: usize, candidate: &Candidate<'_>) -> usize {
        if !self.has_weights(candidate) {
            return self.partition_scores.len();
        }
        let own = self.scores[position];
        self.partition_scores
            .iter()
            .filter(|score| **score > own)
            .count()
    }

    fn has_weights(&self, candidate: &Candidate<'_>) -> bool {
        self.required_weights.is_none() || candidate.version == self.required_weights
    }
}

/// The rendezvous hash of a back end under a key or a random sample, equal on all routers. The back end with the
/// highest score for a prompt's key is the prompt's first home.
pub(super) fn rendezvous_score(id: &InstanceId, key: u64) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), key)
}
