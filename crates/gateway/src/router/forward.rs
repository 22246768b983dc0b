//! One request: from its head to an answer, over one back end or several.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{
    Admission, Choice, ChoiceError, InstanceId, Outcome, Prompt, Refusal, RequestKind,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use tokio::time::timeout;

use super::headers;
use super::relay::{Relay, Visit};
use super::Router;
use crate::answer::{self, AnswerBody};
use crate::server::NoAnswer;
use crate::upstream::{Connection, NoConnection, SendError};

/// Attempts that reached no back end do not count as attempts, but there is an end to them.
const MOST_TRIES: usize = 4;
/// A caller that was refused because of a passing state comes back after this long.
const COME_BACK: Duration = Duration::from_millis(60);
/// Control machines that start together have a leader after about this long.
const COMMON_START: Duration = Duration::from_millis(1_100);
/// Another router serves it at once.
const COME_BACK_AT_ONCE: Duration = Duration::from_millis(5);
/// A caller comes back later when no back end is there at all.
const COME_BACK_LATER: Duration = Duration::from_millis(400);
/// Part of a route's target within which a repeatable request should have its answer's head.
const SILENCE_FACTOR: f64 = 1.6;
const CONNECTION_PATIENCE: Duration = Duration::from_millis(60);

/// What is known of a request.
struct Call {
    id: String,
    received: Timestamp,
    deadline: Timestamp,
    admission: Admission,
    prompt: Option<Prompt>,
    parts: Parts,
    body: Bytes,
}

/// How one attempt ended.
enum Attempt {
    Answered(Box<Answered>),
    Ended { execution: Execution, sent: bool },
}

/// An answer that is to be passed on.
struct Answered {
    response: Response<Incoming>,
    connection: Connection,
    visit: Visit,
}

/// How a request is answered when no back end does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GivenUp {
    status: StatusCode,
    come_back: Option<Duration>,
    reason: &'static str,
}

/// Why a request is not looked into.
#[derive(Clone, Copy, Debug)]
enum Refused {
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

/// Counts a request as open until its answer has ended.
pub(super) struct OpenRequest(Rc<Router>);

impl OpenRequest {
    fn new(router: &Rc<Router>) -> Self {
        router.open_requests.set(router.open_requests.get() + 1);
        Self(Rc::clone(router))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Serves one request of a caller.
pub(super) async fn serve(
    router: Rc<Router>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, NoAnswer> {
    let open = OpenRequest::new(&router);
    let received = router.clock.now();
    let id = header(request.headers(), &router.dialect.headers().request_id);
    let mut response = match admit(&router, &request, received) {
        Ok((admission, prompt)) => {
            let call = read_call(&router, id, received, admission, prompt, request).await?;
            answer(&router, call, open).await
        }
        Err(refusal) => refuse(&router, &id, received, refusal),
    };
    if router.stopping.get().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

fn admit(
    router: &Router,
    request: &Request<Incoming>,
    now: Timestamp,
) -> Result<(Admission, Option<Prompt>), Refused> {
    let names = router.dialect.headers();
    let headers = request.headers();
    let host = host_of(request);
    let key = headers.get(&names.key).and_then(|key| key.to_str().ok());
    let path = request.uri().path();
    let admission = router.core.borrow_mut().admit(now, &host, path, key)?;
    if router.stops_before(admission.route.kind) {
        return Err(Refused::Stopping);
    }
    let prompt = router.dialect.prompt(headers);
    Ok((admission, prompt))
}

/// The host without its port.
fn host_of<B>(request: &Request<B>) -> String {
    let named = request.headers().get(HOST);
    let host = named
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(host, _)| host);
    without_port.to_ascii_lowercase()
}

async fn read_call(
    router: &Router,
    id: String,
    received: Timestamp,
    admission: Admission,
    prompt: Option<Prompt>,
    request: Request<Incoming>,
) -> Result<Call, NoAnswer> {
    let names = router.dialect.headers();
    let named = header(request.headers(), &names.deadline_ms).parse().ok();
    let patience = named.map_or(admission.route.timeout, Duration::from_millis);
    let held = patience.min(admission.route.timeout);
    let most = router
        .core
        .borrow()
        .document()
        .map_or(0, |document| document.limits.body_bytes);
    let (parts, body) = request.into_parts();
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        let reading = Limited::new(body, most).collect();
        let read = timeout(held, reading).await.map_err(|_| NoAnswer)?;
        read.map_err(|_| NoAnswer)?.to_bytes()
    };
    Ok(Call {
        id,
        received,
        deadline: received.plus(held),
        admission,
        prompt,
        parts,
        body,
    })
}

async fn answer(router: &Rc<Router>, call: Call, open: OpenRequest) -> Response<AnswerBody> {
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut sent = 0;
    let mut worst = Execution::NotRun;
    for _ in 0..MOST_TRIES {
        let now = router.clock.now();
        if call.deadline <= now {
            break;
        }
        let chosen =
            router
                .core
                .borrow_mut()
                .choose(now, &call.admission, call.prompt.as_ref(), &tried);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => return give_up(router, &call, &tried, worst, Some(error)),
        };
        tried.push(choice.instance.clone());
        match attempt(router, &call, &choice, sent).await {
            Attempt::Answered(answered) => {
                return relay(router, call, &choice, *answered, open, &tried);
            }
            Attempt::Ended {
                execution,
                sent: was_sent,
            } => {
                worst = worst.max(execution);
                sent += u32::from(was_sent);
                if !may_try_again(&call.admission, worst, sent) {
                    break;
                }
            }
        }
    }
    give_up(router, &call, &tried, worst, None)
}

/// A request that may have run goes to another back end only when it may run twice.
fn may_try_again(admission: &Admission, worst: Execution, sent: u32) -> bool {
    let route = &admission.route;
    let repeatable = worst == Execution::NotRun || route.kind.may_repeat();
    repeatable && sent < route.max_attempts.max(1)
}

async fn attempt(router: &Rc<Router>, call: &Call, choice: &Choice, sent: u32) -> Attempt {
    let mut visit = Visit::new(router, choice, call.admission.route.target);
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
                NoConnection::NoneFree => Outcome::Shed,
            };
            visit.end(outcome);
            return Attempt::Ended {
                execution: Execution::NotRun,
                sent: false,
            };
        }
    };
    let left = call.deadline.since(router.clock.now());
    let request = outbound(router, call, choice, left);
    let patience = head_patience(call, sent, left);
    let response = match timeout(patience, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return broken(visit, error),
        Err(_) => {
            visit.end(Outcome::TimedOut);
            return Attempt::Ended {
                execution: Execution::MayHaveRun,
                sent: true,
            };
        }
    };
    judge(router, call, choice, response, connection, visit, sent)
}

fn broken(mut visit: Visit, error: SendError) -> Attempt {
    let (outcome, execution) = match error {
        SendError::NotSent => (Outcome::Broken, Execution::NotRun),
        SendError::Broken => (Outcome::Broken, Execution::MayHaveRun),
    };
    visit.end(outcome);
    Attempt::Ended {
        execution,
        sent: error == SendError::Broken,
    }
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

/// Decides whether an answer is the request's, and whether it is passed on.
fn judge(
    router: &Rc<Router>,
    call: &Call,
    choice: &Choice,
    response: Response<Incoming>,
    connection: Connection,
    mut visit: Visit,
    sent: u32,
) -> Attempt {
    visit.answered();
    let names = router.dialect.headers();
    let headers = response.headers();
    if header(headers, &names.request_id) != call.id {
        // A surplus answer to an earlier request: nobody can say what became of this one.
        visit.end(Outcome::Broken);
        return Attempt::Ended {
            execution: Execution::MayHaveRun,
            sent: true,
        };
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
        visit.end(outcome);
        drain(router, response, connection);
        return Attempt::Ended {
            execution: Execution::NotRun,
            sent: true,
        };
    }
    let failed = response.status().is_server_error();
    if failed && may_try_again(&call.admission, Execution::Ran, sent + 1) {
        visit.end(Outcome::Failed);
        drain(router, response, connection);
        return Attempt::Ended {
            execution: Execution::Ran,
            sent: true,
        };
    }
    Attempt::Answered(Box::new(Answered {
        response,
        connection,
        visit,
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

fn relay(
    router: &Rc<Router>,
    call: Call,
    choice: &Choice,
    answered: Answered,
    open: OpenRequest,
    tried: &[InstanceId],
) -> Response<AnswerBody> {
    let Answered {
        response,
        connection,
        visit,
    } = answered;
    let now = router.clock.now();
    let elapsed = now.since(call.received);
    router.metrics.count_request("answered", elapsed);
    tracing::info!(event = "request", id = %call.id, route = %call.admission.route.name,
        outcome = "answered", status = response.status().as_u16(), instance = %choice.instance,
        attempts = tried.len(), rank = choice.rank, in_flight = choice.in_flight,
        version = choice.expected_version, elapsed_ms = elapsed.as_millis() as u64,
        revision = router.core.borrow().revision());
    let (mut head, body) = response.into_parts();
    headers::strip_connection_headers(&mut head.headers);
    let left = call.deadline.since(now);
    let relay = Relay::new(call.id, body, connection, visit, open, left);
    Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
}

fn give_up(
    router: &Router,
    call: &Call,
    tried: &[InstanceId],
    worst: Execution,
    error: Option<ChoiceError>,
) -> Response<AnswerBody> {
    let elapsed = router.clock.now().since(call.received);
    let given_up = final_answer(worst, error, router.clock.now() >= call.deadline);
    router.metrics.count_request(given_up.reason, elapsed);
    tracing::info!(event = "request", id = %call.id, route = %call.admission.route.name,
        outcome = given_up.reason, status = given_up.status.as_u16(),
        instance = tried.last().map(InstanceId::as_str), attempts = tried.len(),
        execution = worst.as_str(), choice = error.map(tracing::field::display),
        elapsed_ms = elapsed.as_millis() as u64, revision = router.core.borrow().revision());
    respond(given_up)
}

/// 503 promises that the request has not run; 502 and 504 promise nothing.
fn final_answer(worst: Execution, error: Option<ChoiceError>, late: bool) -> GivenUp {
    if worst == Execution::NotRun {
        let none_ready = error == Some(ChoiceError::NoneReady);
        let after = if none_ready {
            COME_BACK_LATER
        } else {
            COME_BACK
        };
        return GivenUp {
            status: StatusCode::SERVICE_UNAVAILABLE,
            come_back: Some(after),
            reason: if none_ready {
                "no_back_end"
            } else {
                "turned_away"
            },
        };
    }
    let (status, reason) = if late {
        (StatusCode::GATEWAY_TIMEOUT, "timed_out")
    } else {
        (StatusCode::BAD_GATEWAY, "broken")
    };
    GivenUp {
        status,
        come_back: None,
        reason,
    }
}

fn refuse(
    router: &Router,
    id: &str,
    received: Timestamp,
    refused: Refused,
) -> Response<AnswerBody> {
    let busy = StatusCode::SERVICE_UNAVAILABLE;
    let (status, come_back, reason) = match refused {
        Refused::ByView(Refusal::NoRoute) => (StatusCode::NOT_FOUND, None, "no_route"),
        Refused::ByView(Refusal::UnknownKey) => (StatusCode::UNAUTHORIZED, None, "unknown_key"),
        Refused::ByView(Refusal::NoConfiguration) => {
            (busy, Some(COME_BACK_LATER), "no_configuration")
        }
        Refused::ByView(Refusal::Unconfirmed) => {
            (busy, Some(until_confirmed(router)), "unconfirmed")
        }
        Refused::Stopping => (busy, Some(COME_BACK_AT_ONCE), "stopping"),
    };
    let now = router.clock.now();
    router.metrics.count_request(reason, now.since(received));
    let core = router.core.borrow();
    tracing::info!(event = "request", %id, outcome = reason, status = status.as_u16(),
        revision = core.revision(), configuration = core.configuration_version(),
        view_age_ms = core.view_age(now).map(|age| age.as_millis() as u64));
    respond(GivenUp {
        status,
        come_back,
        reason,
    })
}

/// When control machines have started together with this router they elect a leader first, and
/// a caller that comes back before that comes in vain.
fn until_confirmed(router: &Router) -> Duration {
    let running = Duration::from_micros(router.clock.now().0);
    COMMON_START.saturating_sub(running).max(COME_BACK_LATER)
}

fn respond(given_up: GivenUp) -> Response<AnswerBody> {
    match given_up.come_back {
        Some(after) => answer::come_back(given_up.status, after),
        None => answer::plain(given_up.status, ""),
    }
}

fn header(headers: &HeaderMap, name: &hyper::header::HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
