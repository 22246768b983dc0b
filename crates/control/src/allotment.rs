//! Fleet-wide tenant limits: each router is allotted a share according to its callers' demand.
//!
//! Routers report the usage of their tenants. Limits are divided only for tenants that are near
//! one, so that the others add no control traffic for allotments. The division is max-min fair: no
//! party gets more than its demand while another gets less than its own. The same rule is applied
//! twice: the leader divides among control machines, and each control machine among its routers.

use std::collections::BTreeMap;

use drumshore_core::{TenantLimits, TenantName};

/// Fraction of a limit that the total demand must reach before the limit is divided.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// Smallest demand to assume for a reporting party. Its share is then never zero, so that a new
/// caller of a tenant whose limit is divided is noticed.
const MIN_DEMAND: f64 = 0.5;

/// The demand of one party (a control machine or a router) on the limits of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests received per second, including refused ones.
    pub rate: f64,
    /// Requests that are open at the same time.
    pub open: f64,
}

/// Divides `total` among the demands max-min fairly. The remainder is spread evenly.
pub fn divide(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = total;
    for (served, position) in order.iter().enumerate() {
        let remaining = (demands.len() - served) as f64;
        let share = demands[*position].min(left / remaining);
        shares[*position] = share;
        left -= share;
    }
    let spare = left / demands.len().max(1) as f64;
    shares.iter().map(|share| share + spare).collect()
}

/// The latest demands that several parties reported, by tenant.
#[derive(Clone, Debug)]
pub struct DemandTable<P> {
    demands: BTreeMap<TenantName, BTreeMap<P, Demand>>,
}

impl<P> Default for DemandTable<P> {
    fn default() -> Self {
        Self {
            demands: BTreeMap::new(),
        }
    }
}

impl<P: Ord + Copy> DemandTable<P> {
    /// Replaces all demands of one party.
    pub fn report(&mut self, party: P, demands: impl IntoIterator<Item = (TenantName, Demand)>) {
        self.forget(party);
        for (tenant, demand) in demands {
            self.demands
                .entry(tenant)
                .or_default()
                .insert(party, demand);
        }
    }

    /// Removes all demands of a party that has disconnected.
    pub fn forget(&mut self, party: P) {
        for parties in self.demands.values_mut() {
            parties.remove(&party);
        }
        self.demands.retain(|_, parties| !parties.is_empty());
    }

    /// The total demand of all parties, by tenant.
    pub fn totals(&self) -> impl Iterator<Item = (&TenantName, Demand)> {
        self.demands.iter().map(|(tenant, parties)| {
            let total = parties
                .values()
                .fold(Demand::default(), |sum, demand| Demand {
                    rate: sum.rate + demand.rate,
                    open: sum.open + demand.open,
                });
            (tenant, total)
        })
    }

    /// Tenants whose total demand is near one of their limits, with these limits.
    pub fn near_limit<'a>(
        &'a self,
        limits_of: impl Fn(&TenantName) -> Option<TenantLimits> + 'a,
    ) -> impl Iterator<Item = (&'a TenantName, Demand)> + 'a {
        self.totals().filter_map(move |(tenant, total)| {
            let limits = limits_of(tenant)?;
            let rate_near =
                total.rate >= NEAR_LIMIT_FRACTION * f64::from(limits.requests_per_second);
            let open_near =
                total.open >= NEAR_LIMIT_FRACTION * f64::from(limits.concurrent_requests);
            (rate_near || open_near).then_some((
                tenant,
                Demand {
                    rate: f64::from(limits.requests_per_second),
                    open: f64::from(limits.concurrent_requests),
                },
            ))
        })
    }

    /// Divides a tenant's limits among the parties that reported a demand for it.
    pub fn shares(&self, tenant: &TenantName, limits: Demand) -> Vec<(P, Demand)> {
        let Some(parties) = self.demands.get(tenant) else {
            return Vec::new();
        };
        let rates: Vec<f64> = parties
            .values()
            .map(|demand| demand.rate.max(MIN_DEMAND))
            .collect();
        let opens: Vec<f64> = parties
            .values()
            .map(|demand| demand.open.max(MIN_DEMAND))
            .collect();
        let rates = divide(limits.rate, &rates);
        let opens = divide(limits.open, &opens);
        parties
            .keys()
            .zip(rates.into_iter().zip(opens))
            .map(|(party, (rate, open))| (*party, Demand { rate, open }))
            .collect()
    }
}
