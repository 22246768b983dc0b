//! Tests that a stream that breaks and is resumed elsewhere reaches the caller without a gap or a repeated event.

use proptest::prelude::*;
use rstest::rstest;

use super::super::event_scanner::EventScanner;
use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nversion:3\nid:3\ndata: c\n\n";

/// A stream as it arrives, and what of it is forwarded.
#[derive(Default)]
struct Stream {
    events: Events,
    scanner: EventScanner,
}

impl Stream {
    fn forwarded(&mut self, bytes: &[u8]) -> Vec<u8> {
        let whole = self.scanner.scan(bytes);
        let forwarded = self.events.push(Bytes::copy_from_slice(bytes), whole);
        forwarded.map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    fn break_off(&mut self) {
        self.events.discard_partial();
        self.scanner.discard_partial_event();
    }

    fn last_id(&self) -> Option<String> {
        let id = self.events.last_id();
        id.map(|id| String::from_utf8_lossy(id).into_owned())
    }
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
    let mut stream = Stream::default();
    assert_eq!(stream.forwarded(&STREAM[..cut]), expected);
    assert_eq!(stream.last_id().as_deref(), last);
}

#[test]
fn an_event_without_end_does_not_exhaust_memory() {
    let mut stream = Stream::default();
    let half = vec![b'x'; MAX_PENDING_BYTES];
    assert_eq!(stream.forwarded(&half), b"");
    assert_eq!(stream.forwarded(b"y").len(), MAX_PENDING_BYTES + 1);
}

#[test]
fn a_stream_is_not_resumed_once_a_part_of_an_event_was_forwarded() {
    let mut stream = Stream::default();
    stream.forwarded(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    assert!(stream.events.allow_resuming());
    stream.forwarded(&vec![b'x'; MAX_PENDING_BYTES]);
    assert!(!stream.events.allow_resuming());
    assert_eq!(stream.forwarded(b"x\n\nid: 3"), b"x\n\nid: 3");
    assert_eq!(stream.last_id().as_deref(), Some("1"));
}

#[rstest]
#[case::both_line_ends("\r\n")]
#[case::carriage_returns("\r")]
fn events_are_forwarded_as_they_end_whatever_their_line_ends(#[case] line_end: &str) {
    let mut stream = Stream::default();
    for number in ["1", "2"] {
        let event = format!("id: {number}{line_end}data: a{line_end}{line_end}");
        assert_eq!(stream.forwarded(event.as_bytes()), event.as_bytes());
        assert_eq!(stream.last_id().as_deref(), Some(number));
    }
}

/// The events after `last`, as a back end that resumes the stream sends them.
fn resumed_after(last: Option<String>) -> Vec<u8> {
    let after: usize = last.map_or(0, |id| id.parse().unwrap());
    let mut rest = STREAM.to_vec();
    for _ in 0..after {
        let end = rest.windows(2).position(|pair| pair == b"\n\n").unwrap();
        rest.drain(..end + 2);
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
        let mut stream = Stream::default();
        let mut received = Vec::new();
        let mut left = &STREAM[..cut];
        for size in pieces {
            let (piece, rest) = left.split_at(size.min(left.len()));
            received.extend(stream.forwarded(piece));
            left = rest;
        }
        received.extend(stream.forwarded(left));
        stream.break_off();
        let rest = resumed_after(stream.last_id());
        received.extend(stream.forwarded(&rest));
        prop_assert_eq!(received, STREAM);
    }
}
