//! Resumes a broken stream at another back end, within the same answer to the caller.
//!
//! When the connection to a back end breaks, another back end continues the stream after the last event that was
//! forwarded whole. The response head, and the seal header in it, remain those of the first back end. Each resumption is
//! an attempt of the request, bounded by the route's attempts and the retry budget. The broken connection is closed
//! first, which cancels the earlier run. A stream that has only stalled is not resumed, because its run may continue,
//! unless its back end accepts no connections. Its run is then kept until the request has been sent to another back end,
//! and goes on if none takes it or if something arrives from it before.
//!
//! A stream whose route does not allow it is resumed only where its run was copied to. That continues the same run, so
//! nothing runs twice and the route's attempts do not count. A back end without the copy reports that, and the answer
//! is cut off.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{
    Choice, EarlierAttempts, InstanceId, Outcome, RunCopy, SoftwareKey, SoftwareVersion,
};
use hyper::StatusCode;

use super::attempt::{self, Answered, Attempt, Continuation, Unanswered};
use super::events::Events;
use super::forward::{log_unanswered, may_try_again, Call};
use super::Router;

/// Limit of all attempts of one resumption, including those that reached no back end and so do not count towards the
/// route's limit.
const MAX_TRIES: usize = 3;
/// Limit of resumptions of one stream that are started while its run is kept. One at a copy of the run does not count
/// towards the route's limit of attempts.
const MAX_BESIDE_FIRST: u32 = 3;

/// When a request to resume a stream was sent to another back end, which may be running it since.
#[derive(Clone, Debug, Default)]
pub(super) struct HandOver(Rc<Cell<Option<Timestamp>>>);

impl HandOver {
    /// The request is about to be sent.
    pub fn on_sent(&self, now: Timestamp) {
        self.0.set(Some(now));
    }

    /// The back end has not run it and will not.
    fn on_not_run(&self) {
        self.0.set(None);
    }

    /// When it was sent, if a back end may be running it.
    fn sent_at(&self) -> Option<Timestamp> {
        self.0.get()
    }
}

/// The attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Back ends that were chosen.
    pub tried: Vec<InstanceId>,
    /// Attempts that reached a back end.
    pub sent: u32,
    /// Attempts whose connection broke when the request may have been running.
    pub broken: u32,
    /// The software version that began the stream that the request continues; `None` if it begins one.
    pub required_software: Option<SoftwareKey>,
}

impl Attempts {
    pub fn earlier<'a>(&'a self, call: &'a Call) -> EarlierAttempts<'a> {
        EarlierAttempts {
            tried: &self.tried,
            arrived: self.sent,
            fingerprints: Some(&call.fingerprints),
            crashes_before_call: call.crashes_before_call,
            broken: self.broken,
            required_software: self.required_software,
        }
    }

    /// Adds an attempt without an answer to forward.
    pub fn record(&mut self, unanswered: Unanswered) {
        self.sent += u32::from(unanswered.sent);
        let may_have_run = unanswered.execution != Execution::NotRun;
        self.broken += u32::from(may_have_run && unanswered.outcome == Outcome::Broken);
    }
}

/// The answer of the back end that resumes a stream, and the attempts up to it.
pub(super) struct ResumedStream {
    pub answered: Answered,
    /// Whether a copy of the run was used.
    is_copy: bool,
}

type ResumeFuture = Pin<Box<dyn Future<Output = Option<ResumedStream>>>>;

/// The state needed to resume a stream at another back end.
pub(super) struct Resumption {
    router: Rc<Router>,
    call: Rc<Call>,
    /// Shared with the resumption in progress, so that its attempts count also if it fails.
    attempts: Rc<RefCell<Attempts>>,
    hand_over: HandOver,
    /// Resumptions that were started while the run was kept.
    started_beside_first: u32,
    /// Where the run was copied to, until the copy is used.
    copy: Option<RunCopy>,
    /// The software version of the back end that began the stream.
    software: SoftwareVersion,
    pub events: Events,
    resuming: Option<ResumeFuture>,
}

impl Resumption {
    pub fn new(
        router: &Rc<Router>,
        call: Rc<Call>,
        mut attempts: Attempts,
        choice: &Choice,
    ) -> Self {
        let software = SoftwareKey::of(&call.admission.pool, &choice.software);
        attempts.required_software = Some(software);
        Self {
            router: Rc::clone(router),
            call,
            attempts: Rc::new(RefCell::new(attempts)),
            hand_over: HandOver::default(),
            started_beside_first: 0,
            copy: choice.copy.clone(),
            software: choice.software.clone(),
            events: Events::default(),
            resuming: None,
        }
    }

    /// Starts to resume a broken stream at another back end; false, without any change, when it must not be resumed.
    pub fn begin(&mut self) -> bool {
        if !self.start() {
            return false;
        }
        self.on_first_broken();
        true
    }

    /// Starts to resume at another back end while the stream may still go on at the first one; false, without any
    /// change, when it must not be resumed.
    pub fn begin_beside_first(&mut self) -> bool {
        if self.started_beside_first >= MAX_BESIDE_FIRST || !self.start() {
            return false;
        }
        self.started_beside_first += 1;
        true
    }

    /// When the request was sent to a back end that may be running it since; `None` while none may be.
    pub fn sent_at(&self) -> Option<Timestamp> {
        self.hand_over.sent_at()
    }

    /// Records that the run that is to be replaced has ended.
    pub fn on_first_broken(&mut self) {
        self.attempts.borrow_mut().broken += 1;
        self.events.discard_partial();
    }

    /// Stops an attempt in progress, whose run is cancelled.
    pub fn abort(&mut self) {
        self.resuming = None;
    }

    fn start(&mut self) -> bool {
        let is_late = self.router.clock.now() >= self.call.deadline;
        if is_late || !self.events.allow_resuming() {
            return false;
        }
        self.hand_over = HandOver::default();
        let attempts = Rc::clone(&self.attempts);
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        let sent = attempts.borrow().sent;
        if may_try_again(&self.call.admission, Execution::Ran, sent) {
            let continued = self.continuation(false);
            self.resuming = Some(Box::pin(resume(router, call, attempts, continued)));
        } else if let Some(copy) = self.copy.clone() {
            let continued = self.continuation(true);
            let resuming = resume_copy(router, call, attempts, continued, copy);
            self.resuming = Some(Box::pin(resuming));
        } else {
            return false;
        }
        true
    }

    fn continuation(&self, has_copy: bool) -> Continuation {
        Continuation {
            after: self.events.last_id().cloned(),
            has_copy,
            software: self.software.clone(),
            hand_over: self.hand_over.clone(),
        }
    }

    /// Polls for the answer of the back end that resumes the stream; a ready `None` when no back end does. Returns `None`
    /// when no resumption is in progress.
    pub fn poll_resumed(&mut self, context: &mut Context<'_>) -> Option<Poll<Option<Answered>>> {
        let resuming = self.resuming.as_mut()?;
        let Poll::Ready(resumed) = resuming.as_mut().poll(context) else {
            return Some(Poll::Pending);
        };
        self.resuming = None;
        let answered = resumed.map(|resumed| {
            self.events.discard_partial();
            if resumed.is_copy {
                self.copy = None;
            }
            resumed.answered
        });
        Some(Poll::Ready(answered))
    }
}

/// Resumes a stream by a new run at any suitable back end.
async fn resume(
    router: Rc<Router>,
    call: Rc<Call>,
    attempts: Rc<RefCell<Attempts>>,
    continued: Continuation,
) -> Option<ResumedStream> {
    for _ in 0..MAX_TRIES {
        let now = router.clock.now();
        if router.core.borrow().has_lost_path(&call.admission.pool) {
            log_not_resumed(&call, &attempts.borrow(), "no path to the back ends");
            return None;
        }
        let prompt = call.prompt.as_ref();
        let chosen = {
            let attempts = attempts.borrow();
            let earlier = attempts.earlier(&call);
            let mut core = router.core.borrow_mut();
            core.choose(now, &call.admission, prompt, earlier)
        };
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => {
                log_not_resumed(&call, &attempts.borrow(), &error.to_string());
                return None;
            }
        };
        match resume_at(&router, &call, &attempts, &choice, &continued).await {
            ResumeAttempt::Resumed(answered) => {
                return Some(ResumedStream {
                    answered: *answered,
                    is_copy: false,
                })
            }
            ResumeAttempt::ErrorAnswer => return None,
            ResumeAttempt::Unresumed => {}
        }
        if call.deadline <= router.clock.now()
            || !may_try_again(&call.admission, Execution::Ran, attempts.borrow().sent)
        {
            return None;
        }
    }
    None
}

/// Resumes a stream at the back end that has a copy of its run.
async fn resume_copy(
    router: Rc<Router>,
    call: Rc<Call>,
    attempts: Rc<RefCell<Attempts>>,
    continued: Continuation,
    copy: RunCopy,
) -> Option<ResumedStream> {
    let now = router.clock.now();
    let chosen = {
        let attempts = attempts.borrow();
        let (prompt, earlier) = (call.prompt.as_ref(), attempts.earlier(&call));
        let mut core = router.core.borrow_mut();
        core.choose_copy(now, &call.admission, prompt, &copy, earlier)
    };
    let choice = match chosen {
        Ok(choice) => choice,
        Err(error) => {
            log_not_resumed(&call, &attempts.borrow(), &error.to_string());
            return None;
        }
    };
    match resume_at(&router, &call, &attempts, &choice, &continued).await {
        ResumeAttempt::Resumed(answered) => Some(ResumedStream {
            answered: *answered,
            is_copy: true,
        }),
        ResumeAttempt::ErrorAnswer | ResumeAttempt::Unresumed => {
            log_not_resumed(&call, &attempts.borrow(), "the copied run was not resumed");
            None
        }
    }
}

/// The result of trying to resume at one back end.
enum ResumeAttempt {
    Resumed(Box<Answered>),
    /// It answered with an error status, which ends the resumption.
    ErrorAnswer,
    Unresumed,
}

async fn resume_at(
    router: &Rc<Router>,
    call: &Call,
    attempts: &RefCell<Attempts>,
    choice: &Choice,
    continued: &Continuation,
) -> ResumeAttempt {
    let from = attempts.borrow().tried.last().cloned();
    attempts.borrow_mut().tried.push(choice.instance.clone());
    let sent_before = attempts.borrow().sent;
    match attempt::make(router, call, choice, sent_before, Some(continued)).await {
        Attempt::Answered(answered) if answered.response.status() == StatusCode::OK => {
            attempts.borrow_mut().sent += 1;
            router
                .metrics
                .streams
                .count_continued(continued.software == choice.software);
            tracing::info!(event = "answer_taken_up", id = %call.id,
                from = from.as_ref().map(InstanceId::as_str), instance = %choice.instance,
                version = choice.expected_version, began_at_software = continued.software.as_str(),
                software = choice.software.as_str(), copied = continued.has_copy,
                after = continued.after.as_ref().map(|id| String::from_utf8_lossy(id).into_owned()),
                "router: another back end resumed a stream");
            ResumeAttempt::Resumed(answered)
        }
        Attempt::Answered(_) => ResumeAttempt::ErrorAnswer,
        Attempt::Unanswered(unanswered) => {
            log_unanswered(router, call, choice, unanswered);
            attempts.borrow_mut().record(unanswered);
            if unanswered.execution == Execution::NotRun {
                continued.hand_over.on_not_run();
            }
            ResumeAttempt::Unresumed
        }
    }
}

fn log_not_resumed(call: &Call, attempts: &Attempts, reason: &str) {
    tracing::info!(event = "not_taken_up", id = %call.id, attempts = attempts.tried.len(), reason,
        "router: no back end resumed a stream");
}
