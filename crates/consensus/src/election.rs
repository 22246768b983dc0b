//! Elections: pre-votes, votes, leadership transfers and the leader's quorum check.

use drumshore_guard::{enforced, Guard};

use crate::progress::Progress;
use crate::quorum::is_quorum;
use crate::{Body, EntryKind, LogIndex, Raft, ReplicaId, Role, Term};

impl Raft {
    /// Starts a leadership transfer to a voter, which first receives all missing entries (§3.10).
    /// The transfer is abandoned after `election_ticks`. No effect unless this replica leads and
    /// `to` is another voter.
    pub fn transfer_leadership(&mut self, to: ReplicaId) {
        let possible = self.role == Role::Leader && to != self.id && self.membership().is_voter(to);
        if !possible {
            return;
        }
        self.transferring_to = Some(to);
        self.election_elapsed = 0;
        self.send_timeout_now_if_ready(to);
    }

    /// Campaigns at once instead of waiting for the election timeout. For the only voter of a new
    /// cluster.
    pub fn campaign(&mut self) {
        self.start_pre_vote();
    }

    /// Asks the voters whether an election would succeed before raising the term (§9.6), so that a
    /// replica that was partitioned cannot depose a working leader when it reconnects.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.election_elapsed = 0;
        self.reset_election_timeout();
        self.votes.clear();
        self.votes.insert(self.id, true);
        if self.has_vote_quorum() {
            self.start_election(false);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let next_term = Term(self.term.0 + 1);
        for to in self.other_members() {
            let envelope = self.envelope(to, next_term, body.clone());
            self.messages.push(envelope);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = term > self.term
            && self.has_admitted_disk()
            && self.is_up_to_date(last_index, last_term);
        let body = Body::PreVoteReply {
            granted: u8::from(granted),
        };
        let answer_term = if granted { term } else { self.term };
        let envelope = self.envelope(from, answer_term, body);
        self.messages.push(envelope);
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool) {
        let current = self.role == Role::PreCandidate && term.0 == self.term.0 + 1;
        if !current || !granted {
            return;
        }
        self.votes.insert(from, true);
        if self.has_vote_quorum() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, last_index: LogIndex, last_term: Term) {
        let free = self.vote == ReplicaId(0) || self.vote == from;
        let granted = free
            && self.has_admitted_disk()
            && self.is_up_to_date(last_index, last_term)
            && self.role == Role::Follower;
        if granted {
            self.vote = from;
            self.election_elapsed = 0;
        }
        self.send(
            from,
            Body::VoteReply {
                granted: u8::from(granted),
            },
        );
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if self.role != Role::Candidate {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_vote_quorum() {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self) {
        if self.membership().is_voter(self.id) && self.has_admitted_disk() {
            self.start_election(true);
        }
    }

    /// Sends heartbeats, resends unanswered messages, checks the quorum and abandons leadership
    /// transfers that take too long.
    pub(crate) fn tick_leader(&mut self) {
        self.heartbeat_elapsed += 1;
        if self.heartbeat_elapsed >= self.params.heartbeat_ticks {
            self.heartbeat_elapsed = 0;
            self.broadcast_heartbeat();
        }
        self.retry_stalled();
        if self.election_elapsed >= self.params.election_ticks {
            self.election_elapsed = 0;
            self.transferring_to = None;
            // A leader without replies from a majority may have been replaced, so it steps down
            // (§6.2).
            if !self.quorum_active_within(self.params.election_ticks) {
                self.become_follower(self.term, None);
            }
        }
    }

    pub(crate) fn quorum_active_within(&self, ticks: u64) -> bool {
        let oldest = self.ticks.saturating_sub(ticks);
        is_quorum(self.membership(), |id| {
            id == self.id
                || self
                    .progress
                    .get(&id)
                    .is_some_and(|progress| progress.last_response_tick >= oldest)
        })
    }

    pub(crate) fn send_timeout_now_if_ready(&mut self, to: ReplicaId) {
        let caught_up = self
            .progress
            .get(&to)
            .is_some_and(|progress| progress.matched == self.log.last_index());
        if caught_up {
            self.send(to, Body::TimeoutNow);
        }
    }

    fn start_election(&mut self, transfer: bool) {
        self.term = Term(self.term.0 + 1);
        self.role = Role::Candidate;
        self.leader = None;
        self.vote = self.id;
        self.election_elapsed = 0;
        self.reset_election_timeout();
        self.votes.clear();
        self.votes.insert(self.id, true);
        if self.has_vote_quorum() {
            self.become_leader();
            return;
        }
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer: u8::from(transfer),
        };
        for to in self.other_members() {
            self.send(to, body.clone());
        }
    }

    fn has_vote_quorum(&self) -> bool {
        is_quorum(self.membership(), |id| self.votes.get(&id) == Some(&true))
    }

    /// True when a candidate's log is at least as up to date as this replica's. An older log could
    /// lack committed entries (§5.4.1 of the Raft paper).
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (last_term, last_index) >= own || !enforced(Guard::UpToDateVote)
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_known_since_start = true;
        self.heartbeat_elapsed = 0;
        self.election_elapsed = 0;
        let next = self.log.last_index().next();
        self.progress = self
            .other_members()
            .into_iter()
            .map(|id| (id, Progress::new(next, self.ticks)))
            .collect();
        // Entries of earlier terms are committed only by committing an entry of this term.
        self.append_new_entry(EntryKind::Barrier, Vec::new());
    }
}
