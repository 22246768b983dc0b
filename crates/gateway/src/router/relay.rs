//! Forwards the body of an answer from a back end to the caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{Fingerprint, Leave, Outcome};
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;
use tracing::field::DisplayValue;

use super::answer_limits::{self, BodyLimit, BodyProgress};
use super::answer_timer::AnswerTimer;
use super::crash_detection::{self, EndCheck};
use super::end_cause::{BrokenOff, EndCause};
use super::open_attempt::{received_ms_ago, OpenAttempt};
use super::open_requests::OpenRequest;
use super::received_body::{AnswerEnd, ReceivedBody};
use super::resume::Resumption;
use super::silence::Watch;
use super::timeliness::Timeliness;
use crate::read_ahead::ReadAheadBody;
use crate::upstream::Connection;

/// Why a stream leaves a back end that was found silent, for logs.
const NO_CONNECTIONS: &str = "its back end accepts no connections";

/// Whether a broken stream is being resumed at another back end.
enum ResumeState {
    /// It is not broken, or has been resumed.
    NotResuming,
    /// Attempts at other back ends are in progress.
    Resuming,
    /// No back end resumes it.
    Failed,
}

/// The state of the run whose answer is being forwarded, while another back end is asked to resume it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstRun {
    /// It goes on, or has been replaced.
    InUse,
    /// Its back end accepts no connections. It is kept until the request has been sent to another back end.
    Stalled,
}

/// How long a run is kept after the request has been sent to another back end, in case that one rejects it. Both may be
/// running the request for this long.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// How a body goes on that has exceeded a limit.
enum AfterExcess {
    /// Another back end may continue it.
    Resuming,
    Cut(io::Error),
    /// From the same back end: no other one can continue it, and it is not beyond all limits.
    Unchanged,
}

/// Forwards a body as it arrives. Dropping it before the end closes the connection to the back end, which cancels the
/// run; an error closes the caller's connection, so that a truncated answer never looks complete.
pub(crate) struct Relay {
    id: String,
    body: ReadAheadBody,
    received: ReceivedBody,
    progress: BodyProgress,
    connection: Option<Connection>,
    open_attempt: OpenAttempt,
    timer: AnswerTimer,
    /// Set for a stream that another back end may resume.
    resumption: Option<Resumption>,
    /// Completes when the back end of a stream that may be resumed is found silent.
    silence: Option<Pin<Box<dyn Future<Output = ()>>>>,
    first_run: FirstRun,
    /// Runs while the first run is kept after the request has been sent to another back end.
    hand_over_timer: Option<Pin<Box<Sleep>>>,
    /// Completes when it is known whether the back end of an answer with an unmarked end runs on.
    end_check_in_progress: Option<Pin<Box<dyn Future<Output = EndCheck>>>>,
    /// What that found, until another back end goes on with the answer.
    end_check: Option<EndCheck>,
    is_finished: bool,
    timeliness: Timeliness,
    open: OpenRequest,
}

/// An answer whose body is to be forwarded.
pub(super) struct Relayed {
    /// The request's identifier.
    pub id: String,
    pub body: ReadAheadBody,
    pub received: ReceivedBody,
    pub connection: Connection,
    pub open_attempt: OpenAttempt,
    /// Time until the request's deadline.
    pub remaining: Duration,
    pub resumption: Option<Resumption>,
    pub timeliness: Timeliness,
}

impl Relay {
    pub(super) fn new(relayed: Relayed, open: OpenRequest) -> Self {
        let timer = AnswerTimer::new(&relayed.open_attempt.router, relayed.remaining);
        let mut relay = Self {
            id: relayed.id,
            body: relayed.body,
            received: relayed.received,
            progress: BodyProgress::new(relayed.open_attempt.router.clock.now()),
            connection: Some(relayed.connection),
            open_attempt: relayed.open_attempt,
            timer,
            resumption: relayed.resumption,
            silence: None,
            first_run: FirstRun::InUse,
            hand_over_timer: None,
            end_check_in_progress: None,
            end_check: None,
            is_finished: false,
            timeliness: relayed.timeliness,
            open,
        };
        if relay.is_whole() {
            relay.finish();
        } else {
            relay.watch_for_silence();
        }
        relay
    }

    /// Watches the back end of a stream that may be resumed.
    fn watch_for_silence(&mut self) {
        self.silence = self.resumption.as_ref().map(|_| {
            let attempt = &self.open_attempt;
            let watch = Watch::new(&attempt.router, &attempt.choice, attempt.target);
            let since = self.now();
            let silent = async move { watch.silent(since).await };
            Box::pin(silent) as Pin<Box<dyn Future<Output = ()>>>
        });
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    pub fn is_end_stream(&self) -> bool {
        // A stream that may be resumed ends only when polling returns the end: an incomplete event may still be
        // pending.
        self.resumption.is_none() && self.is_whole()
    }

    /// The length, if it marks the end of the answer. A stream may prove broken off, or go on at another back end, after
    /// as many bytes as its back end declared.
    pub fn size_hint(&self) -> SizeHint {
        if self.received.is_event_stream() && !self.body.is_end_stream() {
            SizeHint::default()
        } else {
            self.body.size_hint()
        }
    }

    /// Whether the whole answer has arrived, as its declared length tells.
    fn is_whole(&self) -> bool {
        self.body.is_end_stream() && self.received.end() == AnswerEnd::Complete
    }

    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            match self.poll_resumed(context) {
                ResumeState::NotResuming => {}
                ResumeState::Resuming if self.keeps_first(context) => {}
                ResumeState::Resuming => return self.poll_timer(context),
                ResumeState::Failed if self.keeps_first(context) => {
                    self.return_to_first("no other back end resumes the stream");
                    self.watch_for_silence();
                }
                ResumeState::Failed => {
                    let error = io::Error::from(io::ErrorKind::ConnectionReset);
                    return Poll::Ready(Some(Err(self.cut(
                        Outcome::Broken,
                        "broken",
                        EndCause::NotResumed,
                        error,
                    ))));
                }
            }
            match self.poll_body(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.return_to_first("its back end sends again");
                    self.timer.on_progress();
                    self.open_attempt.on_bytes_received();
                    self.timeliness.on_piece(self.now());
                    let whole = frame.data_ref().map_or(0, |data| self.received.add(data));
                    let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                    self.open.progress.add_answer_bytes(bytes);
                    match self.check_limits(&frame) {
                        AfterExcess::Resuming => continue,
                        AfterExcess::Cut(error) => return Poll::Ready(Some(Err(error))),
                        AfterExcess::Unchanged => {}
                    }
                    if let Some(error) = self.check_length() {
                        return Poll::Ready(Some(Err(error)));
                    }
                    if let Some(frame) = self.whole_events(frame, whole) {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    self.count_end("error");
                    let cause = EndCause::of_body(self.connection.as_ref(), &error);
                    if let Some(error) = self.resume_or_cut(cause, io::Error::other(error)) {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                Poll::Ready(None) => match self.poll_end(context) {
                    Poll::Pending => return self.poll_timer(context),
                    Poll::Ready(None) => {
                        self.return_to_first("its answer has ended");
                        self.finish();
                        return Poll::Ready(None);
                    }
                    Poll::Ready(Some(broken_off)) => {
                        if let Some(error) = self.on_broken_off(broken_off) {
                            return Poll::Ready(Some(Err(error)));
                        }
                    }
                },
                Poll::Pending if self.looks_elsewhere(context) => {}
                Poll::Pending => return self.poll_timer(context),
            }
        }
    }

    /// Starts to resume a stream whose back end was found silent, and keeps its run meanwhile; false while the back end
    /// was not found silent, or if the stream must not be resumed.
    fn looks_elsewhere(&mut self, context: &mut Context<'_>) -> bool {
        let silence = self.silence.as_mut();
        let is_silent = silence.is_some_and(|silence| silence.as_mut().poll(context).is_ready());
        if !is_silent {
            return false;
        }
        self.silence = None;
        let can_be_continued = self.received.can_be_continued();
        let resumption = self.resumption.as_mut();
        if !can_be_continued || !resumption.is_some_and(Resumption::begin_beside_first) {
            return false;
        }
        self.first_run = FirstRun::Stalled;
        tracing::info!(event = "answer_stalled", id = %self.id, instance = %self.open_attempt.choice.instance,
            sent_ms_ago = self.open_attempt.sent_ms_ago(), received_ms_ago = self.received_ms_ago(),
            event_loop_late_ms = self.event_loop_late_ms(),
            "router: the back end of a stream accepts no connections; looking for another one to resume it");
        true
    }

    /// Whether the stream may still go on at the back end that began it. Gives that up some time after the request was
    /// sent to another one.
    fn keeps_first(&mut self, context: &mut Context<'_>) -> bool {
        if self.first_run == FirstRun::InUse {
            return false;
        }
        let resumption = self.resumption.as_ref();
        if resumption.and_then(Resumption::sent_at).is_none() {
            self.hand_over_timer = None;
            return true;
        }
        let timer = self
            .hand_over_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(HAND_OVER_TIMEOUT)));
        if timer.as_mut().poll(context).is_ready() {
            if let Some(resumption) = &mut self.resumption {
                resumption.on_first_broken();
            }
            self.give_up_first(EndCause::BackEndSilent, &NO_CONNECTIONS);
        }
        false
    }

    /// Goes on with the run that was kept while another back end was asked to resume it.
    fn return_to_first(&mut self, reason: &'static str) {
        if std::mem::replace(&mut self.first_run, FirstRun::InUse) == FirstRun::InUse {
            return;
        }
        if let Some(resumption) = &mut self.resumption {
            resumption.abort();
        }
        tracing::info!(event = "answer_not_moved", id = %self.id, instance = %self.open_attempt.choice.instance, reason,
            "router: a stream stays at the back end that began it");
    }

    fn poll_timer(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let over = ready!(self.timer.poll(context));
        let error = io::Error::from(io::ErrorKind::TimedOut);
        let error = self.cut(over.outcome(), over.reason(), over.cause(), error);
        Poll::Ready(Some(Err(error)))
    }

    /// Leaves a back end whose answer exceeds a limit with this frame.
    fn check_limits(&mut self, frame: &Frame<Bytes>) -> AfterExcess {
        let (now, bytes) = (self.now(), frame.data_ref().map_or(0, Bytes::len));
        let is_resumable = self.resumption.is_some();
        let exceeded = self.progress.add(now, bytes, &self.received, is_resumable);
        exceeded.map_or(AfterExcess::Unchanged, |limit| self.leave(limit))
    }

    fn leave(&mut self, limit: BodyLimit) -> AfterExcess {
        let resumes =
            limit.allows_resuming() && self.begin_resuming(EndCause::LimitExceeded, &limit);
        if !resumes && !limit.ends_answer() {
            return AfterExcess::Unchanged;
        }
        self.count_end("limit_exceeded");
        answer_limits::record_body(&self.open_attempt, limit, self.received.bytes());
        if resumes {
            self.open_attempt
                .end(Outcome::LimitExceeded, Execution::Ran);
            return AfterExcess::Resuming;
        }
        let error = io::Error::new(io::ErrorKind::InvalidData, limit);
        AfterExcess::Cut(self.cut(
            Outcome::LimitExceeded,
            "limit_exceeded",
            EndCause::LimitExceeded,
            error,
        ))
    }

    /// The part of a frame that can be forwarded, `whole` bytes of which belong to whole events; `None` while the current
    /// event is incomplete.
    fn whole_events(&mut self, frame: Frame<Bytes>, whole: usize) -> Option<Frame<Bytes>> {
        if self.is_whole() {
            self.finish();
        }
        let Some(resumption) = &mut self.resumption else {
            return Some(frame);
        };
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return Some(trailers),
        };
        resumption.events.push(data, whole).map(Frame::data)
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        if self.end_check_in_progress.is_some() {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    /// Judges an answer whose body has ended without an error of the connection: why it is broken off, or that nothing says
    /// so. An unmarked end is that of a whole answer only if the back end is seen to run on.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<BrokenOff>> {
        match self.received.end() {
            AnswerEnd::Complete => Poll::Ready(None),
            AnswerEnd::BrokenOff if self.received.exceeds_length() => {
                Poll::Ready(Some(BrokenOff::LengthExceeded))
            }
            AnswerEnd::BrokenOff => Poll::Ready(Some(BrokenOff::InsideEvent)),
            AnswerEnd::Unmarked => {
                self.connection = None;
                let attempt = &self.open_attempt;
                let check = self.end_check_in_progress.get_or_insert_with(|| {
                    let (router, choice) = (Rc::clone(&attempt.router), attempt.choice.clone());
                    Box::pin(crash_detection::check_end(router, choice))
                });
                let check = ready!(check.as_mut().poll(context));
                self.end_check_in_progress = None;
                self.end_check = Some(check);
                Poll::Ready(check.doubt().map(BrokenOff::Unmarked))
            }
        }
    }

    /// Looks for the rest of the body behind its declared length. An answer whose length is passed on would be complete
    /// with its last bytes, so it is ended before them; the error closes the caller's connection.
    fn check_length(&mut self) -> Option<io::Error> {
        let has_declared_length = self.received.has_declared_length();
        let connection = self.connection.as_ref();
        let is_followed = connection.is_some_and(|connection| connection.surplus().is_content());
        if !has_declared_length || !self.body.is_end_stream() || !is_followed {
            return None;
        }
        self.received.on_length_exceeded();
        if self.received.is_event_stream() {
            return None;
        }
        self.on_broken_off(BrokenOff::LengthExceeded)
    }

    /// Records that the answer is broken off and resumes it, or ends it; the error closes the caller's connection.
    fn on_broken_off(&mut self, broken_off: BrokenOff) -> Option<io::Error> {
        self.record_end(AnswerEnd::BrokenOff);
        let error = io::Error::new(io::ErrorKind::UnexpectedEof, broken_off);
        self.resume_or_cut(broken_off.cause(), error)
    }

    /// Starts to resume a broken answer at another back end, or ends it; the error closes the caller's connection.
    fn resume_or_cut(&mut self, cause: EndCause, error: io::Error) -> Option<io::Error> {
        if self.begin_resuming(cause, &error) {
            return None;
        }
        Some(self.cut(Outcome::Broken, "broken", cause, error))
    }

    /// Starts to resume a broken stream at another back end, unless that has been started; false when it must not be
    /// resumed.
    fn begin_resuming(&mut self, cause: EndCause, error: &dyn std::fmt::Display) -> bool {
        let Some(resumption) = &mut self.resumption else {
            return false;
        };
        if self.first_run == FirstRun::Stalled {
            resumption.on_first_broken();
        } else if !self.received.can_be_continued() || !resumption.begin() {
            return false;
        }
        self.give_up_first(cause, error);
        true
    }

    /// Ends the run at the back end that has broken off, or that another one replaces.
    fn give_up_first(&mut self, cause: EndCause, error: &dyn std::fmt::Display) {
        self.first_run = FirstRun::InUse;
        self.hand_over_timer = None;
        tracing::info!(event = "answer_broken", id = %self.id, work = self.displayed_fingerprint(), parts = self.open_attempt.run.fingerprints.displayed_parts(),
            instance = %self.open_attempt.choice.instance, cause = cause.as_str(), %error, found = self.found(), leave = self.known_leave(),
            sent_ms_ago = self.open_attempt.sent_ms_ago(), received_ms_ago = self.received_ms_ago(),
            remaining_ms = self.timer.remaining_ms(), event_loop_late_ms = self.event_loop_late_ms(),
            "router: a back end broke off a stream; resuming it at another one");
        self.open_attempt.end(Outcome::Broken, Execution::Ran);
        self.connection = None;
    }

    /// Continues with the body from the back end that resumes the stream.
    fn poll_resumed(&mut self, context: &mut Context<'_>) -> ResumeState {
        let polled = self
            .resumption
            .as_mut()
            .and_then(|resumption| resumption.poll_resumed(context));
        match polled {
            None => ResumeState::NotResuming,
            Some(Poll::Pending) => ResumeState::Resuming,
            Some(Poll::Ready(None)) => ResumeState::Failed,
            Some(Poll::Ready(Some(answered))) => {
                if self.first_run == FirstRun::Stalled {
                    self.give_up_first(EndCause::BackEndSilent, &NO_CONNECTIONS);
                }
                self.end_check_in_progress = None;
                self.end_check = None;
                self.received.on_resumed(&answered.response);
                self.progress.on_resumed();
                self.body = answered.response.into_body();
                self.connection = Some(answered.connection);
                self.open_attempt = answered.open_attempt;
                self.watch_for_silence();
                ResumeState::NotResuming
            }
        }
    }

    fn finish(&mut self) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        self.record_end(self.received.end());
        self.open_attempt.end(Outcome::Answered, Execution::Ran);
        if let Some(connection) = self.connection.take() {
            connection.release(self.now());
        }
    }

    fn count_end(&self, outcome: &'static str) {
        let metrics = &self.open_attempt.router.metrics;
        metrics.count_answer_end(self.received.framing().as_str(), outcome);
    }

    /// Counts the end of a body that ended without an error, and logs one that the back end did not mark.
    fn record_end(&self, end: AnswerEnd) {
        self.count_end(end.as_str());
        let framing = self.received.framing();
        if end == AnswerEnd::Complete {
            return;
        }
        tracing::info!(event = "answer_ended", id = %self.id, instance = %self.open_attempt.choice.instance,
            framed_by = framing.as_str(), end = end.as_str(), stream = self.received.is_event_stream(),
            bytes = self.received.bytes(), found = self.found(), leave = self.known_leave(), check_ms = self.check_ms(),
            "router: the body of an answer ended without a mark of its end");
    }

    /// What was found of the back end after an unmarked end, for logs.
    fn found(&self) -> Option<&'static str> {
        self.end_check.map(|check| check.finding.as_str())
    }

    /// How the back end was known to leave at an unmarked end, for logs.
    fn known_leave(&self) -> Option<DisplayValue<Leave>> {
        let leave = self.end_check.and_then(|check| check.leave);
        leave.map(tracing::field::display)
    }

    /// Milliseconds that the check of an unmarked end took, for logs.
    fn check_ms(&self) -> Option<u64> {
        self.end_check.map(|check| check.took.as_millis() as u64)
    }

    fn displayed_fingerprint(&self) -> Option<DisplayValue<Fingerprint>> {
        self.open_attempt
            .run
            .fingerprints
            .request()
            .map(tracing::field::display)
    }

    fn now(&self) -> Timestamp {
        self.open_attempt.router.clock.now()
    }

    /// Logs an answer that missed a target, so that the cause can be investigated.
    fn log_lateness(&self) {
        let Some(lateness) = self.timeliness.lateness() else {
            return;
        };
        let reason = lateness.as_str();
        self.open_attempt.router.metrics.count_late(reason);
        let time_to_first = self.timeliness.time_to_first();
        tracing::info!(event = "answer_late", id = %self.id, reason,
            instance = %self.open_attempt.choice.instance,
            first_piece_ms = time_to_first.map(|time| time.as_millis() as u64),
            longest_pause_ms = self.timeliness.longest_gap().as_millis() as u64,
            "router: an answer missed its latency target");
    }

    fn received_ms_ago(&self) -> Option<u64> {
        received_ms_ago(&self.open_attempt.router, &self.open_attempt.choice)
    }

    fn event_loop_late_ms(&self) -> u64 {
        self.open_attempt.router.event_loop_delay.late_ms()
    }

    fn cut(
        &mut self,
        outcome: Outcome,
        reason: &'static str,
        cause: EndCause,
        error: io::Error,
    ) -> io::Error {
        tracing::info!(event = "answer_cut", id = %self.id, work = self.displayed_fingerprint(), parts = self.open_attempt.run.fingerprints.displayed_parts(),
            instance = %self.open_attempt.choice.instance, framed_by = self.received.framing().as_str(),
            bytes = self.received.bytes(), reason, cause = cause.as_str(), %error, found = self.found(), leave = self.known_leave(),
            sent_ms_ago = self.open_attempt.sent_ms_ago(), received_ms_ago = self.received_ms_ago(),
            remaining_ms = self.timer.remaining_ms(), event_loop_late_ms = self.event_loop_late_ms(),
            "router: closed the caller's connection before the end of an answer");
        self.open_attempt.end(outcome, Execution::Ran);
        self.connection = None;
        error
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.log_lateness();
        if self.connection.is_some() {
            tracing::info!(event = "caller_left", id = %self.id, instance = %self.open_attempt.choice.instance,
                "router: the caller disconnected before the end of an answer");
        }
    }
}
