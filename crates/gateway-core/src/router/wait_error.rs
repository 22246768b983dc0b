//! How much longer requests wait than was predicted.

use std::time::Duration;

/// Weight of the newest wait in the moving mean and deviation.
const WEIGHT: f64 = 0.05;
/// Bounds of the factor by which predictions are corrected.
const MIN_RATIO: f64 = 0.4;
const MAX_RATIO: f64 = 4.0;
/// Predictions that are shorter tell nothing: decisions about waiting requests are made at intervals of this order.
const MIN_PREDICTION: Duration = Duration::from_millis(100);

/// Moving mean and deviation of real waits, as multiples of the predicted ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitError {
    mean: f64,
    deviation: f64,
}

impl Default for WaitError {
    fn default() -> Self {
        Self {
            mean: 1.0,
            deviation: 0.0,
        }
    }
}

impl WaitError {
    /// Records a request that has waited, until it was let in or until it was refused.
    pub fn record(&mut self, predicted: Duration, waited: Duration) {
        if predicted < MIN_PREDICTION {
            return;
        }
        let ratio = (waited.as_secs_f64() / predicted.as_secs_f64()).min(MAX_RATIO);
        let error = ratio - self.mean;
        self.mean += WEIGHT * error;
        self.deviation += WEIGHT * (error.abs() - self.deviation);
    }

    /// A wait that is predicted as `predicted`, with the error that predictions have had.
    pub fn corrected(&self, predicted: Duration) -> Duration {
        predicted.mul_f64((self.mean + self.deviation).max(MIN_RATIO))
    }
}

#[cfg(test)]
#[path = "wait_error_tests.rs"]
mod tests;
