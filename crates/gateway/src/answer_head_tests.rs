//! Tests of the judgement of heads.

use hyper::ext::ReasonPhrase;
use hyper::header::HeaderName;
use hyper::Response;
use rstest::rstest;

use super::{HeadFault, VerdictFields};

const PROOF: HeaderName = HeaderName::from_static("proof");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");

fn fault(proof: Option<&HeaderName>, response: &Response<()>) -> Option<HeadFault> {
    let not_run = &NOT_RUN;
    super::fault(&VerdictFields { proof, not_run }, response)
}

fn response(status: u16, fields: &[(&str, &str)]) -> Response<()> {
    let builder = Response::builder().status(status);
    let builder = fields.iter().fold(builder, |builder, (name, value)| {
        builder.header(*name, *value)
    });
    builder.body(()).unwrap()
}

#[rstest]
#[case::proven(200, &[("proof", "p")], None)]
#[case::missing(200, &[("etag", "p")], Some(HeadFault::Unproven))]
#[case::empty(200, &[("proof", "")], Some(HeadFault::Unproven))]
#[case::repeated(200, &[("proof", "p"), ("proof", "p")], Some(HeadFault::Unproven))]
#[case::without_body(204, &[], Some(HeadFault::Unproven))]
#[case::failure(500, &[], None)]
#[case::promise(503, &[], Some(HeadFault::Unproven))]
#[case::proven_promise(503, &[("proof", "p")], None)]
#[case::redirection(304, &[], None)]
#[case::last_status(599, &[], None)]
#[case::beyond_all_classes(600, &[("proof", "p")], Some(HeadFault::UnknownStatus))]
#[case::three_digits(999, &[("proof", "p")], Some(HeadFault::UnknownStatus))]
#[case::upgrade(101, &[("proof", "p")], Some(HeadFault::ProtocolSwitch))]
fn an_answer_that_callers_rely_on_needs_one_proof(
    #[case] status: u16,
    #[case] fields: &[(&'static str, &str)],
    #[case] expected: Option<HeadFault>,
) {
    assert_eq!(fault(Some(&PROOF), &response(status, fields)), expected);
}

#[rstest]
#[case::busy(503, None)]
#[case::over_limit(429, None)]
#[case::misdirected(421, None)]
#[case::invalid(400, None)]
#[case::success(200, Some(HeadFault::ContradictoryRejection))]
#[case::failure(500, Some(HeadFault::ContradictoryRejection))]
#[case::time_out(504, Some(HeadFault::ContradictoryRejection))]
fn a_rejection_needs_no_proof_but_a_status_that_rejects(
    #[case] status: u16,
    #[case] expected: Option<HeadFault>,
) {
    let rejection = response(status, &[("not-run", "1")]);
    assert_eq!(fault(Some(&PROOF), &rejection), expected);
    let proven = response(status, &[("not-run", "1"), ("proof", "p")]);
    assert_eq!(fault(Some(&PROOF), &proven), expected);
}

#[rstest]
#[case::none(&[], None)]
#[case::chunked(&["Chunked "], None)]
#[case::cut(&["chu"], Some(HeadFault::UnknownTransferCoding))]
#[case::empty(&[""], Some(HeadFault::UnknownTransferCoding))]
#[case::other(&["gzip"], Some(HeadFault::UnknownTransferCoding))]
#[case::list(&["gzip, chunked"], Some(HeadFault::UnknownTransferCoding))]
#[case::fields(&["gzip", "chunked"], Some(HeadFault::UnknownTransferCoding))]
#[case::twice(&["chunked, chunked"], Some(HeadFault::UnknownTransferCoding))]
fn a_body_has_no_transfer_coding_but_chunks(
    #[case] codings: &[&str],
    #[case] expected: Option<HeadFault>,
) {
    let fields: Vec<_> = codings
        .iter()
        .map(|coding| ("transfer-encoding", *coding))
        .collect();
    for status in [200, 500] {
        assert_eq!(fault(None, &response(status, &fields)), expected);
    }
}

#[test]
fn a_body_has_one_framing() {
    let fields = [("transfer-encoding", "chunked"), ("content-length", "14")];
    for status in [200, 500] {
        let found = fault(None, &response(status, &fields));
        assert_eq!(found, Some(HeadFault::TwoFramings));
    }
}

#[rstest]
#[case::empty(204, &[], None)]
#[case::zero_length(204, &[("content-length", "0")], None)]
#[case::length(204, &[("content-length", "10")], Some(HeadFault::UnexpectedContent))]
#[case::chunks(204, &[("transfer-encoding", "chunked")], Some(HeadFault::UnexpectedContent))]
#[case::reset_and_zero_length(205, &[("content-length", "0")], None)]
#[case::reset_and_no_chunks(205, &[("transfer-encoding", "chunked")], None)]
#[case::reset_and_length(205, &[("content-length", "10")], Some(HeadFault::UnexpectedContent))]
#[case::not_modified(304, &[("content-length", "10")], None)]
fn a_status_without_content_frames_none(
    #[case] status: u16,
    #[case] fields: &[(&str, &str)],
    #[case] expected: Option<HeadFault>,
) {
    assert_eq!(fault(None, &response(status, fields)), expected);
}

#[rstest]
#[case::changed("content-lemgth", "10", true)]
#[case::first_changed("xontent-length", "10", true)]
#[case::last_changed("transfer-encodinx", "chunked", true)]
#[case::removed("content-lngth", "10", true)]
#[case::last_removed("content-lengt", "10", true)]
#[case::added("contentt-length", "10", true)]
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
    let expected = is_corrupt.then_some(HeadFault::CorruptFraming);
    for status in [200, 500] {
        assert_eq!(fault(None, &response(status, &[(name, value)])), expected);
        let framed = [(name, value), ("content-length", "10")];
        assert_eq!(fault(None, &response(status, &framed)), None);
    }
}

#[rstest]
#[case::whole_value("HTTP/1.1 500 Internal Server Error", true)]
#[case::end_of_value("text/plaHTTP/1.0 200", true)]
#[case::version_alone("HTTP/1.1", false)]
#[case::short_code("HTTP/1.1 20", false)]
#[case::other_text("HTTP/1.1 upgrade", false)]
fn a_head_has_one_status_line(#[case] text: &str, #[case] is_second: bool) {
    let expected = is_second.then_some(HeadFault::TwoHeads);
    assert_eq!(fault(None, &response(200, &[("etag", text)])), expected);
    let mut with_reason = response(200, &[]);
    let reason = ReasonPhrase::try_from(text.as_bytes()).unwrap();
    with_reason.extensions_mut().insert(reason);
    assert_eq!(fault(None, &with_reason), expected);
}

#[test]
fn a_success_needs_no_proof_where_back_ends_give_none() {
    assert_eq!(fault(None, &response(200, &[])), None);
}
