//! Requests that are refused before their bodies have been read.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::Request;
use tokio::time::timeout;

use super::open_requests::Progress;
use super::refusal::Refused;
use super::Router;
use crate::body_reception::BodyError;
use crate::caller_body::CallerBody;
use crate::memory_account::Charge;

/// What one field of a head takes beside its bytes.
const FIELD_OVERHEAD_BYTES: usize = 64;
/// Limit of the body that is read from a refused request. For a longer one, a new connection costs the caller less.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// How long to wait for the body of a refused request.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Charges what the head of a request takes in memory; `None`, which is counted, if there is no room for it.
pub(super) fn charge_head(router: &Router, request: &Request<CallerBody>) -> Option<Charge> {
    let fields = request.headers().iter();
    let fields =
        fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
    let target = request.uri().path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let charge = router
        .receptions
        .charge(fields.sum::<usize>() + target_bytes);
    if charge.is_none() {
        let reason = BodyError::NoMemory.as_str();
        router.receptions.count_rejected(reason);
    }
    charge
}

/// Why a request is refused whose body was not received; `None` if its caller has left.
pub(super) fn refusal(error: &BodyError) -> Option<Refused> {
    match error {
        BodyError::NoMemory => Some(Refused::NoMemory),
        BodyError::Stalled => Some(Refused::BodyStalled),
        BodyError::TimedOut => Some(Refused::BodyTimedOut),
        BodyError::TooLarge => Some(Refused::BodyTooLarge),
        BodyError::Broken => None,
    }
}

/// Logs and counts a request whose body was not received.
pub(super) fn record(router: &Router, id: &str, progress: &Progress, error: &BodyError) {
    let account = router.receptions.account();
    router.receptions.count_rejected(error.as_str());
    tracing::info!(event = "body_unread", %id, reason = error.as_str(),
        held_bytes = account.held(), max_held_bytes = account.limit(),
        elapsed_ms = router.clock.now().since(progress.received).as_millis() as u64,
        "router: the body of a request was not received");
}

/// Reads and discards the body of a request that was refused by its head. The caller may still be sending it; a
/// connection with an unread body is closed, and the caller's next request on it would get no answer.
pub(super) fn discard_body(body: CallerBody) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(async move {
        let mut body = Limited::new(body, MAX_UNREAD_BYTES);
        let discarding = async { while let Some(Ok(_)) = body.frame().await {} };
        let _ = timeout(UNREAD_BODY_TIMEOUT, discarding).await;
    });
}
