//! Which requests carry the same work, whatever identifier they bear and whichever router they come to.
//!
//! Each attempt of a caller has an identifier of its own, so identifiers cannot tell that a request
//! has come before. What a back end runs can: method, host, target, body, and the caller's tenant.

use std::fmt;

use binrw::binrw;
use hmac::{Hmac, Mac};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::Sha256;

const KEY_BYTES: usize = 32;
const ID_BYTES: usize = 16;
/// Bytes of an identifier that logs show; enough to tell the work of some thousand requests apart.
const SHOWN_BYTES: usize = 6;

/// The secret under which work is identified, the same at all routers of a system. Who lacks it can
/// neither make a request whose identifier equals another's nor test a guessed body against a log.
#[binrw]
#[brw(little)]
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; KEY_BYTES]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("WorkKey(..)")
    }
}

/// What a back end is asked to run, and for whom.
#[derive(Clone, Copy, Debug, Default)]
pub struct FingerprintInput<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, without port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The caller's tenant; empty where none is needed. Other callers' work is never the same.
    pub tenant: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Stands for the work of a request. Equal for the same work under the same [`FingerprintKey`].
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; ID_BYTES]);

/// The start of an identifier, as logs show it, by which an operator names work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FingerprintPrefix(String);

impl FingerprintPrefix {
    /// Reads as many hex digits as logs show, or more; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let is_long_enough = (2 * SHOWN_BYTES..=2 * ID_BYTES).contains(&text.len());
        (is_hex && is_long_enough).then(|| Self(text.to_ascii_lowercase()))
    }

    /// Whether the work's identifier begins so.
    pub fn matches(&self, fingerprint: RequestFingerprint) -> bool {
        format!("{fingerprint:#}").starts_with(&self.0)
    }
}

impl FingerprintKey {
    /// A key that is drawn from `seed`, which must be random and stay within the process.
    pub fn generate(seed: u64) -> Self {
        let mut key = [0; KEY_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut key);
        Self(key)
    }

    /// Identifies work.
    pub fn identify(&self, fingerprint: &FingerprintInput<'_>) -> RequestFingerprint {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("any key length fits");
        let fields = [
            fingerprint.method,
            fingerprint.host,
            fingerprint.target,
            fingerprint.tenant,
        ];
        for field in fields
            .map(str::as_bytes)
            .into_iter()
            .chain([fingerprint.body])
        {
            // The length in front keeps the end of one field from being read as the next one's begin.
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        let digest = mac.finalize().into_bytes();
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        RequestFingerprint(id)
    }
}

impl RequestFingerprint {
    /// A part of one, evenly spread over works.
    pub fn fraction(self) -> f64 {
        f64::from(self.0[0]) / 256.0
    }
}

/// The first [`SHOWN_BYTES`] in hex; all of it in the alternate form.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = if formatter.alternate() {
            ID_BYTES
        } else {
            SHOWN_BYTES
        };
        let mut shown = self.0[..shown].iter();
        shown.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

#[cfg(test)]
#[path = "fingerprint_tests.rs"]
mod tests;
