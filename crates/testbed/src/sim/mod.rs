//! The whole fleet on one virtual clock.
//!
//! Routers and control machines are the product's own actors on one `stakker`; requests are
//! carried by the product's exchanges. Around them are engines, a platform, callers, operators,
//! a network and disks that fail as a plan says. One seed decides everything. Checkers judge by
//! what callers, engines and operators saw, never by the product's own books.

mod callers;
mod checks;
mod cluster;
mod controls;
mod engines;
mod faults;
mod network;
mod operators;
mod plan;
mod routers;
mod scenario_control_plans;
mod scenario_plans;
mod scenarios;
mod shrink;
mod trace;

pub(crate) mod cli;

pub use checks::{Failure, Invariant};
pub use cluster::{run, SimReport};
pub use plan::{Fault, Plan, TimedFault};
pub use scenarios::{Scenario, SCENARIOS};
