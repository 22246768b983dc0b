//! Requests that come before this process has a confirmed view of the replicated state.
//!
//! A process that has just started is confirmed within a moment, as a rule, and a request that
//! waits for that is served sooner than one whose caller is sent away. When the moment has passed
//! the request is refused at once. A process that was confirmed before and no longer is does not
//! make callers wait: nobody can say for how long.

use std::cell::Cell;
use std::time::Duration;

use drumshore_core::Timestamp;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// A process that starts together with its control machines has a confirmed view by then, counted
/// from its start: they elect within 0.3 s of the last one's start, and come up within 0.5 s.
const CONFIRMED_AFTER_START: Timestamp = Timestamp(1_000_000);
/// No request waits longer.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// Requests that wait at once; beyond it they are refused.
const MAX_WAITING_REQUESTS: usize = 256;

/// Whether requests may wait for the first confirmed view, and what wakes them.
#[derive(Debug, Default)]
pub(super) struct FirstView {
    confirmed: Notify,
    was_confirmed: Cell<bool>,
    waiting: Cell<usize>,
}

/// A request that waits; it counts until it is dropped, also when its caller leaves.
pub(super) struct Waiting<'a>(&'a Cell<usize>);

impl FirstView {
    /// How long a request that came at `received` may still wait.
    pub fn remaining_wait(&self, now: Timestamp, received: Timestamp) -> Option<Duration> {
        let until = CONFIRMED_AFTER_START.min(received.plus(MAX_WAIT));
        let has_room = self.waiting.get() < MAX_WAITING_REQUESTS;
        (now < until && has_room).then(|| until.since(now))
    }

    /// Completes when the view is confirmed after this call.
    pub fn confirmed(&self) -> Notified<'_> {
        self.confirmed.notified()
    }

    /// Counts a request as waiting.
    pub fn waiting(&self) -> Waiting<'_> {
        self.waiting.set(self.waiting.get() + 1);
        Waiting(&self.waiting)
    }

    /// The view is confirmed: all that wait go on. True the first time.
    pub fn on_confirmed(&self) -> bool {
        self.confirmed.notify_waiters();
        !self.was_confirmed.replace(true)
    }

    /// True once the view was confirmed.
    pub fn was_confirmed(&self) -> bool {
        self.was_confirmed.get()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
#[path = "first_view_tests.rs"]
mod tests;
