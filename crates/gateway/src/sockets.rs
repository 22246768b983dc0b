//! TCP sockets that detect a dead peer.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{timeout, timeout_at, Instant};

use crate::memory_shares::MIN_UNSENT_BYTES;
use crate::DaemonError;

/// The connection ends when sent data is not acknowledged for this long.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first keep-alive probe.
const KEEP_ALIVE_DELAY: Duration = Duration::from_secs(1);
/// Time between two probes, for which a peer may be silent: with a user timeout set, the kernel gives up at the first
/// probe after it, whatever their number (tcp(7), `TCP_USER_TIMEOUT`).
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const BACKLOG: i32 = 512;
/// Size of the receive buffer of a client's connection. Linux doubles it, for its own bookkeeping (socket(7)).
const CLIENT_RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the receive buffer of a connection to a back end.
const BACK_END_RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Opens a connection within `time_limit`; fails with `TimedOut` after it.
pub(crate) async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    finish_connecting(TcpStream::connect(address), time_limit).await
}

async fn finish_connecting(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    time_limit: Duration,
) -> io::Result<TcpStream> {
    let stream = timeout(time_limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Opens a connection to a back end, of whose answers the kernel keeps few bytes while a client does not read them.
pub(crate) async fn connect_to_back_end(
    address: SocketAddr,
    time_limit: Duration,
) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(BACK_END_RECEIVE_BUFFER_BYTES)?;
    finish_connecting(socket.connect(address), time_limit).await
}

/// Whether a connection on which nothing was sent is open at a time. Returns before when its peer closes it or sends bytes.
pub(crate) async fn stays_open(stream: &TcpStream, until: Instant) -> bool {
    let mut byte = [0];
    let changed = timeout_at(until, stream.peek(&mut byte)).await;
    changed.is_err() && is_open(stream)
}

/// Asks the kernel, because events of a late event loop may be outdated.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Makes a connection end when its peer has disappeared without closing it.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_DELAY)
        .with_interval(KEEP_ALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sets how long sent data and keep-alive probes may stay unacknowledged.
pub(crate) fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Opens a listener; the error says what it was to serve.
pub(crate) fn open(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    open_with(purpose, address, |_| Ok(()))
}

/// Lets the kernel keep so many bytes of a connection before it has sent them. The peer's window bounds those that it has
/// sent.
pub(crate) fn set_unsent_limit(stream: &TcpStream, bytes: u32) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(bytes)
}

/// Opens a listener for clients, of whose requests and answers the kernel keeps few bytes that nobody has read.
pub(crate) fn open_for_clients(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    open_with(purpose, address, |socket| {
        socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES)?;
        socket.set_tcp_notsent_lowat(MIN_UNSENT_BYTES)
    })
}

fn open_with(
    purpose: &'static str,
    address: SocketAddr,
    configure: impl FnOnce(&Socket) -> io::Result<()>,
) -> Result<TcpListener, DaemonError> {
    listen(address, configure).map_err(|source| DaemonError::Listen {
        purpose,
        address,
        source,
    })
}

/// Opens a listener; its connections inherit what `configure` sets. A restarted process can bind its predecessor's address
/// at once.
fn listen(
    address: SocketAddr,
    configure: impl FnOnce(&Socket) -> io::Result<()>,
) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    configure(&socket)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

#[cfg(test)]
#[path = "sockets_tests.rs"]
mod tests;
