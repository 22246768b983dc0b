//! Holds back what a stream has of an event, so that it can be resumed at another back end: only whole events are
//! forwarded, and the identifier of the last one is kept.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
/// Limit of the memory for an incomplete event, above the size of any event that back ends send. Beyond it the rest of the
/// stream is forwarded as it arrives, and can no longer be resumed.
pub(super) const MAX_PENDING_BYTES: usize = 256 << 10;

/// The events of one answer.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// The beginning of an event whose end has not arrived.
    pending: BytesMut,
    last_id: Option<Bytes>,
    /// Whether a part of an event has been forwarded, which a back end that resumes the stream would send again.
    has_forwarded_part: bool,
}

impl Events {
    /// Adds bytes, the first `whole` of which end with an event, and returns the events that are complete now.
    pub fn push(&mut self, mut bytes: Bytes, whole: usize) -> Option<Bytes> {
        if self.has_forwarded_part {
            return Some(bytes);
        }
        let partial = bytes.split_off(whole);
        let events = match whole {
            0 => None,
            _ if self.pending.is_empty() => Some(bytes),
            _ => {
                self.pending.extend_from_slice(&bytes);
                Some(self.pending.split().freeze())
            }
        };
        self.pending.extend_from_slice(&partial);
        if events.is_none() && self.pending.len() > MAX_PENDING_BYTES {
            self.has_forwarded_part = true;
            return Some(self.pending.split().freeze());
        }
        let events = events?;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(events.slice_ref(id));
        }
        Some(events)
    }

    /// Discards an incomplete event: the back end that resumes the stream sends it whole.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Whether all that was returned are whole events.
    pub fn allow_resuming(&self) -> bool {
        !self.has_forwarded_part
    }

    /// The identifier of the last event that was returned.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next().map(<[u8]>::trim_ascii)
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
