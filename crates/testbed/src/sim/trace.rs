//! Trace of a run: a hash over all events for comparing runs, and the last lines as text.

use std::collections::VecDeque;
use std::fmt::Write;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::Xxh3;

/// Text lines that are retained; older ones are discarded.
const MAX_LINES: usize = 60;

/// Hash, event count and last lines of one run.
pub(super) struct Trace {
    hash: Xxh3,
    lines: VecDeque<String>,
    events: u64,
}

impl Trace {
    pub(super) fn new() -> Self {
        Self {
            hash: Xxh3::new(),
            lines: VecDeque::new(),
            events: 0,
        }
    }

    /// Adds a line to the hash and to the lines that are shown when a run fails.
    pub(super) fn note(&mut self, at: Timestamp, line: impl AsRef<str>) {
        let mut text = String::new();
        let seconds = at.0 as f64 / 1e6;
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{seconds:9.4} {}", line.as_ref());
        self.hash.update(text.as_bytes());
        self.events += 1;
        self.lines.push_back(text);
        if self.lines.len() > MAX_LINES {
            self.lines.pop_front();
        }
    }

    /// Adds an event to the hash only.
    pub(super) fn mark(&mut self, at: Timestamp, kind: &str, number: u64) {
        self.hash.update(&at.0.to_le_bytes());
        self.hash.update(kind.as_bytes());
        self.hash.update(&number.to_le_bytes());
        self.events += 1;
    }

    pub(super) fn hash(&self) -> u64 {
        self.hash.digest()
    }

    pub(super) fn events(&self) -> u64 {
        self.events
    }

    pub(super) fn into_lines(self) -> Vec<String> {
        self.lines.into()
    }
}
