//! Streams that another back end may take up, inside one answer to the caller.
//!
//! When the connection to a back end breaks off, the stream goes on at another one behind the last
//! event that was passed on whole. Head and seal stay those of the first back end. Each take-up is
//! an attempt of the request: the route's attempts and the retry budget bound it. The broken
//! connection is closed before, which ends the earlier run; a stream that is merely silent is never
//! taken up, for its run may go on.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use drumshore_core::Execution;
use drumshore_gateway_core::{EarlierAttempts, InstanceId};
use hyper::StatusCode;

use super::attempt::{self, Answered, Attempt};
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
}

/// A stream that goes on at another back end.
pub(super) struct TakenUp {
    pub answered: Answered,
    attempts: Attempts,
}

type TakingUp = Pin<Box<dyn Future<Output = Option<TakenUp>>>>;

/// What it takes to go on with a stream elsewhere.
pub(super) struct Resumption {
    router: Rc<Router>,
    call: Rc<Call>,
    attempts: Attempts,
    pub events: Events,
    taking_up: Option<TakingUp>,
}

impl Resumption {
    pub fn new(router: &Rc<Router>, call: Rc<Call>, attempts: Attempts) -> Self {
        Self {
            router: Rc::clone(router),
            call,
            attempts,
            events: Events::default(),
            taking_up: None,
        }
    }

    /// Begins to look for another back end; false when the stream ends here.
    pub fn begin(&mut self) -> bool {
        self.events.drop_half();
        let Attempts { tried, sent } = self.attempts.clone();
        let is_late = self.router.clock.now() >= self.call.deadline;
        if is_late || !may_try_again(&self.call.admission, Execution::Ran, sent) {
            return false;
        }
        let after = self.events.last_id().cloned();
        let (router, call) = (Rc::clone(&self.router), Rc::clone(&self.call));
        self.taking_up = Some(Box::pin(take_up(router, call, tried, sent, after)));
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
    mut tried: Vec<InstanceId>,
    mut sent: u32,
    after: Option<Bytes>,
) -> Option<TakenUp> {
    for _ in 0..MOST_TRIES {
        let now = router.clock.now();
        let prompt = call.prompt.as_ref();
        let earlier = EarlierAttempts {
            tried: &tried,
            arrived: sent,
        };
        let chosen = router
            .core
            .borrow_mut()
            .choose(now, &call.admission, prompt, earlier);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => {
                tracing::info!(event = "not_taken_up", id = %call.id, attempts = tried.len(), %error,
                    "router: no back end goes on");
                return None;
            }
        };
        tried.push(choice.instance.clone());
        match attempt::make(&router, &call, &choice, sent, after.as_ref()).await {
            Attempt::Answered(answered) if answered.response.status() == StatusCode::OK => {
                let from = tried
                    .len()
                    .checked_sub(2)
                    .map(|index| tried[index].as_str());
                tracing::info!(event = "answer_taken_up", id = %call.id, from,
                    instance = %choice.instance, version = choice.expected_version,
                    after = after.as_ref().map(|id| String::from_utf8_lossy(id).into_owned()),
                    "router: another back end goes on");
                let sent = sent + 1;
                return Some(TakenUp {
                    answered: *answered,
                    attempts: Attempts { tried, sent },
                });
            }
            Attempt::Answered(_) => return None,
            Attempt::Ended(ended) => {
                log_ended(&router, &call, &choice, ended);
                sent += u32::from(ended.sent);
            }
        }
        if call.deadline <= router.clock.now()
            || !may_try_again(&call.admission, Execution::Ran, sent)
        {
            return None;
        }
    }
    None
}
