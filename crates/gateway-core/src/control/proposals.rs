//! Commands that are to be committed, and the callers that wait for them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use drumshore_consensus::{Directory, ReplicaId, Role};
use drumshore_core::Timestamp;
use drumshore_wire::{Blob, List};

use super::instances::registration;
use super::{ControlCore, Effect, Heartbeat, Reply, Ticket};
use crate::{Command, Lifecycle, Message, Proposal, ProposalId, ReplicatedState};

/// A command that is not committed within this time is sent again, as it may be lost on its way to
/// the leader. The interval doubles with each attempt, up to `MAX_DOUBLINGS` times, because a slow
/// leader is overloaded already.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
const MAX_DOUBLINGS: u32 = 3;
/// A registration is kept for this long, even after its caller timed out: the next heartbeat waits
/// for the same command. Back ends send heartbeats at most 3 s apart, and one of them may be lost.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Limit on the commands in one message to the leader, far below the 16 MB of a frame, half of
/// which a configuration may occupy.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// For how long a leader remembers the commands that it has applied: copies sent before their
/// origin learned of the commit may still arrive.
const APPLIED_TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Pending {
    waiters: Vec<Waiter>,
    encoded: Vec<u8>,
    /// Name of the back end that the command registers as ready.
    registers: Option<String>,
    expires: Timestamp,
    resends: u32,
    resend_at: Timestamp,
}

/// Commands that this machine accepted and has not yet applied.
#[derive(Debug)]
pub(super) struct PendingProposals {
    origin: u64,
    next: u64,
    reply_timeout: Duration,
    pending: BTreeMap<ProposalId, Pending>,
    /// Pending registrations, by the name of the back end.
    registrations: BTreeMap<String, ProposalId>,
    /// To be sent to the leader at the next flush.
    outgoing: Vec<Blob>,
    /// The leader that they were last sent to.
    leader: Option<ReplicaId>,
    /// Commands that this leader has appended in a term; kept until [`APPLIED_TTL`] after they were
    /// applied.
    appended: BTreeSet<ProposalId>,
    appended_in_term: u64,
    /// Appended commands that it has applied, oldest first.
    applied: VecDeque<(Timestamp, ProposalId)>,
}

impl PendingProposals {
    pub fn new(origin: u64, reply_timeout: Duration) -> Self {
        Self {
            origin,
            next: 0,
            reply_timeout,
            pending: BTreeMap::new(),
            registrations: BTreeMap::new(),
            outgoing: Vec::new(),
            leader: None,
            appended: BTreeSet::new(),
            appended_in_term: 0,
            applied: VecDeque::new(),
        }
    }

    /// Forgets commands of earlier terms, which may never be committed.
    fn begin_term(&mut self, term: u64) {
        if self.appended_in_term != term {
            self.appended_in_term = term;
            self.appended.clear();
            self.applied.clear();
        }
    }

    fn record_applied(&mut self, now: Timestamp, id: ProposalId) {
        if self.appended.contains(&id) {
            self.applied.push_back((now, id));
        }
    }

    fn expire_applied(&mut self, now: Timestamp) {
        let is_old = |(at, _): &(Timestamp, ProposalId)| now.since(*at) >= APPLIED_TTL;
        while self.applied.front().is_some_and(is_old) {
            let oldest = self.applied.pop_front();
            oldest.map(|(_, id)| self.appended.remove(&id));
        }
    }

    fn next_id(&mut self) -> ProposalId {
        self.next += 1;
        ProposalId {
            origin: self.origin,
            sequence: self.next,
        }
    }

    /// Pending registrations of back ends that are registered by now.
    fn registered(&self, state: &ReplicatedState) -> Vec<ProposalId> {
        let registrations = self.registrations.iter();
        let registered = registrations.filter(|(name, _)| state.instance(name).is_some());
        registered.map(|(_, id)| *id).collect()
    }

    fn take(&mut self, id: ProposalId) -> Option<Pending> {
        let pending = self.pending.remove(&id)?;
        if let Some(name) = &pending.registers {
            self.registrations.remove(name);
        }
        Some(pending)
    }

    /// Removes callers that have timed out, and commands that have expired.
    fn take_expired(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            let timed_out = pending
                .waiters
                .extract_if(.., |waiter| waiter.deadline <= now);
            expired.extend(timed_out.map(|waiter| waiter.ticket));
        }
        let is_obsolete = |pending: &Pending| pending.expires <= now;
        let obsolete: Vec<ProposalId> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_obsolete(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in obsolete {
            self.take(id);
        }
        expired
    }

    /// Commands that are to be sent again: those that are due, or all of them to a new leader.
    fn take_due(&mut self, now: Timestamp, leader: Option<ReplicaId>) -> Vec<Vec<u8>> {
        let is_new_leader = leader.is_some() && leader != self.leader;
        self.leader = leader.or(self.leader);
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if is_new_leader || pending.resend_at <= now {
                pending.resends += 1;
                pending.resend_at = now.plus(resend_delay(pending.resends));
                due.push(pending.encoded.clone());
            }
        }
        due
    }
}

fn resend_delay(resends: u32) -> Duration {
    RESEND_INTERVAL * 2_u32.pow(resends.min(MAX_DOUBLINGS))
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn propose(&mut self, ticket: Option<Ticket>, command: Command) {
        let waiter = ticket.map(|ticket| self.waiter(ticket));
        let expires = self.now.plus(self.proposals.reply_timeout);
        self.propose_for(waiter.into_iter().collect(), command, None, expires);
    }

    /// Registers a back end. A repeated heartbeat, sent because the first one was not answered in
    /// time, waits for the pending command; another command would only lengthen the log. The
    /// registration of a back end that is leaving gets a command of its own and is answered when a
    /// quorum knows that it leaves. True if a command was proposed.
    pub(super) fn register(&mut self, ticket: Ticket, heartbeat: &Heartbeat) -> bool {
        let name = heartbeat.instance.as_str();
        let waiter = self.waiter(ticket);
        let proposals = &mut self.proposals;
        let is_ready = heartbeat.lifecycle == Lifecycle::Ready;
        let in_progress = proposals.registrations.get(name).filter(|_| is_ready);
        if let Some(pending) = in_progress.and_then(|id| proposals.pending.get_mut(id)) {
            pending.waiters.push(waiter);
            return false;
        }
        let expires = self.now.plus(REGISTRATION_TTL);
        let command = registration(heartbeat);
        let registers = is_ready.then(|| name.to_owned());
        self.propose_for(vec![waiter], command, registers, expires);
        true
    }

    fn waiter(&self, ticket: Ticket) -> Waiter {
        let deadline = self.now.plus(self.proposals.reply_timeout);
        Waiter { ticket, deadline }
    }

    fn propose_for(
        &mut self,
        waiters: Vec<Waiter>,
        command: Command,
        registers: Option<String>,
        expires: Timestamp,
    ) {
        let id = self.proposals.next_id();
        let encoded = Proposal { id, command }.encode();
        if let Some(name) = &registers {
            self.proposals.registrations.insert(name.clone(), id);
        }
        let pending = Pending {
            waiters,
            encoded: encoded.clone(),
            registers,
            expires,
            resends: 0,
            resend_at: self.now.plus(resend_delay(0)),
        };
        self.proposals.pending.insert(id, pending);
        self.send_to_leader(encoded);
    }

    /// Handles an applied command: replies to its callers if they wait at this machine.
    pub(super) fn complete_proposal(&mut self, id: ProposalId) {
        self.proposals.record_applied(self.now, id);
        if let Some(pending) = self.proposals.take(id) {
            self.reply_accepted(pending);
        }
    }

    /// Completes a pending registration, whichever machine proposed the committed one.
    pub(super) fn on_registered(&mut self, name: &str) {
        let id = self.proposals.registrations.get(name).copied();
        if let Some(pending) = id.and_then(|id| self.proposals.take(id)) {
            self.reply_accepted(pending);
        }
    }

    fn reply_accepted(&mut self, pending: Pending) {
        let tickets = pending.waiters.into_iter().map(|waiter| waiter.ticket);
        let replies = tickets.map(|ticket| Effect::Reply(ticket, Reply::Accepted));
        self.effects.extend(replies);
    }

    /// Completes registrations after a snapshot, which replaces the commands that registered the
    /// back ends.
    pub(super) fn reply_to_registered(&mut self) {
        for id in self.proposals.registered(&self.state) {
            if let Some(pending) = self.proposals.take(id) {
                self.reply_accepted(pending);
            }
        }
    }

    /// Replies to callers that have timed out, and sends again what may have been lost.
    pub(super) fn resend_proposals(&mut self) {
        self.proposals.expire_applied(self.now);
        let expired = self.proposals.take_expired(self.now);
        let replies = expired.into_iter();
        let replies = replies.map(|ticket| Effect::Reply(ticket, Reply::Unavailable));
        self.effects.extend(replies);
        let leader = self.replica.raft().leader();
        let due = self.proposals.take_due(self.now, leader);
        for encoded in due {
            self.send_to_leader(encoded);
        }
    }

    /// Appends commands of other machines. If this machine does not lead, they are dropped and
    /// their origin sends them again.
    pub(super) fn on_proposals(&mut self, proposals: Vec<Blob>) {
        for proposal in proposals {
            self.append(proposal.bytes);
        }
    }

    fn send_to_leader(&mut self, encoded: Vec<u8>) {
        if self.role() == Role::Leader {
            self.append(encoded);
        } else {
            self.proposals.outgoing.push(Blob::new(encoded));
        }
    }

    /// Appends a command to the log, if this machine leads. A command is appended only once per
    /// term: otherwise, while a large fleet registers, copies of delayed commands would lengthen
    /// the log and delay it further.
    fn append(&mut self, encoded: Vec<u8>) {
        let id = ProposalId::of(&encoded);
        self.proposals.begin_term(self.term());
        if id.is_some_and(|id| self.proposals.appended.contains(&id)) {
            return;
        }
        if self.replica.raft_mut().propose(encoded).is_ok() {
            self.proposals.appended.extend(id);
        }
    }

    /// Sends all collected commands to the leader, in few messages. Without a leader they are
    /// dropped here, and sent again once there is one.
    pub(super) fn send_proposals(&mut self) {
        let outgoing = std::mem::take(&mut self.proposals.outgoing);
        let raft = self.replica.raft();
        let leader = raft.leader().filter(|leader| *leader != raft.id());
        let Some(leader) = leader else {
            return;
        };
        for batch in batches(outgoing) {
            let message = Message::Propose(List::new(batch));
            let to = super::address_of(leader);
            self.effects.push(Effect::ToControl(to, message));
        }
    }
}

/// Splits commands, in order, into batches of limited size; a larger command gets a batch of its
/// own.
fn batches(commands: Vec<Blob>) -> Vec<Vec<Blob>> {
    let mut batches: Vec<Vec<Blob>> = Vec::new();
    let mut bytes = 0;
    for command in commands {
        bytes += command.bytes.len();
        match batches.last_mut().filter(|_| bytes <= MAX_BATCH_BYTES) {
            Some(batch) => batch.push(command),
            None => {
                bytes = command.bytes.len();
                batches.push(vec![command]);
            }
        }
    }
    batches
}
