//! Answers of the router's own: what it refuses to look into, and what it gives up.

use std::time::Duration;

use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{ChoiceError, InstanceId, OverLimit, Refusal};
use hyper::{Response, StatusCode};
use rand::Rng;

use super::forward::Call;
use super::Router;
use crate::answer::{self, AnswerBody};

/// A caller that was refused because of a passing state comes back after this long.
const RETRY_SOON: Duration = Duration::from_millis(60);
/// Control machines that start together have a leader after about this long.
const COMMON_START: Duration = Duration::from_millis(1_100);
/// Another router serves it at once.
const RETRY_AT_ANOTHER_ROUTER: Duration = Duration::from_millis(5);
/// A caller comes back later when no back end is there at all.
const RETRY_WITHOUT_BACK_ENDS: Duration = Duration::from_millis(400);

/// Callers of a tenant that has used up its limit are spread over so long a time, beyond that in
/// which their requests would have room one after the other.
const SPREAD_OVER_LIMIT: Duration = Duration::from_millis(200);
/// No caller is sent away for longer.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How a request is answered when no back end does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GivenUp {
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &'static str,
}

/// Why a request is not looked into.
#[derive(Clone, Debug)]
pub(super) enum Refused {
    /// The router's view says so.
    ByView(Refusal),
    /// This process ends too soon.
    Stopping,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self::ByView(refusal)
    }
}

/// The answer to a request that no back end answered.
pub(super) fn give_up(
    router: &Router,
    call: &Call,
    tried: &[InstanceId],
    worst: Execution,
    error: Option<ChoiceError>,
) -> Response<AnswerBody> {
    let now = router.clock.now();
    if worst == Execution::NotRun {
        router.core.borrow_mut().refund(now, &call.admission);
    }
    let elapsed = now.since(call.received);
    let given_up = final_answer(worst, error, now >= call.deadline);
    router.metrics.count_request(given_up.reason, elapsed);
    tracing::info!(event = "request", id = %call.id, work = call.work.map(tracing::field::display), route = %call.admission.route.name,
        outcome = given_up.reason, status = given_up.status.as_u16(), priority = call.admission.priority,
        instance = tried.last().map(InstanceId::as_str), attempts = tried.len(),
        execution = worst.as_str(), choice = error.map(tracing::field::display),
        elapsed_ms = elapsed.as_millis() as u64, revision = router.core.borrow().revision(),
            "router: given up");
    respond(given_up)
}

/// 503 promises that the request has not run; 502 and 504 promise nothing.
fn final_answer(worst: Execution, error: Option<ChoiceError>, late: bool) -> GivenUp {
    if worst == Execution::NotRun {
        let (after, reason) = match error {
            Some(ChoiceError::NoneReady) => (RETRY_WITHOUT_BACK_ENDS, "no_back_end"),
            Some(ChoiceError::BackedOff(backoff)) => (backoff.retry_after, "backed_off"),
            Some(ChoiceError::Overloaded(overload)) => (overload.retry_after, "overloaded"),
            Some(ChoiceError::Quarantined) => (LONGEST_RETRY_AFTER, "quarantined"),
            Some(ChoiceError::Suspected) => (RETRY_WITHOUT_BACK_ENDS, "suspected"),
            Some(ChoiceError::NoneLeft | ChoiceError::NoBudget) | None => {
                (RETRY_SOON, "turned_away")
            }
        };
        return GivenUp {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            reason,
        };
    }
    let (status, reason) = if late {
        (StatusCode::GATEWAY_TIMEOUT, "timed_out")
    } else {
        (StatusCode::BAD_GATEWAY, "broken")
    };
    GivenUp {
        status,
        retry_after: None,
        reason,
    }
}

/// The answer to a request that is not looked into.
pub(super) fn refuse(
    router: &Router,
    id: &str,
    received: Timestamp,
    refused: Refused,
) -> Response<AnswerBody> {
    let busy = StatusCode::SERVICE_UNAVAILABLE;
    let (status, retry_after, reason) = match refused {
        Refused::ByView(Refusal::NoRoute) => (StatusCode::NOT_FOUND, None, "no_route"),
        Refused::ByView(Refusal::UnknownKey) => (StatusCode::UNAUTHORIZED, None, "unknown_key"),
        Refused::ByView(Refusal::NoConfiguration) => {
            (busy, Some(RETRY_WITHOUT_BACK_ENDS), "no_configuration")
        }
        Refused::ByView(Refusal::Unconfirmed) => {
            (busy, Some(until_confirmed(router)), "unconfirmed")
        }
        Refused::ByView(Refusal::OverLimit(over)) => {
            note_over_limit(router, id, &over);
            let after = retry_after_limit(over.wait, rand::rng().random());
            (StatusCode::TOO_MANY_REQUESTS, Some(after), "over_limit")
        }
        Refused::Stopping => (busy, Some(RETRY_AT_ANOTHER_ROUTER), "stopping"),
    };
    let now = router.clock.now();
    router.metrics.count_request(reason, now.since(received));
    let core = router.core.borrow();
    tracing::info!(event = "request", %id, outcome = reason, status = status.as_u16(),
        revision = core.revision(), configuration = core.configuration_version(),
        view_age_ms = core.view_age(now).map(|age| age.as_millis() as u64), "router: refused");
    respond(GivenUp {
        status,
        retry_after,
        reason,
    })
}

/// When control machines have started together with this router they elect a leader first, and
/// a caller that comes back before that comes in vain.
fn until_confirmed(router: &Router) -> Duration {
    let running = Duration::from_micros(router.clock.now().0);
    COMMON_START
        .saturating_sub(running)
        .max(RETRY_WITHOUT_BACK_ENDS)
}

/// Until the tenant's account has room for the request, and up to twice as long: callers that were
/// refused at the same moment should not return at the same moment. `draw` is a part of one.
fn retry_after_limit(wait: Duration, draw: f64) -> Duration {
    let wait = wait.min(LONGEST_RETRY_AFTER);
    let spread = (wait + SPREAD_OVER_LIMIT).mul_f64(draw);
    (wait + spread).min(LONGEST_RETRY_AFTER)
}

/// What the refusal of a request that is over its tenant's limit was decided by.
fn note_over_limit(router: &Router, id: &str, over: &OverLimit) {
    let metrics = &router.metrics;
    metrics.count_limit_units(over.tenant.as_str(), "refused", over.cost);
    tracing::info!(event = "over_limit", %id, tenant = %over.tenant, cost = over.cost, level = over.level as i64,
        wait_ms = over.wait.as_millis() as u64, age_ms = over.age.map(|age| age.as_millis() as u64),
        by_own_part = over.by_own_part, "router: over the tenant's limit");
}

fn respond(given_up: GivenUp) -> Response<AnswerBody> {
    match given_up.retry_after {
        Some(after) => answer::refused(given_up.status, after),
        None => answer::plain(given_up.status, ""),
    }
}

#[cfg(test)]
#[path = "refusal_tests.rs"]
mod tests;
