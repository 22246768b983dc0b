//! Benchmarks: placement policies against an oracle, the time of a routing decision, commits of the
//! replicated log against raw disk syncs, and streams with and without a router.

mod decision;
mod log;
mod routing;
mod streams;
mod usage;

pub(crate) mod cli;

pub use routing::{record_trace, run_policy, PolicyReport, RoutingBench, POLICIES};
