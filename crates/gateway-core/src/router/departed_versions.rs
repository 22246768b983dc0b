//! The software versions that left their pools, as a router knows them.
//!
//! Control machines report them with each change of the view, so a router knows them from its start on. Those of earlier
//! builds do not: while a router follows one, it knows only what it has observed itself.

use std::collections::HashMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::endpoint::Endpoint;
use super::summary::{NameHash, Summary};
use super::RouterCore;
use crate::{
    Changes, DepartedVersion, InstanceId, PoolName, SoftwareKey, SoftwareVersion,
    MAX_STREAM_LIFETIME,
};

/// A version may have come and left unseen since a view was confirmed, if that is longer ago.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);
/// Versions that left a pool and are remembered; the oldest are forgotten first.
const MAX_OBSERVED: usize = 64;

/// A software version that a back end of a pool ran until `at`.
#[derive(Clone, Copy, Debug)]
struct Departed {
    pool: NameHash,
    software: SoftwareKey,
    at: Timestamp,
}

/// The software versions that back ends which are gone ran.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedVersions {
    observed: Vec<Departed>,
    /// Since when no version can have left unseen, or be forgotten.
    observed_since: Option<Timestamp>,
    /// What left within the life of a stream, as the control machine says that sent the last changes; `None` if it does
    /// not know.
    reported: Option<Vec<(NameHash, SoftwareKey)>>,
}

impl DepartedVersions {
    /// For how long this router has observed which versions leave.
    pub fn observed_for(&self, now: Timestamp) -> Duration {
        let since = self.observed_since.unwrap_or(now);
        now.since(since)
    }

    /// Whether all versions are known that left within the life of a stream.
    pub fn are_complete(&self, now: Timestamp) -> bool {
        self.reported.is_some() || self.observed_for(now) > MAX_STREAM_LIFETIME
    }

    /// The versions that a stream may have begun at which still lasts.
    pub fn within_lifetime(
        &self,
        now: Timestamp,
        pool: NameHash,
    ) -> impl Iterator<Item = SoftwareKey> + '_ {
        let observed = self.observed.iter();
        let recent = observed
            .filter(move |item| item.pool == pool && now.since(item.at) <= MAX_STREAM_LIFETIME);
        let reported = self.reported.iter().flatten();
        let reported = reported.filter(move |(of_pool, _)| *of_pool == pool);
        let reported = reported.map(|(_, software)| *software);
        recent.map(|item| item.software).chain(reported)
    }

    fn set_reported(&mut self, changes: &Changes) {
        let reported = changes.departed.as_ref();
        self.reported = reported.map(|departed| {
            let key = |item: &DepartedVersion| {
                let pool = PoolName::new(item.pool.as_str());
                let software = SoftwareKey::of(&pool, &item.software);
                (NameHash::of(pool.as_str()), software)
            };
            departed.items.iter().map(key).collect()
        });
    }

    /// Records the version of a back end that is gone or runs another one. `later` is the version that it runs from now
    /// on, if it is not gone.
    fn note_change(&mut self, at: Timestamp, endpoint: &Endpoint, later: Option<&SoftwareVersion>) {
        let earlier = &endpoint.record.software;
        // A back end whose version was not recorded before ran the same one.
        let departs = later.is_none_or(|later| later != earlier && earlier.is_declared());
        if departs {
            let Summary { pool, software, .. } = endpoint.summary;
            self.note(at, pool, software);
        }
    }

    fn note(&mut self, at: Timestamp, pool: NameHash, software: SoftwareKey) {
        self.observed
            .retain(|departed| departed.software != software);
        if self.observed.len() >= MAX_OBSERVED {
            self.observed.remove(0);
            self.observed_since = Some(at);
        }
        self.observed.push(Departed { pool, software, at });
    }
}

impl RouterCore {
    /// A version may have come and left since the view was confirmed, if that is some time ago; called before changes are
    /// applied.
    pub(super) fn note_observation(&mut self, now: Timestamp) {
        let is_current = self.view_age(now).is_some_and(|age| age <= MAX_VIEW_AGE);
        if !is_current {
            self.departed_versions.observed_since = Some(now);
        }
    }

    /// Records the versions of back ends that changes remove or replace; called before the changes are applied.
    pub(super) fn note_departed_versions(&mut self, now: Timestamp, changes: &Changes) {
        self.departed_versions.set_reported(changes);
        let changed = changes.instances.items.iter();
        let later: HashMap<&str, &SoftwareVersion> = changed
            .map(|record| (record.instance.as_str(), &record.software))
            .collect();
        if changes.since == 0 {
            for (id, endpoint) in self.endpoints.iter() {
                let later = later.get(id.as_str()).copied();
                self.departed_versions.note_change(now, endpoint, later);
            }
            return;
        }
        let removed = changes.removed.items.iter();
        let removed = removed.map(|name| (name.as_str(), None));
        let changed = later.iter().map(|(name, later)| (*name, Some(*later)));
        for (name, later) in removed.chain(changed) {
            if let Some(endpoint) = self.endpoints.get(&InstanceId::new(name)) {
                self.departed_versions.note_change(now, endpoint, later);
            }
        }
    }
}
