use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use rstest::rstest;

use crate::{Request, Responder, Server, ServerParams};

const MAX_BODY_BYTES: u64 = 1_000;

fn echo(request: &mut Request<'_>, responder: Responder<'_>) {
    match request.read_body(MAX_BODY_BYTES) {
        Ok(body) if request.path() == "/stream" => {
            let mut stream = responder
                .start_stream(200, "text/plain")
                .expect("the peer is connected");
            for byte in body {
                stream.write_all(&[byte]).expect("the peer is connected");
                stream.flush().expect("the peer is connected");
            }
            stream.finish();
        }
        Ok(body) if request.path() == "/abandoned" => {
            let mut stream = responder
                .start_stream(200, "text/plain")
                .expect("the peer is connected");
            stream.write_all(&body).expect("the peer is connected");
            stream.flush().expect("the peer is connected");
        }
        Ok(body) if request.path() == "/panic" => {
            let mut stream = responder
                .start_stream(200, "text/plain")
                .expect("the peer is connected");
            stream.write_all(&body).expect("the peer is connected");
            panic!("while a stream is open");
        }
        Ok(body) => {
            responder.send(200, "text/plain", &body);
        }
        Err(error) => {
            responder.refuse(&error);
        }
    }
}

fn start(params: ServerParams) -> Server {
    let listen = "127.0.0.1:0".parse().expect("an address");
    Server::start(listen, params, echo).expect("a free port")
}

fn params() -> ServerParams {
    ServerParams {
        max_head_bytes: 2_048,
        read_timeout: Duration::from_millis(200),
        ..ServerParams::default()
    }
}

fn connect(server: &Server) -> TcpStream {
    TcpStream::connect(server.address()).expect("the server listens")
}

/// Sends bytes, closes the sending half, and returns the whole answer.
fn exchange(server: &Server, bytes: &[u8]) -> String {
    let mut stream = connect(server);
    // The server may refuse the request before it has read all bytes.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_half_closed_caller_still_gets_its_answer() {
    let server = start(params());
    let answer = exchange(&server, b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi");
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.ends_with("hi"), "{answer}");
}

#[test]
fn a_connection_carries_several_requests() {
    let server = start(params());
    let one = b"POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\na";
    let two = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n";
    let answer = exchange(&server, &[&one[..], &two[..], &one[..]].concat());
    assert_eq!(answer.matches("200 OK").count(), 3, "{answer}");
}

#[test]
fn each_flush_of_a_stream_is_a_chunk_of_its_own() {
    let server = start(params());
    let answer = exchange(
        &server,
        b"POST /stream HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi",
    );
    assert!(
        answer.ends_with("1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"),
        "{answer}"
    );
}

#[rstest]
#[case::not_http(b"hello\r\n\r\n".to_vec(), "400", "bad_request")]
#[case::two_lengths(
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec(),
    "400",
    "bad_request"
)]
#[case::length_and_chunks(
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
    "400",
    "bad_request"
)]
#[case::short_body(
    b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nab".to_vec(),
    "400",
    "bad_request"
)]
#[case::large_body(
    b"POST / HTTP/1.1\r\ncontent-length: 1001\r\n\r\n".to_vec(),
    "413",
    "too_large"
)]
#[case::large_chunks(large_chunks(), "413", "too_large")]
#[case::header_flood(header_flood(), "431", "headers_too_large")]
#[case::many_headers(many_headers(), "431", "headers_too_large")]
fn a_malformed_or_oversized_request_is_refused(
    #[case] bytes: Vec<u8>,
    #[case] status: &str,
    #[case] code: &str,
) {
    let server = start(params());
    let answer = exchange(&server, &bytes);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(code), "{answer}");
    assert!(
        answer.contains("x-drumshore-execution: not_run"),
        "{answer}"
    );
    let next = exchange(&server, b"POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\na");
    assert!(next.ends_with('a'), "the server still answers: {next}");
}

fn large_chunks() -> Vec<u8> {
    let mut bytes = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..3 {
        bytes.extend_from_slice(b"200\r\n");
        bytes.extend_from_slice(&[b'x'; 0x200]);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn header_flood() -> Vec<u8> {
    let mut bytes = b"GET / HTTP/1.1\r\nx: ".to_vec();
    bytes.extend_from_slice(&[b'y'; 4_096]);
    bytes
}

fn many_headers() -> Vec<u8> {
    let mut bytes = b"GET / HTTP/1.1\r\n".to_vec();
    for _ in 0..100 {
        bytes.extend_from_slice(b"x: y\r\n");
    }
    bytes
}

#[rstest]
#[case::head(b"POST / HTTP/1.1\r\ncontent-".to_vec())]
#[case::body(b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\na".to_vec())]
fn a_slow_sender_is_refused_after_the_read_timeout(#[case] bytes: Vec<u8>) {
    let server = start(params());
    let mut stream = connect(&server);
    stream
        .write_all(&bytes)
        .expect("the bytes fit the socket buffer");
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow_sender"), "{answer}");
}

#[test]
fn connections_above_the_limit_are_refused_and_the_others_served() {
    let server = start(ServerParams {
        max_connections: 2,
        read_timeout: Duration::from_secs(60),
        ..params()
    });
    let mut served = [connect(&server), connect(&server)];
    let answer = exchange(&server, b"GET / HTTP/1.1\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("overloaded"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    for stream in &mut served {
        stream
            .write_all(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
            .expect("the connection is served");
        assert!(read_all(stream).starts_with("HTTP/1.1 200"));
    }
}

#[rstest]
#[case::abandoned("/abandoned")]
#[case::panic("/panic")]
fn a_stream_that_is_not_finished_has_no_last_chunk(#[case] path: &str) {
    let server = start(params());
    let request = format!("POST {path} HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi");
    let answer = exchange(
        &server,
        [request.as_bytes(), request.as_bytes()].concat().as_slice(),
    );
    assert_eq!(answer.matches("200 OK").count(), 1, "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}
