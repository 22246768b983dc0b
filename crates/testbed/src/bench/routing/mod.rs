//! The same requests under every policy, on a virtual clock.
//!
//! Several routers, each with its own placer, send to engines in virtual time. What routers and
//! the index know of engines is late: loads and caches are reported twice a second and are older
//! than that, a new start of an engine is learned after a delay. The oracle alone sees every cache
//! and queue at once.

mod control;
mod run;

use std::time::Duration;

use drumshore_routing::recorder::TraceLine;
use drumshore_routing::{Policy, SchedulerParams};
use serde::Serialize;

use crate::load::Percentiles;
use crate::workload::Profile;

use run::Bench;

/// All policies, baselines first; [`Policy::Exact`] is the oracle, which sees every engine's cache
/// and queue at once.
pub const POLICIES: [Policy; 6] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::LocalIndex,
    Policy::Rendezvous,
    Policy::Product,
    Policy::Exact,
];

fn name(policy: Policy) -> &'static str {
    match policy {
        Policy::RoundRobin => "round-robin",
        Policy::LeastLoaded => "least-loaded",
        Policy::LocalIndex => "own-belief",
        Policy::Rendezvous => "rendezvous",
        Policy::Product => "product",
        Policy::Exact => "oracle",
    }
}

/// A fleet and its callers.
#[derive(Clone, Debug)]
pub struct RoutingBench {
    /// Whose callers ask.
    pub profile: Profile,
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Control machines, each with an index.
    pub control_machines: usize,
    /// Zones.
    pub zones: usize,
    /// Requests a second, over all routers.
    pub requests_per_second: f64,
    /// Blocks an engine holds.
    pub cache_blocks: usize,
    /// How long requests are made.
    pub duration: Duration,
    /// An engine crashes this often.
    pub crash_every: Duration,
    /// Weights of the scheduler.
    pub scheduler: SchedulerParams,
}

impl RoutingBench {
    /// A user's fleet, at the brief's sizes, with a working set of three times the caches.
    pub fn of(profile: Profile) -> Self {
        let base = Self {
            profile,
            engines: 12,
            routers: 6,
            control_machines: 3,
            zones: 3,
            requests_per_second: 110.0,
            cache_blocks: 440,
            duration: Duration::from_secs(240),
            crash_every: Duration::from_secs(45),
            scheduler: SchedulerParams::default(),
        };
        match profile {
            Profile::Surtidor => base,
            Profile::SoharQuay => Self {
                engines: 20,
                routers: 8,
                zones: 4,
                requests_per_second: 24.0,
                cache_blocks: 660,
                ..base
            },
        }
    }
}

/// What came of a policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: &'static str,
    /// Requests counted.
    pub requests: u64,
    /// Cached share of their prompt tokens.
    pub prefix_hit_rate: f64,
    /// From asking to the first token.
    pub ttft_ms: Percentiles,
    /// Prompt tokens computed.
    pub recomputed_tokens: u64,
    /// Bytes of load reports to one router, and of its questions to the index with answers and
    /// bookings.
    pub control_bytes_per_second_per_node: f64,
    /// Time of one decision on this machine.
    pub decision_ns: f64,
}

/// Runs one policy over the requests of a seed.
pub fn run_policy(params: &RoutingBench, policy: Policy, seed: u64) -> PolicyReport {
    Bench::new(params.clone(), policy, seed, None).run(seed).0
}

/// Runs the product and gives what its first router was told and asked.
pub fn record_trace(params: &RoutingBench, seed: u64) -> Vec<TraceLine> {
    let bench = Bench::new(params.clone(), Policy::Product, seed, Some(Vec::new()));
    bench.run(seed).1
}
