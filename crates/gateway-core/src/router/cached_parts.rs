//! How many tokens of a prompt a back end has to prefill, given the known contents of caches.

use drumshore_core::Timestamp;

use super::cache::salt;
use super::holders::{self, HolderEstimate};
use super::placement_cost::Work;
use super::{Admission, Prompt, RouterCore};

/// Fraction of the shared tokens of a short prompt that a back end is expected to prefill. Which back ends cache
/// them is not tracked.
const UNTRACKED_MISS_FRACTION: f64 = 0.25;

/// Where the shared parts of a prompt are cached for one version of the weights.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    /// Cumulative token counts: element `n` is the number of tokens in the first `n` shared parts.
    leading_tokens: Vec<u32>,
    own_tokens: u32,
    is_tracked: bool,
    held: Vec<HolderEstimate>,
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

    /// Number of leading shared parts that a back end is estimated to cache.
    pub fn parts_at(&self, back_end: u32) -> usize {
        let held = self.held.iter().find(|held| held.key == back_end);
        held.map_or(0, |held| held.parts)
    }

    /// Number of leading shared parts that any back end or store can provide.
    pub fn parts_anywhere(&self) -> usize {
        let held = self.held.iter().map(|held| held.parts).max();
        held.unwrap_or(0).max(self.in_store)
    }

    /// Number of tokens that a back end has to prefill after it has fetched everything that is cached elsewhere.
    pub fn tokens_to_prefill(&self) -> u32 {
        self.own_tokens + self.uncached_tokens_after(self.parts_anywhere())
    }

    /// Number of tokens that a back end has to fetch from another cache before it prefills the rest.
    pub fn tokens_to_fetch(&self, back_end: u32) -> u32 {
        let here = self.parts_at(back_end);
        let fetched =
            self.tokens_of_leading(self.parts_anywhere().max(here)) - self.tokens_of_leading(here);
        if self.is_tracked {
            fetched
        } else {
            0
        }
    }

    /// Number of shared tokens that neither a back end nor a store is known to hold.
    pub fn missing_tokens(&self) -> u32 {
        let shared = self.leading_tokens.last().copied().unwrap_or(0);
        shared - self.tokens_of_leading(self.parts_anywhere())
    }

    /// What a back end has to do for the prompt.
    pub fn work(&self, back_end: u32) -> Work {
        Work {
            cached: self.tokens_of_leading(self.parts_anywhere()),
            to_prefill: self.tokens_to_prefill(),
            to_fetch: self.tokens_to_fetch(back_end),
            missing: self.missing_tokens(),
        }
    }

    /// Whether a back end is estimated to hold any of the shared parts.
    pub fn is_holder(&self, back_end: u32) -> bool {
        self.held.iter().any(|held| held.key == back_end)
    }

    fn uncached_tokens_after(&self, parts: usize) -> u32 {
        let shared = self.leading_tokens.last().copied().unwrap_or(0);
        let missing = shared - self.tokens_of_leading(parts);
        if self.is_tracked {
            missing
        } else {
            (f64::from(missing) * UNTRACKED_MISS_FRACTION) as u32
        }
    }

    fn tokens_of_leading(&self, parts: usize) -> u32 {
        let last = self.leading_tokens.len() - 1;
        self.leading_tokens[parts.min(last)]
    }
}

impl RouterCore {
    /// The estimate of where the shared parts of a prompt are cached for one version of the weights.
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
