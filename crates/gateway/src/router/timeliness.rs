//! Whether an answer kept its targets: the time to its first piece, and the pauses after that.

use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::Route;

/// When the pieces of one answer came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeliness {
    target: Duration,
    /// Streams only.
    pause_target: Option<Duration>,
    received: Timestamp,
    /// When the first piece came, and the latest.
    first: Option<Timestamp>,
    latest: Timestamp,
    longest_pause: Duration,
}

/// Why an answer was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// The first piece came after the target.
    First,
    /// A later piece did not come in time.
    Pause,
}

impl Lateness {
    /// For logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "late_first_piece",
            Self::Pause => "long_pause",
        }
    }
}

impl Timeliness {
    /// An answer to a request of a route, whose head was received at this time.
    pub fn new(route: &Route, received: Timestamp) -> Self {
        Self {
            target: route.target,
            pause_target: route.gap_target.filter(|_| route.kind.is_stream()),
            received,
            first: None,
            latest: received,
            longest_pause: Duration::ZERO,
        }
    }

    /// A piece of the answer has come.
    pub fn on_piece(&mut self, now: Timestamp) {
        if self.first.is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.latest));
        }
        self.first.get_or_insert(now);
        self.latest = now;
    }

    /// The time to the first piece; `None` before it.
    pub fn to_first(self) -> Option<Duration> {
        self.first.map(|first| first.since(self.received))
    }

    /// The longest time between two pieces.
    pub fn longest_pause(self) -> Duration {
        self.longest_pause
    }

    /// The first target that was missed, as far as the answer has come.
    pub fn lateness(self) -> Option<Lateness> {
        if self.to_first()? > self.target {
            return Some(Lateness::First);
        }
        let is_paused = self.longest_pause > self.pause_target?;
        is_paused.then_some(Lateness::Pause)
    }
}

#[cfg(test)]
#[path = "timeliness_tests.rs"]
mod tests;
