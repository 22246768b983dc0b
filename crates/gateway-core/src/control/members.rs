//! Members of the replicated log and which of them vote. A replica's identifier contains its
//! address, so the membership is also the list of control machines.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_consensus::{Directory, MemberRole, MembershipChange, ReplicaId};
use drumshore_core::Timestamp;

use super::{ControlCore, Effect};
use crate::Message;

/// A request to join expires after this time.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// A replica that has had no leader for this long requests to join.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(600);
const ADDRESS_SHIFT: u32 = 32;

/// Address contained in a replica's identifier.
pub fn address_of(replica: ReplicaId) -> Ipv4Addr {
    Ipv4Addr::from((replica.0 >> ADDRESS_SHIFT) as u32)
}

/// Identifier of a founding replica. A later replica at the same address adds a random lower half,
/// because an identifier must not be reused after the disk was lost.
pub fn bootstrap_id(address: Ipv4Addr) -> ReplicaId {
    ReplicaId(u64::from(u32::from(address)) << ADDRESS_SHIFT)
}

/// Replicas that request to join, and the time of their last request.
#[derive(Debug, Default)]
pub(super) struct JoinRequests(BTreeMap<ReplicaId, Timestamp>);

impl<D: Directory> ControlCore<D> {
    pub(super) fn on_join(&mut self, replica: ReplicaId) {
        self.join_requests.0.insert(replica, self.now);
        let leader = self.leader().filter(|leader| {
            *leader != address_of(self.replica.raft().id()) && *leader != address_of(replica)
        });
        if let Some(leader) = leader {
            let message = Message::Join(replica);
            self.effects.push(Effect::ToControl(leader, message));
        }
    }

    /// Requests to join all known control machines: a replica without a leader may be unknown to
    /// it, or no longer be a member.
    pub(super) fn request_to_join(&mut self) {
        let raft = self.replica.raft();
        if raft.leader().is_some() {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(self.now);
        if self.now.since(since) < LEADERLESS_TIMEOUT {
            return;
        }
        self.leaderless_since = Some(self.now);
        let own = raft.id();
        let mut known = self.controls();
        known.extend(&self.seeds);
        known.sort_unstable();
        known.dedup();
        for address in known {
            if address != address_of(own) {
                let message = Message::Join(own);
                self.effects.push(Effect::ToControl(address, message));
            }
        }
    }

    /// Proposes the next change towards the target number of voters, all of them responsive. A
    /// rejected change is retried at the next tick.
    pub(super) fn change_members(&mut self) {
        let now = self.now;
        self.join_requests
            .0
            .retain(|_, requested_at| now.since(*requested_at) < JOIN_REQUEST_TTL);
        if let Some(change) = self.next_change() {
            let _ = self.replica.raft_mut().propose_change(change);
        }
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let membership = self.replica.raft().membership();
        let joiner = self
            .join_requests
            .0
            .keys()
            .find(|id| membership.get(**id).is_none());
        if let Some(joiner) = joiner {
            let mut members = membership.members().iter();
            // The old replica's disk is lost, or it would have returned under its old identifier.
            let predecessor = members.find(|member| address_of(member.id) == address_of(*joiner));
            return Some(match predecessor {
                Some(member) => MembershipChange::Remove(member.id),
                None => MembershipChange::AddLearner(*joiner),
            });
        }
        let mut learners = membership
            .members()
            .iter()
            .filter(|member| member.role == MemberRole::Learner);
        let learner = learners.find(|member| self.is_responsive(member.id))?;
        if membership.voters().count() < self.params.voters {
            return Some(MembershipChange::Promote(learner.id));
        }
        let unresponsive = membership.voters().find(|id| !self.is_responsive(*id))?;
        Some(MembershipChange::Remove(unresponsive))
    }

    fn is_responsive(&self, replica: ReplicaId) -> bool {
        let raft = self.replica.raft();
        if replica == raft.id() {
            return true;
        }
        let ticks_since_response = raft.ticks_since_response(replica).unwrap_or(u64::MAX);
        let max_silent_ticks = self.params.voter_timeout.as_micros() / self.params.tick.as_micros();
        u128::from(ticks_since_response) < max_silent_ticks
    }
}
