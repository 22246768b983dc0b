//! The members of the cluster and their roles, changed one replica at a time (§4.1).

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};

use crate::{DiskId, ReplicaId};

/// Whether a member takes part in quorums.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Counts towards the quorum of elections and commits.
    Voter = 0,
    /// Receives the log but does not count towards a quorum (§4.2.1).
    Learner = 1,
}

/// A replica of the cluster.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its replica number.
    pub id: ReplicaId,
    /// Whether it takes part in quorums.
    pub role: MemberRole,
    /// The disk that the membership records for it; 0 until a leader has recorded one.
    pub disk: DiskId,
}

/// All members, ordered by replica number.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    #[br(temp)]
    #[bw(try_calc = u16::try_from(members.len()))]
    count: u16,
    #[br(count = count)]
    members: Vec<Member>,
}

/// A single membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner(ReplicaId),
    /// Turns a learner that has caught up into a voter.
    Promote(ReplicaId),
    /// Removes a replica. Its number must not be reused.
    Remove(ReplicaId),
    /// Records the disk identity of a member.
    PinDisk(ReplicaId, DiskId),
}

/// Why a membership change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader,
    /// The previous change is not committed yet, or the leader has not yet committed an entry of
    /// its own term (§4.1 and its erratum).
    #[error("another change is under way")]
    Busy,
    /// The learner has not stored all committed entries yet.
    #[error("replica {0} has not caught up")]
    NotCaughtUp(ReplicaId),
    /// A replica with this number is already a member.
    #[error("replica {0} is a member already")]
    Exists(ReplicaId),
    /// No member has this number.
    #[error("replica {0} is not a member")]
    Unknown(ReplicaId),
    /// The last voter cannot be removed.
    #[error("the last voter cannot be removed")]
    LastVoter,
}

impl Membership {
    /// Creates the membership of a new cluster, in which all replicas vote.
    pub fn of_voters(ids: impl IntoIterator<Item = ReplicaId>) -> Self {
        let role = MemberRole::Voter;
        let mut members: Vec<Member> = ids
            .into_iter()
            .map(|id| Member {
                id,
                role,
                disk: DiskId(0),
            })
            .collect();
        members.sort_by_key(|member| member.id);
        Self { members }
    }

    /// All members, ordered by replica number.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this number, if there is one.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// The members that vote, ordered by replica number.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let voters = self
            .members
            .iter()
            .filter(|member| member.role == MemberRole::Voter);
        voters.map(|member| member.id)
    }

    /// True when the replica is a member and votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Returns the membership after a change.
    pub fn changed(&self, change: MembershipChange) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => next.add_learner(id)?,
            MembershipChange::Promote(id) => next.member_mut(id)?.role = MemberRole::Voter,
            MembershipChange::PinDisk(id, disk) => next.member_mut(id)?.disk = disk,
            MembershipChange::Remove(id) => next.remove(id)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: ReplicaId) -> Result<(), ChangeError> {
        if self.get(id).is_some() {
            return Err(ChangeError::Exists(id));
        }
        self.members.push(Member {
            id,
            role: MemberRole::Learner,
            disk: DiskId(0),
        });
        self.members.sort_by_key(|member| member.id);
        Ok(())
    }

    fn remove(&mut self, id: ReplicaId) -> Result<(), ChangeError> {
        self.member_mut(id)?;
        if self.voters().eq([id]) {
            return Err(ChangeError::LastVoter);
        }
        self.members.retain(|member| member.id != id);
        Ok(())
    }

    fn member_mut(&mut self, id: ReplicaId) -> Result<&mut Member, ChangeError> {
        let member = self.members.iter_mut().find(|member| member.id == id);
        member.ok_or(ChangeError::Unknown(id))
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor)
            .expect("a membership fits in memory");
        cursor.into_inner()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        Self::read(&mut Cursor::new(bytes)).ok()
    }
}
