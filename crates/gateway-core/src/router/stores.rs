//! Stores of cached prompts as one router knows them. Each prompt has one store, so that all
//! routers save and fetch it at the same place and the stores share the work: one in the zone of
//! the prompt's home, for copies between zones take twice as long, else any that answers, by
//! rendezvous hashing of the prompt's shared parts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Prompt, PromptPart};
use crate::{CacheStore, StoreId, StoredKey};

/// So long a store counts as slow after a slow fetch.
const PAUSE: Duration = Duration::from_millis(1_500);

/// What a store is good for, for one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StoreUse {
    /// How many of the leading shared parts it holds.
    pub parts: usize,
    /// Its link is full.
    pub is_slow: bool,
    /// A shared part is missing that is worth saving.
    pub save: bool,
}

#[derive(Debug, Default)]
struct Store {
    held: HashSet<StoredKey>,
    /// Fetches took too long lately: its link is full.
    slow_until: Timestamp,
}

/// The stores that answer.
#[derive(Debug, Default)]
pub(super) struct Stores(HashMap<StoreId, Store>);

impl Stores {
    /// Takes in what the leader told of a store. `known` is false when it does not answer.
    pub fn on_stored(
        &mut self,
        id: StoreId,
        known: bool,
        reset: bool,
        added: &[StoredKey],
        removed: &[StoredKey],
    ) {
        if !known {
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

    /// A fetch from the store took too long.
    pub fn on_slow_fetch(&mut self, now: Timestamp, id: StoreId) {
        if let Some(store) = self.0.get_mut(&id) {
            store.slow_until = now.plus(PAUSE);
        }
    }

    /// The store of a prompt whose home is in `zone`, one of `stores`.
    pub fn store_of<'a>(
        &self,
        key: u64,
        zone: Option<&str>,
        stores: impl Iterator<Item = &'a CacheStore>,
    ) -> Option<(StoreId, &'a str)> {
        let known = stores.map(|store| (StoreId::at(&store.address), store));
        let known = known.filter(|(id, _)| self.0.contains_key(id));
        let best = known.max_by_key(|(_, store)| {
            let is_near = Some(store.zone.as_str()) == zone;
            let weight = xxh3_64_with_seed(store.address.as_bytes(), key);
            (is_near, weight)
        });
        best.map(|(id, store)| (id, store.address.as_str()))
    }

    /// What a store is good for. A save copies the whole prompt, also the part that nobody else
    /// has, and the store drops what others share to make room for it; so a prompt is saved only
    /// when a shared part is missing.
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
