//! Tells the tasks of requests that the process is about to exit.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// Turns of the event loop in which what has arrived from a back end reaches the task of its request: one in which the loop
/// learns of it, and one each for the head of an answer and a piece of its body.
const TURNS_TO_READ: usize = 3;

/// The notices that a router gives to open requests, one after the other.
#[derive(Debug, Default)]
pub(super) struct ExitNotices {
    /// Requests whose answers have not begun get a final answer now.
    pub final_answers: Notice,
    /// Answers that have not ended are cut now.
    pub cuts: Notice,
}

/// Given once.
#[derive(Debug, Default)]
pub(super) struct Notice {
    is_given: Cell<bool>,
    notify: Notify,
}

impl Notice {
    pub fn give(&self) {
        self.is_given.set(true);
        self.notify.notify_waiters();
    }

    /// Whether it has been given.
    pub fn is_given(&self) -> bool {
        self.is_given.get()
    }

    /// Completes when the notice has been given, and what had arrived by then can have been read: after a delay of the event
    /// loop, answers may be there that no task has seen.
    pub async fn given(&self) {
        let notified = self.notify.notified();
        if !self.is_given.get() {
            notified.await;
        }
        pass_turns(TURNS_TO_READ).await;
    }
}

/// Completes when the event loop has let all tasks that were ready run, so many times.
pub(super) async fn pass_turns(turns: usize) {
    // Whoever waits may be polled several times in a turn, which would end a `yield_now` of its own early.
    let passing = spawn_local(async move {
        for _ in 0..turns {
            yield_now().await;
        }
    });
    if let Err(error) = passing.await {
        tracing::warn!(event = "exit_turns_failed", %error,
            "router: failed to wait for the event loop before the exit");
    }
}
