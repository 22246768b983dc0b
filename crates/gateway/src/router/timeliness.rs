//! Measures an answer against its targets: the time to its first piece, and the gaps between later pieces.

use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::Route;

/// The times at which the pieces of one answer arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeliness {
    target: Duration,
    /// The longest gap allowed between two pieces; streams only.
    gap_target: Option<Duration>,
    received: Timestamp,
    /// When the first piece arrived.
    first: Option<Timestamp>,
    /// When the last piece arrived; before the first one, when the request was received.
    latest: Timestamp,
    longest_gap: Duration,
}

/// Why an answer was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// The first piece arrived after the target.
    FirstPiece,
    /// The gap before a later piece exceeded its target.
    Gap,
}

impl Lateness {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstPiece => "late_first_piece",
            Self::Gap => "long_pause",
        }
    }
}

impl Timeliness {
    /// For an answer to a request of `route` whose head was received at `received`.
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

    /// Records that a piece of the answer has arrived.
    pub fn on_piece(&mut self, now: Timestamp) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.latest));
        }
        self.first.get_or_insert(now);
        self.latest = now;
    }

    /// Time from the request's head to the first piece of the answer; `None` before that piece.
    pub fn time_to_first(self) -> Option<Duration> {
        self.first.map(|first| first.since(self.received))
    }

    /// The longest gap between two pieces so far.
    pub fn longest_gap(self) -> Duration {
        self.longest_gap
    }

    /// The first target that was missed so far.
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
