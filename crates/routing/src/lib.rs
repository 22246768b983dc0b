//! Cache-aware placement, admission and retries, as state machines without I/O or clock.
//!
//! An engine is a back end that serves a model and caches blocks of prompts. The modules:
//!
//! - [`protocols`]: the cache reports that engines send.
//! - [`prefix`]: the hashed prefixes of a prompt.
//! - [`index`]: one router's own estimate of which engine caches which prefix.
//! - [`publisher`] and [`indexer`]: the index that all routers share, and the engines' side of it.
//! - [`engines`]: the state, load and speed of each engine.
//! - [`prefix_rates`] and [`rendezvous`]: how often a prefix is requested, and its preferred
//!   engines.
//! - [`scheduler`]: chooses the engine for a request.
//! - [`placer`]: combines engines, index and scheduler.
//! - [`admission`]: decides whether a request may start.
//! - [`fair_queue`]: holds the requests that wait for an engine.
//! - [`retry`]: decides whether a request may be retried.
//! - [`decision`]: records the decisions and the data that they were based on.
//! - [`recorder`]: replays the recorded inputs of a placer.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

pub mod admission;
pub mod decision;
pub mod engines;
pub mod fair_queue;
mod homes;
pub mod index;
pub mod indexer;
mod lookup_budget;
mod params;
pub mod placer;
pub mod prefix;
pub mod prefix_rates;
pub mod protocols;
pub mod publisher;
pub mod recorder;
pub mod rendezvous;
pub mod retry;
pub mod scheduler;

pub use admission::{Admission, AdmissionDecision, AdmissionParams, AdmissionRequest, Allotment};
pub use decision::{AttemptRecord, CandidateRecord, DecisionLog, DecisionRecord};
pub use engines::{Engine, EngineObservation, EngineSet, EngineState, LoadReport};
pub use fair_queue::{FairQueue, QueuedItem};
pub use index::{PrefixIndex, PrefixIndexParams};
pub use indexer::{
    Booking, Holding, IndexLookup, Indexer, IndexerParams, LookupId, LookupPrefix, ReportWanted,
};
pub use params::{Policy, SchedulerParams};
pub use placer::{AnswerLoad, AnswerReport, Decision, LookupAnswer, Placement, Placer};
pub use prefix::{PrefixChain, PrefixRoot, Prompt, MAX_LOOKUP_PREFIXES};
pub use protocols::{CacheChange, CacheReport, SequenceHash};
pub use publisher::CachePublisher;
pub use retry::{RetryBudget, RetryParams};
pub use scheduler::{Choice, KnownCache, NoChoice, RoutingRequest, Scheduler};

#[cfg(test)]
mod tests;
