//! The replicated state of a drumshore cluster and the control machine that serves it.
//!
//! [`StateMachine`] is the state that the log replicates: the resource [`store`] and the execution
//! [`ledger`]. [`ControlCore`] combines it with the log, the routers' subscriptions, the engine
//! [`fleet`] and the rollouts. It does no network I/O, reads no clock, and returns everything to
//! send as [`Effect`]s. [`ControlActor`] runs the core as a `stakker` actor.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod actor;
pub mod allotment;
pub mod command;
pub mod core;
pub mod fleet;
pub mod ledger;
pub mod operator;
pub mod rollout;
pub mod state;
pub mod store;
pub mod subscription;

pub use crate::core::{Clock, ControlCore, ControlParams, Effect};
pub use actor::{ControlActor, ControlOutputs};
pub use command::{Command, ProposalId};
pub use fleet::{EngineOrder, EngineProbe, Fleet, MachineRecord, MachineState, ProbeFailed};
pub use ledger::{ClaimResult, Ledger};
pub use operator::{OperatorReply, OperatorRequest, OperatorTicket, StatusReport};
pub use state::{CommandResult, StateMachine};
pub use store::{ChangeOutcome, ChangeRecord, ResourceStore};
pub use subscription::ConnectionId;

#[cfg(test)]
mod tests;
