//! Messages between control machines, and the division of tenant limits.

use drumshore_consensus::{Directory, Envelope, ReplicaId};
use drumshore_core::{ResourceKey, ResourceKind, TenantLimits, TenantName};
use drumshore_wire::{List, Message, Text, UsageAllotment, UsageRecord, UsageReport};

use super::{ControlCore, Effect};
use crate::allotment::Demand;
use crate::subscription::ConnectionId;

/// Rates are sent in tenths of a request per second.
const RATE_UNIT: f64 = 10.0;

impl<D: Directory> ControlCore<D> {
    /// Handles a message from another control machine.
    pub fn on_control_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Consensus(blob) => {
                if let Ok(envelope) = Envelope::decode(&blob.bytes) {
                    // The connection authenticates the sender; the envelope must name the same one.
                    if envelope.from == from {
                        self.replica.raft_mut().step(envelope);
                    }
                }
            }
            Message::Forward(blob) => self.on_forwarded(blob.bytes),
            Message::Usage(usage) => {
                self.replica_demands.report(from, demands(&usage));
            }
            Message::Allotment(allotment) => self.divide_among_routers(&allotment),
            Message::RelayedBookings(bookings) => self.on_relayed_bookings(&bookings),
            // The other messages are exchanged only with routers.
            _ => {}
        }
    }

    /// Records the usage by tenant that a router reported.
    pub(super) fn on_router_usage(&mut self, connection: ConnectionId, usage: &UsageReport) {
        self.router_demands.report(connection, demands(usage));
    }

    /// Reports the total demand of this machine's routers to the leader.
    pub(super) fn report_usage(&mut self) {
        let records: Vec<UsageRecord> = self
            .router_demands
            .totals()
            .map(|(tenant, demand)| to_usage_record(tenant, demand))
            .collect();
        let own = UsageReport {
            records: List::new(records),
        };
        let id = self.id();
        match self.replica.raft().leader() {
            Some(leader) if leader == id => self.replica_demands.report(id, demands(&own)),
            Some(leader) => {
                self.effects
                    .push(Effect::ToControl(leader, Message::Usage(own)));
            }
            None => {}
        }
    }

    /// On the leader: divides the limits of tenants that are near one among control machines.
    pub(super) fn divide_limits(&mut self) {
        let members: Vec<ReplicaId> = self
            .replica
            .raft()
            .membership()
            .members()
            .iter()
            .map(|member| member.id)
            .collect();
        for member in members {
            let allotment = self.allotment_of_replica(member);
            if member == self.id() {
                self.divide_among_routers(&allotment);
            } else {
                self.effects
                    .push(Effect::ToControl(member, Message::Allotment(allotment)));
            }
        }
    }

    fn allotment_of_replica(&self, member: ReplicaId) -> UsageAllotment {
        let near = self
            .replica_demands
            .near_limit(|tenant| self.limits_of(tenant));
        let mut records = Vec::new();
        for (tenant, limits) in near {
            let shares = self.replica_demands.shares(tenant, limits);
            let share = shares.into_iter().find(|(party, _)| *party == member);
            records.extend(share.map(|(_, demand)| to_usage_record(tenant, demand)));
        }
        UsageAllotment {
            records: List::new(records),
        }
    }

    fn divide_among_routers(&mut self, allotment: &UsageAllotment) {
        for connection in self.subscriptions.keys() {
            let mut records = Vec::new();
            for (tenant, limits) in allotment.records.items.iter().map(parse_usage_record) {
                let shares = self.router_demands.shares(&tenant, limits);
                let share = shares.into_iter().find(|(party, _)| party == connection);
                records.extend(share.map(|(_, demand)| to_usage_record(&tenant, demand)));
            }
            let own = UsageAllotment {
                records: List::new(records),
            };
            self.effects
                .push(Effect::ToRouter(*connection, Message::Allotment(own)));
        }
    }

    fn limits_of(&self, tenant: &TenantName) -> Option<TenantLimits> {
        let key = ResourceKey {
            kind: ResourceKind::Tenant,
            name: tenant.to_string(),
        };
        let resource = self.state.store.get(&key)?;
        resource.as_tenant().map(|(_, spec)| spec.limits.clone())
    }
}

fn to_usage_record(tenant: &TenantName, demand: Demand) -> UsageRecord {
    UsageRecord {
        tenant: Text::new(tenant.as_str()),
        rate: (demand.rate * RATE_UNIT).round() as u32,
        open: demand.open.round() as u32,
    }
}

fn parse_usage_record(record: &UsageRecord) -> (TenantName, Demand) {
    let demand = Demand {
        rate: f64::from(record.rate) / RATE_UNIT,
        open: f64::from(record.open),
    };
    (TenantName::new(record.tenant.as_str()), demand)
}

fn demands(usage: &UsageReport) -> Vec<(TenantName, Demand)> {
    usage.records.items.iter().map(parse_usage_record).collect()
}
