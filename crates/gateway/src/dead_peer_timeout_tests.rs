use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn a_timeout_holds_from_the_next_bytes_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = sockets::connect(address, Duration::from_secs(5))
        .await
        .unwrap();
    let timeout = DeadPeerTimeout::default();
    let mut adjustable = AdjustableStream::new(stream, timeout.clone());
    let in_force =
        |stream: &AdjustableStream| SockRef::from(&stream.stream).tcp_user_timeout().unwrap();
    for wanted in [Duration::from_secs(9), sockets::UNACKNOWLEDGED_TIMEOUT] {
        let before = in_force(&adjustable);
        timeout.set(wanted);
        assert_eq!(in_force(&adjustable), before);
        adjustable.write_all(b"request").await.unwrap();
        assert_eq!(in_force(&adjustable), Some(wanted));
    }
}
