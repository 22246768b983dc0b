//! The resource store: compare-and-set on versions, changes known by id, history, watches.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{
    ChangeId, KeyHash, OperatorName, Resource, ResourceKey, ResourceKind, ResourceSpec, Revision,
    TenantName,
};
use drumshore_guard::{enforced, Guard};
use serde::{Deserialize, Serialize};

/// Changes kept for watches, histories and the recognition of resent changes.
const HISTORY_ENTRIES: usize = 10_000;

/// How a change ended. The same for the same change id, however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// It is accepted and in the store under this revision.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// Somebody else changed the resource first; nothing was done.
    Conflict {
        /// The version that the writer had seen.
        expected: Revision,
        /// What is there now; `None` when it is gone.
        current: Option<Box<Resource>>,
    },
    /// The document is not valid; nothing was done.
    Invalid {
        /// Why.
        message: String,
    },
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision it made.
    pub revision: Revision,
    /// Its id.
    pub change_id: ChangeId,
    /// Who made it.
    pub operator: OperatorName,
    /// When, by the proposer's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub key: ResourceKey,
    /// The resource after it; `None` when it was removed.
    pub resource: Option<Box<Resource>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KnownChange {
    change_id: ChangeId,
    outcome: ChangeOutcome,
}

/// The author of a change and its id.
#[derive(Clone, Debug)]
pub struct Author {
    /// The operator's key for the change.
    pub change_id: ChangeId,
    /// Who asks.
    pub operator: OperatorName,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// All resources at one revision, and the latest changes.
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
    /// The revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Writes a resource if it still has the version that the writer saw.
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

    /// Removes a resource if it still has the version that the writer saw.
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

    /// One resource.
    pub fn get(&self, key: &ResourceKey) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// All resources of a kind, by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        self.resources
            .values()
            .filter(move |resource| resource.spec.kind() == kind)
    }

    /// All resources.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// The tenant that holds a key.
    pub fn tenant_of_key(&self, key_hash: &KeyHash) -> Option<&Resource> {
        let name = self.tenants_by_key.get(key_hash)?;
        let kind = ResourceKind::Tenant;
        self.resources.get(&ResourceKey {
            kind,
            name: name.to_string(),
        })
    }

    /// The changes after a revision, or `None` when they are no longer all kept.
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

    /// Rebuilds what is derived, after the store was read from a snapshot.
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

    /// Two tenants with one key could not be told apart.
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

/// JSON has no maps with structured keys; the resources carry their keys themselves.
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
