//! The cache reports that engines publish.

use std::fmt;

use drumshore_core::Incarnation;
use serde::{Deserialize, Serialize};

/// Identifies a prefix: the hash of a block and of all blocks before it, with tenant, model,
/// weights version and adapter in the root. It is not a hash of the block's own tokens alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SequenceHash(pub u64);

impl fmt::Display for SequenceHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A change of one block in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// The block was computed or imported.
    #[serde(rename = "s")]
    Stored(SequenceHash),
    /// The block was evicted.
    #[serde(rename = "r")]
    Removed(SequenceHash),
}

/// A sequence of an engine's numbered cache changes, or a list of all blocks that it caches.
///
/// Changes are numbered from 1 in each incarnation of the engine. If the first number of a report
/// is higher than the expected one, changes were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// True if the report lists all cached blocks instead of changes.
    pub complete: bool,
    /// The number of the first change; in a complete report, the number that the next change will
    /// have.
    pub first: u64,
    /// The changes in order; in a complete report, all cached blocks as `Stored`, in any order.
    pub changes: Vec<CacheChange>,
}
