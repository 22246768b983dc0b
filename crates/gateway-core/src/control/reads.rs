//! Reads that a quorum confirms: one question at a time, shared by all who came before it.

use std::time::Duration;

use drumshore_consensus::{Directory, LogIndex, ReadState};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect, Reply, Ticket};
use crate::Message;

/// A question that was not confirmed by then is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Who waits for a confirmed view.
#[derive(Clone, Copy, Debug)]
pub(super) enum Waiting {
    /// An operator who reads the configuration.
    Operator(Ticket),
    /// A router that asks whether its view is current.
    Router(ConnectionId, u64),
    /// This leader, before it gives orders.
    Leader,
}

#[derive(Debug)]
struct Read {
    waiting: Waiting,
    since: Timestamp,
}

#[derive(Debug)]
struct Round {
    context: u64,
    asked: Timestamp,
    reads: Vec<Read>,
}

/// Reads by how far they have come.
#[derive(Debug, Default)]
pub(super) struct Reads {
    next_context: u64,
    queued: Vec<Read>,
    asked: Option<Round>,
    confirmed: Vec<(LogIndex, Timestamp, Vec<Read>)>,
}

impl Reads {
    pub fn on_confirmed(&mut self, states: Vec<ReadState>) {
        for state in states {
            let current = self.asked.as_ref().map(|round| round.context);
            if current != Some(state.context) {
                continue;
            }
            if let Some(round) = self.asked.take() {
                self.confirmed.push((state.index, round.asked, round.reads));
            }
        }
    }
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn queue_read(&mut self, waiting: Waiting) {
        let since = self.now;
        self.reads.queued.push(Read { waiting, since });
    }

    /// Asks for all that wait, unless a question is under way.
    pub(super) fn start_reads(&mut self) {
        if self.reads.asked.is_some() || self.reads.queued.is_empty() {
            return;
        }
        self.reads.next_context += 1;
        let context = self.reads.next_context;
        if self.replica.raft_mut().read_index(context).is_err() {
            return;
        }
        let reads = std::mem::take(&mut self.reads.queued);
        self.reads.asked = Some(Round {
            context,
            asked: self.now,
            reads,
        });
    }

    /// Gives up on those who waited too long, and on questions that were lost.
    pub(super) fn tick_reads(&mut self) {
        let now = self.now;
        let lost = self.reads.asked.as_ref();
        if lost.is_some_and(|round| now.since(round.asked) >= ASK_AGAIN) {
            let round = self.reads.asked.take();
            self.reads
                .queued
                .extend(round.into_iter().flat_map(|round| round.reads));
        }
        let patience = self.params.patience;
        let expired = |read: &mut Read| now.since(read.since) >= patience;
        for read in self.reads.queued.extract_if(.., expired) {
            if let Waiting::Operator(ticket) = read.waiting {
                self.effects.push(Effect::Reply(ticket, Reply::Unavailable));
            }
        }
    }

    pub(super) fn serve_confirmed_reads(&mut self) {
        let applied = self.applied;
        let ready = self
            .reads
            .confirmed
            .extract_if(.., |(index, ..)| *index <= applied)
            .collect::<Vec<_>>();
        for (_, asked, reads) in ready {
            for read in reads {
                self.serve(read.waiting, asked);
            }
        }
    }

    fn serve(&mut self, waiting: Waiting, asked: Timestamp) {
        match waiting {
            Waiting::Leader => self.confirmed_at = Some(asked),
            Waiting::Operator(ticket) => {
                let body = self.state.configuration().map(<[u8]>::to_vec);
                let reply = Reply::Configuration(body);
                self.effects.push(Effect::Reply(ticket, reply));
            }
            Waiting::Router(connection, sequence) => {
                let controls = self.controls().into_iter().map(u32::from).collect();
                let message = Message::Pong {
                    sequence,
                    revision: self.state.revision(),
                    routers: self.routers.count(),
                    controls: List::new(controls),
                    leader: self.leader().map_or(0, u32::from),
                };
                self.effects.push(Effect::ToRouter(connection, message));
            }
        }
    }
}
