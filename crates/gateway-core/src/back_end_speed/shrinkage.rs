//! Shrinks uncertain deviations from a mean, so that back ends of equal speed are not told apart by noise.

/// A single deviation counts by itself as far as it exceeds this many standard errors.
const SIGNIFICANT_ERRORS: f64 = 4.0;

/// How far the true values of a group differ from each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shrinkage {
    /// Variance of the true values: what the errors of the estimates do not explain.
    variance_between: f64,
}

impl Shrinkage {
    /// The shrinkage for a group of estimates, each with its deviation from the mean and its variance.
    pub fn of(estimates: impl Iterator<Item = (f64, f64)>) -> Self {
        let (mut squares, mut variances, mut count) = (0.0, 0.0, 0.0);
        for (deviation, variance) in estimates {
            squares += deviation * deviation;
            variances += variance;
            count += 1.0;
        }
        if count < 2.0 {
            return Self {
                variance_between: 0.0,
            };
        }
        let observed = squares / (count - 1.0);
        // The variance of a small sample is itself uncertain; two standard errors of it are granted to chance.
        let by_chance = variances / count * (1.0 + 2.0 * f64::sqrt(2.0 / (count - 1.0)));
        Self {
            variance_between: f64::max(observed - by_chance, 0.0),
        }
    }

    /// The best guess of the true deviation (empirical Bayes). One that stands out in a group of equals is kept too.
    pub fn apply(&self, deviation: f64, variance: f64) -> f64 {
        if variance <= 0.0 {
            return deviation;
        }
        let by_group = self.variance_between / (self.variance_between + variance);
        let errors_squared = deviation * deviation / variance;
        let by_itself = 1.0 - SIGNIFICANT_ERRORS * SIGNIFICANT_ERRORS / errors_squared;
        deviation * by_group.max(by_itself).max(0.0)
    }
}
