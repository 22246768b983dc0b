//! The speeds of the back ends of one pool, learned from the samples of all routers.
//!
//! The logarithm of a request's time is the sum of three parts: one of its class, which holds requests with about the
//! same amount of work; one of its back end; and noise. Both parts are learned side by side, so a back end that gets
//! the long prompts only is not taken for a slow one.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::curve_fit::{self, Point};
use super::location::{clip, median, Location};
use super::shrinkage::Shrinkage;
use super::{PrefillCurve, SpeedSample};

/// The class of requests without a prompt.
const WITHOUT_PROMPT: u8 = u8::MAX;
/// Classes for each doubling of the reference time.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// A class starts at the median of this many samples, and back ends learn from it only then.
const FIRST_SAMPLES: usize = 15;
/// Samples that the part of a class averages over.
const CLASS_MEMORY: f64 = 300.0;
/// Samples that the part of a back end averages over.
const BACK_END_MEMORY: f64 = 40.0;
/// Samples of the average that shows a change of speed early.
const RECENT_MEMORY: f64 = 10.0;
/// A recent average that differs from the long one by this much, in natural logarithms, replaces it.
const CHANGED_BY: f64 = 0.24;
/// Samples that it then counts as: few, because the recent average itself still follows the change.
const CHANGED_SAMPLES: f64 = 4.0;
/// Samples that an estimate of an earlier leader counts as.
const INHERITED_SAMPLES: f64 = 20.0;
/// Samples that the variance of deviations averages over, and its assumed value at the start.
const SPREAD_MEMORY: f64 = 500.0;
const INITIAL_SPREAD: f64 = 0.08;
const INITIAL_SPREAD_SAMPLES: f64 = 30.0;
/// A back end with fewer samples does not count for the mean of its pool.
const MIN_SAMPLES: f64 = 3.0;
/// A class with fewer samples does not count for the curve.
const MIN_CLASS_SAMPLES: f64 = 30.0;

/// What is known of a back end.
#[derive(Clone, Copy, Debug)]
pub struct BackEndEstimate {
    /// The time that it takes for a piece of work, relative to the mean of its pool.
    pub time_factor: f64,
    /// Time since its last sample.
    pub age: Duration,
    /// Samples that the estimate averages over.
    pub samples: u32,
}

#[derive(Debug, Default)]
struct WorkClass {
    /// The first samples, until there are [`FIRST_SAMPLES`].
    first: Vec<f64>,
    log_ratio: Location,
    mean: Point,
}

#[derive(Clone, Copy, Debug, Default)]
struct BackEndState {
    log_factor: Location,
    recent: Location,
    last_sample_at: Timestamp,
}

/// See the module.
#[derive(Debug)]
pub(super) struct PoolModel {
    classes: BTreeMap<u8, WorkClass>,
    back_ends: BTreeMap<u32, BackEndState>,
    /// Variance of clipped deviations.
    spread: Location,
    /// The curve of an earlier leader.
    inherited_curve: Option<PrefillCurve>,
}

impl Default for PoolModel {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            spread: Location {
                value: INITIAL_SPREAD,
                samples: INITIAL_SPREAD_SAMPLES,
            },
            inherited_curve: None,
        }
    }
}

impl PoolModel {
    pub fn add(&mut self, now: Timestamp, sample: &SpeedSample) {
        let class = self.classes.entry(class_of(sample)).or_default();
        let back_end = self.back_ends.entry(sample.back_end).or_default();
        back_end.last_sample_at = now;
        let log_ratio = sample.log_ratio();
        class.mean.add(sample);
        if class.first.len() < FIRST_SAMPLES {
            class.first.push(log_ratio - back_end.log_factor.value);
            class.log_ratio = Location {
                value: median(&mut class.first),
                samples: class.first.len() as f64,
            };
            return;
        }
        let log_factor = log_ratio - class.log_ratio.value;
        let deviation = clip(log_factor - back_end.log_factor.value);
        class.log_ratio.update(deviation, CLASS_MEMORY);
        back_end.update(log_factor);
        let square = deviation * deviation;
        self.spread
            .update(square - self.spread.value, SPREAD_MEMORY);
    }

    /// Takes over the estimate of an earlier leader for a back end.
    pub fn inherit(&mut self, now: Timestamp, back_end: u32, time_factor: f64) {
        let state = self.back_ends.entry(back_end).or_default();
        let inherited = Location {
            value: time_factor.ln(),
            samples: INHERITED_SAMPLES,
        };
        state.log_factor = inherited;
        state.recent = inherited;
        state.last_sample_at = now;
    }

    /// Takes over the curve of an earlier leader.
    pub fn inherit_curve(&mut self, curve: PrefillCurve) {
        self.inherited_curve = Some(curve);
    }

    /// Forgets a back end that is gone.
    pub fn forget(&mut self, back_end: u32) {
        self.back_ends.remove(&back_end);
    }

    /// The estimates of all back ends with samples.
    pub fn estimates(&self, now: Timestamp) -> impl Iterator<Item = (u32, BackEndEstimate)> + '_ {
        let log_mean = self.log_mean_factor();
        let spread = self.spread.value;
        let deviations = self.counted().map(|state| {
            let location = state.log_factor;
            (location.value - log_mean, location.variance(spread))
        });
        let shrinkage = Shrinkage::of(deviations);
        self.back_ends.iter().map(move |(key, state)| {
            let location = state.log_factor;
            let deviation = location.value - log_mean;
            let shrunk = shrinkage.apply(deviation, location.variance(spread));
            let estimate = BackEndEstimate {
                time_factor: shrunk.exp(),
                age: now.since(state.last_sample_at),
                samples: location.samples as u32,
            };
            (*key, estimate)
        })
    }

    /// The curve of a back end of mean speed; `None` while too little is known.
    pub fn curve(&self) -> Option<PrefillCurve> {
        let log_mean = self.log_mean_factor();
        let classes = self.classes.iter();
        let known = classes.filter(|(name, class)| {
            **name != WITHOUT_PROMPT && class.log_ratio.samples >= MIN_CLASS_SAMPLES
        });
        let points = known.map(|(_, class)| class.mean.scaled(class.log_ratio.value + log_mean));
        let points: Vec<Point> = points.collect();
        curve_fit::fit(&points).or(self.inherited_curve)
    }

    fn counted(&self) -> impl Iterator<Item = &BackEndState> {
        let states = self.back_ends.values();
        states.filter(|state| state.log_factor.samples >= MIN_SAMPLES)
    }

    /// The logarithm of the mean time factor.
    fn log_mean_factor(&self) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for state in self.counted() {
            sum += state.log_factor.value.exp();
            count += 1.0;
        }
        if count > 0.0 {
            (sum / count).ln()
        } else {
            0.0
        }
    }
}

impl BackEndState {
    /// Adds the log factor that one sample shows.
    fn update(&mut self, log_factor: f64) {
        let deviation = clip(log_factor - self.log_factor.value);
        self.log_factor.update(deviation, BACK_END_MEMORY);
        let deviation = clip(log_factor - self.recent.value);
        self.recent.update(deviation, RECENT_MEMORY);
        let is_changed = (self.recent.value - self.log_factor.value).abs() >= CHANGED_BY;
        if is_changed && self.recent.samples >= RECENT_MEMORY {
            self.log_factor = Location {
                samples: CHANGED_SAMPLES,
                ..self.recent
            };
        }
    }
}

/// Requests of one class differ in their reference time by less than a half.
fn class_of(sample: &SpeedSample) -> u8 {
    if sample.prefilled_tokens() == 0.0 {
        return WITHOUT_PROMPT;
    }
    let milliseconds = sample.reference_us() / 1e3;
    (milliseconds.log2() * CLASSES_PER_DOUBLING) as u8
}
