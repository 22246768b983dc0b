//! What engines publish about their caches.

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

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was computed or imported.
    Stored,
    /// It was evicted.
    Removed,
}

/// One numbered event of an engine's cache. A number that is skipped means a lost event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events from 1 in each incarnation.
    pub id: u64,
    /// The engine's start.
    pub incarnation: Incarnation,
    /// The block.
    pub block: SequenceHash,
    /// What happened to it.
    pub kind: CacheEventKind,
}
