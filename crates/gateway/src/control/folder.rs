//! The data folder: stores the identifier of the replica that it belongs to, and the replica's state.

use drumshore_consensus::{
    Directory, FileDirectory, Membership, ReplicaError, ReplicaId, WalError,
};
use drumshore_gateway_core::bootstrap_id;

use super::{Control, Core};
use crate::settings::ControlSettings;

/// Stores the replica's identifier: 8 bytes, little-endian.
const REPLICA_FILE: &str = "replica";

/// Opens the replica in the data folder; initializes an empty folder.
pub(super) fn open(settings: &ControlSettings) -> Result<Core, ReplicaError> {
    let mut directory = FileDirectory::open(&settings.data_dir).map_err(WalError::Io)?;
    let seeds = (settings.seeds)();
    let is_founder = settings.bootstrap && seeds.contains(&settings.ip);
    let replica = replica_of(&mut directory, settings, is_founder)?;
    let members = if is_founder && replica == bootstrap_id(settings.ip) {
        Membership::of_voters(seeds.iter().map(|seed| bootstrap_id(*seed)))
    } else {
        Membership::default()
    };
    Core::open(
        directory,
        replica,
        members,
        seeds,
        settings.node.clone(),
        settings.params.clone(),
        Control::seed(),
    )
}

/// The replica's identifier, generated once per disk. The identifier of a lost disk is not used again, except that a
/// founding member of the cluster derives its identifier from its address.
fn replica_of(
    directory: &mut FileDirectory,
    settings: &ControlSettings,
    is_founder: bool,
) -> Result<ReplicaId, WalError> {
    let stored = directory.read(REPLICA_FILE)?;
    if let Some(bytes) = stored.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok()) {
        return Ok(ReplicaId(u64::from_le_bytes(bytes)));
    }
    let founding = bootstrap_id(settings.ip);
    let replica = if is_founder {
        founding
    } else {
        ReplicaId(founding.0 | u64::from((Control::seed() as u32).max(1)))
    };
    directory.replace(REPLICA_FILE, &replica.0.to_le_bytes())?;
    Ok(replica)
}
