//! The parts of the configuration that a control machine itself needs, parsed once per version.

use std::collections::HashMap;

use drumshore_gateway_core::{Document, PoolKey, PoolName, TenantKey, TenantName};

use super::Control;
use crate::metrics::MAX_DEMAND_LABELS;

/// The store addresses and names of the configuration in force. The limits of tenants are passed to the core.
#[derive(Debug, Default)]
pub(super) struct CachedConfiguration {
    version: u64,
    store_addresses: Vec<String>,
    pools: HashMap<PoolKey, PoolName>,
    tenants: HashMap<TenantKey, TenantName>,
}

impl CachedConfiguration {
    fn set_names(&mut self, document: &Document) {
        let pools = document.pools.iter();
        self.pools = pools
            .map(|pool| (PoolKey::of(&pool.name), pool.name.clone()))
            .collect();
        let tenants = document.tenants.iter();
        self.tenants = tenants
            .map(|tenant| (TenantKey::of(&tenant.name), tenant.name.clone()))
            .collect();
    }
}

impl Control {
    /// Parses the configuration in force, if its version has changed.
    pub(super) fn refresh_configuration(&self) {
        let mut core = self.core.borrow_mut();
        let Some(core) = core.as_mut() else {
            return;
        };
        let version = core.state().configuration_version();
        let mut cached = self.configuration.borrow_mut();
        if cached.version == version {
            return;
        }
        cached.version = version;
        let body = core.state().configuration().unwrap_or_default();
        let document = match self.dialect.document(body) {
            Ok(document) => document,
            Err(error) => {
                // Configurations are validated before they are accepted, so another build must have accepted this one.
                tracing::error!(event = "configuration_unreadable", version, %error,
                    "control: this build cannot parse the configuration in force");
                return;
            }
        };
        cached.set_names(&document);
        let stores = document.pools.into_iter().filter_map(|pool| pool.store);
        cached.store_addresses = stores.map(|store| store.address).collect();
        let tenants = document.tenants.into_iter();
        let limits: Vec<_> = tenants
            .filter_map(|tenant| Some((tenant.name, tenant.limit?)))
            .collect();
        core.set_limits(self.clock.now(), &limits);
    }

    /// Sets the gauges of tenants' demand to what this machine knows, which is nothing unless it leads.
    pub(super) fn record_demands(&self) {
        let core = self.core.borrow();
        let gauges = &self.metrics.tenant_demands;
        gauges.clear();
        let cached = self.configuration.borrow();
        for (pool, demand) in core
            .iter()
            .flat_map(|core| core.largest_demands(MAX_DEMAND_LABELS))
        {
            let pool = cached.pools.get(&pool);
            let tenant = cached.tenants.get(&demand.tenant);
            if let (Some(pool), Some(tenant)) = (pool, tenant) {
                let per_second = f64::from(demand.cost_per_second);
                gauges.set(pool.as_str(), tenant.as_str(), per_second, None);
            }
        }
    }

    /// The addresses of the stores that the configuration lists.
    pub(super) fn store_addresses(&self) -> Vec<String> {
        self.configuration.borrow().store_addresses.clone()
    }
}
