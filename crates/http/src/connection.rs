//! Reads from one connection with a deadline.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum bytes in one read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// The receiving half of a connection: the socket and the bytes read ahead.
#[derive(Debug)]
pub(crate) struct Input {
    stream: TcpStream,
    buffer: Vec<u8>,
    consumed: usize,
    deadline: Option<Instant>,
}

impl Input {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            deadline: None,
        }
    }

    /// Sets the deadline for all following reads to `timeout` from now.
    pub(crate) fn restart_deadline(&mut self, timeout: Duration) {
        self.deadline = Some(Instant::now() + timeout);
    }

    /// The bytes that were read ahead and not consumed yet.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads from the socket and appends to the buffer. Returns the number of bytes, 0 at the end
    /// of the stream. Fails with `TimedOut` after the deadline.
    pub(crate) fn fill(&mut self) -> io::Result<usize> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.arm_timeout()?;
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let result = self.stream.read(&mut self.buffer[length..]);
        self.buffer
            .truncate(length + result.as_ref().map_or(0, |count| *count));
        result.map_err(map_would_block_to_timed_out)
    }

    fn arm_timeout(&self) -> io::Result<()> {
        let Some(deadline) = self.deadline else {
            return self.stream.set_read_timeout(None);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))
    }
}

impl Read for Input {
    fn read(&mut self, target: &mut [u8]) -> io::Result<usize> {
        if self.buffered().is_empty() && self.fill()? == 0 {
            return Ok(0);
        }
        let count = target.len().min(self.buffered().len());
        target[..count].copy_from_slice(&self.buffered()[..count]);
        self.consume(count);
        Ok(count)
    }
}

/// Sockets report a read timeout as `WouldBlock`; callers expect `TimedOut`.
fn map_would_block_to_timed_out(error: io::Error) -> io::Error {
    if error.kind() == io::ErrorKind::WouldBlock {
        return io::ErrorKind::TimedOut.into();
    }
    error
}
