//! Headers and paths of the engines' HTTP interface beyond the completion API.

/// Request header: the request id assigned by the router, the same for every attempt.
pub const REQUEST_ID: &str = "x-drumshore-request-id";

/// Request header: the engine incarnation that the request is meant for. Response header: the
/// engine's actual incarnation.
pub const INCARNATION: &str = "x-drumshore-incarnation";

/// Request header: the weights version that must serve the request. Response header: the engine's
/// actual weights version.
pub const WEIGHTS_VERSION: &str = "x-drumshore-weights-version";

/// Request header: root of the prefix chain in hexadecimal. Cache blocks are never shared between
/// different salts.
pub const CACHE_SALT: &str = "x-drumshore-cache-salt";

/// Request header: `interactive`, `standard` or `batch`.
pub const PRIORITY: &str = "x-drumshore-priority";

/// Request header: the caller's idempotency key, present if the request must not run twice. Engines
/// write it to their logs.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Response header: prompt tokens found in the engine's cache.
pub const CACHED_TOKENS: &str = "x-drumshore-cached-tokens";

/// Response header: prompt tokens now waiting in the engine's queue.
pub const WAITING_TOKENS: &str = "x-drumshore-waiting-tokens";

/// Response header: sequences now running at the engine.
pub const RUNNING: &str = "x-drumshore-running";

/// Response header: why the engine refused; one of the `REFUSAL_` values.
pub const REFUSAL: &str = "x-drumshore-refusal";

/// Refusal: the engine's incarnation or weights version differs from the requested one.
pub const REFUSAL_FENCE: &str = "fence";

/// Refusal: the engine is leaving and accepts no new requests.
pub const REFUSAL_LEAVING: &str = "leaving";

/// Refusal: the engine's queue is full.
pub const REFUSAL_FULL: &str = "full";

/// Request header: id of the last event received; the resumed stream continues after it.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Path prefix of running streams: `GET {STREAMS_PATH}/{request id}` resumes a stream, `DELETE` of
/// the same path cancels it.
pub const STREAMS_PATH: &str = "/v1/streams";

/// Path of an engine's cache report: its complete contents, or, with `/{incarnation}/{number}`
/// appended, the changes of that incarnation from that number on.
pub const CACHE_PATH: &str = "/v1/cache";

/// Path of the engine's state, which control machines probe.
pub const PROBE_PATH: &str = "/v1/state";

/// Path to which control machines post orders.
pub const ORDERS_PATH: &str = "/v1/orders";
