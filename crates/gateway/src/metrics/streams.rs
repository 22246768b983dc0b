//! Metrics of streams that went on at another back end.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::OutcomeLabel;

/// Streams that went on at another back end, and what is known of where they began.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamMetrics {
    /// Resumed within the answer, by whether the software version is that of the first back end.
    continued: Family<OutcomeLabel, Counter>,
    /// Taken up by callers, by what was known of their origin.
    take_ups: Family<OutcomeLabel, Counter>,
    /// Lookups of where a stream began, by who knew it.
    lookups: Family<OutcomeLabel, Counter>,
    /// Origins that a control machine keeps.
    pub origins: Gauge,
}

impl StreamMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "continued_streams",
            "Streams that another back end resumed, by software version",
            Clone::clone(&self.continued),
        );
        registry.register(
            "take_ups",
            "Streams that callers took up, by what was known of their origin",
            Clone::clone(&self.take_ups),
        );
        registry.register(
            "stream_lookups",
            "Lookups of the origin of a stream, by who knew it",
            Clone::clone(&self.lookups),
        );
        registry.register(
            "stream_origins",
            "Origins of streams that a control machine keeps",
            self.origins.clone(),
        );
    }

    pub fn count_continued(&self, at_same_software: bool) {
        let outcome = if at_same_software { "same" } else { "other" };
        let label = OutcomeLabel { outcome };
        self.continued.get_or_create(&label).inc();
    }

    pub fn count_take_up(&self, outcome: &'static str) {
        self.take_ups.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_lookup(&self, outcome: &'static str) {
        self.lookups.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
