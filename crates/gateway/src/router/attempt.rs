//! One attempt to get a request answered by a back end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{Choice, Outcome, RequestKind, SoftwareVersion};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use tokio::time::timeout;

use super::answer_limits::{self, BodyLimit};
use super::declared_length;
use super::end_cause::EndCause;
use super::forward::{header, may_try_again, Call};
use super::headers;
use super::notices;
use super::open_attempt::OpenAttempt;
use super::paths;
use super::resume::HandOver;
use super::silence::Watch;
use super::Router;
use crate::answer_head::{self, VerdictFields};
use crate::read_ahead::ReadAheadBody;
use crate::request_body::OutboundBody;
use crate::sockets;
use crate::upstream::{Connection, NoConnection, SendError};

/// The head of the answer to a repeatable request should arrive within the route's target times this factor; then
/// another back end is tried.
const HEAD_TIMEOUT_FACTOR: f64 = 1.6;
/// Time allowed for waiting for a free connection, in addition to the time for opening one.
const CONNECTION_WAIT: Duration = Duration::from_millis(60);

/// How one attempt ended.
pub(super) enum Attempt {
    Answered(Box<Answered>),
    Unanswered(Unanswered),
}

/// By which view the back end of an attempt was chosen, and how long the request then waited for a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptBasis {
    /// The revision that the view held.
    pub revision: u64,
    /// How long before the choice the view was confirmed as current; `None` if it never was.
    pub view_age: Option<Duration>,
    pub connection_wait: Duration,
}

impl AttemptBasis {
    /// The basis of an attempt whose back end has just been chosen.
    pub fn now(router: &Router) -> Self {
        let core = router.core.borrow();
        Self {
            revision: core.revision(),
            view_age: core.view_age(router.clock.now()),
            connection_wait: Duration::ZERO,
        }
    }

    /// The age of the view in milliseconds, for logs.
    pub fn view_age_ms(&self) -> Option<u64> {
        self.view_age.map(|age| age.as_millis() as u64)
    }

    /// The wait in milliseconds, for logs.
    pub fn connection_wait_ms(&self) -> u64 {
        self.connection_wait.as_millis() as u64
    }
}

/// An attempt without an answer to forward.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    /// Why there is no answer.
    pub outcome: Outcome,
    /// Whether the back end may have run the request.
    pub execution: Execution,
    /// Whether the request reached the back end.
    pub sent: bool,
    /// When it was sent; `None` if it was not.
    pub sent_at: Option<Timestamp>,
    /// Why the attempt ended, if the outcome does not tell.
    pub cause: Option<EndCause>,
    pub basis: AttemptBasis,
}

/// An answer to forward to the caller.
pub(super) struct Answered {
    pub response: Response<ReadAheadBody>,
    pub connection: Connection,
    pub open_attempt: OpenAttempt,
}

/// The position of a stream that an attempt resumes.
#[derive(Clone, Debug, Default)]
pub(super) struct Continuation {
    /// The identifier of the last event that the caller received; `None` before the first.
    pub after: Option<Bytes>,
    /// Whether the back end has a copy of the run; without one it processes the prompt again.
    pub has_copy: bool,
    /// The software version of the back end that began the stream.
    pub software: SoftwareVersion,
    pub hand_over: HandOver,
}

/// Sends the request to the chosen back end and classifies the answer. `sent_before` counts the earlier attempts that
/// reached a back end; `continued` is set when the attempt resumes a stream.
pub(super) async fn make(
    router: &Rc<Router>,
    call: &Call,
    choice: &Choice,
    sent_before: u32,
    continued: Option<&Continuation>,
) -> Attempt {
    let mut open_attempt = OpenAttempt::new(router, call, choice);
    let connecting = router.upstreams.connect(
        &choice.instance,
        &choice.address,
        choice.connections,
        CONNECTION_WAIT,
    );
    let connected = tokio::select! {
        connected = connecting => connected,
        () = paths::lost(router, &call.admission.pool) => Err(NoConnection::NoPath),
    };
    open_attempt.basis.connection_wait = router.clock.now().since(open_attempt.began_at());
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            let outcome = match error {
                NoConnection::Unreachable(_) | NoConnection::NoPath => Outcome::Unreachable,
                NoConnection::NoneFree => Outcome::NoFreeConnection,
            };
            return unanswered(open_attempt, outcome, Execution::NotRun, false, None);
        }
    };
    if !may_send(router, call, choice, &open_attempt.basis) {
        connection.release(router.clock.now());
        let not_run = Execution::NotRun;
        return unanswered(open_attempt, Outcome::Withheld, not_run, false, None);
    }
    let remaining = call.deadline.since(router.clock.now());
    let mut request = outbound(router, call, choice, remaining);
    if let Some(continued) = continued {
        set_continuation(router, call, choice, continued, request.headers_mut());
    }
    let time_limit = head_timeout(call, sent_before, remaining);
    let limit = if time_limit < remaining {
        EndCause::HeadTimeout
    } else {
        EndCause::Deadline
    };
    let sent_at = router.clock.now();
    call.progress.on_sent(choice.instance.as_str());
    if let Some(continued) = continued {
        continued.hand_over.on_sent(sent_at);
    }
    let watch = Watch::new(router, choice, call.admission.route.target);
    let may_move = may_try_again(&call.admission, Execution::MayHaveRun, sent_before + 1);
    let is_replaceable = may_move || choice.copy.is_some();
    let dead_peer_timeout = dead_peer_timeout(is_replaceable, remaining);
    let sent = tokio::select! {
        sent = timeout(time_limit, connection.send(request, dead_peer_timeout)) => sent.map_err(|_| limit),
        () = watch.silent_if(sent_at, may_move) => Err(EndCause::BackEndSilent),
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return connection_broken(open_attempt, error),
        Err(cause) => {
            let (outcome, execution) = (Outcome::TimedOut, Execution::MayHaveRun);
            return unanswered(open_attempt, outcome, execution, true, Some(cause));
        }
    };
    let attempt = classify_answer(
        router,
        call,
        choice,
        response,
        connection,
        open_attempt,
        AttemptContext {
            sent_at,
            earlier_attempts: sent_before,
        },
    );
    match attempt {
        Attempt::Answered(answered) => check_length(call, answered).await,
        Attempt::Unanswered(unanswered) => Attempt::Unanswered(unanswered),
    }
}

/// Whether a request may still be sent now that it has a connection. Its back end may have begun to leave, or asked for a
/// backoff, since it was chosen; the bounds on requests after that include the wait for a connection.
fn may_send(router: &Router, call: &Call, choice: &Choice, basis: &AttemptBasis) -> bool {
    let now = router.clock.now();
    let core = router.core.borrow();
    if core.allows_requests(now, &choice.instance) {
        return true;
    }
    let leave = core.leave(now, &choice.instance);
    tracing::info!(event = "request_withheld", id = %call.id, instance = %choice.instance,
        known_by = leave.map(tracing::field::display), chosen_by = basis.revision, revision = core.revision(),
        connection_wait_ms = basis.connection_wait_ms(),
        "router: withheld a request whose back end left or asked for a backoff while the request waited");
    false
}

fn set_continuation(
    router: &Router,
    call: &Call,
    choice: &Choice,
    continued: &Continuation,
    headers: &mut HeaderMap,
) {
    let names = router.dialect.headers();
    let after = continued.after.as_ref();
    if let Some(after) = after.and_then(|after| HeaderValue::from_bytes(after).ok()) {
        headers.insert(&names.last_event_id, after);
    }
    if continued.has_copy {
        let run = router.dialect.copied_run(&choice.address, &call.id);
        if let Ok(run) = HeaderValue::from_str(&run) {
            headers.insert(&names.copied_run, run);
        }
    }
}

fn connection_broken(open_attempt: OpenAttempt, error: SendError) -> Attempt {
    let (outcome, execution, cause) = match error {
        SendError::NotSent => (Outcome::Broken, Execution::NotRun, EndCause::NotSent),
        SendError::Broken(error) => (
            Outcome::Broken,
            Execution::MayHaveRun,
            EndCause::Connection(error),
        ),
        SendError::HeadLimit(excess) => {
            let (limit, bytes) = (excess.limit.as_str(), excess.bytes);
            answer_limits::record(&open_attempt, limit, bytes, excess.elapsed);
            (
                Outcome::LimitExceeded,
                Execution::MayHaveRun,
                EndCause::LimitExceeded,
            )
        }
    };
    let sent = error != SendError::NotSent;
    unanswered(open_attempt, outcome, execution, sent, Some(cause))
}

fn unanswered(
    mut open_attempt: OpenAttempt,
    outcome: Outcome,
    execution: Execution,
    sent: bool,
    cause: Option<EndCause>,
) -> Attempt {
    open_attempt.end(outcome, execution);
    Attempt::Unanswered(Unanswered {
        outcome,
        execution,
        sent,
        sent_at: sent.then(|| open_attempt.sent_at()),
        cause,
        basis: open_attempt.basis,
    })
}

/// How long the back end may acknowledge nothing. An answer that no other back end can give is waited for until the
/// deadline: this router's own link may be what is slow.
fn dead_peer_timeout(is_replaceable: bool, remaining: Duration) -> Duration {
    if is_replaceable {
        sockets::UNACKNOWLEDGED_TIMEOUT
    } else {
        sockets::UNACKNOWLEDGED_TIMEOUT.max(remaining)
    }
}

/// How long to wait for the head of the answer: until the deadline, unless another back end may be tried.
fn head_timeout(call: &Call, sent_before: u32, remaining: Duration) -> Duration {
    let route = &call.admission.route;
    if route.kind != RequestKind::Repeatable || sent_before + 1 >= route.max_attempts {
        return remaining;
    }
    remaining.min(route.target.mul_f64(HEAD_TIMEOUT_FACTOR))
}

fn outbound(
    router: &Router,
    call: &Call,
    choice: &Choice,
    remaining: Duration,
) -> Request<OutboundBody> {
    let names = router.dialect.headers();
    let mut request = Request::new(call.body.to_outbound());
    *request.method_mut() = call.parts.method.clone();
    let target = call.parts.uri.path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = headers::for_back_end(call.parts.headers.clone(), names);
    headers::set_for_attempt(
        request.headers_mut(),
        names,
        &call.admission,
        choice,
        remaining,
    );
    request
}

/// What an answer is classified by, besides the request and the choice.
struct AttemptContext {
    /// When the request was sent.
    sent_at: Timestamp,
    /// Attempts before this one that reached a back end.
    earlier_attempts: u32,
}

/// Decides whether an answer belongs to the request, and whether it is forwarded to the caller.
fn classify_answer(
    router: &Rc<Router>,
    call: &Call,
    choice: &Choice,
    response: Response<Incoming>,
    connection: Connection,
    mut open_attempt: OpenAttempt,
    context: AttemptContext,
) -> Attempt {
    open_attempt.on_bytes_received();
    let names = router.dialect.headers();
    if let Some(fault) = answer_head::fault(&VerdictFields::of(names), &response) {
        let (outcome, execution) = (Outcome::Broken, Execution::MayHaveRun);
        let cause = Some(EndCause::Head(fault));
        return unanswered(open_attempt, outcome, execution, true, cause);
    }
    open_attempt.answered(response.status());
    let headers = response.headers();
    let is_for_this_request = header(headers, &names.request_id) == call.id;
    let sent_at = if is_for_this_request {
        context.sent_at
    } else {
        Timestamp::default()
    };
    notices::process(router, choice, &response, sent_at);
    if !is_for_this_request {
        // A surplus answer to an earlier request on the connection: whether this request ran is unknown.
        let (outcome, execution) = (Outcome::Broken, Execution::MayHaveRun);
        let cause = Some(EndCause::SurplusAnswer);
        return unanswered(open_attempt, outcome, execution, true, cause);
    }
    let not_run = headers.contains_key(&names.not_run)
        || response.status() == StatusCode::MISDIRECTED_REQUEST;
    if not_run {
        let answered_by = header(headers, &names.instance);
        let is_other_instance = !answered_by.is_empty() && answered_by != choice.instance.as_str();
        let outcome = match response.status() {
            StatusCode::MISDIRECTED_REQUEST if is_other_instance => Outcome::Misdirected,
            StatusCode::MISDIRECTED_REQUEST => Outcome::OtherWeights,
            _ => Outcome::Shed,
        };
        drain(router, response, connection);
        return unanswered(open_attempt, outcome, Execution::NotRun, true, None);
    }
    let length = response.body().size_hint().exact();
    if answer_limits::exceeds_declared_length(length) {
        answer_limits::record_body(&open_attempt, BodyLimit::DeclaredBytes, 0);
        let (outcome, cause) = (Outcome::LimitExceeded, EndCause::LimitExceeded);
        let execution = Execution::MayHaveRun;
        return unanswered(open_attempt, outcome, execution, true, Some(cause));
    }
    let failed = response.status().is_server_error();
    if failed
        && may_try_again(
            &call.admission,
            Execution::Ran,
            context.earlier_attempts + 1,
        )
    {
        drain(router, response, connection);
        return unanswered(open_attempt, Outcome::Failed, Execution::Ran, true, None);
    }
    Attempt::Answered(Box::new(Answered {
        response: response.map(ReadAheadBody::new),
        connection,
        open_attempt,
    }))
}

/// Takes back an answer whose body goes on behind its declared length. Nothing of it has been forwarded yet.
async fn check_length(call: &Call, mut answered: Box<Answered>) -> Attempt {
    let is_exceeded = declared_length::is_exceeded(
        &call.parts.method,
        &mut answered.response,
        &answered.connection,
        declared_length::EMPTY_ANSWER_WAIT,
    );
    if !is_exceeded.await {
        return Attempt::Answered(answered);
    }
    let (outcome, execution) = (Outcome::Broken, Execution::MayHaveRun);
    let cause = Some(EndCause::LengthExceeded);
    unanswered(answered.open_attempt, outcome, execution, true, cause)
}

/// Reads a short answer to its end, so that its connection can be reused.
fn drain(router: &Rc<Router>, response: Response<Incoming>, connection: Connection) {
    const MAX_BYTES: usize = 16 << 10;
    const TIMEOUT: Duration = Duration::from_millis(200);
    let clock = router.clock;
    tokio::task::spawn_local(async move {
        let reading = Limited::new(response.into_body(), MAX_BYTES).collect();
        if matches!(timeout(TIMEOUT, reading).await, Ok(Ok(_))) {
            connection.release(clock.now());
        }
    });
}
