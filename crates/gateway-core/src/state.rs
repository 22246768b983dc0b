//! The replicated state of the control machines. Applying the same commands gives the same state on each of them.

mod changes;
mod departures;
mod snapshot;
mod software;

use std::collections::BTreeMap;

use binrw::binrw;
use drumshore_wire::{Blob, List, Text};

use crate::{Command, Fingerprint, FingerprintKey, LoadPhase, SoftwareVersion};

pub use changes::Position;
pub use departures::DepartedVersion;

use changes::ChangeIndex;
use departures::{Departures, RunningVersions};

/// The maximum number of removed back ends that are remembered, so that a late registration does not add them
/// again. Beyond it the oldest are forgotten.
const MAX_REMOVALS: usize = 4_096;

/// The maximum number of target versions kept per model; enough for those set within the time that a load may take.
const MAX_VERSIONS: usize = 16;

/// The maximum number of quarantined fingerprints; beyond it the oldest is released. Each has crashed three back
/// ends. Routers are sent the whole list, at most 16 KB, whenever it changes.
const MAX_QUARANTINED: usize = 1_024;

/// Whether a back end may get new requests.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The back end may get new requests.
    Ready = 0,
    /// The back end gets no new requests and never becomes ready again.
    Draining = 1,
}

/// The weights that a back end has loaded of one model.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: Text,
    /// The version that is loaded.
    pub version: u64,
    /// The version that is being loaded; 0 for none.
    pub loading: u64,
}

/// A registered back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The incarnation.
    pub instance: Text,
    /// The pool.
    pub pool: Text,
    /// The address, IP:PORT.
    pub address: Text,
    /// The zone.
    pub zone: Text,
    /// The number of requests that the back end serves concurrently.
    pub slots: u32,
    /// Whether the back end may get new requests.
    pub lifecycle: Lifecycle,
    /// The weights that the back end has loaded.
    pub models: List<LoadedModel>,
    /// The revision that registered the back end. Of two at the same address, the later one owns it.
    pub registered: u64,
    /// The revision that last changed the record.
    pub revision: u64,
    /// The version of the software that the back end runs. Messages and snapshots carry it after all records, where
    /// earlier builds do not read it.
    #[brw(ignore)]
    pub software: SoftwareVersion,
    /// When the latest process under this name that reported its version started, in Unix milliseconds of its own clock;
    /// 0 if none said so.
    #[brw(ignore)]
    pub started_ms: u64,
}

impl InstanceRecord {
    /// The loaded weights of a model; `None` if the back end doesn't serve it.
    pub fn model(&self, model: &str) -> Option<&LoadedModel> {
        let mut models = self.models.items.iter();
        models.find(|loaded| loaded.model.as_str() == model)
    }

    /// True while the back end is loading new weights.
    pub fn is_loading(&self) -> bool {
        self.models.items.iter().any(|loaded| loaded.loading != 0)
    }
}

/// A version of a model that all back ends are to load.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetWeights {
    /// The model.
    pub model: Text,
    /// The version.
    pub version: u64,
    /// The revision that set this version.
    pub revision: u64,
}

#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default)]
struct StoredConfiguration {
    version: u64,
    revision: u64,
    body: Blob,
}

/// The key of the fingerprint hash, with the revision that set it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug)]
struct StoredFingerprintKey {
    key: FingerprintKey,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct Removed {
    revision: u64,
    /// The back end was removed because its heartbeats stopped; it may register again.
    may_return: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedState {
    revision: u64,
    /// Removals up to this revision may have been forgotten.
    removals_forgotten_to: u64,
    configuration: StoredConfiguration,
    /// The last target versions of each model, oldest first.
    weights: BTreeMap<String, Vec<TargetWeights>>,
    instances: BTreeMap<String, InstanceRecord>,
    removals: BTreeMap<String, Removed>,
    changed: ChangeIndex,
    fingerprint_key: Option<StoredFingerprintKey>,
    /// The quarantined fingerprints, each with the log position that quarantined it.
    quarantined: BTreeMap<Fingerprint, u64>,
    quarantine_revision: u64,
    departures: Departures,
    running: RunningVersions,
}

impl ReplicatedState {
    /// The log position of the last command that changed the state.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The version of the configuration; 0 before the first one.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// The configuration as the operator sent it.
    pub fn configuration(&self) -> Option<&[u8]> {
        (self.configuration.version > 0).then_some(&self.configuration.body.bytes[..])
    }

    /// All registered back ends.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.values()
    }

    /// The registered back end with this incarnation.
    pub fn instance(&self, instance: &str) -> Option<&InstanceRecord> {
        self.instances.get(instance)
    }

    /// True if the back end was removed and may not register again.
    pub fn is_removed(&self, instance: &str) -> bool {
        let removed = self.removals.get(instance);
        removed.is_some_and(|removed| !removed.may_return)
    }

    /// The last target versions, of each model oldest first.
    pub fn weights(&self) -> impl Iterator<Item = &TargetWeights> {
        self.weights.values().flatten()
    }

    /// The version of a model that back ends are to load; 0 if none was set.
    pub fn target_version(&self, model: &str) -> u64 {
        let newest = self.weights.get(model).and_then(|target| target.last());
        newest.map_or(0, |target| target.version)
    }

    /// The key of the fingerprint hash; `None` until a leader has generated one.
    pub fn fingerprint_key(&self) -> Option<&FingerprintKey> {
        self.fingerprint_key.as_ref().map(|stored| &stored.key)
    }

    /// The quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// True while requests with the fingerprint are sent to no back end.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains_key(&fingerprint)
    }

    /// Applies the committed command at a log position. True if it changed the state.
    pub fn apply(&mut self, position: u64, command: &Command) -> bool {
        let changed = match command {
            Command::Configure { version, body } => self.configure(position, *version, body),
            Command::Register { .. } => self.register(position, command),
            Command::Drain { instance } => self.drain(position, instance),
            Command::Deregister { instance } => self.remove(position, instance, false),
            Command::Expire { instance } => self.expire(position, instance),
            Command::SetTargetWeights { model, version } => {
                self.set_target_weights(position, model, *version)
            }
            Command::Load {
                instance,
                model,
                version,
                phase,
            } => self.load(position, instance, model, *version, *phase),
            Command::SetFingerprintKey { key } => self.set_fingerprint_key(position, key),
            Command::Quarantine { fingerprint } => self.quarantine(position, *fingerprint),
            Command::Release { fingerprint } => self.release(position, *fingerprint),
            Command::SetSoftwareVersion {
                instance,
                software,
                started_ms,
            } => self.set_software_version(position, instance, software, *started_ms),
            Command::ForgetDepartures { revision } => self.forget_departures(*revision),
        };
        if changed {
            self.revision = position;
        }
        changed
    }

    fn configure(&mut self, position: u64, version: u64, body: &Blob) -> bool {
        if version <= self.configuration.version {
            return false;
        }
        self.configuration = StoredConfiguration {
            version,
            revision: position,
            body: body.clone(),
        };
        true
    }

    fn register(&mut self, position: u64, command: &Command) -> bool {
        let Command::Register {
            instance,
            pool,
            address,
            zone,
            slots,
            draining,
            models,
        } = command
        else {
            return false;
        };
        let name = instance.as_str();
        if self.is_removed(name) {
            return false;
        }
        if self.instances.contains_key(name) {
            // The back end registered as ready before, and now registers as draining.
            return *draining != 0 && self.drain(position, instance);
        }
        let removed = self.removals.remove(name);
        let lifecycle = if *draining == 0 {
            Lifecycle::Ready
        } else {
            Lifecycle::Draining
        };
        let record = InstanceRecord {
            instance: instance.clone(),
            pool: pool.clone(),
            address: address.clone(),
            zone: zone.clone(),
            slots: *slots,
            lifecycle,
            models: models.clone(),
            registered: position,
            revision: position,
            software: SoftwareVersion::default(),
            started_ms: 0,
        };
        self.running.add(&record);
        self.instances.insert(name.to_owned(), record);
        let earlier = removed.map(|removed| removed.revision);
        self.changed.note(position, name, earlier);
        true
    }

    fn drain(&mut self, position: u64, instance: &Text) -> bool {
        let Some(record) = self.instances.get_mut(instance.as_str()) else {
            return false;
        };
        if record.lifecycle == Lifecycle::Draining {
            return false;
        }
        record.lifecycle = Lifecycle::Draining;
        let earlier = std::mem::replace(&mut record.revision, position);
        self.changed
            .note(position, instance.as_str(), Some(earlier));
        true
    }

    /// Also records the removal of an instance that was never registered, so that a delayed registration does not
    /// add it.
    fn remove(&mut self, position: u64, instance: &Text, may_return: bool) -> bool {
        let name = instance.as_str();
        if self.is_removed(name) {
            return false;
        }
        let record = self.instances.remove(name);
        if let Some(record) = &record {
            self.running.remove(record);
            self.note_departure(position, record);
        }
        let removed = Removed {
            revision: position,
            may_return,
        };
        let earlier = self.removals.insert(name.to_owned(), removed);
        let earlier = earlier.map(|removed| removed.revision);
        let earlier = record.map(|record| record.revision).or(earlier);
        self.changed.note(position, name, earlier);
        self.forget_oldest_removal();
        true
    }

    /// Removes a ready back end. A draining one stays, so that a late registration cannot make it ready again.
    fn expire(&mut self, position: u64, instance: &Text) -> bool {
        let record = self.instances.get(instance.as_str());
        let ready = record.is_some_and(|record| record.lifecycle == Lifecycle::Ready);
        ready && self.remove(position, instance, true)
    }

    fn forget_oldest_removal(&mut self) {
        if self.removals.len() <= MAX_REMOVALS {
            return;
        }
        let oldest = self.removals.iter().min_by_key(|item| item.1.revision);
        if let Some((name, revision)) = oldest.map(|item| (item.0.clone(), item.1.revision)) {
            self.removals.remove(&name);
            self.changed.forget(revision);
            self.removals_forgotten_to = self.removals_forgotten_to.max(revision);
        }
    }

    fn set_target_weights(&mut self, position: u64, model: &Text, version: u64) -> bool {
        if version <= self.target_version(model.as_str()) {
            return false;
        }
        let target = TargetWeights {
            model: model.clone(),
            version,
            revision: position,
        };
        let versions = self.weights.entry(model.as_str().to_owned()).or_default();
        versions.push(target);
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
        true
    }

    /// Sets the first key only: fingerprints computed with one key don't match those computed with another.
    fn set_fingerprint_key(&mut self, position: u64, key: &FingerprintKey) -> bool {
        if self.fingerprint_key.is_some() {
            return false;
        }
        self.fingerprint_key = Some(StoredFingerprintKey {
            key: key.clone(),
            revision: position,
        });
        true
    }

    fn quarantine(&mut self, position: u64, fingerprint: Fingerprint) -> bool {
        if self.is_quarantined(fingerprint) {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|item| *item.1);
            if let Some(oldest) = oldest.map(|item| *item.0) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(fingerprint, position);
        self.quarantine_revision = position;
        true
    }

    fn release(&mut self, position: u64, fingerprint: Fingerprint) -> bool {
        let was_quarantined = self.quarantined.remove(&fingerprint).is_some();
        if was_quarantined {
            self.quarantine_revision = position;
        }
        was_quarantined
    }

    fn load(
        &mut self,
        position: u64,
        instance: &Text,
        model: &Text,
        version: u64,
        phase: LoadPhase,
    ) -> bool {
        let Some(record) = self.instances.get_mut(instance.as_str()) else {
            return false;
        };
        let mut models = record.models.items.iter_mut();
        let Some(loaded) = models.find(|loaded| loaded.model == *model) else {
            return false;
        };
        let before = loaded.clone();
        match phase {
            LoadPhase::Started => loaded.loading = version,
            LoadPhase::Abandoned => loaded.loading = 0,
            LoadPhase::Finished => {
                loaded.loading = 0;
                loaded.version = loaded.version.max(version);
            }
        }
        if *loaded == before {
            return false;
        }
        let earlier = std::mem::replace(&mut record.revision, position);
        self.changed
            .note(position, instance.as_str(), Some(earlier));
        true
    }
}
