//! Bearer keys. Only their hashes are kept or compared.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A key as its holder presents it. Never printed.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(String);

impl SecretKey {
    /// Wraps a presented key.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// The bytes to authenticate with.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// The hash that is kept in place of the key.
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

/// SHA-256 of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Reads a digest that travelled as text.
    pub fn from_hex(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// True when the text has the form of a SHA-256 digest.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|byte| byte.is_ascii_hexdigit())
    }
}
