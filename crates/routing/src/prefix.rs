//! What a prompt is made of: a chain of block hashes whose root is the request's isolation.

use drumshore_core::{AdapterName, ModelName, TenantName, WeightsVersion};
use drumshore_guard::{enforced, Guard};
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

use crate::{LookupPrefix, SequenceHash};

/// Bytes of text that stand for one token where the engine's tokenizer is not at hand.
pub const TEXT_BYTES_PER_TOKEN: usize = 4;

const FIELD_SEPARATOR: [u8; 1] = [0];

/// What no prefix may cross: tenant, model, weights version and adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixRoot(u64);

impl PrefixRoot {
    /// The root that a cache salt stands for.
    pub fn from_u64(salt: u64) -> Self {
        Self(salt)
    }

    /// The root as a number, for the engines' cache salt.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// The root of all prefixes of one tenant under one model, version and adapter.
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

/// A prompt as the caller gave it.
#[derive(Clone, Copy, Debug)]
pub enum Prompt<'a> {
    /// Text, counted as [`TEXT_BYTES_PER_TOKEN`] bytes a token.
    Text(&'a str),
    /// Token numbers.
    Tokens(&'a [u32]),
}

impl Prompt<'_> {
    /// Its length in tokens, rounded up.
    pub fn token_count(&self) -> u32 {
        let count = match self {
            Prompt::Text(text) => text.len().div_ceil(TEXT_BYTES_PER_TOKEN),
            Prompt::Tokens(tokens) => tokens.len(),
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Prefixes that a question to the index names, at most.
pub const MAX_LOOKUP_PREFIXES: usize = 16;

/// The prefixes of one prompt that engines can hold, shortest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    hashes: Vec<SequenceHash>,
    block_tokens: u32,
    prompt_tokens: u32,
}

impl PrefixChain {
    /// Hashes the prompt's whole blocks; a partial last block is never cached.
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

    /// A chain from hashes computed elsewhere, as in simulated workloads and traces.
    pub fn from_hashes(hashes: Vec<SequenceHash>, block_tokens: u32, prompt_tokens: u32) -> Self {
        Self {
            hashes,
            block_tokens,
            prompt_tokens,
        }
    }

    /// The prefixes, shortest first.
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

    /// The prefixes that a question to the index names: all of a short chain; of a longer one those
    /// in even steps, which are powers of two so that chains of other lengths name the same ones.
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
