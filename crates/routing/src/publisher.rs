//! The engine's side of cache reports: numbers every change and hands out what came after a
//! number, or everything that is held.

use std::collections::VecDeque;

use drumshore_core::Incarnation;

use crate::protocols::{CacheChange, CacheReport};
use crate::SequenceHash;

/// Changes kept for readers that come back; who falls further behind gets a complete report.
pub const DEFAULT_KEPT_CHANGES: usize = 16_384;

/// Numbers the changes of one start of an engine, from 1.
#[derive(Clone, Debug)]
pub struct CachePublisher {
    incarnation: Incarnation,
    kept: VecDeque<CacheChange>,
    capacity: usize,
    next: u64,
}

impl CachePublisher {
    /// A publisher that has nothing to tell; `capacity` changes are kept.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            kept: VecDeque::new(),
            capacity: capacity.max(1),
            next: 1,
        }
    }

    /// A block was stored or removed.
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

    /// The changes of a start from a number on; `None` when they are not kept any more, or never
    /// were.
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

    /// A report of everything that is held now.
    pub fn complete(&self, held: impl Iterator<Item = SequenceHash>) -> CacheReport {
        CacheReport {
            incarnation: self.incarnation,
            complete: true,
            first: self.next,
            changes: held.map(CacheChange::Stored).collect(),
        }
    }
}
