//! The speeds of the back ends of one pool, learned from the samples of all routers.
//!
//! The logarithm of a request's time is the sum of three parts: one of its class, which holds requests with about the
//! same amount of work; one of its back end; and noise. Both parts are fitted in turn to the latest samples, so a back
//! end that gets the long prompts only is not taken for a slow one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::curve_fit::{self, Point};
use super::quantile::{location, location_and_distance, variance};
use super::sample::NETWORK;
use super::shrinkage::Shrinkage;
use super::{PrefillCurve, SpeedSample};

/// Classes for each doubling of the reference time.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// Latest samples that the part of a class is fitted to.
const CLASS_SAMPLES: usize = 256;
/// Nothing is learned from a class with fewer samples.
const MIN_CLASS_SAMPLES: usize = 15;
/// Latest samples that the part of a back end is fitted to: a back end whose speed changes is followed within so many.
const BACK_END_SAMPLES: usize = 48;
/// A back end with fewer samples is taken for one of mean speed, and does not count for the mean and the spread of its
/// pool.
const MIN_SAMPLES: usize = 4;
/// While a back end has fewer than [`BACK_END_SAMPLES`], this many samples of mean speed are assumed besides.
const ASSUMED_SAMPLES: usize = 1;
/// Samples that are assumed instead if an earlier leader had an estimate.
const INHERITED_SAMPLES: usize = 12;
/// How often the two parts are fitted in turn for each update. The next update continues from there.
const FITS: usize = 2;
/// Back ends of a pool that are fitted at once; more take turns, so that an update stays short.
const MAX_FITTED: usize = 1_024;
/// Assumed mean square distance of the quantiles of a back end's samples while too few are known.
const INITIAL_SPREAD: f64 = 0.02;

/// What is known of a back end.
#[derive(Clone, Copy, Debug)]
pub struct BackEndEstimate {
    /// The time that it takes for a piece of work, relative to the mean of its pool.
    pub time_factor: f64,
    /// Time since its last sample.
    pub age: Duration,
    /// Samples that the estimate is fitted to.
    pub samples: u32,
}

#[derive(Debug, Default)]
struct WorkClass {
    /// The back end and the log ratio of the latest samples.
    latest: VecDeque<(u32, f64)>,
    log_ratio: f64,
    mean: Point,
}

#[derive(Debug, Default)]
struct BackEndState {
    /// The class and the log ratio of the latest samples.
    latest: VecDeque<(u8, f64)>,
    log_factor: f64,
    /// The distance of the quantiles of its samples, once there are [`MIN_SAMPLES`].
    distance: Option<f64>,
    /// The estimate of an earlier leader, relative to the mean of the pool.
    inherited: Option<f64>,
    last_sample_at: Timestamp,
}

/// See the module.
#[derive(Debug)]
pub(super) struct PoolModel {
    classes: BTreeMap<u8, WorkClass>,
    back_ends: BTreeMap<u32, BackEndState>,
    /// Mean square distance of the quantiles of a back end's samples.
    spread: f64,
    /// The first back end to fit next.
    next_fitted: u32,
    /// The logarithm of the mean time factor.
    log_mean: f64,
    /// The curve of an earlier leader.
    inherited_curve: Option<PrefillCurve>,
}

impl Default for PoolModel {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            spread: INITIAL_SPREAD,
            next_fitted: 0,
            log_mean: 0.0,
            inherited_curve: None,
        }
    }
}

impl PoolModel {
    pub fn add(&mut self, now: Timestamp, sample: &SpeedSample) {
        let class_name = class_of(sample);
        let log_ratio = sample.log_ratio();
        let class = self.classes.entry(class_name).or_default();
        class.mean.add(sample);
        push(
            &mut class.latest,
            (sample.back_end, log_ratio),
            CLASS_SAMPLES,
        );
        let back_end = self.back_ends.entry(sample.back_end).or_default();
        back_end.last_sample_at = now;
        push(
            &mut back_end.latest,
            (class_name, log_ratio),
            BACK_END_SAMPLES,
        );
    }

    /// Takes over the estimate of an earlier leader for a back end.
    pub fn inherit(&mut self, now: Timestamp, back_end: u32, time_factor: f64) {
        let inherited = time_factor.ln();
        let state = BackEndState {
            log_factor: inherited + self.log_mean,
            inherited: Some(inherited),
            last_sample_at: now,
            ..BackEndState::default()
        };
        self.back_ends.insert(back_end, state);
    }

    /// Takes over the curve of an earlier leader.
    pub fn inherit_curve(&mut self, curve: PrefillCurve) {
        self.inherited_curve = Some(curve);
    }

    /// Forgets a back end that is gone.
    pub fn forget(&mut self, back_end: u32) {
        self.back_ends.remove(&back_end);
    }

    /// Fits the parts of classes and back ends to the latest samples.
    pub fn update(&mut self) {
        for _ in 0..FITS {
            self.fit_classes();
            self.fit_back_ends();
            self.update_pool();
        }
    }

    fn fit_classes(&mut self) {
        let mut rest = Vec::with_capacity(CLASS_SAMPLES);
        for class in self.classes.values_mut() {
            let without_back_end = |(back_end, log_ratio): &(u32, f64)| {
                let state = self.back_ends.get(back_end)?;
                Some(log_ratio - state.log_factor)
            };
            rest.clear();
            rest.extend(class.latest.iter().filter_map(without_back_end));
            class.log_ratio = location(&mut rest);
        }
    }

    fn fit_back_ends(&mut self) {
        let mut rest = Vec::with_capacity(BACK_END_SAMPLES);
        let mut states = self.back_ends.range_mut(self.next_fitted..);
        for (_, state) in states.by_ref().take(MAX_FITTED) {
            let without_class = |(class, log_ratio): &(u8, f64)| {
                let class = self.classes.get(class)?;
                let is_known = class.latest.len() >= MIN_CLASS_SAMPLES;
                is_known.then_some(log_ratio - class.log_ratio)
            };
            rest.clear();
            rest.extend(state.latest.iter().filter_map(without_class));
            let samples = rest.len();
            rest.extend(state.assumed(self.log_mean));
            let (fitted, distance) = location_and_distance(&mut rest);
            state.log_factor = fitted;
            state.distance = (samples >= MIN_SAMPLES).then_some(distance);
        }
        self.next_fitted = states.next().map_or(0, |(key, _)| *key);
    }

    /// Updates the mean and the spread of the pool.
    fn update_pool(&mut self) {
        let distances = self.back_ends.values().filter_map(|state| state.distance);
        let squares = distances.map(|distance| distance * distance);
        self.spread = mean(squares).unwrap_or(INITIAL_SPREAD);
        let factors = self.counted().map(|state| state.log_factor.exp());
        self.log_mean = mean(factors).unwrap_or(1.0).ln();
    }

    /// The estimates of all back ends with samples, as of the last update.
    pub fn estimates(&self, now: Timestamp) -> impl Iterator<Item = (u32, BackEndEstimate)> + '_ {
        let log_mean = self.log_mean;
        let deviation_of = move |state: &BackEndState| {
            let variance = variance(state.samples() as f64, self.spread);
            (state.log_factor - log_mean, variance)
        };
        let shrinkage = Shrinkage::of(self.counted().map(deviation_of));
        self.back_ends.iter().map(move |(key, state)| {
            let (deviation, variance) = deviation_of(state);
            let is_known = state.samples() >= MIN_SAMPLES;
            let shrunk = shrinkage.apply(deviation, variance);
            let estimate = BackEndEstimate {
                time_factor: if is_known { shrunk.exp() } else { 1.0 },
                age: now.since(state.last_sample_at),
                samples: state.samples() as u32,
            };
            (*key, estimate)
        })
    }

    /// The curve of a back end of mean speed; `None` while too little is known.
    pub fn curve(&self) -> Option<PrefillCurve> {
        let classes = self.classes.values();
        let known = classes.filter(|class| class.latest.len() >= MIN_CLASS_SAMPLES);
        let points = known.map(|class| class.mean.scaled(class.log_ratio + self.log_mean));
        let points: Vec<Point> = points.collect();
        let fitted = curve_fit::fit(&points).map(|curve| PrefillCurve {
            latency: curve.latency + NETWORK,
            ..curve
        });
        fitted.or(self.inherited_curve)
    }

    fn counted(&self) -> impl Iterator<Item = &BackEndState> {
        let states = self.back_ends.values();
        states.filter(|state| state.samples() >= MIN_SAMPLES)
    }
}

impl BackEndState {
    /// The number of samples that the estimate counts as.
    fn samples(&self) -> usize {
        let inherited = self.inherited.map_or(0, |_| INHERITED_SAMPLES);
        self.latest.len().max(inherited)
    }

    /// What is assumed besides the samples while these are few: the inherited value, or the mean of the pool.
    fn assumed(&self, log_mean: f64) -> impl Iterator<Item = f64> {
        let value = log_mean + self.inherited.unwrap_or(0.0);
        let count = match self.inherited {
            _ if self.latest.len() >= BACK_END_SAMPLES => 0,
            Some(_) => INHERITED_SAMPLES,
            None => ASSUMED_SAMPLES,
        };
        std::iter::repeat_n(value, count)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// Adds a sample, and drops the oldest one if there are too many.
fn push<T>(latest: &mut VecDeque<T>, sample: T, max: usize) {
    if latest.len() >= max {
        latest.pop_front();
    }
    latest.push_back(sample);
}

/// Requests of one class differ in their reference time by less than a half.
fn class_of(sample: &SpeedSample) -> u8 {
    let milliseconds = sample.reference_us() / 1e3;
    (milliseconds.log2() * CLASSES_PER_DOUBLING) as u8
}
