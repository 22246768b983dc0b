//! The replicated state of a drumshore cluster and the control machine around it.
//!
//! [`StateMachine`] is what the log replicates: the resource [`store`] and the execution
//! [`ledger`]. [`ControlCore`] joins it with the log, the routers' subscriptions, the engines'
//! [`fleet`] and rollouts; it does no I/O and reads no clock, and says what to send as
//! [`Effect`]s. [`ControlActor`] is the core on `stakker`.
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
