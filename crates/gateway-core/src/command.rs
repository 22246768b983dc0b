//! The commands that the log replicates.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, List, Text};

use crate::{FingerprintKey, LoadedModel, RequestFingerprint};

/// Tells a replica which of its callers waits for a committed command.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// Drawn at random at each start of the replica that took the command in.
    pub origin: u64,
    /// Counts the origin's commands.
    pub sequence: u64,
}

impl ProposalId {
    /// The id of an encoded [`Proposal`], which begins with it.
    pub fn of(encoded: &[u8]) -> Option<Self> {
        Self::read(&mut Cursor::new(encoded)).ok()
    }
}

/// A command with its origin.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Who waits for it.
    pub id: ProposalId,
    /// What to do.
    pub command: Command,
}

/// How far a load of weights has come.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// Routers stop sending; the order follows.
    Started = 0,
    /// The back end holds the version.
    Finished = 1,
    /// The order was not taken; the back end serves what it had.
    Abandoned = 2,
}

/// What to do.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A configuration that was checked before; an older or equal version changes nothing.
    #[brw(magic(1u8))]
    Configure {
        /// Its version.
        version: u64,
        /// As the operator sent it.
        body: Blob,
    },
    /// A back end that is new.
    #[brw(magic(2u8))]
    Register {
        /// Its incarnation.
        instance: Text,
        /// Its pool.
        pool: Text,
        /// IP:PORT.
        address: Text,
        /// Its zone.
        zone: Text,
        /// Requests it works on at once.
        slots: u32,
        /// 1 when it is leaving already.
        draining: u8,
        /// The weights it holds.
        models: List<LoadedModel>,
    },
    /// A back end that must get no new requests.
    #[brw(magic(3u8))]
    Drain {
        /// Its incarnation.
        instance: Text,
    },
    /// A back end that has gone, or never comes back.
    #[brw(magic(4u8))]
    Deregister {
        /// Its incarnation.
        instance: Text,
    },
    /// New weights of a model.
    #[brw(magic(5u8))]
    SetTargetWeights {
        /// The model.
        model: Text,
        /// The version that all back ends are to hold.
        version: u64,
    },
    /// A back end that fell silent; its word brings it back.
    #[brw(magic(7u8))]
    Expire {
        /// Its incarnation.
        instance: Text,
    },
    /// A step of one back end's load of weights.
    #[brw(magic(6u8))]
    Load {
        /// Its incarnation.
        instance: Text,
        /// The model.
        model: Text,
        /// The version that is loaded.
        version: u64,
        /// The step.
        phase: LoadPhase,
    },
    /// The key under which work is identified; only the first one counts.
    #[brw(magic(8u8))]
    SetFingerprintKey {
        /// The key.
        key: FingerprintKey,
    },
    /// Work that no back end is to be given.
    #[brw(magic(9u8))]
    Quarantine {
        /// The work.
        fingerprint: RequestFingerprint,
    },
    /// Work that may be tried again.
    #[brw(magic(10u8))]
    Release {
        /// The work.
        fingerprint: RequestFingerprint,
    },
}

impl Proposal {
    /// The proposal as an entry of the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor)
            .expect("a proposal fits in its length fields");
        cursor.into_inner()
    }

    /// Reads an entry back; `None` when it is no proposal, or more than one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut cursor = Cursor::new(bytes);
        let proposal = Self::read(&mut cursor).ok()?;
        (cursor.position() == bytes.len() as u64).then_some(proposal)
    }
}
