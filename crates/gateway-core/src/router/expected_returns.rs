//! Refused callers that are expected to return, and when.
//!
//! Refused callers return to any router. All routers of a pool refuse alike, so each gets about as many returns as it
//! has promised.

use std::collections::VecDeque;

use drumshore_core::Timestamp;

use super::decaying_rate::DecayingRate;

/// Promises that are kept.
const MAX_PROMISES: usize = 512;

/// The promised returns of one urgency, and how many of those that were due have come.
#[derive(Debug, Default)]
pub(super) struct ExpectedReturns {
    /// Times at which callers were told to return, and the cost of each; in the order of refusal.
    promises: VecDeque<(Timestamp, f64)>,
    due: DecayingRate,
    returned: DecayingRate,
}

impl ExpectedReturns {
    /// Records that a caller was told to return at a time.
    pub fn promise(&mut self, at: Timestamp, cost: f64) {
        if self.promises.len() < MAX_PROMISES {
            self.promises.push_back((at, cost));
        }
    }

    /// Records that a caller has returned.
    pub fn record_return(&mut self, now: Timestamp, cost: f64) {
        self.returned.add(now, cost);
    }

    /// Cost of the returns that are expected from now until a time.
    pub fn cost_until(&mut self, now: Timestamp, until: Timestamp) -> f64 {
        self.expire(now);
        let promised = self.promises.iter().filter(|(at, _)| *at <= until);
        let promised: f64 = promised.map(|(_, cost)| cost).sum();
        promised * self.returning_part(now)
    }

    /// Part of the promised returns that come; all of them while none was due recently.
    fn returning_part(&self, now: Timestamp) -> f64 {
        let due = self.due.per_second(now);
        let part = self.returned.per_second(now) / due;
        if part.is_finite() {
            part.min(1.0)
        } else {
            1.0
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let due = self.promises.iter().filter(|(at, _)| *at <= now);
        let due: f64 = due.map(|(_, cost)| cost).sum();
        if due > 0.0 {
            self.due.add(now, due);
            self.promises.retain(|(at, _)| *at > now);
        }
    }
}

#[cfg(test)]
#[path = "expected_returns_tests.rs"]
mod tests;
