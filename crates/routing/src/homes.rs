//! The engines of a request's prefix family, and the tokens that they are expected to cache.
//!
//! A family is the set of requests that share a prefix, chosen so that its request rate suits one
//! engine. [`crate::Scheduler`] sends a family's requests to the same few engines.

use drumshore_core::EngineId;

use crate::{Engine, PrefixChain};

/// The engines of a request's prefix family, with the request rates from which their cache contents
/// are estimated.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// All engines of the family. The first `home_count` are the homes of this prompt: the engines
    /// preferred for its blocks behind the family's prefix.
    pub(crate) members: Vec<EngineId>,
    pub(crate) home_count: usize,
    /// For each block of the family's prefix, the rate at which one member is requested for it, a
    /// second.
    pub(crate) member_rates: Vec<f64>,
    /// For each block behind that prefix, the rate at which one home is requested for it, a second.
    pub(crate) home_rates: Vec<f64>,
    /// The amounts that this request itself added to a member's rates and to a home's rates.
    pub(crate) request_rates: (f64, f64),
}

/// Estimated tokens of a prompt in the cache of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FamilyTokens {
    /// Tokens expected in the cache now.
    pub(crate) expected: f64,
    /// Tokens that placement counts as cached. This includes the benefit of this request: the
    /// blocks that it leaves in the engine's cache serve later requests of the family, which go to
    /// the same engines.
    pub(crate) credited: f64,
}

impl Homes {
    /// Estimates the tokens that an engine caches; 0 for an engine outside the family.
    ///
    /// An engine that evicts the least recently used block first keeps a block for its retention
    /// time after each use. If requests arrive at random with a known rate, the probability that
    /// the block is cached is 1 - exp(-rate * retention).
    ///
    /// Source: Che, Tung and Wang, "Hierarchical Web Caching Systems: Modeling, Design and
    /// Experimental Results", 2002.
    pub(crate) fn tokens(&self, engine: &Engine, chain: &PrefixChain) -> FamilyTokens {
        let Some(rank) = self.members.iter().position(|member| *member == engine.id) else {
            return FamilyTokens::default();
        };
        let retention = engine.retention.as_secs_f64();
        let block_tokens = f64::from(chain.block_tokens());
        let held = |(of_member, of_home): (f64, f64)| {
            let chance = |rate: f64| 1.0 - (-rate.max(0.0) * retention).exp();
            let members = self.member_rates.iter();
            let mut blocks: f64 = members.map(|rate| chance(rate - of_member)).sum();
            if rank < self.home_count {
                let homes = self.home_rates.iter();
                blocks += homes.map(|rate| chance(rate - of_home)).sum::<f64>();
            }
            blocks * block_tokens
        };
        FamilyTokens {
            expected: held(self.request_rates),
            credited: held((0.0, 0.0)),
        }
    }
}
