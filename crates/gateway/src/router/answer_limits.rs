//! Limits on what a back end may send in one answer.

use std::time::Duration;

use super::open_attempt::OpenAttempt;

/// Counts and logs an answer that exceeded a limit.
pub(super) fn record(attempt: &OpenAttempt, limit: &'static str, bytes: u64, elapsed: Duration) {
    let metrics = &attempt.router.metrics;
    metrics.count_answer_limit_exceeded(limit);
    tracing::info!(event = "answer_limit_exceeded", id = %attempt.run.id, instance = %attempt.choice.instance,
        exceeded = limit, bytes, elapsed_ms = elapsed.as_millis() as u64,
        "router: an answer of a back end exceeded a limit; closing its connection and avoiding the back end");
}
