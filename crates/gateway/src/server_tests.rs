//! Tests of the limit on connections.

use std::net::SocketAddr;

use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

use super::*;
use crate::answer;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

async fn server_with_one_slot(when_full: WhenFull) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let params = ServerParams {
        idle_timeout: Duration::from_secs(60),
        max_connections: 1,
        when_full,
    };
    let answering = serve(listener, params, |_: Request<Incoming>| async {
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
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let params = ServerParams {
            idle_timeout: Duration::from_secs(60),
            max_connections: 2,
            when_full: WhenFull::Wait,
        };
        let slots = ConnectionSlots::new(params.max_connections);
        let answering = serve_with_slots(
            listener,
            params,
            slots.clone(),
            |_: Request<Incoming>| async { Ok(answer::plain(StatusCode::OK, "")) },
        );
        tokio::task::spawn_local(answering);
        assert!(!slots.all_occupied());
        let mut first = connect(address).await;
        assert!(ask(&mut first).await > 0);
        let mut second = connect(address).await;
        assert!(ask(&mut second).await > 0);
        assert!(slots.all_occupied());
        drop((first, second));
        while slots.all_occupied() {
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
