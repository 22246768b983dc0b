//! The bodies of requests, kept in segments of a fixed size: a byte costs the same however the body was cut on its way,
//! and a growing body is never copied.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory_account::Charge;

/// Capacity of the segments of a long body.
const SEGMENT_BYTES: usize = 16 << 10;
/// Capacity of the first segment of a body of unknown length.
const FIRST_SEGMENT_BYTES: usize = 1 << 10;
/// What a segment takes beside its bytes: its entry in a list, and what the allocator adds.
const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// The most that a body of so many bytes is charged.
pub(crate) fn max_charge(body_bytes: usize) -> usize {
    let segments = body_bytes / SEGMENT_BYTES + SEGMENT_BYTES / FIRST_SEGMENT_BYTES;
    body_bytes + SEGMENT_BYTES + segments * SEGMENT_OVERHEAD_BYTES
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    full: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
    /// The length that the head of the request declares.
    declared: Option<usize>,
    charge: Charge,
}

impl BodyBuffer {
    /// A body of which no byte has been received. The charge of each segment is added to `charge`.
    pub fn new(declared: Option<usize>, charge: Charge) -> Self {
        Self {
            full: Vec::new(),
            last: Vec::new(),
            length: 0,
            declared,
            charge,
        }
    }

    /// Bytes that have been received.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Bytes that are charged.
    pub fn charged(&self) -> usize {
        self.charge.bytes()
    }

    /// Whether the next byte needs a further segment.
    pub fn needs_segment(&self) -> bool {
        self.last.len() == self.last.capacity()
    }

    /// What a further segment is charged.
    pub fn segment_charge(&self) -> usize {
        self.segment_capacity() + SEGMENT_OVERHEAD_BYTES
    }

    /// Adds a segment that has been charged.
    pub fn add_segment(&mut self, charge: Charge) {
        let segment = Vec::with_capacity(self.segment_capacity());
        let full = std::mem::replace(&mut self.last, segment);
        if !full.is_empty() {
            self.full.push(Bytes::from(full));
        }
        self.charge.merge(charge);
    }

    /// Adds bytes up to the end of the last segment; returns those that do not fit.
    pub fn append<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let free = self.last.capacity() - self.last.len();
        let (fitting, others) = bytes.split_at(free.min(bytes.len()));
        self.last.extend_from_slice(fitting);
        self.length += fitting.len();
        others
    }

    /// The whole body.
    pub fn finish(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.full.push(Bytes::from(self.last));
        }
        RequestBody {
            segments: self.full.into(),
            length: self.length,
            _charge: Some(Rc::new(self.charge)),
        }
    }

    fn segment_capacity(&self) -> usize {
        let remaining = self.declared.map(|declared| declared - self.length);
        let capacity = remaining.unwrap_or(self.length.max(FIRST_SEGMENT_BYTES));
        capacity.clamp(1, SEGMENT_BYTES)
    }
}

/// The whole body of a request; clones share its bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    segments: Rc<[Bytes]>,
    length: usize,
    /// Held while any clone is.
    _charge: Option<Rc<Charge>>,
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            segments: Rc::new([bytes]),
            _charge: None,
        }
    }
}

impl RequestBody {
    /// Its bytes, in order.
    pub fn parts(&self) -> Vec<&[u8]> {
        self.segments.iter().map(AsRef::as_ref).collect()
    }

    /// Its bytes in one piece, which are copied unless they are in one segment.
    pub fn to_contiguous(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [only] => only.clone(),
            segments => Bytes::from(segments.concat()),
        }
    }

    /// The body for one attempt to send it.
    pub fn to_outbound(&self) -> OutboundBody {
        OutboundBody {
            body: self.clone(),
            sent_segments: 0,
            remaining: self.length as u64,
        }
    }
}

/// A body that is being sent.
#[derive(Debug)]
pub(crate) struct OutboundBody {
    body: RequestBody,
    sent_segments: usize,
    remaining: u64,
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.body.segments.get(self.sent_segments).cloned() else {
            return Poll::Ready(None);
        };
        self.sent_segments += 1;
        self.remaining -= segment.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}

#[cfg(test)]
#[path = "request_body_tests.rs"]
mod tests;
