//! What control machines hear of engines, and when routers and their indexes hear of it.

use std::time::Duration;

use drumshore_core::{EngineId, EngineName, Incarnation, PoolName};
use drumshore_routing::indexer::MIN_BOOKED_TOKENS;
use drumshore_routing::recorder::TraceEvent;
use drumshore_routing::{
    AnswerLoad, Booking, CacheReport, EngineObservation, EngineState, Holding, IndexLookup,
    LoadReport, LookupAnswer, LookupId, Placement,
};
use drumshore_wire::frame::encode_frame;
use drumshore_wire::{
    BookingRecord, BookingReport, EngineLoad, HoldingRecord, List, LoadUpdate, LookupRequest,
    LookupResponse, Message, AGE_UNIT_MS, WAITING_UNIT_TOKENS,
};

use super::run::{zone, Bench, POOL, RECORDED, WEIGHTS};

/// How often control machines ask engines, and how old the answers are when they arrive.
pub(super) const POLL_EVERY: Duration = Duration::from_millis(500);
const REPORT_AGE: Duration = Duration::from_millis(350);

/// From a router to its control machine.
const ONE_WAY: Duration = Duration::from_millis(1);

/// Until a booking has reached the other control machines: they relay with their clock's tick.
const RELAYED_AFTER: Duration = Duration::from_millis(50);

/// What routers or control machines will be told.
pub(super) enum Report {
    Load(usize, LoadReport),
    Start(usize, Incarnation, EngineState),
    Cache(usize, CacheReport),
    Booked { machine: usize, booking: Booking },
}

impl Bench {
    /// Loads and cache changes as they are now arrive later, and are old when they arrive.
    pub(super) fn poll_engines(&mut self) {
        let mut loads = Vec::new();
        for (position, core) in self.engines.iter().enumerate() {
            let Some(core) = core else {
                continue;
            };
            let load = LoadReport {
                waiting_tokens: core.waiting_tokens(),
                running: core.running() as u32,
                at: self.now,
            };
            loads.push(EngineLoad {
                slot: position as u16,
                waiting: (load.waiting_tokens / WAITING_UNIT_TOKENS) as u16,
                running: load.running as u8,
                age: (REPORT_AGE.as_millis() as u64 / AGE_UNIT_MS) as u8,
            });
            let at = self.now.plus(REPORT_AGE);
            // All machines have the same view, so one asks for all.
            let wanted = self.indexers[0].wanted(self.ids[position], self.now);
            let cache = core.cache_report(wanted);
            self.reports.push((at, Report::Load(position, load)));
            self.reports.push((at, Report::Cache(position, cache)));
        }
        let update = Message::Loads(LoadUpdate {
            loads: List::new(loads),
        });
        self.control_bytes += frame_bytes(&update);
    }

    pub(super) fn take_reports(&mut self) {
        let now = self.now;
        let (due, later) = self.reports.drain(..).partition(|(at, _)| *at <= now);
        self.reports = later;
        let due: Vec<(drumshore_core::Timestamp, Report)> = due;
        for (_, report) in due {
            self.take_report(report);
        }
    }

    fn take_report(&mut self, report: Report) {
        match report {
            Report::Load(position, load) => {
                let engine = self.ids[position];
                for placer in &mut self.placers {
                    if let Some(engine) = placer.engines_mut().get_mut(engine) {
                        engine.load = load;
                    }
                }
                for indexer in &mut self.indexers {
                    indexer.on_load(engine, load);
                }
                let report = load;
                self.record(RECORDED, TraceEvent::Load { engine, report });
            }
            Report::Start(position, incarnation, state) => {
                self.tell(position, incarnation, state);
            }
            Report::Cache(position, report) => {
                for indexer in &mut self.indexers {
                    indexer.on_report(self.ids[position], &report, self.now);
                }
            }
            Report::Booked { machine, booking } => {
                self.indexers[machine].book(&booking, self.now);
            }
        }
    }

    pub(super) fn tell(&mut self, engine: usize, incarnation: Incarnation, state: EngineState) {
        let observation = EngineObservation {
            name: EngineName::new(format!("engine-{engine}")),
            address: String::new(),
            zone: zone(engine, self.params.zones),
            pool: PoolName::new(POOL),
            incarnation,
            weights_version: WEIGHTS,
            state,
        };
        for placer in &mut self.placers {
            placer.engines_mut().observe(observation.clone());
        }
        self.states[engine] = state;
        self.record(RECORDED, TraceEvent::Engine { observation });
    }

    /// The index beside the router's control machine answers by what it knows now.
    pub(super) fn ask_index(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let scheduler = self.placers[job.router].scheduler().params();
        let question = IndexLookup {
            id: question_id(job.router, number),
            prefixes: job.chain.lookup_prefixes(),
            block_tokens: job.chain.block_tokens(),
            prompt_tokens: job.chain.prompt_tokens(),
            recompute_weight: scheduler.informed_recompute_weight,
            limit: scheduler.index_engines,
        };
        let ready = self.ids.iter().zip(&self.states);
        let ready = ready.filter(|(_, state)| **state == EngineState::Ready);
        let machine = job.router % self.indexers.len();
        let holdings =
            self.indexers[machine].look_up(&question, ready.map(|(id, _)| *id), self.now);
        self.index_bytes += question_bytes(&question) + answer_bytes(holdings.len());
        let block_tokens = question.block_tokens;
        let answers = holdings.iter().map(|holding| answer(holding, block_tokens));
        job.answers = Some(answers.collect());
        job.asked = true;
        self.retries.push((self.now.plus(ONE_WAY * 2), number));
    }

    /// A router tells its control machine what it placed, and this one the others.
    pub(super) fn book_at_index(&mut self, number: u64, placement: &Placement) {
        let asks = self.asks();
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let asked = std::mem::take(&mut job.asked);
        let missing = placement.uncached_tokens();
        if !asks || (!asked && missing < MIN_BOOKED_TOKENS) {
            return;
        }
        self.index_bytes += booking_bytes();
        let own = job.router % self.indexers.len();
        let question = question_id(job.router, number);
        let booking = self.indexers[own].booking_for_lookup(question, placement.engine, missing);
        for machine in 0..self.indexers.len() {
            let relayed = if machine == own {
                Duration::ZERO
            } else {
                RELAYED_AFTER
            };
            let booking = booking.clone();
            let at = self.now.plus(ONE_WAY + relayed);
            self.reports.push((at, Report::Booked { machine, booking }));
        }
    }
}

fn question_id(router: usize, number: u64) -> LookupId {
    LookupId {
        requester: router as u64,
        ticket: number as u32,
    }
}

fn answer(holding: &Holding, block_tokens: u32) -> LookupAnswer {
    LookupAnswer {
        engine: holding.engine,
        cached_tokens: holding.blocks * block_tokens,
        load: AnswerLoad {
            waiting_tokens: holding.waiting_tokens,
            running: holding.running,
        },
    }
}

fn frame_bytes(message: &Message) -> u64 {
    encode_frame(message).map_or(0, |frame| frame.len() as u64)
}

fn question_bytes(question: &IndexLookup) -> u64 {
    let hashes = question.prefixes.iter().map(|prefix| prefix.hash.0);
    frame_bytes(&Message::LookupRequest(LookupRequest {
        ticket: question.id.ticket,
        member_slot: 0,
        block_tokens: question.block_tokens,
        prompt_tokens: question.prompt_tokens,
        recompute_weight: 0,
        limit: 0,
        step: 1,
        prefixes: List::new(hashes.collect()),
    }))
}

fn answer_bytes(engines: usize) -> u64 {
    let holding = HoldingRecord {
        slot: 0,
        blocks: 0,
        waiting: 0,
        running: 0,
    };
    frame_bytes(&Message::LookupResponse(LookupResponse {
        ticket: 0,
        holdings: List::new(vec![holding; engines]),
    }))
}

fn booking_bytes() -> u64 {
    let record = BookingRecord {
        ticket: 0,
        slot: 0,
        uncached: 0,
    };
    frame_bytes(&Message::BookingReport(BookingReport {
        records: List::new(vec![record]),
    }))
}

/// Identities of engines, for the tests of this module's parent.
pub(super) fn ids(engines: usize) -> Vec<EngineId> {
    let names = (0..engines).map(|number| EngineName::new(format!("engine-{number}")));
    names.map(|name| name.id()).collect()
}
