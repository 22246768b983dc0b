//! Tells the tasks of requests that the process is about to exit.

use std::cell::Cell;

use tokio::sync::Notify;

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

    /// Completes when the notice has been given.
    pub async fn given(&self) {
        let notified = self.notify.notified();
        if !self.is_given.get() {
            notified.await;
        }
    }
}
