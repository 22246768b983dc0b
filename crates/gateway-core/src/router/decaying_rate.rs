//! An exponentially decaying sum, as a rate.

use std::time::Duration;

use drumshore_core::Timestamp;

/// Time constant of the decay. Shorter than the patience of callers that can wait, so that a surge is known while they
/// do.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// See the module.
#[derive(Debug, Default)]
pub(super) struct DecayingRate {
    sum: f64,
    updated_at: Timestamp,
}

impl DecayingRate {
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.updated_at = now;
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.sum * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }

    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }
}
