//! Gauges of tenants' demand for pools that are nearly full.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Pairs of a pool and a tenant with gauges: those with the largest demand.
pub(crate) const MAX_DEMAND_LABELS: usize = 32;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DemandLabel {
    pool: String,
    tenant: String,
}

/// The demand of tenants, and their fair shares, in tokens to prefill per second.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantDemandGauges {
    demand: Family<DemandLabel, Gauge>,
    share: Family<DemandLabel, Gauge>,
}

impl TenantDemandGauges {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "tenant_demand",
            "Demand of tenants for pools that are nearly full, in tokens to prefill per second",
            self.demand.clone(),
        );
        registry.register(
            "tenant_share",
            "Fair shares of tenants when a request was last refused, in tokens to prefill per second",
            self.share.clone(),
        );
    }

    /// Removes all gauges.
    pub fn clear(&self) {
        self.demand.clear();
        self.share.clear();
    }

    /// Sets the gauges of a tenant; `share` is `None` where it is not known, and not finite while there is room for all.
    pub fn set(&self, pool: &str, tenant: &str, demand: f64, share: Option<f64>) {
        let label = DemandLabel {
            pool: pool.to_owned(),
            tenant: tenant.to_owned(),
        };
        self.demand.get_or_create(&label).set(demand as i64);
        if let Some(share) = share.filter(|share| share.is_finite()) {
            self.share.get_or_create(&label).set(share as i64);
        }
    }
}

#[cfg(test)]
#[path = "tenant_demands_tests.rs"]
mod tests;
