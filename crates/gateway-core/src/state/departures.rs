//! The software versions that left their pools.
//!
//! A stream continues at the version that began it, or not at all. A process that has just started sees only the versions
//! that back ends run now, so those that left within the life of a stream are a part of the replicated state. The leader
//! decides when they are forgotten.

use std::collections::BTreeMap;

use binrw::binrw;
use drumshore_wire::{List, Text};

use super::{InstanceRecord, ReplicatedState};
use crate::SoftwareVersion;

/// Versions kept for each pool, the last ones that left. Whether another version than a given one left is known from
/// any two.
const MAX_PER_POOL: usize = 2;

/// A software version that no back end of a pool runs any more.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedVersion {
    /// The pool.
    pub pool: Text,
    /// The version.
    pub software: SoftwareVersion,
    /// The revision at which its last back end left.
    pub revision: u64,
}

/// The versions that left, as a snapshot stores them.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Departures {
    /// What left up to this revision may be missing: the state comes from a build that did not record it. 0 if nothing
    /// is missing.
    missing_to: u64,
    versions: List<DepartedVersion>,
}

impl Departures {
    /// The departures of a state of a build that did not record them.
    pub fn missing_to(revision: u64) -> Self {
        Self {
            missing_to: revision,
            versions: List::default(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.missing_to == 0 && self.versions.items.is_empty()
    }

    fn note(&mut self, departed: DepartedVersion) {
        let versions = &mut self.versions.items;
        let is_same = |item: &DepartedVersion| {
            item.pool == departed.pool && item.software == departed.software
        };
        versions.retain(|item| !is_same(item));
        let in_pool = versions.iter().filter(|item| item.pool == departed.pool);
        if in_pool.count() >= MAX_PER_POOL {
            // They are in the order in which they left.
            let oldest = versions.iter().position(|item| item.pool == departed.pool);
            oldest.map(|oldest| versions.remove(oldest));
        }
        versions.push(departed);
    }

    /// Whether there is anything to forget up to a revision.
    fn has_any_to(&self, revision: u64) -> bool {
        let mut versions = self.versions.items.iter();
        versions.any(|departed| departed.revision <= revision)
    }

    fn forget(&mut self, revision: u64) -> bool {
        let has_any = self.has_any_to(revision);
        self.complete(revision);
        self.versions.items.retain(|item| item.revision > revision);
        has_any
    }

    fn complete(&mut self, revision: u64) {
        if self.missing_to <= revision {
            self.missing_to = 0;
        }
    }
}

/// How many back ends of each pool run each version.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningVersions(BTreeMap<(String, String), usize>);

impl RunningVersions {
    fn key(record: &InstanceRecord) -> (String, String) {
        let (pool, software) = (record.pool.as_str(), record.software.as_str());
        (pool.to_owned(), software.to_owned())
    }

    pub fn add(&mut self, record: &InstanceRecord) {
        *self.0.entry(Self::key(record)).or_default() += 1;
    }

    pub fn remove(&mut self, record: &InstanceRecord) {
        let key = Self::key(record);
        if let Some(count) = self.0.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&key);
            }
        }
    }

    fn runs(&self, record: &InstanceRecord) -> bool {
        self.0.contains_key(&Self::key(record))
    }
}

impl ReplicatedState {
    /// The versions that left and are not forgotten; `None` if some may be missing.
    pub fn departed_versions(&self) -> Option<List<DepartedVersion>> {
        let departures = &self.departures;
        (departures.missing_to == 0).then(|| departures.versions.clone())
    }

    /// Whether versions left up to this revision that are not forgotten.
    pub fn has_departures_to(&self, revision: u64) -> bool {
        self.departures.has_any_to(revision)
    }

    /// Streams of versions that left up to this revision have ended, so that it does not matter which ones are missing. Each
    /// replica finds that out by itself: what is missing depends on the snapshot that it started from.
    pub fn complete_departures(&mut self, revision: u64) {
        self.departures.complete(revision);
    }

    pub(super) fn forget_departures(&mut self, revision: u64) -> bool {
        self.departures.forget(revision)
    }

    /// Records the version of a back end that has left its pool or runs another version now, if it was the last one.
    pub(super) fn note_departure(&mut self, revision: u64, left: &InstanceRecord) {
        if !self.running.runs(left) {
            self.departures.note(DepartedVersion {
                pool: left.pool.clone(),
                software: left.software.clone(),
                revision,
            });
        }
    }
}

#[cfg(test)]
#[path = "departures_tests.rs"]
mod tests;
