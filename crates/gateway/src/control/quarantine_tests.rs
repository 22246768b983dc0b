//! Which requests at the metrics address are about the quarantine.

use rstest::rstest;

use super::*;

#[rstest]
#[case::list(Method::GET, "/quarantine", Some(QuarantineCall::List))]
#[case::figures(Method::GET, "/metrics", None)]
#[case::another_path(Method::GET, "/quarantines", None)]
#[case::nothing_is_added(Method::PUT, "/quarantine/0123456789ab", None)]
#[case::too_short(
    Method::DELETE,
    "/quarantine/0123",
    Some(QuarantineCall::Release(None))
)]
#[case::no_hex(
    Method::DELETE,
    "/quarantine/not-an-identifier",
    Some(QuarantineCall::Release(None))
)]
#[case::as_logs_show_it(
    Method::DELETE,
    "/quarantine/0123456789ab",
    Some(QuarantineCall::Release(FingerprintPrefix::parse("0123456789ab")))
)]
fn a_call_is_read(
    #[case] method: Method,
    #[case] path: &str,
    #[case] expected: Option<QuarantineCall>,
) {
    assert_eq!(call_of(&method, path), expected);
}
