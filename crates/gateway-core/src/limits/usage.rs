//! Recent usage, as an exponentially decaying sum.

use std::time::Duration;

use drumshore_core::Timestamp;

/// Usage of this age counts 1/e (about a third) of current usage. The time is longer than the gaps between a
/// tenant's requests and shorter than the time in which its load changes.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// An amount that decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentUsage {
    amount: f64,
    updated: Timestamp,
}

impl RecentUsage {
    /// The decayed sum.
    pub fn amount(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.amount * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Adds current usage.
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        self.amount = self.amount(now) + amount;
        self.updated = self.updated.max(now);
    }
}
