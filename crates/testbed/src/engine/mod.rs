//! A stand-in for an engine: continuous batching, limited block memory, fences, orders.
//!
//! [`EngineCore`] is the engine in virtual time, without I/O; [`http`] serves it in real time.

pub mod cache;
pub mod core;
pub mod http;
pub mod stream;
pub mod timing;
mod types;

pub use self::core::EngineCore;
pub use cache::BlockCache;
pub use timing::EngineTiming;
pub use types::{
    EngineCounters, EngineOutput, EngineParams, EngineRequest, Executed, Refusal, StreamSummary,
    Submission, Violation,
};
