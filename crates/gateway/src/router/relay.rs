//! The body of an answer on its way from a back end to a caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{Choice, Outcome, WorkId};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;
use tracing::field::DisplayValue;

use super::back_end_ends::{self, BrokenRun};
use super::forward::{Call, OpenRequest};
use super::resume::Resumption;
use super::timeliness::Timeliness;
use super::Router;
use crate::upstream::Connection;

/// One attempt that is under way at a back end. However it ends, the router's count is put right.
pub(crate) struct OpenAttempt {
    router: Rc<Router>,
    choice: Choice,
    target: Duration,
    answered: bool,
    outcome: Outcome,
    execution: Execution,
    /// What was sent.
    run: BrokenRun,
}

impl OpenAttempt {
    pub fn new(router: &Rc<Router>, call: &Call, choice: &Choice) -> Self {
        Self {
            target: call.admission.route.target,
            router: Rc::clone(router),
            choice: choice.clone(),
            answered: false,
            outcome: Outcome::Abandoned,
            execution: Execution::MayHaveRun,
            run: BrokenRun {
                id: call.id.clone(),
                work: call.work,
                begun: router.clock.now(),
            },
        }
    }

    /// The answer has begun.
    pub fn answered(&mut self) {
        self.heard();
        let took = self.router.clock.now().since(self.run.begun);
        self.note_answered(Some(took));
    }

    /// Bytes of the answer have come.
    fn heard(&self) {
        self.choice.last_received_at.set(self.router.clock.now());
    }

    fn note_answered(&mut self, took: Option<Duration>) {
        if !std::mem::replace(&mut self.answered, true) {
            let now = self.router.clock.now();
            let mut core = self.router.core.borrow_mut();
            core.answered(now, &self.choice, took, self.target);
        }
    }

    /// The back end outlived the run, so the work does not end whatever runs it.
    fn note_completed(&self, now: Timestamp) {
        let Some(work) = self.run.work else {
            return;
        };
        let was_suspected = self.router.core.borrow_mut().on_work_completed(now, work);
        if was_suspected {
            tracing::info!(event = "work_cleared", id = %self.run.id, %work,
                instance = %self.choice.instance, "router: suspected work ran to its end");
            self.router.work_reported.notify_waiters();
        }
    }

    /// Says how it ended; it ends when dropped.
    pub fn end(&mut self, outcome: Outcome, execution: Execution) {
        self.outcome = outcome;
        self.execution = execution;
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.note_answered(None);
        let now = self.router.clock.now();
        let instance = &self.choice.instance;
        let mut core = self.router.core.borrow_mut();
        let fell_silent = core.finished(now, instance, self.run.begun, self.outcome);
        drop(core);
        if fell_silent {
            tracing::info!(event = "back_end_suspected", %instance, by = "this router",
                outcome = outcome_name(self.outcome), "router: a back end fell silent");
            self.router.upstreams.close_idle(instance);
        }
        self.router
            .metrics
            .count_attempt(outcome_name(self.outcome));
        if matches!(self.outcome, Outcome::Answered | Outcome::Failed) {
            self.note_completed(now);
        }
        if self.outcome == Outcome::Broken && self.execution != Execution::NotRun {
            let address = &self.choice.address;
            back_end_ends::examine(&self.router, instance, address, self.run.clone());
        }
    }
}

/// How an attempt ended, for logs and metrics.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Failed => "failed",
        Outcome::Shed => "shed",
        Outcome::Misdirected => "misdirected",
        Outcome::OtherWeights => "other_weights",
        Outcome::NoFreeConnection => "no_free_connection",
        Outcome::Unreachable => "unreachable",
        Outcome::Withheld => "withheld",
        Outcome::Broken => "broken",
        Outcome::TimedOut => "timed_out",
        Outcome::Abandoned => "abandoned",
    }
}

/// Whether a broken stream is being taken up elsewhere.
enum TakeUp {
    /// It is not broken, or it has been taken up.
    NotUnderWay,
    /// A back end is sought.
    UnderWay,
    /// No back end goes on with it.
    Failed,
}

/// Passes a body on as it comes. Dropping it closes the connection to the back end, which ends
/// its work; an error cuts the caller's connection, so that a part never looks whole.
pub(crate) struct Relay {
    id: String,
    body: Incoming,
    connection: Option<Connection>,
    open_attempt: OpenAttempt,
    deadline: Pin<Box<Sleep>>,
    /// For a stream that another back end may take up.
    resumption: Option<Resumption>,
    timeliness: Timeliness,
    _open: OpenRequest,
}

/// An answer whose body is to be passed on.
pub(super) struct Relayed {
    /// The request's identifier.
    pub id: String,
    pub body: Incoming,
    pub connection: Connection,
    pub open_attempt: OpenAttempt,
    /// Time until the request's deadline.
    pub left: Duration,
    pub resumption: Option<Resumption>,
    pub timeliness: Timeliness,
}

impl Relay {
    pub(super) fn new(relayed: Relayed, open: OpenRequest) -> Self {
        let mut relay = Self {
            id: relayed.id,
            body: relayed.body,
            connection: Some(relayed.connection),
            open_attempt: relayed.open_attempt,
            deadline: Box::pin(tokio::time::sleep(relayed.left)),
            resumption: relayed.resumption,
            timeliness: relayed.timeliness,
            _open: open,
        };
        if relay.body.is_end_stream() {
            relay.finish();
        }
        relay
    }

    pub fn is_end_stream(&self) -> bool {
        // The body of a stream that may be taken up is over only when polling says so: half an
        // event may be left of it.
        self.resumption.is_none() && self.body.is_end_stream()
    }

    pub fn size_hint(&self) -> SizeHint {
        match self.resumption {
            Some(_) => SizeHint::default(),
            None => self.body.size_hint(),
        }
    }

    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            match self.poll_taken_up(context) {
                TakeUp::NotUnderWay => {}
                TakeUp::UnderWay => return self.poll_deadline(context),
                TakeUp::Failed => {
                    let error = io::Error::from(io::ErrorKind::ConnectionReset);
                    return Poll::Ready(Some(Err(self.cut(Outcome::Broken, "broken", error))));
                }
            }
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.open_attempt.heard();
                    self.timeliness.on_piece(self.now());
                    if let Some(frame) = self.whole_events(frame) {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    if !self.take_up(&error) {
                        let error = io::Error::other(error);
                        let error = self.cut(Outcome::Broken, "broken", error);
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                Poll::Ready(None) => {
                    self.finish();
                    let rest = self.resumption.as_mut();
                    let rest = rest.and_then(|resumption| resumption.events.take_rest());
                    return Poll::Ready(rest.map(|rest| Ok(Frame::data(rest))));
                }
                Poll::Pending => return self.poll_deadline(context),
            }
        }
    }

    fn poll_deadline(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let error = io::Error::from(io::ErrorKind::TimedOut);
        Poll::Ready(Some(Err(self.cut(Outcome::TimedOut, "timed_out", error))))
    }

    /// What of a frame can be passed on; nothing while no event has ended.
    fn whole_events(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        if self.body.is_end_stream() {
            self.finish();
        }
        let Some(resumption) = &mut self.resumption else {
            return Some(frame);
        };
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return Some(trailers),
        };
        resumption.events.take_in(data).map(Frame::data)
    }

    /// Begins to have a broken stream taken up elsewhere; false when that may not be.
    fn take_up(&mut self, error: &hyper::Error) -> bool {
        let Some(resumption) = &mut self.resumption else {
            return false;
        };
        if !resumption.begin() {
            return false;
        }
        tracing::info!(event = "answer_broken", id = %self.id, work = self.shown_work(),
            instance = %self.open_attempt.choice.instance, %error, "router: a back end broke off");
        self.open_attempt.end(Outcome::Broken, Execution::Ran);
        self.connection = None;
        true
    }

    /// Goes on with the body of the back end that takes the stream up.
    fn poll_taken_up(&mut self, context: &mut Context<'_>) -> TakeUp {
        let polled = self
            .resumption
            .as_mut()
            .and_then(|resumption| resumption.poll_taken_up(context));
        match polled {
            None => TakeUp::NotUnderWay,
            Some(Poll::Pending) => TakeUp::UnderWay,
            Some(Poll::Ready(None)) => TakeUp::Failed,
            Some(Poll::Ready(Some(answered))) => {
                self.body = answered.response.into_body();
                self.connection = Some(answered.connection);
                self.open_attempt = answered.open_attempt;
                TakeUp::NotUnderWay
            }
        }
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.open_attempt.end(Outcome::Answered, Execution::Ran);
            connection.give_back(self.now());
        }
    }

    fn shown_work(&self) -> Option<DisplayValue<WorkId>> {
        self.open_attempt.run.work.map(tracing::field::display)
    }

    fn now(&self) -> Timestamp {
        self.open_attempt.router.clock.now()
    }

    /// One line for an answer that missed a target, so that its cause can be sought.
    fn note_lateness(&self) {
        let Some(lateness) = self.timeliness.lateness() else {
            return;
        };
        let reason = lateness.as_str();
        self.open_attempt.router.metrics.count_late(reason);
        let to_first = self.timeliness.to_first();
        tracing::info!(event = "answer_late", id = %self.id, reason,
            instance = %self.open_attempt.choice.instance,
            first_piece_ms = to_first.map(|time| time.as_millis() as u64),
            longest_pause_ms = self.timeliness.longest_pause().as_millis() as u64,
            "router: an answer was late");
    }

    fn cut(&mut self, outcome: Outcome, reason: &'static str, error: io::Error) -> io::Error {
        tracing::info!(event = "answer_cut", id = %self.id, work = self.shown_work(),
            instance = %self.open_attempt.choice.instance,
            reason, %error, "router: an answer was cut");
        self.open_attempt.end(outcome, Execution::Ran);
        self.connection = None;
        error
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.note_lateness();
        if self.connection.is_some() {
            tracing::info!(event = "caller_left", id = %self.id, instance = %self.open_attempt.choice.instance,
                "router: the caller left");
        }
    }
}
