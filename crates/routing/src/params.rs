//! The scheduler's policy and parameters.

use drumshore_core::PlacementGoal;
use serde::{Deserialize, Serialize};

/// The strategy for choosing engines. Routers use [`Policy::Product`]; the others are baselines for
/// benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least queued and running work.
    LeastLoaded,
    /// The lowest cost, with cached tokens estimated from this router's own index only.
    #[serde(rename = "own-belief")]
    LocalIndex,
    /// The lowest cost, with cached tokens estimated from rendezvous homes only.
    Rendezvous,
    /// The lowest cost, with the router's own index, rendezvous homes and lookups in the shared
    /// index.
    #[default]
    Product,
    /// The lowest cost, with the true state set by [`crate::Engine::set_exact_state`]: the upper
    /// bound in benchmarks.
    Exact,
}

/// Parameters of the scheduler. The cost of an engine is the expected time to the first token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulerParams {
    /// The strategy for choosing engines.
    pub policy: Policy,
    /// Expected time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Expected delay that each running sequence adds, in microseconds.
    pub running_us: f64,
    /// Cost added for an engine in another zone, in microseconds.
    pub other_zone_us: f64,
    /// Cost added for an engine in another region, in microseconds. Its load is not reported here,
    /// so it is used as a last resort.
    pub other_region_us: f64,
    /// Cost of a token to compute, relative to the cost of a token waiting in the queue. Above 1
    /// because computing also delays other requests and evicts blocks that they need.
    pub recompute_weight: f64,
    /// The same ratio for models whose placement goal is reuse.
    pub reuse_recompute_weight: f64,
    /// The same ratio for both goals once the shared index has answered. Queues are then known as
    /// well as caches, so the ratio can be closer to 1.
    pub informed_recompute_weight: f64,
    /// Maximum request rate of one prefix family, as a multiple of an engine's fair share of all
    /// requests. A family above it is split by longer prefixes, or shared by several engines if it
    /// cannot be split.
    pub family_share: f64,
    /// Maximum number of homes that share one frequently requested prefix.
    pub max_homes: usize,
    /// Number of engines, for each home, over which the longer prefixes of a family are spread.
    /// More engines balance the load better but cache more copies of the shared prefix.
    pub family_spread: usize,
    /// Families with at most this many requests a second are neither split nor shared.
    pub min_family_rate: f64,
    /// Number of routers that receive the same kind of traffic. Multiplying this router's rates by
    /// it estimates the rates over all routers.
    pub routers: f64,
    /// Bytes a second for lookups in the shared index, their answers and bookings included. It
    /// keeps them within a node's share of control traffic; 0 disables lookups.
    pub index_bytes_per_second: f64,
    /// Prompt tokens that a lookup has to be able to save when its budget is nearly used up. The
    /// requirement decreases linearly to 0 for a full budget.
    pub index_stake_tokens: f64,
    /// Maximum number of engines in an answer of the index.
    pub index_engines: usize,
    /// Number of engines in the random sample that is considered in addition, so that idle engines
    /// are found.
    pub sampled: usize,
    /// In pools of up to this size all engines are considered.
    pub scan_all_up_to: usize,
    /// An engine with more prompt tokens in its queue counts as full.
    pub max_waiting_tokens: u32,
    /// An engine with this many open requests of this router counts as full.
    pub max_open_per_engine: u32,
    /// Number of candidates in a decision record.
    pub recorded_candidates: usize,
}

impl SchedulerParams {
    /// Cost of a token to compute, relative to the cost of a token waiting in the queue. `informed`
    /// means that the shared index has answered.
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
