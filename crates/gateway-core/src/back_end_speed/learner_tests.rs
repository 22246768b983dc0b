//! Tests of the learner against synthetic back ends of known speeds, with the noise that real ones show.

use std::time::Duration;

use drumshore_wire::{List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::*;
use crate::back_end_speed::{CurveEntry, SpeedEntry};
use crate::Command;

const POOL: &str = "pool";
const BACK_ENDS: usize = 90;
/// Answers a second of the whole pool, from all routers.
const ANSWERS_PER_SECOND: u64 = 730;
/// Answers between two updates, of which the leader makes two a second.
const UPDATE_EVERY: u64 = ANSWERS_PER_SECOND / 2;
/// Fraction of answers that take [`SLOW_FACTOR`] times as long as others.
const SLOW_FRACTION: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Fraction of answers that waited for other requests which the router did not know of.
const QUEUED_FRACTION: f64 = 0.2;
const NETWORK: Duration = Duration::from_millis(1);

/// The curve of a back end whose time factor is 1.
fn true_curve() -> PrefillCurve {
    PrefillCurve {
        latency: Duration::from_millis(8),
        us_per_token: 15.6,
        us_per_pair: 0.000_647,
    }
}

fn instance(number: usize) -> String {
    format!("i-{number}")
}

fn key(number: usize) -> u32 {
    LoadEntry::key_of(&instance(number))
}

fn register(state: &mut ReplicatedState, number: usize) {
    let command = Command::Register {
        instance: Text::new(instance(number)),
        pool: Text::new(POOL),
        address: Text::new(format!("10.0.{}.{}:80", number / 200, number % 200)),
        zone: Text::new("zone"),
        slots: 12,
        draining: 0,
        models: List::default(),
    };
    state.apply(state.revision() + 1, &command);
}

/// Back ends of a pool, and their true time factors.
struct Simulation {
    learner: SpeedLearner,
    state: ReplicatedState,
    factors: Vec<f64>,
    random: ChaCha8Rng,
    now: Timestamp,
    answers: u64,
    /// Long prompts are sent only to back ends with at most this time factor.
    max_factor_of_long: f64,
}

impl Simulation {
    fn new(factors: &[f64], seed: u64) -> Self {
        let mut state = ReplicatedState::default();
        let factors: Vec<f64> = factors.iter().copied().cycle().take(BACK_ENDS).collect();
        (0..BACK_ENDS).for_each(|number| register(&mut state, number));
        let mut learner = SpeedLearner::default();
        learner.update_back_ends(&state);
        Self {
            learner,
            state,
            factors,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp(1),
            answers: 0,
            max_factor_of_long: f64::INFINITY,
        }
    }

    /// Plays a number of answers, of which four of five are to short prompts.
    fn play(&mut self, answers: u64) {
        for _ in 0..answers {
            self.answers += 1;
            self.now = Timestamp(1 + self.answers * 1_000_000 / ANSWERS_PER_SECOND);
            let number = self.random.random_range(0..self.factors.len());
            let is_long = self.random.random_bool(0.2);
            if !is_long || self.factors[number] <= self.max_factor_of_long {
                let sample = self.sample(number, is_long);
                self.learner.add(self.now, &[sample]);
            }
            if self.answers.is_multiple_of(UPDATE_EVERY) {
                self.learner.update();
            }
        }
        self.learner.update();
    }

    fn sample(&mut self, number: usize, is_long: bool) -> SpeedSample {
        let random = &mut self.random;
        let (prefilled, cached) = if is_long {
            let cached = [0, 13_300][random.random_range(0..2)];
            (random.random_range(2_000..30_000), cached)
        } else {
            (random.random_range(50..600), 0)
        };
        let curve = true_curve();
        let mut busy = curve.latency + curve.occupancy(cached, prefilled);
        if random.random_bool(SLOW_FRACTION) {
            busy = busy.mul_f64(SLOW_FACTOR);
        }
        if random.random_bool(QUEUED_FRACTION) {
            busy += curve.latency.mul_f64(random.random_range(0.0..6.0));
        }
        let took = NETWORK + busy.mul_f64(self.factors[number] * random.random_range(0.9..1.1));
        SpeedSample::new(key(number), prefilled, cached, took)
    }

    fn mean_factor(&self) -> f64 {
        self.factors.iter().sum::<f64>() / self.factors.len() as f64
    }

    /// The estimates relative to the true factors, the smallest first.
    fn errors(&self) -> Vec<f64> {
        let estimates = self.learner.estimates(self.now);
        let mean = self.mean_factor();
        let truths = self.factors.iter().enumerate();
        let mut errors: Vec<f64> = truths
            .map(|(number, truth)| {
                let estimate = estimates.get(&key(number));
                estimate.map_or(1.0, |estimate| estimate.time_factor) * mean / truth
            })
            .collect();
        errors.sort_unstable_by(f64::total_cmp);
        errors
    }

    /// Number of back ends whose estimate differs from the truth by more than a ratio.
    fn count_beyond(&self, ratio: f64) -> usize {
        let errors = self.errors().into_iter();
        errors
            .filter(|error| error.max(1.0 / error) > ratio)
            .count()
    }

    /// Within 15 % for nearly all back ends, and 30 % for all.
    fn assert_known(&self) {
        let beyond = self.count_beyond(1.15);
        assert!(beyond <= BACK_ENDS / 20, "{:.2?}", self.errors());
        assert_eq!(self.count_beyond(1.3), 0, "{:.2?}", self.errors());
    }

    fn curve(&self) -> Option<PrefillCurve> {
        let mut curves = self.learner.curves();
        curves.next().map(|(_, curve)| curve)
    }
}

const THREE_SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Load: 731 answers a second over 67 routers, of which each sees a back end a few times.
#[rstest]
fn three_speeds_are_known_within_15_percent_after_3_600_answers_in_5_seconds(
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(&THREE_SPEEDS, seed);
    simulation.play(3_600);
    simulation.assert_known();
}

#[rstest]
fn equal_back_ends_stay_within_5_percent_of_1(
    #[values(1, 2, 3)] seed: u64,
    #[values(100, 1_000, 10_000)] answers: u64,
) {
    let mut simulation = Simulation::new(&[1.0], seed);
    simulation.play(answers);
    assert_eq!(
        simulation.count_beyond(1.05),
        0,
        "{:.3?}",
        simulation.errors()
    );
}

/// One slow back end among equal ones is known, and the others stay equal.
#[test]
fn a_single_slow_back_end_stands_out() {
    let mut simulation = Simulation::new(&[1.0], 1);
    simulation.factors[7] = 1.6;
    simulation.play(7_300);
    let estimates = simulation.learner.estimates(simulation.now);
    let slow = estimates[&key(7)].time_factor;
    assert!((1.35..1.7).contains(&slow), "{slow}");
    assert_eq!(
        simulation.count_beyond(1.18),
        0,
        "{:.2?}",
        simulation.errors()
    );
}

/// Long prompts at fast back ends only, as placement by speed brings about, take no longer there than expected.
#[test]
fn which_prompts_a_back_end_gets_does_not_change_its_estimate() {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    simulation.play(3_600);
    simulation.max_factor_of_long = 0.7;
    simulation.play(50_000);
    simulation.assert_known();
}

/// Back ends that are slowed down, or recover, are followed within 60 answers each, here 7.4 s.
#[rstest]
#[case::slower(1.0, 2.0)]
#[case::faster(1.6, 0.6)]
fn a_change_of_speed_is_followed(#[case] before: f64, #[case] after: f64) {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    let changed = [3, 20, 41];
    for number in changed {
        simulation.factors[number] = before;
    }
    simulation.play(10_000);
    for number in changed {
        simulation.factors[number] = after;
    }
    simulation.play(60 * BACK_ENDS as u64);
    let estimates = simulation.learner.estimates(simulation.now);
    for number in changed {
        let estimate = estimates[&key(number)].time_factor * simulation.mean_factor();
        assert!(
            (0.83..1.2).contains(&(estimate / after)),
            "{estimate} for {after}"
        );
    }
}

#[rstest]
fn the_curve_of_a_mean_back_end_is_learned(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(&THREE_SPEEDS, seed);
    simulation.play(7_300);
    let learned = simulation.curve().expect("a curve");
    let time =
        |curve: &PrefillCurve, tokens| (curve.latency + curve.occupancy(0, tokens)).as_secs_f64();
    for tokens in [300, 4_000, 17_000, 30_000] {
        let truth = time(&true_curve(), tokens) * simulation.mean_factor();
        let ratio = time(&learned, tokens) / truth;
        // A fifth of the answers waited for others, and the typical time contains that.
        assert!(
            (0.87..1.25).contains(&ratio),
            "{tokens}: {ratio} by {learned:?}"
        );
    }
}

#[test]
fn without_long_prompts_no_curve_is_learned() {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    simulation.max_factor_of_long = 0.0;
    simulation.play(3_600);
    assert_eq!(simulation.curve(), None);
}

/// What the leader has sent to routers, in one message.
fn news_of(simulation: &Simulation) -> SpeedNews {
    let estimates = simulation.learner.estimates(simulation.now).into_iter();
    let entries =
        estimates.map(|(key, estimate)| SpeedEntry::new(key, estimate.time_factor, estimate.age));
    let curves = simulation.learner.curves();
    let curves = curves.map(|(pool, curve)| CurveEntry::new(pool, &curve));
    SpeedNews {
        first: 0,
        last: u32::MAX,
        curves: List::new(curves.collect()),
        back_ends: List::new(entries.collect()),
    }
}

#[test]
fn a_new_leader_continues_from_the_estimates_of_the_former_one() {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    simulation.play(7_300);
    let news = news_of(&simulation);
    let mut successor = SpeedLearner::default();
    successor.update_back_ends(&simulation.state);
    successor.inherit(simulation.now, &news);
    simulation.learner = successor;
    simulation.assert_known();
    assert!(simulation.curve().is_some());
    for _ in 0..20 {
        simulation.play(100);
        simulation.assert_known();
    }
}

#[test]
fn an_incarnation_that_returns_under_its_key_starts_anew() {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    simulation.play(3_600);
    let removed = Command::Deregister {
        instance: Text::new(instance(4)),
    };
    let revision = simulation.state.revision();
    simulation.state.apply(revision + 1, &removed);
    register(&mut simulation.state, 4);
    simulation.learner.update_back_ends(&simulation.state);
    let estimates = simulation.learner.estimates(simulation.now);
    assert!(!estimates.contains_key(&key(4)));
    assert!(estimates.contains_key(&key(5)));
}

#[test]
fn samples_of_unknown_back_ends_are_ignored() {
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    let sample = SpeedSample::new(key(BACK_ENDS), 100, 0, Duration::from_millis(10));
    simulation.learner.add(simulation.now, &[sample; 100]);
    assert!(simulation.learner.estimates(simulation.now).is_empty());
}

/// Prints what two updates a second of 10,000 back ends with full lists of samples cost.
#[test]
#[ignore = "prints a time"]
fn the_time_that_updates_of_10_000_back_ends_take() {
    const ALL: usize = 10_000;
    let mut state = ReplicatedState::default();
    (0..ALL).for_each(|number| register(&mut state, number));
    let mut learner = SpeedLearner::default();
    learner.update_back_ends(&state);
    let mut simulation = Simulation::new(&THREE_SPEEDS, 1);
    for index in 0..ALL * 32 {
        let number = index % ALL;
        let mut sample = simulation.sample(number % BACK_ENDS, index % 5 == 0);
        sample.back_end = key(number);
        learner.add(simulation.now, &[sample]);
    }
    let started = std::time::Instant::now();
    learner.update();
    let updated = started.elapsed();
    let count = learner.estimates(simulation.now).len();
    println!(
        "update {updated:?}, estimates of {count} {:?}",
        started.elapsed() - updated
    );
}
