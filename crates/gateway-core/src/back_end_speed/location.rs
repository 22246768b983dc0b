//! Robust running estimates of a location, for values of which some are far too high.

/// Deviations are clipped to this range. A request that waited for others, or whose cached tokens were gone, takes
/// longer than expected, and hardly anything makes one take less, so high values are clipped earlier.
const MAX_DEVIATION: f64 = 0.2;
const MIN_DEVIATION: f64 = -0.6;

/// Requests that run at the same time wait for the same load, so their deviations are not independent: the variance of a
/// mean of samples is this many times that of independent ones.
const DEPENDENCE: f64 = 2.0;

/// The part of a deviation that an estimate uses.
pub(super) fn clip(deviation: f64) -> f64 {
    deviation.clamp(MIN_DEVIATION, MAX_DEVIATION)
}

/// A location whose newest samples count most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Location {
    pub value: f64,
    /// The number of samples that the value averages over.
    pub samples: f64,
}

impl Location {
    /// Moves the location by a share of a clipped deviation from it, as the mean of at most `memory` samples does.
    pub fn update(&mut self, deviation: f64, memory: f64) {
        self.samples = (self.samples + 1.0).min(memory);
        self.value += deviation / self.samples;
    }

    /// Variance of the location if a clipped deviation has the variance `spread`.
    pub fn variance(&self, spread: f64) -> f64 {
        spread * DEPENDENCE / self.samples.max(1.0)
    }
}

/// The median of some values; 0 without any.
pub(super) fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
