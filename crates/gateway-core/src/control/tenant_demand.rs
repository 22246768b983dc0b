//! Demand of tenants for pools that are nearly full, summed over all routers.
//!
//! Routers report what their callers ask of such a pool, by tenant. Only the leader keeps the sums,
//! and only in memory: a new leader starts without them and has them about a second later. While no
//! router reports, there is nothing to keep and nothing to send.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::ControlCore;
use crate::{DemandEntry, Message, PoolKey, TenantDemand, TenantKey};

/// Demand of this age counts 1/e (about a third) of current demand. A surge is thus known for the
/// most part within a second, and a tenant that asks once a second does not vanish in between.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// A tenant that asked for nothing for this long is forgotten, and so is a pool without tenants.
const FORGET_AFTER: Duration = Duration::from_secs(3);
/// Interval between updates to routers.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);
/// Updates of a pool end when no router has reported demand for it for this long.
const QUIET_AFTER: Duration = Duration::from_secs(1);
/// Bandwidth per router for demands, out of 14 KB/s for all control traffic. Longer updates are sent
/// less often.
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;
/// Tenants that are listed in one update, over all pools together. Smaller ones are sent as one sum.
const MAX_LISTED_TENANTS: usize = 64;
/// Tenants that are listed for a pool however many pools are nearly full.
const MIN_LISTED_TENANTS: usize = 4;
/// Size of an update about a pool without its tenants, with the header of its frame.
const FIXED_BYTES: usize = 36;

/// A rate that is measured over about [`DECAY_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct DemandRate {
    /// Exponentially decaying sum as of `updated`.
    cost: f64,
    updated: Timestamp,
}

#[derive(Debug, Default)]
struct PoolDemand {
    tenants: BTreeMap<TenantKey, DemandRate>,
    reported_at: Timestamp,
}

/// Demand by pool and tenant.
#[derive(Debug, Default)]
pub(super) struct TenantDemands {
    pools: BTreeMap<PoolKey, PoolDemand>,
    next_update: Timestamp,
}

impl DemandRate {
    fn add(&mut self, now: Timestamp, cost: f64) {
        self.cost = self.decayed(now) + cost;
        self.updated = self.updated.max(now);
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.cost * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    fn per_second(&self, now: Timestamp) -> u32 {
        (self.decayed(now) / DECAY_TIME.as_secs_f64()) as u32
    }
}

impl PoolDemand {
    /// Demands, the largest first.
    fn demands(&self, now: Timestamp) -> Vec<TenantDemand> {
        let demand = |(tenant, rate): (&TenantKey, &DemandRate)| TenantDemand {
            tenant: *tenant,
            cost_per_second: rate.per_second(now),
        };
        let mut demands: Vec<TenantDemand> = self.tenants.iter().map(demand).collect();
        demands.sort_by_key(|demand| Reverse(demand.cost_per_second));
        demands
    }

    fn message(&self, now: Timestamp, pool: PoolKey, max_listed: usize) -> Message {
        let mut demands = self.demands(now);
        let others = demands.split_off(demands.len().min(max_listed));
        let other_cost = others
            .iter()
            .map(|demand| u64::from(demand.cost_per_second))
            .sum::<u64>();
        Message::TenantDemands {
            pool,
            tenants: List::new(demands),
            other_tenants: others.len() as u32,
            other_cost_per_second: u32::try_from(other_cost).unwrap_or(u32::MAX),
        }
    }
}

impl TenantDemands {
    fn add(&mut self, now: Timestamp, entries: &[DemandEntry]) {
        for entry in entries {
            let pool = self.pools.entry(entry.pool).or_default();
            pool.reported_at = now;
            let rate = pool.tenants.entry(entry.tenant).or_default();
            rate.add(now, f64::from(entry.cost));
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        for pool in self.pools.values_mut() {
            pool.tenants
                .retain(|_, rate| now.since(rate.updated) < FORGET_AFTER);
        }
        self.pools.retain(|_, pool| !pool.tenants.is_empty());
    }

    /// The updates to send; empty if none is due.
    fn take_updates(&mut self, now: Timestamp) -> Vec<Message> {
        if self.pools.is_empty() || now < self.next_update {
            return Vec::new();
        }
        self.forget_old(now);
        let is_active = |pool: &&PoolDemand| now.since(pool.reported_at) < QUIET_AFTER;
        let active = self.pools.values().filter(is_active).count();
        let max_listed = (MAX_LISTED_TENANTS / active.max(1)).max(MIN_LISTED_TENANTS);
        let pools = self.pools.iter().filter(|(_, pool)| is_active(pool));
        let messages: Vec<Message> = pools
            .map(|(key, pool)| pool.message(now, *key, max_listed))
            .collect();
        let bytes = messages.len() * (FIXED_BYTES + max_listed * TenantDemand::BYTES);
        let interval = Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND);
        self.next_update = now.plus(interval.max(NOTIFY_INTERVAL));
        messages
    }
}

impl<D: Directory> ControlCore<D> {
    /// Adds the demand that a router reported.
    pub(super) fn on_demand_report(&mut self, entries: &[DemandEntry]) {
        if self.role() == Role::Leader {
            self.tenant_demands.add(self.now, entries);
        }
    }

    /// Sends routers the demand of tenants for pools that are nearly full.
    pub(super) fn broadcast_tenant_demands(&mut self) {
        for message in self.tenant_demands.take_updates(self.now) {
            self.broadcast_news(message, None);
        }
    }

    /// The largest demands of tenants for pools that are nearly full, as this leader knows them.
    /// Empty at other machines.
    pub fn largest_demands(&self, max: usize) -> Vec<(PoolKey, TenantDemand)> {
        if self.role() != Role::Leader {
            return Vec::new();
        }
        let pools = self.tenant_demands.pools.iter();
        let demands = pools.flat_map(|(key, pool)| {
            let demands = pool.demands(self.now).into_iter();
            demands.map(|demand| (*key, demand))
        });
        let mut demands: Vec<_> = demands.collect();
        demands.sort_by_key(|(_, demand)| Reverse(demand.cost_per_second));
        demands.truncate(max);
        demands
    }
}

#[cfg(test)]
#[path = "tenant_demand_tests.rs"]
mod tests;
