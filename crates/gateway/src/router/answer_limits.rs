//! Limits on what a back end may send in one answer.
//!
//! The progress of a stream is judged by whole events that carry data or an identifier: comments, lines and empty events
//! may come without end and tell the caller nothing. The limits on heads are in `head_limits`.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::events::MAX_PENDING_BYTES;
use super::open_attempt::OpenAttempt;
use super::received_body::ReceivedBody;

/// Bytes of a stream without a whole event.
const MAX_BYTES_WITHOUT_EVENT: u64 = 1 << 20;
/// Bytes of a stream at any pace, besides those at [`MAX_STREAM_BYTES_PER_SECOND`].
const MAX_STREAM_BURST_BYTES: u64 = 8 << 20;
/// Above the pace at which any back end generates tokens.
const MAX_STREAM_BYTES_PER_SECOND: u64 = 1 << 20;
/// Bytes of a body that is not a stream and whose length is not declared.
const MAX_UNDECLARED_BYTES: u64 = 64 << 20;
/// Length that an answer may declare.
const MAX_DECLARED_BYTES: u64 = 1 << 30;

/// Which limit an answer exceeded after its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyLimit {
    /// Bytes that are held back so that the stream can be resumed.
    #[error("the stream went on without a whole event, and may be resumed at another back end")]
    HeldBack,
    #[error("the stream went on without a whole event")]
    WithoutEvent,
    #[error("the stream was too long for the time that it took")]
    StreamBytes,
    #[error("the body was too long")]
    UndeclaredBytes,
    #[error("the declared length is too long")]
    DeclaredBytes,
}

impl BodyLimit {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HeldBack => "bytes_held_back",
            Self::WithoutEvent => "bytes_without_event",
            Self::StreamBytes => "stream_bytes",
            Self::UndeclaredBytes => "undeclared_bytes",
            Self::DeclaredBytes => "declared_bytes",
        }
    }

    /// Whether what was passed on of the stream is sound, so that another back end may continue it.
    pub fn allows_resuming(self) -> bool {
        matches!(self, Self::HeldBack | Self::WithoutEvent)
    }

    /// Whether the answer ends even if no other back end can continue it.
    pub fn ends_answer(self) -> bool {
        self != Self::HeldBack
    }
}

/// How far the body of one answer has got.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyProgress {
    began_at: Timestamp,
    /// Whole events with data or an identifier.
    events: u64,
    /// Bytes that have arrived since the last of them.
    bytes_since_event: u64,
}

impl BodyProgress {
    /// The body of an answer whose head has just arrived.
    pub fn new(now: Timestamp) -> Self {
        Self {
            began_at: now,
            events: 0,
            bytes_since_event: 0,
        }
    }

    /// Another back end continues the stream.
    pub fn on_resumed(&mut self) {
        self.bytes_since_event = 0;
    }

    /// Records the next bytes, which `received` includes. Returns the limit that the body exceeds with them.
    pub fn add(
        &mut self,
        now: Timestamp,
        bytes: usize,
        received: &ReceivedBody,
        is_resumable: bool,
    ) -> Option<BodyLimit> {
        let Some(events) = received.events_with_content() else {
            let is_limited = !received.has_declared_length();
            let is_exceeded = is_limited && received.bytes() > MAX_UNDECLARED_BYTES;
            return is_exceeded.then_some(BodyLimit::UndeclaredBytes);
        };
        if events > self.events {
            self.events = events;
            self.bytes_since_event = 0;
        } else {
            self.bytes_since_event += bytes as u64;
        }
        if received.bytes() > max_stream_bytes(now.since(self.began_at)) {
            Some(BodyLimit::StreamBytes)
        } else if self.bytes_since_event > MAX_BYTES_WITHOUT_EVENT {
            Some(BodyLimit::WithoutEvent)
        } else if is_resumable && self.bytes_since_event > MAX_PENDING_BYTES as u64 {
            Some(BodyLimit::HeldBack)
        } else {
            None
        }
    }
}

fn max_stream_bytes(elapsed: Duration) -> u64 {
    let at_pace = elapsed.as_millis() as u64 * MAX_STREAM_BYTES_PER_SECOND / 1_000;
    MAX_STREAM_BURST_BYTES + at_pace
}

/// Whether the length that an answer declares exceeds the limit.
pub(super) fn exceeds_declared_length(length: Option<u64>) -> bool {
    length.is_some_and(|length| length > MAX_DECLARED_BYTES)
}

/// Counts and logs an answer that exceeded a limit.
pub(super) fn record(attempt: &OpenAttempt, limit: &'static str, bytes: u64, elapsed: Duration) {
    let metrics = &attempt.router.metrics;
    metrics.count_answer_limit_exceeded(limit);
    tracing::info!(event = "answer_limit_exceeded", id = %attempt.run.id, instance = %attempt.choice.instance,
        exceeded = limit, bytes, elapsed_ms = elapsed.as_millis() as u64,
        "router: an answer of a back end exceeded a limit; closing its connection and avoiding the back end");
}

/// Does the same for a limit on what follows the head.
pub(super) fn record_body(attempt: &OpenAttempt, limit: BodyLimit, bytes: u64) {
    let elapsed = attempt.router.clock.now().since(attempt.began_at());
    record(attempt, limit.as_str(), bytes, elapsed);
}
