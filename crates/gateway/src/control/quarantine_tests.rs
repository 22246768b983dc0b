//! Tests of which requests at the metrics address are calls about the quarantine.

use rstest::rstest;

use super::*;

#[rstest]
#[case::list(Method::GET, "/quarantine", Some(QuarantineCall::List))]
#[case::metrics(Method::GET, "/metrics", None)]
#[case::another_path(Method::GET, "/quarantines", None)]
#[case::unsupported_method(Method::PUT, "/quarantine/0123456789ab", None)]
#[case::too_short(
    Method::DELETE,
    "/quarantine/0123",
    Some(QuarantineCall::Release(None))
)]
#[case::not_hexadecimal(
    Method::DELETE,
    "/quarantine/not-an-identifier",
    Some(QuarantineCall::Release(None))
)]
#[case::prefix_as_logged(
    Method::DELETE,
    "/quarantine/0123456789ab",
    Some(QuarantineCall::Release(FingerprintPrefix::parse("0123456789ab")))
)]
fn a_request_maps_to_a_call(
    #[case] method: Method,
    #[case] path: &str,
    #[case] expected: Option<QuarantineCall>,
) {
    assert_eq!(call_of(&method, path), expected);
}
