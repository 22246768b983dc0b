//! The router beside a caller, without I/O and clock.
//!
//! [`RouterCore`] decides: who may ask, whether a request may start, which engine serves it,
//! whether it is tried again. [`Exchange`] carries one request: it says which call to make to
//! which engine, checks the engine's stream with a [`StreamRelay`], and turns what happens into
//! verdicts. Token bytes go through exchanges only, never through the core. [`RouterActor`] is
//! the core on `stakker`; the daemon and the simulator both run it.
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
