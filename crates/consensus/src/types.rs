//! The vocabulary of the replicated log.

use std::fmt;

use binrw::binrw;

use crate::Membership;

macro_rules! number {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[binrw]
        #[brw(little)]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )*};
}

number! {
    /// A replica. Its number is never used again after its disk was lost.
    ReplicaId;
    /// A leader's term; at most one leader has each (§3.4).
    Term;
    /// A position in the log, from 1.
    LogIndex;
    /// Drawn at random when a data folder is made. 0 means not known yet.
    DiskId;
}

impl LogIndex {
    /// The next position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before; 0 stays 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// What an entry is for.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A command of the state machine.
    Command = 0,
    /// A new leader's first entry; it lets entries of earlier terms commit (§5.4.2).
    Barrier = 1,
    /// A new membership, in force from the moment it is appended (§4.1).
    Membership = 2,
}

/// One entry of the log.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
    /// What it is for.
    pub kind: EntryKind,
    #[br(temp)]
    #[bw(try_calc = u32::try_from(data.len()))]
    length: u32,
    /// The encoded command or membership.
    #[br(count = length)]
    pub data: Vec<u8>,
}

/// What a replica must not forget.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term; 0 for nobody.
    pub vote: ReplicaId,
    /// The highest position known to be committed; a hint that saves work after a restart.
    pub commit: LogIndex,
}

/// The state machine at one position, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last position included.
    pub index: LogIndex,
    /// Its term.
    pub term: Term,
    /// The membership there.
    pub membership: Membership,
    /// The encoded state machine.
    pub data: Vec<u8>,
}

/// This replica does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// Who does, when known.
    pub leader: Option<ReplicaId>,
}

/// A read may be served once the state machine has applied `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// From the request.
    pub context: u64,
    /// The position.
    pub index: LogIndex,
}
