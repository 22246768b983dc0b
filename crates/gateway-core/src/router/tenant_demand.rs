//! Demand of tenants for pools that are nearly full: what this router reports, and what the leader tells of all
//! routers together.
//!
//! One router sees about one request a second of a tenant, too few to tell who asks for more than its fair share. It
//! therefore reports the cost of what its callers ask, before any of it is refused, and the leader sends the sums back.
//! Callers that return after a refusal count again: the fraction that must be refused counts them too, and a tenant
//! within its share has none.
//!
//! Error bound: a demand is known `lag` late (a report every 250 ms, an update every 500 ms, two network hops) and is
//! measured over about a second, with a relative standard deviation of `1 / sqrt(requests in that second)`. A tenant that
//! surges is treated like the others for `lag`, and is taken to surge about a second longer than it does. A tenant at the
//! fair level is refused up to the measurement's relative error too much or too little; one whose demand is below the
//! level by more than that is not refused. The tenants beyond those that the leader lists are treated as if each asked
//! for the mean of them. Demands that are older than [`DEMANDS_TTL`] are not used: all tenants are then refused alike.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::fair_share::{fair_level, Demand};
use super::overload::{refused_fraction, CostByUrgency, Urgency};
use super::RouterCore;
use crate::limits::LimitUnit;
use crate::{DemandEntry, Document, Pool, PoolKey, PoolName, Tenant, TenantDemand, TenantKey};

/// Utilization of a pool's slots above which demand for it is reported: somewhat below that from which requests are
/// refused, so that the demands are known by then.
const REPORT_UTILIZATION: f64 = 0.65;
/// Interval between reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on the entries of one report; the rest follow in the next ones.
const MAX_REPORTED: usize = 64;
/// Limit on the entries that wait to be reported. More arise only while no leader is known.
const MAX_UNREPORTED: usize = 1_024;
/// How long the demands that the leader sent are valid: four updates.
const DEMANDS_TTL: Duration = Duration::from_secs(2);
/// The weight of a tenant without a limit, and the mean weight of those with one.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Largest fraction of a tenant's requests that is refused.
const MAX_REFUSED_OF_TENANT: f64 = 0.95;

/// A tenant's share of a pool that has too little room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantShare {
    /// What the tenant asks of the pool over all routers, in tokens to prefill per second.
    pub demand: f64,
    /// Its fair share of the room that is left, in the same unit.
    pub share: f64,
    /// Age of the demands that this was computed from.
    pub age: Duration,
}

impl TenantShare {
    /// The fraction of the tenant's requests that exceeds its share.
    pub fn excess(&self) -> f64 {
        if self.demand <= self.share {
            return 0.0;
        }
        (1.0 - self.share / self.demand).min(MAX_REFUSED_OF_TENANT)
    }
}

impl fmt::Display for TenantShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { demand, share, age } = self;
        let age = age.as_millis();
        write!(
            formatter,
            "tenant asks for {demand:.0} tokens a second of a fair share of {share:.0}, known for {age} ms"
        )
    }
}

/// What the configuration says about a tenant's share.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entitlement {
    weight: f64,
    /// Tenants of one priority compete with each other.
    priority: Option<u8>,
}

const DEFAULT_ENTITLEMENT: Entitlement = Entitlement {
    weight: DEFAULT_WEIGHT,
    priority: None,
};

/// The demands for one pool, as the leader sent them.
#[derive(Debug)]
struct PoolDemands {
    received: Timestamp,
    tenants: Vec<TenantDemand>,
    other_tenants: u32,
    other_cost: f64,
    /// The level at which the pool's room was last divided, for metrics.
    last_level: Option<f64>,
}

/// Demands of tenants by pool.
#[derive(Debug, Default)]
pub(super) struct TenantDemands {
    unreported: BTreeMap<(PoolKey, TenantKey), f64>,
    reported_at: Timestamp,
    pools: HashMap<PoolKey, PoolDemands>,
    /// Whether the configuration says how much tenants may ask for.
    has_limits: bool,
    /// Tenants for which the configuration has more than the default.
    entitlements: HashMap<TenantKey, Entitlement>,
}

impl TenantDemands {
    /// Applies the limits and priorities of a configuration's tenants. Weights are proportional to limits of one unit.
    /// Where no tenant has a limit, nothing says what a large tenant may ask for, and all are refused alike.
    pub fn set_tenants(&mut self, document: &Document) {
        self.has_limits = document.tenants.iter().any(|tenant| tenant.limit.is_some());
        let mean_rate = |unit| {
            let limits = document.tenants.iter().filter_map(|tenant| tenant.limit);
            let rates = limits.filter(|limit| limit.unit == unit);
            let rates: Vec<f64> = rates.map(|limit| limit.rate_per_second).collect();
            rates.iter().sum::<f64>() / rates.len().max(1) as f64
        };
        let (requests, tokens) = (mean_rate(LimitUnit::Requests), mean_rate(LimitUnit::Tokens));
        let entitlement = |tenant: &Tenant| Entitlement {
            weight: tenant.limit.map_or(DEFAULT_WEIGHT, |limit| {
                let mean_rate = match limit.unit {
                    LimitUnit::Requests => requests,
                    LimitUnit::Tokens => tokens,
                };
                DEFAULT_WEIGHT * limit.rate_per_second / mean_rate
            }),
            priority: tenant.priority,
        };
        let tenants = document.tenants.iter();
        let entitlements = tenants.map(|tenant| (TenantKey::of(&tenant.name), entitlement(tenant)));
        self.entitlements = entitlements
            .filter(|(_, entitlement)| *entitlement != DEFAULT_ENTITLEMENT)
            .collect();
    }

    /// Records the cost of a prompt that a caller has sent, if its pool is nearly full.
    pub fn on_prompt(&mut self, pool: &Pool, tenant: &Tenant, utilization: f64, cost: f64) {
        if !self.has_limits || pool.models.is_none() || utilization < REPORT_UTILIZATION {
            return;
        }
        let key = (PoolKey::of(&pool.name), TenantKey::of(&tenant.name));
        if self.unreported.len() < MAX_UNREPORTED || self.unreported.contains_key(&key) {
            *self.unreported.entry(key).or_default() += cost;
        }
    }

    /// Takes the demand to report to the leader, the largest first; empty if no report is due.
    pub fn take_report(&mut self, now: Timestamp) -> Vec<DemandEntry> {
        if self.unreported.is_empty() || now.since(self.reported_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.reported_at = now;
        let entry = |(&(pool, tenant), cost): (&(PoolKey, TenantKey), &f64)| DemandEntry {
            pool,
            tenant,
            cost: *cost as u32,
        };
        let mut entries: Vec<DemandEntry> = self.unreported.iter().map(entry).collect();
        entries.sort_by_key(|entry| Reverse(entry.cost));
        entries.truncate(MAX_REPORTED);
        for entry in &entries {
            self.unreported.remove(&(entry.pool, entry.tenant));
        }
        entries
    }

    /// Discards what was not reported while no leader was known; it would arrive as if it were current.
    pub fn discard_unreported(&mut self) {
        self.unreported.clear();
    }

    /// Replaces the demands for a pool by those that the leader sent.
    pub fn on_demands(
        &mut self,
        now: Timestamp,
        pool: PoolKey,
        tenants: &[TenantDemand],
        other_tenants: u32,
        other_cost: f64,
    ) {
        self.pools
            .retain(|_, demands| now.since(demands.received) < DEMANDS_TTL);
        let last_level = self.pools.get(&pool).and_then(|demands| demands.last_level);
        let demands = PoolDemands {
            received: now,
            tenants: tenants.to_vec(),
            other_tenants,
            other_cost,
            last_level,
        };
        self.pools.insert(pool, demands);
    }

    /// A tenant's share of a pool of which the fraction `excess` of the demand of tenants of its priority must be
    /// refused; `None` if no recent demands are known.
    pub fn share_of(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        tenant: &Tenant,
        excess: f64,
    ) -> Option<TenantShare> {
        let entitlements = &self.entitlements;
        let demands = self.pools.get_mut(&PoolKey::of(pool))?;
        let age = now.since(demands.received);
        if age >= DEMANDS_TTL || !self.has_limits {
            return None;
        }
        let key = TenantKey::of(&tenant.name);
        let (own, competing) = demands.competing(entitlements, key, tenant.priority);
        let all: f64 = competing.iter().map(|demand| demand.cost).sum();
        let level = fair_level(&competing, (1.0 - excess) * all);
        demands.last_level = Some(level);
        Some(TenantShare {
            demand: own.cost,
            share: own.weight * level,
            age,
        })
    }

    /// The largest demands for pools, with the shares that tenants had when the pools' room was last divided.
    pub fn largest(&self, now: Timestamp, max: usize) -> Vec<(PoolKey, TenantKey, TenantShare)> {
        let is_valid = |demands: &PoolDemands| now.since(demands.received) < DEMANDS_TTL;
        let valid = self.pools.iter().filter(|(_, demands)| is_valid(demands));
        let shares = valid.flat_map(|(pool, demands)| {
            let share = |demand: &TenantDemand| TenantShare {
                demand: f64::from(demand.cost_per_second),
                share: entitlement(&self.entitlements, demand.tenant).weight
                    * demands.last_level.unwrap_or(f64::INFINITY),
                age: now.since(demands.received),
            };
            let tenants = demands.tenants.iter();
            tenants.map(move |demand| (*pool, demand.tenant, share(demand)))
        });
        let mut shares: Vec<_> = shares.collect();
        shares.sort_by(|(.., one), (.., other)| other.demand.total_cmp(&one.demand));
        shares.truncate(max);
        shares
    }
}

impl PoolDemands {
    /// The demand of a tenant, and the demands of all tenants that compete with it, its own among them.
    fn competing(
        &self,
        entitlements: &HashMap<TenantKey, Entitlement>,
        own_key: TenantKey,
        priority: Option<u8>,
    ) -> (Demand, Vec<Demand>) {
        let mut own = None;
        let mut competing = Vec::with_capacity(self.tenants.len() + 1);
        for listed in &self.tenants {
            let Entitlement {
                weight,
                priority: of_listed,
            } = entitlement(entitlements, listed.tenant);
            if of_listed != priority {
                continue;
            }
            let cost = f64::from(listed.cost_per_second);
            let demand = Demand { cost, weight };
            if listed.tenant == own_key {
                own = Some(demand);
            }
            competing.push(demand);
        }
        // The priorities of the other tenants are not known. They are the smallest, so they are taken to compete.
        let others = f64::from(self.other_tenants);
        if others > 0.0 {
            competing.push(Demand {
                cost: self.other_cost,
                weight: others * DEFAULT_WEIGHT,
            });
        }
        let own = own.unwrap_or_else(|| Demand {
            cost: self.other_cost / others.max(1.0),
            weight: entitlement(entitlements, own_key).weight,
        });
        (own, competing)
    }
}

/// The tenant of a request, with the demands that it competes with.
pub(super) struct Contender<'a> {
    demands: &'a mut TenantDemands,
    tenant: &'a Tenant,
}

impl<'a> Contender<'a> {
    pub fn new(demands: &'a mut TenantDemands, tenant: &'a Tenant) -> Self {
        Self { demands, tenant }
    }

    /// The fraction of the tenant's requests of one urgency to refuse when the fraction `excess` of the whole load must
    /// be refused, and the share that it was computed from. More urgent tenants go first; among tenants of one priority
    /// the room is divided by share, and the least urgent requests of each are refused first.
    pub fn refused_fraction(
        self,
        now: Timestamp,
        pool: &PoolName,
        costs: &CostByUrgency,
        urgency: Urgency,
        excess: f64,
    ) -> (f64, Option<TenantShare>) {
        let is_competing = |other: &Urgency| other.is_of_tenant(self.tenant.priority);
        let competing = costs.iter().filter(|(other, _)| is_competing(other));
        let competing: CostByUrgency = competing.map(|(other, cost)| (*other, *cost)).collect();
        let all: f64 = competing.values().sum();
        let refused: f64 = competing
            .iter()
            .map(|(other, cost)| refused_fraction(costs, *other, excess) * cost)
            .sum();
        if refused <= 0.0 {
            return (0.0, None);
        }
        let share = self.demands.share_of(now, pool, self.tenant, refused / all);
        let fraction = match &share {
            Some(share) => refused_fraction(&competing, urgency, share.excess()),
            None => refused_fraction(costs, urgency, excess),
        };
        (fraction, share)
    }
}

fn entitlement(entitlements: &HashMap<TenantKey, Entitlement>, tenant: TenantKey) -> Entitlement {
    entitlements
        .get(&tenant)
        .copied()
        .unwrap_or(DEFAULT_ENTITLEMENT)
}

impl RouterCore {
    /// Takes the demand of tenants for pools that are nearly full, as far as it is due to be reported to the leader.
    pub fn take_demand_report(&mut self, now: Timestamp) -> Vec<DemandEntry> {
        self.tenant_demands.take_report(now)
    }

    /// Discards demand that could not be reported, because no leader was known that reads reports.
    pub fn discard_demand_report(&mut self) {
        self.tenant_demands.discard_unreported();
    }

    /// Updates the demand of tenants for a pool over all routers together, as the leader reports it.
    pub fn on_tenant_demands(
        &mut self,
        now: Timestamp,
        pool: PoolKey,
        tenants: &[TenantDemand],
        other_tenants: u32,
        other_cost_per_second: u32,
    ) {
        let other_cost = f64::from(other_cost_per_second);
        self.tenant_demands
            .on_demands(now, pool, tenants, other_tenants, other_cost);
    }

    /// The largest demands of tenants for pools that are nearly full, with the tenants' last shares.
    pub fn largest_demands(
        &self,
        now: Timestamp,
        max: usize,
    ) -> Vec<(PoolKey, TenantKey, TenantShare)> {
        self.tenant_demands.largest(now, max)
    }
}

#[cfg(test)]
#[path = "tenant_demand_tests.rs"]
mod tests;
