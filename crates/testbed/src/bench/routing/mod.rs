//! Runs the same requests under every placement policy on a virtual clock.
//!
//! Several routers, each with its own placer, send requests to engines in virtual time. The state
//! of engines reaches routers and indexes with a delay: loads and caches are polled twice a second
//! and arrive 350 ms old, and a restart becomes known after 700 ms. Only the oracle sees every
//! cache and queue without delay.

mod control;
mod run;

use std::time::Duration;

use drumshore_routing::recorder::TraceLine;
use drumshore_routing::{Policy, SchedulerParams};
use serde::Serialize;

use crate::load::Percentiles;
use crate::workload::Profile;

use run::Bench;

/// All policies, baselines first. [`Policy::Exact`] is the oracle, which sees every cache and queue
/// without delay.
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

/// The simulated fleet and its load.
#[derive(Clone, Debug)]
pub struct RoutingBench {
    /// Profile that decides the workload and the placement goal.
    pub profile: Profile,
    /// Number of engines.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of control machines, each with a prefix index.
    pub control_machines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Mean number of requests per second over all routers.
    pub requests_per_second: f64,
    /// Cache capacity of an engine, in blocks.
    pub cache_blocks: usize,
    /// Simulated duration of the run.
    pub duration: Duration,
    /// Interval between engine crashes.
    pub crash_every: Duration,
    /// Parameters of the scheduler.
    pub scheduler: SchedulerParams,
}

impl RoutingBench {
    /// Returns the fleet of a profile. Its working set is three times the capacity of all caches.
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

/// Results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of requests measured after the warm-up.
    pub requests: u64,
    /// Share of their prompt tokens that was cached.
    pub prefix_hit_rate: f64,
    /// Time from the arrival of a request to its first token.
    pub ttft_ms: Percentiles,
    /// Prompt tokens of measured requests that were not cached.
    pub recomputed_tokens: u64,
    /// Bytes per second of load reports to one router, and of its index lookups, their answers and
    /// its bookings.
    pub control_bytes_per_second_per_node: f64,
    /// Mean real time of a decision, in nanoseconds.
    pub decision_ns: f64,
}

/// Runs one policy over the requests generated from a seed.
pub fn run_policy(params: &RoutingBench, policy: Policy, seed: u64) -> PolicyReport {
    Bench::new(params.clone(), policy, seed, None).run(seed).0
}

/// Runs the product policy and returns the trace of its first router: the engine state and requests
/// that its placer received.
pub fn record_trace(params: &RoutingBench, seed: u64) -> Vec<TraceLine> {
    let bench = Bench::new(params.clone(), Policy::Product, seed, Some(Vec::new()));
    bench.run(seed).1
}
