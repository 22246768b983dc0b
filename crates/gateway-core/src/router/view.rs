//! What a router knows of the replicated state, and when it was surely current.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::{
    Changes, Document, FingerprintKey, InstanceRecord, InvalidDocument, Position, Route, Tenant,
};

/// Why changes are not taken in.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// They follow on a revision that this router does not have, or lead back.
    #[error("changes from {since} to {revision} do not follow on {held}")]
    Gap {
        /// Where they begin.
        since: u64,
        /// Where they lead.
        revision: u64,
        /// What is held.
        held: u64,
    },
    /// The configuration in them cannot be read.
    #[error(transparent)]
    Document(#[from] InvalidDocument),
}

/// Confirmations of revisions that have not arrived; the oldest give way.
const MOST_AWAITED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    received: Timestamp,
    /// How old the name was when it arrived; it may be older than this process.
    age: Duration,
}

/// The replicated state as a router has it.
#[derive(Debug, Default)]
pub(super) struct View {
    revision: u64,
    /// See [`Position::source_revision`].
    source_revision: u64,
    confirmed: Option<Timestamp>,
    /// Confirmations of revisions that have not arrived yet.
    awaiting: Vec<(u64, Timestamp)>,
    document: Option<Document>,
    routes: HashMap<String, Vec<Rc<Route>>>,
    tenants: HashMap<String, Rc<Tenant>>,
    instances: BTreeMap<String, Rc<InstanceRecord>>,
    named: HashMap<String, Vec<Named>>,
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

    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
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

    /// The route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host)?;
        let mut routes = routes.iter();
        routes
            .find(|route| path.starts_with(route.path_prefix.as_str()))
            .cloned()
    }

    /// The oldest version that a request may begin on.
    pub fn required_version(&self, model: &str, now: Timestamp, grace: std::time::Duration) -> u64 {
        let named = self.named.get(model).into_iter().flatten();
        named
            .filter(|named| now.since(named.received) + named.age >= grace)
            .map(|named| named.version)
            .max()
            .unwrap_or(0)
    }

    pub fn on_confirmed(&mut self, asked: Timestamp, revision: u64) {
        if revision <= self.revision {
            self.confirmed = self.confirmed.max(Some(asked));
        } else {
            // A later answer that needs no more makes up for earlier ones.
            self.awaiting.retain(|(needed, _)| *needed < revision);
            if self.awaiting.len() == MOST_AWAITED {
                self.awaiting.remove(0);
            }
            self.awaiting.push((revision, asked));
        }
    }

    /// A view never leads back: what is older than what is held is refused, whoever sends it.
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
        if let Some(body) = changes.configuration.items.first() {
            let document = parse(&body.bytes)?;
            self.set_document(document);
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
        self.note_weights(now, changes);
        self.revision = changes.revision;
        self.settle_confirmations();
        Ok(())
    }

    fn note_weights(&mut self, now: Timestamp, changes: &Changes) {
        /// Enough versions to cover those named within the grace period.
        const REMEMBERED: usize = 16;
        for weights in &changes.weights.items {
            let named = self
                .named
                .entry(weights.model.as_str().to_owned())
                .or_default();
            named.push(Named {
                version: weights.version,
                received: now,
                age: Duration::from_millis(u64::from(weights.age_ms)),
            });
            if named.len() > REMEMBERED {
                named.remove(0);
            }
        }
    }

    fn settle_confirmations(&mut self) {
        let revision = self.revision;
        let settled = self
            .awaiting
            .iter()
            .filter(|(needed, _)| *needed <= revision)
            .map(|(_, asked)| *asked)
            .max();
        self.awaiting.retain(|(needed, _)| *needed > revision);
        self.confirmed = self.confirmed.max(settled);
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
