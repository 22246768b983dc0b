//! The configuration that this router applies.
//!
//! It never goes back: every view carries the revision it comes from, the highest one applied is
//! the floor, and what lies below the floor is refused, whoever sends it. The floor and what is
//! held are on disk before they are applied, so that a restarted router serves at once and does
//! not revert either.

use std::collections::BTreeMap;

use drumshore_core::{
    KeyHash, ModelName, ModelSpec, PoolName, PriorityClassSpec, Resource, ResourceKey,
    ResourceKind, ResourceSpec, Revision, TenantName, TenantSpec,
};
use drumshore_guard::{enforced, Guard};
use drumshore_wire::ConfigUpdate;
use serde::{Deserialize, Serialize};

/// Why an update is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It comes from a view older than what is applied.
    #[error("revision {offered} is older than {floor}, which is applied")]
    Stale {
        /// The update's revision.
        offered: Revision,
        /// The highest revision applied.
        floor: Revision,
    },
    /// It is not readable.
    #[error("unreadable configuration: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Serialize, Deserialize)]
struct Stored {
    floor: Revision,
    resources: Vec<Resource>,
}

/// The resources that this router holds.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    floor: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
    tenants_by_key: BTreeMap<KeyHash, TenantName>,
}

impl ConfigView {
    /// The highest revision applied.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// True before anything was ever applied.
    pub fn is_blank(&self) -> bool {
        self.floor == Revision(0)
    }

    /// Applies a control machine's update.
    pub fn apply(&mut self, update: &ConfigUpdate) -> Result<(), ConfigError> {
        let offered = Revision(update.revision);
        self.check_floor(offered)?;
        let records: Vec<Resource> = serde_json::from_slice(&update.records.bytes)?;
        let deleted: Vec<ResourceKey> = serde_json::from_slice(&update.deleted.bytes)?;
        if update.full == 1 {
            self.resources.clear();
        }
        for key in deleted {
            self.resources.remove(&key);
        }
        for resource in records {
            self.insert(resource);
        }
        self.floor = offered;
        self.index_keys();
        Ok(())
    }

    /// Takes in a tenant that was asked for, from a view of the given revision.
    pub fn learn_tenant(
        &mut self,
        resource: Resource,
        offered: Revision,
    ) -> Result<(), ConfigError> {
        self.check_floor(offered)?;
        self.insert(resource);
        self.index_keys();
        Ok(())
    }

    /// Refuses what comes from a view older than what is applied.
    pub fn check_floor(&self, offered: Revision) -> Result<(), ConfigError> {
        if offered >= self.floor || !enforced(Guard::ConfigFloor) {
            return Ok(());
        }
        Err(ConfigError::Stale {
            offered,
            floor: self.floor,
        })
    }

    /// The tenant that holds a key, when this router knows it.
    pub fn tenant_of_key(&self, key: &KeyHash) -> Option<(TenantName, &TenantSpec)> {
        let name = self.tenants_by_key.get(key)?;
        self.get(ResourceKind::Tenant, name.as_str())?.as_tenant()
    }

    /// The tenants held.
    pub fn tenants(&self) -> impl Iterator<Item = TenantName> + '_ {
        self.resources
            .values()
            .filter_map(|resource| resource.as_tenant())
            .map(|(name, _)| name)
    }

    /// A tenant by name.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantSpec> {
        let resource = self.get(ResourceKind::Tenant, name.as_str())?;
        resource.as_tenant().map(|(_, spec)| spec)
    }

    /// A model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        let resource = self.get(ResourceKind::Model, name.as_str())?;
        resource.as_model().map(|(_, spec)| spec)
    }

    /// All models, by name.
    pub fn models(&self) -> impl Iterator<Item = ModelName> + '_ {
        self.resources
            .values()
            .filter_map(|resource| resource.as_model())
            .map(|(name, _)| name)
    }

    /// The pools that serve a model, by name.
    pub fn pools_of(&self, model: &ModelName) -> Vec<PoolName> {
        self.resources
            .values()
            .filter_map(|resource| resource.as_pool())
            .filter(|(_, pool)| pool.model == *model)
            .map(|(name, _)| name)
            .collect()
    }

    /// A priority class.
    pub fn priority_class(&self, name: &str) -> Option<&PriorityClassSpec> {
        match &self.get(ResourceKind::PriorityClass, name)?.spec {
            ResourceSpec::PriorityClass(spec) => Some(spec),
            _ => None,
        }
    }

    /// The view as bytes for the data folder.
    pub fn encode(&self) -> Vec<u8> {
        let stored = Stored {
            floor: self.floor,
            resources: self.resources.values().cloned().collect(),
        };
        serde_json::to_vec(&stored).expect("resources have no maps with structured keys")
    }

    /// Reads a view back.
    pub fn decode(bytes: &[u8]) -> Result<Self, ConfigError> {
        let stored: Stored = serde_json::from_slice(bytes)?;
        let mut view = Self {
            floor: stored.floor,
            ..Self::default()
        };
        for resource in stored.resources {
            view.insert(resource);
        }
        view.index_keys();
        Ok(view)
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        let name = name.to_owned();
        self.resources.get(&ResourceKey { kind, name })
    }

    /// A tenant that was asked for may be newer than the update that follows it.
    fn insert(&mut self, resource: Resource) {
        let key = resource.key();
        let held = self.resources.get(&key);
        let newer_held = held.is_some_and(|held| held.version > resource.version);
        if !newer_held || !enforced(Guard::ConfigFloor) {
            self.resources.insert(key, resource);
        }
    }

    fn index_keys(&mut self) {
        self.tenants_by_key.clear();
        let tenants = self.resources.values();
        for (name, spec) in tenants.filter_map(|resource| resource.as_tenant()) {
            for hash in &spec.key_hashes {
                self.tenants_by_key.insert(hash.clone(), name.clone());
            }
        }
    }
}
