//! Tests that a stream that breaks and is resumed elsewhere reaches the caller without a gap or a repeated event.

use proptest::prelude::*;
use rstest::rstest;

use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nversion:3\nid:3\ndata: c\n\n";

fn forwarded(events: &mut Events, bytes: &[u8]) -> Vec<u8> {
    let whole = events.push(Bytes::copy_from_slice(bytes));
    whole.map(|whole| whole.to_vec()).unwrap_or_default()
}

#[rstest]
#[case::nothing(0, b"", None)]
#[case::half_of_the_first(8, b"", None)]
#[case::the_first(15, b"id: 1\ndata: a\n\n", Some("1"))]
#[case::into_the_second(25, b"id: 1\ndata: a\n\n", Some("1"))]
#[case::all(STREAM.len(), STREAM, Some("3"))]
fn incomplete_events_are_not_forwarded(
    #[case] cut: usize,
    #[case] expected: &[u8],
    #[case] last: Option<&str>,
) {
    let mut events = Events::default();
    assert_eq!(forwarded(&mut events, &STREAM[..cut]), expected);
    let id = events
        .last_id()
        .map(|id| String::from_utf8_lossy(id).into_owned());
    assert_eq!(id.as_deref(), last);
}

#[test]
fn an_incomplete_last_event_is_forwarded_when_the_answer_ends() {
    let mut events = Events::default();
    assert_eq!(forwarded(&mut events, b"data: no end"), b"");
    assert_eq!(events.take_remainder().unwrap().as_ref(), b"data: no end");
    assert_eq!(events.take_remainder(), None);
}

#[test]
fn an_event_without_end_does_not_exhaust_memory() {
    let mut events = Events::default();
    let half = vec![b'x'; MAX_PENDING_BYTES];
    assert_eq!(forwarded(&mut events, &half), b"");
    assert_eq!(forwarded(&mut events, b"y").len(), MAX_PENDING_BYTES + 1);
}

/// The events after `last`, as a back end that resumes the stream sends them.
fn resumed_after(last: Option<&Bytes>) -> Vec<u8> {
    let after: usize = last.map_or(0, |id| String::from_utf8_lossy(id).parse().unwrap());
    let mut rest = STREAM.to_vec();
    for _ in 0..after {
        let end = rest.windows(2).position(|pair| pair == EVENT_END).unwrap();
        rest.drain(..end + EVENT_END.len());
    }
    rest
}

proptest! {
    /// Whatever the sizes of the pieces and wherever the stream breaks off, the caller receives the whole stream in
    /// order.
    #[test]
    fn a_resumed_stream_is_complete(
        cut in 0..=STREAM.len(),
        pieces in prop::collection::vec(1_usize..20, 0..20),
    ) {
        let mut events = Events::default();
        let mut received = Vec::new();
        let mut left = &STREAM[..cut];
        for size in pieces {
            let (piece, rest) = left.split_at(size.min(left.len()));
            received.extend(forwarded(&mut events, piece));
            left = rest;
        }
        received.extend(forwarded(&mut events, left));
        events.discard_partial();
        let rest = resumed_after(events.last_id());
        received.extend(forwarded(&mut events, &rest));
        prop_assert_eq!(received, STREAM);
    }
}
