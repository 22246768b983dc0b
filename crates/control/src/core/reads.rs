//! Linearizable reads: a quorum confirms that the view is current before it is served, so that a
//! read sees all changes that were accepted before it.

use std::collections::BTreeMap;

use drumshore_consensus::{Directory, LogIndex, ReadState};
use drumshore_core::{ResourceKey, ResourceKind, Timestamp};
use drumshore_guard::{enforced, Guard};
use drumshore_wire::TenantQuery;

use super::{ControlCore, Effect};
use crate::operator::{OperatorReply, OperatorTicket};
use crate::subscription::ConnectionId;

/// The caller of a read, and what it reads.
#[derive(Clone, Debug)]
pub(super) enum ReadWaiter {
    /// The connected routers, which are notified that their configuration is current.
    Freshness,
    /// A router that subscribed and waits for the full configuration.
    Subscriber(ConnectionId),
    /// A router that received an API key that it does not know.
    Tenant(ConnectionId, TenantQuery),
    /// An operator that reads one resource.
    Get(OperatorTicket, ResourceKey),
    /// An operator that reads all resources of a kind.
    List(OperatorTicket, ResourceKind),
}

/// The reads that one quorum confirmation covers.
#[derive(Clone, Debug)]
struct ReadRound {
    waiting: Vec<ReadWaiter>,
    resend_at: Timestamp,
    deadline: Timestamp,
}

/// Reads that are not served yet: `queued` until the next flush, `in_flight` until a quorum
/// responds, `confirmed` until the state machine has reached the index.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    next_context: u64,
    queued: Vec<ReadWaiter>,
    in_flight: BTreeMap<u64, ReadRound>,
    confirmed: Vec<(LogIndex, Vec<ReadWaiter>)>,
}

impl Reads {
    /// Records the confirmations of a quorum.
    pub(super) fn on_confirmed(&mut self, states: Vec<ReadState>) {
        for state in states {
            if let Some(round) = self.in_flight.remove(&state.context) {
                self.confirmed.push((state.index, round.waiting));
            }
        }
    }
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn request_read(&mut self, waiting: ReadWaiter) {
        if !enforced(Guard::QuorumRead) {
            self.serve(waiting);
            return;
        }
        self.reads.queued.push(waiting);
    }

    pub(super) fn request_freshness(&mut self) {
        self.request_read(ReadWaiter::Freshness);
    }

    /// Starts one quorum confirmation for all queued reads.
    pub(super) fn start_reads(&mut self) {
        if self.reads.queued.is_empty() {
            return;
        }
        self.reads.next_context += 1;
        let context = self.reads.next_context;
        let now = self.clock.now;
        let round = ReadRound {
            waiting: std::mem::take(&mut self.reads.queued),
            resend_at: now.plus(self.params.resend_interval),
            deadline: now.plus(self.params.quorum_timeout),
        };
        self.reads.in_flight.insert(context, round);
        let _ = self.replica.raft_mut().read_index(context);
    }

    pub(super) fn resend_reads(&mut self) {
        let now = self.clock.now;
        let expired: Vec<u64> = self
            .reads
            .in_flight
            .iter()
            .filter(|(_, round)| round.deadline <= now)
            .map(|(context, _)| *context)
            .collect();
        for context in expired {
            self.give_up_read(context);
        }
        let resend_at = now.plus(self.params.resend_interval);
        let mut due = Vec::new();
        for (context, round) in &mut self.reads.in_flight {
            if round.resend_at <= now {
                round.resend_at = resend_at;
                due.push(*context);
            }
        }
        for context in due {
            let _ = self.replica.raft_mut().read_index(context);
        }
    }

    /// Serves the reads whose confirmed index is applied here.
    pub(super) fn serve_confirmed_reads(&mut self) {
        let applied = self.applied;
        let confirmed = std::mem::take(&mut self.reads.confirmed);
        for (index, waiting) in confirmed {
            if index > applied {
                self.reads.confirmed.push((index, waiting));
                continue;
            }
            self.last_confirmed = Some(self.clock.now);
            for waiting in waiting {
                self.serve(waiting);
            }
        }
    }

    fn serve(&mut self, waiting: ReadWaiter) {
        match waiting {
            ReadWaiter::Freshness => self.push_freshness(),
            ReadWaiter::Subscriber(connection) => self.send_full_config(connection),
            ReadWaiter::Tenant(connection, query) => self.answer_tenant(connection, &query),
            ReadWaiter::Get(ticket, key) => {
                let resource = self.state.store.get(&key).cloned().map(Box::new);
                self.effects
                    .push(Effect::Reply(ticket, OperatorReply::Resource(resource)));
            }
            ReadWaiter::List(ticket, kind) => {
                let resources = self.state.store.list(kind).cloned().collect();
                let reply = OperatorReply::Resources {
                    revision: self.revision(),
                    resources,
                };
                self.effects.push(Effect::Reply(ticket, reply));
            }
        }
    }

    /// Ends reads that timed out. Operators get [`OperatorReply::Unavailable`]. Routers keep the
    /// configuration that they have: a subscription is queued again here, and a router sends its
    /// tenant queries again when it subscribes.
    fn give_up_read(&mut self, context: u64) {
        let Some(round) = self.reads.in_flight.remove(&context) else {
            return;
        };
        for waiting in round.waiting {
            match waiting {
                ReadWaiter::Get(ticket, _) | ReadWaiter::List(ticket, _) => {
                    self.effects
                        .push(Effect::Reply(ticket, OperatorReply::Unavailable));
                }
                ReadWaiter::Subscriber(_) => self.reads.queued.push(waiting),
                ReadWaiter::Freshness | ReadWaiter::Tenant(..) => {}
            }
        }
    }
}
