//! Metrics in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry};

/// Content type of the OpenMetrics text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The metrics of one scrape, filled from counters kept elsewhere.
#[derive(Debug)]
pub struct Scrape {
    registry: Registry,
}

impl Scrape {
    /// Creates an empty scrape; `prefix` and an underscore precede every metric name.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Adds a counter with this value. The encoder appends `_total` to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds a gauge. Values above `i64::MAX` are capped.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.registry.register(name, help, gauge);
    }

    /// Adds an existing metric, such as a histogram.
    pub fn metric(&mut self, name: &str, help: &str, metric: impl Metric) {
        self.registry.register(name, help, metric);
    }

    /// Encodes the scrape as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Creates a histogram of durations in seconds, with buckets from 1 ms to about half a minute.
pub fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}
