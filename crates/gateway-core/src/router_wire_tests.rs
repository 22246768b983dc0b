//! Tests of what routers of earlier builds send and read.

use rstest::rstest;

use super::*;
use crate::{Announcement, Following, LoadEntry};

fn status() -> RouterStatus {
    RouterStatus {
        address: Text::new("10.0.0.9:80"),
        zone: Text::new("zone"),
        accepting: 1,
        has_view: 1,
    }
}

/// The status of an earlier build is that of this one without its last byte.
fn earlier_status() -> Vec<u8> {
    let mut bytes = Message::Router(status()).encode();
    bytes.pop();
    bytes
}

#[test]
fn a_status_without_its_last_field_is_read_and_tells_the_build() {
    let read = RouterWire::detect_from_router(&earlier_status());
    assert_eq!(
        read,
        Some((RouterWire::BeforeViews, Message::Router(status())))
    );
    let read = RouterWire::detect_from_router(&Message::Router(status()).encode());
    assert_eq!(read, Some((RouterWire::Current, Message::Router(status()))));
}

#[rstest]
#[case::nothing(&[])]
#[case::an_unknown_kind(&[200, 1, 2])]
#[case::a_status_cut_short(&[1, 11, 0])]
#[case::no_status(&[7, 1, 0, 0, 0, 0, 0, 0, 0])]
fn what_is_no_first_message_is_refused(#[case] payload: &[u8]) {
    assert_eq!(RouterWire::detect_from_router(payload), None);
}

#[test]
fn each_prefix_of_a_status_but_one_is_refused() {
    let whole = Message::Router(status()).encode();
    for length in 0..whole.len() - 1 {
        assert_eq!(
            RouterWire::detect_from_router(&whole[..length]),
            None,
            "{length}"
        );
    }
}

#[test]
fn an_earlier_question_names_one_revision() {
    let mut payload = vec![7];
    payload.extend(5_u64.to_le_bytes());
    let expected = Message::Fetch {
        since: 5,
        source_revision: 0,
    };
    assert_eq!(RouterWire::BeforeViews.decode(&payload), Some(expected));
    assert_eq!(RouterWire::Current.decode(&payload), None);
}

/// What follows the two revisions stays byte by byte.
#[test]
fn changes_for_an_earlier_build_do_not_say_the_newest_revision() {
    const NEWEST: std::ops::Range<usize> = 17..25;
    let changes = Message::Changes(Changes {
        since: 1,
        revision: 2,
        newest: 3,
        removed: List::new(vec![Text::new("i-2")]),
        ..Changes::default()
    });
    let mut expected = changes.encode();
    assert_eq!(expected[NEWEST], 3_u64.to_le_bytes());
    expected.drain(NEWEST);
    assert_eq!(RouterWire::BeforeViews.encode(&changes), Some(expected));
}

#[rstest]
#[case::zone(Message::ControlZone(Text::new("a")))]
#[case::loads(Message::LoadsOfAll { whole: 1, loads: List::new(vec![LoadEntry::default()]) })]
#[case::follow(Message::Follow(Following::Changes))]
fn what_an_earlier_build_cannot_read_is_not_sent(#[case] message: Message) {
    assert_eq!(RouterWire::BeforeViews.encode(&message), None);
    assert_eq!(RouterWire::Current.encode(&message), Some(message.encode()));
}

#[rstest]
#[case::announcement(Message::Announce(Announcement { revision: 5 }))]
#[case::ping(Message::Ping { sequence: 8 })]
fn what_did_not_change_is_the_same_for_both(#[case] message: Message) {
    let payload = message.encode();
    for wire in RouterWire::ALL {
        assert_eq!(wire.encode(&message), Some(payload.clone()));
        assert_eq!(wire.decode(&payload), Some(message.clone()));
    }
}

#[test]
fn a_control_machine_that_does_not_say_its_zone_first_is_of_an_earlier_build() {
    let zone = Message::ControlZone(Text::new("a"));
    let read = RouterWire::detect_from_control(&zone.encode());
    assert_eq!(read, Some((RouterWire::Current, zone)));
    let announcement = Message::Announce(Announcement { revision: 5 });
    let read = RouterWire::detect_from_control(&announcement.encode());
    assert_eq!(read, Some((RouterWire::BeforeViews, announcement)));
    assert_eq!(RouterWire::detect_from_control(&[200, 1, 2]), None);
}

/// A router that read them by its own layout ended the link each time.
#[test]
fn changes_of_an_earlier_control_machine_are_read_and_lead_to_all_that_it_has() {
    let changes = Changes {
        since: 1,
        revision: 3,
        newest: 3,
        removed: List::new(vec![Text::new("i-2")]),
        ..Changes::default()
    };
    let sent = Message::Changes(changes);
    let payload = RouterWire::BeforeViews.encode(&sent).unwrap();
    let first = RouterWire::detect_from_control(&payload);
    assert_eq!(first, Some((RouterWire::BeforeViews, sent.clone())));
    assert_ne!(Message::decode(&payload), Some(sent));
}

#[test]
fn a_question_to_an_earlier_control_machine_names_one_revision() {
    let question = Message::Fetch {
        since: 5,
        source_revision: 9,
    };
    let payload = RouterWire::BeforeViews.encode(&question).unwrap();
    let read = RouterWire::BeforeViews.decode(&payload);
    assert_eq!(
        read,
        Some(Message::Fetch {
            since: 5,
            source_revision: 0
        })
    );
}
