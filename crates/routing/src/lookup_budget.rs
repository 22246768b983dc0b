//! How often engines may be asked before a request is placed.

use drumshore_core::Timestamp;

/// Seconds of the budget that may be used at once.
const BURST_SECONDS: f64 = 2.0;

/// A budget of lookups, refilled by time. It keeps them within a node's share of control traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookupBudget {
    per_second: f64,
    left: f64,
    refilled_at: Timestamp,
}

impl LookupBudget {
    /// A full budget.
    pub(crate) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            left: per_second * BURST_SECONDS,
            refilled_at: Timestamp(0),
        }
    }

    /// Takes one lookup; false when there is none left.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        let earned = self.per_second * now.since(self.refilled_at).as_secs_f64();
        self.left = (self.left + earned).min(self.per_second * BURST_SECONDS);
        self.refilled_at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
