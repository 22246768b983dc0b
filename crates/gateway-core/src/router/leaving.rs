//! Which back ends leave, as far as a router knows: by its view of the replicated state, or by their answers.

use std::collections::BTreeSet;

use drumshore_core::Timestamp;

use super::RouterCore;
use crate::{Changes, InstanceId, InstanceRecord, Lifecycle};

/// How a router knows that a back end gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Leave {
    /// The back end announced it in an answer to this router.
    #[error("announced")]
    Announced,
    /// The view says that the back end drains.
    #[error("draining")]
    Draining,
    /// The view does not contain the back end.
    #[error("removed")]
    Removed,
}

impl RouterCore {
    /// How this router knows that a back end leaves or is gone; `None` while it serves.
    pub fn leave(&self, now: Timestamp, instance: &InstanceId) -> Option<Leave> {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return Some(Leave::Removed);
        };
        if endpoint.record.lifecycle == Lifecycle::Draining {
            return Some(Leave::Draining);
        }
        let announced = endpoint.notices.announced_leaving(now);
        announced.then_some(Leave::Announced)
    }

    /// True while a back end is known and does not leave. A shutdown after it was known to leave is planned, so it is
    /// no evidence against the requests in flight there.
    pub fn is_serving(&self, now: Timestamp, instance: &InstanceId) -> bool {
        self.leave(now, instance).is_none()
    }

    /// When the process that runs a back end started, in Unix milliseconds of the back end's clock; 0 if the view does
    /// not say.
    pub fn start_of(&self, instance: &InstanceId) -> u64 {
        let endpoint = self.endpoints.get(instance);
        endpoint.map_or(0, |endpoint| endpoint.record.started_ms)
    }

    /// Whether the process that ran a back end has certainly ended: the view has a later start than `started_ms` for it,
    /// does not contain it any more, or has a later back end at its address.
    pub fn has_ended(&self, instance: &InstanceId, started_ms: u64) -> bool {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return true;
        };
        let ended = &endpoint.record;
        if ended.started_ms > started_ms {
            return true;
        }
        let is_later = |other: &InstanceRecord| {
            other.address == ended.address && other.registered > ended.registered
        };
        self.endpoints.has_shared_addresses()
            && self
                .endpoints
                .iter()
                .any(|(_, other)| is_later(&other.record))
    }

    /// False once a back end leaves or is gone, and while it asks this router to back off. A request that was assigned
    /// to it earlier and is still unsent must not be sent then.
    pub fn allows_requests(&self, now: Timestamp, instance: &InstanceId) -> bool {
        self.is_serving(now, instance) && self.endpoints.notices_allow_requests(now, instance)
    }

    /// The back ends that are ready in the view and that these changes, which are not applied yet, drain or remove.
    pub fn leaves_in(&self, changes: &Changes) -> Vec<(InstanceId, Leave)> {
        let records = changes.instances.items.iter();
        let draining = records.filter(|record| record.lifecycle == Lifecycle::Draining);
        let draining = draining.map(|record| InstanceId::new(record.instance.as_str()));
        let draining = draining.map(|id| (id, Leave::Draining));
        let removed = self.removed_by(changes).into_iter();
        let removed = removed.map(|id| (id, Leave::Removed));
        let all = draining.chain(removed);
        all.filter(|(id, _)| self.is_ready_in_view(id)).collect()
    }

    fn removed_by(&self, changes: &Changes) -> Vec<InstanceId> {
        if changes.since > 0 {
            let names = changes.removed.items.iter();
            return names.map(|name| InstanceId::new(name.as_str())).collect();
        }
        let records = changes.instances.items.iter();
        let kept: BTreeSet<&str> = records.map(|record| record.instance.as_str()).collect();
        let known = self.endpoints.iter().map(|(id, _)| id);
        let removed = known.filter(|id| !kept.contains(id.as_str()));
        removed.cloned().collect()
    }

    fn is_ready_in_view(&self, instance: &InstanceId) -> bool {
        let endpoint = self.endpoints.get(instance);
        endpoint.is_some_and(|endpoint| endpoint.record.lifecycle == Lifecycle::Ready)
    }
}

#[cfg(test)]
#[path = "leaving_tests.rs"]
mod tests;
