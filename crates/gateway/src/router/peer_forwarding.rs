//! Forwards requests to another router while this one has no path to the back ends of their pool.
//!
//! The other router admits, places and charges the request like those of its own callers, and frames the answer. A request
//! is forwarded once: a router that receives it so marked sends it to a back end or declines it, which tells that it has
//! not run. Routers of earlier builds ignore the mark and serve it like any request.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::Execution;
use drumshore_gateway_core::InstanceId;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, Version};
use tokio::time::timeout;

use super::answer_timer::AnswerTimer;
use super::declared_length;
use super::end_cause::{BrokenOff, EndCause};
use super::forward::{header, may_try_again, Call};
use super::open_requests::OpenRequest;
use super::received_body::Framing;
use super::{headers, notices, Router};
use crate::answer::AnswerBody;
use crate::answer_head::{self, VerdictFields};
use crate::read_ahead::ReadAheadBody;
use crate::request_body::OutboundBody;
use crate::sockets;
use crate::upstream::{Connection, NoConnection, SendError};

/// Marks a request that another router forwards.
pub(super) const FORWARDED: HeaderName = HeaderName::from_static("drumshore-forwarded");
/// Names the back end whose answer is forwarded to another router, which heeds what the answer says of it.
const SERVED_BY: HeaderName = HeaderName::from_static("drumshore-served-by");
/// Marks the rejection of a forwarded request that another router may be able to serve.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("drumshore-declined");

/// Connections to one peer.
const MAX_CONNECTIONS: usize = 256;
/// Peers that one request is forwarded to.
const MAX_PEERS: usize = 3;
/// Time allowed for waiting for a free connection, in addition to the time for opening one.
const CONNECTION_WAIT: Duration = Duration::from_millis(60);

/// How an attempt at a peer ended.
enum Forwarded {
    Answered(Box<PeerAnswer>),
    /// The peer did not run the request.
    Declined,
    Unreachable,
    /// The peer may have run the request.
    Broken,
    /// The same; it sent something that no router answers.
    Invalid,
}

impl Forwarded {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(..) => "answered",
            Self::Declined => "declined",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Invalid => "invalid",
        }
    }
}

/// An answer of another router.
pub(super) struct PeerAnswer {
    response: Response<ReadAheadBody>,
    connection: Connection,
}

/// Forwards a request to peers until one answers; `None` if none does.
pub(super) async fn forward(router: &Rc<Router>, call: &Call) -> Option<PeerAnswer> {
    let pool = &call.admission.pool;
    let peers = router.peers.candidates(router.clock.now(), pool);
    for peer in peers.iter().take(MAX_PEERS) {
        let now = router.clock.now();
        if call.deadline <= now {
            break;
        }
        let forwarded = attempt(router, call, peer).await;
        router.metrics.count_forwarded(forwarded.as_str());
        log(router, call, peer, &forwarded);
        let now = router.clock.now();
        match forwarded {
            Forwarded::Answered(answered) => {
                // The peer has charged the request to its tenant as well.
                router.core.borrow_mut().refund(now, &call.admission);
                return Some(*answered);
            }
            Forwarded::Declined => {
                call.progress.on_unanswered(Execution::NotRun);
                router.peers.on_declined(now, peer, pool);
            }
            Forwarded::Unreachable => {
                call.progress.on_unanswered(Execution::NotRun);
                router.peers.on_unreachable(now, peer);
            }
            Forwarded::Broken | Forwarded::Invalid => {
                let execution = Execution::MayHaveRun;
                call.progress.on_unanswered(execution);
                let may_repeat = may_try_again(&call.admission, execution, 1);
                if !may_repeat || !router.core.borrow_mut().charge_retry(now, &call.admission) {
                    break;
                }
            }
        }
    }
    None
}

async fn attempt(router: &Rc<Router>, call: &Call, peer: &str) -> Forwarded {
    let instance = InstanceId::new(peer);
    let connecting = router
        .upstreams
        .connect(&instance, peer, MAX_CONNECTIONS, CONNECTION_WAIT);
    let mut connection = match connecting.await {
        Ok(connection) => connection,
        Err(NoConnection::NoneFree) => return Forwarded::Declined,
        Err(NoConnection::Unreachable(_) | NoConnection::NoPath) => return Forwarded::Unreachable,
    };
    let remaining = call.deadline.since(router.clock.now());
    let request = outbound(router, call, remaining);
    call.progress.on_sent(peer);
    let sending = connection.send(request, sockets::UNACKNOWLEDGED_TIMEOUT);
    match timeout(remaining, sending).await {
        Ok(Ok(response)) if !is_valid(router, call, &response) => Forwarded::Invalid,
        Ok(Ok(response)) if response.headers().contains_key(&DECLINED) => Forwarded::Declined,
        Ok(Ok(response)) => check_length(call, response, connection).await,
        Ok(Err(SendError::NotSent)) => Forwarded::Unreachable,
        Ok(Err(SendError::Broken(_) | SendError::HeadLimit(_))) | Err(_) => Forwarded::Broken,
    }
}

/// The peer has waited for content behind an answer without any.
async fn check_length(
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
) -> Forwarded {
    let mut response = response.map(ReadAheadBody::new);
    let (method, no_wait) = (&call.parts.method, Duration::ZERO);
    if declared_length::is_exceeded(method, &mut response, &connection, no_wait).await {
        return Forwarded::Invalid;
    }
    Forwarded::Answered(Box::new(PeerAnswer {
        response,
        connection,
    }))
}

/// Whether a router may have given an answer: routers frame each one, decline with one status only, and a success is that
/// of a back end to this request.
fn is_valid(router: &Router, call: &Call, response: &Response<Incoming>) -> bool {
    let names = router.dialect.headers();
    let (status, headers) = (response.status(), response.headers());
    let is_sound = if status.is_success() {
        header(headers, &names.request_id) == call.id
            && answer_head::fault(&VerdictFields::of(names), response).is_none()
    } else {
        answer_head::structure_fault(response).is_none()
    };
    let declines = headers.contains_key(&DECLINED);
    let may_decline = status == StatusCode::SERVICE_UNAVAILABLE;
    Framing::of(response) != Framing::Connection && is_sound && (may_decline || !declines)
}

fn outbound(router: &Router, call: &Call, remaining: Duration) -> Request<OutboundBody> {
    let mut request = Request::new(call.body.to_outbound());
    *request.method_mut() = call.parts.method.clone();
    let target = call.parts.uri.path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = call.parts.headers.clone();
    let fields = request.headers_mut();
    headers::strip_connection_headers(fields);
    fields.remove(CONTENT_LENGTH);
    fields.insert(FORWARDED, HeaderValue::from_static("1"));
    let remaining = HeaderValue::from(remaining.as_millis() as u64);
    fields.insert(&router.dialect.headers().deadline_ms, remaining);
    request
}

fn log(router: &Router, call: &Call, peer: &str, forwarded: &Forwarded) {
    let status = match forwarded {
        Forwarded::Answered(answered) => Some(answered.response.status().as_u16()),
        _ => None,
    };
    let elapsed = router.clock.now().since(call.received);
    tracing::info!(event = "request_forwarded", id = %call.id, route = %call.admission.route.name,
        pool = %call.admission.pool, peer, outcome = forwarded.as_str(), status, peers = router.peers.count(),
        elapsed_ms = elapsed.as_millis() as u64, "router: forwarded a request to another router");
}

/// Forwards an answer of another router to the caller.
pub(super) fn forward_answer(
    router: &Rc<Router>,
    call: &Call,
    open: OpenRequest,
    answer: PeerAnswer,
) -> Response<AnswerBody> {
    let PeerAnswer {
        response,
        connection,
    } = answer;
    let now = router.clock.now();
    call.progress.on_answered();
    router
        .metrics
        .count_request("forwarded", now.since(call.received));
    let has_declared_length = Framing::of(&response) == Framing::Length;
    let (mut head, body) = response.into_parts();
    if let Some(back_end) = head.headers.remove(SERVED_BY) {
        let back_end = InstanceId::new(&String::from_utf8_lossy(back_end.as_bytes()));
        notices::process_forwarded(router, &back_end, head.status, &head.headers);
    }
    headers::strip_connection_headers(&mut head.headers);
    headers::merge_lengths(&mut head.headers);
    // The version, and with it whether a body may have chunks, is that of the caller's connection.
    head.version = Version::HTTP_11;
    let remaining = call.deadline.since(now);
    let mut body = PeerBody {
        id: call.id.clone(),
        router: Rc::clone(router),
        body,
        has_declared_length,
        connection: Some(connection),
        timer: AnswerTimer::new(router, remaining),
        open,
    };
    if body.is_end_stream() {
        body.finish();
    }
    Response::from_parts(head, AnswerBody::FromPeer(Box::new(body)))
}

/// The body of an answer from another router. Dropping it before the end closes the connection, by which that router
/// learns that the caller has left.
pub(crate) struct PeerBody {
    id: String,
    router: Rc<Router>,
    body: ReadAheadBody,
    has_declared_length: bool,
    connection: Option<Connection>,
    timer: AnswerTimer,
    open: OpenRequest,
}

impl PeerBody {
    pub fn id(&self) -> &str {
        &self.id
    }

    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let received = frame.data_ref().map_or(0, Bytes::len) as u64;
                self.open.progress.add_answer_bytes(received);
                if self.is_followed_by_content() {
                    let broken_off = BrokenOff::LengthExceeded;
                    let error = io::Error::new(io::ErrorKind::UnexpectedEof, broken_off);
                    return Poll::Ready(Some(Err(self.cut("broken", broken_off.cause(), error))));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let cause = EndCause::of_body(self.connection.as_ref(), &error);
                let error = io::Error::other(error);
                Poll::Ready(Some(Err(self.cut("broken", cause, error))))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let over = ready!(self.timer.poll(context));
                let error = io::Error::from(io::ErrorKind::TimedOut);
                let error = self.cut(over.reason(), over.cause(), error);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    /// Whether the body goes on behind its declared length.
    fn is_followed_by_content(&self) -> bool {
        let connection = self.connection.as_ref();
        let is_followed = connection.is_some_and(|connection| connection.surplus().is_content());
        self.has_declared_length && self.body.is_end_stream() && is_followed
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release(self.router.clock.now());
        }
    }

    fn cut(&mut self, reason: &'static str, cause: EndCause, error: io::Error) -> io::Error {
        tracing::info!(event = "answer_cut", id = %self.id, reason, cause = cause.as_str(), %error,
            remaining_ms = self.timer.remaining_ms(), event_loop_late_ms = self.router.event_loop_delay.late_ms(),
            "router: closed the caller's connection before the end of an answer from another router");
        self.connection = None;
        error
    }
}

/// Whether another router forwarded the request.
pub(super) fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(&FORWARDED)
}

/// Names the back end of an answer to a forwarded request.
pub(super) fn name_back_end(headers: &mut HeaderMap, back_end: &InstanceId) {
    match HeaderValue::from_str(back_end.as_str()) {
        Ok(value) => {
            headers.insert(SERVED_BY, value);
        }
        Err(error) => {
            tracing::warn!(event = "back_end_not_named", instance = %back_end, %error,
                "router: the name of a back end fits no header; the router that forwarded the request cannot heed its notices");
        }
    }
}

/// Marks the rejection of a forwarded request for a reason that concerns only this router.
pub(super) fn mark_declined(response: &mut Response<AnswerBody>) {
    debug_assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    response
        .headers_mut()
        .insert(DECLINED, HeaderValue::from_static("1"));
}
