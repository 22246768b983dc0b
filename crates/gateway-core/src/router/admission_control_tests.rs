//! Tests of the admission to an overloaded pool at one router.

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;

use super::super::tests::{admit_model_request, at, prompt_of, router_with_slots};
use super::super::Overload;
use super::*;
use crate::{LoadEntry, RequestKind, Route};

const SLOTS: u32 = 8;
const TARGET: Duration = Duration::from_millis(2_500);
const LIMIT: Duration = Duration::from_secs(5);
const TOKENS: u32 = 300;
/// Milliseconds between arrivals.
const INTERVAL: u64 = 10;
const OVERLOAD_BEGINS: u64 = 3_000;

/// One router, its only back end and the requests that arrive.
struct Scene {
    router: RouterCore,
    admission: Admission,
    now: u64,
    limit: Duration,
    body_bytes: usize,
    may_wait: bool,
}

impl Scene {
    /// A pool that has had room for some seconds.
    fn new() -> Self {
        Self::with_target(TARGET)
    }

    fn with_target(target: Duration) -> Self {
        let mut router = router_with_slots(SLOTS);
        let admission = admit_model_request(&mut router, RequestKind::Stream);
        let route = Route {
            target,
            timeout: LIMIT,
            ..(*admission.route).clone()
        };
        let admission = Admission {
            route: Rc::new(route),
            ..admission
        };
        let mut scene = Self {
            router,
            admission,
            now: 0,
            limit: LIMIT,
            body_bytes: 100,
            may_wait: true,
        };
        while scene.now < OVERLOAD_BEGINS {
            assert_eq!(scene.arrive(), Entry::LetIn);
        }
        scene
    }

    /// Other routers' requests occupy this many times the slots.
    fn occupy(&mut self, times_slots: u16) {
        let load = LoadEntry {
            key: LoadEntry::key_of("llm-1"),
            pending: 0,
            in_flight: times_slots * SLOTS as u16,
        };
        self.router.set_others_loads(true, &[load]);
    }

    fn arrive(&mut self) -> Entry {
        self.now += INTERVAL;
        let received = at(self.now);
        let arrival = Arrival {
            received,
            deadline: received.plus(self.limit),
            body_bytes: self.body_bytes,
            fingerprint: None,
            may_wait: self.may_wait,
        };
        let prompt = prompt_of(TOKENS);
        self.router
            .enter(received, &self.admission, Some(&prompt), arrival)
    }

    fn arrivals(&mut self, count: usize) -> Vec<Entry> {
        (0..count).map(|_| self.arrive()).collect()
    }

    /// Lets requests arrive until one waits.
    fn arrive_until_waiting(&mut self) -> WaitEstimate {
        for _ in 0..200 {
            if let Entry::Waits(_, estimate) = self.arrive() {
                return estimate;
            }
        }
        panic!("no request waits");
    }

    fn waiting(&self) -> usize {
        self.router.waiting_requests().map(|(_, count)| count).sum()
    }
}

fn is_waiting(entry: &Entry) -> bool {
    matches!(entry, Entry::Waits(..))
}

fn overload(entry: &Entry) -> Option<Overload> {
    match entry {
        Entry::Refused(ChoiceError::Overloaded(overload), _) => Some(*overload),
        _ => None,
    }
}

#[test]
fn requests_wait_while_the_pool_is_overloaded_and_are_let_in_in_order() {
    let mut scene = Scene::new();
    scene.occupy(2);
    let entries = scene.arrivals(60);
    let tickets: Vec<WaitTicket> = entries
        .iter()
        .filter_map(|entry| match entry {
            Entry::Waits(ticket, _) => Some(*ticket),
            _ => None,
        })
        .collect();
    assert!(tickets.len() > 5, "{entries:?}");
    scene.arrivals(60);
    let let_in = scene.router.take_wait_decisions();
    let let_in = let_in.iter().filter(|decision| decision.refused.is_none());
    let let_in: Vec<WaitTicket> = let_in.map(|decision| decision.ticket).collect();
    assert!(!let_in.is_empty());
    assert_eq!(let_in, tickets[..let_in.len()]);
}

#[test]
fn a_request_is_refused_at_once_when_it_cannot_be_in_time_after_waiting() {
    let mut scene = Scene::new();
    scene.occupy(2);
    let entries = scene.arrivals(300);
    let refused = entries.iter().filter(|entry| overload(entry).is_some());
    assert!(refused.count() > 100);
    for entry in &entries {
        if let Entry::Waits(_, estimate) = entry {
            assert!(estimate.wait <= estimate.slack, "{estimate:?}");
        }
    }
}

#[test]
fn a_request_on_a_route_without_target_never_waits() {
    let mut scene = Scene::with_target(Duration::ZERO);
    scene.occupy(2);
    let entries = scene.arrivals(200);
    assert!(!entries.iter().any(is_waiting));
    assert!(entries.iter().any(|entry| overload(entry).is_some()));
}

#[rstest]
#[case::at_once(LIMIT, false)]
#[case::a_little_later(LIMIT.mul_f64(0.9), false)]
#[case::when_told(LIMIT.mul_f64(0.78), true)]
fn a_caller_that_returns_when_told_precedes_new_ones_of_its_urgency(
    #[case] limit: Duration,
    #[case] precedes: bool,
) {
    let mut scene = Scene::new();
    scene.occupy(2);
    while scene.waiting() < 3 {
        scene.arrive();
    }
    scene.limit = limit;
    let estimate = scene.arrive_until_waiting();
    assert_eq!(estimate.position == 0, precedes, "{estimate:?}");
}

#[test]
fn refused_callers_are_told_a_time_that_they_can_wait_for() {
    let mut scene = Scene::new();
    scene.occupy(2);
    for limit in [LIMIT, LIMIT / 2, LIMIT / 10] {
        scene.limit = limit;
        for overload in scene.arrivals(200).iter().filter_map(overload) {
            assert!(overload.retry_after <= limit / 3, "{overload:?}");
        }
    }
}

#[rstest]
#[case::requests(1, 256)]
#[case::bytes(1 << 20, 4)]
fn what_waits_is_bounded(#[case] body_bytes: usize, #[case] most: usize) {
    let mut scene = Scene::new();
    // A thousand requests a second: enough are let in that hundreds can wait in time.
    for _ in 0..30_000 {
        scene
            .router
            .admission_queues
            .queue(&scene.admission.pool)
            .record_arrival(at(scene.now), Urgency::of(&scene.admission), 1_000.0, false);
    }
    scene.occupy(2);
    scene.body_bytes = body_bytes;
    let mut most_seen = 0;
    for _ in 0..1_000 {
        scene.arrive();
        scene.now -= INTERVAL;
        most_seen = most_seen.max(scene.waiting());
    }
    assert_eq!(most_seen, most);
}

#[test]
fn a_stopping_router_lets_no_request_wait() {
    let mut scene = Scene::new();
    scene.occupy(2);
    scene.arrive_until_waiting();
    let waiting = scene.waiting();
    assert_eq!(scene.router.stop_waiting().len(), waiting);
    assert_eq!(scene.waiting(), 0);
    scene.may_wait = false;
    assert!(!scene.arrivals(200).iter().any(is_waiting));
    assert!(scene.router.take_wait_decisions().is_empty());
}

#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut scene = Scene::new();
    scene.occupy(2);
    let entries = scene.arrivals(40);
    let waiting = scene.waiting();
    for entry in entries {
        if let Entry::Waits(ticket, _) = entry {
            scene.router.leave_queue(ticket);
            scene.router.leave_queue(ticket);
        }
    }
    assert!(waiting > 0);
    assert_eq!(scene.waiting(), 0);
    assert!(scene.router.take_wait_decisions().is_empty());
}

#[test]
fn free_slots_let_in_all_that_wait_without_further_arrivals() {
    let mut scene = Scene::new();
    scene.occupy(2);
    scene.arrivals(40);
    let waiting = scene.waiting();
    scene.router.take_wait_decisions();
    // No leader is heard, so the others' loads count as none.
    scene.router.set_others_loads(true, &[]);
    let end = scene.now + 1_000;
    while scene.now < end {
        scene.now += 20;
        scene.router.advance_queues(at(scene.now));
    }
    let decisions = scene.router.take_wait_decisions();
    assert!(decisions.iter().all(|decision| decision.refused.is_none()));
    assert_eq!(decisions.len(), waiting);
}

#[test]
fn a_request_that_will_be_late_waits_only_for_free_slots() {
    let mut scene = Scene::new();
    scene.occupy(2);
    scene.arrivals(100);
    scene.router.stop_waiting();
    scene.limit = LIMIT / 2;
    assert!(!scene.arrivals(100).iter().any(is_waiting));
    scene.router.set_others_loads(true, &[]);
    let estimate = scene.arrive_until_waiting();
    scene.router.take_wait_decisions();
    assert!(estimate.is_late && estimate.wait < scene.limit / 3);
    scene.now += 400;
    scene.router.advance_queues(at(scene.now));
    let decisions = scene.router.take_wait_decisions();
    assert!(decisions.iter().all(|decision| decision.refused.is_none()));
    assert_eq!(decisions.len(), 1);
}

#[test]
fn late_requests_are_refused_when_the_free_slots_are_gone() {
    let mut scene = Scene::new();
    scene.occupy(2);
    scene.arrivals(100);
    scene.router.stop_waiting();
    scene.limit = LIMIT / 2;
    scene.router.set_others_loads(true, &[]);
    scene.arrive_until_waiting();
    scene.router.take_wait_decisions();
    scene.occupy(2);
    scene.now += 20;
    scene.router.advance_queues(at(scene.now));
    let decisions = scene.router.take_wait_decisions();
    assert!(decisions.iter().all(|decision| decision.refused.is_some()));
    assert_eq!((decisions.len(), scene.waiting()), (1, 0));
}
