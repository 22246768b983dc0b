//! Tests of the order, the credit and the promises of one admission queue.

use std::time::Duration;

use rstest::rstest;

use super::super::tests::{admit_model_request, router_with_slots};
use super::super::Admission;
use super::*;
use crate::RequestKind;

const COST: f64 = 100.0;

const fn ms(value: u64) -> Timestamp {
    Timestamp(value * 1_000)
}

/// An urgency by the tenant's priority.
fn urgency(priority: u8) -> Urgency {
    let mut router = router_with_slots(4);
    let admission = admit_model_request(&mut router, RequestKind::Stream);
    Urgency::of(&Admission {
        priority,
        ..admission
    })
}

fn place(priority: u8, latest_start_ms: u64, ticket: u64) -> Place {
    Place {
        is_late: false,
        urgency: urgency(priority),
        latest_start: ms(latest_start_ms),
        ticket: WaitTicket(ticket),
    }
}

fn request(place: Place, cost: f64) -> WaitingRequest {
    WaitingRequest {
        place,
        cost,
        body_bytes: 10,
        deadline: ms(5_000),
        entered: ms(0),
        predicted_wait: Duration::ZERO,
    }
}

/// A queue with these requests, each as priority, latest start and cost; their tickets count from 1.
fn queue_of(requests: &[(u8, u64, f64)]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    for (number, (priority, latest_start, cost)) in requests.iter().enumerate() {
        let place = place(*priority, *latest_start, number as u64 + 1);
        queue.insert(request(place, *cost), 0.0);
    }
    queue
}

fn tickets(tickets: Vec<WaitTicket>) -> Vec<u64> {
    tickets.into_iter().map(|ticket| ticket.0).collect()
}

#[test]
fn credit_lets_in_the_request_of_its_urgency_that_has_to_start_first() {
    let mut queue = queue_of(&[(1, 900, COST), (1, 700, COST), (0, 800, COST)]);
    assert_eq!(tickets(queue.grant(ms(0), urgency(1), COST)), [2]);
    assert_eq!(tickets(queue.grant(ms(0), urgency(1), COST)), [1]);
    assert_eq!(tickets(queue.grant(ms(0), urgency(0), COST)), [3]);
    assert!(queue.is_empty());
}

#[test]
fn a_costly_request_uses_the_credit_of_several_cheap_ones() {
    let mut queue = queue_of(&[(1, 700, 3.0 * COST), (1, 800, COST)]);
    assert_eq!(tickets(queue.grant(ms(0), urgency(1), COST)), [1]);
    assert_eq!(queue.cost_ahead(&place(1, 800, 2)), 2.0 * COST);
    assert!(queue.grant(ms(0), urgency(1), COST).is_empty());
    assert!(queue.grant(ms(0), urgency(1), COST).is_empty());
    assert_eq!(tickets(queue.grant(ms(0), urgency(1), COST)), [2]);
}

#[test]
fn credit_is_not_saved_while_nobody_waits() {
    let mut queue = AdmissionQueue::default();
    assert!(queue.grant(ms(0), urgency(1), 50.0 * COST).is_empty());
    queue.insert(request(place(1, 700, 1), COST), 0.0);
    assert_eq!(queue.next_with_credit(urgency(1)), None);
}

#[rstest]
#[case::none(0.0, &[])]
#[case::one(10.0, &[3])]
#[case::two(20.0, &[3, 2])]
#[case::more_than_wait(1_000.0, &[3, 2, 1])]
fn free_slots_are_for_the_most_urgent_first(#[case] per_second: f64, #[case] expected: &[u64]) {
    let mut queue = queue_of(&[(1, 900, COST), (1, 700, COST), (0, 800, COST)]);
    assert_eq!(tickets(queue.use_room(ms(100), per_second)), expected);
}

#[rstest]
#[case::a_slot(1.0, 1)]
#[case::many_slots(40.0, 1)]
#[case::less_than_a_slot(0.5, 0)]
fn the_first_to_wait_may_use_a_free_slot_at_once(#[case] free: f64, #[case] expected: usize) {
    let mut queue = AdmissionQueue::default();
    for ticket in 1..=3 {
        queue.insert(request(place(1, 700, ticket), COST), free);
    }
    assert_eq!(queue.use_room(ms(0), 1.0).len(), expected);
}

#[test]
fn room_is_not_saved_while_no_slot_is_free() {
    let mut queue = queue_of(&[(1, 900, COST), (1, 700, COST)]);
    assert!(queue.use_room(ms(90), 10.0).is_empty());
    assert!(queue.use_room(ms(100), 0.0).is_empty());
    assert!(queue.use_room(ms(150), 10.0).is_empty());
}

#[test]
fn a_request_leaves_when_it_can_no_longer_start_in_time() {
    let mut queue = queue_of(&[(1, 400, COST), (1, 1_000, COST), (1, 1_000, COST)]);
    let tolerance = Duration::from_millis(100);
    let slow = 0.7 * COST;
    let left = queue.remove_hopeless(ms(500), urgency(1), slow, tolerance);
    let left: Vec<u64> = left.iter().map(|request| request.place.ticket.0).collect();
    // The first one is too late by itself. Of the others, one starts in time and the next would wait 1.4 s.
    assert_eq!(left, [1, 3]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn demand_is_known_within_a_second_and_forgotten_within_a_few() {
    let mut queue = AdmissionQueue::default();
    for at in 0..200 {
        queue.record_arrival(ms(at * 10), urgency(1), COST, false);
    }
    let demand = queue.demand(ms(2_000), urgency(1));
    assert!((80.0 * COST..=101.0 * COST).contains(&demand), "{demand}");
    assert!(queue.demand(ms(6_000), urgency(1)) < 0.02 * demand);
}

fn promise(sample: f64) -> PromisedReturn {
    PromisedReturn {
        cost: COST,
        release_rate: 10.0 * COST,
        shortest: Duration::from_millis(100),
        longest: Duration::from_millis(1_500),
        sample,
    }
}

#[test]
fn refused_callers_return_one_after_the_other_when_there_is_room() {
    let mut queue = queue_of(&[(1, 900, 3.0 * COST)]);
    let mut returns = |count: usize| -> Vec<u128> {
        let times = (0..count).map(|_| queue.promise_return(ms(0), urgency(1), promise(0.0)));
        times.map(|time| time.as_millis()).collect()
    };
    assert_eq!(returns(4), [300, 400, 500, 600]);
    // No room is in sight: the longest time, spread.
    assert!(returns(12).into_iter().all(|time| time <= 1_500));
    let spread = queue.promise_return(ms(0), urgency(1), promise(1.0));
    assert_eq!(spread, Duration::from_millis(1_050));
}
