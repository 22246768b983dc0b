//! Server-sent events, as far as completion streams use them: one `id` and one `data` line.

/// An event may not be larger, in bytes; engines send one for each few tokens.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'b> {
    /// Its number.
    pub id: Option<u64>,
    /// Its data.
    pub data: &'b str,
    /// Its bytes as received, the closing blank line included.
    pub raw: &'b [u8],
}

/// The bytes are no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// Not text, or larger than the bound.
    #[error("malformed event")]
    Malformed,
}

/// Cuts a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
    consumed: usize,
}

impl EventDecoder {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, when there is one.
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
