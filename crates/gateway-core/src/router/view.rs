//! A router's view of the replicated state, and when the view was last confirmed as current.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::held_configuration::HeldConfiguration;
use crate::{
    Changes, ConfigurationHash, Document, FingerprintKey, InstanceRecord, InvalidDocument,
    PatchError, Position, Route, Tenant,
};

/// Error for changes that cannot be applied to the view.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// The changes begin after the held revision, or do not lead beyond it.
    #[error("changes from revision {since} to {revision} cannot be applied to revision {held}")]
    Gap {
        /// The revision at which the changes begin.
        since: u64,
        /// The revision to which the changes lead.
        revision: u64,
        /// The revision that this router holds.
        held: u64,
    },
    /// The configuration in the changes is a patch that cannot be applied.
    #[error(transparent)]
    Patch(#[from] PatchError),
    /// The configuration in the changes is invalid.
    #[error(transparent)]
    Document(#[from] InvalidDocument),
}

/// Confirmations kept for revisions that have not arrived yet; the oldest are dropped first.
const MAX_PENDING_CONFIRMATIONS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct TargetVersion {
    version: u64,
    received: Timestamp,
    /// How long ago the version was set when the notice arrived. This may be before this process started.
    age: Duration,
}

/// A router's view of the replicated state.
#[derive(Debug, Default)]
pub(super) struct View {
    revision: u64,
    /// See [`Position::source_revision`].
    source_revision: u64,
    /// Whether the last changes were a part of those that their sender had. What changed again since then is in neither the
    /// earlier state nor this part.
    is_partial: bool,
    /// When the latest request was sent whose answer confirmed the held revision as current.
    confirmed: Option<Timestamp>,
    /// Confirmations of revisions that have not arrived yet, each with the time of its request.
    pending_confirmations: Vec<(u64, Timestamp)>,
    configuration: HeldConfiguration,
    document: Option<Document>,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Tenants by key.
    tenants: HashMap<String, Rc<Tenant>>,
    instances: BTreeMap<String, Rc<InstanceRecord>>,
    /// Target versions of the weights by model, in the order in which they were received.
    target_versions: HashMap<String, Vec<TargetVersion>>,
    fingerprint_key: Option<FingerprintKey>,
}

impl View {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn position(&self) -> Position {
        Position {
            held: self.revision,
            source_revision: self.source_revision,
        }
    }

    /// What control machines may base a patch of the configuration on.
    pub fn patch_base(&self) -> Option<ConfigurationHash> {
        self.configuration.patch_base()
    }

    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// Whether this view holds all that was accepted up to `at`.
    pub fn is_confirmed_after(&self, at: Timestamp) -> bool {
        !self.is_partial && self.confirmed.is_some_and(|asked_at| asked_at > at)
    }

    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    pub fn has_tenants(&self) -> bool {
        let document = self.document.as_ref();
        document.is_some_and(|document| !document.tenants.is_empty())
    }

    pub fn tenant(&self, key: &str) -> Option<Rc<Tenant>> {
        self.tenants.get(key).cloned()
    }

    pub fn instances(&self) -> impl Iterator<Item = &Rc<InstanceRecord>> {
        self.instances.values()
    }

    pub fn instance(&self, instance: &str) -> Option<&Rc<InstanceRecord>> {
        self.instances.get(instance)
    }

    pub fn fingerprint_key(&self) -> Option<&FingerprintKey> {
        self.fingerprint_key.as_ref()
    }

    /// The route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host)?;
        let mut routes = routes.iter();
        routes
            .find(|route| path.starts_with(route.path_prefix.as_str()))
            .cloned()
    }

    /// The oldest version of a model's weights on which a request may begin; 0 when any may be used.
    pub fn required_version(&self, model: &str, now: Timestamp, grace: std::time::Duration) -> u64 {
        let target_versions = self.target_versions.get(model).into_iter().flatten();
        target_versions
            .filter(|target| now.since(target.received) + target.age >= grace)
            .map(|target| target.version)
            .max()
            .unwrap_or(0)
    }

    /// The newest version of a model's weights, if it was named less than `age` ago.
    pub fn named_within(&self, model: &str, now: Timestamp, age: Duration) -> Option<u64> {
        let newest = self.target_versions.get(model)?.last()?;
        (now.since(newest.received) + newest.age < age).then_some(newest.version)
    }

    /// A quorum confirmed that nothing newer than `revision` was accepted before `asked_at`.
    pub fn on_confirmed(&mut self, asked_at: Timestamp, revision: u64) {
        if revision <= self.revision {
            self.confirmed = self.confirmed.max(Some(asked_at));
        } else {
            // A later confirmation supersedes earlier ones of the same or a newer revision.
            self.pending_confirmations
                .retain(|(needed, _)| *needed < revision);
            if self.pending_confirmations.len() == MAX_PENDING_CONFIRMATIONS {
                self.pending_confirmations.remove(0);
            }
            self.pending_confirmations.push((revision, asked_at));
        }
    }

    /// Applies changes. A view never goes back: changes that do not lead beyond the held revision are rejected,
    /// whichever control machine sends them.
    pub fn apply(
        &mut self,
        now: Timestamp,
        changes: &Changes,
        parse: impl FnOnce(&[u8]) -> Result<Document, InvalidDocument>,
    ) -> Result<(), ViewError> {
        let follows = changes.since <= self.revision && changes.revision > self.revision;
        if !follows {
            return Err(ViewError::Gap {
                since: changes.since,
                revision: changes.revision,
                held: self.revision,
            });
        }
        if let Some(body) = self.configuration.body_in(changes)? {
            let document = parse(&body)?;
            self.set_document(document);
            self.configuration.set(body);
        }
        if changes.since == 0 {
            self.instances.clear();
            self.source_revision = changes.newest;
        }
        for removed in &changes.removed.items {
            self.instances.remove(removed.as_str());
        }
        for record in &changes.instances.items {
            let name = record.instance.as_str().to_owned();
            self.instances.insert(name, Rc::new(record.clone()));
        }
        if let Some(key) = changes.fingerprint_key.items.first() {
            self.fingerprint_key = Some(key.clone());
        }
        self.record_weights(now, changes);
        self.revision = changes.revision;
        self.is_partial = changes.revision < changes.newest;
        self.apply_pending_confirmations();
        Ok(())
    }

    fn record_weights(&mut self, now: Timestamp, changes: &Changes) {
        /// Target versions kept per model, enough to cover those set within the grace period.
        const MAX_TARGET_VERSIONS: usize = 16;
        for weights in &changes.weights.items {
            let target_versions = self
                .target_versions
                .entry(weights.model.as_str().to_owned())
                .or_default();
            target_versions.push(TargetVersion {
                version: weights.version,
                received: now,
                age: Duration::from_millis(u64::from(weights.age_ms)),
            });
            if target_versions.len() > MAX_TARGET_VERSIONS {
                target_versions.remove(0);
            }
        }
    }

    fn apply_pending_confirmations(&mut self) {
        let revision = self.revision;
        let latest = self
            .pending_confirmations
            .iter()
            .filter(|(needed, _)| *needed <= revision)
            .map(|(_, asked_at)| *asked_at)
            .max();
        self.pending_confirmations
            .retain(|(needed, _)| *needed > revision);
        self.confirmed = self.confirmed.max(latest);
    }

    fn set_document(&mut self, document: Document) {
        self.routes.clear();
        for route in &document.routes {
            let routes = self.routes.entry(route.host.clone()).or_default();
            routes.push(Rc::new(route.clone()));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        self.tenants.clear();
        for tenant in &document.tenants {
            let shared = Rc::new(tenant.clone());
            for key in &tenant.keys {
                self.tenants.insert(key.clone(), Rc::clone(&shared));
            }
        }
        self.document = Some(document);
    }
}

#[cfg(test)]
#[path = "view_tests.rs"]
mod tests;
