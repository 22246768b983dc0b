//! The engine's side of cache reports: numbers every change, and returns the changes from a number
//! on or a complete report.

use std::collections::VecDeque;

use drumshore_core::Incarnation;

use crate::protocols::{CacheChange, CacheReport};
use crate::SequenceHash;

/// Default number of changes that are kept. A reader that is further behind gets a complete report.
pub const DEFAULT_KEPT_CHANGES: usize = 16_384;

/// Numbers and keeps the cache changes of one incarnation of an engine.
#[derive(Clone, Debug)]
pub struct CachePublisher {
    incarnation: Incarnation,
    kept: VecDeque<CacheChange>,
    capacity: usize,
    next: u64,
}

impl CachePublisher {
    /// Creates a publisher without changes that keeps the last `capacity` changes, at least 1.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            kept: VecDeque::new(),
            capacity: capacity.max(1),
            next: 1,
        }
    }

    /// Adds a change and drops the oldest one if the capacity is reached.
    pub fn publish(&mut self, change: CacheChange) {
        if self.kept.len() == self.capacity {
            self.kept.pop_front();
        }
        self.kept.push_back(change);
        self.next += 1;
    }

    /// The number that the next change will have.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    /// The changes of an incarnation from a number on. `None` if they are not kept any more, do not
    /// exist, or belong to another incarnation.
    pub fn changes_from(&self, incarnation: Incarnation, number: u64) -> Option<CacheReport> {
        if incarnation != self.incarnation {
            return None;
        }
        let first_kept = self.next - self.kept.len() as u64;
        if number < first_kept || number > self.next {
            return None;
        }
        let skipped = (number - first_kept) as usize;
        Some(CacheReport {
            incarnation: self.incarnation,
            complete: false,
            first: number,
            changes: self.kept.iter().skip(skipped).copied().collect(),
        })
    }

    /// Creates a complete report from the blocks that the engine caches now.
    pub fn complete(&self, held: impl Iterator<Item = SequenceHash>) -> CacheReport {
        CacheReport {
            incarnation: self.incarnation,
            complete: true,
            first: self.next,
            changes: held.map(CacheChange::Stored).collect(),
        }
    }
}
