//! Builds the gateway's own answers and defines the body type of all answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::router::{PeerBody, Relay};

/// The body of an answer: the gateway's own bytes, or the body of a back end or of another router that is being
/// forwarded.
pub(crate) enum AnswerBody {
    Own(Full<Bytes>),
    Relayed(Box<Relay>),
    FromPeer(Box<PeerBody>),
}

impl AnswerBody {
    /// The identifier of the request, if the answer is forwarded.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Own(_) => None,
            Self::Relayed(relay) => Some(relay.id()),
            Self::FromPeer(body) => Some(body.id()),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Own(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Relayed(relay) => relay.poll_frame(context),
            Self::FromPeer(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(full) => full.is_end_stream(),
            Self::Relayed(relay) => relay.is_end_stream(),
            Self::FromPeer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(full) => full.size_hint(),
            Self::Relayed(relay) => relay.size_hint(),
            Self::FromPeer(body) => body.size_hint(),
        }
    }
}

/// An answer without a content type.
pub(crate) fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Own(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// A successful answer with a body of the given content type.
pub(crate) fn typed(content_type: &'static str, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::OK, body);
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// A refusal with the time after which to retry.
pub(crate) fn refused(status: StatusCode, after: Duration) -> Response<AnswerBody> {
    let mut response = plain(status, Bytes::new());
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
