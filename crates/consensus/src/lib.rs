//! A replicated log as a pure state machine, after Raft (Ongaro, "Consensus: Bridging Theory and
//! Practice", 2014; section numbers in comments refer to it).
//!
//! [`Raft`] has no I/O and no clock: [`Raft::step`] takes a message, [`Raft::tick`] the passing
//! of time, and [`Raft::take_ready`] gives what to persist, send and apply. [`Replica`] drives
//! it over a [`Wal`] in the one safe order: persist, then answer, then apply. [`Directory`] is
//! where bytes go: [`FileDirectory`] in a daemon, [`MemoryDirectory`] under simulation.
//!
//! Elections have a pre-vote (§9.6) and leaders check their quorum (§6.2), so that a replica
//! that was cut off disturbs nothing when it returns. Membership changes one replica at a time
//! (§4.1). A replica carries the identity of its disk; one that comes back with another disk is
//! not counted under its old number, because it has forgotten what it promised.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod directory;
mod election;
mod log;
mod membership;
mod message;
mod progress;
mod quorum;
mod raft;
mod read_only;
mod replica;
mod replication;
mod snapshot;
mod types;
mod wal;

pub use directory::{Directory, FileDirectory, MemoryDirectory};
pub use membership::{Change, ChangeError, Member, MemberRole, Membership};
pub use message::{Body, DecodeError, Envelope};
pub use raft::{Params, Raft, Ready, Role};
pub use replica::{Output, Replica, ReplicaError};
pub use types::{
    DiskId, Entry, EntryKind, HardState, LogIndex, NotLeader, ReadState, ReplicaId, Snapshot, Term,
};
pub use wal::{FolderIdentity, Recovered, Wal, WalError};
