//! Streams that another back end may take up, inside one answer to the caller.
//!
//! When the connection to a back end breaks off, the stream goes on at another one behind the last
//! event that was passed on whole. Head and seal stay those of the first back end. Each take-up is
//! an attempt of the request: the route's attempts and the retry budget bound it. The broken
//! connection is closed before, which ends the earlier run; a stream that is merely silent is never
//! taken up, for its run may go on.
//!
//! A stream whose route may not be resumed goes on only where its run was copied to: that is the
//! same run, so nothing runs twice, and the route's attempts do not count. A back end that has no
//! copy says so, and the stream is cut.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use drumshore_core::Execution;
use drumshore_gateway_core::{Choice, EarlierAttempts, InstanceId, Outcome, RunCopy};
use hyper::StatusCode;

use super::attempt::{self, Answered, Attempt, Continuation, Unanswered};
use super::events::Events;
use super::forward::{log_unanswered, may_try_again, Call};
use super::Router;

/// Attempts that reached no back end do not count as attempts, but there is an end to them.
const MAX_TRIES: usize = 3;

/// Attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Back ends that were chosen.
    pub tried: Vec<InstanceId>,
    /// Attempts that reached one.
    pub sent: u32,
    /// Attempts that broke when they may have run.
    pub broken: u32,
}

impl Attempts {
    pub fn earlier(&self, call: &Call) -> EarlierAttempts<'_> {
        EarlierAttempts {
            tried: &self.tried,
            arrived: self.sent,
            work: call.fingerprint,
            ends_before_call: call.ends_before_call,
            broken: self.broken,
        }
    }

    /// An attempt gave no answer to pass on.
    pub fn record(&mut self, unanswered: Unanswered) {
        self.sent += u32::from(unanswered.sent);
        let may_have_run = unanswered.execution != Execution::NotRun;
        self.broken += u32::from(may_have_run && unanswered.outcome == Outcome::Broken);
    }
}

/// A stream that goes on at another back end.
pub(super) struct ResumedStream {
    pub answered: Answered,
    attempts: Attempts,
}

impl ResumedStream {
    fn new(answered: Answered, attempts: Attempts) -> Self {
        Self { answered, attempts }
    }
}

type ResumeFuture = Pin<Box<dyn Future<Output = Option<ResumedStream>>>>;

/// What it takes to go on with a stream elsewhere.
pub(super) struct Resumption {
    router: Rc<Router>,
    call: Rc<Call>,
    attempts: Attempts,
    /// Where the run was copied to, until that was used.
    copy: Option<RunCopy>,
    pub events: Events,
    resuming: Option<ResumeFuture>,
}

impl Resumption {
    pub fn new(
        router: &Rc<Router>,
        call: Rc<Call>,
        attempts: Attempts,
        copy: Option<RunCopy>,
    ) -> Self {
        Self {
            router: Rc::clone(router),
            call,
            attempts,
            copy,
            events: Events::default(),
            resuming: None,
        }
    }

    /// Begins to look for another back end; false when the stream ends here.
    pub fn begin(&mut self) -> bool {
        self.events.discard_partial();
        self.attempts.broken += 1;
        let attempts = self.attempts.clone();
        let is_late = self.router.clock.now() >= self.call.deadline;
        if is_late {
            return false;
        }
        let after = self.events.last_id().cloned();
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        if may_try_again(&self.call.admission, Execution::Ran, attempts.sent) {
            self.resuming = Some(Box::pin(resume(router, call, attempts, after)));
        } else if let Some(copy) = self.copy.take() {
            self.resuming = Some(Box::pin(resume_copy(router, call, attempts, after, copy)));
        } else {
            return false;
        }
        true
    }

    /// The back end that goes on; `None` inside when there is none.
    pub fn poll_resumed(&mut self, context: &mut Context<'_>) -> Option<Poll<Option<Answered>>> {
        let resuming = self.resuming.as_mut()?;
        let Poll::Ready(resumed) = resuming.as_mut().poll(context) else {
            return Some(Poll::Pending);
        };
        self.resuming = None;
        let answered = resumed.map(|resumed| {
            self.attempts = resumed.attempts;
            resumed.answered
        });
        Some(Poll::Ready(answered))
    }
}

async fn resume(
    router: Rc<Router>,
    call: Rc<Call>,
    mut attempts: Attempts,
    after: Option<Bytes>,
) -> Option<ResumedStream> {
    let continued = Continuation {
        after,
        has_copy: false,
    };
    for _ in 0..MAX_TRIES {
        let now = router.clock.now();
        let prompt = call.prompt.as_ref();
        let earlier = attempts.earlier(&call);
        let chosen = router
            .core
            .borrow_mut()
            .choose(now, &call.admission, prompt, earlier);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => {
                log_not_resumed(&call, &attempts, &error.to_string());
                return None;
            }
        };
        match resume_at(&router, &call, &mut attempts, &choice, &continued).await {
            ResumeAttempt::Resumed(answered) => {
                return Some(ResumedStream::new(*answered, attempts))
            }
            ResumeAttempt::ErrorAnswer => return None,
            ResumeAttempt::Unresumed => {}
        }
        if call.deadline <= router.clock.now()
            || !may_try_again(&call.admission, Execution::Ran, attempts.sent)
        {
            return None;
        }
    }
    None
}

/// Goes on with a run at the back end that has a copy of it.
async fn resume_copy(
    router: Rc<Router>,
    call: Rc<Call>,
    mut attempts: Attempts,
    after: Option<Bytes>,
    copy: RunCopy,
) -> Option<ResumedStream> {
    let continued = Continuation {
        after,
        has_copy: true,
    };
    let now = router.clock.now();
    let chosen = router.core.borrow_mut().choose_copy(
        now,
        &call.admission,
        call.prompt.as_ref(),
        &copy,
        attempts.earlier(&call),
    );
    let choice = match chosen {
        Ok(choice) => choice,
        Err(error) => {
            log_not_resumed(&call, &attempts, &error.to_string());
            return None;
        }
    };
    match resume_at(&router, &call, &mut attempts, &choice, &continued).await {
        ResumeAttempt::Resumed(answered) => Some(ResumedStream::new(*answered, attempts)),
        ResumeAttempt::ErrorAnswer | ResumeAttempt::Unresumed => {
            log_not_resumed(&call, &attempts, "the copy did not go on");
            None
        }
    }
}

/// What came of asking one back end to go on.
enum ResumeAttempt {
    Resumed(Box<Answered>),
    /// It answered with a failure.
    ErrorAnswer,
    Unresumed,
}

async fn resume_at(
    router: &Rc<Router>,
    call: &Call,
    attempts: &mut Attempts,
    choice: &Choice,
    continued: &Continuation,
) -> ResumeAttempt {
    let from = attempts.tried.last().cloned();
    attempts.tried.push(choice.instance.clone());
    match attempt::make(router, call, choice, attempts.sent, Some(continued)).await {
        Attempt::Answered(answered) if answered.response.status() == StatusCode::OK => {
            attempts.sent += 1;
            tracing::info!(event = "answer_taken_up", id = %call.id,
                from = from.as_ref().map(InstanceId::as_str), instance = %choice.instance,
                version = choice.expected_version, copied = continued.has_copy,
                after = continued.after.as_ref().map(|id| String::from_utf8_lossy(id).into_owned()),
                "router: another back end goes on");
            ResumeAttempt::Resumed(answered)
        }
        Attempt::Answered(_) => ResumeAttempt::ErrorAnswer,
        Attempt::Unanswered(unanswered) => {
            log_unanswered(router, call, choice, unanswered);
            attempts.record(unanswered);
            ResumeAttempt::Unresumed
        }
    }
}

fn log_not_resumed(call: &Call, attempts: &Attempts, reason: &str) {
    tracing::info!(event = "not_taken_up", id = %call.id, attempts = attempts.tried.len(), reason,
        "router: no back end goes on");
}
