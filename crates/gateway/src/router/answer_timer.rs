//! When an answer must end, however much of it has been forwarded.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use drumshore_gateway_core::Outcome;
use tokio::time::{sleep, Instant, Sleep};

use super::end_cause::EndCause;
use super::Router;

/// The time of an answer is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimeOver {
    /// Its deadline has passed.
    Deadline,
    /// The process is about to exit.
    Exit,
}

impl TimeOver {
    pub fn cause(self) -> EndCause {
        match self {
            Self::Deadline => EndCause::Deadline,
            Self::Exit => EndCause::Exit,
        }
    }

    /// What it says of the back end.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Deadline => Outcome::TimedOut,
            Self::Exit => Outcome::Abandoned,
        }
    }

    /// The name of the reason in logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Deadline => "timed_out",
            Self::Exit => "stopped",
        }
    }
}

/// Runs until the deadline of a request, or until the process exits.
pub(super) struct AnswerTimer {
    router: Rc<Router>,
    deadline: Pin<Box<Sleep>>,
    exit: Pin<Box<dyn Future<Output = ()>>>,
}

impl AnswerTimer {
    pub fn new(router: &Rc<Router>, remaining: Duration) -> Self {
        Self {
            router: Rc::clone(router),
            deadline: Box::pin(sleep(remaining)),
            exit: cut_notice(router),
        }
    }

    /// A part of the answer has been read. Further ones may be there when answers are cut.
    pub fn on_progress(&mut self) {
        if self.router.exit_notices.cuts.is_given() {
            self.exit = cut_notice(&self.router);
        }
    }

    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<TimeOver> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(TimeOver::Deadline);
        }
        let exit = self.exit.as_mut().poll(context);
        exit.map(|()| TimeOver::Exit)
    }

    /// Milliseconds until the deadline, for logs.
    pub fn remaining_ms(&self) -> u64 {
        let deadline = self.deadline.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }
}

/// Completes when answers are cut because the process exits.
fn cut_notice(router: &Rc<Router>) -> Pin<Box<dyn Future<Output = ()>>> {
    let router = Rc::clone(router);
    Box::pin(async move { router.exit_notices.cuts.given().await })
}
