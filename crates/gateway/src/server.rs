//! Serves HTTP/1.1 on a listener, one task a connection on the process's event loop.

use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::answer::AnswerBody;

/// After an error of the listener, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 64 << 10;

/// Bounds of a server's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerParams {
    /// How long a connection may rest, and a head may take.
    pub idle_timeout: Duration,
    /// Connections at once.
    pub max_connections: usize,
    /// What happens to further ones.
    pub when_full: WhenFull,
}

/// What happens to a connection when as many as are allowed are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// It waits in the listener's queue until another one ends.
    Wait,
    /// It is closed at once: its caller has other processes to call, and the open connections may
    /// stay for as long as their callers live.
    Close,
}

/// Who sent a request, as an extension of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer(pub IpAddr);

/// Why a request ends without an answer: its connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("the caller has gone or sent no whole request")]
pub(crate) struct NoAnswer;

/// Room for a server's connections.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionSlots(Arc<Semaphore>);

impl ConnectionSlots {
    /// Room for so many connections.
    pub fn new(max_connections: usize) -> Self {
        Self(Arc::new(Semaphore::new(max_connections)))
    }

    /// True while a further connection would wait for another one to end, but for the one that the
    /// server is about to accept.
    pub fn all_taken(&self) -> bool {
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

/// The same for connections that share room.
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
                        open = params.max_connections, "server: too many connections");
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
                    "server: a connection was not accepted");
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
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        handler(request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(params.idle_timeout)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
