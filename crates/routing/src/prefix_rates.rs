//! Request rates of prefixes, as exponentially decayed counts in bounded memory.

use std::time::Duration;

use drumshore_core::Timestamp;
use rustc_hash::FxHashMap;

use crate::SequenceHash;

#[derive(Clone, Copy, Debug)]
struct Counter {
    value: f64,
    at: Timestamp,
}

/// Decayed request rates of prefixes. Two generations bound the memory: a full young generation
/// replaces the old one, which drops the prefixes that were not requested in the meantime.
#[derive(Clone, Debug)]
pub struct PrefixRates {
    time_constant: Duration,
    generation_entries: usize,
    young: FxHashMap<SequenceHash, Counter>,
    old: FxHashMap<SequenceHash, Counter>,
}

impl PrefixRates {
    /// Counts decay by a factor of e in each `time_constant`; `capacity` limits the number of
    /// entries.
    pub fn new(time_constant: Duration, capacity: usize) -> Self {
        Self {
            time_constant,
            generation_entries: (capacity / 2).max(1),
            young: FxHashMap::default(),
            old: FxHashMap::default(),
        }
    }

    /// The amount by which one request increases a rate, in requests a second.
    pub fn rate_per_request(&self) -> f64 {
        1.0 / self.time_constant.as_secs_f64()
    }

    /// The rate of a prefix, in requests a second.
    pub fn rate(&self, prefix: SequenceHash, now: Timestamp) -> f64 {
        self.count(prefix, now) / self.time_constant.as_secs_f64()
    }

    /// Counts one request for a prefix and returns the new rate, in requests a second.
    pub fn record_request(&mut self, prefix: SequenceHash, now: Timestamp) -> f64 {
        let decayed = self.count(prefix, now);
        self.rotate_when_full();
        self.young.insert(
            prefix,
            Counter {
                value: decayed + 1.0,
                at: now,
            },
        );
        (decayed + 1.0) / self.time_constant.as_secs_f64()
    }

    fn count(&self, prefix: SequenceHash, now: Timestamp) -> f64 {
        let counter = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        counter.map_or(0.0, |counter| self.decayed(counter, now))
    }

    fn decayed(&self, counter: &Counter, now: Timestamp) -> f64 {
        let age = now.since(counter.at).as_secs_f64() / self.time_constant.as_secs_f64();
        counter.value * (-age).exp()
    }

    fn rotate_when_full(&mut self) {
        if self.young.len() >= self.generation_entries {
            self.old = std::mem::take(&mut self.young);
        }
    }
}
