//! What a control machine itself needs of the configuration, so that it is read once a version.

use super::Control;

/// Stores, and the limits of tenants, which go to the core.
#[derive(Debug, Default)]
pub(super) struct CachedConfiguration {
    version: u64,
    store_addresses: Vec<String>,
}

impl Control {
    /// Reads the configuration that is applied, if it is another one than before.
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
                // It was checked before it was accepted: only other code can have accepted it.
                tracing::error!(event = "configuration_unreadable", version, %error,
                    "control: the configuration in force cannot be read");
                return;
            }
        };
        let stores = document.pools.into_iter().filter_map(|pool| pool.store);
        cached.store_addresses = stores.map(|store| store.address).collect();
        let tenants = document.tenants.into_iter();
        let limits: Vec<_> = tenants
            .filter_map(|tenant| Some((tenant.name, tenant.limit?)))
            .collect();
        core.set_limits(self.clock.now(), &limits);
    }

    /// The stores that the configuration names.
    pub(super) fn store_addresses(&self) -> Vec<String> {
        self.configuration.borrow().store_addresses.clone()
    }
}
