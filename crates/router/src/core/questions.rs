//! Asks the index beside the control machine what engines hold of a prompt before it is placed,
//! and tells it where requests went.
//!
//! Beliefs and homes answer for what this router placed itself; the index knows what others did.
//! A machine that does not answer is left alone for a while: requests are then placed by what is
//! believed here.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{EngineId, RequestId, Timestamp};
use drumshore_routing::indexer::MIN_BOOKED_TOKENS;
use drumshore_routing::{AnswerLoad, LookupAnswer, Placement, PrefixChain};
use drumshore_wire::{
    BookingRecord, Bookings, IndexAnswer, IndexQuestion, List, Message, WAITING_UNIT_TOKENS,
};

use super::{Phase, RouterCore};

/// After a question without an answer nothing is asked for this long.
const SILENCE: Duration = Duration::from_secs(1);

/// Tenths in a weight of 1.
const WEIGHT_UNIT: f64 = 10.0;

/// No question went before the booking.
const NO_TICKET: u32 = 0;

/// Questions under way, and bookings to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Questions {
    last_ticket: u32,
    open: BTreeMap<u32, RequestId>,
    silent_until: Timestamp,
    bookings: Vec<BookingRecord>,
}

impl RouterCore {
    /// True when the index is expected to answer.
    pub(super) fn may_ask_index(&self) -> bool {
        self.session.up().is_some() && self.questions.silent_until <= self.now
    }

    /// Asks about a request; false when nothing could be asked.
    pub(super) fn ask_index(&mut self, id: RequestId, chain: &PrefixChain, like: EngineId) -> bool {
        let Some(like) = self.slots.slot(like) else {
            return false;
        };
        let questions = &mut self.questions;
        questions.last_ticket = questions.last_ticket.wrapping_add(1).max(NO_TICKET + 1);
        let ticket = questions.last_ticket;
        questions.open.insert(ticket, id);
        let until = self.now.plus(self.params.index_patience);
        if let Some(request) = self.active.get_mut(&id) {
            request.phase = Phase::AwaitingIndex { ticket, until };
        }
        self.metrics.index_questions += 1;
        let scheduler = &self.params.scheduler;
        let question = question(ticket, like, chain, scheduler.informed_recompute_weight);
        self.send(Message::IndexQuestion(IndexQuestion {
            limit: u8::try_from(scheduler.index_engines).unwrap_or(u8::MAX),
            ..question
        }));
        true
    }

    /// The index has answered.
    pub(super) fn on_index_answer(&mut self, answer: &IndexAnswer) {
        let Some(id) = self.questions.open.get(&answer.ticket).copied() else {
            return;
        };
        let block_tokens = self.block_tokens_of(id);
        let holdings = answer.holdings.items.iter();
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
        self.place_asked(id, &answers);
    }

    /// Places what was asked for and not answered, when it has waited long enough.
    pub(super) fn expire_questions(&mut self) {
        let active = &self.active;
        let asked_until = |id: &RequestId| match active.get(id)?.phase {
            Phase::AwaitingIndex { until, .. } => Some(until),
            _ => None,
        };
        // Requests that ended meanwhile say nothing of the index.
        let open = &mut self.questions.open;
        open.retain(|_, id| asked_until(id).is_some());
        let is_over = |id: &RequestId| asked_until(id).is_some_and(|until| until <= self.now);
        let expired: Vec<RequestId> = open.values().copied().filter(is_over).collect();
        if !expired.is_empty() {
            self.questions.silent_until = self.now.plus(SILENCE);
        }
        for id in expired {
            self.place_asked(id, &[]);
        }
    }

    /// The machine that was asked is gone: nothing will be answered.
    pub(super) fn abandon_questions(&mut self) {
        let open: Vec<RequestId> = self.questions.open.values().copied().collect();
        for id in open {
            self.place_asked(id, &[]);
        }
        self.questions.open.clear();
        self.questions.bookings.clear();
    }

    /// A request was placed: others are to know what its engine will hold and compute.
    pub(super) fn book_at_index(&mut self, ticket: Option<u32>, placement: &Placement) {
        let missing = placement.missing_tokens();
        if ticket.is_none() && missing < MIN_BOOKED_TOKENS {
            return;
        }
        let Some(slot) = self.slots.slot(placement.engine) else {
            return;
        };
        let missing = missing.div_ceil(WAITING_UNIT_TOKENS);
        self.questions.bookings.push(BookingRecord {
            ticket: ticket.unwrap_or(NO_TICKET),
            slot,
            missing: u16::try_from(missing).unwrap_or(u16::MAX),
        });
    }

    /// Sends the bookings that have gathered.
    pub(super) fn send_bookings(&mut self) {
        if self.questions.bookings.is_empty() {
            return;
        }
        let records = List::new(std::mem::take(&mut self.questions.bookings));
        self.send(Message::Bookings(Bookings { records }));
    }

    /// Ends a request's question, and tells its number.
    pub(super) fn take_ticket(&mut self, id: RequestId) -> Option<u32> {
        let Phase::AwaitingIndex { ticket, .. } = self.active.get(&id)?.phase else {
            return None;
        };
        self.questions.open.remove(&ticket);
        Some(ticket)
    }

    fn place_asked(&mut self, id: RequestId, answers: &[LookupAnswer]) {
        let waits = self
            .active
            .get(&id)
            .is_some_and(|request| matches!(request.phase, Phase::AwaitingIndex { .. }));
        if waits && !self.place_informed(id, answers) {
            self.take_ticket(id);
            self.queue_or_place(id);
        }
    }

    fn block_tokens_of(&self, id: RequestId) -> u32 {
        let request = self.active.get(&id);
        let model = request.and_then(|request| self.config.model(&request.ask.model));
        model.map_or(0, |model| model.block_tokens)
    }
}

fn question(ticket: u32, like: u16, chain: &PrefixChain, weight: f64) -> IndexQuestion {
    let prefixes = chain.lookup_prefixes();
    let step = prefixes.first().map_or(1, |prefix| prefix.blocks);
    let hashes = prefixes.iter().map(|prefix| prefix.hash.0);
    IndexQuestion {
        ticket,
        like,
        block_tokens: chain.block_tokens(),
        prompt_tokens: chain.prompt_tokens(),
        recompute_weight: (weight * WEIGHT_UNIT) as u8,
        limit: 0,
        step: u16::try_from(step).unwrap_or(u16::MAX),
        prefixes: List::new(hashes.collect()),
    }
}
