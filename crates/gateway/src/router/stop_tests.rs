use rstest::rstest;

use super::*;

#[rstest]
#[case::none([0, 0, 0, 0], 0)]
#[case::short([700, 1_750, 1_812, 1_875], 2_000)]
#[case::usual([2_800, 7_600, 7_700, 7_800], 8_000)]
#[case::long([2_800, 29_600, 29_700, 29_800], 30_000)]
fn a_process_exits_within_its_grace_period(#[case] expected_ms: [u128; 4], #[case] grace_ms: u64) {
    let schedule = StopSchedule::of(Duration::from_millis(grace_ms));
    let times = [
        schedule.unbounded_admission,
        schedule.final_answers,
        schedule.cuts,
        schedule.exit,
    ];
    assert_eq!(times.map(|time| time.as_millis()), expected_ms);
}
