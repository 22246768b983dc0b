//! One attempt to have a request answered by a back end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{Choice, Outcome, RequestKind};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use tokio::time::timeout;

use super::forward::{header, may_try_again, Call};
use super::headers;
use super::notices;
use super::relay::OpenAttempt;
use super::Router;
use crate::upstream::{Connection, NoConnection, SendError};

/// Part of a route's target within which a repeatable request should have its answer's head.
const SILENCE_FACTOR: f64 = 1.6;
/// A free connection may take this long.
const CONNECTION_PATIENCE: Duration = Duration::from_millis(60);

/// How one attempt ended.
pub(super) enum Attempt {
    Answered(Box<Answered>),
    Ended(Ended),
}

/// An attempt without an answer to pass on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    /// What became of it at the back end.
    pub outcome: Outcome,
    /// Whether the request may have run there.
    pub execution: Execution,
    /// Whether it arrived there.
    pub sent: bool,
}

/// An answer that is to be passed on.
pub(super) struct Answered {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub open_attempt: OpenAttempt,
}

/// A stream that an attempt goes on with.
#[derive(Clone, Debug, Default)]
pub(super) struct Continuation {
    /// The last event that the caller has; `None` when it has none.
    pub after: Option<Bytes>,
    /// The back end has a copy of the run; else it reads the prompt again.
    pub has_copy: bool,
}

/// Sends the request to the back end that was chosen and judges what comes.
/// `continued` is for a stream that is taken up.
pub(super) async fn make(
    router: &Rc<Router>,
    call: &Call,
    choice: &Choice,
    sent: u32,
    continued: Option<&Continuation>,
) -> Attempt {
    let open_attempt = OpenAttempt::new(router, call, choice);
    let connecting = router.upstreams.connect(
        &choice.instance,
        &choice.address,
        choice.connections,
        CONNECTION_PATIENCE,
    );
    let mut connection = match connecting.await {
        Ok(connection) => connection,
        Err(error) => {
            let outcome = match error {
                NoConnection::Unreachable(_) => Outcome::Unreachable,
                NoConnection::NoneFree => Outcome::NoFreeConnection,
            };
            return ended(open_attempt, outcome, Execution::NotRun, false);
        }
    };
    if !notices::may_send(router, choice) {
        connection.give_back(router.clock.now());
        return ended(open_attempt, Outcome::Withheld, Execution::NotRun, false);
    }
    let left = call.deadline.since(router.clock.now());
    let mut request = outbound(router, call, choice, left);
    if let Some(continued) = continued {
        set_continuation(router, call, choice, continued, request.headers_mut());
    }
    let patience = head_patience(call, sent, left);
    let asked = router.clock.now();
    let response = match timeout(patience, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return broken(open_attempt, error),
        Err(_) => {
            let outcome = Outcome::TimedOut;
            return ended(open_attempt, outcome, Execution::MayHaveRun, true);
        }
    };
    judge(
        router,
        call,
        choice,
        response,
        connection,
        open_attempt,
        Requested {
            asked,
            earlier: sent,
        },
    )
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

fn broken(open_attempt: OpenAttempt, error: SendError) -> Attempt {
    let execution = match error {
        SendError::NotSent => Execution::NotRun,
        SendError::Broken => Execution::MayHaveRun,
    };
    let sent = error == SendError::Broken;
    ended(open_attempt, Outcome::Broken, execution, sent)
}

fn ended(
    mut open_attempt: OpenAttempt,
    outcome: Outcome,
    execution: Execution,
    sent: bool,
) -> Attempt {
    open_attempt.end(outcome, execution);
    Attempt::Ended(Ended {
        outcome,
        execution,
        sent,
    })
}

/// How long to wait for a head: all that is left, unless another back end may be asked.
fn head_patience(call: &Call, sent: u32, left: Duration) -> Duration {
    let route = &call.admission.route;
    if route.kind != RequestKind::Repeatable || sent + 1 >= route.max_attempts {
        return left;
    }
    left.min(route.target.mul_f64(SILENCE_FACTOR))
}

fn outbound(router: &Router, call: &Call, choice: &Choice, left: Duration) -> Request<Full<Bytes>> {
    let names = router.dialect.headers();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    let target = call.parts.uri.path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = headers::for_back_end(call.parts.headers.clone(), names);
    headers::set_for_attempt(request.headers_mut(), names, &call.admission, choice, left);
    request
}

/// What an answer is judged by.
struct Requested {
    /// When the request was sent.
    asked: Timestamp,
    /// Attempts before this one that reached a back end.
    earlier: u32,
}

/// Decides whether an answer is the request's, and whether it is passed on.
fn judge(
    router: &Rc<Router>,
    call: &Call,
    choice: &Choice,
    response: Response<Incoming>,
    connection: Connection,
    mut open_attempt: OpenAttempt,
    requested: Requested,
) -> Attempt {
    open_attempt.answered();
    let names = router.dialect.headers();
    let headers = response.headers();
    let is_own = header(headers, &names.request_id) == call.id;
    let asked = if is_own {
        requested.asked
    } else {
        Timestamp::default()
    };
    notices::take_in(router, choice, &response, asked);
    if !is_own {
        // A surplus answer to an earlier request: nobody can say what became of this one.
        let outcome = Outcome::Broken;
        return ended(open_attempt, outcome, Execution::MayHaveRun, true);
    }
    let not_run = headers.contains_key(&names.not_run)
        || response.status() == StatusCode::MISDIRECTED_REQUEST;
    if not_run {
        let answered_by = header(headers, &names.instance);
        let other = !answered_by.is_empty() && answered_by != choice.instance.as_str();
        let outcome = match response.status() {
            StatusCode::MISDIRECTED_REQUEST if other => Outcome::Misdirected,
            StatusCode::MISDIRECTED_REQUEST => Outcome::OtherWeights,
            _ => Outcome::Shed,
        };
        drain(router, response, connection);
        return ended(open_attempt, outcome, Execution::NotRun, true);
    }
    let failed = response.status().is_server_error();
    if failed && may_try_again(&call.admission, Execution::Ran, requested.earlier + 1) {
        drain(router, response, connection);
        return ended(open_attempt, Outcome::Failed, Execution::Ran, true);
    }
    Attempt::Answered(Box::new(Answered {
        response,
        connection,
        open_attempt,
    }))
}

/// Reads a short answer to its end, so that its connection can be kept.
fn drain(router: &Rc<Router>, response: Response<Incoming>, connection: Connection) {
    const SHORT: usize = 16 << 10;
    const PATIENCE: Duration = Duration::from_millis(200);
    let clock = router.clock;
    tokio::task::spawn_local(async move {
        let reading = Limited::new(response.into_body(), SHORT).collect();
        if matches!(timeout(PATIENCE, reading).await, Ok(Ok(_))) {
            connection.give_back(clock.now());
        }
    });
}
