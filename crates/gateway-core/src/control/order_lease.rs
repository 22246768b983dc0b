//! The lease between leaders, kept for each back end.
//!
//! Two machines must not order one back end within the lease of one another's orders. A leader
//! orders a back end only once the start of its load is committed, and a successor that a quorum
//! has confirmed has applied all that was committed; so the back ends whose loads others have begun
//! are those that others may have ordered, and all others are free.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::ControlCore;
use crate::{InstanceRecord, ReplicatedState};

/// When other leaders may have ordered each back end last, as this machine applied it.
#[derive(Debug, Default)]
pub(super) struct OrderLeases(BTreeMap<String, Timestamp>);

impl OrderLeases {
    /// Another leader may have ordered a back end just now.
    pub fn note(&mut self, now: Timestamp, instance: &str) {
        self.0.insert(instance.to_owned(), now);
    }

    /// True when no order of another leader can be younger than the lease.
    pub fn is_free(&self, now: Timestamp, lease: Duration, instance: &str) -> bool {
        let ordered = self.0.get(instance);
        ordered.is_none_or(|at| now.since(*at) >= lease)
    }

    /// Forgets back ends that have gone.
    pub fn forget_gone(&mut self, state: &ReplicatedState) {
        self.0.retain(|name, _| state.instance(name).is_some());
    }
}

impl<D: Directory> ControlCore<D> {
    /// A load that another leader, or this one in an earlier term, has begun or ended.
    pub(super) fn note_order_of_others(&mut self, instance: &str) {
        self.order_leases.note(self.now, instance);
    }

    /// A new leader: others may have ordered all back ends that are loading now.
    pub(super) fn note_orders_under_way(&mut self) {
        self.note_orders_where(InstanceRecord::is_loading);
    }

    /// A state that came as a whole does not tell when its loads began: others may have ordered
    /// any back end.
    pub(super) fn note_orders_before_snapshot(&mut self) {
        self.note_orders_where(|_| true);
    }

    fn note_orders_where(&mut self, may_be_ordered: impl Fn(&InstanceRecord) -> bool) {
        let records = self.state.instances();
        for record in records.filter(|record| may_be_ordered(record)) {
            self.order_leases.note(self.now, record.instance.as_str());
        }
    }
}
