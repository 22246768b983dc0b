//! Receives the bodies of requests within the memory for bytes of clients.
//!
//! Nothing is reserved for a body that is announced: bytes are charged as they arrive. While the account is full, bodies
//! that make no progress give way, the longest without progress first, so that clients that stop short of their end shut
//! nobody out. If all make progress, the request whose next bytes have no room is rejected; none waits for another.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::memory_account::{Charge, MemoryAccount};
use crate::metrics::ClientMetrics;
use crate::request_body::{self, BodyBuffer, RequestBody};

/// A client that sends less than [`PROGRESS_BYTES`] in this time may have to give way to others.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(1);
const PROGRESS_BYTES: usize = 4 << 10;
/// The last part of the account is for bodies up to this length, so that a few large ones do not shut out the others.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// The part of the account that large bodies may use.
const LARGE_BODY_SHARE: f64 = 0.75;

/// Limits of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyLimits {
    pub bytes: usize,
    /// How long its arrival may take.
    pub time: Duration,
}

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The process holds as many bytes of clients as it may.
    #[error("no memory for the body")]
    NoMemory,
    /// Its client sent nothing for a while, and others needed its place.
    #[error("the body made no progress")]
    Stalled,
    /// Its arrival took too long.
    #[error("the body took too long")]
    TimedOut,
    /// The client closed the connection or broke the protocol.
    #[error("the body broke off")]
    Broken,
}

impl BodyError {
    /// The name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::TooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::Stalled => "body_stalled",
            Self::TimedOut => "body_timed_out",
            Self::Broken => "body_broken",
        }
    }
}

/// A body that is being received; shared with whoever makes it give way.
#[derive(Debug)]
struct Reception {
    /// `None` once it has given way.
    buffer: RefCell<Option<BodyBuffer>>,
    last_progress: Cell<Instant>,
    length_at_progress: Cell<usize>,
    evicted: Notify,
}

impl Reception {
    fn charged(&self) -> usize {
        let buffer = self.buffer.borrow();
        buffer.as_ref().map_or(0, BodyBuffer::charged)
    }

    fn length(&self) -> Result<usize, BodyError> {
        let buffer = self.buffer.borrow();
        let length = buffer.as_ref().map(BodyBuffer::length);
        length.ok_or(BodyError::Stalled)
    }

    fn record_progress(&self, length: usize) {
        if length >= self.length_at_progress.get() + PROGRESS_BYTES {
            self.length_at_progress.set(length);
            self.last_progress.set(Instant::now());
        }
    }

    fn has_stalled(&self) -> bool {
        self.last_progress.get().elapsed() >= STALL_TIMEOUT
    }

    fn evict(&self) {
        *self.buffer.borrow_mut() = None;
        self.evicted.notify_one();
    }
}

/// The bodies that a process is receiving.
#[derive(Debug)]
pub(crate) struct Receptions {
    account: Rc<MemoryAccount>,
    metrics: ClientMetrics,
    open: RefCell<BTreeMap<u64, Rc<Reception>>>,
    next: Cell<u64>,
    /// The longest body that any request may have had so far.
    longest_allowed: Cell<usize>,
}

impl Receptions {
    /// Bodies of clients may take so many bytes.
    pub fn new(max_bytes: usize, metrics: &ClientMetrics) -> Rc<Self> {
        Rc::new(Self {
            account: MemoryAccount::new(max_bytes, metrics),
            metrics: metrics.clone(),
            open: RefCell::default(),
            next: Cell::new(0),
            longest_allowed: Cell::new(0),
        })
    }

    /// The account that bodies are charged to.
    pub fn account(&self) -> &Rc<MemoryAccount> {
        &self.account
    }

    /// Counts a request or connection that exceeded a limit or gave way to others.
    pub fn count_rejected(&self, reason: &'static str) {
        self.metrics.count_rejected(reason);
    }

    /// Receives a body.
    pub async fn receive<B>(&self, body: B, limits: BodyLimits) -> Result<RequestBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(RequestBody::default());
        }
        let longest_allowed = self.longest_allowed.get().max(limits.bytes);
        self.longest_allowed.set(longest_allowed);
        let declared = body.size_hint().exact();
        if declared.is_some_and(|declared| declared > limits.bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let open = OpenReception::new(self, declared.map(|declared| declared as usize));
        tokio::select! {
            biased;
            () = open.reception.evicted.notified() => Err(BodyError::Stalled),
            received = timeout(limits.time, open.read(body, limits.bytes)) => {
                received.unwrap_or(Err(BodyError::TimedOut))
            }
        }
    }

    /// Charges bytes of clients other than bodies; `None` if there is no room for them.
    pub fn charge(&self, bytes: usize) -> Option<Charge> {
        self.charge_up_to(bytes, self.limit())
    }

    /// Makes the body that has been without progress for longest give way to another client. False if all progress.
    pub fn evict_stalled(&self) -> bool {
        self.evict_longest_stalled(|_| true)
    }

    /// Since when the body has been without progress that has been so for longest, if that is too long.
    pub fn longest_stall(&self) -> Option<Instant> {
        let open = self.open.borrow();
        let stalled = open.values().filter(|reception| reception.has_stalled());
        stalled.map(|reception| reception.last_progress.get()).min()
    }

    fn evict_longest_stalled(&self, may_evict: impl Fn(&Reception) -> bool) -> bool {
        let longest_stalled = {
            let open = self.open.borrow();
            let stalled = open
                .iter()
                .filter(|(_, reception)| reception.has_stalled() && may_evict(reception));
            let longest = stalled.min_by_key(|(_, reception)| reception.last_progress.get());
            longest.map(|(number, _)| *number)
        };
        let evicted = longest_stalled.and_then(|number| self.open.borrow_mut().remove(&number));
        if let Some(reception) = &evicted {
            reception.evict();
        }
        evicted.is_some()
    }

    fn charge_up_to(&self, bytes: usize, limit: usize) -> Option<Charge> {
        loop {
            let charge = self.account.try_charge(bytes, limit);
            if charge.is_some() || !self.evict_longest_stalled(|stalled| stalled.charged() > 0) {
                return charge;
            }
        }
    }

    /// How many bytes may be held when a body has this length.
    fn limit_for(&self, length: usize) -> usize {
        if length > SMALL_BODY_BYTES {
            self.limit_of_large_bodies()
        } else {
            self.limit()
        }
    }

    fn limit(&self) -> usize {
        let beside_large = self.limit_of_large_bodies() as f64 / LARGE_BODY_SHARE;
        self.account.limit().max(beside_large as usize)
    }

    /// One body of the longest length fits in any account.
    fn limit_of_large_bodies(&self) -> usize {
        let share = self.account.limit() as f64 * LARGE_BODY_SHARE;
        let longest = request_body::max_charge(self.longest_allowed.get());
        longest.max(share as usize)
    }
}

/// Removes a body from those that are being received when it is dropped.
struct OpenReception<'a> {
    receptions: &'a Receptions,
    number: u64,
    reception: Rc<Reception>,
}

impl<'a> OpenReception<'a> {
    fn new(receptions: &'a Receptions, declared: Option<usize>) -> Self {
        let number = receptions.next.get();
        receptions.next.set(number + 1);
        let buffer = BodyBuffer::new(declared, receptions.account.charge(0));
        let reception = Rc::new(Reception {
            buffer: RefCell::new(Some(buffer)),
            last_progress: Cell::new(Instant::now()),
            length_at_progress: Cell::new(0),
            evicted: Notify::new(),
        });
        let mut open = receptions.open.borrow_mut();
        open.insert(number, Rc::clone(&reception));
        Self {
            receptions,
            number,
            reception,
        }
    }

    async fn read<B>(&self, mut body: B, max_bytes: usize) -> Result<RequestBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            if let Ok(data) = frame.into_data() {
                self.append(&data, max_bytes)?;
            }
        }
        let received = self.reception.buffer.borrow_mut().take();
        received.map_or(Err(BodyError::Stalled), |buffer| Ok(buffer.finish()))
    }

    fn append(&self, mut bytes: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        if self.reception.length()? + bytes.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        while !bytes.is_empty() {
            self.add_segment_if_needed()?;
            let mut buffer = self.reception.buffer.borrow_mut();
            let buffer = buffer.as_mut().ok_or(BodyError::Stalled)?;
            bytes = buffer.append(bytes);
            self.reception.record_progress(buffer.length());
        }
        Ok(())
    }

    fn add_segment_if_needed(&self) -> Result<(), BodyError> {
        let needed = {
            let buffer = self.reception.buffer.borrow();
            let buffer = buffer.as_ref().ok_or(BodyError::Stalled)?;
            let needed = buffer.needs_segment().then(|| buffer.segment_charge());
            needed.map(|charge| (charge, buffer.length() + charge))
        };
        let Some((charge, length)) = needed else {
            return Ok(());
        };
        let limit = self.receptions.limit_for(length);
        let charge = self.receptions.charge_up_to(charge, limit);
        // Making room may have made this body give way itself.
        let mut buffer = self.reception.buffer.borrow_mut();
        let buffer = buffer.as_mut().ok_or(BodyError::Stalled)?;
        buffer.add_segment(charge.ok_or(BodyError::NoMemory)?);
        Ok(())
    }
}

impl Drop for OpenReception<'_> {
    fn drop(&mut self) {
        self.receptions.open.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
#[path = "body_reception_tests.rs"]
mod tests;
