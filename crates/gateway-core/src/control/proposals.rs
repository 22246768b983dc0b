//! Commands on their way into the log, and the callers that wait for them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use drumshore_consensus::{Directory, ReplicaId, Role};
use drumshore_core::Timestamp;
use drumshore_wire::{Blob, List};

use super::instances::registration;
use super::{ControlCore, Effect, Heartbeat, Reply, Ticket};
use crate::{Command, Lifecycle, Message, Proposal, ProposalId, ReplicatedState};

/// A command that is not committed by then is sent again: on the way to the leader it may be lost. Each further
/// time takes twice as long, this often; a leader that is late has too much to do already.
const RESEND_AFTER: Duration = Duration::from_millis(300);
const MOST_DOUBLINGS: u32 = 3;
/// A registration is kept for so long, also when its caller was told to come again: the next heartbeat waits for
/// the same one. Back ends pause 3 s at most between heartbeats, and one of them may be lost.
const REGISTRATION_KEPT: Duration = Duration::from_secs(10);
/// Commands in one message to the leader: far below what a frame may hold, 16 MB, of which a configuration may take
/// half.
const MOST_BATCH_BYTES: usize = 1 << 20;
/// A leader knows for so long that it has applied a command: a copy that was sent before its origin learned of
/// that may still be on its way.
const APPLIED_KEPT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Pending {
    waiting: Vec<Waiting>,
    encoded: Vec<u8>,
    /// The back end that it registers as ready.
    registers: Option<String>,
    expires: Timestamp,
    resends: u32,
    resend_at: Timestamp,
}

/// Commands that this machine took in and has not yet applied.
#[derive(Debug)]
pub(super) struct PendingProposals {
    origin: u64,
    next: u64,
    patience: Duration,
    pending: BTreeMap<ProposalId, Pending>,
    /// Registrations among them, by the name of the back end.
    registrations: BTreeMap<String, ProposalId>,
    /// For the leader, at the next flush.
    outgoing: Vec<Blob>,
    /// Whom they were sent to.
    leader: Option<ReplicaId>,
    /// Commands that this leader has appended in a term, until a while after it applied them.
    appended: BTreeSet<ProposalId>,
    appended_in_term: u64,
    /// Those that it has applied, the oldest first.
    applied: VecDeque<(Timestamp, ProposalId)>,
}

impl PendingProposals {
    pub fn new(origin: u64, patience: Duration) -> Self {
        Self {
            origin,
            next: 0,
            patience,
            pending: BTreeMap::new(),
            registrations: BTreeMap::new(),
            outgoing: Vec::new(),
            leader: None,
            appended: BTreeSet::new(),
            appended_in_term: 0,
            applied: VecDeque::new(),
        }
    }

    /// What a leader appended in an earlier term may never be committed.
    fn begin_term(&mut self, term: u64) {
        if self.appended_in_term != term {
            self.appended_in_term = term;
            self.appended.clear();
            self.applied.clear();
        }
    }

    fn note_applied(&mut self, now: Timestamp, id: ProposalId) {
        if self.appended.contains(&id) {
            self.applied.push_back((now, id));
        }
    }

    fn forget_applied(&mut self, now: Timestamp) {
        let is_old = |(at, _): &(Timestamp, ProposalId)| now.since(*at) >= APPLIED_KEPT;
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

    /// Registrations of back ends that are registered by now.
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

    /// Takes out those who have waited too long, and commands that nobody waits for any more.
    fn take_expired(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            let late = pending
                .waiting
                .extract_if(.., |waiting| waiting.deadline <= now);
            expired.extend(late.map(|waiting| waiting.ticket));
        }
        let is_over = |pending: &Pending| pending.expires <= now;
        let over: Vec<ProposalId> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_over(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.take(id);
        }
        expired
    }

    /// What is to be sent again: all of it to a new leader.
    fn take_due(&mut self, now: Timestamp, leader: Option<ReplicaId>) -> Vec<Vec<u8>> {
        let is_new_leader = leader.is_some() && leader != self.leader;
        self.leader = leader.or(self.leader);
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if is_new_leader || pending.resend_at <= now {
                pending.resends += 1;
                pending.resend_at = now.plus(resend_after(pending.resends));
                due.push(pending.encoded.clone());
            }
        }
        due
    }
}

fn resend_after(resends: u32) -> Duration {
    RESEND_AFTER * 2_u32.pow(resends.min(MOST_DOUBLINGS))
}

impl<D: Directory> ControlCore<D> {
    pub(super) fn propose(&mut self, ticket: Option<Ticket>, command: Command) {
        let waiting = ticket.map(|ticket| self.waiting(ticket));
        let expires = self.now.plus(self.proposals.patience);
        self.propose_for(waiting.into_iter().collect(), command, None, expires);
    }

    /// Registers a back end. One that asks again, because it was not answered in time, waits for the command
    /// that is under way; a second one would only make the log longer. One that leaves has a command of its own:
    /// it is answered when a quorum knows that it leaves.
    pub(super) fn register(&mut self, ticket: Ticket, heartbeat: &Heartbeat) {
        let name = heartbeat.instance.as_str();
        let waiting = self.waiting(ticket);
        let proposals = &mut self.proposals;
        let is_ready = heartbeat.lifecycle == Lifecycle::Ready;
        let under_way = proposals.registrations.get(name).filter(|_| is_ready);
        if let Some(pending) = under_way.and_then(|id| proposals.pending.get_mut(id)) {
            pending.waiting.push(waiting);
            return;
        }
        let expires = self.now.plus(REGISTRATION_KEPT);
        let command = registration(heartbeat);
        let registers = is_ready.then(|| name.to_owned());
        self.propose_for(vec![waiting], command, registers, expires);
    }

    fn waiting(&self, ticket: Ticket) -> Waiting {
        let deadline = self.now.plus(self.proposals.patience);
        Waiting { ticket, deadline }
    }

    fn propose_for(
        &mut self,
        waiting: Vec<Waiting>,
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
            waiting,
            encoded: encoded.clone(),
            registers,
            expires,
            resends: 0,
            resend_at: self.now.plus(resend_after(0)),
        };
        self.proposals.pending.insert(id, pending);
        self.hand_on(encoded);
    }

    /// A command of this machine, or of another one that waits for the same, has been applied.
    pub(super) fn answer_proposal(&mut self, id: ProposalId) {
        self.proposals.note_applied(self.now, id);
        if let Some(pending) = self.proposals.take(id) {
            self.accept(pending);
        }
    }

    /// A back end is registered, whichever machine proposed it.
    pub(super) fn on_registered(&mut self, name: &str) {
        let id = self.proposals.registrations.get(name).copied();
        if let Some(pending) = id.and_then(|id| self.proposals.take(id)) {
            self.accept(pending);
        }
    }

    fn accept(&mut self, pending: Pending) {
        let tickets = pending.waiting.into_iter().map(|waiting| waiting.ticket);
        let replies = tickets.map(|ticket| Effect::Reply(ticket, Reply::Accepted));
        self.effects.extend(replies);
    }

    /// A machine that took the state in a snapshot saw no command that registered them.
    pub(super) fn accept_registered(&mut self) {
        for id in self.proposals.registered(&self.state) {
            if let Some(pending) = self.proposals.take(id) {
                self.accept(pending);
            }
        }
    }

    /// Gives up on callers that have waited too long, and sends again what may have been lost.
    pub(super) fn resend_proposals(&mut self) {
        self.proposals.forget_applied(self.now);
        let expired = self.proposals.take_expired(self.now);
        let replies = expired.into_iter();
        let replies = replies.map(|ticket| Effect::Reply(ticket, Reply::Unavailable));
        self.effects.extend(replies);
        let leader = self.replica.raft().leader();
        let due = self.proposals.take_due(self.now, leader);
        for encoded in due {
            self.hand_on(encoded);
        }
    }

    /// Takes in commands of other machines. Those of a machine that takes this one for the leader by mistake
    /// are lost; it sends them again.
    pub(super) fn on_proposals(&mut self, proposals: Vec<Blob>) {
        for proposal in proposals {
            self.append(proposal.bytes);
        }
    }

    fn hand_on(&mut self, encoded: Vec<u8>) {
        if self.role() == Role::Leader {
            self.append(encoded);
        } else {
            self.proposals.outgoing.push(Blob::new(encoded));
        }
    }

    /// Appends a command to the log, if this machine leads. One that it has appended is not
    /// appended again: the log of a fleet that registers would grow by copies of what makes it late.
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

    /// Sends the leader all commands that have gathered, in few messages. Without a leader they are lost here,
    /// and sent again once there is one.
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

/// Commands in their order, in messages of a bounded size; a command that is larger has a message of its own.
fn batches(commands: Vec<Blob>) -> Vec<Vec<Blob>> {
    let mut batches: Vec<Vec<Blob>> = Vec::new();
    let mut bytes = 0;
    for command in commands {
        bytes += command.bytes.len();
        match batches.last_mut().filter(|_| bytes <= MOST_BATCH_BYTES) {
            Some(batch) => batch.push(command),
            None => {
                bytes = command.bytes.len();
                batches.push(vec![command]);
            }
        }
    }
    batches
}
