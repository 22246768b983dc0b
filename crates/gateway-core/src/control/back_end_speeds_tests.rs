//! Tests of the order and rate at which estimates are sent to routers.

use super::*;
use crate::back_end_speed::BackEndSpeeds;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(1 + milliseconds * 1_000)
}

/// Estimates of back ends with evenly spread keys, of three speeds in turn.
fn estimates(count: u32, factors: [f64; 3]) -> BTreeMap<u32, BackEndEstimate> {
    let spread = u32::MAX / count;
    let estimate = |number: u32| BackEndEstimate {
        time_factor: factors[number as usize % 3],
        age: Duration::from_secs(1),
        samples: 40,
    };
    let all = 0..count;
    all.map(|number| (number * spread, estimate(number)))
        .collect()
}

/// Sends the messages of some seconds to a router; returns its knowledge and the bytes a second.
fn broadcast(
    broadcast: &mut SpeedBroadcast,
    from: u64,
    seconds: u64,
    estimates: &BTreeMap<u32, BackEndEstimate>,
    router: &mut BackEndSpeeds,
) -> f64 {
    let mut bytes = 0;
    for step in 0..seconds * 2 {
        let now = at(from * 1_000 + step * 500);
        let curves = || vec![(PoolName::new("pool"), PrefillCurve::default())];
        if let Some(news) = broadcast.next_message(now, estimates, curves) {
            bytes += Message::BackEndSpeeds(news.clone()).encode().len();
            router.apply(now, &news);
        }
    }
    bytes as f64 / seconds as f64
}

fn count_wrong(router: &BackEndSpeeds, estimates: &BTreeMap<u32, BackEndEstimate>) -> usize {
    let wrong = estimates.iter().filter(|(key, estimate)| {
        let ratio = router.time_factor(**key) / estimate.time_factor;
        ratio.max(1.0 / ratio) > CHANGED_BY
    });
    wrong.count()
}

const THREE_SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

#[test]
fn routers_know_90_back_ends_within_2_seconds() {
    let estimates = estimates(90, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    let mut router = BackEndSpeeds::default();
    let bytes = broadcast(&mut speeds, 0, 2, &estimates, &mut router);
    assert_eq!(count_wrong(&router, &estimates), 0);
    assert!(bytes < 1_000.0, "{bytes} bytes a second");
    let bytes = broadcast(&mut speeds, 2, 60, &estimates, &mut router);
    assert!(
        bytes < 200.0,
        "{bytes} bytes a second while nothing changes"
    );
}

/// A large fleet is told the speeds of 10,000 back ends, of which 6,667 differ from the mean, in 80 s.
#[test]
fn the_speeds_of_10_000_back_ends_take_less_than_1_kb_a_second() {
    let estimates = estimates(10_000, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    let mut router = BackEndSpeeds::default();
    let bytes = broadcast(&mut speeds, 0, 80, &estimates, &mut router);
    assert!(bytes < 1_000.0, "{bytes} bytes a second");
    assert_eq!(count_wrong(&router, &estimates), 0);
}

#[test]
fn equal_back_ends_take_no_entries() {
    let estimates = estimates(1_000, [1.0, 1.09, 0.92]);
    let mut speeds = SpeedBroadcast::default();
    let mut router = BackEndSpeeds::default();
    let bytes = broadcast(&mut speeds, 0, 60, &estimates, &mut router);
    assert!(bytes < 20.0, "{bytes} bytes a second");
}

#[test]
fn a_clear_change_is_sent_at_once() {
    let mut estimates = estimates(90, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    let mut router = BackEndSpeeds::default();
    broadcast(&mut speeds, 0, 7, &estimates, &mut router);
    let (key, estimate) = estimates.iter_mut().nth(1).unwrap();
    estimate.time_factor = 2.0;
    let key = *key;
    broadcast(&mut speeds, 7, 1, &estimates, &mut router);
    assert!((router.time_factor(key) - 2.0).abs() < 0.01);
}

#[test]
fn a_back_end_that_is_gone_gets_the_factor_1() {
    let mut estimates = estimates(90, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    let mut router = BackEndSpeeds::default();
    broadcast(&mut speeds, 0, 7, &estimates, &mut router);
    let (key, _) = estimates.pop_last().unwrap();
    broadcast(&mut speeds, 7, 1, &estimates, &mut router);
    assert_eq!(router.time_factor(key), 1.0);
}

/// A router that lost a message, or links later, knows all factors after the next turn.
#[test]
fn a_router_without_earlier_messages_knows_all_after_one_turn() {
    let estimates = estimates(90, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    broadcast(&mut speeds, 0, 7, &estimates, &mut BackEndSpeeds::default());
    let mut late = BackEndSpeeds::default();
    broadcast(&mut speeds, 7, 7, &estimates, &mut late);
    assert_eq!(count_wrong(&late, &estimates), 0);
}

#[test]
fn clear_changes_are_logged_once_and_few_at_a_time() {
    let estimates = estimates(90, THREE_SPEEDS);
    let mut speeds = SpeedBroadcast::default();
    let sizes = [0; 8].map(|_| speeds.take_logged(&estimates).len());
    assert_eq!(sizes, [10, 10, 10, 10, 10, 10, 0, 0]);
}
