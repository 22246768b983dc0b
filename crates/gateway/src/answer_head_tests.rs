//! Tests of the judgement of heads.

use drumshore_http::HeadStructureFault;
use hyper::ext::ReasonPhrase;
use hyper::header::HeaderName;
use hyper::Response;
use rstest::rstest;

use super::{HeadFault, VerdictFields};

const REQUEST: HeaderName = HeaderName::from_static("request");
const PROOF: HeaderName = HeaderName::from_static("proof");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");

fn fault(proof: Option<&HeaderName>, response: &Response<()>) -> Option<HeadFault> {
    let fields = VerdictFields {
        request: &REQUEST,
        proof,
        not_run: &NOT_RUN,
    };
    super::fault(&fields, response)
}

fn response(status: u16, fields: &[(&str, &str)]) -> Response<()> {
    let builder = Response::builder().status(status);
    let builder = fields.iter().fold(builder, |builder, (name, value)| {
        builder.header(*name, *value)
    });
    builder.body(()).unwrap()
}

#[rstest]
#[case::one(&["a"], None)]
#[case::repeated(&["a", "a"], None)]
#[case::two(&["a", "b"], Some(HeadFault::ContradictoryRequest))]
#[case::two_after_a_repetition(&["a", "a", "b"], Some(HeadFault::ContradictoryRequest))]
fn an_answer_names_one_request(
    #[case] requests: &[&'static str],
    #[case] expected: Option<HeadFault>,
) {
    let requests = requests.iter().map(|id| ("request", *id));
    let fields: Vec<_> = requests.chain([("proof", "p")]).collect();
    assert_eq!(fault(Some(&PROOF), &response(200, &fields)), expected);
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
#[case::upgrade(101, &[("proof", "p")], Some(HeadFault::Structure(HeadStructureFault::ProtocolSwitch)))]
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

#[test]
fn a_success_needs_no_proof_where_back_ends_give_none() {
    assert_eq!(fault(None, &response(200, &[])), None);
}

#[test]
fn a_status_line_in_the_reason_phrase_is_another_head() {
    let mut answer = response(200, &[("proof", "p")]);
    let reason = ReasonPhrase::from_static(b"OHTTP/1.1 503 Service Unavailable");
    answer.extensions_mut().insert(reason);
    let expected = HeadFault::Structure(HeadStructureFault::TwoHeads);
    assert_eq!(fault(Some(&PROOF), &answer), Some(expected));
}
