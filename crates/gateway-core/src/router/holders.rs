//! Which back ends are believed to hold the shared parts of long prompts.
//!
//! A router learns it from the answers that it passes on: a back end whose answer has begun has
//! read the prompt. It tells the others through the leader, sooner than any event of a back end
//! could. A belief stands for a salt, and so for one version of the weights and, where tenants are
//! isolated, for one tenant; a back end that has started again has another name. A wrong belief
//! costs a look in vain, never a rule.

use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use drumshore_routing::index::Holder;
use drumshore_routing::{PrefixChain, PrefixIndex, PrefixIndexParams, SequenceHash};

use super::Prompt;
use crate::{HolderEntry, LoadEntry, StoredKey};

/// Prefixes remembered, some ten bytes each and eight for each holder.
const REMEMBERED_PREFIXES: usize = 8_192;
/// Back ends remembered for one prefix.
const HOLDERS_PER_PREFIX: usize = 4;
/// What a back end has not been seen to use for so long may have given way to other prompts.
const LIFETIME: Duration = Duration::from_secs(8);
/// What was told is told again when it is used after so long, before others forget it.
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(4);
/// News that wait to be told; beyond it the oldest are dropped.
const MOST_NEWS: usize = 256;

/// A back end that is believed to hold the first parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    /// Stands for the back end; see [`LoadEntry::key_of`].
    pub key: u32,
    /// How many of the shared parts.
    pub parts: usize,
    /// When it was last seen to use them.
    pub used_at: Timestamp,
}

/// What one router believes.
pub(super) struct Holders {
    index: PrefixIndex,
    news: Vec<HolderEntry>,
}

impl Default for Holders {
    fn default() -> Self {
        let params = PrefixIndexParams {
            capacity: REMEMBERED_PREFIXES,
            holders_per_prefix: HOLDERS_PER_PREFIX,
        };
        Self {
            index: PrefixIndex::new(params),
            news: Vec::new(),
        }
    }
}

/// The prefixes of a prompt that are worth a belief, shortest first: its shared parts under a salt.
pub(super) fn prefixes(prompt: &Prompt, salt: &str) -> Vec<u32> {
    if prompt.is_short() {
        return Vec::new();
    }
    let mut parent = salt.to_owned();
    let shared = prompt.shared_parts().iter();
    shared
        .map(|part| {
            parent.push('/');
            parent.push_str(&part.id);
            StoredKey::new(&parent, &part.id).0
        })
        .collect()
}

impl Holders {
    /// A back end has read all of a prompt.
    pub fn on_read(&mut self, now: Timestamp, prefixes: &[u32], instance: &str) {
        let key = LoadEntry::key_of(instance);
        for prefix in prefixes {
            let entry = HolderEntry {
                prefix: *prefix,
                key,
            };
            if self.is_news(now, entry) && self.news.len() < MOST_NEWS {
                self.news.push(entry);
            }
            self.believe(now, entry);
        }
    }

    /// Other routers have seen back ends read prompts.
    pub fn on_news(&mut self, now: Timestamp, entries: &[HolderEntry]) {
        for entry in entries {
            self.believe(now, *entry);
        }
    }

    /// What the other routers do not know yet.
    pub fn take_news(&mut self) -> Vec<HolderEntry> {
        std::mem::take(&mut self.news)
    }

    /// The back ends that hold some of the prefixes, each with the longest.
    pub fn held(&self, now: Timestamp, prefixes: &[u32]) -> Vec<Held> {
        let overlaps = self.index.overlaps(&chain(prefixes)).into_iter();
        let fresh = overlaps.filter(|overlap| now.since(overlap.used_at) < LIFETIME);
        fresh
            .map(|overlap| Held {
                key: overlap.engine.0 as u32,
                parts: overlap.blocks,
                used_at: overlap.used_at,
            })
            .collect()
    }

    /// A prefix that many share is soon held everywhere. As many holders as are remembered are
    /// enough, and the traffic is left to the others.
    fn is_news(&self, now: Timestamp, entry: HolderEntry) -> bool {
        let held = self.held(now, &[entry.prefix]);
        let lately = held
            .iter()
            .filter(|held| now.since(held.used_at) < TOLD_AGAIN_AFTER);
        let is_told = held
            .iter()
            .any(|held| held.key == entry.key && now.since(held.used_at) < TOLD_AGAIN_AFTER);
        !is_told && lately.count() < HOLDERS_PER_PREFIX
    }

    fn believe(&mut self, now: Timestamp, entry: HolderEntry) {
        let holder = Holder {
            engine: EngineId(u64::from(entry.key)),
            incarnation: Incarnation(0),
            used_at: now,
        };
        self.index.record_stored(hash(entry.prefix), holder);
    }
}

fn hash(prefix: u32) -> SequenceHash {
    SequenceHash(u64::from(prefix))
}

fn chain(prefixes: &[u32]) -> PrefixChain {
    let hashes = prefixes.iter().map(|prefix| hash(*prefix)).collect();
    PrefixChain::from_hashes(hashes, 1, 0)
}

#[cfg(test)]
#[path = "holders_tests.rs"]
mod tests;
