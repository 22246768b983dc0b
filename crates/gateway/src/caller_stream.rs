//! The connection of a client, as its server reads it: records what its client is doing, and limits the time for a head.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::client_activity::Activity;
use crate::sockets;

/// A connection that tells when bytes arrive, and whose reads fail when a head takes too long.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    activity: Rc<Activity>,
    head_timeout: Duration,
    /// Runs while a head is arriving.
    timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, activity: Rc<Activity>, head_timeout: Duration) -> Self {
        Self {
            stream,
            activity,
            head_timeout,
            timer: None,
        }
    }

    /// Whether the head that is arriving has taken too long.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> bool {
        if !self.activity.has_partial_head() {
            self.timer = None;
            return false;
        }
        let timeout = self.head_timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(context).is_ready()
    }

    fn apply_unsent_limit(&self) {
        let Some(bytes) = self.activity.take_unsent_limit() else {
            return;
        };
        if let Err(error) = sockets::set_unsent_limit(&self.stream, bytes) {
            tracing::warn!(event = "unsent_limit_failed", bytes, %error,
                "server: failed to limit the unsent bytes of a connection");
        }
    }

    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.on_read();
        }
        // What has arrived is read first: it may finish the head after this process stood still.
        if polled.is_pending() && self.poll_head_timeout(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_unsent_limit();
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_unsent_limit();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.on_write(written.is_pending());
        written
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
