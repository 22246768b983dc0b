//! Serves HTTP/1.1 on a listener, with one task per connection on the process's event loop.

use std::cell::Cell;
use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::answer::AnswerBody;
use crate::caller_connections::CurrentRequest;

/// Delay after an error of the listener, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 64 << 10;

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerParams {
    /// How long a connection may be idle, and how long reading a request's head may take.
    pub idle_timeout: Duration,
    /// Connections that may be open at the same time.
    pub max_connections: usize,
    /// What happens to further connections.
    pub when_full: WhenFull,
}

/// What happens to a new connection when the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// It waits in the listener's backlog until another one ends.
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

/// The connection slots of a server.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionSlots(Arc<Semaphore>);

impl ConnectionSlots {
    /// Creates this many slots.
    pub fn new(max_connections: usize) -> Self {
        Self(Arc::new(Semaphore::new(max_connections)))
    }

    /// True while no slot is free. The server takes a slot before it accepts a connection, so one more connection may
    /// still be accepted.
    pub fn all_occupied(&self) -> bool {
        self.0.available_permits() == 0
    }
}

/// Serves connections until the process ends.
pub(crate) async fn serve<H, F>(listener: TcpListener, params: ServerParams, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let slots = ConnectionSlots::new(params.max_connections);
    serve_with_slots(listener, params, slots, handler).await;
}

/// Serves connections until the process ends, with slots that the caller can observe.
pub(crate) async fn serve_with_slots<H, F>(
    listener: TcpListener,
    params: ServerParams,
    slots: ConnectionSlots,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let handler = Rc::new(handler);
    let slots = slots.0;
    loop {
        let slot = match params.when_full {
            WhenFull::Close => None,
            WhenFull::Wait => match Arc::clone(&slots).acquire_owned().await {
                Ok(slot) => Some(slot),
                Err(_) => return,
            },
        };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let slot = slot.or_else(|| Arc::clone(&slots).try_acquire_owned().ok());
                let Some(slot) = slot else {
                    tracing::info!(event = "connection_refused", %peer,
                        open = params.max_connections, "server: closed a connection because all connection slots are in use");
                    continue;
                };
                let handler = Rc::clone(&handler);
                tokio::task::spawn_local(async move {
                    serve_connection(stream, Peer(peer.ip()), params, handler).await;
                    drop(slot);
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

async fn serve_connection<H, F>(stream: TcpStream, peer: Peer, params: ServerParams, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, NoAnswer>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let current_request = CurrentRequest::default();
    let tracked_request = current_request.clone();
    let reads_chunks = Rc::new(Cell::new(true));
    let caller_reads_chunks = Rc::clone(&reads_chunks);
    let service = service_fn(move |mut request: Request<Incoming>| {
        caller_reads_chunks.set(request.version() > Version::HTTP_10);
        request.extensions_mut().insert(peer);
        tracked_request.clone().track(handler(request))
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(params.idle_timeout)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let Err(error) = (&mut connection).await else {
        return;
    };
    current_request.log_end(peer.0, &error);
    if !reads_chunks.get() {
        reset(&connection.into_parts().io.into_inner(), peer);
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
