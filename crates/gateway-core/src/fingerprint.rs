//! Fingerprints that recognize repeated requests, and parts that prompts have in common, whichever router receives them.
//!
//! Each attempt of a client has its own request identifier, so identifiers do not show that a request was
//! sent before. The fingerprint of a request is a keyed hash of what the back end runs: method, host, target, body and
//! tenant. The fingerprint of a prompt part is a keyed hash of its identifier alone: requests that share the part may
//! differ in everything else, the tenant too.

use std::fmt;
use std::rc::Rc;

use binrw::binrw;
use hmac::{Hmac, Mac};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::Sha256;

use crate::Prompt;

const KEY_BYTES: usize = 32;
const FINGERPRINT_BYTES: usize = 16;
/// The bytes of a fingerprint that logs show, enough to distinguish several thousand requests.
const SHOWN_BYTES: usize = 6;
/// The last bytes of the fingerprint of a prompt part. One in 2^32 requests has a fingerprint that ends so too.
const PROMPT_PART_SUFFIX: [u8; 4] = *b"part";
/// The maximum number of prompt parts of a request that have fingerprints.
const MAX_PROMPT_PARTS: usize = 32;

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
    /// The whole body, in parts. Where it is cut makes no difference.
    pub body: &'a [&'a [u8]],
}

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FingerprintScope {
    /// A whole request, which its caller may repeat.
    Request,
    /// A part of prompts, which different requests share.
    PromptPart,
}

impl FingerprintScope {
    /// The name of the scope in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// A keyed hash of a request without its identifier, or of a prompt part. Requests with equal [`FingerprintInput`] have
/// the same fingerprint under the same [`FingerprintKey`].
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

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
    pub fn matches(&self, fingerprint: Fingerprint) -> bool {
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
    pub fn identify(&self, input: &FingerprintInput<'_>) -> Fingerprint {
        let fields = [input.method, input.host, input.target, input.tenant];
        let mut hash = self.hash();
        for field in fields {
            add_field(&mut hash, &[field.as_bytes()]);
        }
        add_field(&mut hash, input.body);
        fingerprint(hash)
    }

    /// Computes the fingerprint of a prompt part with this identifier.
    pub fn identify_part(&self, part: &str) -> Fingerprint {
        let mut hash = self.hash();
        add_field(&mut hash, &[part.as_bytes()]);
        let Fingerprint(mut bytes) = fingerprint(hash);
        let suffix = FINGERPRINT_BYTES - PROMPT_PART_SUFFIX.len();
        bytes[suffix..].copy_from_slice(&PROMPT_PART_SUFFIX);
        Fingerprint(bytes)
    }

    fn hash(&self) -> Hmac<Sha256> {
        <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("any key length fits")
    }
}

/// Adds a field after its length, so that bytes moved from one field to the next change the hash.
fn add_field(hash: &mut Hmac<Sha256>, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    hash.update(&(length as u64).to_le_bytes());
    for part in parts {
        hash.update(part);
    }
}

fn fingerprint(hash: Hmac<Sha256>) -> Fingerprint {
    let digest = hash.finalize().into_bytes();
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    Fingerprint(bytes)
}

impl Fingerprint {
    /// What the fingerprint identifies.
    pub fn scope(self) -> FingerprintScope {
        if self.0.ends_with(&PROMPT_PART_SUFFIX) {
            FingerprintScope::PromptPart
        } else {
            FingerprintScope::Request
        }
    }

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
impl fmt::Display for Fingerprint {
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

/// The fingerprints under which crashes of back ends count against a request: its own, and those of the parts of its
/// prompt except the last, which belongs to this request or its session alone. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFingerprints {
    request: Option<Fingerprint>,
    /// In the order of the prompt, each once.
    parts: Rc<[Fingerprint]>,
}

impl RequestFingerprints {
    /// Computes the fingerprints of a request.
    pub fn new(
        key: &FingerprintKey,
        input: &FingerprintInput<'_>,
        prompt: Option<&Prompt>,
    ) -> Self {
        let shared = prompt.map_or(&[][..], Prompt::shared_parts);
        let mut parts = Vec::new();
        for part in shared.iter().take(MAX_PROMPT_PARTS) {
            let fingerprint = key.identify_part(&part.id);
            if !parts.contains(&fingerprint) {
                parts.push(fingerprint);
            }
        }
        Self {
            request: Some(key.identify(input)),
            parts: parts.into(),
        }
    }

    /// The fingerprints of a request without a prompt.
    pub fn of_request(request: Fingerprint) -> Self {
        Self {
            request: Some(request),
            parts: Rc::default(),
        }
    }

    /// The fingerprint of the whole request; `None` before the key for fingerprints is known.
    pub fn request(&self) -> Option<Fingerprint> {
        self.request
    }

    /// The fingerprints of the parts of its prompt.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.request.into_iter().chain(self.parts.iter().copied())
    }

    /// The parts as logs show them, separated by commas; `None` if there are none.
    pub fn displayed_parts(&self) -> Option<String> {
        let shown: Vec<String> = self.parts.iter().map(Fingerprint::to_string).collect();
        (!shown.is_empty()).then(|| shown.join(","))
    }
}

#[cfg(test)]
#[path = "fingerprint_tests.rs"]
mod tests;
