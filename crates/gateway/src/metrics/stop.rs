//! Metrics of requests that are open while a router runs and when it stops.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::OutcomeLabel;

/// Requests that are open, and what the end of the process meets.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopMetrics {
    /// Requests whose answers have not ended.
    pub open_requests: Gauge,
    /// Requests admitted after the stop signal.
    pub admitted_while_stopping: Counter,
    /// Requests that were open when the time to stop was over, by how far they were.
    open_at_exit: Family<OutcomeLabel, Counter>,
}

impl StopMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "open_requests",
            "Requests whose answers have not ended",
            self.open_requests.clone(),
        );
        registry.register(
            "admitted_while_stopping",
            "Requests admitted after the stop signal",
            self.admitted_while_stopping.clone(),
        );
        registry.register(
            "open_at_exit",
            "Requests open when the time to stop was over, by how far they were",
            Clone::clone(&self.open_at_exit),
        );
    }

    pub fn count_open_at_exit(&self, outcome: &'static str, requests: u64) {
        let label = OutcomeLabel { outcome };
        self.open_at_exit.get_or_create(&label).inc_by(requests);
    }
}
