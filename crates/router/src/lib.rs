//! The router that runs beside a caller, as state machines without I/O and without a clock.
//!
//! [`RouterCore`] authenticates and admits requests, assigns them to engines and decides about
//! retries. [`Exchange`] drives one request: it names the next call to an engine, checks the
//! engine's stream with a [`StreamRelay`], and turns failures into errors. Token bytes pass
//! through exchanges only, never through the core. [`RouterActor`] runs the core as a `stakker`
//! actor, both in the daemon and in the simulator.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod actor;
pub mod answer;
pub mod completion;
pub mod config;
pub mod core;
pub mod engine_api;
pub mod exchange;
pub mod relay;
mod session;
pub mod sse;

pub use actor::{RouterActor, RouterOutputs};
pub use answer::RecordedAnswer;
pub use completion::{CompletionKind, CompletionRequest, PromptInput};
pub use config::ConfigView;
pub use core::{
    AdmitOutcome, AdmitRequest, Assignment, Effect, Purpose, RouterCore, RouterMetrics,
    RouterParams, StoredFile, StoredState,
};
pub use exchange::{
    AttemptFailure, Conclusion, Exchange, ExchangeParams, FailureKind, Next, UpstreamCall,
    UpstreamEnd, UpstreamHead,
};
pub use relay::{RelayError, StreamRelay};
pub use session::LinkId;

#[cfg(test)]
mod tests;
