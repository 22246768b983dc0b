//! Tests of the shared index together with the cache reports that engines publish.

use std::collections::BTreeSet;
use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use drumshore_routing::{
    Booking, CacheChange, CachePublisher, CacheReport, Holding, IndexLookup, Indexer,
    IndexerParams, LoadReport, LookupId, LookupPrefix, ReportWanted, SequenceHash,
};
use proptest::prelude::*;
use rstest::rstest;

const ENGINE: EngineId = EngineId(1);
const OTHER: EngineId = EngineId(2);
const BLOCK_TOKENS: u32 = 100;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn hash(number: u64) -> SequenceHash {
    SequenceHash(number)
}

fn complete(incarnation: u64, first: u64, held: &[u64]) -> CacheReport {
    let held = held.iter().copied().map(hash);
    CacheReport {
        incarnation: Incarnation(incarnation),
        complete: true,
        first,
        changes: held.map(CacheChange::Stored).collect(),
    }
}

fn changes(incarnation: u64, first: u64, changes: &[CacheChange]) -> CacheReport {
    CacheReport {
        incarnation: Incarnation(incarnation),
        complete: false,
        first,
        changes: changes.to_vec(),
    }
}

/// A lookup for a chain of the blocks 1, 2, 3 and so on.
fn lookup(ticket: u32, blocks: u64) -> IndexLookup {
    let prefixes = (1..=blocks).map(|number| LookupPrefix {
        hash: hash(number),
        blocks: number as u32,
    });
    IndexLookup {
        id: LookupId {
            requester: 1,
            ticket,
        },
        prefixes: prefixes.collect(),
        block_tokens: BLOCK_TOKENS,
        prompt_tokens: blocks as u32 * BLOCK_TOKENS,
        recompute_weight: 1.0,
        limit: 8,
    }
}

fn look_up(indexer: &mut Indexer, blocks: u64, now: Timestamp) -> Vec<Holding> {
    indexer.look_up(&lookup(1, blocks), [ENGINE, OTHER].into_iter(), now)
}

fn holding_at(
    indexer: &mut Indexer,
    engine: EngineId,
    blocks: u64,
    now: Timestamp,
) -> Option<Holding> {
    let holdings = look_up(indexer, blocks, now);
    holdings
        .into_iter()
        .find(|holding| holding.engine == engine)
}

fn blocks_at(indexer: &mut Indexer, engine: EngineId, blocks: u64, now: Timestamp) -> u32 {
    holding_at(indexer, engine, blocks, now).map_or(0, |holding| holding.blocks)
}

fn indexer_with(held: &[u64]) -> Indexer {
    let mut indexer = Indexer::new(IndexerParams::default());
    indexer.on_report(ENGINE, &complete(1, 10, held), at(0));
    indexer.on_report(OTHER, &complete(1, 1, &[]), at(0));
    indexer
}

#[test]
fn the_engine_with_the_longest_prefix_comes_first() {
    let mut indexer = indexer_with(&[1, 2]);
    indexer.on_report(OTHER, &complete(1, 1, &[1, 2, 3]), at(0));
    let holdings = look_up(&mut indexer, 4, at(1));
    let found: Vec<_> = holdings.iter().map(|h| (h.engine, h.blocks)).collect();
    assert_eq!(found, [(OTHER, 3), (ENGINE, 2)]);
}

#[test]
fn removed_blocks_are_not_found() {
    let mut indexer = indexer_with(&[1, 2, 3]);
    let removed = changes(1, 10, &[CacheChange::Removed(hash(3))]);
    indexer.on_report(ENGINE, &removed, at(1));
    assert_eq!(blocks_at(&mut indexer, ENGINE, 3, at(2)), 2);
}

#[test]
fn a_restarted_engine_has_no_blocks_of_its_earlier_incarnation() {
    let mut indexer = indexer_with(&[1, 2, 3]);
    let started = changes(2, 1, &[CacheChange::Stored(hash(1))]);
    indexer.on_report(ENGINE, &started, at(1));
    assert_eq!(blocks_at(&mut indexer, ENGINE, 3, at(2)), 1);
}

#[test]
fn lost_changes_halve_the_found_blocks_until_a_complete_report() {
    let mut indexer = indexer_with(&[1, 2, 3, 4]);
    let later = changes(1, 12, &[CacheChange::Stored(hash(9))]);
    indexer.on_report(ENGINE, &later, at(6_000));
    assert_eq!(blocks_at(&mut indexer, ENGINE, 4, at(6_000)), 2);
    assert_eq!(indexer.wanted(ENGINE, at(6_000)), ReportWanted::Complete);
    indexer.on_report(ENGINE, &complete(1, 13, &[1, 2, 3]), at(6_500));
    assert_eq!(blocks_at(&mut indexer, ENGINE, 4, at(6_500)), 3);
    let wanted = indexer.wanted(ENGINE, at(6_500));
    assert_eq!(wanted, ReportWanted::ChangesFrom(Incarnation(1), 13));
}

#[test]
fn complete_reports_are_requested_once_per_resync_interval() {
    let mut indexer = indexer_with(&[1]);
    indexer.on_report(ENGINE, &changes(1, 12, &[]), at(1_000));
    let wanted = indexer.wanted(ENGINE, at(1_000));
    assert_eq!(wanted, ReportWanted::ChangesFrom(Incarnation(1), 12));
    assert_eq!(indexer.wanted(ENGINE, at(5_000)), ReportWanted::Complete);
}

#[test]
fn a_report_that_arrives_twice_counts_once() {
    let mut indexer = indexer_with(&[1]);
    let stored = changes(1, 10, &[CacheChange::Stored(hash(2))]);
    let removed = changes(1, 11, &[CacheChange::Removed(hash(2))]);
    for report in [&stored, &removed, &stored] {
        indexer.on_report(ENGINE, report, at(1));
    }
    assert_eq!(blocks_at(&mut indexer, ENGINE, 2, at(2)), 1);
}

#[test]
fn a_booking_counts_before_any_report() {
    let mut indexer = indexer_with(&[]);
    look_up(&mut indexer, 3, at(0));
    let lookup_id = LookupId {
        requester: 1,
        ticket: 1,
    };
    let booking = indexer.booking_for_lookup(lookup_id, ENGINE, 300_000);
    indexer.book(&booking, at(1));
    let booked = Holding {
        engine: ENGINE,
        blocks: 3,
        waiting_tokens: 300_000,
        running: 0,
    };
    assert_eq!(holding_at(&mut indexer, ENGINE, 3, at(1)), Some(booked));
}

#[test]
fn an_unconfirmed_booking_expires() {
    let mut indexer = indexer_with(&[]);
    let booking = Booking {
        engine: ENGINE,
        uncached_tokens: 300_000,
        prefixes: vec![hash(1)],
    };
    indexer.book(&booking, at(1));
    let lifetime = IndexerParams::default().booking_lifetime;
    let later = at(1).plus(lifetime * 2 + Duration::from_millis(1));
    let holdings = look_up(&mut indexer, 1, later);
    assert!(holdings.iter().all(|holding| holding.blocks == 0));
    assert!(holdings.iter().all(|holding| holding.waiting_tokens == 0));
}

#[test]
fn a_booking_does_not_count_after_an_engine_restart() {
    let mut indexer = indexer_with(&[]);
    let booking = Booking {
        engine: ENGINE,
        uncached_tokens: 100,
        prefixes: vec![hash(1)],
    };
    indexer.book(&booking, at(1));
    indexer.on_report(ENGINE, &complete(2, 1, &[]), at(2));
    assert_eq!(blocks_at(&mut indexer, ENGINE, 1, at(3)), 0);
}

#[rstest]
#[case::as_reported(500, 60_000)]
#[case::partly_computed(1_500, 20_000)]
#[case::empty(3_000, 0)]
fn a_reported_queue_drains_with_time(#[case] milliseconds: u64, #[case] waiting: u32) {
    let mut indexer = indexer_with(&[]);
    let load = LoadReport {
        waiting_tokens: 60_000,
        running: 1,
        at: at(500),
    };
    indexer.on_load(ENGINE, load);
    let found = holding_at(&mut indexer, ENGINE, 1, at(milliseconds));
    assert_eq!(found.map(|holding| holding.waiting_tokens), Some(waiting));
}

#[test]
fn a_removed_engine_is_not_found() {
    let mut indexer = indexer_with(&[1]);
    indexer.forget(ENGINE);
    assert_eq!(holding_at(&mut indexer, ENGINE, 1, at(1)), None);
}

#[test]
fn entries_of_earlier_epochs_are_swept() {
    const BLOCKS: u64 = 3_000;
    let mut indexer = Indexer::new(IndexerParams::default());
    for start in 1..40u64 {
        let held: Vec<u64> = (start * BLOCKS..(start + 1) * BLOCKS).collect();
        indexer.on_report(ENGINE, &complete(start, 1, &held), at(start));
    }
    assert!(indexer.entries() < 30_000, "{}", indexer.entries());
}

#[test]
fn a_reader_too_far_behind_gets_no_changes() {
    let mut publisher = CachePublisher::new(Incarnation(1), 4);
    for number in 1..=6 {
        publisher.publish(CacheChange::Stored(hash(number)));
    }
    assert_eq!(publisher.changes_from(Incarnation(1), 2), None);
    let kept = publisher
        .changes_from(Incarnation(1), 3)
        .expect("the changes are kept");
    assert_eq!((kept.first, kept.changes.len()), (3, 4));
    let none = publisher
        .changes_from(Incarnation(1), 7)
        .expect("an empty list of changes");
    assert!(none.changes.is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Store(u64),
    Remove(u64),
    /// The index requests a report, which arrives or is lost.
    Poll {
        arrives: bool,
    },
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..6u64).prop_map(Step::Store),
        3 => (1..6u64).prop_map(Step::Remove),
        4 => any::<bool>().prop_map(|arrives| Step::Poll { arrives }),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

/// A simulated engine with its cache and the changes that it publishes.
struct Engine {
    incarnation: u64,
    publisher: CachePublisher,
    held: BTreeSet<u64>,
}

impl Engine {
    const KEPT: usize = 8;

    fn start(incarnation: u64) -> Self {
        Self {
            incarnation,
            publisher: CachePublisher::new(Incarnation(incarnation), Self::KEPT),
            held: BTreeSet::new(),
        }
    }

    fn report(&self, wanted: ReportWanted) -> CacheReport {
        let kept = match wanted {
            ReportWanted::ChangesFrom(start, number) => self.publisher.changes_from(start, number),
            ReportWanted::Complete => None,
        };
        let held = self.held.iter().copied().map(hash);
        kept.unwrap_or_else(|| self.publisher.complete(held))
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Store(block) if self.held.insert(*block) => {
                self.publisher.publish(CacheChange::Stored(hash(*block)));
            }
            Step::Remove(block) if self.held.remove(block) => {
                self.publisher.publish(CacheChange::Removed(hash(*block)));
            }
            Step::Restart => *self = Self::start(self.incarnation + 1),
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Lost reports leave the index out of date; the next report that arrives must bring it up to
    /// date.
    #[test]
    fn the_index_is_correct_after_the_next_report(steps in steps()) {
        let mut engine = Engine::start(1);
        let mut indexer = Indexer::new(IndexerParams::default());
        let last = [Step::Poll { arrives: true }];
        let mut now = at(0);
        for step in steps.iter().chain(&last) {
            now = now.plus(Duration::from_secs(10));
            let report = engine.report(indexer.wanted(ENGINE, now));
            if matches!(step, Step::Poll { arrives: true }) {
                indexer.on_report(ENGINE, &report, now);
            }
            engine.apply(step);
        }
        for block in 1..6u64 {
            let prefix = LookupPrefix { hash: hash(block), blocks: 1 };
            let single = IndexLookup { prefixes: vec![prefix], ..lookup(1, 1) };
            let found = indexer.look_up(&single, [ENGINE].into_iter(), now);
            let blocks = found.first().map_or(0, |holding| holding.blocks);
            prop_assert_eq!(blocks == 1, engine.held.contains(&block), "block {}", block);
        }
    }
}
