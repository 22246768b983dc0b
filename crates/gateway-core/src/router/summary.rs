//! The properties of a back end that every choice reads, stored next to its load: reading them from its record costs
//! two or three cache misses, and a choice in a large pool looks at thousands of back ends.

use xxhash_rust::xxh3::xxh3_64;

use crate::{InstanceRecord, Lifecycle, SoftwareKey};

/// Hash of the name of a pool, zone or model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NameHash(u64);

impl NameHash {
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// The properties of a record that decide whether the back end may receive a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Summary {
    pub pool: NameHash,
    pub zone: NameHash,
    pub is_ready: bool,
    pub is_loading: bool,
    pub software: SoftwareKey,
    /// The model and version, if the back end holds exactly one model, as nearly all do.
    only_model: Option<(NameHash, u64)>,
}

impl Summary {
    pub fn of(record: &InstanceRecord) -> Self {
        let only_model = match &record.models.items[..] {
            [only] => Some((NameHash::of(only.model.as_str()), only.version)),
            _ => None,
        };
        Self {
            pool: NameHash::of(record.pool.as_str()),
            zone: NameHash::of(record.zone.as_str()),
            is_ready: record.lifecycle == Lifecycle::Ready,
            is_loading: record.is_loading(),
            software: SoftwareKey::of_names(record.pool.as_str(), record.software.as_str()),
            only_model,
        }
    }

    /// The version of `model` that the back end holds; `hash` is the hash of the model's name.
    pub fn version(&self, record: &InstanceRecord, model: &str, hash: NameHash) -> Option<u64> {
        match self.only_model {
            Some((only, version)) => (only == hash).then_some(version),
            None => record.model(model).map(|loaded| loaded.version),
        }
    }
}

#[cfg(test)]
#[path = "summary_tests.rs"]
mod tests;
