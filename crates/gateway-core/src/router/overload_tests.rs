//! Tests of overload control.

use super::super::tests::{admit_model_request, at, router_with_slots};
use super::super::EarlierAttempts;
use super::*;
use crate::{ModelName, PromptPart, RequestKind};

const SECOND: u64 = 1_000_000;
const OVERLOADED: f64 = 1.2;
const MOST_URGENT: Urgency = Urgency {
    priority: 0,
    route_priority: 0,
};
const LESS_URGENT: Urgency = Urgency {
    priority: 0,
    route_priority: 1,
};

impl Urgency {
    pub fn for_test(priority: u8, route_priority: u8) -> Self {
        Self {
            priority,
            route_priority,
        }
    }
}

fn pool() -> Pool {
    Pool {
        name: PoolName::new("models"),
        max_connections: 0,
        models: None,
        store: None,
    }
}

fn prompt() -> Prompt {
    Prompt {
        model: ModelName::new("model"),
        parts: vec![PromptPart {
            id: "own".to_owned(),
            tokens: 1_000,
        }],
        output: 10,
    }
}

/// Loads that have recorded equally many prompts of each urgency.
fn loads_of(urgencies: &[Urgency]) -> PoolLoads {
    let mut loads = PoolLoads::default();
    for _ in 0..400 {
        for urgency in urgencies {
            loads.on_prompt(&pool(), *urgency, &prompt());
        }
    }
    loads
}

fn refused(
    loads: &mut PoolLoads,
    urgency: Urgency,
    utilization: f64,
    sample: f64,
) -> Option<Overload> {
    // No time passes between calls, so the integral term stays 0 and only the proportional term counts.
    match loads.check(
        Timestamp::default(),
        &pool().name,
        urgency,
        utilization,
        None,
        sample,
    ) {
        Err(ChoiceError::Overloaded(overload)) => Some(overload),
        Err(error) => panic!("{error}"),
        Ok(()) => None,
    }
}

#[test]
fn urgent_requests_are_refused_only_when_refusing_others_is_not_enough() {
    let mut loads = loads_of(&[MOST_URGENT, LESS_URGENT]);
    assert!(refused(&mut loads, LESS_URGENT, OVERLOADED, 0.3).is_some());
    assert!(refused(&mut loads, MOST_URGENT, OVERLOADED, 0.0).is_none());
    assert!(refused(&mut loads, LESS_URGENT, 2.0, MAX_REFUSED_OF_URGENCY - 0.01).is_some());
    assert!(refused(&mut loads, LESS_URGENT, 2.0, 0.99).is_none());
    assert!(refused(&mut loads, MOST_URGENT, 2.0, 0.3).is_some());
}

#[test]
fn tenant_priority_takes_precedence_over_route_priority() {
    let urgent_tenant = Urgency {
        priority: 0,
        route_priority: 9,
    };
    let other_tenant = Urgency {
        priority: 1,
        route_priority: 0,
    };
    let mut loads = loads_of(&[urgent_tenant, other_tenant]);
    assert!(refused(&mut loads, urgent_tenant, OVERLOADED, 0.0).is_none());
    assert!(refused(&mut loads, other_tenant, OVERLOADED, 0.0).is_some());
}

#[test]
fn retry_after_is_spread_around_the_mean_service_time() {
    let mut loads = loads_of(&[MOST_URGENT]);
    for _ in 0..5_000 {
        loads.on_answered(&pool().name, Duration::from_secs(2));
    }
    let earliest = refused(&mut loads, MOST_URGENT, OVERLOADED, 0.0).unwrap();
    let latest = refused(&mut loads, MOST_URGENT, OVERLOADED, 0.314).unwrap();
    assert!((990..=1_010).contains(&earliest.retry_after.as_millis()));
    assert!((2_900..=3_010).contains(&latest.retry_after.as_millis()));
    assert_eq!(
        (earliest.utilization_percent, earliest.refused_percent),
        (120, 31)
    );
}

#[test]
fn refused_fraction_grows_under_lasting_overload_and_falls_to_zero_afterwards() {
    let mut load = PoolLoad::default();
    let mut now = Timestamp::default();
    let mut excess_after = |utilization: f64, steps: u64| {
        let mut excess = 0.0;
        for _ in 0..steps {
            now = now.plus(Duration::from_micros(SECOND / 10));
            excess = load.update_excess(now, utilization);
        }
        excess
    };
    let first = excess_after(1.05, 1);
    let later = excess_after(1.05, 30);
    assert!(later > first + 0.25, "{first} {later}");
    assert_eq!(excess_after(0.5, 20), 0.0);
}

#[test]
fn an_idle_period_counts_as_one_bounded_integration_step() {
    let mut load = PoolLoad::default();
    load.update_excess(Timestamp::default(), 1.05);
    let proportional_term = (1.05 - REFUSAL_START_UTILIZATION) * PROPORTIONAL_GAIN;
    let excess = load.update_excess(Timestamp(60 * SECOND), 1.05);
    assert!(excess < proportional_term + 0.03, "{excess}");
}

#[test]
fn back_ends_without_a_slot_count_are_not_considered_full() {
    let mut router = router_with_slots(0);
    let admission = admit_model_request(&mut router, RequestKind::Stream);
    for _ in 0..40 {
        let prompt = prompt();
        let choice = router.choose(at(1), &admission, Some(&prompt), EarlierAttempts::default());
        assert!(choice.is_ok(), "{choice:?}");
    }
}
