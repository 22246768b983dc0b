//! Tests of which requests become samples.

use rstest::rstest;

use super::*;
use crate::{CacheEstimate, Forecast, InstanceId, SoftwareVersion};

fn choice(tokens: u32, load_ahead: LoadAhead) -> Choice {
    Choice {
        instance: InstanceId::new("i-1"),
        address: "10.0.0.1:80".to_owned(),
        connections: 1,
        expected_version: Some(1),
        software: SoftwareVersion::default(),
        cache_salt: None,
        prefixes: Vec::new(),
        tokens,
        work_tokens: tokens,
        forecast: Forecast::default(),
        cached_tokens: 640,
        load_ahead,
        fetch_from: None,
        fetch_store: None,
        cache_estimate: CacheEstimate::default(),
        save_to: None,
        copy: None,
        last_received_at: Default::default(),
        in_flight: 0,
        rank: 0,
    }
}

fn load(pending_tokens: u32, in_flight: u32) -> LoadAhead {
    LoadAhead {
        pending_tokens,
        in_flight,
        slots: 12,
    }
}

const TOOK: Duration = Duration::from_millis(40);

#[rstest]
#[case::idle(300, load(0, 0), true)]
#[case::one_unit_of_others_load_waits(300, load(64, 1), true)]
#[case::a_short_prompt_behind_others(300, load(65, 1), false)]
#[case::a_long_prompt_behind_a_short_one(17_000, load(300, 1), true)]
#[case::a_long_prompt_behind_a_long_one(17_000, load(4_000, 1), false)]
#[case::one_slot_is_left(300, load(0, 9), true)]
#[case::full(300, load(0, 10), false)]
#[case::a_request_without_a_prompt(0, load(0, 2), false)]
#[case::no_known_slots(300, LoadAhead::default(), false)]
fn only_requests_that_nothing_else_delays_are_samples(
    #[case] tokens: u32,
    #[case] load_ahead: LoadAhead,
    #[case] expected: bool,
) {
    let mut samples = SpeedSamples::default();
    samples.record(&choice(tokens, load_ahead), TOOK);
    let sample = SpeedSample::new(LoadEntry::key_of("i-1"), tokens, 640, TOOK);
    let expected: Vec<SpeedSample> = expected.then_some(sample).into_iter().collect();
    assert_eq!(samples.take(), expected);
    assert!(samples.take().is_empty());
}

/// A router with 111 requests a second, as the users expect, reports up to 96 samples, so 960 bytes, a second.
#[test]
fn the_samples_of_one_report_are_bounded() {
    let mut samples = SpeedSamples::default();
    for _ in 0..10_000 {
        samples.record(&choice(300, load(0, 0)), TOOK);
    }
    assert_eq!(samples.take().len(), 48);
}

#[test]
fn a_sample_keeps_its_values_about() {
    let sample = SpeedSample::new(1, 17_001, 13_300, Duration::from_micros(29_600));
    assert!((sample.prefilled_tokens() - 17_001.0).abs() < 8.0);
    let pairs = 17_001.0 * (13_300.0 + 17_001.0 / 2.0);
    assert!((sample.pairs() / pairs - 1.0).abs() < 0.01);
}

#[rstest]
#[case::zero(0, 0, Duration::ZERO)]
#[case::largest(u32::MAX, u32::MAX, Duration::MAX)]
fn extreme_values_give_finite_samples(
    #[case] prefilled: u32,
    #[case] cached: u32,
    #[case] took: Duration,
) {
    let sample = SpeedSample::new(1, prefilled, cached, took);
    assert!(sample.log_ratio().is_finite());
}
