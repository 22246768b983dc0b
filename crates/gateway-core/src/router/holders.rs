//! An estimate of which back ends have the shared parts of long prompts in their caches.
//!
//! A router learns this from the responses that it relays: a back end whose response has begun has prefilled the
//! prompt. It reports this to the other routers through the leader, which is faster than any event from a back end.
//! An entry is valid for one salt, and so for one version of the weights and, if the tenant is isolated, for one
//! tenant. A back end that restarts gets another name, so old entries do not apply to it. A wrong entry costs a
//! useless lookup and never breaks a rule such as the isolation of tenants.

use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use drumshore_routing::index::Holder;
use drumshore_routing::{PrefixChain, PrefixIndex, PrefixIndexParams, SequenceHash};

use super::Prompt;
use crate::{HolderEntry, LoadEntry, StoredKey};

/// Maximum number of prefixes, of some ten bytes each plus eight for each holder.
const MAX_PREFIXES: usize = 8_192;
/// Maximum number of back ends that are kept for one prefix.
const HOLDERS_PER_PREFIX: usize = 4;
/// A back end that has not been seen to use a prefix for this long may have evicted it.
const ENTRY_LIFETIME: Duration = Duration::from_secs(8);
/// An entry that was reported is reported again if it is used after this time, before the other routers drop it.
const REPORT_AGAIN_AFTER: Duration = Duration::from_secs(4);
/// Maximum number of entries that wait to be reported; further ones are not reported.
const MAX_PENDING_REPORTS: usize = 256;

/// A back end that is estimated to hold the leading parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HolderEstimate {
    /// Key of the back end; see [`LoadEntry::key_of`].
    pub key: u32,
    /// Number of leading shared parts.
    pub parts: usize,
    /// Time at which it was last seen to use them.
    pub used_at: Timestamp,
}

/// The entries of one router, and those that it has not reported yet.
pub(super) struct Holders {
    index: PrefixIndex,
    pending_reports: Vec<HolderEntry>,
}

impl Default for Holders {
    fn default() -> Self {
        let params = PrefixIndexParams {
            capacity: MAX_PREFIXES,
            holders_per_prefix: HOLDERS_PER_PREFIX,
        };
        Self {
            index: PrefixIndex::new(params),
            pending_reports: Vec::new(),
        }
    }
}

/// Hashes of the prefixes of a prompt that are tracked, shortest first: its shared parts under a salt. Short prompts
/// have none.
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
    /// Records that a back end has prefilled a whole prompt.
    pub fn on_prefilled(&mut self, now: Timestamp, prefixes: &[u32], instance: &str) {
        let key = LoadEntry::key_of(instance);
        for prefix in prefixes {
            let entry = HolderEntry {
                prefix: *prefix,
                key,
            };
            if self.should_report(now, entry) && self.pending_reports.len() < MAX_PENDING_REPORTS {
                self.pending_reports.push(entry);
            }
            self.record(now, entry);
        }
    }

    /// Records entries that other routers reported.
    pub fn on_remote_reports(&mut self, now: Timestamp, entries: &[HolderEntry]) {
        for entry in entries {
            self.record(now, *entry);
        }
    }

    /// Takes the entries that are not reported yet.
    pub fn take_reports(&mut self) -> Vec<HolderEntry> {
        std::mem::take(&mut self.pending_reports)
    }

    /// The back ends that hold any of the prefixes, each with the number of parts in the longest one.
    pub fn held(&self, now: Timestamp, prefixes: &[u32]) -> Vec<HolderEstimate> {
        let overlaps = self.index.overlaps(&chain(prefixes)).into_iter();
        let fresh = overlaps.filter(|overlap| now.since(overlap.used_at) < ENTRY_LIFETIME);
        fresh
            .map(|overlap| HolderEstimate {
                key: overlap.engine.0 as u32,
                parts: overlap.blocks,
                used_at: overlap.used_at,
            })
            .collect()
    }

    /// Whether other routers need this entry. A widely shared prefix is soon held by most back ends; reports beyond the
    /// number of holders kept per prefix would only displace reports on other prefixes.
    fn should_report(&self, now: Timestamp, entry: HolderEntry) -> bool {
        let held = self.held(now, &[entry.prefix]);
        let recent = held
            .iter()
            .filter(|held| now.since(held.used_at) < REPORT_AGAIN_AFTER);
        let is_reported = held
            .iter()
            .any(|held| held.key == entry.key && now.since(held.used_at) < REPORT_AGAIN_AFTER);
        !is_reported && recent.count() < HOLDERS_PER_PREFIX
    }

    fn record(&mut self, now: Timestamp, entry: HolderEntry) {
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
