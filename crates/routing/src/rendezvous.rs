//! Rendezvous hashing: routers that know the same engines rank them identically for a prefix
//! without communication. An added or removed engine changes the assignment of its own prefixes
//! only.
//!
//! Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.

use drumshore_core::EngineId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::SequenceHash;

/// The weight of an engine for a prefix. The engine with the highest weight is the prefix's home.
pub fn weight(prefix: SequenceHash, engine: EngineId) -> u64 {
    xxh3_64_with_seed(&prefix.0.to_le_bytes(), engine.0)
}

/// Keeps the `limit` highest-weighted items, highest first.
#[derive(Clone, Debug)]
pub struct TopRanked<T> {
    limit: usize,
    items: Vec<(u64, T)>,
}

impl<T: Copy> TopRanked<T> {
    /// Creates an empty ranking.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            items: Vec::with_capacity(limit + 1),
        }
    }

    /// Adds an item if its weight is among the highest. Items of equal weight keep their order of
    /// arrival.
    pub fn offer(&mut self, weight: u64, item: T) {
        let full = self.items.len() == self.limit;
        if full
            && self
                .items
                .last()
                .is_some_and(|(lowest, _)| *lowest >= weight)
        {
            return;
        }
        let position = self
            .items
            .partition_point(|(existing, _)| *existing >= weight);
        self.items.insert(position, (weight, item));
        self.items.truncate(self.limit);
    }

    /// The items, highest weight first.
    pub fn into_items(self) -> impl Iterator<Item = T> {
        self.items.into_iter().map(|(_, item)| item)
    }
}
