//! Cache-aware placement, admission and retries, as state machines without I/O or clock.
//!
//! One file for each role: [`protocols`] (what engines say), [`prefix`] (what a prompt is made
//! of), [`index`] (who one router believes holds what), [`publisher`] and [`indexer`] (who holds
//! what, for all routers), [`engines`] (what is known of each engine),
//! [`scheduler`] (which engine a request goes to), [`placer`] (all of these together),
//! [`admission`] (whether it may start),
//! [`retry`] (whether it may be tried again), [`decision`] (what was believed, for later),
//! [`recorder`] (what a placer was told, to be replayed).
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
