//! The changes of the replicated state that a router lacks, at once or in chunks of bounded size.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use drumshore_wire::{List, Text};

use super::{InstanceRecord, Removed, ReplicatedState, TargetWeights};
use crate::{Changes, ConfigurationPatch, Quarantine, WeightsNotice};

/// The size of a record in a message beside its texts: lengths, slots, lifecycle, revisions, and the weights of one
/// model.
const RECORD_BYTES: usize = 64;

/// How much of the replicated state a router has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The revision that the router has; 0 if it has nothing.
    pub held: u64,
    /// The revision of the sender's state when it sent the first chunk; 0 if the router received none. An older state
    /// cannot provide the next chunk.
    pub source_revision: u64,
}

/// The back ends by the revision that last changed them.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeIndex(BTreeMap<u64, String>);

impl ChangeIndex {
    pub fn of(
        instances: &BTreeMap<String, InstanceRecord>,
        removals: &BTreeMap<String, Removed>,
    ) -> Self {
        let present = instances
            .iter()
            .map(|(name, record)| (record.revision, name));
        let gone = removals
            .iter()
            .map(|(name, removed)| (removed.revision, name));
        let entries = present.chain(gone);
        Self(entries.map(|(at, name)| (at, name.clone())).collect())
    }

    /// Records that a back end changed at a position; `earlier` is the revision that changed it before.
    pub fn note(&mut self, position: u64, name: &str, earlier: Option<u64>) {
        if let Some(earlier) = earlier {
            self.0.remove(&earlier);
        }
        self.0.insert(position, name.to_owned());
    }

    /// Drops the entry of a removal that is no longer remembered.
    pub fn forget(&mut self, position: u64) {
        self.0.remove(&position);
    }

    fn after(&self, since: u64) -> impl Iterator<Item = (u64, &str)> {
        let later = self.0.range(since.saturating_add(1)..);
        later.map(|(at, name)| (*at, name.as_str()))
    }
}

impl ReplicatedState {
    /// All changes after revision `since`, or the whole state if `since` is later than this state or removals after it
    /// may have been forgotten. `age_ms` returns how long ago a target version was set.
    pub fn changes_since(&self, since: u64, age_ms: impl Fn(&TargetWeights) -> u32) -> Changes {
        let is_known = (self.removals_forgotten_to..=self.revision).contains(&since);
        let since = if is_known { since } else { 0 };
        self.changes_between(since, self.revision, age_ms)
    }

    /// The next chunk of the changes that a router lacks, of about `most_bytes`. The router fetches the next one after
    /// it has applied this one, so the data queued for it is bounded, however large the state is. Changes are in
    /// the order of their revisions, so each chunk leads to a revision of its own.
    ///
    /// `None` if the router has this state already, or was sent chunks of a later one.
    pub fn next_chunk(
        &self,
        position: Position,
        most_bytes: usize,
        age_ms: impl Fn(&TargetWeights) -> u32,
    ) -> Option<Changes> {
        let known = position.held.max(position.source_revision);
        if known > self.revision || position.held == self.revision {
            return None;
        }
        if known < self.removals_forgotten_to && position.held > 0 {
            // The router may still have back ends whose removal is forgotten, so it needs the whole state. Its view
            // never goes back to the lower revision of a first chunk, so it is sent everything at once.
            return Some(self.changes_since(0, age_ms));
        }
        let last = self.last_within(position.held, most_bytes);
        Some(self.changes_between(position.held, last, age_ms))
    }

    /// The last revision of a chunk that starts after `since`.
    fn last_within(&self, since: u64, most_bytes: usize) -> u64 {
        let mut bytes = 0;
        for (revision, name) in self.changed.after(since) {
            let record = self.instances.get(name);
            bytes += record.map_or(name.len(), record_bytes);
            if bytes >= most_bytes {
                return revision;
            }
        }
        self.revision
    }

    fn changes_between(
        &self,
        since: u64,
        last: u64,
        age_ms: impl Fn(&TargetWeights) -> u32,
    ) -> Changes {
        let range: RangeInclusive<u64> = since + 1..=last;
        let mut instances = Vec::new();
        let mut removed = Vec::new();
        let changed = self.changed.after(since);
        for (_, name) in changed.take_while(|(revision, _)| *revision <= last) {
            match self.instances.get(name) {
                Some(record) => instances.push(record.clone()),
                None => removed.push(Text::new(name)),
            }
        }
        let configuration = &self.configuration;
        let has_configuration = range.contains(&configuration.revision);
        let configuration = has_configuration.then(|| configuration.body.clone());
        let weights = self.weights().filter(|item| range.contains(&item.revision));
        let notice = |target: &TargetWeights| WeightsNotice {
            model: target.model.clone(),
            version: target.version,
            age_ms: age_ms(target),
        };
        let fingerprint_key = self.fingerprint_key.iter();
        let fingerprint_key = fingerprint_key.filter(|item| range.contains(&item.revision));
        let has_quarantine = range.contains(&self.quarantine_revision);
        let quarantine = has_quarantine.then(|| Quarantine {
            fingerprints: List::new(self.quarantined().collect()),
        });
        Changes {
            since,
            revision: last,
            newest: self.revision,
            configuration: List::new(configuration.into_iter().collect()),
            weights: List::new(weights.map(notice).collect()),
            instances: List::new(instances),
            removed: List::new(removed),
            fingerprint_key: List::new(fingerprint_key.map(|item| item.key.clone()).collect()),
            quarantine: List::new(quarantine.into_iter().collect()),
            patch: None,
            departed: self.departed_versions(),
        }
    }
}

impl Changes {
    /// Whether the changes contain a configuration, whole or as a patch.
    pub fn has_configuration(&self) -> bool {
        self.patch.is_some() || !self.configuration.items.is_empty()
    }

    /// The approximate size of the changes in a message.
    pub fn bytes(&self) -> usize {
        let records: usize = self.instances.items.iter().map(record_bytes).sum();
        let removed: usize = self
            .removed
            .items
            .iter()
            .map(|name| name.as_str().len())
            .sum();
        let configuration = self.configuration.items.first();
        let configuration = configuration.map_or(0, |body| body.bytes.len());
        let patch = self.patch.as_ref().map_or(0, ConfigurationPatch::bytes);
        records + removed + configuration + patch
    }
}

fn record_bytes(record: &InstanceRecord) -> usize {
    let texts = [
        &record.instance,
        &record.pool,
        &record.address,
        &record.zone,
    ];
    let texts: usize = texts.iter().map(|text| text.as_str().len()).sum();
    RECORD_BYTES + texts
}
