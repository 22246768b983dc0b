//! What the client of a connection is doing, by which a server decides whose connection gives way to a new one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body_reception::STALL_TIMEOUT;

/// A connection that is idle after an answer gives way after this time. Its client may be about to use it again.
const IDLE_EVICTION_DELAY: Duration = Duration::from_secs(3);
/// A connection whose client reads nothing of its answer gives way after this time.
const UNREAD_EVICTION_DELAY: Duration = Duration::from_secs(3);

/// What the client of a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// It has not finished the head of its first request.
    FirstHead,
    /// All its requests have been answered.
    Idle,
    /// It has begun the head of a further request.
    FurtherHead,
    /// Its request is being received or answered.
    Request,
}

/// The state of one connection; shared by its reader, its requests and the limit on connections.
#[derive(Debug)]
pub(crate) struct Activity {
    state: Cell<ClientState>,
    since: Cell<Instant>,
    has_partial_head: Cell<bool>,
    /// Counts the requests on the connection.
    request: Cell<u64>,
    /// What has not ended of the current request: its body, and its answer.
    open_parts: Cell<u8>,
    /// Since when its client has read nothing of an answer that waits to be sent.
    unread_since: Cell<Option<Instant>>,
    evicted: Notify,
    /// A limit of the bytes of answers that the kernel keeps unsent, until it is applied.
    unsent_limit: Cell<Option<u32>>,
}

/// The body or the answer of a request, while it lasts.
#[derive(Debug)]
pub(crate) struct OpenPart {
    activity: Rc<Activity>,
    request: u64,
}

impl Drop for OpenPart {
    fn drop(&mut self) {
        self.activity.end_part(self.request);
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            state: Cell::new(ClientState::FirstHead),
            since: Cell::new(Instant::now()),
            has_partial_head: Cell::new(false),
            request: Cell::new(0),
            open_parts: Cell::new(0),
            unread_since: Cell::new(None),
            evicted: Notify::new(),
            unsent_limit: Cell::new(None),
        }
    }
}

impl Activity {
    fn enter(&self, state: ClientState) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    /// Bytes have arrived.
    pub fn on_read(&self) {
        if self.state.get() == ClientState::Idle {
            self.enter(ClientState::FurtherHead);
        }
        let is_request = self.state.get() == ClientState::Request;
        self.has_partial_head.set(!is_request);
    }

    /// Bytes of an answer were taken by the kernel, or were not because the client reads nothing.
    pub fn on_write(&self, is_blocked: bool) {
        let unread_since = is_blocked.then(|| self.unread_since.get().unwrap_or_else(Instant::now));
        self.unread_since.set(unread_since);
    }

    /// Whether a part of a head has arrived.
    pub fn has_partial_head(&self) -> bool {
        self.has_partial_head.get()
    }

    /// The head of a request is complete.
    pub fn on_request(&self) {
        self.has_partial_head.set(false);
        self.request.set(self.request.get() + 1);
        self.open_parts.set(2);
        self.enter(ClientState::Request);
    }

    /// The body or the answer of the current request, which ends when this is dropped.
    pub fn open_part(self: &Rc<Self>) -> OpenPart {
        OpenPart {
            activity: Rc::clone(self),
            request: self.request.get(),
        }
    }

    /// Makes the connection give way; it is a candidate no more.
    pub fn evict(&self) {
        self.enter(ClientState::Request);
        self.unread_since.set(None);
        self.evicted.notify_one();
    }

    /// Completes when the connection has to give way to another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Whether a request is being received or answered.
    pub fn is_serving(&self) -> bool {
        self.state.get() == ClientState::Request
    }

    /// Sets how many bytes of answers the kernel keeps unsent from the next write on.
    pub fn set_unsent_limit(&self, bytes: u32) {
        self.unsent_limit.set(Some(bytes));
    }

    /// The limit that is to be applied.
    pub fn take_unsent_limit(&self) -> Option<u32> {
        self.unsent_limit.take()
    }

    fn end_part(&self, request: u64) {
        // The body of an earlier request may be dropped late.
        if request != self.request.get() {
            return;
        }
        self.open_parts.set(self.open_parts.get().saturating_sub(1));
        if self.open_parts.get() == 0 {
            self.enter(ClientState::Idle);
        }
    }

    /// Since when a head has been unfinished, if that is too long.
    pub fn stalled_head_since(&self) -> Option<Instant> {
        let is_head = matches!(
            self.state.get(),
            ClientState::FirstHead | ClientState::FurtherHead
        );
        let since = is_head.then(|| self.since.get());
        since.filter(|since| since.elapsed() >= STALL_TIMEOUT)
    }

    /// Since when the client has been idle after an answer, if it may have to give way for that.
    pub fn idle_since(&self) -> Option<Instant> {
        let is_idle = self.state.get() == ClientState::Idle;
        let since = is_idle.then(|| self.since.get());
        since.filter(|since| since.elapsed() >= IDLE_EVICTION_DELAY)
    }

    /// Since when the client has read nothing of its answer, if that is too long.
    pub fn unread_since(&self) -> Option<Instant> {
        let since = self.unread_since.get();
        since.filter(|since| since.elapsed() >= UNREAD_EVICTION_DELAY)
    }
}
