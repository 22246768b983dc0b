//! Whether this router has a network path to the back ends of a pool.
//!
//! A router whose attempt at a back end fails cannot tell from it whether the back end is down or the router itself is cut
//! off. It therefore tries to reach other back ends of the pool. If it reaches none of them, its own path is presumed
//! lost: its callers are better served by another router.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::seq::IteratorRandom;

use super::endpoint::Endpoint;
use super::summary::NameHash;
use super::{InstanceId, RouterCore};
use crate::PoolName;

/// Back ends that a check tries to reach at the same time.
const WITNESSES: usize = 4;
/// A path that was found open is not checked again for this long.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A back end that became unreachable within this time may have done so for the same reason as another one.
const RECENT_FAILURE: Duration = Duration::from_secs(1);

/// A back end that a check of a path tries to reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witness {
    /// The back end.
    pub instance: InstanceId,
    /// Its address, IP:PORT.
    pub address: String,
    /// Number of connections that this router may have open to it.
    pub connections: usize,
}

/// A check of the path to a pool: the path is open if any of the witnesses accepts a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathCheck {
    /// The pool.
    pub pool: PoolName,
    /// The back ends to reach.
    pub witnesses: Vec<Witness>,
}

/// The result of a check that changed what is known of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// No witness was reached.
    Lost,
    /// A witness was reached again, this long after the path was lost.
    Regained(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    is_being_checked: bool,
    /// When the path was found lost; `None` while it is open.
    lost_at: Option<Timestamp>,
    /// When a check last reached a witness.
    reached_at: Option<Timestamp>,
}

/// The paths of one router, by pool. Pools without an entry have never been in doubt.
#[derive(Debug, Default)]
pub(super) struct Paths(BTreeMap<PoolName, Path>);

impl Paths {
    pub fn is_lost(&self, pool: &PoolName) -> bool {
        self.0.get(pool).is_some_and(|path| path.lost_at.is_some())
    }

    pub fn is_being_checked(&self, pool: &PoolName) -> bool {
        self.0.get(pool).is_some_and(|path| path.is_being_checked)
    }

    /// Whether a back end has sent nothing since the path to its pool was lost.
    pub fn cuts_off(&self, endpoint: &Endpoint) -> bool {
        let pool = PoolName::new(endpoint.record.pool.as_str());
        let lost_at = self.0.get(&pool).and_then(|path| path.lost_at);
        lost_at.is_some_and(|lost_at| endpoint.last_received_at.get() < lost_at)
    }

    fn begin_check(&mut self, now: Timestamp, pool: &PoolName) -> bool {
        let path = self.0.entry(pool.clone()).or_default();
        let is_known = path
            .reached_at
            .is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        if path.is_being_checked || is_known {
            return false;
        }
        path.is_being_checked = true;
        true
    }

    fn end_check(&mut self, now: Timestamp, pool: &PoolName, reached: bool) -> Option<PathChange> {
        let path = self.0.entry(pool.clone()).or_default();
        path.is_being_checked = false;
        if reached {
            path.reached_at = Some(now);
            let lost_at = path.lost_at.take()?;
            return Some(PathChange::Regained(now.since(lost_at)));
        }
        if path.lost_at.is_some() {
            return None;
        }
        path.lost_at = Some(now);
        Some(PathChange::Lost)
    }
}

impl RouterCore {
    /// Begins a check of the path to the pool of a back end that could not be reached. Returns `None` if the path is
    /// already being checked, or was found open a moment ago.
    pub fn begin_path_check(
        &mut self,
        now: Timestamp,
        unreached: &InstanceId,
    ) -> Option<PathCheck> {
        let record = &self.endpoints.get(unreached)?.record;
        let pool = PoolName::new(record.pool.as_str());
        self.begin_check(now, pool, Some(unreached))
    }

    /// Begins another check of a path that is lost.
    pub fn begin_path_recheck(&mut self, now: Timestamp, pool: &PoolName) -> Option<PathCheck> {
        self.begin_check(now, pool.clone(), None)
    }

    fn begin_check(
        &mut self,
        now: Timestamp,
        pool: PoolName,
        unreached: Option<&InstanceId>,
    ) -> Option<PathCheck> {
        if !self.paths.begin_check(now, &pool) {
            return None;
        }
        let witnesses = self.witnesses(&pool, unreached);
        Some(PathCheck { pool, witnesses })
    }

    /// Records whether a check reached any witness.
    pub fn end_path_check(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        reached: bool,
    ) -> Option<PathChange> {
        let change = self.paths.end_check(now, pool, reached);
        match change {
            Some(PathChange::Lost) => self.forget_suspects(pool),
            Some(PathChange::Regained(_)) => self.endpoints.forget_failures(pool),
            None => {}
        }
        change
    }

    /// True while this router reaches no back end of the pool.
    pub fn has_lost_path(&self, pool: &PoolName) -> bool {
        self.paths.is_lost(pool)
    }

    /// The pools that have back ends.
    pub fn pools_with_back_ends(&self) -> BTreeSet<PoolName> {
        let endpoints = self.endpoints.iter();
        let names = endpoints.map(|(_, endpoint)| endpoint.record.pool.as_str());
        let names: BTreeSet<&str> = names.collect();
        names.into_iter().map(PoolName::new).collect()
    }

    /// True while this router reaches no back end of some pool.
    pub fn has_lost_any_path(&self) -> bool {
        self.paths.0.values().any(|path| path.lost_at.is_some())
    }

    /// True while the path to some pool that has back ends is not lost. A router without any back ends counts as having
    /// one: it has no reason to send its callers elsewhere.
    pub fn has_any_path(&self) -> bool {
        let pools = self.pools_with_back_ends();
        pools.is_empty() || !pools.iter().all(|pool| self.paths.is_lost(pool))
    }

    /// Back ends without earlier failures in the pool of one that refused this router, to compare it with. Empty while the path to
    /// the pool is lost; `None` if there is none.
    pub fn sound_witnesses(
        &mut self,
        now: Timestamp,
        refusing: &InstanceId,
    ) -> Option<Vec<Witness>> {
        let pool = PoolName::new(self.endpoints.get(refusing)?.record.pool.as_str());
        if self.paths.is_lost(&pool) {
            return Some(Vec::new());
        }
        let is_sound =
            |id: &InstanceId, endpoint: &Endpoint| id != refusing && endpoint.is_reachable();
        let mut witnesses = self.choose_witnesses(&pool, is_sound);
        if witnesses.is_empty() {
            // When a path is lost, other attempts may have failed at all of them before it is known.
            witnesses = self.choose_witnesses(&pool, |id, endpoint| {
                id != refusing && endpoint.became_unreachable_within(now, RECENT_FAILURE)
            });
        }
        (!witnesses.is_empty()).then_some(witnesses)
    }

    /// Back ends of a pool that are worth a check: others than the unreached one without failures, else any others, else
    /// that one.
    fn witnesses(&mut self, pool: &PoolName, unreached: Option<&InstanceId>) -> Vec<Witness> {
        let is_other = |id: &InstanceId| Some(id) != unreached;
        let is_sound =
            |id: &InstanceId, endpoint: &Endpoint| is_other(id) && endpoint.is_reachable();
        let mut witnesses = self.choose_witnesses(pool, is_sound);
        if witnesses.is_empty() {
            witnesses = self.choose_witnesses(pool, |id, _| is_other(id));
        }
        if witnesses.is_empty() {
            witnesses = self.choose_witnesses(pool, |_, _| true);
        }
        witnesses
    }

    /// Some of the ready back ends of a pool that meet a condition.
    fn choose_witnesses(
        &mut self,
        pool: &PoolName,
        is_eligible: impl Fn(&InstanceId, &Endpoint) -> bool,
    ) -> Vec<Witness> {
        let document = self.view.document();
        let max_connections = document
            .and_then(|document| document.pool(pool))
            .map_or(0, |pool| pool.max_connections);
        let connections = self.connections(max_connections);
        let in_pool = NameHash::of(pool.as_str());
        let eligible = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.summary.is_ready
                && endpoint.summary.pool == in_pool
                && is_eligible(id, endpoint)
        });
        let chosen = eligible.choose_multiple(&mut self.random, WITNESSES);
        let witnesses = chosen.into_iter().map(|(id, endpoint)| Witness {
            instance: id.clone(),
            address: endpoint.record.address.as_str().to_owned(),
            connections,
        });
        witnesses.collect()
    }
}

#[cfg(test)]
#[path = "paths_tests.rs"]
mod tests;
