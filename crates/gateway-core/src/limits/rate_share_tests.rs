//! Tests of one router's part of a rate.

use rstest::rstest;

use super::*;

fn at(seconds: f64) -> Timestamp {
    Timestamp(1_000_000).plus(Duration::from_secs_f64(seconds))
}

/// When requests are sent by a router that is asked all the time.
fn sent(part: &mut RateShare, from: f64, to: f64) -> Vec<f64> {
    let steps = ((to - from) * 100.0) as u32;
    let times = (0..steps).map(|step| from + f64::from(step) / 100.0);
    let sent = times.filter(|time| {
        let admits = part.admits(at(*time));
        if admits {
            part.charge(at(*time));
        }
        admits
    });
    sent.collect()
}

#[rstest]
#[case::few_routers(1.0, 7, 100.0 / 7.0)]
#[case::a_high_rate(100.0, 7, 10_000.0 / 7.0)]
#[case::a_part_of_a_request(20.0, 100, 20.0)]
fn what_is_asked_for_all_the_time_gets_its_part(
    #[case] whole: f64,
    #[case] routers: u16,
    #[case] expected: f64,
) {
    let mut part = RateShare::new(at(0.0), whole, routers, 3);
    let count = sent(&mut part, 0.0, 100.0).len() as f64;
    assert!((count - expected).abs() <= 2.0, "{count} of {expected}");
}

/// Where each router may keep a request, the sum stays within what is borne whatever they do.
#[test]
fn full_buckets_of_all_routers_stay_within_what_is_borne() {
    for routers in 1..=1_000_u16 {
        for whole in [
            0.0, 0.1, 0.5, 1.0, 1.3, 2.4, 5.0, 20.0, 50.0, 100.0, 1_000.0,
        ] {
            let share = Share::of(whole, routers);
            if share.turn < 1.0 {
                continue;
            }
            let Share {
                per_second,
                capacity,
                ..
            } = share;
            let each = (capacity + per_second * WINDOW.as_secs_f64()).floor();
            let all = each * f64::from(routers);
            let borne = whole * WINDOW.as_secs_f64() * BORNE_FACTOR + BORNE_BEYOND;
            assert!(
                all <= borne,
                "{routers} routers at {whole}: {all} of {borne}"
            );
            let most = whole.max(LEAST_RATE) * (1.0 + 1e-9);
            assert!(per_second * f64::from(routers) <= most);
        }
    }
}

/// Who have their turn within a window send one request each at most.
#[test]
fn routers_whose_turn_it_is_are_few_enough() {
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
        let borne = whole * WINDOW.as_secs_f64() * BORNE_FACTOR + BORNE_BEYOND;
        let parts = (0..u64::from(routers)).map(|router| {
            let seed = xxh3_64(&router.to_le_bytes());
            RateShare::new(at(0.0), whole, routers, seed)
        });
        let parts: Vec<RateShare> = parts.collect();
        for begin in (0..4_000).step_by(2) {
            let begin = 60.0 + f64::from(begin);
            let has_turn = |part: &&RateShare| {
                let turns = turn_at(at(begin), part.seed)..=turn_at(at(begin + 4.0), part.seed);
                turns.into_iter().any(|turn| part.has_turn(turn))
            };
            let count = parts.iter().filter(has_turn).count() as f64;
            assert!(
                count <= borne,
                "{count} of {borne}: {routers} routers at {whole}"
            );
        }
        assert!(1.0 / parts[0].share.per_second >= WINDOW.as_secs_f64());
    }
}

#[test]
fn a_router_that_waits_for_its_turn_knows_when_it_comes() {
    let mut part = RateShare::new(at(0.0), 5.0, 40, 3);
    let mut waited = 0;
    for second in 0..600 {
        let now = at(60.0 + f64::from(second));
        if part.admits(now) {
            part.charge(now);
            continue;
        }
        let wait = part.wait(now);
        assert!(!part.admits(now.plus(wait.mul_f64(0.99))));
        if wait < TURN * (MOST_TURNS_AHEAD as u32 - 1) {
            assert!(part.admits(now.plus(wait + Duration::from_millis(1))));
            waited += 1;
        }
    }
    assert!(waited > 100);
}

#[test]
fn what_was_not_sent_is_paid_back() {
    let mut part = RateShare::new(at(0.0), 1.0, 7, 3);
    part.charge(at(60.0));
    assert!(!part.admits(at(60.0)));
    part.pay_back(at(60.1));
    assert!(part.admits(at(60.1)));
}

#[test]
fn a_rate_that_falls_is_in_force_at_once() {
    let mut part = RateShare::new(at(0.0), 100.0, 7, 3);
    part.set_rate(at(60.0), 1.0);
    assert!(sent(&mut part, 60.0, 64.0).len() <= 1);
}

/// Somebody has to find out that it has ended.
#[test]
fn of_a_rate_of_zero_a_request_is_sent_now_and_then() {
    let mut part = RateShare::new(at(0.0), 0.0, 1, 3);
    let sent = sent(&mut part, 0.0, 100.0).len();
    assert!((24..=27).contains(&sent), "{sent}");
}
