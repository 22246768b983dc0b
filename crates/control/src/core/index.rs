//! The index beside this machine: engines report their caches to it, routers ask it.
//!
//! It is a hint and nothing else. It is not replicated, a machine that starts has an empty one
//! until engines have reported, and fences protect from what is out of date in it.

use drumshore_consensus::{Directory, ReplicaId};
use drumshore_core::{EngineId, EngineName, Timestamp};
use drumshore_routing::{
    Booking, CacheReport, Holding, IndexLookup, LoadReport, LookupId, LookupPrefix, ReportWanted,
    SequenceHash,
};
use drumshore_wire::{
    BookingRecord, Bookings, HoldingRecord, IndexAnswer, IndexQuestion, List, Message,
    RelayedBooking, RelayedBookings, WAITING_UNIT_TOKENS,
};

use super::{ControlCore, Effect};
use crate::fleet::EngineProbe;
use crate::subscription::ConnectionId;

/// Tenths in a weight of 1.
const WEIGHT_UNIT: f64 = 10.0;

impl<D: Directory> ControlCore<D> {
    /// What to ask an engine about its cache; `None` when this machine does not index it.
    pub fn report_wanted(&self, engine: &EngineName) -> Option<ReportWanted> {
        let view = self.fleet.get(engine)?;
        let region = &self.params.index_region;
        let indexed = region.is_empty() || view.record.zone.region() == region;
        indexed.then(|| self.indexer.wanted(view.id(), self.clock.now))
    }

    /// Takes in what an engine's cache publishes.
    pub fn on_cache_report(&mut self, engine: &EngineName, report: &CacheReport) {
        if self.fleet.get(engine).is_some() {
            self.indexer.on_report(engine.id(), report, self.clock.now);
        }
    }

    /// Takes in how busy an engine says it is.
    pub(super) fn index_load(&mut self, engine: EngineId, probe: &EngineProbe) {
        let age_us = probe.lag_ms * 1_000;
        self.indexer.on_load(
            engine,
            LoadReport {
                waiting_tokens: probe.waiting_tokens,
                running: probe.running,
                at: Timestamp(self.clock.now.0.saturating_sub(age_us)),
            },
        );
    }

    /// Forgets engines that are not in the fleet any more.
    pub(super) fn trim_index(&mut self) {
        let gone: Vec<EngineId> = self
            .indexer
            .engines()
            .filter(|engine| self.fleet.of_id(*engine).is_none())
            .collect();
        for engine in gone {
            self.indexer.forget(engine);
        }
    }

    /// A router asks what engines hold of a prompt.
    pub(super) fn on_index_question(&mut self, connection: ConnectionId, asked: &IndexQuestion) {
        let Some(like) = self.fleet.of_slot(asked.like) else {
            return;
        };
        let question = question(connection, asked);
        let candidates = self.fleet.peers_of(like);
        let holdings = self
            .indexer
            .ask(&question, candidates, self.clock.now)
            .iter()
            .filter_map(|holding| {
                let view = self.fleet.of_id(holding.engine)?;
                Some(record(view.slot(), holding))
            })
            .collect();
        let answer = IndexAnswer {
            ticket: asked.ticket,
            holdings: List::new(holdings),
        };
        self.hints
            .push(Effect::ToRouter(connection, Message::IndexAnswer(answer)));
    }

    /// A router placed requests. Other machines' routers are told by way of these machines.
    pub(super) fn on_bookings(&mut self, connection: ConnectionId, bookings: &Bookings) {
        for record in &bookings.records.items {
            let Some(booking) = self.booking(connection, record) else {
                continue;
            };
            self.indexer.book(&booking, self.clock.now);
            self.unrelayed.push(relayed(&booking));
        }
    }

    /// Tells the other machines what this one's routers placed since the last time.
    pub(super) fn relay_bookings(&mut self) {
        if self.unrelayed.is_empty() {
            return;
        }
        let bookings = RelayedBookings {
            bookings: List::new(std::mem::take(&mut self.unrelayed)),
        };
        let own = self.id();
        let members = self.replica.raft().membership().members().iter();
        let others = members.map(|member| member.id).filter(|id| *id != own);
        let others: Vec<ReplicaId> = others.collect();
        for other in others {
            let message = Message::RelayedBookings(bookings.clone());
            self.effects.push(Effect::ToControl(other, message));
        }
    }

    /// Another machine's routers placed requests.
    pub(super) fn on_relayed_bookings(&mut self, relayed: &RelayedBookings) {
        for booking in &relayed.bookings.items {
            let prefixes = booking.prefixes.items.iter().copied();
            let booking = Booking {
                engine: EngineId(booking.engine),
                missing_tokens: booking.missing_tokens,
                prefixes: prefixes.map(SequenceHash).collect(),
            };
            self.indexer.book(&booking, self.clock.now);
        }
    }

    fn booking(&mut self, connection: ConnectionId, record: &BookingRecord) -> Option<Booking> {
        let engine = self.fleet.of_slot(record.slot)?.id();
        let question = LookupId {
            requester: connection.0,
            ticket: record.ticket,
        };
        let missing_tokens = u32::from(record.missing) * WAITING_UNIT_TOKENS;
        Some(
            self.indexer
                .booking_for_lookup(question, engine, missing_tokens),
        )
    }
}

fn question(connection: ConnectionId, asked: &IndexQuestion) -> IndexLookup {
    let hashes = asked.prefixes.items.iter().zip(1u32..);
    let prefixes = hashes.map(|(hash, number)| LookupPrefix {
        hash: SequenceHash(*hash),
        blocks: number * u32::from(asked.step),
    });
    IndexLookup {
        id: LookupId {
            requester: connection.0,
            ticket: asked.ticket,
        },
        prefixes: prefixes.collect(),
        block_tokens: asked.block_tokens,
        prompt_tokens: asked.prompt_tokens,
        recompute_weight: f64::from(asked.recompute_weight) / WEIGHT_UNIT,
        limit: usize::from(asked.limit),
    }
}

fn record(slot: u16, holding: &Holding) -> HoldingRecord {
    let waiting = holding.waiting_tokens.div_ceil(WAITING_UNIT_TOKENS);
    HoldingRecord {
        slot,
        blocks: u16::try_from(holding.blocks).unwrap_or(u16::MAX),
        waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
        running: u8::try_from(holding.running).unwrap_or(u8::MAX),
    }
}

fn relayed(booking: &Booking) -> RelayedBooking {
    let prefixes = booking.prefixes.iter().map(|prefix| prefix.0);
    RelayedBooking {
        engine: booking.engine.0,
        missing_tokens: booking.missing_tokens,
        prefixes: List::new(prefixes.collect()),
    }
}
