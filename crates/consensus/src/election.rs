//! Elections: pre-vote, vote, transfer, and the leader's check of its quorum.

use drumshore_guard::{enforced, Guard};

use crate::progress::Progress;
use crate::quorum::is_quorum;
use crate::{Body, EntryKind, LogIndex, Raft, ReplicaId, Role, Term};

impl Raft {
    /// Hands leadership to a voter, which is brought up to date first (§3.10). The transfer is
    /// given up after an election timeout.
    pub fn transfer_leadership(&mut self, to: ReplicaId) {
        let possible = self.role == Role::Leader && to != self.id && self.membership().is_voter(to);
        if !possible {
            return;
        }
        self.transferring_to = Some(to);
        self.election_elapsed = 0;
        self.send_timeout_now_if_ready(to);
    }

    /// Stands at once, without waiting for the timeout. For the only voter of a new cluster.
    pub fn campaign(&mut self) {
        self.start_pre_vote();
    }

    /// Asks whether an election would succeed before any term is raised (§9.6): a replica that
    /// was cut off cannot depose a working leader when it returns.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.election_elapsed = 0;
        self.draw_election_timeout();
        self.votes.clear();
        self.votes.insert(self.id, true);
        if self.votes_are_enough() {
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
            && self.remembers_its_promises()
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
        if self.votes_are_enough() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, last_index: LogIndex, last_term: Term) {
        let free = self.vote == ReplicaId(0) || self.vote == from;
        let granted = free
            && self.remembers_its_promises()
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
        if self.votes_are_enough() {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self) {
        if self.membership().is_voter(self.id) && self.remembers_its_promises() {
            self.start_election(true);
        }
    }

    /// Heartbeats, the check of the quorum, and transfers that take too long.
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
            // A leader that no majority answers may have been replaced; it must not go on
            // believing that it leads (§6.2).
            if !self.quorum_heard_within(self.params.election_ticks) {
                self.become_follower(self.term, None);
            }
        }
    }

    pub(crate) fn quorum_heard_within(&self, ticks: u64) -> bool {
        let oldest = self.ticks.saturating_sub(ticks);
        is_quorum(self.membership(), |id| {
            id == self.id
                || self
                    .progress
                    .get(&id)
                    .is_some_and(|progress| progress.heard_at >= oldest)
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
        self.draw_election_timeout();
        self.votes.clear();
        self.votes.insert(self.id, true);
        if self.votes_are_enough() {
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

    fn votes_are_enough(&self) -> bool {
        is_quorum(self.membership(), |id| self.votes.get(&id) == Some(&true))
    }

    /// A candidate whose log is behind could lack committed entries (§5.4.1 of the Raft paper).
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (last_term, last_index) >= own || !enforced(Guard::UpToDateVote)
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.followed_since_start = true;
        self.heartbeat_elapsed = 0;
        self.election_elapsed = 0;
        let next = self.log.last_index().next();
        self.progress = self
            .other_members()
            .into_iter()
            .map(|id| (id, Progress::new(next, self.ticks)))
            .collect();
        // Entries of earlier terms commit only behind one of this term.
        self.append_own(EntryKind::Barrier, Vec::new());
    }
}
