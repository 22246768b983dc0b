//! Settings, requests and outputs of a mock engine.

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
    /// Name under which the engine is registered.
    pub name: EngineName,
    /// The model it serves.
    pub model: ModelName,
    /// The weights that are loaded at the start.
    pub weights_version: WeightsVersion,
    /// Number of tokens in a KV block.
    pub block_tokens: u32,
    /// Capacity of the cache, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of sequences in the batch.
    pub max_running: usize,
    /// Maximum number of queued requests; further ones are refused.
    pub max_waiting: usize,
    /// The timing model.
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
    /// Id of the request.
    pub id: RequestId,
    /// The incarnation that the request is addressed to; `None` accepts any.
    pub incarnation: Option<Incarnation>,
    /// The weights that the request is addressed to; `None` accepts any.
    pub weights_version: Option<WeightsVersion>,
    /// Scheduling priority.
    pub priority: Priority,
    /// Prefix hashes of the blocks of the prompt, salted per tenant.
    pub chain: Vec<SequenceHash>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens to produce.
    pub max_tokens: u32,
    /// Number of the tenant, as given by a test. Real engines see only the salt of the hashes.
    pub tenant: u64,
    /// Idempotency key of a request that must run at most once.
    pub once: Option<IdempotencyKey>,
}

/// A request whose execution has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// The request.
    pub id: RequestId,
    /// Idempotency key of a request that must run at most once.
    pub once: Option<IdempotencyKey>,
}

/// The refusal of a request by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header [`drumshore_router::engine_api::REFUSAL`].
    pub reason: &'static str,
    /// Whether the request has run.
    pub execution: Execution,
}

/// The result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The request is queued and will run.
    Accepted,
    /// The request will not run.
    Refused(Refusal),
}

/// A token that an engine produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOutput {
    /// The request.
    pub id: RequestId,
    /// End of the step that produced it.
    pub at: Timestamp,
    /// Position of the token in the answer, from 0.
    pub index: u32,
    /// True for the last token of the answer.
    pub last: bool,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Load of the engine, sent with the first token of an answer only.
    pub load: Option<AnswerLoad>,
    /// The weights that the token was computed with.
    pub weights_version: WeightsVersion,
}

/// An isolation invariant that a request violated at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The request used a cached block of another tenant.
    OtherTenant(RequestId),
    /// The request used a cached block computed with other weights.
    OtherWeights(RequestId),
    /// The request was accepted although it was addressed to another incarnation, whose cache it
    /// relies on.
    OtherIncarnation(RequestId),
}

/// The state of a stream, from which it can be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamSummary {
    /// Number of tokens produced so far.
    pub emitted: u32,
    /// Number of tokens of the complete answer.
    pub max_tokens: u32,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// The weights that the answer is computed with.
    pub weights_version: WeightsVersion,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests whose execution has started.
    pub executed: u64,
    /// Prompt tokens of the executed requests.
    pub prompt_tokens: u64,
    /// Prompt tokens of the executed requests that were found in the cache.
    pub cached_tokens: u64,
    /// Requests that were refused.
    pub refused: u64,
}
