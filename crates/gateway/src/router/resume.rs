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

use super::attempt::{self, Answered, Attempt, Continuation, Ended};
use super::events::Events;
use super::forward::{log_ended, may_try_again, Call};
use super::Router;

/// Attempts that reached no back end do not count as attempts, but there is an end to them.
const MOST_TRIES: usize = 3;

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
            fingerprint: call.work,
            crashes_before_call: call.crashes_before_call,
            broken: self.broken,
        }
    }

    /// An attempt gave no answer to pass on.
    pub fn note(&mut self, ended: Ended) {
        self.sent += u32::from(ended.sent);
        let may_have_run = ended.execution != Execution::NotRun;
        self.broken += u32::from(may_have_run && ended.outcome == Outcome::Broken);
    }
}

/// A stream that goes on at another back end.
pub(super) struct TakenUp {
    pub answered: Answered,
    attempts: Attempts,
}

impl TakenUp {
    fn new(answered: Answered, attempts: Attempts) -> Self {
        Self { answered, attempts }
    }
}

type TakingUp = Pin<Box<dyn Future<Output = Option<TakenUp>>>>;

/// What it takes to go on with a stream elsewhere.
pub(super) struct Resumption {
    router: Rc<Router>,
    call: Rc<Call>,
    attempts: Attempts,
    /// Where the run was copied to, until that was used.
    copy: Option<RunCopy>,
    pub events: Events,
    taking_up: Option<TakingUp>,
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
            taking_up: None,
        }
    }

    /// Begins to look for another back end; false when the stream ends here.
    pub fn begin(&mut self) -> bool {
        self.events.drop_half();
        self.attempts.broken += 1;
        let attempts = self.attempts.clone();
        let is_late = self.router.clock.now() >= self.call.deadline;
        if is_late {
            return false;
        }
        let after = self.events.last_id().cloned();
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        if may_try_again(&self.call.admission, Execution::Ran, attempts.sent) {
            self.taking_up = Some(Box::pin(take_up(router, call, attempts, after)));
        } else if let Some(copy) = self.copy.take() {
            self.taking_up = Some(Box::pin(take_up_copy(router, call, attempts, after, copy)));
        } else {
            return false;
        }
        true
    }

    /// The back end that goes on; `None` inside when there is none.
    pub fn poll_taken_up(&mut self, context: &mut Context<'_>) -> Option<Poll<Option<Answered>>> {
        let taking_up = self.taking_up.as_mut()?;
        let Poll::Ready(taken_up) = taking_up.as_mut().poll(context) else {
            return Some(Poll::Pending);
        };
        self.taking_up = None;
        let answered = taken_up.map(|taken_up| {
            self.attempts = taken_up.attempts;
            taken_up.answered
        });
        Some(Poll::Ready(answered))
    }
}

async fn take_up(
    router: Rc<Router>,
    call: Rc<Call>,
    mut attempts: Attempts,
    after: Option<Bytes>,
) -> Option<TakenUp> {
    let continued = Continuation {
        after,
        has_copy: false,
    };
    for _ in 0..MOST_TRIES {
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
                log_not_taken_up(&call, &attempts, &error.to_string());
                return None;
            }
        };
        match go_on_at(&router, &call, &mut attempts, &choice, &continued).await {
            GoneOn::Yes(answered) => return Some(TakenUp::new(*answered, attempts)),
            GoneOn::FinalAnswer => return None,
            GoneOn::No => {}
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
async fn take_up_copy(
    router: Rc<Router>,
    call: Rc<Call>,
    mut attempts: Attempts,
    after: Option<Bytes>,
    copy: RunCopy,
) -> Option<TakenUp> {
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
            log_not_taken_up(&call, &attempts, &error.to_string());
            return None;
        }
    };
    match go_on_at(&router, &call, &mut attempts, &choice, &continued).await {
        GoneOn::Yes(answered) => Some(TakenUp::new(*answered, attempts)),
        GoneOn::FinalAnswer | GoneOn::No => {
            log_not_taken_up(&call, &attempts, "the copy did not go on");
            None
        }
    }
}

/// What came of asking one back end to go on.
enum GoneOn {
    Yes(Box<Answered>),
    /// It answered with a failure.
    FinalAnswer,
    No,
}

async fn go_on_at(
    router: &Rc<Router>,
    call: &Call,
    attempts: &mut Attempts,
    choice: &Choice,
    continued: &Continuation,
) -> GoneOn {
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
            GoneOn::Yes(answered)
        }
        Attempt::Answered(_) => GoneOn::FinalAnswer,
        Attempt::Ended(ended) => {
            log_ended(router, call, choice, ended);
            attempts.note(ended);
            GoneOn::No
        }
    }
}

fn log_not_taken_up(call: &Call, attempts: &Attempts, reason: &str) {
    tracing::info!(event = "not_taken_up", id = %call.id, attempts = attempts.tried.len(), reason,
        "router: no back end goes on");
}
