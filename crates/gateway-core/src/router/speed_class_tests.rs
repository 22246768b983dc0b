//! Tests of the coarse scale of speeds.

use rstest::rstest;

use super::*;

#[rstest]
#[case::equal(1.0, 0)]
#[case::a_little_slower(1.1, 0)]
#[case::slow(1.6, -1)]
#[case::fast(0.6, 1)]
#[case::twice_as_fast(0.5, 2)]
#[case::beyond_the_scale(100.0, -4)]
fn a_back_end_is_classified_by_its_time_factor(#[case] factor: f64, #[case] class: i8) {
    assert_eq!(SpeedClass::default().updated(factor), SpeedClass(class));
}

#[test]
fn a_back_end_between_two_classes_stays_in_its_class() {
    let between = 0.5_f64.powf(0.25);
    let fast = SpeedClass::default().updated(0.5_f64.sqrt());
    assert_eq!(fast.updated(between), fast);
    let mean = SpeedClass::default();
    assert_eq!(mean.updated(between), mean);
}
