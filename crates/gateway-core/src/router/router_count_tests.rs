//! Tests of the router count.

use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

#[test]
fn the_count_is_one_before_the_first_report() {
    assert_eq!(RouterCount::default().get(), 1);
}

#[test]
fn a_lower_count_applies_only_after_the_higher_one_has_expired() {
    let mut count = RouterCount::default();
    count.note(at(1), 7);
    count.note(at(2), 3);
    assert_eq!(count.get(), 7);
    count.note(at(11), 4);
    assert_eq!(count.get(), 7);
    count.note(at(12), 3);
    assert_eq!(count.get(), 4, "3, 4 and 3 were counted within ten seconds");
    count.note(at(22), 3);
    assert_eq!(count.get(), 3);
}

#[test]
fn a_higher_count_applies_at_once() {
    let mut count = RouterCount::default();
    count.note(at(1), 3);
    count.note(at(1), 985);
    assert_eq!(count.get(), 985);
}

#[test]
fn the_number_of_kept_counts_is_bounded_when_counts_fall() {
    let mut count = RouterCount::default();
    for second in 0..100 {
        count.note(at(second), 1_000 - second as u16);
    }
    assert!(count.0.len() <= 11);
}
