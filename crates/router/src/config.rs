//! The configuration that this router applies.
//!
//! The applied revision never decreases. Every update carries the revision of its source, the
//! highest revision applied is the floor, and updates below the floor are refused from any
//! sender. The floor and the resources are on disk before they take effect, so that a restarted
//! router serves requests at once and does not revert to an older configuration.

use std::collections::BTreeMap;

use drumshore_core::{
    KeyHash, ModelName, ModelSpec, PoolName, PriorityClassSpec, Resource, ResourceKey,
    ResourceKind, ResourceSpec, Revision, TenantName, TenantSpec,
};
use drumshore_guard::{enforced, Guard};
use drumshore_wire::ConfigUpdate;
use serde::{Deserialize, Serialize};

/// Why an update or a stored view is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Its revision is below the floor.
    #[error("revision {offered} is older than the applied revision {floor}")]
    Stale {
        /// The update's revision.
        offered: Revision,
        /// The highest revision applied.
        floor: Revision,
    },
    /// It cannot be parsed.
    #[error("unreadable configuration: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Serialize, Deserialize)]
struct Stored {
    floor: Revision,
    resources: Vec<Resource>,
}

/// The resources that this router has received, and the revision they come from.
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

    /// True until the first update is applied.
    pub fn is_blank(&self) -> bool {
        self.floor == Revision(0)
    }

    /// Applies an update from a control machine and raises the floor to its revision.
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
            self.insert_if_newer(resource);
        }
        self.floor = offered;
        self.index_keys();
        Ok(())
    }

    /// Adds a tenant that was queried by key, from a source at the given revision. The floor
    /// does not change.
    pub fn add_queried_tenant(
        &mut self,
        resource: Resource,
        offered: Revision,
    ) -> Result<(), ConfigError> {
        self.check_floor(offered)?;
        self.insert_if_newer(resource);
        self.index_keys();
        Ok(())
    }

    /// Returns an error if a revision is below the floor.
    pub fn check_floor(&self, offered: Revision) -> Result<(), ConfigError> {
        if offered >= self.floor || !enforced(Guard::ConfigFloor) {
            return Ok(());
        }
        Err(ConfigError::Stale {
            offered,
            floor: self.floor,
        })
    }

    /// The tenant that holds a key, if this router has its resource.
    pub fn tenant_of_key(&self, key: &KeyHash) -> Option<(TenantName, &TenantSpec)> {
        let name = self.tenants_by_key.get(key)?;
        self.get(ResourceKind::Tenant, name.as_str())?.as_tenant()
    }

    /// The names of the tenants in the view.
    pub fn tenants(&self) -> impl Iterator<Item = TenantName> + '_ {
        self.resources
            .values()
            .filter_map(|resource| resource.as_tenant())
            .map(|(name, _)| name)
    }

    /// The specification of a tenant.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantSpec> {
        let resource = self.get(ResourceKind::Tenant, name.as_str())?;
        resource.as_tenant().map(|(_, spec)| spec)
    }

    /// The specification of a model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        let resource = self.get(ResourceKind::Model, name.as_str())?;
        resource.as_model().map(|(_, spec)| spec)
    }

    /// The names of all models, in order.
    pub fn models(&self) -> impl Iterator<Item = ModelName> + '_ {
        self.resources
            .values()
            .filter_map(|resource| resource.as_model())
            .map(|(name, _)| name)
    }

    /// The names of the pools that serve a model, in order.
    pub fn pools_of(&self, model: &ModelName) -> Vec<PoolName> {
        self.resources
            .values()
            .filter_map(|resource| resource.as_pool())
            .filter(|(_, pool)| pool.model == *model)
            .map(|(name, _)| name)
            .collect()
    }

    /// The specification of a priority class.
    pub fn priority_class(&self, name: &str) -> Option<&PriorityClassSpec> {
        match &self.get(ResourceKind::PriorityClass, name)?.spec {
            ResourceSpec::PriorityClass(spec) => Some(spec),
            _ => None,
        }
    }

    /// Encodes the view for the data folder.
    pub fn encode(&self) -> Vec<u8> {
        let stored = Stored {
            floor: self.floor,
            resources: self.resources.values().cloned().collect(),
        };
        serde_json::to_vec(&stored).expect("resources have no maps with structured keys")
    }

    /// Decodes a view from the data folder.
    pub fn decode(bytes: &[u8]) -> Result<Self, ConfigError> {
        let stored: Stored = serde_json::from_slice(bytes)?;
        let mut view = Self {
            floor: stored.floor,
            ..Self::default()
        };
        for resource in stored.resources {
            view.insert_if_newer(resource);
        }
        view.index_keys();
        Ok(view)
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        let name = name.to_owned();
        self.resources.get(&ResourceKey { kind, name })
    }

    /// Keeps the newer version of a resource: a tenant that was queried by key may be newer than
    /// the update that follows it.
    fn insert_if_newer(&mut self, resource: Resource) {
        let key = resource.key();
        let existing = self.resources.get(&key);
        let existing_is_newer =
            existing.is_some_and(|existing| existing.version > resource.version);
        if !existing_is_newer || !enforced(Guard::ConfigFloor) {
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
