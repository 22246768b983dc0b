//! Types shared by all drumshore crates: identifiers, request errors, resources and settings.
//!
//! Nothing in this crate does I/O, reads a clock or starts a thread.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod error;
mod ids;
mod keys;
mod resource;
pub mod settings;
mod time;

pub use error::{ErrorCode, Execution, RequestError};
pub use ids::{
    AdapterName, ChangeId, EngineId, EngineName, Epoch, IdempotencyKey, Incarnation, MachineName,
    ModelName, OperatorName, PoolName, RequestId, Revision, RouterName, TenantName, WeightsVersion,
    ZoneName,
};
pub use keys::{KeyHash, SecretKey};
pub use resource::{
    EnginePoolSpec, ModelSpec, PlacementGoal, Priority, PriorityClassSpec, Resource, ResourceKey,
    ResourceKind, ResourceSpec, RolloutSpec, RolloutState, SpecError, TenantLimits, TenantSpec,
};
pub use time::Timestamp;

#[cfg(test)]
mod tests;
