//! How much was used of late.

use std::time::Duration;

use drumshore_core::Timestamp;

/// What was used so long ago counts a third (1/e) of what is used now. Longer than the pauses of a
/// tenant's callers, shorter than a change of its work.
const MEMORY: Duration = Duration::from_secs(5);

/// An amount in which what was used earlier counts less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentUsage {
    amount: f64,
    updated: Timestamp,
}

impl RecentUsage {
    /// The amount now.
    pub fn amount(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.amount * (-passed / MEMORY.as_secs_f64()).exp()
    }

    /// Adds what is used now.
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        self.amount = self.amount(now) + amount;
        self.updated = self.updated.max(now);
    }
}
