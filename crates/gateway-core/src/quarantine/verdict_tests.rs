//! Tests of the counts of verdicts.

use super::*;

#[test]
fn verdicts_are_counted_by_kind() {
    let mut counts = VerdictCounts::default();
    for verdict in CrashVerdict::ALL {
        counts.add(CrashVerdict::Known);
        assert!(!counts.are_all(CrashVerdict::Counted));
        counts.add(verdict);
    }
    assert!(!counts.are_all(CrashVerdict::Known));
    let expected = [1, 6, 1, 1, 1];
    assert_eq!(
        CrashVerdict::ALL.map(|verdict| counts.of(verdict)),
        expected
    );
}

#[test]
fn a_crash_that_others_reported_has_one_kind_of_verdict() {
    let mut counts = VerdictCounts::default();
    counts.add(CrashVerdict::Known);
    counts.add(CrashVerdict::Known);
    assert!(counts.are_all(CrashVerdict::Known));
}
