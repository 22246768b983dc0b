//! Tests of the ends of events.

use rstest::rstest;

use super::*;

/// Scans a stream byte by byte and returns whether it is inside an event.
fn is_inside(stream: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    for byte in stream {
        scanner.scan(&[*byte]);
    }
    scanner.is_inside_event()
}

#[rstest]
#[case::nothing("")]
#[case::line_feeds("id: 1\ndata: a\n\n")]
#[case::both_line_ends("id: 1\r\ndata: a\r\n\r\n")]
#[case::carriage_returns("id: 1\rdata: a\r\r")]
#[case::mixed_line_ends("id: 1\r\ndata: a\r\n\n")]
#[case::comment_after_the_last_event("data: a\n\n: alive\n")]
#[case::blank_lines_after_the_last_event("data: a\n\n\n\n")]
#[case::identifier_without_data("id: 1\n\n")]
#[case::byte_order_mark("\u{feff}data: a\n\n")]
fn a_stream_that_ends_between_events(#[case] stream: &str) {
    assert!(!is_inside(stream.as_bytes()));
}

#[rstest]
#[case::in_the_field_name("data: a\n\ni")]
#[case::in_the_identifier("data: a\n\nid: 1")]
#[case::after_a_line("data: a\n\nid: 1\n")]
#[case::between_the_line_ends("id: 1\r\ndata: a\r\n\r")]
#[case::in_the_last_line_end("id: 1\r\ndata: a\r")]
#[case::after_a_colon_in_a_field("data: a\n:\nid")]
#[case::in_a_comment("data: a\n\n: aliv")]
#[case::comment_inside_an_event("data: a\n: alive\n")]
fn a_stream_that_ends_inside_an_event(#[case] stream: &str) {
    assert!(is_inside(stream.as_bytes()));
}

#[rstest]
#[case::in_a_character(&"data: a\n\ndata: \u{20ac}".as_bytes()[..16])]
#[case::in_the_byte_order_mark(b"\xef\xbb")]
fn a_stream_that_ends_inside_a_character(#[case] stream: &[u8]) {
    assert!(is_inside(stream));
}

#[rstest]
#[case::one_event("data: a\n\n", 9)]
#[case::many_events("data: a\n\ndata: b\n\n", 18)]
#[case::an_event_and_a_part("data: a\n\ndata", 9)]
#[case::a_comment_between_events("data: a\n\n: alive\ndata", 17)]
#[case::both_line_ends("data: a\r\n\r\ndata: b\r\n", 11)]
#[case::a_part("data: a\n", 0)]
fn whole_events_are_counted_in_bytes(#[case] stream: &str, #[case] whole: usize) {
    assert_eq!(EventScanner::default().scan(stream.as_bytes()), whole);
}

#[test]
fn the_events_of_a_stream_do_not_depend_on_its_pieces() {
    let stream = "id: 1\r\ndata: a\r\n\r\n: alive\nid: 2\ndata: b\n\nid: 3\rdata: c\r\r";
    let whole = EventScanner::default().scan(stream.as_bytes());
    for cut in 0..=stream.len() {
        let mut scanner = EventScanner::default();
        let (first, second) = stream.as_bytes().split_at(cut);
        let (before, after) = (scanner.scan(first), scanner.scan(second));
        let ends_at = if after > 0 { cut + after } else { before };
        assert_eq!(ends_at, whole, "cut at {cut}");
    }
}

#[test]
fn an_event_is_known_once_its_blank_line_has_arrived() {
    let mut scanner = EventScanner::default();
    scanner.scan(b": alive\n\ndata: a\n");
    assert!(!scanner.has_event());
    scanner.scan(b"\n");
    assert!(scanner.has_event());
}

#[rstest]
#[case::data("data: a\n\n", 1)]
#[case::identifier("id: 1\n\n", 1)]
#[case::name_without_colon("data\n\n", 1)]
#[case::both_of_one_event("id: 1\ndata: a\ndata: b\n\n", 1)]
#[case::several_events("data: a\n\ndata: b\r\n\r\nid: 3\r\r", 3)]
#[case::comments(": data: a\n\n:\n\n", 0)]
#[case::other_fields("event: data\nretry: 1\nda: 1\ndatas: 1\nident: 1\n\n", 0)]
#[case::no_name(" id: 1\n\n", 0)]
#[case::an_open_event("data: a\n", 0)]
#[case::an_event_after_an_empty_one("event: a\n\ndata: b\n\n", 1)]
fn events_with_content_are_counted(#[case] stream: &str, #[case] count: u64) {
    for piece in [1, 3, stream.len()] {
        let mut scanner = EventScanner::default();
        for piece in stream.as_bytes().chunks(piece) {
            scanner.scan(piece);
        }
        assert_eq!(scanner.events_with_content(), count, "in pieces of {piece}");
    }
}
