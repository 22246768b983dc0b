//! Whether an answer kept its targets: the time to its first piece, and the pauses after that.

use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::Route;

/// When the pieces of one answer came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeliness {
    target: Duration,
    /// Streams only.
    gap_target: Option<Duration>,
    received: Timestamp,
    /// When the first piece came, and the latest.
    first: Option<Timestamp>,
    latest: Timestamp,
    longest_gap: Duration,
}

/// Why an answer was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// The first piece came after the target.
    FirstPiece,
    /// A later piece did not come in time.
    Gap,
}

impl Lateness {
    /// For logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstPiece => "late_first_piece",
            Self::Gap => "long_pause",
        }
    }
}

impl Timeliness {
    /// An answer to a request of a route, whose head was received at this time.
    pub fn new(route: &Route, received: Timestamp) -> Self {
        Self {
            target: route.target,
            gap_target: route.gap_target.filter(|_| route.kind.is_stream()),
            received,
            first: None,
            latest: received,
            longest_gap: Duration::ZERO,
        }
    }

    /// A piece of the answer has come.
    pub fn on_piece(&mut self, now: Timestamp) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.latest));
        }
        self.first.get_or_insert(now);
        self.latest = now;
    }

    /// The time to the first piece; `None` before it.
    pub fn time_to_first(self) -> Option<Duration> {
        self.first.map(|first| first.since(self.received))
    }

    /// The longest time between two pieces.
    pub fn longest_gap(self) -> Duration {
        self.longest_gap
    }

    /// The first target that was missed, as far as the answer has come.
    pub fn lateness(self) -> Option<Lateness> {
        if self.time_to_first()? > self.target {
            return Some(Lateness::FirstPiece);
        }
        let exceeds_gap = self.longest_gap > self.gap_target?;
        exceeds_gap.then_some(Lateness::Gap)
    }
}

#[cfg(test)]
#[path = "timeliness_tests.rs"]
mod tests;
