//! The shared index of the blocks that engines cache. Each control machine runs one for all
//! routers.
//!
//! It is built from the engines' cache reports and from bookings. A booking is a router's message
//! that it has placed a request on an engine. Reports arrive late; a booking states immediately
//! what the engine will soon cache and compute. Together they let a router find the blocks that
//! other routers' requests leave behind, without every router receiving all reports and bookings.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::protocols::{CacheChange, CacheReport};
use crate::{LoadReport, SequenceHash};

/// Requests placed without a lookup are booked only if the engine computes at least this many
/// prompt tokens.
pub const MIN_BOOKED_TOKENS: u32 = 1_024;

/// Size limits and time intervals of an [`Indexer`].
#[derive(Clone, Debug, PartialEq)]
pub struct IndexerParams {
    /// How long a booking counts if no report confirms it. Must exceed the delay of reports.
    pub booking_lifetime: Duration,
    /// Number of recent lookups whose prefixes are kept for the bookings that follow.
    pub remembered_lookups: usize,
    /// Minimum interval between requests for complete reports of one engine.
    pub resync_interval: Duration,
    /// Expected time to compute one prompt token, in microseconds. A reported queue is assumed to
    /// drain at this rate until the next report.
    pub prefill_us_per_token: f64,
}

impl Default for IndexerParams {
    fn default() -> Self {
        Self {
            booking_lifetime: Duration::from_secs(2),
            remembered_lookups: 8_192,
            resync_interval: Duration::from_secs(5),
            prefill_us_per_token: 25.0,
        }
    }
}

/// Identifies a lookup, so that the booking that follows can refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LookupId {
    /// The connection or router that sent the lookup.
    pub requester: u64,
    /// A number chosen by the requester, unique among its recent lookups.
    pub ticket: u32,
}

/// One prefix of a prompt in a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupPrefix {
    /// The hash of the whole prefix.
    pub hash: SequenceHash,
    /// Length of the prefix in blocks.
    pub blocks: u32,
}

/// A router's query for the engines that suit a prompt best.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexLookup {
    /// Identifies this lookup.
    pub id: LookupId,
    /// Some or all prefixes of the prompt, shortest first.
    pub prefixes: Vec<LookupPrefix>,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// Cost of a token to compute, relative to the cost of a token waiting in the queue.
    pub recompute_weight: f64,
    /// Maximum number of engines in the answer.
    pub limit: usize,
}

/// The blocks of a prompt that one engine caches, and the engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The engine that caches the blocks.
    pub engine: EngineId,
    /// Length of the longest cached prefix, in blocks.
    pub blocks: u32,
    /// Estimated prompt tokens in the queue, bookings included.
    pub waiting_tokens: u32,
    /// Sequences that were running at the last load report.
    pub running: u32,
}

/// A router's message that it placed a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// The engine that receives the request.
    pub engine: EngineId,
    /// Prompt tokens that the engine has to compute.
    pub uncached_tokens: u32,
    /// Prefixes that the engine will cache.
    pub prefixes: Vec<SequenceHash>,
}

/// The report to request from an engine next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportWanted {
    /// All blocks that the engine caches.
    Complete,
    /// The changes of this incarnation from this number on. An engine with another incarnation, or
    /// without these changes, sends a complete report.
    ChangesFrom(Incarnation, u64),
}

/// A period of one engine, begun by a restart or a complete report; each invalidates the earlier
/// entries of the engine. Numbers are not reused, so that remaining entries of an earlier epoch are
/// never attributed to a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EngineEpoch(u32);

type EngineEpochs = SmallVec<[EngineEpoch; 4]>;

#[derive(Clone, Copy, Debug)]
struct BookedTokens {
    tokens: u32,
    at: Timestamp,
}

#[derive(Clone, Debug)]
struct IndexedEngine {
    incarnation: Incarnation,
    epoch: EngineEpoch,
    next_change: u64,
    changes_lost: bool,
    resynced_at: Timestamp,
    load: LoadReport,
    booked: Vec<BookedTokens>,
}

/// The shared index on one control machine.
#[derive(Clone, Debug)]
pub struct Indexer {
    params: IndexerParams,
    engines: BTreeMap<EngineId, IndexedEngine>,
    live_epochs: FxHashMap<EngineEpoch, EngineId>,
    next_epoch: u32,
    blocks: FxHashMap<SequenceHash, EngineEpochs>,
    entries: usize,
    entries_after_sweep: usize,
    expected: ExpectedBlocks,
    recent_lookups: VecDeque<(LookupId, Vec<SequenceHash>)>,
}

impl Indexer {
    /// Creates an empty index.
    pub fn new(params: IndexerParams) -> Self {
        Self {
            expected: ExpectedBlocks::new(params.booking_lifetime),
            params,
            engines: BTreeMap::new(),
            live_epochs: FxHashMap::default(),
            next_epoch: 0,
            blocks: FxHashMap::default(),
            entries: 0,
            entries_after_sweep: 0,
            recent_lookups: VecDeque::new(),
        }
    }

    /// Number of entries, one for each engine of each block. Includes entries of earlier epochs
    /// that were not removed yet.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Returns which report to request from an engine next. After lost changes this is a complete
    /// report, but at most one in each resync interval.
    pub fn wanted(&self, engine: EngineId, now: Timestamp) -> ReportWanted {
        let Some(known) = self.engines.get(&engine) else {
            return ReportWanted::Complete;
        };
        let interval_elapsed = now.since(known.resynced_at) >= self.params.resync_interval;
        if known.changes_lost && interval_elapsed {
            return ReportWanted::Complete;
        }
        ReportWanted::ChangesFrom(known.incarnation, known.next_change)
    }

    /// Applies a cache report. Changes that were already applied are skipped; a gap in the numbers
    /// marks changes as lost.
    pub fn on_report(&mut self, engine: EngineId, report: &CacheReport, now: Timestamp) {
        let known = self.engines.get(&engine);
        let same_incarnation = known.is_some_and(|known| known.incarnation == report.incarnation);
        if !same_incarnation || report.complete {
            self.begin_epoch(engine, report, now);
        }
        let Some(known) = self.engines.get_mut(&engine) else {
            return;
        };
        let mut changes = &report.changes[..];
        if !report.complete {
            known.changes_lost |= report.first > known.next_change;
            let repeated = known.next_change.saturating_sub(report.first) as usize;
            changes = changes.get(repeated..).unwrap_or_default();
            let next_reported = report.first + report.changes.len() as u64;
            known.next_change = known.next_change.max(next_reported);
        }
        let epoch = known.epoch;
        for change in changes {
            match change {
                CacheChange::Stored(block) => self.store(*block, epoch),
                CacheChange::Removed(block) => self.remove(*block, epoch),
            }
        }
        self.sweep();
    }

    /// Updates the load of an engine and removes the bookings that the report already includes.
    pub fn on_load(&mut self, engine: EngineId, load: LoadReport) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.load = load;
            known.booked.retain(|booked| booked.at >= load.at);
        }
    }

    /// Removes an engine that no longer exists.
    pub fn forget(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.remove(&engine) {
            self.live_epochs.remove(&known.epoch);
        }
    }

    /// The engines in the index.
    pub fn engines(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.keys().copied()
    }

    /// Answers a lookup with the candidates that have the lowest cost for the prompt, best first,
    /// and keeps its prefixes for the booking that follows.
    pub fn look_up(
        &mut self,
        lookup: &IndexLookup,
        candidates: impl Iterator<Item = EngineId>,
        now: Timestamp,
    ) -> Vec<Holding> {
        let deepest = self.deepest(&lookup.prefixes, now);
        let mut holdings: Vec<(f64, Holding)> = candidates
            .filter_map(|engine| self.holding(engine, &deepest, now))
            .map(|holding| (cost_tokens(lookup, &holding), holding))
            .collect();
        holdings.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.engine.cmp(&b.1.engine)));
        holdings.truncate(lookup.limit);
        if self.recent_lookups.len() == self.params.remembered_lookups {
            self.recent_lookups.pop_front();
        }
        let hashes = lookup.prefixes.iter().map(|prefix| prefix.hash).collect();
        self.recent_lookups.push_back((lookup.id, hashes));
        holdings.into_iter().map(|(_, holding)| holding).collect()
    }

    /// Creates the booking that follows a lookup, with the prefixes of that lookup. They are empty
    /// if the lookup is not kept any more.
    pub fn booking_for_lookup(
        &mut self,
        lookup: LookupId,
        engine: EngineId,
        uncached_tokens: u32,
    ) -> Booking {
        // A booking usually follows one of the latest lookups.
        let lookup_position = self
            .recent_lookups
            .iter()
            .rposition(|(id, _)| *id == lookup);
        let removed = lookup_position.and_then(|position| self.recent_lookups.remove(position));
        Booking {
            engine,
            uncached_tokens,
            prefixes: removed.map_or(Vec::new(), |(_, prefixes)| prefixes),
        }
    }

    /// Records a booking: the engine will compute the missing tokens and cache the prefixes.
    pub fn book(&mut self, booking: &Booking, now: Timestamp) {
        let Some(known) = self.engines.get_mut(&booking.engine) else {
            return;
        };
        let lifetime = self.params.booking_lifetime;
        known
            .booked
            .retain(|booked| now.since(booked.at) < lifetime);
        known.booked.push(BookedTokens {
            tokens: booking.uncached_tokens,
            at: now,
        });
        let epoch = known.epoch;
        for prefix in &booking.prefixes {
            self.expected.expect(*prefix, epoch, now);
        }
    }

    fn holding(
        &self,
        engine: EngineId,
        deepest: &FxHashMap<EngineId, u32>,
        now: Timestamp,
    ) -> Option<Holding> {
        let known = self.engines.get(&engine)?;
        let blocks = deepest.get(&engine).copied().unwrap_or(0);
        // The lost changes may include removals, so only half of the blocks are trusted.
        let trusted = if known.changes_lost {
            blocks / 2
        } else {
            blocks
        };
        Some(Holding {
            engine,
            blocks: trusted,
            waiting_tokens: known.waiting_tokens(now, &self.params),
            running: known.load.running,
        })
    }

    /// For each engine, the length in blocks of the longest prefix that it caches or will cache
    /// soon.
    fn deepest(&self, prefixes: &[LookupPrefix], now: Timestamp) -> FxHashMap<EngineId, u32> {
        let mut deepest = FxHashMap::default();
        for prefix in prefixes.iter().rev() {
            let held = self.blocks.get(&prefix.hash).into_iter().flatten().copied();
            let expected = self.expected.epochs(prefix.hash, now);
            for epoch in held.chain(expected) {
                if let Some(engine) = self.live_epochs.get(&epoch) {
                    deepest.entry(*engine).or_insert(prefix.blocks);
                }
            }
        }
        deepest
    }

    fn begin_epoch(&mut self, engine: EngineId, report: &CacheReport, now: Timestamp) {
        let before = self.engines.remove(&engine);
        if let Some(before) = &before {
            self.live_epochs.remove(&before.epoch);
        }
        let same = before.filter(|before| before.incarnation == report.incarnation);
        self.next_epoch += 1;
        let epoch = EngineEpoch(self.next_epoch);
        self.live_epochs.insert(epoch, engine);
        let indexed = IndexedEngine {
            incarnation: report.incarnation,
            epoch,
            next_change: if report.complete { report.first } else { 1 },
            changes_lost: false,
            resynced_at: now,
            load: same
                .as_ref()
                .map_or(LoadReport::default(), |same| same.load),
            booked: same.map_or(Vec::new(), |same| same.booked),
        };
        self.engines.insert(engine, indexed);
    }

    fn store(&mut self, block: SequenceHash, epoch: EngineEpoch) {
        let epochs = self.blocks.entry(block).or_default();
        let before = epochs.len();
        epochs.retain(|existing| self.live_epochs.contains_key(existing) && *existing != epoch);
        epochs.push(epoch);
        self.entries = self.entries + epochs.len() - before;
    }

    fn remove(&mut self, block: SequenceHash, epoch: EngineEpoch) {
        let Some(epochs) = self.blocks.get_mut(&block) else {
            return;
        };
        let before = epochs.len();
        epochs.retain(|existing| *existing != epoch);
        self.entries -= before - epochs.len();
        if epochs.is_empty() {
            self.blocks.remove(&block);
        }
    }

    /// Removes the entries of earlier epochs whenever the entries have doubled since the last
    /// sweep.
    fn sweep(&mut self) {
        const MIN_ENTRIES: usize = 10_000;
        if self.entries < self.entries_after_sweep.max(MIN_ENTRIES) * 2 {
            return;
        }
        let live_epochs = &self.live_epochs;
        self.blocks.retain(|_, epochs| {
            epochs.retain(|epoch| live_epochs.contains_key(epoch));
            !epochs.is_empty()
        });
        self.entries = self.blocks.values().map(SmallVec::len).sum();
        self.entries_after_sweep = self.entries;
    }
}

impl IndexedEngine {
    /// Estimated prompt tokens in the queue now: the reported queue and the later bookings in
    /// chronological order, minus the tokens that the engine has computed in the meantime.
    fn waiting_tokens(&self, now: Timestamp, params: &IndexerParams) -> u32 {
        let drained = |waiting: f64, from: Timestamp, to: Timestamp| {
            let elapsed_us = to.since(from).as_micros() as f64;
            (waiting - elapsed_us / params.prefill_us_per_token).max(0.0)
        };
        let mut waiting = f64::from(self.load.waiting_tokens);
        let mut at = self.load.at;
        let booked = self.booked.iter();
        for booked in booked.filter(|booked| now.since(booked.at) < params.booking_lifetime) {
            waiting = drained(waiting, at, booked.at) + f64::from(booked.tokens);
            at = at.max(booked.at);
        }
        drained(waiting, at, now) as u32
    }
}

fn cost_tokens(lookup: &IndexLookup, holding: &Holding) -> f64 {
    let held = holding.blocks * lookup.block_tokens;
    let missing = lookup.prompt_tokens.saturating_sub(held);
    f64::from(holding.waiting_tokens) + f64::from(missing) * lookup.recompute_weight
}

/// Blocks that engines will cache soon according to bookings. Two generations expire them: each
/// collects bookings for one `lifetime` and is kept for one more.
#[derive(Clone, Debug)]
struct ExpectedBlocks {
    lifetime: Duration,
    young: FxHashMap<SequenceHash, EngineEpochs>,
    old: FxHashMap<SequenceHash, EngineEpochs>,
    young_since: Timestamp,
}

impl ExpectedBlocks {
    fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            young: FxHashMap::default(),
            old: FxHashMap::default(),
            young_since: Timestamp(0),
        }
    }

    fn expect(&mut self, block: SequenceHash, epoch: EngineEpoch, now: Timestamp) {
        if now.since(self.young_since) >= self.lifetime {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        let epochs = self.young.entry(block).or_default();
        if !epochs.contains(&epoch) {
            epochs.push(epoch);
        }
    }

    fn epochs(
        &self,
        block: SequenceHash,
        now: Timestamp,
    ) -> impl Iterator<Item = EngineEpoch> + '_ {
        let age = now.since(self.young_since);
        let young = (age < self.lifetime * 2).then_some(&self.young);
        let old = (age < self.lifetime).then_some(&self.old);
        let generations = young.into_iter().chain(old);
        generations
            .filter_map(move |generation| generation.get(&block))
            .flatten()
            .copied()
    }
}
