//! Tests of what routers take for an answer of an engine.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use drumshore_core::{EngineName, Incarnation, Priority, RequestId, WeightsVersion};
use drumshore_router::{Assignment, UpstreamEnd};
use drumshore_routing::PrefixRoot;
use rstest::rstest;

use super::Upstream;

const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An engine that answers one call with these bytes.
fn start_engine(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        while lines.next().is_some_and(|line| !line.unwrap().is_empty()) {}
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn assignment(address: String) -> Assignment {
    Assignment {
        request: RequestId {
            router: 0,
            sequence: 1,
        },
        attempt: 1,
        engine: EngineName::new("engine"),
        address,
        incarnation: Incarnation(1),
        weights_version: WeightsVersion(1),
        cache_salt: PrefixRoot::from_u64(1),
        priority: Priority::Standard,
        idempotency_key: None,
    }
}

/// The status of the answer with this head, if it is taken for one.
fn status(head: &str) -> Result<u16, UpstreamEnd> {
    let address = start_engine(format!("{head}\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n"));
    let answer = Upstream::new(STALL_TIMEOUT).resume(&assignment(address), None);
    answer.map(|(head, _)| head.status)
}

#[rstest]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 4")]
#[case::no_framing("HTTP/1.1 200 OK")]
fn a_sound_head_is_that_of_an_answer(#[case] head: &str) {
    assert_eq!(status(head), Ok(200));
}

#[rstest]
#[case::status_000("HTTP/1.1 000 OK\r\nContent-Length: 4")]
#[case::status_700("HTTP/1.1 700 OK\r\nContent-Length: 4")]
#[case::blank_in_name("HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 4")]
#[case::control_byte_in_name("HTTP/1.1 200 OK\r\nX\x01Note: a\r\nContent-Length: 4")]
#[case::no_colon("HTTP/1.1 200 OK\r\nX-Note a\r\nContent-Length: 4")]
#[case::no_length("HTTP/1.1 200 OK\r\nContent-Length: ")]
#[case::letter_in_length("HTTP/1.1 200 OK\r\nContent-Length: 4a")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5")]
#[case::two_framings("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4")]
#[case::misspelled_coding("HTTP/1.1 200 OK\r\nTransfer-Encodimg: chunked")]
#[case::misspelled_length("HTTP/1.1 200 OK\r\nContent-Lngth: 4")]
#[case::unknown_coding("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip")]
#[case::rejection_inside(
    "HTTP/1.1 500 Error\r\nX-Note: HTTP/1.1 429 Too Many\r\nX-Drumshore-Execution: not_run\r\nContent-Length: 4"
)]
fn a_malformed_head_is_that_of_no_answer(#[case] head: &str) {
    assert_eq!(status(head), Err(UpstreamEnd::Ended));
}
