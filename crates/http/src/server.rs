//! Accepts connections and serves each on its own thread, up to a limit.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use drumshore_core::{ErrorCode, RequestError};

use crate::connection::Input;
use crate::request::{Head, HeadError, Request};
use crate::responder::Responder;

/// Connections above the limit that receive a refusal at the same time. Further ones are closed
/// without an answer.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// How long a closing connection waits for the next bytes of the peer.
const LINGER_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum bytes that a closing connection reads and discards. A caller whose body is too large
/// reads the refusal only after it has sent the whole body.
const MAX_LINGER_BYTES: usize = 64 << 20;

/// Maximum total time that a closing connection reads.
const MAX_LINGER: Duration = Duration::from_secs(2);

/// Limits of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerParams {
    /// Maximum number of connections served at the same time; more are refused.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long the head may take to arrive, and then the body.
    pub read_timeout: Duration,
    /// How long a write to the caller may block.
    pub write_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Stack size of a connection's thread, in bytes.
    pub stack_bytes: usize,
}

impl Default for ServerParams {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 16 * 1024,
            read_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            stack_bytes: 128 * 1024,
        }
    }
}

/// Answers requests. Called on the thread of the connection.
pub trait Handler: Send + Sync + 'static {
    /// Reads one request and sends its answer.
    fn handle(&self, request: &mut Request<'_>, responder: Responder<'_>);
}

impl<F: Fn(&mut Request<'_>, Responder<'_>) + Send + Sync + 'static> Handler for F {
    fn handle(&self, request: &mut Request<'_>, responder: Responder<'_>) {
        self(request, responder);
    }
}

/// The current number of connections and requests of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Open connections, including those that are refused.
    pub connections: usize,
    /// Requests in the handler.
    pub active_requests: usize,
}

struct Shared {
    params: ServerParams,
    handler: Box<dyn Handler>,
    connections: AtomicUsize,
    active_requests: AtomicUsize,
    closing: AtomicBool,
}

/// A server that runs until the process ends.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// Binds to an address and starts to serve in the background.
    pub fn start(
        listen: SocketAddr,
        params: ServerParams,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            params,
            handler: Box::new(handler),
            connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("http-accept".to_owned())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self { shared, address })
    }

    /// The local address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current number of connections and requests.
    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            connections: self.shared.connections.load(Ordering::SeqCst),
            active_requests: self.shared.active_requests.load(Ordering::SeqCst),
        }
    }

    /// Closes every connection after its next answer, for a graceful shutdown.
    pub fn close_after_answers(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
    loop {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, shared),
            Err(error) => {
                tracing::warn!("http: failed to accept a connection: {error}");
                thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    let count = shared.connections.fetch_add(1, Ordering::SeqCst);
    let counter = ConnectionCounter::new(Arc::clone(shared));
    let max = shared.params.max_connections;
    if count >= max + MAX_CONCURRENT_REFUSALS {
        return;
    }
    let spawned = thread::Builder::new()
        .name("http-connection".to_owned())
        .stack_size(shared.params.stack_bytes)
        .spawn(move || {
            if count < max {
                serve(&stream, &counter.shared);
            } else {
                refuse_connection(&stream, &counter.shared);
            }
            close_gracefully(&stream);
        });
    if let Err(error) = spawned {
        tracing::warn!("http: failed to start a thread for a connection: {error}");
    }
}

fn refuse_connection(stream: &TcpStream, shared: &Shared) {
    let _ = stream.set_write_timeout(Some(shared.params.write_timeout));
    let error = RequestError::not_run(ErrorCode::Overloaded, "too many connections");
    Responder::new(stream, false).refuse(&error.retry_after(Duration::from_secs(1)));
}

/// Closes the sending half and discards input, so that the peer can read the last answer. Closing a
/// socket with unread bytes resets the connection, and the peer may lose the answer to the reset.
fn close_gracefully(mut stream: &TcpStream) {
    let deadline = Instant::now() + MAX_LINGER;
    let mut left = MAX_LINGER_BYTES;
    let mut discarded = [0; 4 * 1024];
    let prepared = stream
        .shutdown(Shutdown::Write)
        .and_then(|()| stream.set_read_timeout(Some(LINGER_READ_TIMEOUT)));
    if prepared.is_err() {
        return;
    }
    while let Ok(count @ 1..) = stream.read(&mut discarded) {
        left = left.saturating_sub(count);
        if left == 0 || Instant::now() > deadline {
            return;
        }
    }
}

struct ConnectionCounter {
    shared: Arc<Shared>,
}

impl ConnectionCounter {
    fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Drop for ConnectionCounter {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve(stream: &TcpStream, shared: &Shared) {
    let params = &shared.params;
    let ready = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(params.write_timeout)))
        .and_then(|()| stream.try_clone());
    let Ok(reading) = ready else {
        return;
    };
    let mut input = Input::new(reading);
    while serve_one(stream, &mut input, shared) {}
}

/// Serves one request. Returns true if the connection can carry another one.
fn serve_one(stream: &TcpStream, input: &mut Input, shared: &Shared) -> bool {
    let params = &shared.params;
    let head = Head::read(
        input,
        params.max_head_bytes,
        params.idle_timeout,
        params.read_timeout,
    );
    let head = match head {
        Ok(head) => head,
        Err(HeadError::Closed) => return false,
        Err(HeadError::Refused(error)) => {
            Responder::new(stream, false).refuse(&error);
            return false;
        }
    };
    shared.active_requests.fetch_add(1, Ordering::SeqCst);
    let keep_alive = head.keep_alive && !shared.closing.load(Ordering::SeqCst);
    let mut request = Request::new(head, input, stream, params.read_timeout);
    let responder = Responder::new(stream, keep_alive);
    shared.handler.handle(&mut request, responder);
    let body_read = request.body_read;
    shared.active_requests.fetch_sub(1, Ordering::SeqCst);
    keep_alive && body_read
}
