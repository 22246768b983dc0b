//! How long a connection may stay without acknowledgements, set anew for each request on it.
//!
//! When this process's own link is full, acknowledgements arrive late although the peer is sound.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::sockets;

/// Sets the timeout of a connection that another task reads and writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeadPeerTimeout(Rc<Cell<Option<Duration>>>);

impl DeadPeerTimeout {
    /// Takes effect with the next bytes that are sent.
    pub fn set(&self, timeout: Duration) {
        self.0.set(Some(timeout));
    }
}

/// A TCP connection whose timeout can be changed.
#[derive(Debug)]
pub(crate) struct AdjustableStream {
    stream: TcpStream,
    wanted: DeadPeerTimeout,
    current: Duration,
}

impl AdjustableStream {
    /// Wraps a stream that [`sockets::connect`] opened.
    pub fn new(stream: TcpStream, wanted: DeadPeerTimeout) -> Self {
        Self {
            stream,
            wanted,
            current: sockets::UNACKNOWLEDGED_TIMEOUT,
        }
    }

    fn adjust(&mut self) -> io::Result<()> {
        let wanted = self.wanted.0.take();
        if let Some(timeout) = wanted.filter(|timeout| *timeout != self.current) {
            sockets::set_unacknowledged_timeout(&self.stream, timeout)?;
            self.current = timeout;
        }
        Ok(())
    }
}

impl AsyncRead for AdjustableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for AdjustableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.adjust()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.adjust()?;
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
#[path = "dead_peer_timeout_tests.rs"]
mod tests;
