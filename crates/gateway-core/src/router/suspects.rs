//! What this router tells the others of back ends that do not respond or refuse requests, and what they tell it.

use drumshore_core::Timestamp;

use super::RouterCore;
use crate::{InstanceId, LoadEntry, PoolName};

/// A back end that this router found unresponsive or crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// See [`LoadEntry::key_of`].
    key: u32,
    pub pool: PoolName,
}

/// Maximum number of unresponsive back ends, and of refusing ones, that wait to be reported to the leader.
const MAX_PENDING_SUSPECTS: usize = 64;

impl RouterCore {
    /// A back end refused a request. One that asked for a backoff addressed this router only: if the other routers avoided
    /// it too, they would overload the rest of the pool.
    pub(super) fn on_refused(&mut self, now: Timestamp, instance: &InstanceId) {
        let is_for_all = self.endpoints.notices_allow_requests(now, instance);
        if is_for_all && self.refusing.len() < MAX_PENDING_SUSPECTS {
            self.refusing.push(LoadEntry::key_of(instance.as_str()));
        }
    }

    /// Adds a back end to those to report, unless its failure is this router's own: it has lost its path there.
    pub(super) fn suspect(&mut self, instance: &InstanceId) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let (key, pool) = (endpoint.key, PoolName::new(endpoint.record.pool.as_str()));
        if self.suspects.len() < MAX_PENDING_SUSPECTS && !self.paths.is_lost(&pool) {
            self.suspects.push(Suspect { key, pool });
        }
    }

    /// Does not report the back ends of a pool that this router found unresponsive: the cause is its own path.
    pub fn forget_suspects(&mut self, pool: &PoolName) {
        self.suspects.retain(|suspect| suspect.pool != *pool);
    }

    /// Avoids a back end that does not respond at the moment, without reporting it.
    pub fn avoid(&mut self, now: Timestamp, instance: &InstanceId) {
        self.endpoints.avoid(now, instance);
    }

    /// Uses a back end again that has proved reachable.
    pub fn stop_avoiding(&mut self, instance: &InstanceId) {
        self.endpoints.stop_avoiding(instance);
    }

    /// A back end has accepted no connection while requests were in flight there: it is avoided, and reported to the
    /// other routers.
    pub fn on_silent(&mut self, now: Timestamp, instance: &InstanceId) {
        self.endpoints.on_crashed(now, instance);
        self.suspect(instance);
    }

    /// Takes the back ends that this router found unresponsive or crashed and has not reported yet. Those of a pool whose
    /// path is being checked wait for the result.
    pub fn take_suspects(&mut self) -> Vec<u32> {
        let paths = &self.paths;
        let (waiting, due) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect| paths.is_being_checked(&suspect.pool));
        self.suspects = waiting;
        let due: Vec<Suspect> = due;
        due.into_iter().map(|suspect| suspect.key).collect()
    }

    /// Takes the back ends that refused this router's requests and that it has not reported yet.
    pub fn take_refusing(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.refusing)
    }

    /// Avoids, for a short time, back ends that refused requests of other routers.
    pub fn on_refusing(&mut self, now: Timestamp, keys: &[u32]) {
        self.endpoints.on_refusing(now, keys);
    }

    /// Avoids back ends that another router found unresponsive, unless this router received data from them recently.
    /// Returns those that it avoids.
    pub fn on_suspects(&mut self, now: Timestamp, keys: &[u32]) -> Vec<InstanceId> {
        self.endpoints.on_suspects(now, keys)
    }
}
