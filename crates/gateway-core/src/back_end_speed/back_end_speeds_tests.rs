//! Tests of what a router knows about speeds.

use drumshore_wire::List;

use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp(1 + seconds * 1_000_000)
}

fn news(first: u32, last: u32, entries: &[(u32, f64)]) -> SpeedNews {
    let entry = |(key, factor): &(u32, f64)| SpeedEntry::new(*key, *factor, Duration::from_secs(2));
    SpeedNews {
        first,
        last,
        curves: List::default(),
        back_ends: List::new(entries.iter().map(entry).collect()),
    }
}

#[test]
fn a_back_end_that_is_not_listed_in_a_range_has_the_factor_1() {
    let mut speeds = BackEndSpeeds::default();
    speeds.apply(at(0), &news(0, u32::MAX, &[(3, 0.6), (9, 1.6)]));
    assert_eq!((speeds.time_factor(3), speeds.time_factor(9)), (0.6, 1.6));
    speeds.apply(at(1), &news(0, 5, &[(4, 1.2)]));
    let factors = [3, 4, 9].map(|key| speeds.time_factor(key));
    assert_eq!(factors, [1.0, 1.2, 1.6]);
}

#[test]
fn changes_without_a_range_leave_others_unchanged() {
    let mut speeds = BackEndSpeeds::default();
    speeds.apply(at(0), &news(0, u32::MAX, &[(3, 0.6), (9, 1.6)]));
    speeds.apply(at(1), &news(1, 0, &[(9, 1.4)]));
    assert_eq!((speeds.time_factor(3), speeds.time_factor(9)), (0.6, 1.4));
}

#[test]
fn the_age_of_a_factor_is_that_of_its_last_sample() {
    let mut speeds = BackEndSpeeds::default();
    assert_eq!(speeds.age(at(0), 3), None);
    speeds.apply(at(0), &news(0, u32::MAX, &[(3, 0.6)]));
    assert_eq!(speeds.age(at(5), 3), Some(Duration::from_secs(7)));
}

#[test]
fn a_removed_back_end_is_forgotten() {
    let mut speeds = BackEndSpeeds::default();
    speeds.apply(at(0), &news(0, u32::MAX, &[(3, 0.6)]));
    speeds.forget(3);
    assert_eq!(speeds.time_factor(3), 1.0);
}

#[test]
fn without_a_leader_a_factor_stays_for_5_minutes() {
    let mut speeds = BackEndSpeeds::default();
    speeds.apply(at(0), &news(0, u32::MAX, &[(3, 0.6)]));
    speeds.expire(at(299));
    assert_eq!(speeds.time_factor(3), 0.6);
    speeds.expire(at(300));
    assert_eq!(speeds.time_factor(3), 1.0);
}

#[test]
fn the_curve_of_a_pool_is_kept_about() {
    let pool = PoolName::new("pool");
    let curve = PrefillCurve {
        latency: Duration::from_micros(9_870),
        us_per_token: 15.576,
        us_per_pair: 0.000_647,
    };
    let mut speeds = BackEndSpeeds::default();
    assert_eq!(speeds.curve(&pool), PrefillCurve::default());
    let mut news = news(1, 0, &[]);
    news.curves = List::new(vec![CurveEntry::new(&pool, &curve)]);
    speeds.apply(at(0), &news);
    let known = speeds.curve(&pool);
    assert_eq!(known.latency, curve.latency);
    let ratio = known.occupancy(13_300, 17_000).as_secs_f64()
        / curve.occupancy(13_300, 17_000).as_secs_f64();
    assert!((ratio - 1.0).abs() < 1e-3);
}
