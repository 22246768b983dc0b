//! Tells the tasks of requests that the process is about to exit.

use std::cell::Cell;

use tokio::sync::Notify;

/// Given once, when the time to stop is nearly over.
#[derive(Debug, Default)]
pub(super) struct ExitNotice {
    is_given: Cell<bool>,
    notify: Notify,
}

impl ExitNotice {
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
