//! The Raft state machine: roles, terms, and what to persist, send and apply.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_guard::{enforced, Guard};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::Log;
use crate::progress::Progress;
use crate::read_only::ReadQueue;
use crate::snapshot::PartialSnapshot;
use crate::{
    Body, ChangeError, DiskId, Entry, EntryKind, Envelope, HardState, LogIndex, Membership,
    MembershipChange, NotLeader, ReadState, Recovered, ReplicaId, Snapshot, Term,
};

/// Raft timing in ticks and limits on messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Params {
    /// Ticks without a message from a leader after which a replica campaigns; the actual timeout is
    /// random between one and two times as long. Also the time within which a quorum must reply to
    /// a leader.
    pub election_ticks: u64,
    /// Used instead of `election_ticks` after a start until a leader is known, if it is lower. When
    /// all replicas start together there is no leader to wait for; where there is a leader, its
    /// heartbeat arrives before this timeout.
    pub first_election_ticks: u64,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: u64,
    /// Messages with entries that may be in flight to one replica.
    pub window: usize,
    /// Entry data in one message, in bytes.
    pub batch_bytes: usize,
    /// Snapshot data in one message, in bytes.
    pub chunk_bytes: usize,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            election_ticks: 10,
            first_election_ticks: 10,
            heartbeat_ticks: 2,
            window: 16,
            batch_bytes: 256 << 10,
            chunk_bytes: 256 << 10,
        }
    }
}

/// The current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the voters whether it would be elected, without raising its term.
    PreCandidate,
    /// Requests votes for its own term.
    Candidate,
    /// Appends entries, replicates them and confirms reads.
    Leader,
}

/// Pending work. The caller must do it in this order: send `immediate_messages`; store `snapshot`,
/// `hard_state` and `entries` and sync them; call [`Raft::persisted`]; send `messages`; apply
/// `snapshot` and `committed`; serve `reads`.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that acknowledge nothing and may be sent before the sync: a leader's entries.
    pub immediate_messages: Vec<Envelope>,
    /// A received snapshot, which replaces the stored snapshot and log.
    pub snapshot: Option<Snapshot>,
    /// The term, vote and commit position to store.
    pub hard_state: Option<HardState>,
    /// Entries to store. An entry at a stored position replaces that entry and all after it.
    pub entries: Vec<Entry>,
    /// Messages that depend on the state above being durable, such as acknowledgements and votes.
    pub messages: Vec<Envelope>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be served once everything above is applied.
    pub reads: Vec<ReadState>,
}

impl Ready {
    /// True when there is no pending work.
    pub fn is_empty(&self) -> bool {
        self.immediate_messages.is_empty()
            && self.messages.is_empty()
            && self.snapshot.is_none()
            && self.hard_state.is_none()
            && self.entries.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }

    /// True when state must be made durable before `messages` may be sent.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }
}

/// The Raft state of one replica.
#[derive(Clone, Debug)]
pub struct Raft {
    pub(crate) params: Params,
    pub(crate) id: ReplicaId,
    pub(crate) disk: DiskId,
    pub(crate) term: Term,
    pub(crate) vote: ReplicaId,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: Log,
    /// Memberships with the log positions of their entries, oldest first. The last one is in
    /// effect.
    pub(crate) memberships: Vec<(LogIndex, Membership)>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) votes: BTreeMap<ReplicaId, bool>,
    pub(crate) reads: ReadQueue,
    pub(crate) ticks: u64,
    pub(crate) election_elapsed: u64,
    pub(crate) election_timeout: u64,
    /// A leader has been known since this process started.
    pub(crate) leader_known_since_start: bool,
    pub(crate) heartbeat_elapsed: u64,
    pub(crate) transferring_to: Option<ReplicaId>,
    pub(crate) snapshot: Snapshot,
    pub(crate) partial: Option<PartialSnapshot>,
    pub(crate) foreign_disks: BTreeSet<ReplicaId>,
    pub(crate) immediate_messages: Vec<Envelope>,
    pub(crate) messages: Vec<Envelope>,
    pub(crate) read_states: Vec<ReadState>,
    pub(crate) received_snapshot: Option<Snapshot>,
    stored_hard_state: HardState,
    random: ChaCha8Rng,
}

impl Raft {
    /// Creates a replica from the state recovered from its disk. `seed` determines its election
    /// timeouts.
    pub fn new(params: Params, id: ReplicaId, recovered: Recovered, seed: u64) -> Self {
        let hard_state = recovered.hard_state;
        let snapshot = recovered.snapshot;
        let log = Log::new(&snapshot, recovered.entries, hard_state.commit);
        let mut raft = Self {
            params,
            id,
            disk: recovered.disk,
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower,
            leader: None,
            log,
            memberships: vec![(snapshot.index, snapshot.membership.clone())],
            progress: BTreeMap::new(),
            votes: BTreeMap::new(),
            reads: ReadQueue::default(),
            ticks: 0,
            election_elapsed: 0,
            election_timeout: 0,
            leader_known_since_start: false,
            heartbeat_elapsed: 0,
            transferring_to: None,
            snapshot,
            partial: None,
            foreign_disks: BTreeSet::new(),
            immediate_messages: Vec::new(),
            messages: Vec::new(),
            read_states: Vec::new(),
            received_snapshot: None,
            stored_hard_state: hard_state,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        raft.restore_memberships();
        raft.reset_election_timeout();
        raft
    }

    /// The number of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The highest term it has seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The highest position known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.log.committed
    }

    /// The last position of its log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The last position that its latest snapshot covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    /// The latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self
            .memberships
            .last()
            .expect("there is always one membership")
            .1
    }

    /// Replicas that have sent messages from another disk than the one the membership records.
    /// They have lost what they acknowledged and must rejoin under a new number.
    pub fn foreign_disks(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.foreign_disks.iter().copied()
    }

    /// The matching position of each other member. Empty unless this replica leads.
    pub fn replication(&self) -> impl Iterator<Item = (ReplicaId, LogIndex)> + '_ {
        self.progress
            .iter()
            .map(|(id, progress)| (*id, progress.matched))
    }

    /// Ticks since another member last replied. `None` unless this replica leads.
    pub fn ticks_since_response(&self, id: ReplicaId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        Some(self.ticks.saturating_sub(progress.last_response_tick))
    }

    /// True while this replica leads and a majority has replied within `ticks` of its own clock. Does not show that no
    /// other replica leads; reads use [`Raft::read_index`].
    pub fn has_quorum_within(&self, ticks: u64) -> bool {
        self.role == Role::Leader && self.quorum_active_within(ticks)
    }

    /// Advances time by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.election_elapsed += 1;
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.election_elapsed >= self.election_timeout && self.can_campaign() {
            self.start_pre_vote();
        }
    }

    /// Handles a received message.
    pub fn step(&mut self, message: Envelope) {
        if message.to != self.id || self.has_foreign_disk(&message) {
            return;
        }
        if message.term > self.term && !self.handle_newer_term(&message) {
            return;
        }
        if message.term < self.term {
            self.answer_older_term(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Appends a command to the log. It is committed once it is returned in [`Ready::committed`].
    /// Refused unless this replica leads, and during a leadership transfer.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<LogIndex, NotLeader> {
        if self.role != Role::Leader || self.transferring_to.is_some() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        Ok(self.append_new_entry(EntryKind::Command, data))
    }

    /// Appends one membership change. Refused while another one is not committed.
    pub fn propose_change(&mut self, change: MembershipChange) -> Result<LogIndex, ChangeError> {
        if self.role != Role::Leader {
            return Err(ChangeError::NotLeader);
        }
        let own_term_committed = self.log.term_at(self.log.committed) == Some(self.term);
        let last_change = self
            .memberships
            .last()
            .map_or(LogIndex(0), |(index, _)| *index);
        if !own_term_committed || last_change > self.log.committed {
            return Err(ChangeError::Busy);
        }
        if let MembershipChange::Promote(id) = change {
            self.check_caught_up(id)?;
        }
        let next = self.membership().changed(change)?;
        let index = self.append_new_entry(EntryKind::Membership, next.encode());
        Ok(index)
    }

    /// Requests a position at which a read is linearizable. The answer is returned as a
    /// [`ReadState`]. It may be lost; the caller must then request it again.
    pub fn read_index(&mut self, context: u64) -> Result<(), NotLeader> {
        if self.role == Role::Leader {
            self.queue_read(self.id, context);
            return Ok(());
        }
        let leader = self.leader.ok_or(NotLeader { leader: None })?;
        self.send(leader, Body::ReadIndex { context });
        Ok(())
    }

    /// Returns the pending work and clears it.
    pub fn take_ready(&mut self) -> Ready {
        let entries: Vec<Entry> = self
            .log
            .entries_from(self.log.persisted.next())
            .cloned()
            .collect();
        let hard_state = self.hard_state_to_store(&entries);
        let committed = self.take_committed();
        Ready {
            immediate_messages: std::mem::take(&mut self.immediate_messages),
            snapshot: self.received_snapshot.take(),
            hard_state,
            entries,
            messages: std::mem::take(&mut self.messages),
            committed,
            reads: std::mem::take(&mut self.read_states),
        }
    }

    /// Records that the entries of the last [`Ready`] up to `index` are durable.
    pub fn persisted(&mut self, index: LogIndex) {
        self.log.persisted = self.log.persisted.max(index.min(self.log.last_index()));
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Makes `data`, the encoded state machine at `index`, the latest snapshot and drops the
    /// entries up to there. `None` if `index` is not applied yet or not after the latest snapshot.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        if index > self.log.applied || index <= self.snapshot.index {
            return None;
        }
        let membership = self.membership_at(index).clone();
        self.log.compact(index, term);
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, (index, membership.clone()));
        self.snapshot = Snapshot {
            index,
            term,
            membership,
            data,
        };
        Some(self.snapshot.clone())
    }

    pub(crate) fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.log.committed,
        }
    }

    /// The persisted entries after a position.
    pub(crate) fn entries_after(&self, index: LogIndex) -> Vec<Entry> {
        let stored = self.log.persisted;
        let entries = self.log.entries_from(index.next());
        entries
            .filter(|entry| entry.index <= stored)
            .cloned()
            .collect()
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let envelope = self.envelope(to, self.term, body);
        self.messages.push(envelope);
    }

    pub(crate) fn envelope(&self, to: ReplicaId, term: Term, body: Body) -> Envelope {
        Envelope {
            from: self.id,
            disk: self.disk,
            to,
            term,
            body,
        }
    }

    pub(crate) fn other_members(&self) -> Vec<ReplicaId> {
        let members = self.membership().members().iter().map(|member| member.id);
        members.filter(|id| *id != self.id).collect()
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term != self.term {
            self.vote = ReplicaId(0);
        }
        self.term = term;
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.votes.clear();
        self.reads.clear();
        self.transferring_to = None;
        self.election_elapsed = 0;
        self.reset_election_timeout();
    }

    pub(crate) fn reset_election_timeout(&mut self) {
        let base = self.params.election_ticks;
        let first = self.params.first_election_ticks;
        if first < base && !self.leader_known_since_start {
            self.election_timeout = first + self.rank_among_voters();
            return;
        }
        self.election_timeout = base + self.random.random_range(0..base);
    }

    /// The number of voters with a lower id. It staggers the first election timeouts of voters that
    /// start together, so that the first one that reaches a majority is elected instead of several
    /// competing. Only availability depends on it.
    fn rank_among_voters(&self) -> u64 {
        let before = self.membership().voters().filter(|voter| *voter < self.id);
        before.count() as u64
    }

    /// True when the membership lists this replica with its current disk or with no disk yet. With
    /// another disk, the replica has lost the votes and entries that it acknowledged.
    pub(crate) fn has_admitted_disk(&self) -> bool {
        if !enforced(Guard::DiskIdentity) {
            return true;
        }
        match self.membership().get(self.id) {
            None => false,
            Some(member) => member.disk == DiskId(0) || member.disk == self.disk,
        }
    }

    pub(crate) fn record_membership(&mut self, entry: &Entry) {
        if entry.kind != EntryKind::Membership {
            return;
        }
        if let Some(membership) = Membership::decode(&entry.data) {
            self.memberships.push((entry.index, membership));
        }
    }

    pub(crate) fn drop_memberships_from(&mut self, index: LogIndex) {
        self.memberships
            .retain(|(at, _)| *at < index || *at == self.log.base_index());
    }

    fn restore_memberships(&mut self) {
        let from = self.log.base_index().next();
        let changes: Vec<Entry> = self.log.entries_from(from).cloned().collect();
        for entry in &changes {
            self.record_membership(entry);
        }
    }

    fn membership_at(&self, index: LogIndex) -> &Membership {
        let in_effect = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        &in_effect.unwrap_or(&self.memberships[0]).1
    }

    fn can_campaign(&self) -> bool {
        self.membership().is_voter(self.id) && self.has_admitted_disk()
    }

    /// True when a message from a member must be dropped because it comes from another disk than
    /// the recorded one. Such a member has lost the votes and entries that it acknowledged.
    /// Counting it could elect a leader or commit entries with a majority that lacks acknowledged
    /// entries.
    fn has_foreign_disk(&mut self, message: &Envelope) -> bool {
        let Some(member) = self.membership().get(message.from) else {
            return false;
        };
        let foreign = member.disk != DiskId(0) && member.disk != message.disk;
        if foreign {
            self.foreign_disks.insert(message.from);
        }
        foreign && enforced(Guard::DiskIdentity)
    }

    /// Handles a message with a higher term than this replica's; false if it must be ignored.
    fn handle_newer_term(&mut self, message: &Envelope) -> bool {
        match message.body {
            Body::PreVote { .. } => !self.leader_is_recent(),
            Body::PreVoteReply { granted: 1 } => true,
            Body::Vote { transfer: 0, .. } if self.leader_is_recent() => false,
            Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk { .. } => {
                self.become_follower(message.term, Some(message.from));
                true
            }
            _ => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// True when a message of the leader arrived within the minimum election timeout. Vote requests
    /// are then ignored unless the leader asked for the election (§4.2.3, §6.2).
    fn leader_is_recent(&self) -> bool {
        self.leader.is_some() && self.election_elapsed < self.params.election_ticks
    }

    /// Replies to a leader or pre-candidate of an older term with the current term, so that it
    /// steps down.
    fn answer_older_term(&mut self, message: &Envelope) {
        match message.body {
            Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk { .. } => {
                let index = self.log.committed;
                self.send(message.from, Body::AppendReply { accepted: 0, index });
            }
            Body::PreVote { .. } => self.send(message.from, Body::PreVoteReply { granted: 0 }),
            _ => {}
        }
    }

    fn dispatch(&mut self, message: Envelope) {
        let from = message.from;
        match message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                self.on_pre_vote(from, message.term, last_index, last_term);
            }
            Body::PreVoteReply { granted } => {
                self.on_pre_vote_reply(from, message.term, granted == 1);
            }
            Body::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, last_index, last_term),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted == 1),
            Body::Append {
                previous_index,
                previous_term,
                commit,
                entries,
            } => {
                self.on_append(from, previous_index, previous_term, commit, entries);
            }
            Body::AppendReply { accepted, index } => {
                self.on_append_reply(from, message.disk, accepted == 1, index);
            }
            Body::Heartbeat { commit, round } => self.on_heartbeat(from, commit, round),
            Body::HeartbeatReply { round } => self.on_heartbeat_reply(from, round),
            body @ Body::SnapshotChunk { .. } => self.on_snapshot_chunk(from, body),
            Body::SnapshotReply { index, offset } => self.on_snapshot_reply(from, index, offset),
            Body::TimeoutNow => self.on_timeout_now(),
            Body::ReadIndex { context } => {
                if self.role == Role::Leader {
                    self.queue_read(from, context);
                }
            }
            Body::ReadIndexReply { context, index } => {
                self.read_states.push(ReadState { context, index });
            }
        }
    }

    fn hard_state_to_store(&mut self, entries: &[Entry]) -> Option<HardState> {
        let current = self.hard_state();
        let stored = &self.stored_hard_state;
        let term_or_vote_changed = current.term != stored.term || current.vote != stored.vote;
        // A new commit position alone needs no sync: after a restart the replica receives it again.
        if !term_or_vote_changed && entries.is_empty() {
            return None;
        }
        self.stored_hard_state = current;
        Some(current)
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let from = self.log.applied.next();
        let committed = self.log.slice(from, self.log.committed, usize::MAX);
        if let Some(last) = committed.last() {
            self.log.applied = last.index;
        }
        committed
    }
}
