//! The body of a request as its server hands it on.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::client_activity::OpenPart;

/// The body of a request. The connection takes bytes that arrive after it is dropped for a further request.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: Incoming,
    _open: OpenPart,
}

impl CallerBody {
    pub fn new(body: Incoming, open: OpenPart) -> Self {
        Self { body, _open: open }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
