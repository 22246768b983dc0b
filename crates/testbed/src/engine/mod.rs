//! A mock inference engine with continuous batching, a bounded KV block cache, incarnation and
//! weights fences, and orders from the control machines.
//!
//! [`EngineCore`] models the engine in virtual time without I/O. [`http`] serves it in real time.

pub mod cache;
pub mod core;
pub mod http;
pub mod stream;
pub mod timing;
mod types;
pub mod unframed;

pub use self::core::EngineCore;
pub use cache::BlockCache;
pub use timing::EngineTiming;
pub use types::{
    EngineCounters, EngineOutput, EngineParams, EngineRequest, Executed, Refusal, StreamSummary,
    Submission, Violation,
};
