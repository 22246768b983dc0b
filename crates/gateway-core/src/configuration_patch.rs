//! Compressed differences between configurations. A change of a large configuration then costs a router's link about as
//! much as what it changes.

use std::io::{self, Read, Write};

use binrw::binrw;
use drumshore_wire::Blob;
use zstd::stream::{Decoder, Encoder};

/// A compromise between the size of a patch and the time that a control machine takes to make it.
const COMPRESSION_LEVEL: i32 = 3;
/// The smallest and the largest window that a patch may need, as powers of two in bytes. The largest one holds two
/// configurations of 4 MiB, which is the largest body that operators send.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=23;
/// The largest configuration that a patch may lead to, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A hash that identifies the body of a configuration.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigurationHash(u64);

impl ConfigurationHash {
    /// The hash of no configuration.
    pub const NONE: Self = Self(0);

    /// The hash of a body.
    pub fn of(body: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(body))
    }
}

/// A configuration, as a compressed difference from another one.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationPatch {
    /// The configuration to apply the patch to; [`ConfigurationHash::NONE`] if it needs none.
    pub base: ConfigurationHash,
    /// The configuration that results.
    pub result: ConfigurationHash,
    compressed: Blob,
}

/// Why a patch cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// It starts from another configuration than the one held.
    #[error("the patch starts from another configuration")]
    OtherBase,
    /// It cannot be decompressed.
    #[error("the patch cannot be decompressed: {0}")]
    Unreadable(String),
    /// It leads to another configuration than it names.
    #[error("the patch leads to another configuration than it names")]
    OtherResult,
}

impl ConfigurationPatch {
    /// The difference from `base`, which is empty if the receiver holds no configuration.
    pub fn between(base: &[u8], body: &[u8]) -> io::Result<Self> {
        let hash = if base.is_empty() {
            ConfigurationHash::NONE
        } else {
            ConfigurationHash::of(base)
        };
        Ok(Self {
            base: hash,
            result: ConfigurationHash::of(body),
            compressed: Blob::new(compress(base, body)?),
        })
    }

    /// The body that results from `base`.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, PatchError> {
        let base = if self.base == ConfigurationHash::NONE {
            &[]
        } else if ConfigurationHash::of(base) == self.base {
            base
        } else {
            return Err(PatchError::OtherBase);
        };
        let body = decompress(base, &self.compressed.bytes)
            .map_err(|error| PatchError::Unreadable(error.to_string()))?;
        if ConfigurationHash::of(&body) != self.result {
            return Err(PatchError::OtherResult);
        }
        Ok(body)
    }

    /// The size in a message, in bytes.
    pub fn bytes(&self) -> usize {
        self.compressed.bytes.len()
    }
}

fn compress(base: &[u8], body: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.long_distance_matching(true)?;
    encoder.window_log(window_log(base.len() + body.len()))?;
    encoder.set_pledged_src_size(Some(body.len() as u64))?;
    encoder.write_all(body)?;
    encoder.finish()
}

fn decompress(base: &[u8], compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = Decoder::with_ref_prefix(compressed, base)?;
    decoder.window_log_max(*WINDOW_LOG.end())?;
    let mut body = Vec::new();
    decoder.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
    Ok(body)
}

fn window_log(bytes: usize) -> u32 {
    let needed = bytes.next_power_of_two().trailing_zeros();
    needed.clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}

#[cfg(test)]
#[path = "configuration_patch_tests.rs"]
mod tests;
