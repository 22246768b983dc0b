//! Tests of the time at which callers asked first.

use rstest::rstest;

use super::super::tests::{admit_model_request, router_with_slots};
use super::*;
use crate::RequestKind;

const RECEIVED: Timestamp = Timestamp(100_000_000);

#[rstest]
#[case::whole_limit(1.0, 0.0)]
#[case::somewhat_less(0.85, 0.0)]
#[case::after_a_refusal(0.6, 0.3)]
#[case::after_two(0.3, 0.6)]
fn a_limit_clearly_below_the_usual_ones_tells_of_an_earlier_attempt(
    #[case] part_left: f64,
    #[case] part_used: f64,
) {
    let mut router = router_with_slots(4);
    let route = admit_model_request(&mut router, RequestKind::Stream).route;
    let mut limits = TimeLimits::default();
    for part in [0.85, 0.9, 0.95].iter().cycle().take(300) {
        limits.first_asked(&route, RECEIVED, route.timeout.mul_f64(*part));
    }
    let asked = limits.first_asked(&route, RECEIVED, route.timeout.mul_f64(part_left));
    let used = RECEIVED.since(asked).as_secs_f64() / route.timeout.as_secs_f64();
    assert!((used - part_used).abs() < 0.01, "{used}");
}
