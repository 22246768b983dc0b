//! Forwards the answer of a back end that was chosen for a request.

use std::rc::Rc;

use drumshore_gateway_core::{Choice, LoadEntry, RequestKind};
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode, Version};

use super::attempt::Answered;
use super::forward::Call;
use super::headers;
use super::open_requests::OpenRequest;
use super::peer_forwarding;
use super::received_body::ReceivedBody;
use super::relay::{Relay, Relayed};
use super::resume::{Attempts, Resumption};
use super::streams;
use super::timeliness::Timeliness;
use super::Router;
use crate::answer::AnswerBody;

/// What the router knows of a back end's speed, for logs.
struct SpeedUsed {
    time_factor: f64,
    /// Milliseconds since the last sample of it; `None` if nothing is known.
    age_ms: Option<u64>,
}

impl SpeedUsed {
    fn of(router: &Router, choice: &Choice) -> Self {
        let back_end = LoadEntry::key_of(choice.instance.as_str());
        let core = router.core.borrow();
        let speeds = core.back_end_speeds();
        let age = speeds.age(router.clock.now(), back_end);
        Self {
            time_factor: speeds.time_factor(back_end),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }
}

/// Forwards the answer of a back end to the caller: its head at once, its body as it arrives.
pub(super) fn forward_answer(
    router: &Rc<Router>,
    call: Call,
    choice: &Choice,
    answered: Answered,
    open: OpenRequest,
    attempts: Attempts,
) -> Response<AnswerBody> {
    let Answered {
        response,
        connection,
        open_attempt,
    } = answered;
    let now = router.clock.now();
    let elapsed = now.since(call.received);
    let received = ReceivedBody::new(&response, call.admission.route.kind);
    call.progress.on_answered();
    if response.status().is_success() {
        let mut core = router.core.borrow_mut();
        core.accepted(now, choice);
        if attempts.tried.len() == 1 {
            core.record_first_byte(choice, now.since(open_attempt.began_at()));
        }
    }
    let may_be_taken_up = call.admission.route.kind == RequestKind::ResumableStream
        && response.status() == StatusCode::OK
        && received.is_event_stream();
    if may_be_taken_up {
        // Before the first event is forwarded, because the caller may return as soon as it has that.
        streams::record(router, &call, choice);
    }
    let speed = SpeedUsed::of(router, choice);
    router.metrics.count_request("answered", elapsed);
    let limit = router.core.borrow().limit_of(&choice.instance);
    let basis = open_attempt.basis;
    tracing::info!(event = "request", id = %call.id, work = call.fingerprints.request().map(tracing::field::display),
        parts = call.fingerprints.displayed_parts(),
        route = %call.admission.route.name, tenant = call.tenant(), outcome = "answered", status = response.status().as_u16(),
        priority = call.admission.priority, instance = %choice.instance,
        attempts = attempts.tried.len(), rank = choice.rank, in_flight = choice.in_flight,
        limit = limit.map(tracing::field::display),
        version = choice.expected_version, software = choice.software.as_str(),
        takes_up = call.taken_up(), after = call.taken_up_after(),
        read_tokens = choice.tokens, fetch = choice.fetch_source(), fetch_from = choice.fetch_from,
        held_here = choice.cache_estimate.here, held_at_source = choice.cache_estimate.at_source,
        ahead_tokens = choice.load_ahead.pending_tokens, ahead_in_flight = choice.load_ahead.in_flight,
        cached_tokens = choice.cached_tokens, speed = speed.time_factor, speed_age_ms = speed.age_ms,
        belief_age_ms = choice.cache_estimate.age_ms, expected_ms = choice.forecast.begins_in.as_millis() as u64,
        queue_ms = choice.forecast.queue.as_millis() as u64, own_side = choice.forecast.in_own_partition, copied_to = choice.copy.as_ref().map(|copy| copy.instance.as_str()), stores = choice.save_to.is_some(),
        chosen_by = basis.revision, view_age_ms = basis.view_age_ms(), connection_wait_ms = basis.connection_wait_ms(),
        elapsed_ms = elapsed.as_millis() as u64, revision = router.core.borrow().revision(),
        "router: a back end answered; forwarding the answer to the caller");
    let (mut head, body) = response.into_parts();
    headers::strip_connection_headers(&mut head.headers);
    headers::merge_lengths(&mut head.headers);
    if call.is_forwarded {
        peer_forwarding::name_back_end(&mut head.headers, &open_attempt.choice.instance);
    }
    // The version, and with it whether a body may have chunks, is that of the caller's connection.
    head.version = Version::HTTP_11;
    let remaining = call.deadline.since(now);
    let may_resume =
        call.admission.route.kind == RequestKind::ResumableStream || choice.copy.is_some();
    let is_resumable = may_resume && head.status == StatusCode::OK && received.is_event_stream();
    let id = call.id.clone();
    let timeliness = Timeliness::new(&call.admission.route, call.received);
    if received.is_event_stream() && !body.is_end_stream() {
        head.headers.remove(CONTENT_LENGTH);
    }
    let resumption = is_resumable.then(|| Resumption::new(router, Rc::new(call), attempts, choice));
    let relayed = Relayed {
        id,
        body,
        received,
        connection,
        open_attempt,
        remaining,
        resumption,
        timeliness,
    };
    let relay = Relay::new(relayed, open);
    Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
}
