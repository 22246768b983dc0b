//! What control machines agree on. Applying the same commands gives the same state everywhere.

mod changes;
mod image;

use std::collections::BTreeMap;

use binrw::binrw;
use drumshore_wire::{Blob, List, Text};

use crate::{Command, FingerprintKey, LoadPhase, RequestFingerprint};

pub use changes::Position;

use changes::ChangeIndex;

/// Back ends that have gone are remembered, so that a late word of theirs does not bring them
/// back; beyond this many the oldest are forgotten.
const REMEMBERED_REMOVALS: usize = 4_096;

/// Versions of one model; enough for those that are named within the time a load may take.
const REMEMBERED_VERSIONS: usize = 16;

/// Work that is quarantined at once; beyond it the oldest is released. Each has ended three back ends, and
/// a router is sent all of it, 16 KB, when it changes.
const MOST_QUARANTINED: usize = 1_024;

/// Whether a back end may get new requests.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It may.
    Ready = 0,
    /// It may not, and never will again.
    Draining = 1,
}

/// The weights that a back end holds of one model.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: Text,
    /// The version it holds.
    pub version: u64,
    /// The version it is loading; 0 for none.
    pub loading: u64,
}

/// A back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Its incarnation.
    pub instance: Text,
    /// Its pool.
    pub pool: Text,
    /// IP:PORT.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it may get new requests.
    pub lifecycle: Lifecycle,
    /// The weights it holds.
    pub models: List<LoadedModel>,
    /// The revision that registered it; of two at one address the later is in charge.
    pub registered: u64,
    /// The revision that changed it last.
    pub revision: u64,
}

impl InstanceRecord {
    /// The weights of a model.
    pub fn model(&self, model: &str) -> Option<&LoadedModel> {
        let mut models = self.models.items.iter();
        models.find(|loaded| loaded.model.as_str() == model)
    }

    /// True while an order for new weights is under way.
    pub fn is_loading(&self) -> bool {
        self.models.items.iter().any(|loaded| loaded.loading != 0)
    }
}

/// The version of a model that all back ends are to hold.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetWeights {
    /// The model.
    pub model: Text,
    /// The version.
    pub version: u64,
    /// The revision that named it.
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

/// The key under which work is identified.
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
    /// It fell silent and may speak again.
    may_return: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedState {
    revision: u64,
    /// Removals up to this revision may have been forgotten.
    forgotten: u64,
    configuration: StoredConfiguration,
    /// The versions of each model that were named last, oldest first.
    weights: BTreeMap<String, Vec<TargetWeights>>,
    instances: BTreeMap<String, InstanceRecord>,
    removals: BTreeMap<String, Removed>,
    changed: ChangeIndex,
    fingerprint_key: Option<StoredFingerprintKey>,
    /// Work that no back end is given, by the position that said so.
    quarantined: BTreeMap<RequestFingerprint, u64>,
    quarantine_revision: u64,
}

impl ReplicatedState {
    /// The position of the last command that changed something.
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

    /// All back ends.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.values()
    }

    /// One back end.
    pub fn instance(&self, instance: &str) -> Option<&InstanceRecord> {
        self.instances.get(instance)
    }

    /// True when the back end has gone for good.
    pub fn is_removed(&self, instance: &str) -> bool {
        let removed = self.removals.get(instance);
        removed.is_some_and(|removed| !removed.may_return)
    }

    /// The weights that were named last, of each model oldest first.
    pub fn weights(&self) -> impl Iterator<Item = &TargetWeights> {
        self.weights.values().flatten()
    }

    /// The version of a model that back ends are to hold; 0 when none was named.
    pub fn target_version(&self, model: &str) -> u64 {
        let newest = self.weights.get(model).and_then(|named| named.last());
        newest.map_or(0, |named| named.version)
    }

    /// The key under which work is identified; `None` before the first leader has drawn one.
    pub fn fingerprint_key(&self) -> Option<&FingerprintKey> {
        self.fingerprint_key.as_ref().map(|stored| &stored.key)
    }

    /// Work that no back end is given.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// True while no back end is given the work.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantined.contains_key(&fingerprint)
    }

    /// Applies a committed command at its position. True when something changed.
    pub fn apply(&mut self, position: u64, command: &Command) -> bool {
        let changed = match command {
            Command::Configure { version, body } => self.configure(position, *version, body),
            Command::Register { .. } => self.register(position, command),
            Command::Drain { instance } => self.drain(position, instance),
            Command::Deregister { instance } => self.remove(position, instance, false),
            Command::Expire { instance } => self.expire(position, instance),
            Command::SetTargetWeights { model, version } => self.name(position, model, *version),
            Command::Load {
                instance,
                model,
                version,
                phase,
            } => self.load(position, instance, model, *version, *phase),
            Command::SetFingerprintKey { key } => self.set_fingerprint_key(position, key),
            Command::Quarantine { fingerprint } => self.quarantine(position, *fingerprint),
            Command::Release { fingerprint } => self.release(position, *fingerprint),
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
            // It registered as ready just before it said that it leaves.
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
        };
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

    /// Also for an instance that was never seen: a word of it that is still on its way must not
    /// bring it back.
    fn remove(&mut self, position: u64, instance: &Text, may_return: bool) -> bool {
        let name = instance.as_str();
        if self.is_removed(name) {
            return false;
        }
        let record = self.instances.remove(name);
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

    /// One that is leaving stays, so that a late word cannot make it ready again.
    fn expire(&mut self, position: u64, instance: &Text) -> bool {
        let record = self.instances.get(instance.as_str());
        let ready = record.is_some_and(|record| record.lifecycle == Lifecycle::Ready);
        ready && self.remove(position, instance, true)
    }

    fn forget_oldest_removal(&mut self) {
        if self.removals.len() <= REMEMBERED_REMOVALS {
            return;
        }
        let oldest = self.removals.iter().min_by_key(|item| item.1.revision);
        if let Some((name, revision)) = oldest.map(|item| (item.0.clone(), item.1.revision)) {
            self.removals.remove(&name);
            self.changed.forget(revision);
            self.forgotten = self.forgotten.max(revision);
        }
    }

    fn name(&mut self, position: u64, model: &Text, version: u64) -> bool {
        if version <= self.target_version(model.as_str()) {
            return false;
        }
        let named = TargetWeights {
            model: model.clone(),
            version,
            revision: position,
        };
        let versions = self.weights.entry(model.as_str().to_owned()).or_default();
        versions.push(named);
        if versions.len() > REMEMBERED_VERSIONS {
            versions.remove(0);
        }
        true
    }

    /// Work that was identified under one key is not found under another, so the first one stays.
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

    fn quarantine(&mut self, position: u64, fingerprint: RequestFingerprint) -> bool {
        if self.is_quarantined(fingerprint) {
            return false;
        }
        if self.quarantined.len() >= MOST_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|item| *item.1);
            if let Some(oldest) = oldest.map(|item| *item.0) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(fingerprint, position);
        self.quarantine_revision = position;
        true
    }

    fn release(&mut self, position: u64, fingerprint: RequestFingerprint) -> bool {
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
