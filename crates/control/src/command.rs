//! The commands that the log replicates, and their binary encoding.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, Text};

/// Identifies a proposal, so that a replica can match a committed command to the caller that waits
/// for it.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// Random number that the replica which accepted the command chose when it started.
    pub origin: u64,
    /// Sequence number among the commands of this origin.
    pub sequence: u64,
}

/// A command as an entry of the log.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Identifies the caller that waits for the result.
    pub id: ProposalId,
    /// The proposer's clock, in milliseconds since the Unix epoch. The state machine uses the
    /// highest value applied so far as its time, so that it is the same on every replica.
    pub now_ms: u64,
    /// The change to apply to the replicated state.
    pub command: Command,
}

/// A change of the replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Creates or replaces a resource.
    #[brw(magic(1u8))]
    Put {
        /// Idempotency key that the operator chose for the change.
        change_id: Text,
        /// Name of the operator that requests the change.
        operator: Text,
        /// The version on which the change is based; 0 to create the resource.
        expected: u64,
        /// Name of the resource.
        name: Text,
        /// The specification as JSON.
        spec: Blob,
    },
    /// Removes a resource.
    #[brw(magic(2u8))]
    Delete {
        /// Idempotency key that the operator chose for the change.
        change_id: Text,
        /// Name of the operator that requests the change.
        operator: Text,
        /// The version to remove.
        expected: u64,
        /// Kind of the resource, written as in `ResourceKind`'s text form.
        kind: Text,
        /// Name of the resource.
        name: Text,
    },
    /// Claims the right to execute a request that must not be repeated.
    #[brw(magic(3u8))]
    Claim {
        /// The tenant that sent the request.
        tenant: Text,
        /// The caller's idempotency key.
        key: Text,
        /// Hash of the request, to detect a key that is reused for another request.
        fingerprint: u64,
        /// The router part of the request id.
        request_router: u64,
        /// The sequence part of the request id.
        request_sequence: u64,
    },
    /// Records the outcome of a claimed request.
    #[brw(magic(4u8))]
    Outcome {
        /// The tenant that sent the request.
        tenant: Text,
        /// The caller's idempotency key.
        key: Text,
        /// The router part of the id of the request that holds the claim.
        request_router: u64,
        /// The sequence part of the id of the request that holds the claim.
        request_sequence: u64,
        /// 0: not executed, 1: may have been executed, 2: executed.
        execution: u8,
        /// The whole answer of an executed request.
        answer: Blob,
    },
    /// Advances the state machine's clock, which ends and removes old claims.
    #[brw(magic(5u8))]
    Expire,
}

impl Proposal {
    /// Encodes the proposal as the data of a log entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor).expect("a command fits in memory");
        cursor.into_inner()
    }

    /// Decodes the data of a log entry; `None` if it is not a valid proposal.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        Self::read(&mut Cursor::new(bytes)).ok()
    }
}
