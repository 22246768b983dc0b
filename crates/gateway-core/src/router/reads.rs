//! What a back end has to read of a prompt, by what is known of caches.

use drumshore_core::Timestamp;

use super::cache::salt;
use super::holders::{self, Held};
use super::{Admission, Prompt, RouterCore};

/// Part of the shared tokens of a short prompt that is expected to be read all the same: nobody
/// keeps track of who holds them.
const UNTRACKED_PART: f64 = 0.25;

/// Which of a prompt's shared parts are cached under one version of the weights, and where.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    /// Tokens of the leading shared parts, by how many of them.
    leading_tokens: Vec<u32>,
    own_tokens: u32,
    is_tracked: bool,
    held: Vec<Held>,
    in_store: usize,
}

impl CachedParts {
    fn of(prompt: &Prompt) -> Self {
        let mut leading_tokens = vec![0];
        let mut sum = 0;
        for part in prompt.shared_parts() {
            sum += part.tokens;
            leading_tokens.push(sum);
        }
        Self {
            leading_tokens,
            own_tokens: prompt.tokens() - sum,
            is_tracked: !prompt.is_short(),
            ..Self::default()
        }
    }

    /// Shared parts that a back end is believed to hold.
    pub fn at(&self, back_end: u32) -> usize {
        let held = self.held.iter().find(|held| held.key == back_end);
        held.map_or(0, |held| held.parts)
    }

    /// Shared parts that some back end or store can give.
    pub fn anywhere(&self) -> usize {
        let held = self.held.iter().map(|held| held.parts).max();
        held.unwrap_or(0).max(self.in_store)
    }

    /// Tokens that a back end has to read when it fetches what others hold.
    pub fn tokens_to_read(&self) -> u32 {
        self.own_tokens + self.missing_beyond(self.anywhere())
    }

    /// Tokens that a back end fetches before it reads the rest.
    pub fn tokens_to_fetch(&self, back_end: u32) -> u32 {
        let here = self.at(back_end);
        let fetched = self.leading(self.anywhere().max(here)) - self.leading(here);
        if self.is_tracked {
            fetched
        } else {
            0
        }
    }

    fn missing_beyond(&self, parts: usize) -> u32 {
        let shared = self.leading_tokens.last().copied().unwrap_or(0);
        let missing = shared - self.leading(parts);
        if self.is_tracked {
            missing
        } else {
            (f64::from(missing) * UNTRACKED_PART) as u32
        }
    }

    fn leading(&self, parts: usize) -> u32 {
        let last = self.leading_tokens.len() - 1;
        self.leading_tokens[parts.min(last)]
    }
}

impl RouterCore {
    /// What is known of the shared parts of a prompt under one version of the weights.
    pub(super) fn cached_parts(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        version: Option<u64>,
    ) -> CachedParts {
        let salt = salt(admission, prompt, version);
        let prefixes = holders::prefixes(prompt, &salt);
        let store = self.store_use(now, admission, prompt, &salt);
        CachedParts {
            held: self.holders.held(now, &prefixes),
            in_store: store.map_or(0, |(_, _, store_use)| store_use.parts),
            ..CachedParts::of(prompt)
        }
    }
}
