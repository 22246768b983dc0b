//! Tests of the detection of dead peers.

use super::*;

/// A sound peer may be silent for about a second.
const TOLERATED_SILENCE: Duration = Duration::from_millis(1_500);
/// A peer that is gone must be noticed within this time.
const DETECTED_WITHIN: Duration = Duration::from_secs(5);

/// When Linux ends an idle connection whose peer answers nothing: at the first probe interval after the first probe at
/// which the user timeout has passed, whatever the number of probes.
fn given_up_after(socket: &SockRef<'_>) -> Duration {
    let delay = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    let mut elapsed = delay + interval;
    while elapsed < user_timeout {
        elapsed += interval;
    }
    elapsed
}

#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_is_silent_for_a_second_after_a_probe_is_not_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = connect(address, Duration::from_secs(5)).await.unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let first_probe = socket.tcp_keepalive_time().unwrap();
    let given_up = given_up_after(&socket);
    assert!(given_up - first_probe >= TOLERATED_SILENCE, "{given_up:?}");
    assert!(given_up <= DETECTED_WITHIN, "{given_up:?}");
    let unacknowledged = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(unacknowledged >= TOLERATED_SILENCE);
}
