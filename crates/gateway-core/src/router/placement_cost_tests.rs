//! Tests of the cost of a placement.

use std::rc::Rc;

use drumshore_wire::{List, Text};
use rstest::rstest;

use super::*;
use crate::{InstanceRecord, Lifecycle, LoadEntry, SoftwareVersion};

fn endpoint(time_factor: f64, pending_ms: u32) -> Endpoint {
    let record = InstanceRecord {
        instance: Text::new("be".to_owned()),
        pool: Text::new("models"),
        address: Text::new("10.0.0.1:80".to_owned()),
        zone: Text::new("zone"),
        slots: 12,
        lifecycle: Lifecycle::Ready,
        models: List::new(Vec::new()),
        registered: 1,
        revision: 1,
        software: SoftwareVersion::default(),
        started_ms: 0,
    };
    let mut endpoint = Endpoint::new(&Rc::new(record), Default::default());
    endpoint.set_time_factor(time_factor);
    endpoint.pending_tokens = (f64::from(pending_ms) * 50.0 / time_factor) as u32;
    endpoint
}

/// A prompt that takes 20 us a token, with a target of 800 ms.
fn profile() -> PromptProfile {
    PromptProfile {
        is_short: false,
        curve: PrefillCurve {
            latency: Duration::ZERO,
            us_per_token: 20.0,
            us_per_pair: 0.0,
        },
        fetch_us_per_token: 2.0,
        target: Duration::from_millis(800),
        slot_time: Duration::from_millis(100),
        long_prefill_tokens: 10_000.0,
        risk_at_home: 1.0,
    }
}

fn work(to_prefill: u32) -> Work {
    Work {
        cached: 0,
        to_prefill,
        to_fetch: 0,
        missing: 0,
    }
}

fn site(endpoint: &Endpoint, work: Work) -> Site<'_> {
    Site {
        endpoint,
        work,
        is_home: false,
        in_own_partition: true,
    }
}

#[rstest]
#[case::small(5_000, false)]
#[case::late_at_a_mean_back_end(40_000, true)]
fn only_a_prompt_that_needs_it_prefers_a_fast_back_end_with_a_queue(
    #[case] tokens: u32,
    #[case] prefers_fast: bool,
) {
    let (fast, mean) = (endpoint(0.5, 50), endpoint(1.0, 0));
    let cost = |endpoint| profile().cost_ms(&site(endpoint, work(tokens)));
    assert_eq!(cost(&fast) < cost(&mean), prefers_fast);
}

#[rstest]
#[case::fetched_parts_are_left(0, 13_000, true)]
#[case::parts_that_nobody_holds_are_worth_a_wait(13_000, 0, false)]
fn a_home_with_a_queue_is_left_for_parts_that_can_be_fetched(
    #[case] missing: u32,
    #[case] held_at_home: u32,
    #[case] leaves: bool,
) {
    let (busy, idle) = (endpoint(1.0, 250), endpoint(1.0, 0));
    let at_home = Site {
        is_home: true,
        ..site(
            &busy,
            Work {
                missing,
                ..work(4_000 + missing)
            },
        )
    };
    let fetched = Work {
        missing,
        to_fetch: held_at_home,
        ..work(4_000 + missing)
    };
    let away = site(&idle, fetched);
    assert_eq!(
        profile().cost_ms(&away) < profile().cost_ms(&at_home),
        leaves
    );
}

#[test]
fn tokens_after_others_count_as_more_work() {
    let profile = PromptProfile {
        curve: PrefillCurve {
            us_per_pair: 0.001,
            ..profile().curve
        },
        ..profile()
    };
    let after_others = Work {
        cached: 10_000,
        ..work(4_000)
    };
    // 4,000 tokens after 10,000 are 48 million pairs, which take 48 ms.
    assert_eq!(profile.equivalent_tokens(&after_others), 6_400);
}

#[test]
fn a_small_old_load_of_other_routers_is_taken_as_done() {
    let loaded = |units| {
        let mut endpoint = endpoint(1.0, 0);
        endpoint.others = LoadEntry {
            key: endpoint.key,
            pending: units,
            in_flight: 0,
        };
        profile().forecast(&site(&endpoint, work(1_000))).queue
    };
    let (small, large) = (loaded(10), loaded(800));
    assert!(small < Duration::from_millis(3), "{small:?} of 13 ms");
    assert!(large > Duration::from_millis(800), "{large:?} of 1,024 ms");
}

#[rstest]
#[case::stated(163_840, 550_000, 2.38)]
#[case::not_stated(0, 0, DEFAULT_FETCH_US_PER_TOKEN)]
fn the_time_of_a_fetch_follows_from_bytes_and_bandwidth(
    #[case] token_bytes: u64,
    #[case] link_megabits_per_second: u64,
    #[case] expected: f64,
) {
    let models = ModelPool {
        slots: 1,
        cache_tokens: 1,
        copies_runs: false,
        token_bytes,
        link_megabits_per_second,
        models: Vec::new(),
    };
    assert!((fetch_us_per_token(Some(&models)) - expected).abs() < 0.01);
}
