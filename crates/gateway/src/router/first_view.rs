//! Requests that arrive before this process has a confirmed view of the replicated state.
//!
//! A process that has just started usually gets a confirmed view shortly after. A request that waits for it is served
//! sooner than one that is refused and sent again. After the start period requests are refused at once. So are those
//! that arrive when the view is no longer confirmed: how long that lasts is unknown.

use std::cell::Cell;
use std::time::Duration;

use drumshore_core::Timestamp;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Time since the start of the process by which the view is confirmed, also when the control machines start at the same
/// time: they start within 0.5 s and elect a leader within 0.3 s after the last one has started.
const CONFIRMED_AFTER_START: Timestamp = Timestamp(1_000_000);
/// Longest wait of a request.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// Requests that may wait at the same time; further ones are refused.
const MAX_WAITING_REQUESTS: usize = 256;

/// Lets requests wait for the first confirmed view, and wakes them.
#[derive(Debug, Default)]
pub(super) struct FirstView {
    confirmed: Notify,
    was_confirmed: Cell<bool>,
    waiting: Cell<usize>,
}

/// Counts a waiting request until it is dropped, also when its caller disconnects.
pub(super) struct Waiting<'a>(&'a Cell<usize>);

impl FirstView {
    /// How long a request that arrived at `received` may still wait; `None` when it must be refused.
    pub fn remaining_wait(&self, now: Timestamp, received: Timestamp) -> Option<Duration> {
        let until = CONFIRMED_AFTER_START.min(received.plus(MAX_WAIT));
        let has_room = self.waiting.get() < MAX_WAITING_REQUESTS;
        (now < until && has_room).then(|| until.since(now))
    }

    /// Completes when the view is confirmed. Detects a confirmation that follows this call, even before the first poll.
    pub fn confirmed(&self) -> Notified<'_> {
        self.confirmed.notified()
    }

    /// Counts a request as waiting.
    pub fn waiting(&self) -> Waiting<'_> {
        self.waiting.set(self.waiting.get() + 1);
        Waiting(&self.waiting)
    }

    /// Wakes all waiting requests; true the first time.
    pub fn on_confirmed(&self) -> bool {
        self.confirmed.notify_waiters();
        !self.was_confirmed.replace(true)
    }

    /// True when the view has been confirmed at least once.
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
