//! Lease between leaders on orders, tracked for each back end.
//!
//! Two control machines must not send orders to the same back end within one lease. A leader sends
//! an order only after the start of the load is committed, and a successor that a quorum has
//! confirmed has applied all committed entries. Hence only back ends whose loads were started by
//! other leaders may have received orders from them; all others are free.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::ControlCore;
use crate::{InstanceRecord, ReplicatedState};

/// Latest time at which another leader may have sent an order to each back end, as this machine
/// applied it.
#[derive(Debug, Default)]
pub(super) struct OrderLeases(BTreeMap<String, Timestamp>);

impl OrderLeases {
    /// Another leader may have sent an order until now.
    pub fn record_order(&mut self, now: Timestamp, instance: &str) {
        self.0.insert(instance.to_owned(), now);
    }

    /// True if no order of another leader can be younger than the lease.
    pub fn is_free(&self, now: Timestamp, lease: Duration, instance: &str) -> bool {
        let ordered = self.0.get(instance);
        ordered.is_none_or(|at| now.since(*at) >= lease)
    }

    /// Removes back ends that are no longer registered.
    pub fn forget_removed(&mut self, state: &ReplicatedState) {
        self.0.retain(|name, _| state.instance(name).is_some());
    }
}

impl<D: Directory> ControlCore<D> {
    /// Handles a load that another leader, or this one in an earlier term, has started or ended.
    pub(super) fn record_foreign_order(&mut self, instance: &str) {
        self.order_leases.record_order(self.now, instance);
    }

    /// Called by a new leader: others may have sent orders to all back ends that are loading.
    pub(super) fn record_orders_in_progress(&mut self) {
        self.record_foreign_orders_where(InstanceRecord::is_loading);
    }

    /// A snapshot does not contain the start times of loads: others may have sent an order to any
    /// back end.
    pub(super) fn record_orders_before_snapshot(&mut self) {
        self.record_foreign_orders_where(|_| true);
    }

    fn record_foreign_orders_where(&mut self, matches: impl Fn(&InstanceRecord) -> bool) {
        let records = self.state.instances();
        for record in records.filter(|record| matches(record)) {
            self.order_leases
                .record_order(self.now, record.instance.as_str());
        }
    }
}
