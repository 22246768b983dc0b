//! Fingerprints that recognize repeated requests, whatever their request identifier and whichever router receives them.
//!
//! Each attempt of a client has its own request identifier, so identifiers do not show that a request was
//! sent before. A fingerprint is a keyed hash of what the back end runs: method, host, target, body and tenant.

use std::fmt;

use binrw::binrw;
use hmac::{Hmac, Mac};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::Sha256;

const KEY_BYTES: usize = 32;
const FINGERPRINT_BYTES: usize = 16;
/// The bytes of a fingerprint that logs show, enough to distinguish several thousand requests.
const SHOWN_BYTES: usize = 6;

/// The secret key of the fingerprint hash, the same at all routers of a system. Without it, nobody can
/// construct a request with the fingerprint of another one, or check a guessed body against a fingerprint in a log.
#[binrw]
#[brw(little)]
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; KEY_BYTES]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey(..)")
    }
}

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FingerprintInput<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host, without port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The tenant, or empty on a route that needs none. Requests of different tenants never share a fingerprint.
    pub tenant: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A keyed hash of a request without its identifier. Requests with equal [`FingerprintInput`] have the same fingerprint
/// under the same [`FingerprintKey`].
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// The first hex digits of a fingerprint, as logs show them, by which an operator selects one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FingerprintPrefix(String);

impl FingerprintPrefix {
    /// Parses hex digits: at least as many as logs show, at most a whole fingerprint; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let is_long_enough = (2 * SHOWN_BYTES..=2 * FINGERPRINT_BYTES).contains(&text.len());
        (is_hex && is_long_enough).then(|| Self(text.to_ascii_lowercase()))
    }

    /// Whether a fingerprint starts with this prefix.
    pub fn matches(&self, fingerprint: RequestFingerprint) -> bool {
        format!("{fingerprint:#}").starts_with(&self.0)
    }
}

impl FingerprintKey {
    /// Generates a key from `seed`, which must be random and must not leave the process.
    pub fn generate(seed: u64) -> Self {
        let mut key = [0; KEY_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut key);
        Self(key)
    }

    /// Computes the fingerprint of a request.
    pub fn identify(&self, input: &FingerprintInput<'_>) -> RequestFingerprint {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("any key length fits");
        let fields = [input.method, input.host, input.target, input.tenant];
        for field in fields.map(str::as_bytes).into_iter().chain([input.body]) {
            // Each field is preceded by its length, so that bytes moved from one field to the next change the hash.
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        let digest = mac.finalize().into_bytes();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        RequestFingerprint(bytes)
    }
}

impl RequestFingerprint {
    /// The first eight bytes as a number.
    pub(crate) fn leading_u64(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }

    /// A number from 0 to 1, uniformly distributed over fingerprints.
    pub fn fraction(self) -> f64 {
        f64::from(self.0[0]) / 256.0
    }
}

/// Writes the first [`SHOWN_BYTES`] bytes in hex, or all bytes in the alternate form.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = if formatter.alternate() {
            FINGERPRINT_BYTES
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
