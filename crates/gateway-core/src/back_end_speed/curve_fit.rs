//! The fit of a prefill curve to the times of requests of several lengths.

use std::time::Duration;

use super::{PrefillCurve, SpeedSample};

/// The longest prompts must have at least this many times as many tokens as the shortest ones.
const MIN_LENGTH_RATIO: f64 = 4.0;
/// Shorter prompts do not show how the time grows with the length.
const MIN_LONGEST_TOKENS: f64 = 2_048.0;
/// Bounds of the parameters; a curve outside them is not believed.
const MAX_LATENCY_US: f64 = 300_000.0;
const MAX_US_PER_TOKEN: f64 = 2_000.0;
const MAX_US_PER_PAIR: f64 = 0.1;
/// Points that a fit of three parameters needs.
const MIN_POINTS: usize = 3;

/// The mean work of the requests of one class, and their time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Point {
    tokens: f64,
    pairs: f64,
    /// Mean time on the reference curve, or the time to fit.
    us: f64,
    samples: f64,
}

/// Samples that the mean of a point averages over.
const POINT_MEMORY: f64 = 300.0;

impl Point {
    #[cfg(test)]
    pub fn new(tokens: f64, pairs: f64, us: f64) -> Self {
        Self {
            tokens,
            pairs,
            us,
            samples: 1.0,
        }
    }

    /// Adds the work of a sample to the means.
    pub fn add(&mut self, sample: &SpeedSample) {
        self.samples = (self.samples + 1.0).min(POINT_MEMORY);
        let weight = 1.0 / self.samples;
        self.tokens += weight * (sample.prefilled_tokens() - self.tokens);
        self.pairs += weight * (sample.pairs() - self.pairs);
        self.us += weight * (sample.reference_us() - self.us);
    }

    /// The point with its time multiplied by the exponential of `log_ratio`.
    pub fn scaled(self, log_ratio: f64) -> Self {
        Self {
            us: self.us * log_ratio.exp(),
            ..self
        }
    }
}

/// The curve with the least squared relative errors, without negative parameters; `None` if the points do not determine
/// one.
pub(super) fn fit(points: &[Point]) -> Option<PrefillCurve> {
    let lengths = points.iter().map(|point| point.tokens);
    let shortest = lengths.clone().fold(f64::INFINITY, f64::min);
    let longest = lengths.fold(0.0, f64::max);
    let min_longest = f64::max(shortest * MIN_LENGTH_RATIO, MIN_LONGEST_TOKENS);
    if points.len() < MIN_POINTS || longest < min_longest {
        return None;
    }
    // Of the subsets of parameters that may differ from 0, the one with the least error whose solution is not negative.
    let solutions = (1_u8..8).filter_map(|used| solve_without_negative(points, used));
    let best = solutions.min_by(|one, other| error(points, one).total_cmp(&error(points, other)));
    best.and_then(to_curve)
}

fn to_curve([latency, token, pair]: [f64; 3]) -> Option<PrefillCurve> {
    let is_sane = latency <= MAX_LATENCY_US
        && token <= MAX_US_PER_TOKEN
        && pair <= MAX_US_PER_PAIR
        && (token > 0.0 || pair > 0.0);
    is_sane.then(|| PrefillCurve {
        latency: Duration::from_secs_f64(latency / 1e6),
        us_per_token: token,
        us_per_pair: pair,
    })
}

/// The regressors of a point, relative to its time.
fn row(point: &Point) -> [f64; 3] {
    [1.0, point.tokens, point.pairs].map(|value| value / point.us)
}

fn error(points: &[Point], parameters: &[f64; 3]) -> f64 {
    let errors = points.iter().map(|point| {
        let terms = row(point).into_iter().zip(parameters);
        let fitted: f64 = terms.map(|(value, parameter)| value * parameter).sum();
        point.samples * (fitted - 1.0).powi(2)
    });
    errors.sum()
}

/// Solves the normal equations for the parameters whose bit is set in `used`.
fn solve_without_negative(points: &[Point], used: u8) -> Option<[f64; 3]> {
    let used: Vec<usize> = (0..3).filter(|index| used & (1 << index) != 0).collect();
    let mut equations = vec![vec![0.0; used.len() + 1]; used.len()];
    for point in points {
        let row = row(point);
        for (equation, first) in equations.iter_mut().zip(&used) {
            for (sum, second) in equation.iter_mut().zip(&used) {
                *sum += point.samples * row[*first] * row[*second];
            }
            equation[used.len()] += point.samples * row[*first];
        }
    }
    let solution = eliminate(equations)?;
    let mut parameters = [0.0; 3];
    for (index, value) in used.into_iter().zip(solution) {
        parameters[index] = value;
    }
    let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
    parameters.iter().all(is_valid).then_some(parameters)
}

/// Solves a symmetric, positive definite system by Gaussian elimination; `None` if it is singular.
fn eliminate(mut equations: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let size = equations.len();
    for pivot in 0..size {
        let divisor = equations[pivot][pivot];
        if divisor <= f64::MIN_POSITIVE {
            return None;
        }
        let pivot_row: Vec<f64> = equations[pivot]
            .iter()
            .map(|value| value / divisor)
            .collect();
        for (index, equation) in equations.iter_mut().enumerate() {
            if index != pivot {
                let factor = equation[pivot];
                for (value, subtracted) in equation.iter_mut().zip(&pivot_row) {
                    *value -= factor * subtracted;
                }
            }
        }
        equations[pivot] = pivot_row;
    }
    Some(
        equations
            .into_iter()
            .map(|equation| equation[size])
            .collect(),
    )
}

#[cfg(test)]
#[path = "curve_fit_tests.rs"]
mod tests;
