//! Rendezvous hashing: routers that know the same engines rank them alike for a prefix without
//! exchanging a message, and an engine that comes or goes moves only its own share.
//!
//! Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.

use drumshore_core::EngineId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::SequenceHash;

/// How strongly an engine claims a prefix; the highest weight is the prefix's home.
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
    /// An empty ranking.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            items: Vec::with_capacity(limit + 1),
        }
    }

    /// Offers one item. Equal weights keep the order of arrival.
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
