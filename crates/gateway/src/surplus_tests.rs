//! Tests of what follows an answer.

use std::time::Duration;

use rstest::rstest;
use tokio::runtime::Builder;

use super::Surplus;

/// Longer than any test takes.
const LONG: Duration = Duration::from_secs(60);

fn run<F: std::future::Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_time().build();
    runtime.unwrap().block_on(future)
}

#[rstest]
#[case::nothing(b"", false)]
#[case::another_answer(b"HTTP/1.1 503 Service Unavailable\r\n", false)]
#[case::start_of_another_answer(b"HT", false)]
#[case::rest_of_a_body(b"swer", true)]
#[case::line_end(b"\r\n", true)]
#[case::similar_start(b"HTTPS", true)]
fn bytes_that_begin_no_answer_are_the_rest_of_a_body(
    #[case] bytes: &[u8],
    #[case] is_content: bool,
) {
    let arrived = Surplus::default();
    run(arrived.read(bytes, &b""[..]));
    assert_eq!(arrived.is_content(), is_content);
    let arriving = Surplus::default();
    run(arriving.read(b"", bytes));
    assert_eq!(arriving.is_content(), is_content);
    assert_eq!(run(arriving.becomes_content(LONG)), is_content);
}

#[test]
fn bytes_that_arrive_while_they_are_waited_for_are_found() {
    let surplus = Surplus::default();
    assert!(!surplus.is_content());
    let is_content = run(async {
        let reading = surplus.read(b"", &b"rest"[..]);
        tokio::join!(surplus.becomes_content(LONG), reading).0
    });
    assert!(is_content);
}

#[test]
fn nothing_follows_an_open_connection_without_bytes() {
    let surplus = Surplus::default();
    assert!(!run(surplus.becomes_content(Duration::from_millis(1))));
}
