//! Tests of the fit of a prefill curve.

use super::*;

/// Points of prompts without cached tokens on a curve, with a relative error each.
fn points(curve: &PrefillCurve, lengths: &[(u32, f64)]) -> Vec<Point> {
    let point = |(tokens, error): &(u32, f64)| {
        let us = curve.latency + curve.occupancy(0, *tokens);
        let tokens = f64::from(*tokens);
        Point::new(
            tokens,
            tokens * tokens / 2.0,
            us.as_secs_f64() * 1e6 * error,
        )
    };
    lengths.iter().map(point).collect()
}

const CURVE: PrefillCurve = PrefillCurve {
    latency: Duration::from_millis(10),
    us_per_token: 15.0,
    us_per_pair: 0.0006,
};

#[test]
fn exact_points_give_their_curve() {
    let lengths = [(100, 1.0), (1_000, 1.0), (10_000, 1.0), (40_000, 1.0)];
    let fitted = fit(&points(&CURVE, &lengths)).expect("a curve");
    assert!((fitted.latency.as_secs_f64() - 0.010).abs() < 1e-5);
    assert!((fitted.us_per_token - 15.0).abs() < 0.01);
    assert!((fitted.us_per_pair - 0.0006).abs() < 1e-6);
}

#[test]
fn no_parameter_is_negative() {
    let lengths = [(100, 1.2), (1_000, 1.0), (10_000, 1.1), (40_000, 0.6)];
    let fitted = fit(&points(&CURVE, &lengths)).expect("a curve");
    assert!(fitted.us_per_token >= 0.0 && fitted.us_per_pair >= 0.0);
    let fitted = fitted.latency + fitted.occupancy(0, 10_000);
    let real = CURVE.latency + CURVE.occupancy(0, 10_000);
    assert!((fitted.as_secs_f64() / real.as_secs_f64() - 1.0).abs() < 0.25);
}

#[test]
fn prompts_of_about_one_length_determine_no_curve() {
    let lengths = [(9_000, 1.0), (10_000, 1.0), (11_000, 1.0), (12_000, 1.0)];
    assert_eq!(fit(&points(&CURVE, &lengths)), None);
}

#[test]
fn a_curve_out_of_bounds_is_not_believed() {
    let lengths = [(100, 1e4), (1_000, 1e4), (10_000, 1e4), (40_000, 1e4)];
    assert_eq!(fit(&points(&CURVE, &lengths)), None);
}
