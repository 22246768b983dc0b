//! The parts of the configuration that a control machine itself needs, parsed once per version.

use super::Control;

/// The store addresses of the configuration in force. The limits of tenants are passed to the core.
#[derive(Debug, Default)]
pub(super) struct CachedConfiguration {
    version: u64,
    store_addresses: Vec<String>,
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
        let stores = document.pools.into_iter().filter_map(|pool| pool.store);
        cached.store_addresses = stores.map(|store| store.address).collect();
        let tenants = document.tenants.into_iter();
        let limits: Vec<_> = tenants
            .filter_map(|tenant| Some((tenant.name, tenant.limit?)))
            .collect();
        core.set_limits(self.clock.now(), &limits);
    }

    /// The addresses of the stores that the configuration lists.
    pub(super) fn store_addresses(&self) -> Vec<String> {
        self.configuration.borrow().store_addresses.clone()
    }
}
