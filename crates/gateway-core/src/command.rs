//! The commands of the replicated log.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, List, Text};

use crate::{Fingerprint, FingerprintKey, LoadedModel, SoftwareVersion};

/// Identifies a proposal, so that the replica that accepted it can answer the waiting caller once it is committed.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// A random number that the replica which accepted the command generates at each start.
    pub origin: u64,
    /// The number of the command at this origin.
    pub sequence: u64,
}

impl ProposalId {
    /// Decodes the id of an encoded [`Proposal`], which starts with it.
    pub fn of(encoded: &[u8]) -> Option<Self> {
        Self::read(&mut Cursor::new(encoded)).ok()
    }
}

/// A command with the id of its proposal: an entry of the log.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The id of the proposal.
    pub id: ProposalId,
    /// The proposed command.
    pub command: Command,
}

/// A phase of loading weights.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// Routers stop sending requests; then the back end is ordered to load the version.
    Started = 0,
    /// The back end has loaded the version.
    Finished = 1,
    /// The back end did not accept the order and serves its previous version.
    Abandoned = 2,
}

/// A change of the replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Sets a configuration that was validated before; ignored unless its version is newer.
    #[brw(magic(1u8))]
    Configure {
        /// The version of the configuration.
        version: u64,
        /// The configuration as the operator sent it.
        body: Blob,
    },
    /// Registers a back end.
    #[brw(magic(2u8))]
    Register {
        /// The incarnation.
        instance: Text,
        /// The pool.
        pool: Text,
        /// The address, IP:PORT.
        address: Text,
        /// The zone.
        zone: Text,
        /// The number of requests that the back end serves concurrently.
        slots: u32,
        /// 1 if the back end is draining already.
        draining: u8,
        /// The weights that the back end has loaded.
        models: List<LoadedModel>,
    },
    /// Stops new requests to a back end, if it is registered. Proposed by earlier builds; a back end that is leaving is
    /// now registered as draining.
    #[brw(magic(3u8))]
    Drain {
        /// The incarnation.
        instance: Text,
    },
    /// Removes a back end permanently.
    #[brw(magic(4u8))]
    Deregister {
        /// The incarnation.
        instance: Text,
    },
    /// Sets the target version of a model's weights.
    #[brw(magic(5u8))]
    SetTargetWeights {
        /// The model.
        model: Text,
        /// The version that all back ends are to load.
        version: u64,
    },
    /// Removes a back end whose heartbeats stopped; it may register again.
    #[brw(magic(7u8))]
    Expire {
        /// The incarnation.
        instance: Text,
    },
    /// Records a phase of a back end's load of weights.
    #[brw(magic(6u8))]
    Load {
        /// The incarnation.
        instance: Text,
        /// The model.
        model: Text,
        /// The version that is being loaded.
        version: u64,
        /// The phase.
        phase: LoadPhase,
    },
    /// Sets the key of the fingerprint hash; ignored if there is one already.
    #[brw(magic(8u8))]
    SetFingerprintKey {
        /// The key.
        key: FingerprintKey,
    },
    /// Quarantines a fingerprint: its requests are sent to no back end.
    #[brw(magic(9u8))]
    Quarantine {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
    /// Ends the quarantine of a fingerprint.
    #[brw(magic(10u8))]
    Release {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
    /// Sets the software version of a registered back end, unless it has started again since it reported this one.
    /// Earlier builds skip this command.
    #[brw(magic(11u8))]
    SetSoftwareVersion {
        /// The incarnation.
        instance: Text,
        /// The version that it runs.
        software: SoftwareVersion,
        /// When it started, in Unix milliseconds of its own clock; 0 if it does not say.
        started_ms: u64,
    },
    /// Forgets the software versions that left their pools up to a revision: no stream that they began lasts. Earlier
    /// builds skip this command.
    #[brw(magic(12u8))]
    ForgetDepartures {
        /// The revision.
        revision: u64,
    },
}

impl Proposal {
    /// Encodes the proposal as an entry of the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor)
            .expect("a proposal fits in its length fields");
        cursor.into_inner()
    }

    /// Decodes an entry of the log; `None` if it is not exactly one proposal.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut cursor = Cursor::new(bytes);
        let proposal = Self::read(&mut cursor).ok()?;
        (cursor.position() == bytes.len() as u64).then_some(proposal)
    }
}
