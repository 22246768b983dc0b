//! One router's estimate of which engine caches which prefix.
//!
//! The estimate combines the engine's cache events, the cached tokens that its answers report, and
//! the requests that this router sent. An entry carries the engine's incarnation and is ignored
//! under another one, because a restarted engine has an empty cache. The weight of an entry
//! decreases with its age, by the time that the engine is observed to keep unused blocks.

use drumshore_core::{EngineId, Incarnation, Timestamp};
use rustc_hash::FxHashMap;

use crate::{PrefixChain, SequenceHash};

/// Size limits of a [`PrefixIndex`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixIndexParams {
    /// Maximum number of prefixes.
    pub capacity: usize,
    /// Maximum number of engines for one prefix; the least recently used one is dropped.
    pub holders_per_prefix: usize,
}

impl Default for PrefixIndexParams {
    fn default() -> Self {
        Self {
            capacity: 200_000,
            holders_per_prefix: 8,
        }
    }
}

/// An engine that probably caches a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine that stored the block.
    pub engine: EngineId,
    /// The incarnation that stored the block.
    pub incarnation: Incarnation,
    /// The last time that the engine is known to have stored or used the block.
    pub used_at: Timestamp,
}

/// The leading part of a prompt that one engine probably caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The engine that caches the blocks.
    pub engine: EngineId,
    /// The incarnation for which the entry was recorded.
    pub incarnation: Incarnation,
    /// Number of leading blocks that are probably cached.
    pub blocks: usize,
    /// The last known use of the last of these blocks.
    pub used_at: Timestamp,
}

/// Engines that probably cache each prefix, in bounded memory with two generations as in
/// [`crate::prefix_rates::PrefixRates`].
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    params: PrefixIndexParams,
    young: FxHashMap<SequenceHash, Vec<Holder>>,
    old: FxHashMap<SequenceHash, Vec<Holder>>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(params: PrefixIndexParams) -> Self {
        Self {
            params,
            young: FxHashMap::default(),
            old: FxHashMap::default(),
        }
    }

    /// Records that the engine caches, or will soon cache, all blocks of the chain.
    pub fn record_chain(
        &mut self,
        chain: &PrefixChain,
        engine: EngineId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        for hash in chain.hashes() {
            self.record_stored(
                *hash,
                Holder {
                    engine,
                    incarnation,
                    used_at: now,
                },
            );
        }
    }

    /// Records that an engine caches a block, and replaces an earlier entry of this engine.
    pub fn record_stored(&mut self, block: SequenceHash, holder: Holder) {
        let limit = self.params.holders_per_prefix;
        let holders = self.entry(block);
        holders.retain(|existing| existing.engine != holder.engine);
        if holders.len() >= limit {
            remove_longest_unused(holders);
        }
        holders.push(holder);
    }

    /// Records that an engine evicted a block.
    pub fn record_removed(&mut self, block: SequenceHash, engine: EngineId) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(holders) = generation.get_mut(&block) {
                holders.retain(|holder| holder.engine != engine);
            }
        }
    }

    /// The engines that probably cache leading blocks of the chain, the longest overlap first.
    ///
    /// Searches from the longest prefix to the shortest and returns each engine once, with its last
    /// block in the chain. The blocks before it are assumed to be cached, because engines evict the
    /// end of a chain before its beginning.
    pub fn overlaps(&self, chain: &PrefixChain) -> Vec<Overlap> {
        let mut found: Vec<Overlap> = Vec::new();
        for (depth, hash) in chain.hashes().iter().enumerate().rev() {
            for holder in self.holders(*hash) {
                if found.iter().any(|overlap| overlap.engine == holder.engine) {
                    continue;
                }
                found.push(Overlap {
                    engine: holder.engine,
                    incarnation: holder.incarnation,
                    blocks: depth + 1,
                    used_at: holder.used_at,
                });
            }
        }
        found
    }

    /// Number of prefixes with an entry.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// True if the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holders(&self, block: SequenceHash) -> &[Holder] {
        let holders = self.young.get(&block).or_else(|| self.old.get(&block));
        holders.map_or(&[], Vec::as_slice)
    }

    fn entry(&mut self, block: SequenceHash) -> &mut Vec<Holder> {
        if self.young.len() >= (self.params.capacity / 2).max(1) {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        self.young
            .entry(block)
            .or_insert_with(|| old.remove(&block).unwrap_or_default())
    }
}

fn remove_longest_unused(holders: &mut Vec<Holder>) {
    let oldest = holders
        .iter()
        .enumerate()
        .min_by_key(|(_, holder)| holder.used_at);
    if let Some((position, _)) = oldest {
        holders.remove(position);
    }
}
