//! Tests of the requests that routers send to brittle back ends.

use rstest::rstest;

use super::super::tests::{admit, at, router};
use super::*;
use crate::router::{ChoiceError, EarlierAttempts, Outcome};

fn withstands(per_second: f64) -> RejectionRate {
    RejectionRate::per_second(per_second).unwrap()
}

fn brittle_router(routers: u16) -> RouterCore {
    let mut router = router();
    router.on_confirmed(at(1), 10, routers);
    let change = router.on_brittleness(
        at(1),
        &InstanceId::new("app-1"),
        Some(withstands(5.0)),
        at(0),
    );
    assert_eq!(change, Some(BrittleChange::Began(withstands(5.0))));
    router
}

/// Sends requests to the three back ends of 8 slots until the router sends no more; returns how many.
fn send_all(router: &mut RouterCore, now: Timestamp) -> usize {
    let admission = admit(router, now, "/a/x");
    let mut sent = 0;
    loop {
        match router.choose(now, &admission, None, EarlierAttempts::default()) {
            Ok(_) => sent += 1,
            Err(error) => {
                assert!(matches!(error, ChoiceError::BackedOff(_)), "{error}");
                return sent;
            }
        }
    }
}

#[rstest]
#[case::alone(1, 24)]
#[case::as_many_routers_as_slots(8, 3)]
#[case::no_whole_share_left_over(7, 3)]
#[case::two_each(4, 6)]
fn routers_together_do_not_exceed_the_slots(#[case] routers: u16, #[case] sent: usize) {
    assert_eq!(send_all(&mut brittle_router(routers), at(10)), sent);
}

#[test]
fn the_announcement_of_one_back_end_counts_for_its_pool_until_answers_lack_it() {
    let mut router = brittle_router(8);
    let other = InstanceId::new("app-2");
    assert_eq!(router.on_brittleness(at(500), &other, None, at(400)), None);
    let late = router.on_brittleness(at(1_200), &other, None, at(0));
    assert_eq!(late, None, "the request was sent before the announcement");
    let change = router.on_brittleness(at(1_200), &other, None, at(1_100));
    assert_eq!(change, Some(BrittleChange::Ended));
    let admission = admit(&mut router, at(1_300), "/a/x");
    for _ in 0..30 {
        router
            .choose(at(1_300), &admission, None, EarlierAttempts::default())
            .unwrap();
    }
}

#[test]
fn a_router_that_was_rejected_pauses_for_its_share_of_the_rejections() {
    let mut router = brittle_router(8);
    let admission = admit(&mut router, at(10), "/a/x");
    let choice = router.choose(at(10), &admission, None, EarlierAttempts::default());
    let rejecting = choice.unwrap().instance;
    router.finished(at(20), &rejecting, at(10), Outcome::Shed);
    assert!(!router
        .endpoints
        .notices_allow_requests(at(1_600), &rejecting));
    assert!(router
        .endpoints
        .notices_allow_requests(at(1_700), &rejecting));
}

#[rstest]
#[case::few_slots(4, 2, 5.0)]
#[case::many_routers(300, 6, 5.0)]
#[case::a_whole_fleet(985, 6, 5.0)]
#[case::hardly_any_rejections(100, 8, 1.0)]
fn turns_of_many_routers_leave_few_rejections(
    #[case] routers: u16,
    #[case] slots: u32,
    #[case] withstood: f64,
) {
    let share = SlotShare::of(slots, routers, withstands(withstood));
    assert_eq!(share.in_flight, 1);
    let (mut crowded, mut used) = (0, 0.0);
    const SECONDS: u64 = 400;
    for second in 0..SECONDS {
        let now = at(second * 1_000);
        let in_turn = (0..routers).filter(|router| {
            let turns = Turns {
                seed: xxh3_64_with_seed(&router.to_le_bytes(), 3),
                probability: share.turn_probability,
            };
            turns.wait(now).is_zero()
        });
        let in_turn = in_turn.count() as f64;
        crowded += u64::from(in_turn > f64::from(slots) + withstood);
        used += in_turn.min(f64::from(slots));
    }
    assert!(crowded * 20 <= SECONDS, "{crowded} crowded seconds");
    let used = used / SECONDS as f64 / f64::from(slots);
    assert!(used > 0.4, "{used} of the slots used");
}
