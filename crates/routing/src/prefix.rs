//! The prefixes of a prompt, as a chain of block hashes. The root of the chain isolates tenants,
//! models, weights versions and adapters from each other.

use drumshore_core::{AdapterName, ModelName, TenantName, WeightsVersion};
use drumshore_guard::{enforced, Guard};
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

use crate::{LookupPrefix, SequenceHash};

/// Estimated bytes of text in one token, used where the engine's tokenizer is not available.
pub const TEXT_BYTES_PER_TOKEN: usize = 4;

const FIELD_SEPARATOR: [u8; 1] = [0];

/// The scope in which cached prefixes may be shared: one tenant, model, weights version and
/// adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixRoot(u64);

impl PrefixRoot {
    /// Restores a root from an engine's cache salt.
    pub fn from_u64(salt: u64) -> Self {
        Self(salt)
    }

    /// The root as a number, which engines use as their cache salt.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Computes the root of all prefixes of one tenant, model, weights version and adapter.
    pub fn new(
        tenant: &TenantName,
        model: &ModelName,
        weights_version: WeightsVersion,
        adapter: Option<&AdapterName>,
    ) -> Self {
        if !enforced(Guard::IsolatedPrefix) {
            return Self(0);
        }
        let mut hasher = Xxh3::new();
        hasher.update(tenant.as_str().as_bytes());
        hasher.update(&FIELD_SEPARATOR);
        hasher.update(model.as_str().as_bytes());
        hasher.update(&FIELD_SEPARATOR);
        hasher.update(&weights_version.0.to_le_bytes());
        hasher.update(adapter.map_or("", AdapterName::as_str).as_bytes());
        Self(hasher.digest())
    }
}

/// A prompt in the form that the caller sent.
#[derive(Clone, Copy, Debug)]
pub enum Prompt<'a> {
    /// Text, estimated at [`TEXT_BYTES_PER_TOKEN`] bytes a token.
    Text(&'a str),
    /// Token identifiers.
    Tokens(&'a [u32]),
}

impl Prompt<'_> {
    /// Length in tokens, rounded up.
    pub fn token_count(&self) -> u32 {
        let count = match self {
            Prompt::Text(text) => text.len().div_ceil(TEXT_BYTES_PER_TOKEN),
            Prompt::Tokens(tokens) => tokens.len(),
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Maximum number of prefixes in a lookup.
pub const MAX_LOOKUP_PREFIXES: usize = 16;

/// The prefixes of one prompt that engines can cache, shortest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    hashes: Vec<SequenceHash>,
    block_tokens: u32,
    prompt_tokens: u32,
}

impl PrefixChain {
    /// Hashes the complete blocks of a prompt. A partial last block is left out, because engines
    /// never cache it.
    pub fn new(root: PrefixRoot, prompt: Prompt<'_>, block_tokens: u32) -> Self {
        let block = block_tokens.max(1) as usize;
        let hashes = match prompt {
            Prompt::Text(text) => chain(
                root,
                text.as_bytes().chunks_exact(block * TEXT_BYTES_PER_TOKEN),
            ),
            Prompt::Tokens(tokens) => {
                let bytes: Vec<u8> = tokens
                    .iter()
                    .flat_map(|token| token.to_le_bytes())
                    .collect();
                chain(root, bytes.chunks_exact(block * size_of::<u32>()))
            }
        };
        Self {
            hashes,
            block_tokens,
            prompt_tokens: prompt.token_count(),
        }
    }

    /// Creates a chain from precomputed hashes, as in simulated workloads and traces.
    pub fn from_hashes(hashes: Vec<SequenceHash>, block_tokens: u32, prompt_tokens: u32) -> Self {
        Self {
            hashes,
            block_tokens,
            prompt_tokens,
        }
    }

    /// The hashes of the prefixes, shortest first.
    pub fn hashes(&self) -> &[SequenceHash] {
        &self.hashes
    }

    /// Tokens in one block.
    pub fn block_tokens(&self) -> u32 {
        self.block_tokens
    }

    /// Tokens in the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// The prefixes for a lookup: all of a short chain, and those at regular steps of a longer one.
    /// A step is a power of two, so that chains of different lengths select the same prefixes.
    pub fn lookup_prefixes(&self) -> Vec<LookupPrefix> {
        let count = self.hashes.len();
        let step = count.div_ceil(MAX_LOOKUP_PREFIXES).next_power_of_two();
        (1..=count)
            .filter(|blocks| blocks % step == 0)
            .map(|blocks| LookupPrefix {
                hash: self.hashes[blocks - 1],
                blocks: blocks as u32,
            })
            .collect()
    }

    /// Tokens in the first `blocks` blocks.
    pub fn tokens_in(&self, blocks: usize) -> u32 {
        self.block_tokens * blocks as u32
    }
}

fn chain<'a>(root: PrefixRoot, blocks: impl Iterator<Item = &'a [u8]>) -> Vec<SequenceHash> {
    let mut parent = root.0;
    blocks
        .map(|block| {
            parent = xxh3_64_with_seed(block, parent);
            SequenceHash(parent)
        })
        .collect()
}
