//! Tests of which reports are about one crash.

use rstest::rstest;

use super::*;

const MS: i64 = 1_000;

/// The crashes that reports are taken for, each with when the request was received and when it broke, in milliseconds.
fn recorded(reports: &[(i64, i64)]) -> Vec<u32> {
    let mut times = CrashTimes::default();
    let record = |(received, at): &(i64, i64)| times.record(7, received * MS, at * MS).number;
    reports.iter().map(record).collect()
}

#[rstest]
#[case::two_routers(&[(0, 100), (50, 109)], &[0, 0])]
#[case::noticed_late_by_a_router(&[(0, 100), (50, 9_000)], &[0, 0])]
#[case::noticed_late_by_the_first_router(&[(50, 9_000), (0, 100)], &[0, 0])]
#[case::late_after_the_next_crash(&[(0, 100), (4_000, 4_100), (50, 9_000)], &[0, 1, 0])]
#[case::report_under_way_for_300_ms(&[(0, 100), (350, 400)], &[0, 0])]
#[case::back_after_3_s(&[(0, 100), (3_100, 3_200)], &[0, 1])]
#[case::back_after_200_ms(&[(0, 100), (320, 330), (650, 700)], &[0, 0, 1])]
#[case::reported_in_reverse(&[(3_100, 3_200), (0, 100)], &[0, 1])]
#[case::three_starts(&[(0, 100), (3_100, 3_200), (6_200, 6_300), (3_150, 3_210)], &[0, 1, 2, 1])]
#[case::before_the_process_start(&[(-9_000, -8_900), (-5_000, -4_900)], &[0, 1])]
fn a_request_received_after_a_crash_ran_in_a_later_process(
    #[case] reports: &[(i64, i64)],
    #[case] expected: &[u32],
) {
    assert_eq!(recorded(reports), expected);
}

#[test]
fn a_crash_is_at_the_time_of_its_earliest_report() {
    let mut times = CrashTimes::default();
    let crash = times.record(7, 0, 9_000 * MS);
    assert_eq!(times.record(7, 0, 100 * MS), crash);
    assert_eq!(times.time_of(crash), Some(100 * MS));
    let near = |at| {
        times
            .around(at, Duration::from_millis(50))
            .collect::<Vec<_>>()
    };
    assert_eq!(near(140 * MS), [crash]);
    assert_eq!(near(9_000 * MS), []);
}

#[test]
fn crashes_are_forgotten_when_they_expire_and_the_oldest_when_there_are_too_many() {
    let mut times = CrashTimes::default();
    let first = times.record(7, 0, 0);
    for number in 1..=MAX_CRASHES as u32 {
        times.record(7 + number, 0, i64::from(number));
    }
    assert_eq!(times.time_of(first), None);
    assert_eq!(times.in_order.len(), MAX_CRASHES);
    times.expire(MAX_CRASHES as i64 + REMEMBER_CRASHES_FOR.as_micros() as i64);
    assert!(times.in_order.is_empty() && times.by_back_end.is_empty());
}
