//! Judges by the body of a back end's answer whether the answer is whole.

use drumshore_gateway_core::RequestKind;
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response};

use super::event_scanner::EventScanner;

const EVENT_STREAM: &str = "text/event-stream";
const CHUNKED: &str = "chunked";

/// What marks the end of a body on its connection (RFC 9112 §6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// Its length is known from the head.
    Length,
    /// The last chunk.
    Chunks,
    /// Only the end of the connection.
    Connection,
}

impl Framing {
    /// What marks the end of the body of an answer.
    pub fn of(response: &Response<impl Body>) -> Self {
        let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
        let last_coding = codings
            .next_back()
            .and_then(|codings| codings.to_str().ok());
        let last_coding = last_coding.and_then(|codings| codings.rsplit(',').next());
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED)) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What the end of a body says of the answer, if the connection broke no rule of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// The back end marked the end.
    Complete,
    /// A stream ended inside an event, a success ended with its connection before any event or byte, or the body goes on
    /// behind its declared length.
    BrokenOff,
    /// The connection ended where the answer may end: it may be complete, or its back end may have ended.
    Unmarked,
}

impl AnswerEnd {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::BrokenOff => "broken_off",
            Self::Unmarked => "unmarked",
        }
    }
}

/// What has arrived of an answer's body.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedBody {
    framing: Framing,
    is_success: bool,
    /// Set when the body is a stream of events.
    events: Option<EventScanner>,
    bytes: u64,
    /// Whether the body goes on behind its declared length.
    exceeds_length: bool,
}

impl ReceivedBody {
    /// The body of an answer to a request of this kind, before its first byte.
    pub fn new(response: &Response<impl Body>, kind: RequestKind) -> Self {
        let is_success = response.status().is_success();
        let is_stream = is_success && is_event_stream(response.headers(), kind);
        Self {
            framing: Framing::of(response),
            is_success,
            events: is_stream.then(EventScanner::default),
            bytes: 0,
            exceeds_length: false,
        }
    }

    /// The body goes on in the answer of another back end, after the last whole event.
    pub fn on_resumed(&mut self, response: &Response<impl Body>) {
        self.framing = Framing::of(response);
        self.exceeds_length = false;
        if let Some(events) = &mut self.events {
            events.discard_partial_event();
        }
    }

    /// Adds bytes of the body. Returns how many of them belong to whole events; all if the body is not a stream.
    pub fn add(&mut self, bytes: &[u8]) -> usize {
        self.bytes += bytes.len() as u64;
        let events = self.events.as_mut();
        events.map_or(bytes.len(), |events| events.scan(bytes))
    }

    /// The rest of the body follows its last byte by the declared length.
    pub fn on_length_exceeded(&mut self) {
        self.exceeds_length = true;
    }

    /// Whether the body goes on behind its declared length.
    pub fn exceeds_length(&self) -> bool {
        self.exceeds_length
    }

    /// What marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Whether the length is known from the head.
    pub fn has_declared_length(&self) -> bool {
        self.framing == Framing::Length
    }

    /// Whole events that carry data or an identifier; `None` if the body is not a stream.
    pub fn events_with_content(&self) -> Option<u64> {
        let events = self.events.as_ref();
        events.map(EventScanner::events_with_content)
    }

    /// Whether another back end can be told what of the stream has arrived.
    pub fn can_be_continued(&self) -> bool {
        let events = self.events.as_ref();
        events.is_none_or(EventScanner::identifies_last_event)
    }

    /// Bytes that have arrived, over all back ends.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What it says of the answer when the body ends here without an error of the connection. An event that lacks its
    /// blank line is discarded by its reader, so a stream that ends inside one lacks it, however it is framed. A success
    /// without a body says so by its length.
    pub fn end(&self) -> AnswerEnd {
        let is_inside_event = self.events.is_some_and(|events| events.is_inside_event());
        let lacks_events = self.events.is_some_and(|events| !events.has_event());
        let lacks_body = self.is_success && self.bytes == 0;
        match self.framing {
            _ if is_inside_event || self.exceeds_length => AnswerEnd::BrokenOff,
            Framing::Length | Framing::Chunks => AnswerEnd::Complete,
            Framing::Connection if lacks_events || lacks_body => AnswerEnd::BrokenOff,
            Framing::Connection => AnswerEnd::Unmarked,
        }
    }
}

/// Whether an answer is a stream of events: by the type that it names, or by the kind of its request if it names none.
fn is_event_stream(headers: &HeaderMap, kind: RequestKind) -> bool {
    let Some(named) = headers.get(CONTENT_TYPE) else {
        return kind.is_stream();
    };
    let named = named.to_str().unwrap_or_default();
    let media_type = named.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
