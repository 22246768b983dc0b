//! Tests of the judgement of heads by their structure.

use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use rstest::rstest;

use super::{head_structure_fault, HeadStructureFault};

fn fault(status: u16, fields: &[(&'static str, &str)]) -> Option<HeadStructureFault> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name = HeaderName::from_static(name);
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    head_structure_fault(StatusCode::from_u16(status).unwrap(), &headers, None)
}

#[rstest]
#[case::success(200, None)]
#[case::last_status(599, None)]
#[case::beyond_all_classes(600, Some(HeadStructureFault::UnknownStatus))]
#[case::three_digits(999, Some(HeadStructureFault::UnknownStatus))]
#[case::upgrade(101, Some(HeadStructureFault::ProtocolSwitch))]
fn a_status_is_of_a_class(#[case] status: u16, #[case] expected: Option<HeadStructureFault>) {
    assert_eq!(fault(status, &[]), expected);
}

#[rstest]
#[case::none(&[], None)]
#[case::chunked(&["Chunked "], None)]
#[case::cut(&["chu"], Some(HeadStructureFault::UnknownTransferCoding))]
#[case::empty(&[""], Some(HeadStructureFault::UnknownTransferCoding))]
#[case::other(&["gzip"], Some(HeadStructureFault::UnknownTransferCoding))]
#[case::list(&["gzip, chunked"], Some(HeadStructureFault::UnknownTransferCoding))]
#[case::fields(&["gzip", "chunked"], Some(HeadStructureFault::UnknownTransferCoding))]
#[case::twice(&["chunked, chunked"], Some(HeadStructureFault::UnknownTransferCoding))]
fn a_body_has_no_transfer_coding_but_chunks(
    #[case] codings: &[&str],
    #[case] expected: Option<HeadStructureFault>,
) {
    let fields: Vec<_> = codings
        .iter()
        .map(|coding| ("transfer-encoding", *coding))
        .collect();
    for status in [200, 500] {
        assert_eq!(fault(status, &fields), expected);
    }
}

#[test]
fn a_body_has_one_framing() {
    let fields = [("transfer-encoding", "chunked"), ("content-length", "14")];
    for status in [200, 500] {
        let found = fault(status, &fields);
        assert_eq!(found, Some(HeadStructureFault::TwoFramings));
    }
}

#[rstest]
#[case::empty(204, &[], None)]
#[case::zero_length(204, &[("content-length", "0")], None)]
#[case::length(204, &[("content-length", "10")], Some(HeadStructureFault::UnexpectedContent))]
#[case::chunks(204, &[("transfer-encoding", "chunked")], Some(HeadStructureFault::UnexpectedContent))]
#[case::reset_and_zero_length(205, &[("content-length", "0")], None)]
#[case::reset_and_no_chunks(205, &[("transfer-encoding", "chunked")], None)]
#[case::reset_and_length(205, &[("content-length", "10")], Some(HeadStructureFault::UnexpectedContent))]
#[case::not_modified(304, &[("content-length", "10")], None)]
fn a_status_without_content_frames_none(
    #[case] status: u16,
    #[case] fields: &[(&'static str, &str)],
    #[case] expected: Option<HeadStructureFault>,
) {
    assert_eq!(fault(status, fields), expected);
}

#[rstest]
#[case::changed("content-lemgth", "10", true)]
#[case::first_changed("xontent-length", "10", true)]
#[case::last_changed("transfer-encodinx", "chunked", true)]
#[case::removed("content-lngth", "10", true)]
#[case::last_removed("content-lengt", "10", true)]
#[case::added("contentt-length", "10", true)]
#[case::added_before_the_same_byte("cnontent-length", "10", true)]
#[case::added_at_start("xcontent-length", "10", true)]
#[case::added_at_end("transfer-encodings", "chunked", true)]
#[case::swapped("transfer-encodign", "chunked", true)]
#[case::in_a_value("etag", "a Content-Length : 10", true)]
#[case::at_the_start_of_a_value("etag", "transfer-encoding:chunked", true)]
#[case::name_in_a_value("access-control-expose-headers", "Content-Length, ETag", false)]
#[case::two_edits("x-content-length", "10", false)]
#[case::similar_field("content-language", "en", false)]
#[case::other_field("content-encoding", "identity", false)]
fn a_head_without_framing_has_no_trace_of_one(
    #[case] name: &'static str,
    #[case] value: &str,
    #[case] is_corrupt: bool,
) {
    let expected = is_corrupt.then_some(HeadStructureFault::CorruptFraming);
    for status in [200, 500] {
        assert_eq!(fault(status, &[(name, value)]), expected);
        let framed = [(name, value), ("content-length", "10")];
        assert_eq!(fault(status, &framed), None);
    }
}

#[rstest]
#[case::whole_value("HTTP/1.1 500 Internal Server Error", true)]
#[case::end_of_value("text/plaHTTP/1.0 200", true)]
#[case::version_alone("HTTP/1.1", false)]
#[case::short_code("HTTP/1.1 20", false)]
#[case::other_text("HTTP/1.1 upgrade", false)]
fn a_head_has_one_status_line(#[case] text: &str, #[case] is_second: bool) {
    let expected = is_second.then_some(HeadStructureFault::TwoHeads);
    assert_eq!(fault(200, &[("etag", text)]), expected);
    let (ok, reason) = (StatusCode::OK, Some(text.as_bytes()));
    assert_eq!(
        head_structure_fault(ok, &HeaderMap::new(), reason),
        expected
    );
}
