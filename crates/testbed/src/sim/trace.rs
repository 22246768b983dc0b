//! What happened, as a hash for comparing runs and as the last lines for people.

use std::collections::VecDeque;
use std::fmt::Write;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::Xxh3;

/// Lines kept.
const MAX_LINES: usize = 60;

/// The trace of one run.
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

    /// Notes something that people want to read when a run fails.
    pub(super) fn note(&mut self, at: Timestamp, line: impl AsRef<str>) {
        let mut text = String::new();
        let seconds = at.0 as f64 / 1e6;
        // Writing into a string does not fail.
        let _ = write!(text, "{seconds:9.4} {}", line.as_ref());
        self.hash.update(text.as_bytes());
        self.events += 1;
        self.lines.push_back(text);
        if self.lines.len() > MAX_LINES {
            self.lines.pop_front();
        }
    }

    /// Notes something for the hash only.
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
