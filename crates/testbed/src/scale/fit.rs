//! Straight lines through measurements.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its value at 0.
    pub base: f64,
    /// Its rise for each unit.
    pub slope: f64,
    /// The share of the variance that it explains; 1 is a perfect fit.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line to points of (size, value).
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let total: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let rest: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        let r_squared = if total > 0.0 { 1.0 - rest / total } else { 1.0 };
        Self {
            base,
            slope,
            r_squared,
        }
    }

    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
