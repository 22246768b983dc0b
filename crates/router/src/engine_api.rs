//! The part of the engines' HTTP interface that goes beyond the completion API.

use drumshore_routing::{PrefixChain, SequenceHash};
use serde::{Deserialize, Serialize};

/// Request: the router's id of the request, the same at every attempt.
pub const REQUEST_ID: &str = "x-drumshore-request-id";

/// Request: the start of the engine that the request is meant for. Answer: the engine's own.
pub const INCARNATION: &str = "x-drumshore-incarnation";

/// Request: the weights the request must be answered with. Answer: the engine's own.
pub const WEIGHTS_VERSION: &str = "x-drumshore-weights-version";

/// Request: hexadecimal root of the prefix chain. Blocks under different salts are never shared.
pub const CACHE_SALT: &str = "x-drumshore-cache-salt";

/// Request: `interactive`, `standard` or `batch`.
pub const PRIORITY: &str = "x-drumshore-priority";

/// Request: the caller's key, when the work may not be repeated. Engines keep it in their logs.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Answer: prompt tokens found in the cache.
pub const CACHED_TOKENS: &str = "x-drumshore-cached-tokens";

/// Answer: prompt tokens that wait at the engine at this moment.
pub const WAITING_TOKENS: &str = "x-drumshore-waiting-tokens";

/// Answer: sequences that run at the engine at this moment.
pub const RUNNING: &str = "x-drumshore-running";

/// Answer: why the engine refused, as one of the words below.
pub const REFUSAL: &str = "x-drumshore-refusal";

/// Refusal: another start, or other weights.
pub const REFUSAL_FENCE: &str = "fence";

/// Refusal: the engine takes no new work.
pub const REFUSAL_LEAVING: &str = "leaving";

/// Refusal: the engine's queue is full.
pub const REFUSAL_FULL: &str = "full";

/// Request: the last event received; the stream goes on behind it.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Path prefix at which a stream is resumed: `GET {STREAMS_PATH}/{request id}`, and cancelled:
/// `DELETE` of the same.
pub const STREAMS_PATH: &str = "/v1/streams";

/// Path at which an engine is asked what it holds of a prompt.
pub const LOOKUP_PATH: &str = "/v1/lookup";

/// The longest chain that is asked for; of a longer one, blocks in even steps are named.
pub const LOOKUP_HASHES: usize = 32;

/// Asks what an engine holds of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    /// Prefixes of the prompt, shortest first, each with its number of blocks.
    pub prefixes: Vec<LookupPrefix>,
}

/// One prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupPrefix {
    /// Its hash.
    pub hash: SequenceHash,
    /// Its blocks.
    pub blocks: u32,
}

/// What an engine holds of a prompt, and how busy it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// Blocks of the longest prefix named that it holds.
    pub blocks: u32,
    /// Prompt tokens that wait.
    pub waiting_tokens: u32,
    /// Sequences that run.
    pub running: u32,
}

impl LookupRequest {
    /// Names the prefixes of a chain.
    pub fn of(chain: &PrefixChain) -> Self {
        let hashes = chain.hashes();
        let step = hashes.len().div_ceil(LOOKUP_HASHES).max(1);
        let last = hashes.len();
        let named = (1..=last).filter(|blocks| blocks % step == 0 || *blocks == last);
        let prefixes = named.map(|blocks| LookupPrefix {
            hash: hashes[blocks - 1],
            blocks: blocks as u32,
        });
        Self {
            prefixes: prefixes.collect(),
        }
    }
}

/// Path of the engine's own state.
pub const PROBE_PATH: &str = "/v1/state";

/// Path to which orders are posted.
pub const ORDERS_PATH: &str = "/v1/orders";
