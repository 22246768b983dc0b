//! A body of which the bytes that arrived with the head are read before the head is passed on.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::task::yield_now;

/// The body of an answer, of which a part may have been read ahead.
#[derive(Debug)]
pub(crate) struct ReadAheadBody {
    first: Option<hyper::Result<Frame<Bytes>>>,
    rest: Incoming,
}

impl ReadAheadBody {
    /// A body of which nothing has been read.
    pub fn new(rest: Incoming) -> Self {
        Self { first: None, rest }
    }

    /// Reads what has arrived, without waiting for more.
    pub async fn read_ahead(&mut self) {
        if self.first.is_some() {
            return;
        }
        // The connection's task reads when it is asked to, so it gets one turn.
        self.first = tokio::select! {
            biased;
            first = self.rest.frame() => first,
            () = yield_now() => None,
        };
    }

    /// Whether all of the body has been read, ahead or by its user.
    pub fn is_read(&self) -> bool {
        self.rest.is_end_stream()
    }
}

impl Body for ReadAheadBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(first)),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().and_then(|first| first.as_ref().ok());
        let first = first.and_then(Frame::data_ref).map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut all = SizeHint::new();
        all.set_lower(rest.lower() + first);
        if let Some(upper) = rest.upper() {
            all.set_upper(upper + first);
        }
        all
    }
}
