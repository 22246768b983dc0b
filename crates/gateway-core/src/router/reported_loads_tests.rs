//! Tests of the subtraction of a router's own load from sums over all routers.

use rstest::rstest;

use super::*;

const KEY: u32 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn load(pending: u16, in_flight: u16) -> LoadEntry {
    LoadEntry {
        key: KEY,
        pending,
        in_flight,
    }
}

#[test]
fn own_load_is_subtracted_from_the_sum() {
    let mut reported = ReportedLoads::default();
    reported.note(at(0), vec![load(10, 1)]);
    assert_eq!(reported.without_own(at(500), &[load(25, 3)]), [load(15, 2)]);
}

/// A sum may still include a prompt that has been answered since. If it counted as load of others, the next prompt with
/// the same prefix would avoid the back end that caches it.
#[test]
fn an_answered_prompt_in_a_late_sum_is_not_counted_as_load_of_others() {
    let mut reported = ReportedLoads::default();
    reported.note(at(0), vec![load(140, 1)]);
    reported.note(at(1_000), Vec::new());
    let late = reported.without_own(at(1_090), &[load(140, 1)]);
    assert_eq!(late, [load(0, 0)]);
    let current = reported.without_own(at(1_300), &[load(5, 1)]);
    assert_eq!(current, [load(5, 1)], "the old report no longer counts");
}

#[test]
fn the_last_report_is_kept_regardless_of_its_age() {
    let mut reported = ReportedLoads::default();
    assert_eq!(reported.last(), []);
    for step in 0..100 {
        reported.note(at(step * 300), vec![load(9, 1)]);
    }
    assert_eq!(reported.last(), [load(9, 1)]);
    let others = reported.without_own(at(60_000), &[load(10, 1)]);
    assert_eq!(others, [load(1, 0)]);
    assert_eq!(reported.0.len(), 1);
}

#[rstest]
#[case::a_short_prompt_soon(load(13, 2), 20, false)]
#[case::a_short_prompt_at_the_interval(load(13, 2), 80, true)]
#[case::a_long_prompt_soon(load(60, 2), 20, true)]
#[case::a_long_prompt_at_the_same_moment(load(60, 2), 5, false)]
#[case::no_change(load(10, 1), 80, false)]
#[case::no_change_for_long(load(10, 1), 300, true)]
fn a_long_prompt_is_due_at_once(
    #[case] current: LoadEntry,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let mut reported = ReportedLoads::default();
    reported.note(at(0), vec![load(10, 1)]);
    assert_eq!(reported.is_due(at(after_ms), &[current]), expected);
}

#[test]
fn an_idle_router_reports_nothing() {
    let mut reported = ReportedLoads::default();
    assert!(!reported.is_due(at(1_000), &[]));
    reported.note(at(1_000), vec![load(10, 1)]);
    assert!(reported.is_due(at(1_080), &[]));
    reported.note(at(1_080), Vec::new());
    assert!(!reported.is_due(at(9_000), &[]));
}
