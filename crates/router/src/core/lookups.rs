//! Lookups in the cache index at the control machine before a request is placed, and bookings that
//! report where requests were placed.
//!
//! The router's own cache estimate and the homes of prefixes cover the requests that this router
//! placed; the index also covers those of other routers. If the index does not answer, lookups are
//! suspended for a while and requests are placed by the router's own estimate.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{EngineId, RequestId, Timestamp};
use drumshore_routing::indexer::MIN_BOOKED_TOKENS;
use drumshore_routing::{AnswerLoad, LookupAnswer, Placement, PrefixChain};
use drumshore_wire::{
    BookingRecord, BookingReport, List, LookupRequest, LookupResponse, Message, WAITING_UNIT_TOKENS,
};

use super::{Phase, RouterCore};

/// How long lookups are suspended after one was not answered in time.
const LOOKUP_SUSPENSION: Duration = Duration::from_secs(1);

/// Weights are sent in tenths: a weight of 1 is sent as 10.
const WEIGHT_UNIT: f64 = 10.0;

/// Ticket of a booking without a preceding lookup.
const NO_TICKET: u32 = 0;

/// Open lookups by ticket, and bookings to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Lookups {
    last_ticket: u32,
    open: BTreeMap<u32, RequestId>,
    suspended_until: Timestamp,
    bookings: Vec<BookingRecord>,
}

impl RouterCore {
    /// True if the link is open and lookups are not suspended.
    pub(super) fn may_query_index(&self) -> bool {
        self.session.connected_link().is_some() && self.lookups.suspended_until <= self.now
    }

    /// Sends a lookup for a request's prompt among the engines that could serve it; `pool_member` is
    /// one of them. Returns false if the lookup cannot be sent because that engine has no slot.
    pub(super) fn start_lookup(
        &mut self,
        id: RequestId,
        chain: &PrefixChain,
        pool_member: EngineId,
    ) -> bool {
        let Some(slot) = self.slots.slot(pool_member) else {
            return false;
        };
        let lookups = &mut self.lookups;
        lookups.last_ticket = lookups.last_ticket.wrapping_add(1).max(NO_TICKET + 1);
        let ticket = lookups.last_ticket;
        lookups.open.insert(ticket, id);
        let until = self.now.plus(self.params.index_timeout);
        if let Some(request) = self.active.get_mut(&id) {
            request.phase = Phase::AwaitingIndex { ticket, until };
        }
        self.metrics.index_questions += 1;
        let scheduler = &self.params.scheduler;
        let lookup = lookup_message(ticket, slot, chain, scheduler.informed_recompute_weight);
        self.send(Message::LookupRequest(LookupRequest {
            limit: u8::try_from(scheduler.index_engines).unwrap_or(u8::MAX),
            ..lookup
        }));
        true
    }

    /// Places the request that a lookup response belongs to.
    pub(super) fn on_lookup_response(&mut self, response: &LookupResponse) {
        let Some(id) = self.lookups.open.get(&response.ticket).copied() else {
            return;
        };
        let block_tokens = self.block_tokens_of(id);
        let holdings = response.holdings.items.iter();
        let answers: Vec<LookupAnswer> = holdings
            .filter_map(|holding| {
                Some(LookupAnswer {
                    engine: self.slots.engine(holding.slot)?,
                    cached_tokens: u32::from(holding.blocks) * block_tokens,
                    load: AnswerLoad {
                        waiting_tokens: u32::from(holding.waiting) * WAITING_UNIT_TOKENS,
                        running: u32::from(holding.running),
                    },
                })
            })
            .collect();
        self.place_after_lookup(id, &answers);
    }

    /// Places requests whose lookup timed out, and suspends further lookups.
    pub(super) fn expire_lookups(&mut self) {
        let active = &self.active;
        let lookup_deadline = |id: &RequestId| match active.get(id)?.phase {
            Phase::AwaitingIndex { until, .. } => Some(until),
            _ => None,
        };
        // A request that ended in the meantime does not show that the index is unresponsive.
        let open = &mut self.lookups.open;
        open.retain(|_, id| lookup_deadline(id).is_some());
        let is_expired =
            |id: &RequestId| lookup_deadline(id).is_some_and(|until| until <= self.now);
        let expired: Vec<RequestId> = open.values().copied().filter(is_expired).collect();
        if !expired.is_empty() {
            self.lookups.suspended_until = self.now.plus(LOOKUP_SUSPENSION);
        }
        for id in expired {
            self.place_after_lookup(id, &[]);
        }
    }

    /// Places all requests that wait for a lookup, because the link to the index is closed.
    pub(super) fn abandon_lookups(&mut self) {
        let open: Vec<RequestId> = self.lookups.open.values().copied().collect();
        for id in open {
            self.place_after_lookup(id, &[]);
        }
        self.lookups.open.clear();
        self.lookups.bookings.clear();
    }

    /// Queues a booking. It reports to other routers, through the index, what the engine will cache
    /// and compute.
    pub(super) fn queue_booking(&mut self, ticket: Option<u32>, placement: &Placement) {
        let uncached = placement.uncached_tokens();
        if ticket.is_none() && uncached < MIN_BOOKED_TOKENS {
            return;
        }
        let Some(slot) = self.slots.slot(placement.engine) else {
            return;
        };
        let uncached = uncached.div_ceil(WAITING_UNIT_TOKENS);
        self.lookups.bookings.push(BookingRecord {
            ticket: ticket.unwrap_or(NO_TICKET),
            slot,
            uncached: u16::try_from(uncached).unwrap_or(u16::MAX),
        });
    }

    /// Sends the queued bookings in one message.
    pub(super) fn send_bookings(&mut self) {
        if self.lookups.bookings.is_empty() {
            return;
        }
        let records = List::new(std::mem::take(&mut self.lookups.bookings));
        self.send(Message::BookingReport(BookingReport { records }));
    }

    /// Closes a request's open lookup and returns its ticket.
    pub(super) fn close_lookup(&mut self, id: RequestId) -> Option<u32> {
        let Phase::AwaitingIndex { ticket, .. } = self.active.get(&id)?.phase else {
            return None;
        };
        self.lookups.open.remove(&ticket);
        Some(ticket)
    }

    fn place_after_lookup(&mut self, id: RequestId, answers: &[LookupAnswer]) {
        let waits = self
            .active
            .get(&id)
            .is_some_and(|request| matches!(request.phase, Phase::AwaitingIndex { .. }));
        if waits && !self.place_informed(id, answers) {
            self.close_lookup(id);
            self.queue_or_place(id);
        }
    }

    fn block_tokens_of(&self, id: RequestId) -> u32 {
        let request = self.active.get(&id);
        let model = request.and_then(|request| self.config.model(&request.admit_request.model));
        model.map_or(0, |model| model.block_tokens)
    }
}

fn lookup_message(ticket: u32, slot: u16, chain: &PrefixChain, weight: f64) -> LookupRequest {
    let prefixes = chain.lookup_prefixes();
    let step = prefixes.first().map_or(1, |prefix| prefix.blocks);
    let hashes = prefixes.iter().map(|prefix| prefix.hash.0);
    LookupRequest {
        ticket,
        member_slot: slot,
        block_tokens: chain.block_tokens(),
        prompt_tokens: chain.prompt_tokens(),
        recompute_weight: (weight * WEIGHT_UNIT) as u8,
        limit: 0,
        step: u16::try_from(step).unwrap_or(u16::MAX),
        prefixes: List::new(hashes.collect()),
    }
}
