//! Metrics of what is held for clients, and of clients that are rejected for it.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::OutcomeLabel;

/// What is held for clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientMetrics {
    /// Bytes of clients that the process holds.
    pub held_bytes: Gauge,
    /// The limit of these.
    pub max_held_bytes: Gauge,
    /// Requests and connections that exceeded a limit or gave way to others, by reason.
    rejected: Family<OutcomeLabel, Counter>,
}

impl ClientMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "client_bytes_held",
            "Bytes of requests that the process holds",
            self.held_bytes.clone(),
        );
        registry.register(
            "client_bytes_limit",
            "Limit of the bytes of requests that the process holds",
            self.max_held_bytes.clone(),
        );
        registry.register(
            "clients_rejected",
            "Requests and connections that exceeded a limit or gave way to others, by reason",
            Clone::clone(&self.rejected),
        );
    }

    pub fn count_rejected(&self, reason: &'static str) {
        let label = OutcomeLabel { outcome: reason };
        self.rejected.get_or_create(&label).inc();
    }
}
