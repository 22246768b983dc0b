//! TCP sockets that notice a dead peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::DaemonError;

/// Data that a peer does not acknowledge for so long ends the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
const KEEP_ALIVE_DELAY: Duration = Duration::from_secs(2);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const BACKLOG: i32 = 512;

/// Opens a connection within `time_limit`.
pub(crate) async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(time_limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Makes a connection end when its peer has gone without a word.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_DELAY)
        .with_interval(KEEP_ALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Listens, with an error that says what was to be served.
pub(crate) fn open(what: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    listen(address).map_err(|source| DaemonError::Listen {
        what,
        address,
        source,
    })
}

/// Listens; a process that starts again takes over its predecessor's address.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
