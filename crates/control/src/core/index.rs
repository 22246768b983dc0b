//! The index of cached prompt prefixes: engines report their caches, and routers query the index
//! to place requests.
//!
//! Its answers are only hints. The index is not replicated and is empty after a start until engines
//! have reported. Fences protect requests from outdated entries.

use drumshore_consensus::{Directory, ReplicaId};
use drumshore_core::{EngineId, EngineName, Timestamp};
use drumshore_routing::{
    Booking, CacheReport, Holding, IndexLookup, LoadReport, LookupId, LookupPrefix, ReportWanted,
    SequenceHash,
};
use drumshore_wire::{
    BookingRecord, BookingReport, HoldingRecord, List, LookupRequest, LookupResponse, Message,
    RelayedBooking, RelayedBookings, WAITING_UNIT_TOKENS,
};

use super::{ControlCore, Effect};
use crate::fleet::EngineProbe;
use crate::subscription::ConnectionId;

/// Weights are sent in tenths: a weight of 1 is sent as this number.
const WEIGHT_SCALE: f64 = 10.0;

impl<D: Directory> ControlCore<D> {
    /// The cache report to request from an engine; `None` if this machine does not index it.
    pub fn report_wanted(&self, engine: &EngineName) -> Option<ReportWanted> {
        let view = self.fleet.get(engine)?;
        let region = &self.params.index_region;
        let indexed = region.is_empty() || view.record.zone.region() == region;
        indexed.then(|| self.indexer.wanted(view.id(), self.clock.now))
    }

    /// Updates the index from a report of an engine's cache.
    pub fn on_cache_report(&mut self, engine: &EngineName, report: &CacheReport) {
        if self.fleet.get(engine).is_some() {
            self.indexer.on_report(engine.id(), report, self.clock.now);
        }
    }

    /// Updates the load of an engine in the index from a probe response.
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

    /// Removes engines from the index that are no longer in the fleet.
    pub(super) fn trim_index(&mut self) {
        let gone: Vec<EngineId> = self
            .indexer
            .engines()
            .filter(|engine| self.fleet.get_by_id(*engine).is_none())
            .collect();
        for engine in gone {
            self.indexer.forget(engine);
        }
    }

    /// Answers a router's lookup of the engines that cache prefixes of a prompt. A lookup with an
    /// unknown slot is dropped.
    pub(super) fn on_lookup_request(&mut self, connection: ConnectionId, request: &LookupRequest) {
        let Some(member) = self.fleet.get_by_slot(request.member_slot) else {
            return;
        };
        let lookup = to_lookup(connection, request);
        let candidates = self.fleet.peers_of(member);
        let holdings = self
            .indexer
            .look_up(&lookup, candidates, self.clock.now)
            .iter()
            .filter_map(|holding| {
                let view = self.fleet.get_by_id(holding.engine)?;
                Some(to_holding_record(view.slot(), holding))
            })
            .collect();
        let answer = LookupResponse {
            ticket: request.ticket,
            holdings: List::new(holdings),
        };
        self.immediate_effects.push(Effect::ToRouter(
            connection,
            Message::LookupResponse(answer),
        ));
    }

    /// Records the requests that a router placed, and queues them for the other control machines,
    /// whose routers must see the bookings as well.
    pub(super) fn on_bookings(&mut self, connection: ConnectionId, bookings: &BookingReport) {
        for record in &bookings.records.items {
            let Some(booking) = self.booking(connection, record) else {
                continue;
            };
            self.indexer.book(&booking, self.clock.now);
            self.bookings_to_relay.push(to_relayed_booking(&booking));
        }
    }

    /// Sends the bookings since the last call to the other control machines.
    pub(super) fn relay_bookings(&mut self) {
        if self.bookings_to_relay.is_empty() {
            return;
        }
        let bookings = RelayedBookings {
            bookings: List::new(std::mem::take(&mut self.bookings_to_relay)),
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

    /// Records the requests that routers of another control machine placed.
    pub(super) fn on_relayed_bookings(&mut self, message: &RelayedBookings) {
        for booking in &message.bookings.items {
            let prefixes = booking.prefixes.items.iter().copied();
            let booking = Booking {
                engine: EngineId(booking.engine),
                uncached_tokens: booking.uncached_tokens,
                prefixes: prefixes.map(SequenceHash).collect(),
            };
            self.indexer.book(&booking, self.clock.now);
        }
    }

    fn booking(&mut self, connection: ConnectionId, record: &BookingRecord) -> Option<Booking> {
        let engine = self.fleet.get_by_slot(record.slot)?.id();
        let lookup_id = LookupId {
            requester: connection.0,
            ticket: record.ticket,
        };
        let uncached_tokens = u32::from(record.uncached) * WAITING_UNIT_TOKENS;
        Some(
            self.indexer
                .booking_for_lookup(lookup_id, engine, uncached_tokens),
        )
    }
}

fn to_lookup(connection: ConnectionId, request: &LookupRequest) -> IndexLookup {
    let hashes = request.prefixes.items.iter().zip(1u32..);
    let prefixes = hashes.map(|(hash, number)| LookupPrefix {
        hash: SequenceHash(*hash),
        blocks: number * u32::from(request.step),
    });
    IndexLookup {
        id: LookupId {
            requester: connection.0,
            ticket: request.ticket,
        },
        prefixes: prefixes.collect(),
        block_tokens: request.block_tokens,
        prompt_tokens: request.prompt_tokens,
        recompute_weight: f64::from(request.recompute_weight) / WEIGHT_SCALE,
        limit: usize::from(request.limit),
    }
}

fn to_holding_record(slot: u16, holding: &Holding) -> HoldingRecord {
    let waiting = holding.waiting_tokens.div_ceil(WAITING_UNIT_TOKENS);
    HoldingRecord {
        slot,
        blocks: u16::try_from(holding.blocks).unwrap_or(u16::MAX),
        waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
        running: u8::try_from(holding.running).unwrap_or(u8::MAX),
    }
}

fn to_relayed_booking(booking: &Booking) -> RelayedBooking {
    let prefixes = booking.prefixes.iter().map(|prefix| prefix.0);
    RelayedBooking {
        engine: booking.engine.0,
        uncached_tokens: booking.uncached_tokens,
        prefixes: List::new(prefixes.collect()),
    }
}
