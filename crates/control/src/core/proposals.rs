//! Commands that are proposed to the log, and the callers that wait for their results.

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::{Blob, ClaimGrant, ClaimResponse, Message};

use super::{change_reply, ControlCore, Effect};
use crate::command::{Command, Proposal, ProposalId};
use crate::ledger::ClaimResult;
use crate::operator::{OperatorReply, OperatorTicket};
use crate::state::CommandResult;
use crate::subscription::ConnectionId;

/// The caller that waits for the result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProposalWaiter {
    /// The command is internal and its result is not needed.
    Nobody,
    /// An operator that requested a change.
    Operator(OperatorTicket),
    /// A router that requested a claim.
    Claim {
        connection: ConnectionId,
        ticket: u64,
    },
    /// A router that reported an outcome.
    Outcome {
        connection: ConnectionId,
        ticket: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    proposal: Vec<u8>,
    waiter: ProposalWaiter,
    deadline: Timestamp,
    resend_at: Timestamp,
}

impl<D: Directory> ControlCore<D> {
    /// Proposes a command to the log, through the leader if this machine is not the leader. The
    /// command is sent again until it is applied here or times out, which is safe because every
    /// command is idempotent.
    pub(super) fn propose(&mut self, command: Command, waiter: ProposalWaiter) {
        self.next_proposal += 1;
        let id = ProposalId {
            origin: self.origin,
            sequence: self.next_proposal,
        };
        let proposal = Proposal {
            id,
            now_ms: self.clock.unix_ms,
            command,
        }
        .encode();
        let now = self.clock.now;
        let pending = PendingProposal {
            proposal: proposal.clone(),
            waiter,
            deadline: now.plus(self.params.quorum_timeout),
            resend_at: now.plus(self.params.resend_interval),
        };
        self.pending.insert(id, pending);
        self.submit(proposal);
    }

    /// Proposes a command that another control machine forwarded. It is dropped if this machine
    /// does not lead; its sender sends it again.
    pub(super) fn on_forwarded(&mut self, proposal: Vec<u8>) {
        if self.is_leader() {
            let _ = self.replica.raft_mut().propose(proposal);
        }
    }

    /// Sends the result of an applied command to the caller that waits for it.
    pub(super) fn answer_proposal(&mut self, id: ProposalId, result: CommandResult) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let effect = match pending.waiter {
            ProposalWaiter::Nobody => return,
            ProposalWaiter::Operator(ticket) => Effect::Reply(ticket, change_reply(result)),
            ProposalWaiter::Claim { connection, ticket } => {
                let grant = claim_grant(result);
                let response = Message::ClaimResponse(ClaimResponse { ticket, grant });
                Effect::ToRouter(connection, response)
            }
            ProposalWaiter::Outcome { connection, ticket } => {
                Effect::ToRouter(connection, Message::OutcomeStored(ticket))
            }
        };
        self.effects.push(effect);
    }

    /// Sends commands again that are not applied yet, and gives up those that have timed out.
    pub(super) fn resend_pending(&mut self) {
        let now = self.clock.now;
        let expired: Vec<ProposalId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.give_up(id);
        }
        let resend_at = now.plus(self.params.resend_interval);
        let mut due = Vec::new();
        for pending in self
            .pending
            .values_mut()
            .filter(|pending| pending.resend_at <= now)
        {
            pending.resend_at = resend_at;
            due.push(pending.proposal.clone());
        }
        for proposal in due {
            self.submit(proposal);
        }
    }

    fn submit(&mut self, proposal: Vec<u8>) {
        let Err(error) = self.replica.raft_mut().propose(proposal.clone()) else {
            return;
        };
        if let Some(leader) = error.leader.filter(|leader| *leader != self.id()) {
            let message = Message::Forward(Blob::new(proposal));
            self.effects.push(Effect::ToControl(leader, message));
        }
    }

    fn give_up(&mut self, id: ProposalId) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        match pending.waiter {
            ProposalWaiter::Nobody | ProposalWaiter::Outcome { .. } => {}
            ProposalWaiter::Operator(ticket) => {
                self.effects
                    .push(Effect::Reply(ticket, OperatorReply::Unavailable));
            }
            ProposalWaiter::Claim { connection, ticket } => {
                let grant = ClaimGrant::Unavailable;
                let response = Message::ClaimResponse(ClaimResponse { ticket, grant });
                self.effects.push(Effect::ToRouter(connection, response));
            }
        }
    }
}

fn claim_grant(result: CommandResult) -> ClaimGrant {
    match result {
        CommandResult::Claim(ClaimResult::Granted) => ClaimGrant::Granted,
        CommandResult::Claim(ClaimResult::StillRunning) => ClaimGrant::StillRunning,
        CommandResult::Claim(ClaimResult::Completed(answer)) => {
            ClaimGrant::Completed(Blob::new(answer))
        }
        CommandResult::Claim(ClaimResult::MayHaveRun) => ClaimGrant::MayHaveRun,
        CommandResult::Claim(ClaimResult::KeyReused) => ClaimGrant::KeyReused,
        CommandResult::Change(_) | CommandResult::Done => ClaimGrant::Unavailable,
    }
}
