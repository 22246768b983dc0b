//! Splits a stream into server-sent events, as far as resuming it at another back end requires: only whole events are
//! forwarded, and the identifier of the last one is kept.

use bytes::{Bytes, BytesMut};

/// Ends an event (WHATWG HTML §9.2.6, with the line ends that back ends use).
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// Limit of the memory for an incomplete event, above the size of any event that back ends send. Beyond it bytes are
/// forwarded as they arrive.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// The events of one answer.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// The beginning of an event whose end has not arrived.
    pending: BytesMut,
    last_id: Option<Bytes>,
}

impl Events {
    /// Adds bytes and returns the events that are complete now.
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

    /// The incomplete event that remains when the answer has ended.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Discards an incomplete event: the back end that resumes the stream sends it whole.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// The identifier of the last event that was returned.
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
