//! Tests of the confirmations of a view.

use super::*;

#[test]
fn pending_confirmations_of_a_lagging_view_are_bounded() {
    let mut view = View::default();
    for count in 1..10_000 {
        view.on_confirmed(Timestamp(count), count / 2);
    }
    assert!(view.pending_confirmations.len() <= MAX_PENDING_CONFIRMATIONS);
    let (newest, asked_at) = *view.pending_confirmations.last().unwrap();
    assert_eq!((newest, asked_at), (4_999, Timestamp(9_999)));
}

#[test]
fn the_latest_confirmation_up_to_the_held_revision_counts() {
    let mut view = View::default();
    for (asked_at, revision) in [(10, 3), (20, 3), (30, 5), (40, 9)] {
        view.on_confirmed(Timestamp(asked_at), revision);
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
