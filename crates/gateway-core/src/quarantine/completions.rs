//! Work that ran to its end a moment ago.

use std::collections::HashSet;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::RequestFingerprint;

/// A run to the end speaks for its work for this long, and at most twice as long. Work that many requests
/// share is in hand at every back end that one of another kind ends, and would be taken for the cause.
/// Longer would shield work that ends back ends since they were replaced.
const GENERATION: Duration = Duration::from_secs(5);
/// The longest for which a run to the end may speak for its work.
pub(crate) const COMPLETION_VALID_FOR: Duration = Duration::from_secs(2 * GENERATION.as_secs());
/// Works of one generation, of 16 bytes each; 111 requests a second, a router's share at the size that the
/// system is meant for, make 555 in that time.
const MOST_WORKS: usize = 4_096;

/// Works that ran to their end, in two generations.
#[derive(Debug, Default)]
pub(crate) struct Completions {
    newer: HashSet<RequestFingerprint>,
    older: HashSet<RequestFingerprint>,
    begun: Timestamp,
}

impl Completions {
    /// Work ran to its end.
    pub fn note(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.age(now);
        if self.newer.len() < MOST_WORKS {
            self.newer.insert(fingerprint);
        }
    }

    /// True when the work ran to its end a moment ago.
    pub fn contains(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        self.age(now);
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }

    fn age(&mut self, now: Timestamp) {
        let age = now.since(self.begun);
        if age < GENERATION {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= COMPLETION_VALID_FOR {
            self.older.clear();
        }
        self.begun = now;
    }
}
