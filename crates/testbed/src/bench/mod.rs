//! Measurements: placement against an oracle, the cost of a decision, the log against the disk,
//! streams through a router against streams without one.

mod decision;
mod log;
mod routing;
mod streams;
mod usage;

pub(crate) mod cli;

pub use routing::{record_trace, run_policy, PolicyReport, RoutingBench, POLICIES};
