//! Predicts how long back ends take until they begin an answer, by route and length of the prompt.
//!
//! The estimators are those of TCP's retransmission timer: a moving mean and a moving mean deviation.

use std::collections::HashMap;
use std::time::Duration;

use super::Prompt;
use crate::Route;

/// Weight of the newest sample in the moving mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest sample in the moving deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// A prediction exceeds the mean by this many deviations, so that most answers begin earlier.
const DEVIATIONS: f64 = 2.0;
/// Part of the route's target that is predicted before the first answer.
const INITIAL_PART_OF_TARGET: f64 = 0.5;
/// Prompts are grouped by the power of two below their length; longer ones share the last group.
const SIZE_GROUPS: usize = 18;
/// Routes with estimates of their own. A configuration has fewer; the bound holds while it changes.
const MAX_ROUTES: usize = 256;

/// Moving mean and deviation of one group, in seconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    fn of_first(sample: f64) -> Self {
        Self {
            mean: sample,
            deviation: sample / 2.0,
        }
    }

    fn add(&mut self, sample: f64) {
        let error = sample - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    fn predicted(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }
}

type Estimates = [Option<Estimate>; SIZE_GROUPS];

/// Times from sending a request to the beginning of its answer, as one router has seen them.
#[derive(Debug, Default)]
pub(super) struct ServicePrediction(HashMap<String, Estimates>);

impl ServicePrediction {
    /// Records that an answer began `took` after its request was sent.
    pub fn record(&mut self, route: &Route, prompt: &Prompt, took: Duration) {
        if !self.0.contains_key(&route.name) {
            if self.0.len() >= MAX_ROUTES {
                self.0.clear();
            }
            self.0.insert(route.name.clone(), Estimates::default());
        }
        if let Some(estimates) = self.0.get_mut(&route.name) {
            let sample = took.as_secs_f64();
            let estimate = &mut estimates[size_group(prompt)];
            match estimate {
                Some(estimate) => estimate.add(sample),
                None => *estimate = Some(Estimate::of_first(sample)),
            }
        }
    }

    /// Time within which most answers to such a request begin. Without answers to prompts of its length, those to the
    /// next shorter ones count, then those to longer ones.
    pub fn predict(&self, route: &Route, prompt: &Prompt) -> Duration {
        let group = size_group(prompt);
        let known = self.0.get(&route.name).and_then(|estimates| {
            let (shorter, longer) = estimates.split_at(group + 1);
            let mut nearest = shorter.iter().rev().chain(longer);
            nearest.find_map(Option::as_ref)
        });
        known.map_or_else(
            || route.target.mul_f64(INITIAL_PART_OF_TARGET),
            |estimate| Duration::from_secs_f64(estimate.predicted()),
        )
    }
}

fn size_group(prompt: &Prompt) -> usize {
    let group = prompt.tokens().max(1).ilog2() as usize;
    group.min(SIZE_GROUPS - 1)
}

#[cfg(test)]
#[path = "service_prediction_tests.rs"]
mod tests;
