//! Which engines hold which blocks, for many routers: one index beside each control machine, fed
//! by the engines' cache reports and by what routers say they placed.
//!
//! Reports are late; a booking tells at once what an engine will soon hold and compute. Both
//! together let routers find what other routers have placed, without each hearing everything.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::protocols::{CacheChange, CacheReport};
use crate::{LoadReport, SequenceHash};

/// Requests that were not asked for need a booking only when they compute more tokens than this.
pub const MIN_BOOKED_TOKENS: u32 = 1_024;

/// Bounds and periods of an index.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexerParams {
    /// How long a booking counts when no report confirms it. Longer than a report is late.
    pub booking_lifetime: Duration,
    /// Questions whose prefixes are remembered until the booking that follows them.
    pub remembered_lookups: usize,
    /// Complete reports of one engine are asked for at most this often.
    pub resync_interval: Duration,
    /// Expected time to compute one prompt token, in microseconds. By it a queue that was reported
    /// some time ago is expected to have shrunk.
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

/// A router's question, to be named by the booking that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LookupId {
    /// Who asked.
    pub requester: u64,
    /// The asker's own number.
    pub ticket: u32,
}

/// One prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupPrefix {
    /// Its hash.
    pub hash: SequenceHash,
    /// Its blocks.
    pub blocks: u32,
}

/// What a router wants to know.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexLookup {
    /// Its name.
    pub id: LookupId,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<LookupPrefix>,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// What a token to compute costs in comparison with one to wait for.
    pub recompute_weight: f64,
    /// Engines to name, at most.
    pub limit: usize,
}

/// What one engine holds of a prompt, and how busy it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The engine.
    pub engine: EngineId,
    /// Blocks of the longest prefix that it holds.
    pub blocks: u32,
    /// Prompt tokens that wait there, bookings included.
    pub waiting_tokens: u32,
    /// Sequences that run there.
    pub running: u32,
}

/// A router placed a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens that it will have to compute.
    pub missing_tokens: u32,
    /// Prefixes that it will hold.
    pub prefixes: Vec<SequenceHash>,
}

/// What is to be asked of an engine next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportWanted {
    /// All that it holds.
    Complete,
    /// The changes of this start from a number on; all that it holds when it is another start.
    ChangesFrom(Incarnation, u64),
}

/// One start of one engine. Numbers are not used again, so that what is left of an earlier start
/// is never taken for a later one's.
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

/// The index.
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
    /// An empty index.
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

    /// Blocks known, each as often as engines hold it.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// What is to be asked of an engine next.
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

    /// Takes in an engine's report.
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

    /// Takes in how busy an engine was.
    pub fn on_load(&mut self, engine: EngineId, load: LoadReport) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.load = load;
            known.booked.retain(|booked| booked.at >= load.at);
        }
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.remove(&engine) {
            self.live_epochs.remove(&known.epoch);
        }
    }

    /// The engines known.
    pub fn engines(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.keys().copied()
    }

    /// Answers a question: of the candidates, those at which the prompt's first token is expected
    /// soonest, best first.
    pub fn ask(
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

    /// The booking that follows a question, with the question's prefixes.
    pub fn booking_for_lookup(
        &mut self,
        lookup: LookupId,
        engine: EngineId,
        missing_tokens: u32,
    ) -> Booking {
        // The latest questions are booked first, as a rule.
        let asked = self
            .recent_lookups
            .iter()
            .rposition(|(id, _)| *id == lookup);
        let removed = asked.and_then(|position| self.recent_lookups.remove(position));
        Booking {
            engine,
            missing_tokens,
            prefixes: removed.map_or(Vec::new(), |(_, prefixes)| prefixes),
        }
    }

    /// A router placed a request.
    pub fn book(&mut self, booking: &Booking, now: Timestamp) {
        let Some(known) = self.engines.get_mut(&booking.engine) else {
            return;
        };
        let lifetime = self.params.booking_lifetime;
        known
            .booked
            .retain(|booked| now.since(booked.at) < lifetime);
        known.booked.push(BookedTokens {
            tokens: booking.missing_tokens,
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
        // What was removed may be among the changes that were lost.
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

    /// The blocks of the longest prefix that each engine holds, or soon will.
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

    /// Drops what earlier starts left, whenever the entries have doubled since the last time.
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
    /// What is expected to wait now: the reported queue and the bookings since, in the order of
    /// time, less what the engine has computed in between.
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

/// Blocks that engines will hold soon, in two generations that each last a lifetime.
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
