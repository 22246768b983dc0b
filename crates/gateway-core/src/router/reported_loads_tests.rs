//! Tests of what remains of sums without a router's own part.

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
fn what_others_put_on_a_back_end_remains() {
    let mut reported = ReportedLoads::default();
    reported.note(at(0), vec![load(10, 1)]);
    assert_eq!(reported.without_own(at(500), &[load(25, 3)]), [load(15, 2)]);
}

/// The sum still holds a prompt that this router has had answered and reported as such.
#[test]
fn a_prompt_that_has_just_been_answered_is_no_load_of_others() {
    let mut reported = ReportedLoads::default();
    reported.note(at(0), vec![load(140, 1)]);
    reported.note(at(1_000), Vec::new());
    let late = reported.without_own(at(1_090), &[load(140, 1)]);
    assert_eq!(late, [load(0, 0)]);
    let current = reported.without_own(at(1_300), &[load(5, 1)]);
    assert_eq!(current, [load(5, 1)], "by now it is others'");
}

#[test]
fn the_last_report_holds_however_old_it_is() {
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
