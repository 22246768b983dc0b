//! Deterministic simulation of a whole fleet on one virtual clock.
//!
//! Routers and control machines are the production actors, run on one `stakker` executor, and
//! requests go through the production `Exchange`. Engines, the platform, callers, operators, the
//! network and disks are simulated and fail as the plan specifies. The seed determines the whole
//! run. Checkers judge by what callers, engines and operators observe; of the production code's
//! state they read only the revision that a router applies, and the term and revision of a control
//! machine that sends orders.

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
