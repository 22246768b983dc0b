//! Logs why a caller's connection ended while a request was being answered on it.

use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::Response;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::client_activity::{Activity, OpenPart};
use crate::connection_errors::ConnectionError;

/// The request that is being answered on a connection, if any.
#[derive(Clone, Debug)]
pub(crate) struct CurrentRequest {
    request: Rc<RefCell<Option<Request>>>,
    activity: Rc<Activity>,
}

#[derive(Debug)]
struct Request {
    since: Instant,
    answer: Option<Answer>,
}

/// An answer that has begun.
#[derive(Debug)]
struct Answer {
    /// The request's identifier, if the answer is forwarded.
    id: Option<String>,
}

/// The body of the answer to the current request, which ends with it.
pub(crate) struct TrackedBody {
    body: AnswerBody,
    _request: RequestGuard,
}

struct RequestGuard {
    current: CurrentRequest,
    _open: OpenPart,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        *self.current.request.borrow_mut() = None;
    }
}

impl CurrentRequest {
    /// Of a connection without a request.
    pub fn new(activity: Rc<Activity>) -> Self {
        Self {
            request: Rc::default(),
            activity,
        }
    }

    /// Waits for the answer to a request, and takes the request as current until the body of the answer is dropped.
    pub async fn track<E>(
        self,
        answer: impl Future<Output = Result<Response<AnswerBody>, E>>,
    ) -> Result<Response<TrackedBody>, E> {
        *self.request.borrow_mut() = Some(Request {
            since: Instant::now(),
            answer: None,
        });
        let guard = RequestGuard {
            _open: self.activity.open_part(),
            current: self,
        };
        let response = answer.await?;
        guard.current.begin_answer(response.body());
        Ok(response.map(|body| TrackedBody {
            body,
            _request: guard,
        }))
    }

    fn begin_answer(&self, body: &AnswerBody) {
        let id = body.request_id().map(str::to_owned);
        if let Some(request) = self.request.borrow_mut().as_mut() {
            request.answer = Some(Answer { id });
        }
    }

    /// Logs why the connection of `peer` ended, if a request was being answered.
    pub fn log_end(&self, peer: IpAddr, error: &hyper::Error) {
        // Errors of this process are logged where they occur.
        if error.is_user() {
            return;
        }
        let reason = ConnectionError::of(error);
        self.log(peer, cause(reason), error, |request| {
            // A caller that stops waiting closes its connection.
            reason != ConnectionError::Closed || request.answer.is_some()
        });
    }

    /// Logs that this process closed the connection of `peer` because it exits, if a request was being answered.
    pub fn log_cut(&self, peer: IpAddr) {
        let error = "its answer was not sent in time";
        self.log(peer, "process_exit", &error, |_| true);
    }

    /// Logs that the connection of `peer` gave way to another one; false if no request was being answered.
    pub fn log_evicted(&self, peer: IpAddr) -> bool {
        let error = "its answer was not read";
        self.log(peer, "evicted", &error, |_| true);
        self.request.borrow().is_some()
    }

    fn log(
        &self,
        peer: IpAddr,
        cause: &'static str,
        error: &dyn Display,
        is_logged: impl FnOnce(&Request) -> bool,
    ) {
        let request = self.request.borrow();
        let Some(request) = request.as_ref().filter(|request| is_logged(request)) else {
            return;
        };
        let answer = request.answer.as_ref();
        let id = answer.and_then(|answer| answer.id.as_deref());
        tracing::info!(
            event = "caller_connection_ended", id = id.map(tracing::field::display), %peer, cause,
            answer_begun = answer.is_some(),
            request_age_ms = request.since.elapsed().as_millis() as u64, %error,
            "server: a caller's connection ended while its request was being answered"
        );
    }
}

fn cause(reason: ConnectionError) -> &'static str {
    match reason {
        ConnectionError::Closed => "caller_closed",
        ConnectionError::Reset => "caller_reset",
        ConnectionError::Unacknowledged => "unacknowledged",
        ConnectionError::NoRoute => "no_route",
        ConnectionError::Malformed => "malformed",
        ConnectionError::HeadTimeout => "head_timeout",
        ConnectionError::Unknown => "unknown",
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
