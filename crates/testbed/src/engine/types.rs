//! What goes into and comes out of an engine.

use drumshore_core::{
    EngineName, Execution, IdempotencyKey, Incarnation, ModelName, Priority, RequestId, Timestamp,
    WeightsVersion,
};
use drumshore_routing::{AnswerLoad, SequenceHash};
use serde::{Deserialize, Serialize};

use super::timing::EngineTiming;

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineParams {
    /// Its name.
    pub name: EngineName,
    /// The model it serves.
    pub model: ModelName,
    /// The weights it starts with.
    pub weights_version: WeightsVersion,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Blocks it can hold.
    pub cache_blocks: usize,
    /// Sequences in one batch.
    pub max_running: usize,
    /// Requests that may wait; more are refused.
    pub max_waiting: usize,
    /// How long things take.
    pub timing: EngineTiming,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            name: EngineName::new("engine"),
            model: ModelName::new("model"),
            weights_version: WeightsVersion(1),
            block_tokens: 2_048,
            cache_blocks: 400,
            max_running: 256,
            max_waiting: 512,
            timing: EngineTiming::default(),
        }
    }
}

/// A request as it reaches an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Its id.
    pub id: RequestId,
    /// The start it is meant for.
    pub incarnation: Option<Incarnation>,
    /// The weights it is meant for.
    pub weights_version: Option<WeightsVersion>,
    /// How urgent it is.
    pub priority: Priority,
    /// Its prompt's blocks, under its salt.
    pub chain: Vec<SequenceHash>,
    /// Its prompt's length.
    pub prompt_tokens: u32,
    /// Tokens to produce.
    pub max_tokens: u32,
    /// The tenant, as a number that a test gave; engines themselves know only the salt.
    pub tenant: u64,
    /// The caller's key, when the work may not be repeated.
    pub once: Option<IdempotencyKey>,
}

/// A request that began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// The request.
    pub id: RequestId,
    /// The caller's key, when the work may not be repeated.
    pub once: Option<IdempotencyKey>,
}

/// Why an engine refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// The word of [`drumshore_router::engine_api::REFUSAL`].
    pub reason: &'static str,
    /// Whether it ran.
    pub execution: Execution,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It will run.
    Accepted,
    /// It will not.
    Refused(Refusal),
}

/// A token that an engine produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOutput {
    /// The request.
    pub id: RequestId,
    /// When.
    pub at: Timestamp,
    /// The token's place.
    pub index: u32,
    /// True for the last one.
    pub last: bool,
    /// Prompt tokens that were cached.
    pub cached_tokens: u32,
    /// How busy the engine is, beside a request's first token.
    pub load: Option<AnswerLoad>,
    /// The weights that produced it.
    pub weights_version: WeightsVersion,
}

/// A promise of the brief that a request broke at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It was served from another tenant's block.
    OtherTenant(RequestId),
    /// It was served from a block computed with other weights.
    OtherWeights(RequestId),
    /// It was meant for another start, whose cache it relied on.
    OtherIncarnation(RequestId),
}

/// What is known of a stream, to resume it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamSummary {
    /// Tokens produced.
    pub emitted: u32,
    /// Tokens that will have been produced at the end.
    pub max_tokens: u32,
    /// Prompt tokens that were cached.
    pub cached_tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The weights that produce it.
    pub weights_version: WeightsVersion,
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests that began to run.
    pub executed: u64,
    /// Prompt tokens of these.
    pub prompt_tokens: u64,
    /// Of these, cached.
    pub cached_tokens: u64,
    /// Requests refused.
    pub refused: u64,
}
