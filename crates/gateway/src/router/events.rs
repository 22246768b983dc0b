//! Server-sent events on their way to a caller, as far as a stream that may be taken up elsewhere
//! has to understand them: only whole events are passed on, and the last identifier is kept.

use bytes::{Bytes, BytesMut};

/// Ends an event (WHATWG HTML §9.2.6, with the line ends that back ends use).
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// A single event is not longer; beyond it the stream is passed on as it comes.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Events of one answer.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// The start of an event whose end has not come.
    pending: BytesMut,
    last_id: Option<Bytes>,
}

impl Events {
    /// Takes in bytes and gives out the events that are whole now.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.pending.is_empty() && bytes.ends_with(EVENT_END) {
            bytes
        } else {
            self.pending.extend_from_slice(&bytes);
            let end = end_of_last_event(&self.pending);
            let length = match end {
                None if self.pending.len() > MAX_PENDING_BYTES => self.pending.len(),
                None => return None,
                Some(end) => end,
            };
            self.pending.split_to(length).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(whole.slice_ref(id));
        }
        Some(whole)
    }

    /// What is left when the answer has ended.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Forgets half an event: another back end makes the whole of it.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// The identifier of the last event that was given out.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END);
    start.map(|start| start + EVENT_END.len())
}

fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next().map(<[u8]>::trim_ascii)
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
