//! What every choice asks of every back end, kept beside its load: a look into its record costs two or three
//! misses of the processor's cache, and a choice before a large pool looks at thousands.

use xxhash_rust::xxh3::xxh3_64;

use crate::{InstanceRecord, Lifecycle};

/// Stands for the name of a pool, a zone or a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NameHash(u64);

impl NameHash {
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Of a record, what decides whether a request may go there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Summary {
    pub pool: NameHash,
    pub zone: NameHash,
    pub is_ready: bool,
    pub is_loading: bool,
    /// The weights that it holds when it holds those of one model, which nearly all do.
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
            only_model,
        }
    }

    /// The version of a model that is held; `hash` stands for its name.
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
