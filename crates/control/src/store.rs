//! The resource store: writes are compare-and-set on versions and idempotent by change id, and a
//! history of changes serves watches.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{
    ChangeId, KeyHash, OperatorName, Resource, ResourceKey, ResourceKind, ResourceSpec, Revision,
    TenantName,
};
use drumshore_guard::{enforced, Guard};
use serde::{Deserialize, Serialize};

/// Changes kept for watches and histories, and outcomes kept to recognize resent changes.
const HISTORY_ENTRIES: usize = 10_000;

/// The outcome of a change. A change that is sent again with the same id has the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// The change was accepted and stored.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
    },
    /// The resource does not have the expected version; nothing was changed.
    Conflict {
        /// The version on which the change was based.
        expected: Revision,
        /// The resource as it is now; `None` if it does not exist.
        current: Option<Box<Resource>>,
    },
    /// The document is not valid; nothing was changed.
    Invalid {
        /// The validation error.
        message: String,
    },
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision that the change created.
    pub revision: Revision,
    /// The id under which the operator sent the change.
    pub change_id: ChangeId,
    /// The operator that made the change.
    pub operator: OperatorName,
    /// Time of the change by the state machine's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The resource that changed.
    pub key: ResourceKey,
    /// The resource after the change; `None` if it was removed.
    pub resource: Option<Box<Resource>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KnownChange {
    change_id: ChangeId,
    outcome: ChangeOutcome,
}

/// The author, id and time of a change.
#[derive(Clone, Debug)]
pub struct Author {
    /// Idempotency key that the operator chose for the change.
    pub change_id: ChangeId,
    /// The operator that requests the change.
    pub operator: OperatorName,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// All resources at one revision, and the most recent changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResourceStore {
    revision: Revision,
    #[serde(with = "as_list")]
    resources: BTreeMap<ResourceKey, Resource>,
    history: VecDeque<ChangeRecord>,
    known_changes: VecDeque<KnownChange>,
    #[serde(skip)]
    tenants_by_key: BTreeMap<KeyHash, TenantName>,
}

impl ResourceStore {
    /// The revision of the last accepted change; 0 if there was none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Creates or replaces a resource if it has the expected version. Version 0 means that it must
    /// not exist yet.
    pub fn put(
        &mut self,
        author: Author,
        expected: Revision,
        name: &str,
        spec: ResourceSpec,
    ) -> ChangeOutcome {
        if let Some(known) = self.known_outcome(&author.change_id) {
            return known;
        }
        let key = ResourceKey {
            kind: spec.kind(),
            name: name.to_owned(),
        };
        let outcome = match self.check_put(&key, expected, name, &spec) {
            Err(refused) => refused,
            Ok(()) => self.accept_put(&author, key, spec),
        };
        self.remember(author.change_id, outcome)
    }

    /// Removes a resource if it has the expected version.
    pub fn delete(
        &mut self,
        author: Author,
        expected: Revision,
        key: ResourceKey,
    ) -> ChangeOutcome {
        if let Some(known) = self.known_outcome(&author.change_id) {
            return known;
        }
        let outcome = match self.check_version(&key, expected) {
            Err(refused) => refused,
            Ok(()) => self.accept_delete(&author, key),
        };
        self.remember(author.change_id, outcome)
    }

    /// The resource with this key.
    pub fn get(&self, key: &ResourceKey) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// All resources of a kind, ordered by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        self.resources
            .values()
            .filter(move |resource| resource.spec.kind() == kind)
    }

    /// All resources, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// The tenant that an API key belongs to.
    pub fn tenant_of_key(&self, key_hash: &KeyHash) -> Option<&Resource> {
        let name = self.tenants_by_key.get(key_hash)?;
        let kind = ResourceKind::Tenant;
        self.resources.get(&ResourceKey {
            kind,
            name: name.to_string(),
        })
    }

    /// The changes after a revision, or `None` if some of them are no longer kept.
    pub fn changes_after(&self, revision: Revision) -> Option<impl Iterator<Item = &ChangeRecord>> {
        let oldest_kept = self
            .history
            .front()
            .map_or(self.revision.0 + 1, |first| first.revision.0);
        if revision.0 + 1 < oldest_kept {
            return None;
        }
        Some(
            self.history
                .iter()
                .filter(move |record| record.revision > revision),
        )
    }

    /// Rebuilds the index of tenants by key, which a snapshot does not contain.
    pub fn rebuild(&mut self) {
        self.tenants_by_key.clear();
        let tenants: Vec<Resource> = self.list(ResourceKind::Tenant).cloned().collect();
        for resource in &tenants {
            self.index_tenant(resource);
        }
    }

    fn known_outcome(&self, change_id: &ChangeId) -> Option<ChangeOutcome> {
        if !enforced(Guard::ChangeIdentity) {
            return None;
        }
        let known = self
            .known_changes
            .iter()
            .rev()
            .find(|known| known.change_id == *change_id);
        known.map(|known| known.outcome.clone())
    }

    fn check_put(
        &self,
        key: &ResourceKey,
        expected: Revision,
        name: &str,
        spec: &ResourceSpec,
    ) -> Result<(), ChangeOutcome> {
        spec.validate(name)
            .map_err(|error| ChangeOutcome::Invalid {
                message: error.to_string(),
            })?;
        self.check_keys_unused(key, spec)?;
        self.check_version(key, expected)
    }

    fn check_version(&self, key: &ResourceKey, expected: Revision) -> Result<(), ChangeOutcome> {
        let current = self.resources.get(key);
        let version = current.map_or(Revision(0), |resource| resource.version);
        if version == expected || !enforced(Guard::CompareVersion) {
            return Ok(());
        }
        Err(ChangeOutcome::Conflict {
            expected,
            current: current.cloned().map(Box::new),
        })
    }

    /// Rejects an API key of another tenant: a request's key must identify one tenant.
    fn check_keys_unused(
        &self,
        key: &ResourceKey,
        spec: &ResourceSpec,
    ) -> Result<(), ChangeOutcome> {
        let ResourceSpec::Tenant(tenant) = spec else {
            return Ok(());
        };
        let holder = tenant
            .key_hashes
            .iter()
            .filter_map(|hash| self.tenants_by_key.get(hash))
            .find(|holder| holder.as_str() != key.name);
        match holder {
            None => Ok(()),
            Some(holder) => Err(ChangeOutcome::Invalid {
                message: format!("a key is held by tenant {holder} already"),
            }),
        }
    }

    fn accept_put(
        &mut self,
        author: &Author,
        key: ResourceKey,
        spec: ResourceSpec,
    ) -> ChangeOutcome {
        self.revision = Revision(self.revision.0 + 1);
        let resource = Resource {
            name: key.name.clone(),
            version: self.revision,
            spec,
            changed_by: author.operator.clone(),
            change_id: author.change_id.clone(),
        };
        self.unindex_tenant(&key);
        self.index_tenant(&resource);
        self.resources.insert(key.clone(), resource.clone());
        self.record(author, key, Some(resource))
    }

    fn accept_delete(&mut self, author: &Author, key: ResourceKey) -> ChangeOutcome {
        self.revision = Revision(self.revision.0 + 1);
        self.unindex_tenant(&key);
        self.resources.remove(&key);
        self.record(author, key, None)
    }

    fn record(
        &mut self,
        author: &Author,
        key: ResourceKey,
        resource: Option<Resource>,
    ) -> ChangeOutcome {
        self.history.push_back(ChangeRecord {
            revision: self.revision,
            change_id: author.change_id.clone(),
            operator: author.operator.clone(),
            at_ms: author.at_ms,
            key,
            resource: resource.map(Box::new),
        });
        if self.history.len() > HISTORY_ENTRIES {
            self.history.pop_front();
        }
        ChangeOutcome::Accepted {
            revision: self.revision,
        }
    }

    fn remember(&mut self, change_id: ChangeId, outcome: ChangeOutcome) -> ChangeOutcome {
        self.known_changes.push_back(KnownChange {
            change_id,
            outcome: outcome.clone(),
        });
        if self.known_changes.len() > HISTORY_ENTRIES {
            self.known_changes.pop_front();
        }
        outcome
    }

    fn index_tenant(&mut self, resource: &Resource) {
        if let Some((name, tenant)) = resource.as_tenant() {
            for hash in &tenant.key_hashes {
                self.tenants_by_key.insert(hash.clone(), name.clone());
            }
        }
    }

    fn unindex_tenant(&mut self, key: &ResourceKey) {
        if key.kind == ResourceKind::Tenant {
            self.tenants_by_key
                .retain(|_, name| name.as_str() != key.name);
        }
    }
}

/// Serializes the resources as a list: JSON has no maps with structured keys, and each resource
/// contains its own key.
mod as_list {
    use std::collections::BTreeMap;

    use drumshore_core::{Resource, ResourceKey};
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(
        resources: &BTreeMap<ResourceKey, Resource>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(resources.values())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<ResourceKey, Resource>, D::Error> {
        let list = Vec::<Resource>::deserialize(deserializer)?;
        Ok(list
            .into_iter()
            .map(|resource| (resource.key(), resource))
            .collect())
    }
}
