//! Models how engine state reaches the routers and prefix indexes through the control machines.

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

use super::run::{zone, Bench, POOL, RECORDED_ROUTER, WEIGHTS};

/// Interval at which control machines poll engines.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of an answer to a poll when it reaches routers and indexes.
const REPORT_AGE: Duration = Duration::from_millis(350);

/// Latency between a router and its control machine.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);

/// Additional delay until a booking reaches the other control machines, which is relayed on the
/// next clock tick.
const RELAY_DELAY: Duration = Duration::from_millis(50);

/// An update that reaches routers or indexes at a later time.
pub(super) enum Report {
    Load(usize, LoadReport),
    Start(usize, Incarnation, EngineState),
    Cache(usize, CacheReport),
    Booked { machine: usize, booking: Booking },
}

impl Bench {
    /// Reads loads and cache changes now and schedules their arrival for [`REPORT_AGE`] later.
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
            // All indexes have received the same reports, so the first one decides for all what to
            // request.
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

    pub(super) fn deliver_reports(&mut self) {
        let now = self.now;
        let (due, later) = self.reports.drain(..).partition(|(at, _)| *at <= now);
        self.reports = later;
        let due: Vec<(drumshore_core::Timestamp, Report)> = due;
        for (_, report) in due {
            self.deliver_report(report);
        }
    }

    fn deliver_report(&mut self, report: Report) {
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
                self.record(RECORDED_ROUTER, TraceEvent::Load { engine, report });
            }
            Report::Start(position, incarnation, state) => {
                self.observe_engine(position, incarnation, state);
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

    pub(super) fn observe_engine(
        &mut self,
        engine: usize,
        incarnation: Incarnation,
        state: EngineState,
    ) {
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
        self.record(RECORDED_ROUTER, TraceEvent::Engine { observation });
    }

    /// Sends a lookup to the index of the router's control machine, which answers from its current
    /// state. The request is placed again after the round trip.
    pub(super) fn query_index(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let scheduler = self.placers[job.router].scheduler().params();
        let lookup = IndexLookup {
            id: lookup_id(job.router, number),
            prefixes: job.chain.lookup_prefixes(),
            block_tokens: job.chain.block_tokens(),
            prompt_tokens: job.chain.prompt_tokens(),
            recompute_weight: scheduler.informed_recompute_weight,
            limit: scheduler.index_engines,
        };
        let ready = self.ids.iter().zip(&self.states);
        let ready = ready.filter(|(_, state)| **state == EngineState::Ready);
        let machine = job.router % self.indexers.len();
        let holdings = self.indexers[machine].look_up(&lookup, ready.map(|(id, _)| *id), self.now);
        self.index_traffic_bytes += lookup_bytes(&lookup) + answer_bytes(holdings.len());
        let block_tokens = lookup.block_tokens;
        let answers = holdings.iter().map(|holding| answer(holding, block_tokens));
        job.answers = Some(answers.collect());
        job.booking_pending = true;
        self.retries
            .push((self.now.plus(ONE_WAY_LATENCY * 2), number));
    }

    /// Books a placement at the index of the router's control machine, which relays it to the
    /// others. Without a preceding lookup only placements with enough uncached tokens are booked.
    pub(super) fn book_at_index(&mut self, number: u64, placement: &Placement) {
        let uses_index = self.uses_index();
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let booking_pending = std::mem::take(&mut job.booking_pending);
        let uncached = placement.uncached_tokens();
        if !uses_index || (!booking_pending && uncached < MIN_BOOKED_TOKENS) {
            return;
        }
        self.index_traffic_bytes += booking_bytes();
        let own = job.router % self.indexers.len();
        let lookup = lookup_id(job.router, number);
        let booking = self.indexers[own].booking_for_lookup(lookup, placement.engine, uncached);
        for machine in 0..self.indexers.len() {
            let relay_delay = if machine == own {
                Duration::ZERO
            } else {
                RELAY_DELAY
            };
            let booking = booking.clone();
            let at = self.now.plus(ONE_WAY_LATENCY + relay_delay);
            self.reports.push((at, Report::Booked { machine, booking }));
        }
    }
}

fn lookup_id(router: usize, number: u64) -> LookupId {
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

fn lookup_bytes(lookup: &IndexLookup) -> u64 {
    let hashes = lookup.prefixes.iter().map(|prefix| prefix.hash.0);
    frame_bytes(&Message::LookupRequest(LookupRequest {
        ticket: lookup.id.ticket,
        member_slot: 0,
        block_tokens: lookup.block_tokens,
        prompt_tokens: lookup.prompt_tokens,
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

/// Returns the ids of engines by position.
pub(super) fn ids(engines: usize) -> Vec<EngineId> {
    let names = (0..engines).map(|number| EngineName::new(format!("engine-{number}")));
    names.map(|name| name.id()).collect()
}
