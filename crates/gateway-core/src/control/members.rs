//! Who replicates and who votes. A replica's number holds its address, so that the members of
//! the log are also the list of control machines.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_consensus::{Directory, MemberRole, MembershipChange, ReplicaId};
use drumshore_core::Timestamp;

use super::{ControlCore, Effect};
use crate::Message;

/// How long a request to join counts.
const JOIN_COUNTS_FOR: Duration = Duration::from_secs(2);
/// A replica without a leader asks to be let in after this long.
const LEADERLESS: Duration = Duration::from_millis(600);
const ADDRESS_SHIFT: u32 = 32;

/// The address within a replica's number.
pub fn address_of(replica: ReplicaId) -> Ipv4Addr {
    Ipv4Addr::from((replica.0 >> ADDRESS_SHIFT) as u32)
}

/// The number of a founding replica. A later one at the same address adds a random low half, for
/// a number must not be used again once its disk was lost.
pub fn bootstrap_id(address: Ipv4Addr) -> ReplicaId {
    ReplicaId(u64::from(u32::from(address)) << ADDRESS_SHIFT)
}

/// Replicas that ask to be let in, and when they did last.
#[derive(Debug, Default)]
pub(super) struct Joiners(BTreeMap<ReplicaId, Timestamp>);

impl<D: Directory> ControlCore<D> {
    pub(super) fn on_join(&mut self, replica: ReplicaId) {
        self.joiners.0.insert(replica, self.now);
        let leader = self.leader().filter(|leader| {
            *leader != address_of(self.replica.raft().id()) && *leader != address_of(replica)
        });
        if let Some(leader) = leader {
            let message = Message::Join(replica);
            self.effects.push(Effect::ToControl(leader, message));
        }
    }

    /// A replica that hears no leader may be unknown to it, or no longer be a member.
    pub(super) fn ask_to_join(&mut self) {
        let raft = self.replica.raft();
        if raft.leader().is_some() {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(self.now);
        if self.now.since(since) < LEADERLESS {
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

    /// One step towards as many voters as wanted, all of them alive. Changes that are refused
    /// are tried again at the next tick.
    pub(super) fn change_members(&mut self) {
        let now = self.now;
        self.joiners
            .0
            .retain(|_, asked| now.since(*asked) < JOIN_COUNTS_FOR);
        if let Some(change) = self.next_change() {
            let _ = self.replica.raft_mut().propose_change(change);
        }
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let membership = self.replica.raft().membership();
        let joiner = self
            .joiners
            .0
            .keys()
            .find(|id| membership.get(**id).is_none());
        if let Some(joiner) = joiner {
            let mut members = membership.members().iter();
            // Its predecessor's disk is lost, or it would have come back under the old number.
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
        let learner = learners.find(|member| self.is_heard(member.id))?;
        if membership.voters().count() < self.params.voters {
            return Some(MembershipChange::Promote(learner.id));
        }
        let silent = membership.voters().find(|id| !self.is_heard(*id))?;
        Some(MembershipChange::Remove(silent))
    }

    fn is_heard(&self, replica: ReplicaId) -> bool {
        let raft = self.replica.raft();
        if replica == raft.id() {
            return true;
        }
        let silent = raft.ticks_since_response(replica).unwrap_or(u64::MAX);
        let allowed = self.params.voter_silence.as_micros() / self.params.tick.as_micros();
        u128::from(silent) < allowed
    }
}
