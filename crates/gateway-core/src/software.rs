//! The version of the software that a back end runs.
//!
//! Unrelated to the versions of model weights: it is fixed while a back end runs. What back ends of different software
//! versions generate does not fit together, so a stream must continue at the version that began it.

use std::fmt;

use binrw::binrw;
use drumshore_wire::Text;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::PoolName;

/// Longer names are cut to this length in bytes and made unique by a hash.
const MAX_NAME_BYTES: usize = 48;

/// A software version as a back end declares it; empty if it declares none.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoftwareVersion(Text);

impl SoftwareVersion {
    /// The version with this name; an empty name means that none is declared.
    pub fn new(name: &str) -> Self {
        if name.len() <= MAX_NAME_BYTES {
            return Self(Text::new(name));
        }
        let hash = format!("#{:016x}", xxh3_64(name.as_bytes()));
        let max_kept = MAX_NAME_BYTES - hash.len();
        let ends = name.char_indices().map(|(end, _)| end);
        let end = ends.take_while(|end| *end <= max_kept).last();
        let kept = &name[..end.unwrap_or_default()];
        Self(Text::new(format!("{kept}{hash}")))
    }

    /// Whether the back end declares a version.
    pub fn is_declared(&self) -> bool {
        !self.as_str().is_empty()
    }

    /// The name; empty if none is declared.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A hash of a software version and of the pool whose back ends run it. Versions of the same name in two pools differ.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareKey(u32);

impl SoftwareKey {
    /// The key of a version in a pool.
    pub fn of(pool: &PoolName, version: &SoftwareVersion) -> Self {
        Self::of_names(pool.as_str(), version.as_str())
    }

    /// The key of back ends of a pool that declare no version.
    pub fn undeclared(pool: &PoolName) -> Self {
        Self::of_names(pool.as_str(), "")
    }

    pub(crate) fn of_names(pool: &str, version: &str) -> Self {
        let seed = xxh3_64(pool.as_bytes());
        Self(xxh3_64_with_seed(version.as_bytes(), seed) as u32)
    }
}

impl fmt::Display for SoftwareKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

#[cfg(test)]
#[path = "software_tests.rs"]
mod tests;
