//! Tests of when a view was surely current.

use super::*;

#[test]
fn a_view_that_stays_behind_remembers_few_confirmations() {
    let mut view = View::default();
    for count in 1..10_000 {
        view.on_confirmed(Timestamp(count), count / 2);
    }
    assert!(view.awaiting.len() <= MOST_AWAITED);
    let (newest, asked) = *view.awaiting.last().unwrap();
    assert_eq!((newest, asked), (4_999, Timestamp(9_999)));
}

#[test]
fn the_latest_confirmation_of_what_has_arrived_counts() {
    let mut view = View::default();
    for (asked, revision) in [(10, 3), (20, 3), (30, 5), (40, 9)] {
        view.on_confirmed(Timestamp(asked), revision);
    }
    let changes = Changes {
        revision: 6,
        newest: 9,
        ..Changes::default()
    };
    let none = |_: &[u8]| Ok(Document::default());
    view.apply(Timestamp(50), &changes, none).unwrap();
    assert_eq!(view.confirmed(), Some(Timestamp(30)));
}
