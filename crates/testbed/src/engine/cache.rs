//! An engine's KV block cache, which evicts the least recently used block first.

use std::collections::BTreeMap;

use drumshore_core::Incarnation;
use drumshore_core::WeightsVersion;
use drumshore_routing::publisher::DEFAULT_KEPT_CHANGES;
use drumshore_routing::{CacheChange, CachePublisher, CacheReport, ReportWanted, SequenceHash};
use rustc_hash::FxHashMap;

/// Who computed a block, so that tests detect a block shared across tenants or weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockOrigin {
    /// Number of the tenant whose request computed the block, as given by the test; 0 when
    /// unknown.
    pub tenant: u64,
    /// The weights that the block was computed with.
    pub weights_version: WeightsVersion,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    origin: BlockOrigin,
    last_used: u64,
}

/// A least-recently-used cache of KV blocks that publishes its changes.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    blocks: FxHashMap<SequenceHash, Block>,
    by_last_use: BTreeMap<u64, SequenceHash>,
    publisher: CachePublisher,
}

impl BlockCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize, incarnation: Incarnation) -> Self {
        Self {
            publisher: CachePublisher::new(incarnation, DEFAULT_KEPT_CHANGES),
            capacity,
            clock: 0,
            blocks: FxHashMap::default(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks of a chain are cached.
    pub fn cached_prefix_blocks(&self, chain: &[SequenceHash]) -> usize {
        let cached = |hash: &&SequenceHash| self.blocks.contains_key(hash);
        chain.iter().take_while(cached).count()
    }

    /// Returns the origins of the first `count` blocks of a chain that are cached.
    pub fn origins<'c>(
        &'c self,
        chain: &'c [SequenceHash],
        count: usize,
    ) -> impl Iterator<Item = BlockOrigin> + 'c {
        let prefix = chain.iter().take(count);
        prefix.filter_map(|hash| self.blocks.get(hash).map(|block| block.origin))
    }

    /// Stores the blocks of a chain, or marks them as used. The first block is marked last, so that
    /// a chain is evicted from its end.
    pub fn store(&mut self, chain: &[SequenceHash], origin: BlockOrigin) {
        for hash in chain.iter().rev() {
            self.mark_used(*hash, origin);
        }
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns true when no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the changes since the requested one, or all cached blocks when a complete report is
    /// requested or those changes are no longer retained.
    pub fn report(&self, wanted: ReportWanted) -> CacheReport {
        let changes = match wanted {
            ReportWanted::ChangesFrom(start, number) => self.publisher.changes_from(start, number),
            ReportWanted::Complete => None,
        };
        let cached = self.by_last_use.values().copied();
        changes.unwrap_or_else(|| self.publisher.complete(cached))
    }

    fn mark_used(&mut self, hash: SequenceHash, origin: BlockOrigin) {
        self.clock += 1;
        let last_used = self.clock;
        let block = self.blocks.entry(hash).or_insert(Block {
            origin,
            last_used: 0,
        });
        if block.last_used > 0 {
            self.by_last_use.remove(&block.last_used);
        } else {
            self.publisher.publish(CacheChange::Stored(hash));
        }
        block.last_used = last_used;
        self.by_last_use.insert(last_used, hash);
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.by_last_use.pop_first() {
            self.blocks.remove(&hash);
            self.publisher.publish(CacheChange::Removed(hash));
        }
    }
}
