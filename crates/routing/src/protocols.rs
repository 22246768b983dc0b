//! What engines publish of their caches.

use std::fmt;

use drumshore_core::Incarnation;
use serde::{Deserialize, Serialize};

/// Identifies a prefix: the hash of a block and of everything before it, with tenant, model,
/// weights version and adapter at the root. Not the hash of a block's own tokens.
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

/// What happened to a block of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// It was computed or imported.
    #[serde(rename = "s")]
    Stored(SequenceHash),
    /// It was evicted.
    #[serde(rename = "r")]
    Removed(SequenceHash),
}

/// A part of an engine's numbered cache changes, or all that it holds.
///
/// Changes are counted from 1 in each start of the engine. A report that begins behind the number
/// that was due shows that changes were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The engine's start.
    pub incarnation: Incarnation,
    /// True when the report lists what is held now, rather than what changed.
    pub complete: bool,
    /// The number of the first change; of a complete report, the number of the change that comes
    /// next.
    pub first: u64,
    /// The changes, in order; of a complete report, what is held, in any order.
    pub changes: Vec<CacheChange>,
}
