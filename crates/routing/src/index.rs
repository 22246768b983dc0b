//! Which engine is believed to hold which prefix.
//!
//! Three sources are joined: the engine's cache events, what its answers report as cached, and
//! what this router itself sent. A belief carries the engine's incarnation; under another
//! incarnation it counts for nothing, so a dead engine's cache is never relied on. Beliefs fade
//! with the time the engine is seen to keep unused blocks.

use drumshore_core::{EngineId, Incarnation, Timestamp};
use rustc_hash::FxHashMap;

use crate::{PrefixChain, SequenceHash};

/// Bounds on what is remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixIndexParams {
    /// Prefixes remembered.
    pub capacity: usize,
    /// Engines remembered for one prefix; the longest unused goes first.
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

/// An engine believed to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineId,
    /// Its start at the time.
    pub incarnation: Incarnation,
    /// When it was last known to use or store the block.
    pub used_at: Timestamp,
}

/// How much of a prompt one engine is believed to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The engine.
    pub engine: EngineId,
    /// The incarnation the belief is about.
    pub incarnation: Incarnation,
    /// Leading blocks believed held.
    pub blocks: usize,
    /// When the last of them was known to be used.
    pub used_at: Timestamp,
}

/// Beliefs in bounded memory, in two generations like [`crate::prefix_rates::PrefixRates`].
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    params: PrefixIndexParams,
    young: FxHashMap<SequenceHash, Vec<Holder>>,
    old: FxHashMap<SequenceHash, Vec<Holder>>,
}

impl PrefixIndex {
    /// An index that believes nothing.
    pub fn new(params: PrefixIndexParams) -> Self {
        Self {
            params,
            young: FxHashMap::default(),
            old: FxHashMap::default(),
        }
    }

    /// The engine has, or will soon have, all blocks of the chain.
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

    /// An engine holds one block.
    pub fn record_stored(&mut self, block: SequenceHash, holder: Holder) {
        let limit = self.params.holders_per_prefix;
        let holders = self.entry(block);
        holders.retain(|existing| existing.engine != holder.engine);
        if holders.len() >= limit {
            remove_longest_unused(holders);
        }
        holders.push(holder);
    }

    /// An engine no longer holds one block.
    pub fn record_removed(&mut self, block: SequenceHash, engine: EngineId) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(holders) = generation.get_mut(&block) {
                holders.retain(|holder| holder.engine != engine);
            }
        }
    }

    /// The engines believed to hold leading blocks of the chain, in no particular rank.
    ///
    /// Looks from the longest prefix to the shortest and reports each engine once, at its
    /// deepest block: engines drop the tail of a chain before its head.
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

    /// Prefixes remembered now.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// True when nothing is remembered.
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
