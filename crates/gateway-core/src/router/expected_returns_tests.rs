//! Tests of the returns that are expected of refused callers.

use rstest::rstest;

use super::*;

const COST: f64 = 100.0;

const fn ms(value: u64) -> Timestamp {
    Timestamp(value * 1_000)
}

#[test]
fn returns_are_expected_at_the_times_that_were_promised() {
    let mut returns = ExpectedReturns::default();
    for at in [300, 200, 100] {
        returns.promise(ms(at), COST);
    }
    assert_eq!(returns.cost_until(ms(0), ms(50)), 0.0);
    assert_eq!(returns.cost_until(ms(0), ms(200)), 2.0 * COST);
    assert_eq!(returns.cost_until(ms(0), ms(300)), 3.0 * COST);
}

#[rstest]
#[case::all(1, 1.0)]
#[case::every_second(2, 0.5)]
#[case::none(usize::MAX, 0.0)]
fn the_part_of_callers_that_return_is_learned(#[case] one_of: usize, #[case] part: f64) {
    let mut returns = ExpectedReturns::default();
    for number in 0..400 {
        let now = ms(10 * number as u64);
        returns.promise(now.plus(std::time::Duration::from_millis(100)), COST);
        if number % one_of == one_of - 1 {
            returns.record_return(now, COST);
        }
        returns.cost_until(now, now);
    }
    let expected = returns.cost_until(ms(4_000), ms(9_000)) / COST;
    assert!((expected - 9.0 * part).abs() < 1.0, "{expected}");
}

#[test]
fn promises_are_bounded_and_expire() {
    let mut returns = ExpectedReturns::default();
    for _ in 0..2 * MAX_PROMISES {
        returns.promise(ms(100), COST);
    }
    assert_eq!(
        returns.cost_until(ms(0), ms(100)),
        MAX_PROMISES as f64 * COST
    );
    returns.cost_until(ms(101), ms(101));
    assert!(returns.promises.is_empty());
}
