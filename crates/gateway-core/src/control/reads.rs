//! Linearizable reads: a quorum confirms them in rounds, and a round covers all reads queued before
//! it.
//!
//! A round that is not confirmed soon is followed by another, because its messages may be lost. A
//! late confirmation still counts, and it also confirms all earlier rounds.

use std::time::Duration;

use drumshore_consensus::{Directory, LogIndex, ReadState};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect, Reply, Ticket};
use crate::Message;

/// A round that is not confirmed within this time is followed by another.
const ROUND_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of routers. It is longer than that of operators, who ask another machine instead.
const ROUTER_READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Who waits for a confirmed read.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reader {
    /// An operator who reads the configuration.
    Operator(Ticket),
    /// A router that checks whether its view is current, with the sequence number of its ping.
    Router(ConnectionId, u64),
    /// This leader, before it sends orders.
    Leader,
}

#[derive(Debug)]
struct ReadRequest {
    reader: Reader,
    queued_at: Timestamp,
}

#[derive(Debug)]
struct ReadRound {
    context: u64,
    sent_at: Timestamp,
    reads: Vec<ReadRequest>,
}

/// Pending reads by stage.
#[derive(Debug, Default)]
pub(super) struct Reads {
    next_context: u64,
    queued: Vec<ReadRequest>,
    /// Unconfirmed rounds, oldest first.
    rounds: Vec<ReadRound>,
    confirmed: Vec<(LogIndex, Timestamp, Vec<ReadRequest>)>,
}

impl Reads {
    pub fn on_confirmed(&mut self, states: Vec<ReadState>) {
        for state in states {
            let mut rounds = self.rounds.iter();
            let Some(confirmed_round) = rounds.position(|round| round.context == state.context)
            else {
                continue;
            };
            for round in self.rounds.drain(..=confirmed_round) {
                self.confirmed
                    .push((state.index, round.sent_at, round.reads));
            }
        }
    }

    fn is_round_due(&self, now: Timestamp) -> bool {
        let waits = !self.queued.is_empty() || !self.rounds.is_empty();
        let last = self.rounds.last();
        waits && last.is_none_or(|round| now.since(round.sent_at) >= ROUND_RETRY_INTERVAL)
    }

    /// Removes reads that have timed out, and rounds without any remaining read.
    fn take_expired(&mut self, now: Timestamp, operator_timeout: Duration) -> Vec<ReadRequest> {
        let is_expired =
            |read: &mut ReadRequest| now.since(read.queued_at) >= read.timeout(operator_timeout);
        let mut expired: Vec<ReadRequest> = self.queued.extract_if(.., is_expired).collect();
        for round in &mut self.rounds {
            expired.extend(round.reads.extract_if(.., is_expired));
        }
        self.rounds.retain(|round| !round.reads.is_empty());
        expired
    }
}

impl ReadRequest {
    fn timeout(&self, operator_timeout: Duration) -> Duration {
        match self.reader {
            Reader::Router(..) => ROUTER_READ_TIMEOUT,
            Reader::Operator(_) | Reader::Leader => operator_timeout,
        }
    }
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn queue_read_request(&mut self, reader: Reader) {
        let queued_at = self.now;
        self.reads.queued.push(ReadRequest { reader, queued_at });
    }

    /// Starts a round for all queued reads, unless one was started recently.
    pub(super) fn start_read_round(&mut self) {
        if !self.reads.is_round_due(self.now) {
            return;
        }
        self.reads.next_context += 1;
        let context = self.reads.next_context;
        if self.replica.raft_mut().read_index(context).is_err() {
            return;
        }
        let reads = std::mem::take(&mut self.reads.queued);
        self.reads.rounds.push(ReadRound {
            context,
            sent_at: self.now,
            reads,
        });
    }

    /// Replies to operators whose reads have timed out.
    pub(super) fn expire_reads(&mut self) {
        let expired = self.reads.take_expired(self.now, self.params.reply_timeout);
        for read in expired {
            if let Reader::Operator(ticket) = read.reader {
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
        for (_, sent_at, reads) in ready {
            for read in reads {
                self.answer_read(read.reader, sent_at);
            }
        }
    }

    fn answer_read(&mut self, reader: Reader, sent_at: Timestamp) {
        match reader {
            Reader::Leader => self.confirmed_at = Some(sent_at),
            Reader::Operator(ticket) => {
                let body = self.state.configuration().map(<[u8]>::to_vec);
                let reply = Reply::Configuration(body);
                self.effects.push(Effect::Reply(ticket, reply));
            }
            Reader::Router(connection, sequence) => {
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
