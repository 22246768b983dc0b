//! Who replicates and who votes, changed one replica at a time (§4.1).

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};

use crate::{DiskId, ReplicaId};

/// What a member does.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Counts for elections and commits.
    Voter = 0,
    /// Receives the log but does not count (§4.2.1).
    Learner = 1,
}

/// One member.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub id: ReplicaId,
    /// What it does.
    pub role: MemberRole,
    /// The disk it was admitted with; 0 until the first leader has seen it.
    pub disk: DiskId,
}

/// All members, in the order of their numbers.
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

/// One step of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new replica starts to receive the log.
    AddLearner(ReplicaId),
    /// A learner that has caught up starts to vote.
    Promote(ReplicaId),
    /// A replica leaves; its number is not used again.
    Remove(ReplicaId),
    /// Records the disk that a member speaks from.
    PinDisk(ReplicaId, DiskId),
}

/// Why a change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Only the leader changes the membership.
    #[error("not the leader")]
    NotLeader,
    /// The change before is not committed yet, or the leader is new (§4.1 and its erratum).
    #[error("another change is under way")]
    Busy,
    /// The learner has not yet stored all that is committed.
    #[error("replica {0} has not caught up")]
    NotCaughtUp(ReplicaId),
    /// The number is a member already.
    #[error("replica {0} is a member already")]
    Exists(ReplicaId),
    /// The number is not a member.
    #[error("replica {0} is not a member")]
    Unknown(ReplicaId),
    /// The last voter cannot be removed.
    #[error("the last voter cannot be removed")]
    LastVoter,
}

impl Membership {
    /// A first membership: these vote.
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

    /// The members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// One member.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Those that vote.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let voters = self
            .members
            .iter()
            .filter(|member| member.role == MemberRole::Voter);
        voters.map(|member| member.id)
    }

    /// True when the replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// The membership after one step.
    pub fn changed(&self, change: Change) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(id) => next.add_learner(id)?,
            Change::Promote(id) => next.member_mut(id)?.role = MemberRole::Voter,
            Change::PinDisk(id, disk) => next.member_mut(id)?.disk = disk,
            Change::Remove(id) => next.remove(id)?,
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
