//! Limits on the heads of one answer, interim ones included.
//!
//! An HTTP client discards interim heads (RFC 9110 §15.2) without reporting them, so the bytes are counted below it, on
//! the connection.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Instant, Sleep};

/// Limit of all heads of one answer together.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Interim heads before the head of an answer. Some servers repeat one as a sign of life, seconds apart.
const MAX_INTERIM_HEADS: u32 = 16;
/// How long one head may take from its first byte to its last. A head is one or two packets, of which one may be lost
/// and sent again more than once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read at a time. The HTTP library keeps several reads of an answer that its caller does not take.
const MAX_READ_BYTES: u64 = 8 << 10;
/// Position of the first digit of the status code in the first line of a head.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

/// Which limit the heads of an answer exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadLimit {
    /// Bytes of all heads.
    #[error("the heads of the answer are too long")]
    Bytes,
    /// Interim heads.
    #[error("too many interim heads came before the answer")]
    InterimHeads,
    /// Time from the first to the last byte of one head.
    #[error("a head of the answer took too long")]
    Time,
}

impl HeadLimit {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bytes => "head_bytes",
            Self::InterimHeads => "interim_heads",
            Self::Time => "head_time",
        }
    }
}

/// An answer whose heads exceeded a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadExcess {
    pub limit: HeadLimit,
    /// Bytes of heads that have arrived.
    pub bytes: u64,
    /// Time since the request was sent.
    pub elapsed: Duration,
}

/// The heads of the current answer on a connection; shared by its reader and the sender of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heads(Rc<RefCell<HeadReader>>);

impl Heads {
    /// A request is about to be sent.
    pub fn expect_answer(&self) {
        *self.0.borrow_mut() = HeadReader {
            asked_at: Some(Instant::now()),
            ..HeadReader::default()
        };
    }

    /// The limit that the heads of the current answer exceeded.
    pub fn exceeded(&self) -> Option<HeadExcess> {
        let heads = self.0.borrow();
        heads.exceeded.map(|limit| heads.excess(limit))
    }

    /// How much of the heads has arrived, as an excess of this limit.
    pub fn as_excess(&self, limit: HeadLimit) -> HeadExcess {
        self.0.borrow().excess(limit)
    }
}

/// Reads heads, up to the end of the one that is not interim.
#[derive(Debug, Default)]
struct HeadReader {
    /// When the request was sent; `None` while no head is expected.
    asked_at: Option<Instant>,
    bytes: u64,
    interim_heads: u32,
    exceeded: Option<HeadLimit>,
    /// Bytes of the current line, without its end.
    line_bytes: usize,
    /// Whether the first line of the current head has arrived.
    has_first_line: bool,
    is_interim: bool,
    is_complete: bool,
}

impl HeadReader {
    fn excess(&self, limit: HeadLimit) -> HeadExcess {
        HeadExcess {
            limit,
            bytes: self.bytes,
            elapsed: self.asked_at.map_or(Duration::ZERO, |at| at.elapsed()),
        }
    }

    fn is_reading(&self) -> bool {
        self.asked_at.is_some() && !self.is_complete
    }

    /// Whether a part of a head has arrived.
    fn is_inside_head(&self) -> bool {
        self.is_reading() && (self.has_first_line || self.line_bytes > 0)
    }

    /// Reads the next bytes of the connection; true if a head has ended in them.
    fn read(&mut self, bytes: &[u8]) -> bool {
        let mut has_ended_head = false;
        for byte in bytes {
            if !self.is_reading() {
                break;
            }
            self.bytes += 1;
            has_ended_head |= self.read_byte(*byte);
        }
        if self.bytes > MAX_HEAD_BYTES {
            self.exceeded = Some(HeadLimit::Bytes);
        } else if self.interim_heads > MAX_INTERIM_HEADS {
            self.exceeded = Some(HeadLimit::InterimHeads);
        }
        has_ended_head
    }

    fn read_byte(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => return self.end_line(),
            b'\r' => {}
            _ => {
                if !self.has_first_line && self.line_bytes == STATUS_POSITION {
                    self.is_interim = byte == b'1';
                }
                self.line_bytes += 1;
            }
        }
        false
    }

    /// Ends a line; true if it ended a head. Blank lines before a head belong to none.
    fn end_line(&mut self) -> bool {
        let is_blank = std::mem::take(&mut self.line_bytes) == 0;
        if !is_blank {
            self.has_first_line = true;
            return false;
        }
        if !std::mem::take(&mut self.has_first_line) {
            return false;
        }
        if std::mem::take(&mut self.is_interim) {
            self.interim_heads += 1;
        } else {
            self.is_complete = true;
        }
        true
    }
}

/// A connection whose reads are short, and fail once the heads of an answer exceed a limit.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    heads: Heads,
    /// Runs while a head is arriving.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> LimitedStream<S> {
    pub fn new(stream: S, heads: Heads) -> Self {
        Self {
            stream,
            heads,
            timer: None,
        }
    }

    fn on_read(&mut self, bytes: &[u8]) {
        let mut heads = self.heads.0.borrow_mut();
        if !heads.is_reading() {
            return;
        }
        if heads.read(bytes) {
            self.timer = None;
        }
        if !heads.is_inside_head() {
            self.timer = None;
        } else if self.timer.is_none() {
            self.timer = Some(Box::pin(sleep(HEAD_TIMEOUT)));
        }
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) {
        let timer = self.timer.as_mut();
        if timer.is_some_and(|timer| timer.as_mut().poll(context).is_ready()) {
            self.timer = None;
            self.heads.0.borrow_mut().exceeded = Some(HeadLimit::Time);
        }
    }

    fn check(&self) -> io::Result<()> {
        match self.heads.0.borrow().exceeded {
            Some(limit) => Err(io::Error::new(io::ErrorKind::InvalidData, limit)),
            None => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut limited = (&mut self.stream).take(MAX_READ_BYTES);
        let polled = Pin::new(&mut limited).poll_read(context, buffer);
        if polled.is_ready() {
            self.on_read(&buffer.filled()[before..]);
        }
        self.poll_timer(context);
        self.check()?;
        ready!(polled)?;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
#[path = "head_limits_tests.rs"]
mod tests;
