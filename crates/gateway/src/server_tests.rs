//! Tests of the limit on connections.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use hyper::StatusCode;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

use super::*;
use crate::answer;
use crate::body_reception::STALL_TIMEOUT;
use crate::open_connections::HeadLimits;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn params(max_connections: usize, when_full: WhenFull) -> ServerParams {
    ServerParams {
        idle_timeout: Duration::from_secs(60),
        max_connections,
        when_full,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn server_with_one_slot(when_full: WhenFull) -> SocketAddr {
    let (listener, address) = listen().await;
    let params = params(1, when_full);
    let answering = serve(listener, params, |_: Request<CallerBody>| async {
        Ok(answer::plain(StatusCode::OK, ""))
    });
    tokio::task::spawn_local(answering);
    address
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

/// Sends a request and returns how many bytes of the answer were read; 0 when the connection is closed instead.
async fn ask(stream: &mut TcpStream) -> usize {
    if stream.write_all(REQUEST).await.is_err() {
        return 0;
    }
    let mut answer = [0; 256];
    stream.read(&mut answer).await.unwrap_or(0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

#[test]
fn a_full_server_closes_further_connections_and_keeps_open_ones() {
    run(async {
        let address = server_with_one_slot(WhenFull::Close).await;
        let mut first = connect(address).await;
        assert!(ask(&mut first).await > 0);
        let mut second = connect(address).await;
        assert_eq!(ask(&mut second).await, 0);
        assert!(
            ask(&mut first).await > 0,
            "the first connection must stay open"
        );
    });
}

/// Guards against a router that reports that it is ready while it has no free slots.
#[test]
fn all_slots_are_occupied_until_connections_end() {
    run(async {
        let (listener, address) = listen().await;
        let params = params(2, WhenFull::Wait);
        let connections = Connections::new(params.max_connections);
        let answering = serve_until_closed(
            listener,
            params,
            connections.clone(),
            |_: Request<CallerBody>| async { Ok(answer::plain(StatusCode::OK, "")) },
        );
        tokio::task::spawn_local(answering);
        assert!(!connections.all_occupied());
        let mut first = connect(address).await;
        assert!(ask(&mut first).await > 0);
        let mut second = connect(address).await;
        assert!(ask(&mut second).await > 0);
        assert!(connections.all_occupied());
        drop((first, second));
        while connections.all_occupied() {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn a_full_server_lets_further_connections_wait_for_a_slot() {
    run(async {
        let address = server_with_one_slot(WhenFull::Wait).await;
        let mut first = connect(address).await;
        assert!(ask(&mut first).await > 0);
        let mut second = connect(address).await;
        drop(first);
        assert!(ask(&mut second).await > 0);
    });
}

#[rstest]
#[case::silent("")]
#[case::inside_a_head("GET / HTTP/1.1\r\nHost:")]
fn a_connection_without_a_request_gives_way_while_all_slots_are_in_use(
    #[case] sent: &'static str,
    #[values(WhenFull::Wait, WhenFull::Close)] when_full: WhenFull,
) {
    run(async move {
        let address = server_with_one_slot(when_full).await;
        let mut first = connect(address).await;
        first.write_all(sent.as_bytes()).await.unwrap();
        let mut answered = 0;
        while answered == 0 {
            answered = ask(&mut connect(address).await).await;
        }
        assert_eq!(first.read(&mut [0]).await.unwrap_or(0), 0);
    });
}

#[test]
fn a_connection_that_is_idle_after_an_answer_gives_way_while_all_slots_are_in_use() {
    run(async {
        let address = server_with_one_slot(WhenFull::Wait).await;
        let mut first = connect(address).await;
        assert!(ask(&mut first).await > 0);
        let mut second = connect(address).await;
        assert!(ask(&mut second).await > 0);
        assert_eq!(ask(&mut first).await, 0);
    });
}

#[test]
fn a_connection_whose_request_is_being_answered_gives_way_to_none() {
    run(async {
        let (listener, address) = listen().await;
        let params = params(1, WhenFull::Wait);
        let answering = serve(listener, params, |_: Request<CallerBody>| async {
            tokio::time::sleep(2 * STALL_TIMEOUT).await;
            Ok(answer::plain(StatusCode::OK, ""))
        });
        tokio::task::spawn_local(answering);
        let mut first = connect(address).await;
        let mut second = connect(address).await;
        let (first, second) = tokio::join!(ask(&mut first), ask(&mut second));
        assert!(first > 0 && second > 0);
    });
}

/// Starts a server that answers each request with so many bytes, after a delay.
async fn server_to_close(bytes: usize, delay: Duration) -> (SocketAddr, Connections) {
    let (listener, address) = listen().await;
    let params = params(8, WhenFull::Wait);
    let connections = Connections::new(params.max_connections);
    let answering = serve_until_closed(
        listener,
        params,
        connections.clone(),
        move |_: Request<CallerBody>| async move {
            tokio::time::sleep(delay).await;
            Ok(answer::plain(StatusCode::OK, vec![b'x'; bytes]))
        },
    );
    tokio::task::spawn_local(answering);
    (address, connections)
}

async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    received
}

/// Guards against a process that exits before what it has written has been sent.
#[test]
fn a_connection_is_open_until_its_caller_has_the_whole_answer() {
    const BYTES: usize = 32 << 20;
    run(async {
        let (address, connections) = server_to_close(BYTES, Duration::from_millis(20)).await;
        let mut idle = connect(address).await;
        let mut slow = connect(address).await;
        slow.write_all(REQUEST).await.unwrap();
        while connections.count() < 2 {
            tokio::task::yield_now().await;
        }
        connections.close();
        assert_eq!(read_to_end(&mut idle).await, b"");
        drop(idle);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(connections.count(), 1);
        assert!(read_to_end(&mut slow).await.len() > BYTES);
        while connections.count() > 0 {
            tokio::task::yield_now().await;
        }
        assert!(TcpStream::connect(address).await.is_err());
    });
}

/// Guards against a caller of HTTP/1.0 that takes a cut answer for a whole one.
#[test]
fn a_connection_that_is_cut_inside_an_answer_is_reset_for_callers_without_chunks() {
    run(async {
        let (address, connections) = server_to_close(32 << 20, Duration::ZERO).await;
        let mut stream = connect(address).await;
        stream.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
        connections.close();
        connections.cut();
        let mut received = Vec::new();
        assert!(stream.read_to_end(&mut received).await.is_err());
    });
}

/// Guards against an end that waits for callers that keep connections open after the last answer.
#[test]
fn a_connection_that_its_caller_leaves_open_is_closed_after_a_time() {
    run(async {
        let (address, connections) = server_to_close(1, Duration::ZERO).await;
        let mut caller = connect(address).await;
        assert!(ask(&mut caller).await > 0);
        connections.close();
        assert_eq!(read_to_end(&mut caller).await, b"");
        while connections.count() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against requests that are handled although their connection is closed before the answer.
#[test]
fn a_request_that_arrives_while_connections_are_closed_is_answered_or_not_read() {
    run(async {
        // What is polled first in a turn of the event loop varies.
        for turns in (0..4).cycle().take(200) {
            let (listener, address) = listen().await;
            let params = params(8, WhenFull::Wait);
            let connections = Connections::new(params.max_connections);
            let handled = Rc::new(Cell::new(0));
            let counted = Rc::clone(&handled);
            let answering = serve_until_closed(
                listener,
                params,
                connections.clone(),
                move |_: Request<CallerBody>| {
                    counted.set(counted.get() + 1);
                    async {
                        tokio::time::sleep(Duration::from_millis(2)).await;
                        Ok(answer::plain(StatusCode::OK, ""))
                    }
                },
            );
            tokio::task::spawn_local(answering);
            tokio::task::yield_now().await;
            let mut caller = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut caller, REQUEST).unwrap();
            let caller = std::thread::spawn(move || {
                let mut answer = [0; 256];
                std::io::Read::read(&mut caller, &mut answer).is_ok_and(|bytes| bytes > 0)
            });
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            connections.close();
            while connections.count() > 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            connections.cut();
            while !caller.is_finished() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let is_answered = caller.join().unwrap();
            assert_eq!(handled.get() > 0, is_answered, "closed after {turns} turns");
        }
    });
}

/// Starts a server with these limits of heads, which answers before it reads the bodies of requests.
async fn server_with_head_limits(limits: HeadLimits) -> SocketAddr {
    let (listener, address) = listen().await;
    let params = params(8, WhenFull::Wait);
    let connections = Connections::new(params.max_connections);
    connections.set_head_limits(limits);
    let answering = serve_until_closed(
        listener,
        params,
        connections,
        |request: Request<CallerBody>| async {
            let mut body = request.into_body();
            tokio::task::spawn_local(async move { while body.frame().await.is_some() {} });
            Ok(answer::plain(StatusCode::OK, ""))
        },
    );
    tokio::task::spawn_local(answering);
    address
}

#[test]
fn a_head_that_takes_too_long_ends_its_connection() {
    run(async {
        let limits = HeadLimits {
            time: Duration::from_millis(100),
            ..HeadLimits::default()
        };
        let address = server_with_head_limits(limits).await;
        let mut stream = connect(address).await;
        stream.write_all(b"GET / HT").await.unwrap();
        assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
        let mut kept = connect(address).await;
        assert!(ask(&mut kept).await > 0);
        tokio::time::sleep(2 * limits.time).await;
        assert!(
            ask(&mut kept).await > 0,
            "the time between requests counts for none"
        );
        kept.write_all(b"GET / HT").await.unwrap();
        assert_eq!(kept.read(&mut [0]).await.unwrap_or(0), 0);
    });
}

#[test]
fn a_connection_that_is_idle_for_too_long_ends() {
    run(async {
        let address = server_with_head_limits(HeadLimits {
            idle: Some(Duration::ZERO),
            ..HeadLimits::default()
        })
        .await;
        let mut stream = connect(address).await;
        assert!(ask(&mut stream).await > 0);
        assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
    });
}

#[rstest]
#[case::longest(16 << 10, "HTTP/1.1 200 ")]
#[case::longer(18 << 10, "HTTP/1.1 431 ")]
fn a_head_is_limited_in_length(#[case] bytes: usize, #[case] expected: &str) {
    run(async {
        let address = server_with_head_limits(HeadLimits::default()).await;
        let mut stream = connect(address).await;
        let head = format!(
            "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
            "x".repeat(bytes - 32)
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = [0; 64];
        let read = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..read]);
        assert!(answer.starts_with(expected), "{answer}");
    });
}

/// The rest of a body that is not read is no head.
#[test]
fn a_body_that_arrives_after_its_answer_ends_no_connection() {
    run(async {
        let address = server_with_head_limits(HeadLimits {
            time: Duration::from_millis(100),
            ..HeadLimits::default()
        })
        .await;
        let mut stream = connect(address).await;
        let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na";
        stream.write_all(head).await.unwrap();
        assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
        tokio::time::sleep(Duration::from_millis(200)).await;
        stream.write_all(b"a").await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(ask(&mut stream).await > 0);
    });
}
