//! Decoder for the subset of server-sent events that completion streams use: one `id` and one
//! `data` line for each event.

/// Maximum size of an event in bytes. Engines send an event for every few tokens.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// A decoded event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'b> {
    /// The number in its `id` line, if it has one.
    pub id: Option<u64>,
    /// The content of its `data` line.
    pub data: &'b str,
    /// Its bytes as received, including the blank line at the end.
    pub raw: &'b [u8],
}

/// Why bytes cannot be decoded as an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The event is not UTF-8 or exceeds the maximum size.
    #[error("malformed event")]
    Malformed,
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
    consumed: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Result<Option<Event<'_>>, EventError> {
        let pending = &self.buffer[self.consumed..];
        let end = pending.windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            if pending.len() > MAX_EVENT_BYTES {
                return Err(EventError::Malformed);
            }
            return Ok(None);
        };
        let start = self.consumed;
        self.consumed += end + 2;
        parse(&self.buffer[start..self.consumed]).map(Some)
    }
}

fn parse(raw: &[u8]) -> Result<Event<'_>, EventError> {
    let text = std::str::from_utf8(raw).map_err(|_| EventError::Malformed)?;
    let mut event = Event {
        id: None,
        data: "",
        raw,
    };
    for line in text.lines() {
        if let Some(data) = line.strip_prefix("data:") {
            event.data = data.trim_start();
        } else if let Some(id) = line.strip_prefix("id:") {
            event.id = id.trim().parse().ok();
        }
    }
    Ok(event)
}
