//! Locations of samples of which some are far too high.

/// A request that waited for others, or whose cached tokens were gone, takes longer than expected, and hardly anything
/// makes one take less. A quantile below the median tells the undisturbed time while up to half of the requests are
/// disturbed.
const LOCATION: f64 = 0.3;
/// The distance to this quantile tells how precise the location is.
const LOWER: f64 = 0.1;
/// Standard error of the location of one sample, relative to that distance, if the samples are about normally
/// distributed.
const ERROR_FACTOR: f64 = 1.5;
/// The location of fewer samples than this is much less precise than its standard error tells.
const FEW_SAMPLES: f64 = 3.0;

/// The location of samples; 0 without any. Changes their order.
pub(super) fn location(samples: &mut [f64]) -> f64 {
    quantile(samples, LOCATION)
}

/// The location, and its distance to a lower quantile.
pub(super) fn location_and_distance(samples: &mut [f64]) -> (f64, f64) {
    let location = location(samples);
    (location, location - quantile(samples, LOWER))
}

/// Variance of the location of some samples, given the mean square of the distance to the lower quantile.
pub(super) fn variance(samples: f64, mean_square_distance: f64) -> f64 {
    let samples = samples.max(1.0);
    let few = 1.0 + FEW_SAMPLES / samples;
    mean_square_distance * (ERROR_FACTOR * few).powi(2) / samples
}

fn quantile(samples: &mut [f64], fraction: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    let index = (samples.len() as f64 * fraction) as usize;
    *samples.select_nth_unstable_by(index, f64::total_cmp).1
}
