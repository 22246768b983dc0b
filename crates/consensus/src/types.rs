//! Identifiers, log entries and durable state of the replicated log.

use std::fmt;

use binrw::binrw;

use crate::Membership;

macro_rules! u64_newtype {
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

u64_newtype! {
    /// A replica's number. It is never reused once the replica has lost its disk. 0 is no replica.
    ReplicaId;
    /// An election term. Each term has at most one leader (§3.4).
    Term;
    /// A position in the log, counted from 1.
    LogIndex;
    /// The identity of a replica's disk, chosen at random when its data folder is created. 0 means
    /// that it is not known yet.
    DiskId;
}

impl LogIndex {
    /// The following position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The preceding position; 0 stays 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// How the data of a log entry is interpreted.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A command for the replicated state machine.
    Command = 0,
    /// An empty entry that a new leader appends first. Committing it commits the entries of earlier
    /// terms before it (§5.4.2).
    Barrier = 1,
    /// A new membership. It takes effect as soon as it is appended (§4.1).
    Membership = 2,
}

/// One entry of the replicated log.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its position in the log.
    pub index: LogIndex,
    /// How `data` is interpreted.
    pub kind: EntryKind,
    #[br(temp)]
    #[bw(try_calc = u32::try_from(data.len()))]
    length: u32,
    /// The encoded command or membership; empty for a barrier.
    #[br(count = length)]
    pub data: Vec<u8>,
}

/// The durable Raft state of a replica besides its log and snapshot.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The replica that got this replica's vote in that term; 0 for none.
    pub vote: ReplicaId,
    /// The highest position known to be committed. It only saves work after a restart and may lag.
    pub commit: LogIndex,
}

/// The state machine at one position. It replaces the log up to that position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last position included.
    pub index: LogIndex,
    /// The term of the entry at that position.
    pub term: Term,
    /// The membership at that position.
    pub membership: Membership,
    /// The encoded state machine, opaque to this crate.
    pub data: Vec<u8>,
}

/// The operation needs the leader, and this replica is not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// The current leader, if it is known.
    pub leader: Option<ReplicaId>,
}

/// A confirmed read: it may be served once the state machine has applied `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// The context passed to [`Raft::read_index`](crate::Raft::read_index).
    pub context: u64,
    /// The position that must be applied first.
    pub index: LogIndex,
}
