use super::super::tests::{at, router_with_slots, short_stream};
use super::super::EarlierAttempts;
use super::*;
use crate::{ModelName, PromptPart, RequestKind};

const SECOND: u64 = 1_000_000;
const FULL: f64 = 1.2;
const MOST_URGENT: Urgency = Urgency {
    priority: 0,
    route_priority: 0,
};
const LESS_URGENT: Urgency = Urgency {
    priority: 0,
    route_priority: 1,
};

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

/// As many prompts of each of these urgencies.
fn loads_of(urgencies: &[Urgency]) -> PoolLoads {
    let mut loads = PoolLoads::default();
    for _ in 0..400 {
        for urgency in urgencies {
            loads.on_prompt(&pool(), *urgency, &prompt());
        }
    }
    loads
}

fn refused(loads: &mut PoolLoads, urgency: Urgency, taken: f64, draw: f64) -> Option<Overload> {
    // At the same moment as before, so that only what is refused at once counts.
    match loads.judge(Timestamp::default(), &pool().name, urgency, taken, draw) {
        Err(ChoiceError::Overloaded(overload)) => Some(overload),
        Err(error) => panic!("{error}"),
        Ok(()) => None,
    }
}

#[test]
fn the_most_urgent_are_refused_only_when_the_others_do_not_suffice() {
    let mut loads = loads_of(&[MOST_URGENT, LESS_URGENT]);
    assert!(refused(&mut loads, LESS_URGENT, FULL, 0.3).is_some());
    assert!(refused(&mut loads, MOST_URGENT, FULL, 0.0).is_none());
    assert!(refused(&mut loads, LESS_URGENT, 2.0, MOST_REFUSED - 0.01).is_some());
    assert!(refused(&mut loads, LESS_URGENT, 2.0, 0.99).is_none());
    assert!(refused(&mut loads, MOST_URGENT, 2.0, 0.3).is_some());
}

#[test]
fn a_tenants_priority_goes_before_the_routes() {
    let urgent_tenant = Urgency {
        priority: 0,
        route_priority: 9,
    };
    let other_tenant = Urgency {
        priority: 1,
        route_priority: 0,
    };
    let mut loads = loads_of(&[urgent_tenant, other_tenant]);
    assert!(refused(&mut loads, urgent_tenant, FULL, 0.0).is_none());
    assert!(refused(&mut loads, other_tenant, FULL, 0.0).is_some());
}

#[test]
fn callers_come_back_spread_over_the_time_in_which_streams_end() {
    let mut loads = loads_of(&[MOST_URGENT]);
    for _ in 0..5_000 {
        loads.on_answered(&pool().name, Duration::from_secs(2));
    }
    let soonest = refused(&mut loads, MOST_URGENT, FULL, 0.0).unwrap();
    let latest = refused(&mut loads, MOST_URGENT, FULL, 0.314).unwrap();
    assert!((990..=1_010).contains(&soonest.retry_after.as_millis()));
    assert!((2_900..=3_010).contains(&latest.retry_after.as_millis()));
    assert_eq!(
        (soonest.utilization_percent, soonest.refused_percent),
        (120, 31)
    );
}

#[test]
fn more_is_refused_while_too_many_slots_stay_taken_and_less_once_they_are_free() {
    let mut load = PoolLoad::default();
    let mut now = Timestamp::default();
    let mut excess_after = |taken: f64, steps: u64| {
        let mut excess = 0.0;
        for _ in 0..steps {
            now = now.plus(Duration::from_micros(SECOND / 10));
            excess = load.excess(now, taken);
        }
        excess
    };
    let first = excess_after(1.05, 1);
    let later = excess_after(1.05, 30);
    assert!(later > first + 0.25, "{first} {later}");
    assert_eq!(excess_after(0.5, 20), 0.0);
}

#[test]
fn a_router_without_requests_for_long_does_not_refuse_more_at_once() {
    let mut load = PoolLoad::default();
    load.excess(Timestamp::default(), 1.05);
    let at_once = (1.05 - REFUSE_FROM) * REFUSED_PER_TAKEN;
    let excess = load.excess(Timestamp(60 * SECOND), 1.05);
    assert!(excess < at_once + 0.03, "{excess}");
}

#[test]
fn back_ends_that_do_not_say_their_slots_are_not_taken_for_full() {
    let mut router = router_with_slots(0);
    let admission = short_stream(&mut router, RequestKind::Stream);
    for _ in 0..40 {
        let prompt = prompt();
        let choice = router.choose(at(1), &admission, Some(&prompt), EarlierAttempts::default());
        assert!(choice.is_ok(), "{choice:?}");
    }
}
