//! The part of the engines' HTTP interface that goes beyond the completion API.

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

/// Path at which an engine's cache reports: all that it holds, or with `/{incarnation}/{number}`
/// behind it the changes of that start from a number on.
pub const CACHE_PATH: &str = "/v1/cache";

/// Path of the engine's own state.
pub const PROBE_PATH: &str = "/v1/state";

/// Path to which orders are posted.
pub const ORDERS_PATH: &str = "/v1/orders";
