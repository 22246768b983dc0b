//! Reads that a quorum confirms: one question is shared by all who came before it.
//!
//! A question that is not answered soon is followed by another, for it may be lost; it still counts
//! when its answer comes late, and whatever confirms a question confirms those before it.

use std::time::Duration;

use drumshore_consensus::{Directory, LogIndex, ReadState};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect, Reply, Ticket};
use crate::Message;

/// A question that was not confirmed by then is followed by another.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// A router waits longer than an operator, who asks another machine instead.
const ROUTER_PATIENCE: Duration = Duration::from_millis(2_000);

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
    /// Questions under way, the oldest first.
    asked: Vec<Round>,
    confirmed: Vec<(LogIndex, Timestamp, Vec<Read>)>,
}

impl Reads {
    pub fn on_confirmed(&mut self, states: Vec<ReadState>) {
        for state in states {
            let mut rounds = self.asked.iter();
            let Some(answered) = rounds.position(|round| round.context == state.context) else {
                continue;
            };
            for round in self.asked.drain(..=answered) {
                self.confirmed.push((state.index, round.asked, round.reads));
            }
        }
    }

    fn is_question_due(&self, now: Timestamp) -> bool {
        let waits = !self.queued.is_empty() || !self.asked.is_empty();
        let last = self.asked.last();
        waits && last.is_none_or(|round| now.since(round.asked) >= ASK_AGAIN)
    }

    /// Takes out those who waited too long, and questions that nobody waits for.
    fn take_expired(&mut self, now: Timestamp, patience: Duration) -> Vec<Read> {
        let is_expired = |read: &mut Read| now.since(read.since) >= read.patience(patience);
        let mut expired: Vec<Read> = self.queued.extract_if(.., is_expired).collect();
        for round in &mut self.asked {
            expired.extend(round.reads.extract_if(.., is_expired));
        }
        self.asked.retain(|round| !round.reads.is_empty());
        expired
    }
}

impl Read {
    fn patience(&self, of_operators: Duration) -> Duration {
        match self.waiting {
            Waiting::Router(..) => ROUTER_PATIENCE,
            Waiting::Operator(_) | Waiting::Leader => of_operators,
        }
    }
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn queue_read(&mut self, waiting: Waiting) {
        let since = self.now;
        self.reads.queued.push(Read { waiting, since });
    }

    /// Asks for all that wait, unless a question has just been asked.
    pub(super) fn start_reads(&mut self) {
        if !self.reads.is_question_due(self.now) {
            return;
        }
        self.reads.next_context += 1;
        let context = self.reads.next_context;
        if self.replica.raft_mut().read_index(context).is_err() {
            return;
        }
        let reads = std::mem::take(&mut self.reads.queued);
        self.reads.asked.push(Round {
            context,
            asked: self.now,
            reads,
        });
    }

    /// Gives up on those who waited too long.
    pub(super) fn tick_reads(&mut self) {
        let expired = self.reads.take_expired(self.now, self.params.patience);
        for read in expired {
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
