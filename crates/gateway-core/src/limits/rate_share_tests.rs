//! Tests of one router's share of a rate.

use rstest::rstest;

use super::*;

fn at(seconds: f64) -> Timestamp {
    Timestamp(1_000_000).plus(Duration::from_secs_f64(seconds))
}

/// The times at which a router sends if it always has requests waiting.
fn sent(share: &mut RateShare, from: f64, to: f64) -> Vec<f64> {
    let steps = ((to - from) * 100.0) as u32;
    let times = (0..steps).map(|step| from + f64::from(step) / 100.0);
    let sent = times.filter(|time| {
        let admits = share.admits(at(*time));
        if admits {
            share.charge(at(*time));
        }
        admits
    });
    sent.collect()
}

#[rstest]
#[case::few_routers(1.0, 7, 100.0 / 7.0)]
#[case::a_high_rate(100.0, 7, 10_000.0 / 7.0)]
#[case::less_than_one_request_per_router(20.0, 100, 20.0)]
fn a_router_under_constant_load_sends_its_share(
    #[case] whole: f64,
    #[case] routers: u16,
    #[case] expected: f64,
) {
    let mut share = RateShare::new(at(0.0), whole, routers, 3);
    let count = sent(&mut share, 0.0, 100.0).len() as f64;
    assert!((count - expected).abs() <= 2.0, "{count} of {expected}");
}

/// If the tolerance allows one request per router, full buckets of all routers stay within it.
#[test]
fn full_buckets_of_all_routers_stay_within_the_tolerance() {
    for routers in 1..=1_000_u16 {
        for whole in [
            0.0, 0.1, 0.5, 1.0, 1.3, 2.4, 5.0, 20.0, 50.0, 100.0, 1_000.0,
        ] {
            let share = BucketShare::of(whole, routers);
            if share.turn_probability < 1.0 {
                continue;
            }
            let BucketShare {
                per_second,
                capacity,
                ..
            } = share;
            let each = (capacity + per_second * COUNTING_WINDOW.as_secs_f64()).floor();
            let all = each * f64::from(routers);
            let tolerated =
                whole * COUNTING_WINDOW.as_secs_f64() * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
            assert!(
                all <= tolerated,
                "{routers} routers at {whole}: {all} of {tolerated}"
            );
            let most = whole.max(MIN_RATE) * (1.0 + 1e-9);
            assert!(per_second * f64::from(routers) <= most);
        }
    }
}

/// A router with a turn in a window sends at most one request in it, so the number of such routers bounds the requests.
#[test]
fn routers_with_a_turn_in_any_window_stay_within_the_tolerance() {
    for (routers, whole) in [
        (7, 0.0),
        (40, 0.1),
        (985, 0.0),
        (40, 1.0),
        (40, 5.0),
        (300, 1.0),
        (300, 20.0),
        (985, 100.0),
    ] {
        let tolerated =
            whole * COUNTING_WINDOW.as_secs_f64() * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        let shares = (0..u64::from(routers)).map(|router| {
            let seed = xxh3_64(&router.to_le_bytes());
            RateShare::new(at(0.0), whole, routers, seed)
        });
        let shares: Vec<RateShare> = shares.collect();
        for start in (0..4_000).step_by(2) {
            let start = 60.0 + f64::from(start);
            let has_turn = |share: &&RateShare| {
                let turns = turn_at(at(start), share.seed)..=turn_at(at(start + 4.0), share.seed);
                turns.into_iter().any(|turn| share.has_turn(turn))
            };
            let count = shares.iter().filter(has_turn).count() as f64;
            assert!(
                count <= tolerated,
                "{count} of {tolerated}: {routers} routers at {whole}"
            );
        }
        assert!(1.0 / shares[0].share.per_second >= COUNTING_WINDOW.as_secs_f64());
    }
}

#[test]
fn the_wait_ends_when_the_next_turn_starts() {
    let mut share = RateShare::new(at(0.0), 5.0, 40, 3);
    let mut waited = 0;
    for second in 0..600 {
        let now = at(60.0 + f64::from(second));
        if share.admits(now) {
            share.charge(now);
            continue;
        }
        let wait = share.wait(now);
        assert!(!share.admits(now.plus(wait.mul_f64(0.99))));
        if wait < TURN * (MAX_TURNS_AHEAD as u32 - 1) {
            assert!(share.admits(now.plus(wait + Duration::from_millis(1))));
            waited += 1;
        }
    }
    assert!(waited > 100);
}

#[test]
fn a_charged_request_that_is_not_sent_is_returned() {
    let mut share = RateShare::new(at(0.0), 1.0, 7, 3);
    share.charge(at(60.0));
    assert!(!share.admits(at(60.0)));
    share.pay_back(at(60.1));
    assert!(share.admits(at(60.1)));
}

#[test]
fn a_lower_rate_takes_effect_immediately() {
    let mut share = RateShare::new(at(0.0), 100.0, 7, 3);
    share.set_rate(at(60.0), 1.0);
    assert!(sent(&mut share, 60.0, 64.0).len() <= 1);
}

/// Without any request, no router would notice that the limit has ended.
#[test]
fn a_rate_of_zero_still_admits_an_occasional_request() {
    let mut share = RateShare::new(at(0.0), 0.0, 1, 3);
    let sent = sent(&mut share, 0.0, 100.0).len();
    assert!((24..=27).contains(&sent), "{sent}");
}
