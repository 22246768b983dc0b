//! The engines of a request's prefix family, and what they are expected to hold.

use drumshore_core::EngineId;

use crate::{Engine, PrefixChain};

/// The engines of a request's prefix family.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// All engines of the family; the homes of this very prompt come first.
    pub(crate) members: Vec<EngineId>,
    pub(crate) home_count: usize,
    /// The rate at which each member is asked for each block of the family, a second.
    pub(crate) member_rates: Vec<f64>,
    /// The rate at which each home is asked for each block behind these, a second.
    pub(crate) home_rates: Vec<f64>,
    /// The part of the members' rates, and of the homes', that the request itself adds.
    pub(crate) request_rates: (f64, f64),
}

/// Tokens of a prompt at an engine of its family.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FamilyTokens {
    /// Expected to be held now.
    pub(crate) expected: f64,
    /// Worth as much as if they were held: what this very request makes the engine hold will be
    /// asked for again there, and nowhere else.
    pub(crate) credited: f64,
}

impl Homes {
    /// What an engine of the family is expected to hold, and what it is credited.
    ///
    /// An engine that drops the longest unused first holds a block as long as its retention after
    /// each use; with requests that come at random at a known rate, the chance to find it is
    /// 1 - exp(-rate * retention).
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
