//! The body of an answer on its way from a back end to a caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::Timestamp;
use drumshore_gateway_core::{Choice, Outcome};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use super::forward::OpenRequest;
use super::Router;
use crate::upstream::Connection;

/// A request's stay at a back end. However it ends, the router's count is put right.
pub(crate) struct Visit {
    router: Rc<Router>,
    choice: Choice,
    target: Duration,
    begun: Timestamp,
    answered: bool,
    outcome: Outcome,
}

impl Visit {
    pub fn new(router: &Rc<Router>, choice: &Choice, target: Duration) -> Self {
        Self {
            target,
            begun: router.clock.now(),
            router: Rc::clone(router),
            choice: choice.clone(),
            answered: false,
            outcome: Outcome::Abandoned,
        }
    }

    /// The answer has begun.
    pub fn answered(&mut self) {
        let took = self.router.clock.now().since(self.begun);
        self.note_answered(Some(took));
    }

    fn note_answered(&mut self, took: Option<Duration>) {
        if !std::mem::replace(&mut self.answered, true) {
            let now = self.router.clock.now();
            let mut core = self.router.core.borrow_mut();
            core.answered(now, &self.choice, took, self.target);
        }
    }

    /// Says how it ended; it ends when dropped.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.note_answered(None);
        let now = self.router.clock.now();
        let mut core = self.router.core.borrow_mut();
        core.finished(now, &self.choice.instance, self.outcome);
        self.router.metrics.count_attempt(word(self.outcome));
    }
}

fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Failed => "failed",
        Outcome::Shed => "shed",
        Outcome::Misdirected => "misdirected",
        Outcome::OtherWeights => "other_weights",
        Outcome::Unreachable => "unreachable",
        Outcome::Broken => "broken",
        Outcome::TimedOut => "timed_out",
        Outcome::Abandoned => "abandoned",
    }
}

/// Passes a body on as it comes. Dropping it closes the connection to the back end, which ends
/// its work; an error cuts the caller's connection, so that a part never looks whole.
pub(crate) struct Relay {
    id: String,
    body: Incoming,
    connection: Option<Connection>,
    visit: Visit,
    deadline: Pin<Box<Sleep>>,
    _open: OpenRequest,
}

impl Relay {
    pub(super) fn new(
        id: String,
        body: Incoming,
        connection: Connection,
        visit: Visit,
        open: OpenRequest,
        left: Duration,
    ) -> Self {
        let mut relay = Self {
            id,
            body,
            connection: Some(connection),
            visit,
            deadline: Box::pin(tokio::time::sleep(left)),
            _open: open,
        };
        if relay.body.is_end_stream() {
            relay.finish();
        }
        relay
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
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(self.cut(
                Outcome::Broken,
                "broken",
                io::Error::other(error),
            )))),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => {
                    let error = io::Error::from(io::ErrorKind::TimedOut);
                    Poll::Ready(Some(Err(self.cut(Outcome::TimedOut, "timed_out", error))))
                }
            },
        }
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.visit.end(Outcome::Answered);
            connection.give_back(self.visit.router.clock.now());
        }
    }

    fn cut(&mut self, outcome: Outcome, reason: &'static str, error: io::Error) -> io::Error {
        tracing::info!(event = "answer_cut", id = %self.id, instance = %self.visit.choice.instance,
            reason, %error);
        self.visit.end(outcome);
        self.connection = None;
        error
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.connection.is_some() {
            tracing::info!(event = "caller_left", id = %self.id, instance = %self.visit.choice.instance);
        }
    }
}
