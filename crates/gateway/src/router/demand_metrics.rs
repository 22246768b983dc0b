//! Gauges of tenants' demand for pools that are nearly full, and of their fair shares.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{PoolKey, TenantKey};
use tokio::time::sleep;

use super::Router;
use crate::metrics::MAX_DEMAND_LABELS;

/// Time after new demands at which the gauges are set again: the demands are no longer valid then.
const EXPIRY: Duration = Duration::from_millis(2_100);

/// Sets the gauges after new demands have arrived, and removes them again unless more arrive.
pub(super) fn on_demands(router: &Rc<Router>) {
    record(router);
    let router = Rc::clone(router);
    tokio::task::spawn_local(async move {
        sleep(EXPIRY).await;
        record(&router);
    });
}

/// Replaces the gauges by the largest demands that are known now.
fn record(router: &Router) {
    let now = router.clock.now();
    let core = router.core.borrow();
    let Some(document) = core.document() else {
        return;
    };
    let largest = core.largest_demands(now, MAX_DEMAND_LABELS);
    let tenants = document.tenants.iter();
    let tenants: HashMap<TenantKey, &str> = tenants
        .map(|tenant| (TenantKey::of(&tenant.name), tenant.name.as_str()))
        .collect();
    let pools = document.pools.iter();
    let pools: HashMap<PoolKey, &str> = pools
        .map(|pool| (PoolKey::of(&pool.name), pool.name.as_str()))
        .collect();
    let gauges = &router.metrics.tenant_demands;
    gauges.clear();
    for (pool, tenant, share) in largest {
        if let (Some(pool), Some(tenant)) = (pools.get(&pool), tenants.get(&tenant)) {
            gauges.set(pool, tenant, share.demand, Some(share.share));
        }
    }
}
