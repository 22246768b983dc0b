//! Pools of connections to back ends: limited in number, reused, one request at a time on each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::InstanceId;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use crate::clock::Clock;
use crate::connection_errors::ConnectionError;
use crate::dead_peer_timeout::{AdjustableStream, DeadPeerTimeout};
use crate::head_limits::{HeadExcess, HeadLimit, Heads, LimitedStream};
use crate::request_body::OutboundBody;
use crate::sockets;
use crate::surplus::Surplus;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed when the peer does not state a limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Safety margin: an idle connection is no longer used this long before its idle limit.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Idle connections kept per back end.
const MAX_IDLE_CONNECTIONS: usize = 16;
const BUFFER_BYTES: usize = 32 << 10;

/// Why no connection is available; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NoConnection {
    /// The back end cannot be reached.
    #[error("back end is unreachable: {0}")]
    Unreachable(#[from] io::Error),
    /// This process was found to reach no back end of the pool.
    #[error("no path to the back ends")]
    NoPath,
    /// All connections that this process may open to the back end are in use.
    #[error("no free connection to the back end")]
    NoneFree,
}

/// Why there is no answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SendError {
    /// No part of the request was sent.
    #[error("request was not sent")]
    NotSent,
    /// The connection broke after at least a part of the request was sent.
    #[error("connection broke after part of the request was sent")]
    Broken(ConnectionError),
    /// The request was sent, and the heads of the answer exceeded a limit.
    #[error("{}", .0.limit)]
    HeadLimit(HeadExcess),
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Timestamp,
}

/// The connections to one back end.
#[derive(Debug, Default)]
struct Pool {
    /// Connections that are open or being opened, idle ones included.
    open: Cell<usize>,
    idle: RefCell<Vec<Idle>>,
    /// Notified when a connection is released or closed.
    freed: Notify,
}

/// A connection to a back end; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<OutboundBody>,
    heads: Heads,
    dead_peer_timeout: DeadPeerTimeout,
    task: AbortHandle,
    /// Why the connection ended, if neither a request nor a body can tell.
    ended: Rc<Cell<Option<ConnectionError>>>,
    surplus: Surplus,
    pool: Rc<Pool>,
    /// How long the peer keeps the connection open while it is idle.
    idle_timeout: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.pool.open.set(self.pool.open.get().saturating_sub(1));
        self.pool.freed.notify_one();
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer. The connection ends when the peer acknowledges nothing for
    /// `dead_peer_timeout`, until the next request.
    pub async fn send(
        &mut self,
        request: Request<OutboundBody>,
        dead_peer_timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        self.dead_peer_timeout.set(dead_peer_timeout);
        self.heads.expect_answer();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => self.broken(error.error()),
        })?;
        self.idle_timeout = keep_alive(&response).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Ok(response)
    }

    fn broken(&self, error: &hyper::Error) -> SendError {
        let exceeded = self.heads.exceeded();
        let too_long = error.is_parse_too_large().then_some(HeadLimit::Bytes);
        let exceeded = exceeded.or_else(|| too_long.map(|limit| self.heads.as_excess(limit)));
        exceeded.map_or_else(
            || SendError::Broken(ConnectionError::of(error)),
            SendError::HeadLimit,
        )
    }

    /// Why reading the body of an answer failed. The library hides the reason from the body when the connection ends
    /// outside of reading it.
    pub fn body_error(&self, error: &hyper::Error) -> ConnectionError {
        match ConnectionError::of(error) {
            ConnectionError::Unknown => self.ended.get().unwrap_or(ConnectionError::Unknown),
            known => known,
        }
    }

    /// What follows the last answer. It is known when the answer's last byte has been read, as far as it has arrived by
    /// then.
    pub fn surplus(&self) -> &Surplus {
        &self.surplus
    }

    /// Returns the connection to its pool, after its answer has been read to the end.
    pub fn release(self, now: Timestamp) {
        let pool = Rc::clone(&self.pool);
        if !self.sender.is_closed() && pool.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            let expires = now.plus(self.idle_timeout.saturating_sub(IDLE_MARGIN));
            pool.idle.borrow_mut().push(Idle {
                connection: self,
                expires,
            });
        }
        pool.freed.notify_one();
    }
}

/// The connections to all back ends.
pub(crate) struct Upstreams {
    pools: RefCell<HashMap<InstanceId, Rc<Pool>>>,
    clock: Clock,
}

impl Upstreams {
    pub fn new(clock: Clock) -> Self {
        Self {
            pools: RefCell::default(),
            clock,
        }
    }

    /// Returns a connection that is ready for a request. Opens one while there are fewer than `max_connections` to the
    /// back end, else waits for a free one. Takes at most `time_limit` plus [`CONNECT_TIMEOUT`].
    pub async fn connect(
        &self,
        instance: &InstanceId,
        address: &str,
        max_connections: usize,
        time_limit: Duration,
    ) -> Result<Connection, NoConnection> {
        let pool = self.pool(instance);
        let waiting = async {
            loop {
                if let Some(connection) = self.take_idle(&pool) {
                    return Ok(connection);
                }
                if pool.open.get() < max_connections {
                    return open(address, &pool).await;
                }
                pool.freed.notified().await;
            }
        };
        let waited = timeout(time_limit + CONNECT_TIMEOUT, waiting).await;
        waited.unwrap_or(Err(NoConnection::NoneFree))
    }

    /// Opens a connection to a back end for a later request, unless all that this process may open are in use.
    pub async fn open_idle(
        &self,
        instance: &InstanceId,
        address: &str,
        max_connections: usize,
    ) -> Result<(), NoConnection> {
        let pool = self.pool(instance);
        if pool.open.get() >= max_connections {
            return Err(NoConnection::NoneFree);
        }
        open(address, &pool).await?.release(self.clock.now());
        Ok(())
    }

    /// Opens a connection to a back end and tells whether its peer leaves it open until a time; then it is kept for a later
    /// request.
    pub async fn open_and_watch(
        &self,
        instance: &InstanceId,
        address: &str,
        max_connections: usize,
        until: Instant,
    ) -> Result<bool, NoConnection> {
        let pool = self.pool(instance);
        if pool.open.get() >= max_connections {
            return Err(NoConnection::NoneFree);
        }
        let slot = OpeningSlot::take(&pool);
        let stream = open_stream(address).await?;
        let is_open = sockets::stays_open(&stream, until).await;
        if is_open {
            let connection = begin_http(stream, slot).await?;
            connection.release(self.clock.now());
        }
        Ok(is_open)
    }

    /// Closes the idle connections to a back end that has become unresponsive: a request sent on one of them would be
    /// lost, whereas a failed attempt to open a new connection loses nothing.
    pub fn close_idle(&self, instance: &InstanceId) {
        let pool = self.pools.borrow().get(instance).cloned();
        let idle = pool.map(|pool| std::mem::take(&mut *pool.idle.borrow_mut()));
        drop(idle);
    }

    /// Closes connections that have been idle too long, and removes the pools of back ends without connections.
    pub fn prune(&self) {
        let now = self.clock.now();
        self.pools.borrow_mut().retain(|_, pool| {
            let fresh = |idle: &mut Idle| idle.expires > now && !idle.connection.sender.is_closed();
            let mut idle = std::mem::take(&mut *pool.idle.borrow_mut());
            idle.retain_mut(fresh);
            *pool.idle.borrow_mut() = idle;
            pool.open.get() > 0 || Rc::strong_count(pool) > 1
        });
    }

    fn pool(&self, instance: &InstanceId) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        Rc::clone(pools.entry(instance.clone()).or_default())
    }

    /// Takes the connection that was used last; closes those found expired or closed on the way.
    fn take_idle(&self, pool: &Pool) -> Option<Connection> {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut found = None;
        {
            let mut idle = pool.idle.borrow_mut();
            while let Some(last) = idle.pop() {
                if last.expires <= now || last.connection.sender.is_closed() {
                    stale.push(last);
                } else if last.connection.sender.is_ready() {
                    found = Some(last.connection);
                    break;
                } else {
                    stale.push(last);
                }
            }
        }
        drop(stale);
        found
    }
}

async fn open(address: &str, pool: &Rc<Pool>) -> Result<Connection, NoConnection> {
    let slot = OpeningSlot::take(pool);
    let stream = open_stream(address).await?;
    begin_http(stream, slot).await
}

async fn open_stream(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    sockets::connect_to_back_end(address, CONNECT_TIMEOUT).await
}

async fn begin_http(stream: TcpStream, slot: OpeningSlot) -> Result<Connection, NoConnection> {
    let heads = Heads::default();
    let dead_peer_timeout = DeadPeerTimeout::default();
    let stream = AdjustableStream::new(stream, dead_peer_timeout.clone());
    let stream = LimitedStream::new(stream, heads.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, mut connection) = handshake.await.map_err(io::Error::other)?;
    let ended = Rc::new(Cell::new(None));
    let surplus = Surplus::default();
    let (ended_by_task, surplus_of_task) = (Rc::clone(&ended), surplus.clone());
    let task = tokio::task::spawn_local(async move {
        let polled = poll_fn(|context| connection.poll_without_shutdown(context));
        // Errors of a request in flight are returned to its sender instead.
        if let Err(error) = polled.await {
            ended_by_task.set(Some(ConnectionError::of(&error)));
        }
        let rest = connection.into_parts();
        surplus_of_task
            .read(&rest.read_buf, rest.io.into_inner())
            .await;
    });
    Ok(Connection {
        sender,
        heads,
        dead_peer_timeout,
        task: task.abort_handle(),
        ended,
        surplus,
        pool: slot.into_pool(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}

/// Counts a connection while it is being opened; gives the slot back when opening fails.
struct OpeningSlot(Option<Rc<Pool>>);

impl OpeningSlot {
    fn take(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self(Some(Rc::clone(pool)))
    }

    fn into_pool(mut self) -> Rc<Pool> {
        self.0.take().expect("a slot is converted only once")
    }
}

impl Drop for OpeningSlot {
    fn drop(&mut self) {
        if let Some(pool) = self.0.take() {
            pool.open.set(pool.open.get().saturating_sub(1));
            pool.freed.notify_one();
        }
    }
}

/// How long the peer keeps an idle connection open, as its `keep-alive` header states in whole seconds.
fn keep_alive(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let parameter = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    parameter.parse().ok().map(Duration::from_secs)
}
