//! Measures the memory and time of the prefix index of a control machine as a function of its
//! number of entries.

use std::time::Instant;

use drumshore_core::{EngineId, EngineName, Incarnation, Timestamp};
use drumshore_routing::{
    CacheChange, CacheReport, Indexer, IndexerParams, IndexLookup, LookupId, LookupPrefix,
    SequenceHash,
};
use procfs::process::Process;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::cli::LabError;
use crate::load::{histogram, Percentiles};

/// Engines of one region: 1,900 engines in 5 regions.
const ENGINES: usize = 380;

/// Changes in the answer to one poll: an engine changes 1,580 blocks a second, half of them new, and
/// is polled twice a second.
const CHANGES_PER_REPORT: usize = 790;

/// Number of prefixes in one lookup.
const PREFIXES: u64 = 16;

const REPORTS: usize = 2_000;
const LOOKUPS: u32 = 20_000;

/// Measurements of an index of one size.
#[derive(Clone, Debug, Serialize)]
pub(super) struct IndexReport {
    /// Number of engines.
    pub(super) engines: usize,
    /// Number of entries: one for each block and each engine that caches it.
    pub(super) entries: usize,
    /// Resident memory per entry.
    pub(super) bytes_per_entry: f64,
    /// Time to apply one change, in nanoseconds.
    pub(super) change_ns: f64,
    /// Time to decode one change from the answer of an engine, in nanoseconds.
    pub(super) decode_ns: f64,
    /// Size of one change in the answer of an engine, in bytes.
    pub(super) change_bytes: f64,
    /// Time to answer one lookup, in microseconds.
    pub(super) question_us: Percentiles,
}

/// Fills an index with `blocks` blocks of each engine and measures it.
pub(super) fn measure(blocks: usize, seed: u64) -> Result<IndexReport, LabError> {
    let mut bench = IndexBench::new(blocks, seed);
    let before = resident_bytes()?;
    bench.fill();
    let entries = bench.indexer.entries();
    let bytes = resident_bytes()?.saturating_sub(before);
    let (decode_ns, change_bytes, change_ns) = bench.churn()?;
    Ok(IndexReport {
        engines: ENGINES,
        entries,
        bytes_per_entry: bytes as f64 / entries.max(1) as f64,
        change_ns,
        decode_ns,
        change_bytes,
        question_us: bench.measure_lookups(),
    })
}

fn resident_bytes() -> Result<u64, LabError> {
    let read = || Process::myself()?.stat();
    let stat = read().map_err(|error| LabError::Usage(error.to_string()))?;
    Ok(stat.rss * procfs::page_size())
}

struct IndexBench {
    indexer: Indexer,
    engines: Vec<EngineId>,
    blocks: usize,
    random: ChaCha8Rng,
    next_change: Vec<u64>,
}

impl IndexBench {
    fn new(blocks: usize, seed: u64) -> Self {
        let names = (0..ENGINES).map(|number| EngineName::new(format!("engine-{number}")));
        Self {
            indexer: Indexer::new(IndexerParams::default()),
            engines: names.map(|name| name.id()).collect(),
            blocks,
            random: ChaCha8Rng::seed_from_u64(seed),
            next_change: vec![1; ENGINES],
        }
    }

    /// Returns the hash of a block of an engine. Every fourth block is shared by 8 engines.
    fn block(&self, engine: usize, number: usize) -> SequenceHash {
        const SHARED_EVERY: usize = 4;
        const SHARED_BY: usize = 8;
        let owner = if number.is_multiple_of(SHARED_EVERY) {
            engine / SHARED_BY
        } else {
            ENGINES + engine
        };
        let number = ((owner as u64) << 32) | number as u64;
        SequenceHash(xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()))
    }

    fn fill(&mut self) {
        for engine in 0..ENGINES {
            let cached = (0..self.blocks).map(|number| self.block(engine, number));
            let report = CacheReport {
                incarnation: Incarnation(1),
                complete: true,
                first: 1,
                changes: cached.map(CacheChange::Stored).collect(),
            };
            self.indexer
                .on_report(self.engines[engine], &report, Timestamp(0));
        }
    }

    /// Applies reports of changed blocks. Returns the time to decode one change, its size, and the
    /// time to apply it.
    fn churn(&mut self) -> Result<(f64, f64, f64), LabError> {
        let (mut decoding, mut bytes, mut taking) = (0.0, 0, 0.0);
        for _ in 0..REPORTS {
            let engine = self.random.random_range(0..ENGINES);
            let body = serde_json::to_vec(&self.report(engine))?;
            bytes += body.len();
            let started = Instant::now();
            let report: CacheReport = serde_json::from_slice(&body)?;
            decoding += started.elapsed().as_secs_f64();
            let started = Instant::now();
            let id = self.engines[engine];
            self.indexer.on_report(id, &report, Timestamp(1));
            taking += started.elapsed().as_secs_f64();
        }
        let changes = (REPORTS * CHANGES_PER_REPORT) as f64;
        let nanoseconds = |seconds: f64| seconds * 1e9 / changes;
        Ok((
            nanoseconds(decoding),
            bytes as f64 / changes,
            nanoseconds(taking),
        ))
    }

    fn report(&mut self, engine: usize) -> CacheReport {
        let first = self.next_change[engine];
        self.next_change[engine] += CHANGES_PER_REPORT as u64;
        let changes = (0..CHANGES_PER_REPORT).map(|position| {
            let number = self.random.random_range(0..self.blocks);
            let block = self.block(engine, number);
            if position.is_multiple_of(2) {
                CacheChange::Stored(block)
            } else {
                CacheChange::Removed(block)
            }
        });
        CacheReport {
            incarnation: Incarnation(1),
            complete: false,
            first,
            changes: changes.collect(),
        }
    }

    fn measure_lookups(&mut self) -> Percentiles {
        let mut nanoseconds = histogram();
        for ticket in 0..LOOKUPS {
            let engine = self.random.random_range(0..ENGINES);
            let first = self.random.random_range(0..self.blocks);
            let prefixes = (0..PREFIXES).map(|offset| LookupPrefix {
                hash: self.block(engine, (first + offset as usize) % self.blocks),
                blocks: offset as u32 + 1,
            });
            let lookup = IndexLookup {
                id: LookupId { requester: 1, ticket },
                prefixes: prefixes.collect(),
                block_tokens: 2_048,
                prompt_tokens: 40_000,
                recompute_weight: 1.6,
                limit: 6,
            };
            let started = Instant::now();
            let engines = self.engines.iter().copied();
            let holdings = self.indexer.look_up(&lookup, engines, Timestamp(1));
            let lookup_ns = started.elapsed().as_nanos() as u64;
            assert!(!holdings.is_empty(), "every engine is a candidate");
            nanoseconds.saturating_record(lookup_ns);
        }
        Percentiles::of(&nanoseconds)
    }
}
