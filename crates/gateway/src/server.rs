//! Serves HTTP/1.1 on a listener, with one task per connection on the process's event loop.

use std::cell::Cell;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::answer::AnswerBody;
use crate::caller_body::CallerBody;
use crate::caller_connections::CurrentRequest;
use crate::caller_stream::CallerStream;
use crate::open_connections::{Connections, OpenConnection};
use crate::sockets;

/// Delay after an error of the listener, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The least that the HTTP library reads at a time.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// What another router adds to a head that it forwards.
const FORWARDED_HEAD_BYTES: usize = 1 << 10;
/// How much longer than its client a server keeps an idle connection, so that no request meets its end.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long a caller may take to close its side of a connection after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same while all connection slots are in use.
const LINGER_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(20);
const LINGER_BUFFER_BYTES: usize = 1 << 10;
/// How long the kernel keeps what an idle caller has not taken of its answers after its connection gave way.
const UNSENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerParams {
    /// How long a connection may be idle, unless the limits of its clients say so.
    pub idle_timeout: Duration,
    /// Connections that may be open at the same time.
    pub max_connections: usize,
    /// What happens to further connections.
    pub when_full: WhenFull,
}

/// What happens to a new connection when the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// It waits until another one ends, and those after it in the listener's backlog.
    Wait,
    /// It is closed at once: its caller can call other processes, and the open connections may last as long as their
    /// callers run.
    Close,
}

/// The sender's address, as an extension of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer(pub IpAddr);

/// A request ends without an answer, and its connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("the caller disconnected or sent an incomplete request")]
pub(crate) struct NoAnswer;

/// Why a connection ended.
enum ConnectionEnd {
    /// Its client closed it, it broke, or its last answer has been sent.
    Finished(hyper::Result<()>),
    /// It gave way to another one.
    Evicted,
    /// The process exits.
    Cut,
}

/// Serves connections until the process ends.
pub(crate) async fn serve<H, F>(listener: TcpListener, params: ServerParams, handler: H)
where
    H: Fn(Request<CallerBody>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let connections = Connections::new(params.max_connections);
    serve_until_closed(listener, params, connections, handler).await;
}

/// Serves connections until they are closed.
pub(crate) async fn serve_until_closed<H, F>(
    listener: TcpListener,
    params: ServerParams,
    connections: Connections,
    handler: H,
) where
    H: Fn(Request<CallerBody>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let accepting = accept(listener, params, &connections, Rc::new(handler));
    tokio::select! {
        // A connection that is accepted later would not be waited for.
        biased;
        () = connections.closing() => {}
        () = accepting => {}
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    params: ServerParams,
    connections: &Connections,
    handler: Rc<H>,
) where
    H: Fn(Request<CallerBody>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let slot = match params.when_full {
                    WhenFull::Close => connections.slot_at_once().await,
                    WhenFull::Wait => Some(connections.free_slot().await),
                };
                let Some(slot) = slot else {
                    tracing::info!(event = "connection_refused", %peer,
                        open = params.max_connections, "server: closed a connection because all connection slots are in use");
                    continue;
                };
                let open = connections.open(slot);
                let handler = Rc::clone(&handler);
                tokio::task::spawn_local(async move {
                    serve_connection(stream, Peer(peer.ip()), params, handler, open).await;
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error,
                    "server: failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: Peer,
    params: ServerParams,
    handler: Rc<H>,
    open: OpenConnection,
) where
    H: Fn(Request<CallerBody>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let activity = Rc::clone(open.activity());
    let current_request = CurrentRequest::new(Rc::clone(&activity));
    let tracked_request = current_request.clone();
    let reads_chunks = Rc::new(Cell::new(true));
    let caller_reads_chunks = Rc::clone(&reads_chunks);
    let service = service_fn(move |mut request: Request<Incoming>| {
        caller_reads_chunks.set(request.version() > Version::HTTP_10);
        request.extensions_mut().insert(peer);
        activity.on_request();
        let request = request.map(|body| CallerBody::new(body, activity.open_part()));
        tracked_request.clone().track(handler(request))
    });
    let limits = open.head_limits();
    let idle_timeout = limits.idle.map(|idle| idle + IDLE_MARGIN);
    let stream = CallerStream::new(stream, Rc::clone(open.activity()), limits.time);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout.unwrap_or(params.idle_timeout))
        .max_buf_size((limits.bytes + FORWARDED_HEAD_BYTES).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        biased;
        ended = &mut connection => Some(ConnectionEnd::Finished(ended)),
        () = open.activity().evicted() => Some(ConnectionEnd::Evicted),
        () = closing_and_read(&open) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                biased;
                ended = &mut connection => ConnectionEnd::Finished(ended),
                () = open.cutting() => ConnectionEnd::Cut,
            }
        }
    };
    let is_finished = matches!(ended, ConnectionEnd::Finished(Ok(())));
    let is_evicted = matches!(ended, ConnectionEnd::Evicted);
    let may_cut_answer = match ended {
        ConnectionEnd::Finished(Ok(())) => false,
        ConnectionEnd::Finished(Err(error)) => {
            if let Some(reason) = exceeded_head_limit(&error, &open) {
                open.log_rejected(peer.0, reason);
            }
            current_request.log_end(peer.0, &error);
            true
        }
        ConnectionEnd::Evicted => {
            open.log_rejected(peer.0, "connection_evicted");
            current_request.log_evicted(peer.0)
        }
        ConnectionEnd::Cut => {
            open.count_cut();
            current_request.log_cut(peer.0);
            true
        }
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    if is_finished {
        linger(stream, &open).await;
    } else if may_cut_answer && (is_evicted || !reads_chunks.get()) {
        reset(&stream, peer);
    } else if is_evicted {
        discard_unsent(&stream, peer);
    }
}

/// The limit of heads that a connection ended for, as logs name it.
fn exceeded_head_limit(error: &hyper::Error, open: &OpenConnection) -> Option<&'static str> {
    if error.is_parse_too_large() {
        return Some("head_too_large");
    }
    open.activity()
        .has_partial_head()
        .then_some("head_unfinished")
}

/// Discards what the caller still sends, until it closes its side, before the connection is closed (RFC 9112 §9.6). Bytes
/// that nobody has read would turn the end into a reset, which discards what the caller has not received of its answer.
async fn linger(mut stream: TcpStream, open: &OpenConnection) {
    let mut discarded = [0; LINGER_BUFFER_BYTES];
    let reading = async { while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {} };
    let limit = if open.is_slot_needed() {
        LINGER_TIMEOUT_WHEN_FULL
    } else {
        LINGER_TIMEOUT
    };
    tokio::select! {
        _ = timeout(limit, reading) => {}
        () = open.cutting() => {}
    }
}

/// Completes when the connection is to be closed, and what had arrived on it by then can have been read.
async fn closing_and_read(open: &OpenConnection) {
    open.closing().await;
    // The event loop learns of bytes on a connection that has just been accepted when it polls for events.
    tokio::task::yield_now().await;
}

/// Makes the kernel discard soon what the caller of a closed connection does not take.
fn discard_unsent(stream: &TcpStream, peer: Peer) {
    if let Err(error) = sockets::set_unacknowledged_timeout(stream, UNSENT_TIMEOUT) {
        tracing::warn!(event = "timeout_failed", peer = %peer.0, %error,
            "server: failed to limit how long the kernel keeps an answer after the connection was closed");
    }
}

/// Makes a connection end with a reset: its caller takes the ordinary end for the end of a whole answer.
fn reset(stream: &TcpStream, peer: Peer) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(event = "reset_failed", peer = %peer.0, %error,
            "server: failed to reset a connection after an incomplete answer");
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
