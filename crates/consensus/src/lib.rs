//! A Raft replicated log, implemented as a state machine without I/O. Section numbers in comments
//! refer to Ongaro, "Consensus: Bridging Theory and Practice", 2014.
//!
//! [`Raft`] has no clock either: [`Raft::step`] handles a message, [`Raft::tick`] advances time by
//! one tick, and [`Raft::take_ready`] returns what to persist, send and apply. [`Replica`] drives
//! [`Raft`] over a [`Wal`] in the only safe order: persist, then reply, then apply. [`Directory`]
//! abstracts storage: [`FileDirectory`] in a daemon, [`MemoryDirectory`] in simulations.
//!
//! Pre-votes (§9.6) and the leader's quorum check (§6.2) prevent a replica that was disconnected
//! from deposing a working leader when it reconnects. The membership changes by one replica at a
//! time (§4.1). Each replica reports a disk identity. A replica that returns with another disk
//! has lost the votes and log entries that it acknowledged, so it is not counted under its old
//! number.
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
pub use membership::{ChangeError, Member, MemberRole, Membership, MembershipChange};
pub use message::{Body, DecodeError, Envelope};
pub use raft::{Params, Raft, Ready, Role};
pub use replica::{Output, Replica, ReplicaError};
pub use types::{
    DiskId, Entry, EntryKind, HardState, LogIndex, NotLeader, ReadState, ReplicaId, Snapshot, Term,
};
pub use wal::{FolderIdentity, Recovered, Wal, WalError};
