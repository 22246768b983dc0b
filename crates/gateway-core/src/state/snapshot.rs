//! Encoding of the replicated state as a snapshot of the log.

use std::collections::BTreeMap;
use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{List, Text};

use super::changes::ChangeIndex;
use super::departures::{Departures, RunningVersions};
use super::{
    InstanceRecord, Removed, ReplicatedState, StoredConfiguration, StoredFingerprintKey,
    TargetWeights,
};
use crate::message::SoftwareEntry;
use crate::Fingerprint;

#[binrw]
#[brw(little)]
#[derive(Clone, Debug)]
struct Removal {
    instance: Text,
    revision: u64,
    may_return: u8,
}

/// A quarantined fingerprint.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug)]
struct Quarantined {
    fingerprint: Fingerprint,
    position: u64,
}

#[binrw]
#[brw(little)]
#[derive(Clone, Debug)]
struct Snapshot {
    revision: u64,
    removals_forgotten_to: u64,
    configuration: StoredConfiguration,
    weights: List<TargetWeights>,
    instances: List<InstanceRecord>,
    removals: List<Removal>,
    /// 0 or 1 key.
    fingerprint_key: List<StoredFingerprintKey>,
    quarantine_revision: u64,
    quarantined: List<Quarantined>,
    /// Missing in snapshots of earlier builds, which ignore what follows the fields that they know.
    #[br(try)]
    software: Option<List<SoftwareEntry>>,
    /// Missing in snapshots of earlier builds, and where no back end declares a version and none was removed.
    #[br(try)]
    departures: Option<Departures>,
}

impl ReplicatedState {
    /// Encodes the state as a snapshot of the log.
    pub fn encode(&self) -> Vec<u8> {
        let removals = self.removals.iter().map(|(instance, removed)| Removal {
            instance: Text::new(instance.as_str()),
            revision: removed.revision,
            may_return: u8::from(removed.may_return),
        });
        let quarantined = self
            .quarantined
            .iter()
            .map(|(fingerprint, position)| Quarantined {
                fingerprint: *fingerprint,
                position: *position,
            });
        let software = SoftwareEntry::list_of(self.instances.values());
        let has_versions =
            !software.items.is_empty() || !self.removals.is_empty() || !self.departures.is_empty();
        let snapshot = Snapshot {
            revision: self.revision,
            removals_forgotten_to: self.removals_forgotten_to,
            configuration: self.configuration.clone(),
            weights: List::new(self.weights().cloned().collect()),
            instances: List::new(self.instances.values().cloned().collect()),
            removals: List::new(removals.collect()),
            fingerprint_key: List::new(self.fingerprint_key.iter().cloned().collect()),
            quarantine_revision: self.quarantine_revision,
            quarantined: List::new(quarantined.collect()),
            software: has_versions.then_some(software),
            departures: has_versions.then(|| self.departures.clone()),
        };
        let mut cursor = Cursor::new(Vec::new());
        snapshot
            .write(&mut cursor)
            .expect("a state fits in its length fields");
        cursor.into_inner()
    }

    /// Decodes a snapshot; `None` if it is not valid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let snapshot = Snapshot::read(&mut Cursor::new(bytes)).ok()?;
        let mut weights: BTreeMap<String, Vec<TargetWeights>> = BTreeMap::new();
        for target in snapshot.weights.items {
            let model = target.model.as_str().to_owned();
            weights.entry(model).or_default().push(target);
        }
        let by_instance = |record: InstanceRecord| (record.instance.as_str().to_owned(), record);
        let removal = |item: Removal| {
            let removed = Removed {
                revision: item.revision,
                may_return: item.may_return != 0,
            };
            (item.instance.as_str().to_owned(), removed)
        };
        let has_versions = snapshot.software.is_some() || !snapshot.removals.items.is_empty();
        let is_of_earlier_build = has_versions && snapshot.departures.is_none();
        let departures = match snapshot.departures {
            None if is_of_earlier_build => Departures::missing_to(snapshot.revision),
            departures => departures.unwrap_or_default(),
        };
        let mut records = snapshot.instances.items;
        SoftwareEntry::set_all(&mut records, snapshot.software.as_ref());
        let instances: BTreeMap<String, InstanceRecord> =
            records.into_iter().map(by_instance).collect();
        let removals: BTreeMap<String, Removed> =
            snapshot.removals.items.into_iter().map(removal).collect();
        let mut state = Self {
            changed: ChangeIndex::of(&instances, &removals),
            revision: snapshot.revision,
            removals_forgotten_to: snapshot.removals_forgotten_to,
            configuration: snapshot.configuration,
            weights,
            instances,
            removals,
            fingerprint_key: snapshot.fingerprint_key.items.into_iter().next(),
            quarantined: (snapshot.quarantined.items.iter())
                .map(|item| (item.fingerprint, item.position))
                .collect(),
            quarantine_revision: snapshot.quarantine_revision,
            departures,
            running: RunningVersions::default(),
        };
        for record in state.instances.values() {
            state.running.add(record);
        }
        Some(state)
    }
}
