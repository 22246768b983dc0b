//! Commands on their way into the log, and the callers that wait for them.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::Blob;

use super::{ControlCore, Effect, Reply, Ticket};
use crate::{Command, Message, Proposal, ProposalId};

/// A command that is not committed by then is sent again; applying it twice changes nothing.
const RESEND_AFTER: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Pending {
    ticket: Option<Ticket>,
    encoded: Vec<u8>,
    deadline: Timestamp,
    resend_at: Timestamp,
}

/// Commands that this machine took in and has not yet applied.
#[derive(Debug)]
pub(super) struct PendingProposals {
    origin: u64,
    next: u64,
    patience: Duration,
    pending: BTreeMap<ProposalId, Pending>,
}

impl PendingProposals {
    pub fn new(origin: u64, patience: Duration) -> Self {
        Self {
            origin,
            next: 0,
            patience,
            pending: BTreeMap::new(),
        }
    }

    fn next_id(&mut self) -> ProposalId {
        self.next += 1;
        ProposalId {
            origin: self.origin,
            sequence: self.next,
        }
    }
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn propose(&mut self, ticket: Option<Ticket>, command: Command) {
        let id = self.proposals.next_id();
        let encoded = Proposal { id, command }.encode();
        self.send_proposal(encoded.clone());
        let pending = Pending {
            ticket,
            encoded,
            deadline: self.now.plus(self.proposals.patience),
            resend_at: self.now.plus(RESEND_AFTER),
        };
        self.proposals.pending.insert(id, pending);
    }

    pub(super) fn answer_proposal(&mut self, id: ProposalId) {
        let pending = self.proposals.pending.remove(&id);
        if let Some(ticket) = pending.and_then(|pending| pending.ticket) {
            self.effects.push(Effect::Reply(ticket, Reply::Accepted));
        }
    }

    pub(super) fn resend_proposals(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        let mut expired = Vec::new();
        for (id, pending) in &mut self.proposals.pending {
            if pending.deadline <= now {
                expired.push(*id);
            } else if pending.resend_at <= now {
                pending.resend_at = now.plus(RESEND_AFTER);
                again.push(pending.encoded.clone());
            }
        }
        again
            .into_iter()
            .for_each(|bytes| self.send_proposal(bytes));
        for id in expired {
            let pending = self.proposals.pending.remove(&id);
            if let Some(ticket) = pending.and_then(|pending| pending.ticket) {
                self.effects.push(Effect::Reply(ticket, Reply::Unavailable));
            }
        }
    }

    fn send_proposal(&mut self, encoded: Vec<u8>) {
        let raft = self.replica.raft_mut();
        let Err(not_leader) = raft.propose(encoded.clone()) else {
            return;
        };
        if let Some(leader) = not_leader.leader.filter(|leader| *leader != raft.id()) {
            let message = Message::Propose(Blob::new(encoded));
            let to = super::address_of(leader);
            self.effects.push(Effect::ToControl(to, message));
        }
    }
}
