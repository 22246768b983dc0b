//! The commands that the log replicates.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, Text};

/// Tells a replica which of its waiting callers a committed command belongs to.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// Drawn at random at each start of the replica that took the command in.
    pub origin: u64,
    /// Counts the origin's commands.
    pub sequence: u64,
}

/// A command with its origin.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Who waits for it.
    pub id: ProposalId,
    /// The proposer's clock, in milliseconds since the Unix epoch. The state machine's own time
    /// is the highest seen, so that it is the same on every replica.
    pub now_ms: u64,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Writes a resource.
    #[brw(magic(1u8))]
    Put {
        /// The operator's key for the change.
        change_id: Text,
        /// Who asks.
        operator: Text,
        /// The version it was written from; 0 when it is to be new.
        expected: u64,
        /// Its name.
        name: Text,
        /// JSON of the specification.
        spec: Blob,
    },
    /// Removes a resource.
    #[brw(magic(2u8))]
    Delete {
        /// The operator's key for the change.
        change_id: Text,
        /// Who asks.
        operator: Text,
        /// The version that is to be removed.
        expected: u64,
        /// The word of its kind.
        kind: Text,
        /// Its name.
        name: Text,
    },
    /// Claims the right to run work that may not be repeated.
    #[brw(magic(3u8))]
    Claim {
        /// The tenant.
        tenant: Text,
        /// The caller's key.
        key: Text,
        /// Hash of the request.
        fingerprint: u64,
        /// The request's router part.
        request_router: u64,
        /// The request's sequence part.
        request_sequence: u64,
    },
    /// Records how claimed work ended.
    #[brw(magic(4u8))]
    Outcome {
        /// The tenant.
        tenant: Text,
        /// The caller's key.
        key: Text,
        /// The router part of the request that holds the claim.
        request_router: u64,
        /// The sequence part of the request that holds the claim.
        request_sequence: u64,
        /// 0 not run, 1 may have run, 2 ran.
        execution: u8,
        /// The answer.
        answer: Blob,
    },
    /// Lets time pass for claims.
    #[brw(magic(5u8))]
    Expire,
}

impl Proposal {
    /// The command as bytes of a log entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor).expect("a command fits in memory");
        cursor.into_inner()
    }

    /// Reads a command back; `None` when the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        Self::read(&mut Cursor::new(bytes)).ok()
    }
}
