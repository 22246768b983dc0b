//! The scheduler's policy and weights.

use drumshore_core::PlacementGoal;
use serde::{Deserialize, Serialize};

/// How engines are chosen. All but [`Policy::Product`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// One after the other.
    RoundRobin,
    /// The least that waits and runs.
    LeastLoaded,
    /// Cost with this router's own beliefs only.
    #[serde(rename = "own-belief")]
    LocalIndex,
    /// Cost with rendezvous homes only.
    Rendezvous,
    /// Cost with beliefs and homes.
    #[default]
    Product,
    /// Cost with what [`crate::Engine::set_exact_state`] has shown: the oracle of measurements.
    Exact,
}

/// Weights of the cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulerParams {
    /// How engines are chosen.
    pub policy: Policy,
    /// Expected time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Expected delay that each running sequence adds, in microseconds.
    pub running_us: f64,
    /// Added for an engine in another zone, in microseconds.
    pub other_zone_us: f64,
    /// Added for an engine in another region, in microseconds. Its load is not reported here, so
    /// it is a last resort.
    pub other_region_us: f64,
    /// What a token computed costs in comparison with a token waited for: above 1 because
    /// computing also delays others and evicts what they need.
    pub recompute_weight: f64,
    /// The same where reuse is the goal.
    pub reuse_recompute_weight: f64,
    /// The same for both goals once the index has answered: queues are then known as well as
    /// caches, and may count as much.
    pub informed_recompute_weight: f64,
    /// The share of an engine's fair part of all requests that one prefix family may have before
    /// it is split, or shared by several engines when it cannot be split.
    pub family_share: f64,
    /// Engines that share one hot prefix, at most.
    pub max_homes: usize,
    /// Engines over which a family's longer prefixes are spread. More engines carry more evenly,
    /// and hold more copies of what the family shares.
    pub family_spread: usize,
    /// Families with fewer requests a second are neither split nor shared.
    pub min_family_rate: f64,
    /// Routers that see the same traffic; this router's rates are multiplied by it.
    pub routers: f64,
    /// Bytes a second that questions to the index may take, their answers and bookings included.
    /// It keeps them within a node's share of control traffic; 0 for no questions.
    pub index_bytes_per_second: f64,
    /// Prompt tokens that have to be at stake for a question when its budget is all but spent. The
    /// fuller the budget, the less has to be at stake, down to nothing.
    pub index_stake_tokens: f64,
    /// Engines that an answer names.
    pub index_engines: usize,
    /// Engines drawn at random, so that an idle one is found.
    pub sampled: usize,
    /// Pools of up to this size are looked at as a whole.
    pub scan_all_up_to: usize,
    /// Prompt tokens that may wait at an engine before it counts as full.
    pub max_waiting_tokens: u32,
    /// Requests of this router that may be open at one engine before it counts as full.
    pub max_open_per_engine: u32,
    /// Candidates kept for the decision record.
    pub recorded_candidates: usize,
}

impl SchedulerParams {
    /// What a token computed costs under a goal in comparison with a token waited for.
    pub fn recompute_weight_of(&self, goal: PlacementGoal, informed: bool) -> f64 {
        match goal {
            _ if informed => self.informed_recompute_weight,
            PlacementGoal::Latency => self.recompute_weight,
            PlacementGoal::Reuse => self.reuse_recompute_weight,
        }
    }
}

impl Default for SchedulerParams {
    fn default() -> Self {
        Self {
            policy: Policy::Product,
            prefill_us_per_token: 20.0,
            running_us: 100.0,
            other_zone_us: 1_000.0,
            other_region_us: 500_000.0,
            recompute_weight: 4.0,
            reuse_recompute_weight: 8.0,
            informed_recompute_weight: 1.6,
            family_share: 3.0,
            max_homes: 8,
            family_spread: 3,
            min_family_rate: 0.5,
            routers: 1.0,
            index_bytes_per_second: 8_000.0,
            index_stake_tokens: 8_000.0,
            index_engines: 6,
            sampled: 6,
            scan_all_up_to: 32,
            max_waiting_tokens: 400_000,
            max_open_per_engine: 256,
            recorded_candidates: 6,
        }
    }
}
