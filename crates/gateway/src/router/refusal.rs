//! The router's own answers: to requests that are not admitted, and to those that no back end answered.

use std::time::Duration;

use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{ChoiceError, InstanceId, OverLimit, Refusal};
use hyper::{Response, StatusCode};
use rand::Rng;

use super::forward::Call;
use super::peer_forwarding;
use super::Router;
use crate::answer::{self, AnswerBody};

/// When to retry after a temporary condition, such as a back end that refused the request.
const RETRY_SOON: Duration = Duration::from_millis(60);
/// Control machines that start together have elected a leader after about this long.
const ELECTION_AFTER_START: Duration = Duration::from_millis(1_100);
/// When to retry at another router, which serves the request at once.
const RETRY_AT_ANOTHER_ROUTER: Duration = Duration::from_millis(5);
/// When to retry if no back end is available at all.
const RETRY_WITHOUT_BACK_ENDS: Duration = Duration::from_millis(400);

/// Retries of a tenant that has used up its limit are spread over this time, plus the time until the limit allows the
/// request.
const SPREAD_OVER_LIMIT: Duration = Duration::from_millis(200);
/// The longest time after which a caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// An answer that the router makes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnAnswer {
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &'static str,
}

impl OwnAnswer {
    fn is_unavailable(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Why a request is not admitted.
#[derive(Clone, Debug)]
pub(super) enum Refused {
    /// The view of the replicated state does not allow it.
    ByView(Refusal),
    /// This process is stopping and may exit before the request is answered.
    Stopping,
    /// Other routers have forwarded as many requests as this one serves for them.
    TooManyForwarded,
    /// This process holds as many bytes of requests as it may.
    NoMemory,
    /// The body made no progress while others needed its place.
    BodyStalled,
    /// The body had not arrived when the time limit of the request was over.
    BodyTimedOut,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
}

impl Refused {
    /// Whether the rest of the request may still come on its connection.
    pub fn leaves_body_unread(&self) -> bool {
        match self {
            Self::NoMemory | Self::BodyStalled | Self::BodyTimedOut | Self::BodyTooLarge => true,
            Self::ByView(_) | Self::Stopping | Self::TooManyForwarded => false,
        }
    }

    /// Whether another router may serve the request.
    pub fn concerns_this_router(&self) -> bool {
        match self {
            Self::Stopping | Self::TooManyForwarded | Self::NoMemory => true,
            Self::BodyStalled | Self::BodyTimedOut | Self::BodyTooLarge => false,
            Self::ByView(refusal) => {
                matches!(refusal, Refusal::NoConfiguration | Refusal::Unconfirmed)
            }
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self::ByView(refusal)
    }
}

/// Why no back end answered an admitted request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Unserved {
    /// No back end was chosen, for this reason if one is known, or none that was chosen answered.
    NoBackEnd(Option<ChoiceError>),
    /// This process exits before an answer has begun.
    Exiting,
}

impl Unserved {
    fn choice_error(self) -> Option<ChoiceError> {
        match self {
            Self::NoBackEnd(error) => error,
            Self::Exiting => None,
        }
    }

    /// Whether another router may serve the request.
    fn concerns_this_router(self) -> bool {
        matches!(
            self,
            Self::Exiting | Self::NoBackEnd(Some(ChoiceError::NoPath))
        )
    }
}

/// Answers and logs a request that no back end answered. One that did not run is not charged to its tenant.
pub(super) fn answer_unserved(
    router: &Router,
    call: &Call,
    tried: &[InstanceId],
    unserved: Unserved,
) -> Response<AnswerBody> {
    let now = router.clock.now();
    let worst_execution = call.progress.execution();
    let error = unserved.choice_error();
    if worst_execution == Execution::NotRun {
        router.core.borrow_mut().refund(now, &call.admission);
    }
    let elapsed = now.since(call.received);
    let own_answer = final_answer(worst_execution, unserved, now >= call.deadline);
    router.metrics.count_request(own_answer.reason, elapsed);
    let reach = router.core.borrow().pool_reach(now, &call.admission.pool);
    let quarantined = match error {
        Some(ChoiceError::Quarantined) => {
            let core = router.core.borrow();
            core.quarantined_fingerprint(now, &call.fingerprints)
        }
        _ => None,
    };
    tracing::info!(event = "request", id = %call.id, work = call.fingerprints.request().map(tracing::field::display),
        parts = call.fingerprints.displayed_parts(), route = %call.admission.route.name,
        tenant = call.tenant(), outcome = own_answer.reason, status = own_answer.status.as_u16(), priority = call.admission.priority,
        instance = tried.last().map(InstanceId::as_str), attempts = tried.len(),
        takes_up = call.taken_up(), after = call.taken_up_after(),
        execution = worst_execution.as_str(), choice = error.map(tracing::field::display),
        quarantined = quarantined.map(tracing::field::display), scope = quarantined.map(|fingerprint| fingerprint.scope().as_str()),
        ready = reach.ready, unreachable = reach.unreachable,
        received_ms_ago = reach.received_ago.map(|ago| ago.as_millis() as u64),
        elapsed_ms = elapsed.as_millis() as u64, revision = router.core.borrow().revision(),
            "router: no back end answered a request");
    let mut response = respond(own_answer);
    if call.is_forwarded && unserved.concerns_this_router() && own_answer.is_unavailable() {
        peer_forwarding::mark_declined(&mut response);
    }
    response
}

/// 503 guarantees that the request has not run; 502 and 504 guarantee nothing.
fn final_answer(worst_execution: Execution, unserved: Unserved, is_late: bool) -> OwnAnswer {
    if worst_execution == Execution::NotRun {
        let (after, reason) = match unserved.choice_error() {
            _ if unserved == Unserved::Exiting => (RETRY_AT_ANOTHER_ROUTER, "stopping"),
            Some(ChoiceError::NoneReady) => (RETRY_WITHOUT_BACK_ENDS, "no_back_end"),
            Some(ChoiceError::NoneOfSoftware) => {
                (RETRY_WITHOUT_BACK_ENDS, "no_back_end_of_software")
            }
            Some(ChoiceError::UnknownOrigin) => (RETRY_WITHOUT_BACK_ENDS, "unknown_origin"),
            Some(ChoiceError::BackedOff(backoff)) => (backoff.retry_after, "backed_off"),
            Some(ChoiceError::Overloaded(overload)) => (overload.retry_after, "overloaded"),
            Some(ChoiceError::Quarantined) => (MAX_RETRY_AFTER, "quarantined"),
            Some(ChoiceError::NoPath) => (RETRY_WITHOUT_BACK_ENDS, "no_path"),
            Some(ChoiceError::Suspected) => (RETRY_WITHOUT_BACK_ENDS, "suspected"),
            Some(ChoiceError::NoneLeft | ChoiceError::NoBudget) | None => {
                (RETRY_SOON, "turned_away")
            }
        };
        return OwnAnswer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            reason,
        };
    }
    let (status, reason) = if is_late {
        (StatusCode::GATEWAY_TIMEOUT, "timed_out")
    } else if unserved == Unserved::Exiting {
        (StatusCode::GATEWAY_TIMEOUT, "stopped")
    } else {
        (StatusCode::BAD_GATEWAY, "broken")
    };
    OwnAnswer {
        status,
        retry_after: None,
        reason,
    }
}

/// Answers and logs a request that is not admitted.
pub(super) fn refuse(
    router: &Router,
    id: &str,
    received: Timestamp,
    refused: Refused,
) -> Response<AnswerBody> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let (status, retry_after, reason) = match refused {
        Refused::ByView(Refusal::NoRoute) => (StatusCode::NOT_FOUND, None, "no_route"),
        Refused::ByView(Refusal::UnknownKey) => (StatusCode::UNAUTHORIZED, None, "unknown_key"),
        Refused::ByView(Refusal::NoConfiguration) => (
            unavailable,
            Some(RETRY_WITHOUT_BACK_ENDS),
            "no_configuration",
        ),
        Refused::ByView(Refusal::Unconfirmed) => (
            unavailable,
            Some(retry_after_unconfirmed(router)),
            "unconfirmed",
        ),
        Refused::ByView(Refusal::OverLimit(over)) => {
            record_over_limit(router, id, &over);
            let after = retry_after_limit(over.wait, rand::rng().random());
            (StatusCode::TOO_MANY_REQUESTS, Some(after), "over_limit")
        }
        Refused::Stopping => (unavailable, Some(RETRY_AT_ANOTHER_ROUTER), "stopping"),
        Refused::TooManyForwarded => (unavailable, Some(RETRY_SOON), "too_many_forwarded"),
        Refused::NoMemory => (unavailable, Some(RETRY_SOON), "no_memory"),
        Refused::BodyStalled => (StatusCode::REQUEST_TIMEOUT, None, "body_stalled"),
        Refused::BodyTimedOut => (StatusCode::REQUEST_TIMEOUT, None, "body_timed_out"),
        Refused::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None, "body_too_large"),
    };
    let now = router.clock.now();
    router.metrics.count_request(reason, now.since(received));
    let core = router.core.borrow();
    tracing::info!(event = "request", %id, outcome = reason, status = status.as_u16(),
        revision = core.revision(), configuration = core.configuration_version(),
        view_age_ms = core.view_age(now).map(|age| age.as_millis() as u64), "router: refused to admit a request");
    respond(OwnAnswer {
        status,
        retry_after,
        reason,
    })
}

/// When to retry while the view is not confirmed. Control machines that started together with this router first elect
/// a leader, and a retry before that would fail.
fn retry_after_unconfirmed(router: &Router) -> Duration {
    let running = Duration::from_micros(router.clock.now().0);
    ELECTION_AFTER_START
        .saturating_sub(running)
        .max(RETRY_WITHOUT_BACK_ENDS)
}

/// When to retry after exceeding a limit: once the tenant's account has room for the request, plus a random delay of
/// up to that time and [`SPREAD_OVER_LIMIT`]. Callers refused at the same moment should not return at the same
/// moment. `sample` is a random number from 0 to 1.
fn retry_after_limit(wait: Duration, sample: f64) -> Duration {
    let wait = wait.min(MAX_RETRY_AFTER);
    let spread = (wait + SPREAD_OVER_LIMIT).mul_f64(sample);
    (wait + spread).min(MAX_RETRY_AFTER)
}

/// Counts and logs a request that exceeds its tenant's limit, with the values that the decision is based on.
fn record_over_limit(router: &Router, id: &str, over: &OverLimit) {
    let metrics = &router.metrics;
    metrics.count_limit_units(over.tenant.as_str(), "refused", over.cost);
    tracing::info!(event = "over_limit", %id, tenant = %over.tenant, cost = over.cost, level = over.level as i64,
        wait_ms = over.wait.as_millis() as u64, age_ms = over.age.map(|age| age.as_millis() as u64),
        by_own_part = over.by_own_share, "router: refused a request that exceeds its tenant's limit");
}

fn respond(own_answer: OwnAnswer) -> Response<AnswerBody> {
    match own_answer.retry_after {
        Some(after) => answer::refused(own_answer.status, after),
        None => answer::plain(own_answer.status, ""),
    }
}

#[cfg(test)]
#[path = "refusal_tests.rs"]
mod tests;
