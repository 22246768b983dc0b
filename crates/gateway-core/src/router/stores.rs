//! Stores of cached prompts as one router knows them.
//!
//! Each prompt is assigned one store by rendezvous hashing of its shared parts, so that all routers save and fetch it
//! at the same place and the load is spread over the stores. A store in the zone of the prompt's home is preferred,
//! because copies between zones take twice as long; otherwise any store that responds is used.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Prompt, PromptPart};
use crate::{CacheStore, StoreId, StoredKey};

/// How long a store counts as slow after a slow fetch.
const SLOW_PERIOD: Duration = Duration::from_millis(1_500);

/// How a store can be used for one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StoreUse {
    /// Number of leading shared parts that the store holds.
    pub parts: usize,
    /// The link of the store is saturated.
    pub is_slow: bool,
    /// The prompt is to be saved, because the store lacks one of its shared parts.
    pub save: bool,
}

#[derive(Debug, Default)]
struct Store {
    held: HashSet<StoredKey>,
    /// Until when the store counts as slow. Slow fetches mean that its link is saturated.
    slow_until: Timestamp,
}

/// The stores that respond, with what each of them holds.
#[derive(Debug, Default)]
pub(super) struct Stores(HashMap<StoreId, Store>);

impl Stores {
    /// Applies the leader's update about a store; `is_responding` is false when the store does not respond. With
    /// `reset`, `added` replaces what the store held before. An update without `reset` is ignored for a store that is
    /// not known yet.
    pub fn on_store_contents(
        &mut self,
        id: StoreId,
        is_responding: bool,
        reset: bool,
        added: &[StoredKey],
        removed: &[StoredKey],
    ) {
        if !is_responding {
            self.0.remove(&id);
            return;
        }
        if !reset && !self.0.contains_key(&id) {
            return;
        }
        let store = self.0.entry(id).or_default();
        if reset {
            store.held.clear();
        }
        store.held.extend(added);
        for key in removed {
            store.held.remove(key);
        }
    }

    /// Marks a store as slow after a fetch that took too long.
    pub fn on_slow_fetch(&mut self, now: Timestamp, id: StoreId) {
        if let Some(store) = self.0.get_mut(&id) {
            store.slow_until = now.plus(SLOW_PERIOD);
        }
    }

    /// The store assigned to the prompt with the hash `key` whose home is in `zone`; `None` when none of `stores`
    /// responds.
    pub fn store_of<'a>(
        &self,
        key: u64,
        zone: Option<&str>,
        stores: impl Iterator<Item = &'a CacheStore>,
    ) -> Option<(StoreId, &'a str)> {
        let responding = stores.map(|store| (StoreId::at(&store.address), store));
        let responding = responding.filter(|(id, _)| self.0.contains_key(id));
        let best = responding.max_by_key(|(_, store)| {
            let is_near = Some(store.zone.as_str()) == zone;
            let weight = xxh3_64_with_seed(store.address.as_bytes(), key);
            (is_near, weight)
        });
        best.map(|(id, store)| (id, store.address.as_str()))
    }

    /// How a store can be used for a prompt. A save copies the whole prompt, including the part that no other request
    /// shares, and the store evicts shared parts to make room for it. A prompt is therefore saved only when a shared
    /// part is missing.
    pub fn use_for(&self, now: Timestamp, id: StoreId, prompt: &Prompt, salt: &str) -> StoreUse {
        let Some(store) = self.0.get(&id) else {
            return StoreUse::default();
        };
        let shared = prompt.shared_parts();
        let is_held = |part: &PromptPart| store.held.contains(&StoredKey::new(salt, &part.id));
        let parts = shared.iter().take_while(|part| is_held(part)).count();
        let has_all = shared.iter().all(is_held);
        StoreUse {
            parts,
            is_slow: store.slow_until > now,
            save: !prompt.is_short() && !has_all,
        }
    }
}
