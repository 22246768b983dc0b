//! Limits over the whole fleet: each router gets the share that its callers ask for.
//!
//! Routers report what tenants used; only tenants near a limit cost control traffic. The limit is
//! divided max-min fairly: nobody gets more than was asked for while others ask for more than
//! they get. The same rule divides twice, among control machines and among their routers.

use std::collections::BTreeMap;

use drumshore_core::{TenantLimits, TenantName};

/// The share of a limit at which dividing it begins.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// A share is at least this, so that a new caller of a divided tenant is noticed.
const MIN_DEMAND: f64 = 0.5;

/// What one party asks of one tenant's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second that asked to start.
    pub rate: f64,
    /// Requests open.
    pub open: f64,
}

/// Divides `total` among demands, max-min fairly; what is left over is spread evenly.
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

/// The demands of several parties, by tenant.
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
    /// Replaces what one party asks.
    pub fn report(&mut self, party: P, demands: impl IntoIterator<Item = (TenantName, Demand)>) {
        self.forget(party);
        for (tenant, demand) in demands {
            self.demands
                .entry(tenant)
                .or_default()
                .insert(party, demand);
        }
    }

    /// A party is gone.
    pub fn forget(&mut self, party: P) {
        for parties in self.demands.values_mut() {
            parties.remove(&party);
        }
        self.demands.retain(|_, parties| !parties.is_empty());
    }

    /// What all parties ask together.
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

    /// Tenants whose total comes near a limit.
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

    /// Divides a tenant's limits among the parties that ask.
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
