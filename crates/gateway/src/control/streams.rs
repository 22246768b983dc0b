//! Keeps the origins of streams that routers report, and answers their questions.

use drumshore_core::Timestamp;
use drumshore_gateway_core::{Message, StreamKey, StreamOrigin, StreamOrigins};
use drumshore_wire::List;

/// Origins that one control machine keeps, of all routers together; about 60 bytes each.
const MAX_ORIGINS: usize = 400_000;

/// The origins of streams at this control machine. They are not replicated: each router tells several machines.
#[derive(Debug)]
pub(super) struct Streams(StreamOrigins);

impl Default for Streams {
    fn default() -> Self {
        Self(StreamOrigins::new(MAX_ORIGINS))
    }
}

impl Streams {
    /// Records what a router reports.
    pub fn record(&mut self, now: Timestamp, origins: &[StreamOrigin]) {
        for origin in origins {
            self.0.record(now, origin);
        }
    }

    /// The answer to a router's question.
    pub fn answer(&self, now: Timestamp, stream: StreamKey) -> Message {
        let software = self.0.find(now, stream);
        Message::StreamSoftware {
            stream,
            software: List::new(software.into_iter().collect()),
        }
    }

    /// The number of origins kept.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
