//! Replication: appending, acknowledging and committing entries, and confirming reads.

use drumshore_guard::{enforced, Guard};

use crate::progress::{Progress, ProgressState};
use crate::quorum::reached_by_majority;
use crate::{
    Body, ChangeError, DiskId, Entry, EntryKind, LogIndex, MembershipChange, Raft, ReadState,
    ReplicaId, Role, Term,
};

/// Ticks without a reply after which entries are sent again.
const RESEND_TICKS: u64 = 4;

impl Raft {
    pub(crate) fn append_new_entry(&mut self, kind: EntryKind, data: Vec<u8>) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = Entry {
            term: self.term,
            index,
            kind,
            data,
        };
        self.record_membership(&entry);
        self.log.append(entry);
        if kind == EntryKind::Membership {
            self.align_progress();
        }
        self.replicate_to_all();
        index
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        previous_index: LogIndex,
        previous_term: Term,
        commit: LogIndex,
        entries: Vec<Entry>,
    ) {
        self.follow(from);
        if previous_index < self.log.base_index() {
            // The snapshot covers this position, so it is committed and matches the leader's log.
            let index = self.log.committed;
            self.send(from, Body::AppendReply { accepted: 1, index });
            return;
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.conflict_hint(previous_index);
            self.send(from, Body::AppendReply { accepted: 0, index });
            return;
        }
        let last_new = LogIndex(previous_index.0 + entries.len() as u64);
        self.append_missing(entries);
        self.commit_to(commit.min(last_new));
        self.send(
            from,
            Body::AppendReply {
                accepted: 1,
                index: last_new,
            },
        );
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        disk: DiskId,
        accepted: bool,
        index: LogIndex,
    ) {
        let now = self.ticks;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_response_tick = now;
        if accepted {
            progress.accepted(index);
            self.advance_commit();
            self.pin_disk(from, disk);
        } else {
            progress.rejected(index);
        }
        self.replicate_to(from);
        if self.transferring_to == Some(from) {
            self.send_timeout_now_if_ready(from);
        }
    }

    pub(crate) fn on_heartbeat(&mut self, from: ReplicaId, commit: LogIndex, round: u64) {
        self.follow(from);
        self.commit_to(commit);
        self.send(from, Body::HeartbeatReply { round });
    }

    pub(crate) fn on_heartbeat_reply(&mut self, from: ReplicaId, round: u64) {
        let now = self.ticks;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_response_tick = now;
        let membership = self.membership().clone();
        let confirmed = self.reads.confirm(from, round, &membership);
        for read in confirmed {
            self.answer_read(read.from, read.context, read.index);
        }
        self.replicate_to(from);
    }

    /// Queues a read and sends heartbeats at once to have a quorum confirm it. The read is dropped
    /// until this leader has committed an entry of its own term, because before that it does not
    /// know which entries are committed (§6.4).
    pub(crate) fn queue_read(&mut self, from: ReplicaId, context: u64) {
        if self.log.term_at(self.log.committed) != Some(self.term) {
            return;
        }
        self.reads.push(from, context, self.log.committed);
        let round = self.reads.round();
        let membership = self.membership().clone();
        for read in self.reads.confirm(self.id, round, &membership) {
            self.answer_read(read.from, read.context, read.index);
        }
        self.broadcast_heartbeat();
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        let round = self.reads.round();
        for to in self.other_members() {
            let stored = self
                .progress
                .get(&to)
                .map_or(LogIndex(0), |progress| progress.matched);
            let commit = self.log.committed.min(stored);
            self.send(to, Body::Heartbeat { commit, round });
        }
    }

    /// Advances the commit position to the last entry that a majority of the voters has stored.
    pub(crate) fn advance_commit(&mut self) {
        let reached = reached_by_majority(self.membership(), |id| {
            if id == self.id {
                return self.log.persisted;
            }
            self.progress
                .get(&id)
                .map_or(LogIndex(0), |progress| progress.matched)
        });
        // An entry of an earlier term can be overwritten even when a majority has stored it, so
        // only entries of the current term are committed by counting replicas (§3.6.2).
        let own_term = self.log.term_at(reached) == Some(self.term);
        if reached > self.log.committed && (own_term || !enforced(Guard::CurrentTermCommit)) {
            self.commit_to(reached);
            self.step_down_if_removed();
            self.replicate_to_all();
            self.announce_commit();
        }
    }

    /// Sends the new commit position at once to the members that already have all entries. A client
    /// that waits for an entry may be connected to any of them and would otherwise wait for the
    /// next heartbeat.
    fn announce_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let window = self.params.window;
        let last = self.log.last_index();
        let is_caught_up = |progress: &Progress| {
            progress.state == ProgressState::Pipeline
                && progress.next > last
                && progress.may_send(window)
        };
        let recipients: Vec<(ReplicaId, LogIndex)> = self
            .progress
            .iter()
            .filter(|(_, progress)| is_caught_up(progress))
            .map(|(id, progress)| (*id, progress.next))
            .collect();
        for (id, next) in recipients {
            self.send_entries(id, next);
        }
    }

    /// Steps down if this leader is no longer a voter. It leads until the change that removed it is
    /// committed (§4.2.2).
    fn step_down_if_removed(&mut self) {
        let changed_at = self
            .memberships
            .last()
            .map_or(LogIndex(0), |(index, _)| *index);
        if !self.membership().is_voter(self.id) && changed_at <= self.log.committed {
            self.become_follower(self.term, None);
        }
    }

    /// Resends entries that were not acknowledged within [`RESEND_TICKS`], from the last matching
    /// position.
    pub(crate) fn retry_stalled(&mut self) {
        let mut stalled = Vec::new();
        for (id, progress) in &mut self.progress {
            if progress.in_flight == 0 {
                continue;
            }
            progress.stalled_ticks += 1;
            if progress.stalled_ticks >= RESEND_TICKS {
                progress.restart();
                stalled.push(*id);
            }
        }
        for id in stalled {
            self.replicate_to(id);
        }
    }

    pub(crate) fn replicate_to_all(&mut self) {
        for id in self.other_members() {
            self.replicate_to(id);
        }
    }

    /// Sends a member the entries or snapshot chunks that it lacks, within its in-flight limit.
    pub(crate) fn replicate_to(&mut self, to: ReplicaId) {
        if self.role != Role::Leader {
            return;
        }
        while self.send_next(to) {}
    }

    fn send_next(&mut self, to: ReplicaId) -> bool {
        let window = self.params.window;
        let Some(progress) = self.progress.get(&to) else {
            return false;
        };
        if !progress.may_send(window) {
            return false;
        }
        if matches!(progress.state, ProgressState::Snapshot { .. })
            || progress.next <= self.log.base_index()
        {
            self.send_snapshot_chunk(to);
            return false;
        }
        let next = progress.next;
        let nothing_new = next > self.log.last_index();
        if nothing_new && progress.state == ProgressState::Pipeline {
            return false;
        }
        self.send_entries(to, next);
        true
    }

    fn send_entries(&mut self, to: ReplicaId, next: LogIndex) {
        let previous_index = next.previous();
        let previous_term = self.log.term_at(previous_index).unwrap_or_default();
        let entries = self
            .log
            .slice(next, self.log.last_index(), self.params.batch_bytes);
        let sent = entries.len() as u64;
        let commit = self.log.committed;
        let body = Body::Append {
            previous_index,
            previous_term,
            commit,
            entries,
        };
        // Entries acknowledge nothing about the sender's disk, so they may be sent before its sync.
        let envelope = self.envelope(to, self.term, body);
        self.immediate_messages.push(envelope);
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.in_flight += 1;
            if progress.state == ProgressState::Pipeline {
                progress.next = LogIndex(next.0 + sent);
            }
        }
    }

    /// Accepts `leader` as the leader of the current term and restarts the election timeout.
    pub(crate) fn follow(&mut self, leader: ReplicaId) {
        if self.role != Role::Follower {
            self.become_follower(self.term, Some(leader));
        }
        self.leader = Some(leader);
        self.leader_known_since_start = true;
        self.election_elapsed = 0;
    }

    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        let reachable = index.min(self.log.last_index());
        self.log.committed = self.log.committed.max(reachable);
    }

    pub(crate) fn check_caught_up(&self, id: ReplicaId) -> Result<(), ChangeError> {
        if self.membership().get(id).is_none() {
            return Err(ChangeError::Unknown(id));
        }
        let matched = self
            .progress
            .get(&id)
            .map_or(LogIndex(0), |progress| progress.matched);
        // The learner must have all committed entries on its disk: once it is a voter, any one
        // other replica may be lost.
        if matched < self.log.committed {
            return Err(ChangeError::NotCaughtUp(id));
        }
        Ok(())
    }

    fn append_missing(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate_from(entry.index);
                    self.drop_memberships_from(entry.index);
                }
                None => {}
            }
            self.record_membership(&entry);
            self.log.append(entry);
        }
    }

    /// The position from which the leader should send next: the first one of the conflicting term,
    /// so that a whole term is skipped in one round trip.
    fn conflict_hint(&self, previous_index: LogIndex) -> LogIndex {
        let mut index = previous_index.min(self.log.last_index());
        let conflicting = self.log.term_at(index);
        while index > self.log.committed && self.log.term_at(index) == conflicting {
            index = index.previous();
        }
        index.next()
    }

    fn answer_read(&mut self, from: ReplicaId, context: u64, index: LogIndex) {
        if from == self.id {
            self.read_states.push(ReadState { context, index });
        } else {
            self.send(from, Body::ReadIndexReply { context, index });
        }
    }

    /// Proposes to record the disk of a member that has none recorded, and of this leader, so that
    /// messages from another disk are detected later.
    fn pin_disk(&mut self, from: ReplicaId, disk: DiskId) {
        let own = (self.id, self.disk);
        for (id, disk) in [own, (from, disk)] {
            let unknown = self
                .membership()
                .get(id)
                .is_some_and(|member| member.disk == DiskId(0));
            if unknown {
                // Refused while another change is pending; the next acknowledgement retries it.
                let _ = self.propose_change(MembershipChange::PinDisk(id, disk));
            }
        }
    }

    fn align_progress(&mut self) {
        let members = self.other_members();
        let next = self.log.last_index();
        let now = self.ticks;
        self.progress.retain(|id, _| members.contains(id));
        for id in members {
            self.progress
                .entry(id)
                .or_insert_with(|| Progress::new(next, now));
        }
    }
}
