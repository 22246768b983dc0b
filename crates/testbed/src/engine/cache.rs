//! An engine's block memory: least recently used goes first.

use std::collections::BTreeMap;

use drumshore_core::Incarnation;
use drumshore_core::WeightsVersion;
use drumshore_routing::publisher::DEFAULT_KEPT_CHANGES;
use drumshore_routing::{CacheChange, CachePublisher, CacheReport, ReportWanted, SequenceHash};
use rustc_hash::FxHashMap;

/// Where a block came from, for checkers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockOrigin {
    /// The tenant whose request computed it, as a number that the test gave; 0 when unknown.
    pub tenant: u64,
    /// The weights it was computed with.
    pub weights_version: WeightsVersion,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    origin: BlockOrigin,
    used: u64,
}

/// The block memory.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    blocks: FxHashMap<SequenceHash, Block>,
    by_use: BTreeMap<u64, SequenceHash>,
    publisher: CachePublisher,
}

impl BlockCache {
    /// An empty memory for `capacity` blocks.
    pub fn new(capacity: usize, incarnation: Incarnation) -> Self {
        Self {
            publisher: CachePublisher::new(incarnation, DEFAULT_KEPT_CHANGES),
            capacity,
            clock: 0,
            blocks: FxHashMap::default(),
            by_use: BTreeMap::new(),
        }
    }

    /// Leading blocks of a chain that are held.
    pub fn leading(&self, chain: &[SequenceHash]) -> usize {
        let held = |hash: &&SequenceHash| self.blocks.contains_key(hash);
        chain.iter().take_while(held).count()
    }

    /// Origins of the leading `count` blocks.
    pub fn origins<'c>(
        &'c self,
        chain: &'c [SequenceHash],
        count: usize,
    ) -> impl Iterator<Item = BlockOrigin> + 'c {
        let leading = chain.iter().take(count);
        leading.filter_map(|hash| self.blocks.get(hash).map(|block| block.origin))
    }

    /// Stores a chain, or marks it used. A chain's head is marked last, so its tail goes first.
    pub fn store(&mut self, chain: &[SequenceHash], origin: BlockOrigin) {
        for hash in chain.iter().rev() {
            self.touch(*hash, origin);
        }
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// True when nothing is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// What changed, or all that is held when that is wanted or the changes are not kept.
    pub fn report(&self, wanted: ReportWanted) -> CacheReport {
        let changes = match wanted {
            ReportWanted::ChangesFrom(start, number) => self.publisher.changes_from(start, number),
            ReportWanted::Complete => None,
        };
        let held = self.by_use.values().copied();
        changes.unwrap_or_else(|| self.publisher.complete(held))
    }

    fn touch(&mut self, hash: SequenceHash, origin: BlockOrigin) {
        self.clock += 1;
        let used = self.clock;
        let block = self.blocks.entry(hash).or_insert(Block { origin, used: 0 });
        if block.used > 0 {
            self.by_use.remove(&block.used);
        } else {
            self.publisher.publish(CacheChange::Stored(hash));
        }
        block.used = used;
        self.by_use.insert(used, hash);
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.by_use.pop_first() {
            self.blocks.remove(&hash);
            self.publisher.publish(CacheChange::Removed(hash));
        }
    }
}
