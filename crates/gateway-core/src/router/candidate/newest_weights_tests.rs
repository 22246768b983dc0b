use rstest::rstest;

use super::*;

#[rstest]
#[case::idle(10, 0.0, 1.0)]
#[case::enough_for_all(45, 30.0, 1.0)]
#[case::half_of_the_load(20, 28.0, 0.5)]
#[case::overloaded(18, 90.0, 0.14)]
fn as_much_is_led_as_the_newest_can_carry(
    #[case] newest: usize,
    #[case] occupied: f64,
    #[case] expected: f64,
) {
    let progress = RolloutProgress {
        back_ends: 90,
        newest,
        occupied,
    };
    let led = progress.led_fraction();
    assert!((led - expected).abs() < 0.01, "{led}");
}
