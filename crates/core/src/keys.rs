//! Bearer keys. Only their hashes are stored or compared.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A secret key in clear text. Its `Debug` output hides the key.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(String);

impl SecretKey {
    /// Creates a key from clear text.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// The bytes of the key, for use in an HMAC.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// The hash that is stored instead of the key.
    pub fn hash(&self) -> KeyHash {
        let digest = Sha256::digest(self.0.as_bytes());
        KeyHash(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(..)")
    }
}

/// The SHA-256 digest of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Creates a hash from hexadecimal text, without validating it.
    pub fn from_hex(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// True when the text is 64 hexadecimal digits, the form of a SHA-256 digest.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|byte| byte.is_ascii_hexdigit())
    }
}
