//! Tests of the classification of errors, with those that real connections end with.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use nix::errno::Errno;
use rstest::rstest;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use super::*;
use crate::sockets;

/// More than the buffers of both sides hold.
const UNREAD_BYTES: usize = 64 << 20;

/// How a back end ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// A back end that answers one request with these bytes and ends the connection.
async fn answer_and_end(listener: TcpListener, answer: &'static [u8], end: End) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    stream.write_all(answer).await.unwrap();
    // Lets the answer be read before the reset, which discards what waits.
    tokio::time::sleep(Duration::from_millis(20)).await;
    if let End::Reset = end {
        let linger = Some(Duration::ZERO);
        SockRef::from(&stream).set_linger(linger).unwrap();
    }
}

/// The error of reading that answer.
async fn error_of(answer: &'static [u8], end: End) -> hyper::Error {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(answer_and_end(listener, answer, end));
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.unwrap();
    tokio::task::spawn_local(connection);
    let request = Request::new(Full::new(Bytes::new()));
    match sender.send_request(request).await {
        Ok(response) => response.into_body().collect().await.unwrap_err(),
        Err(error) => error,
    }
}

#[rstest]
#[case::inside_a_body(
    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
    End::Close,
    ConnectionError::Closed
)]
#[case::inside_a_chunk(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab",
    End::Close,
    ConnectionError::Closed
)]
#[case::between_chunks(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    End::Close,
    ConnectionError::Closed
)]
#[case::before_the_head(b"", End::Close, ConnectionError::Closed)]
#[case::inside_the_head(b"HTTP/1.1 200 O", End::Close, ConnectionError::Closed)]
#[case::reset_inside_a_body(
    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
    End::Reset,
    ConnectionError::Reset
)]
#[case::reset_before_the_head(b"", End::Reset, ConnectionError::Reset)]
#[case::no_http(b"220 mail.example\r\n\r\n", End::Close, ConnectionError::Malformed)]
#[case::no_chunk_size(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    End::Close,
    ConnectionError::Malformed
)]
fn the_end_of_a_connection_is_classified(
    #[case] answer: &'static [u8],
    #[case] end: End,
    #[case] expected: ConnectionError,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let error = LocalSet::new().block_on(&runtime, error_of(answer, end));
    assert_eq!(ConnectionError::of(&error), expected, "{error:?}");
    let wrapped = io::Error::other(error);
    assert_eq!(ConnectionError::of(&wrapped), expected, "{wrapped:?}");
}

#[rstest]
#[case::unacknowledged(Errno::ETIMEDOUT, ConnectionError::Unacknowledged)]
#[case::reset(Errno::ECONNRESET, ConnectionError::Reset)]
#[case::write_after_reset(Errno::EPIPE, ConnectionError::Reset)]
#[case::no_route(Errno::EHOSTUNREACH, ConnectionError::NoRoute)]
#[case::other(Errno::EMFILE, ConnectionError::Unknown)]
fn errors_of_the_kernel_are_classified(#[case] code: Errno, #[case] expected: ConnectionError) {
    let error = io::Error::from_raw_os_error(code as i32);
    assert_eq!(ConnectionError::of(&error), expected);
}

/// The kernel reports a peer that takes no data as one that acknowledges none.
#[test]
fn a_connection_that_the_kernel_ends_is_classified() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let error = LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        sockets::enable_dead_peer_detection(&stream).unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::task::spawn_local(connection);
        let body = Full::new(Bytes::from(vec![0; UNREAD_BYTES]));
        sender.send_request(Request::new(body)).await.unwrap_err()
    });
    let reason = ConnectionError::of(&error);
    assert_eq!(reason, ConnectionError::Unacknowledged, "{error:?}");
}

#[test]
fn a_timer_of_this_process_is_not_taken_for_the_kernel() {
    let error = io::Error::from(io::ErrorKind::TimedOut);
    assert_eq!(ConnectionError::of(&error), ConnectionError::Unknown);
}
