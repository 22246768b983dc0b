//! Metrics in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry};

/// The content type of the text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// One scrape, filled from values that are counted elsewhere.
#[derive(Debug)]
pub struct Scrape {
    registry: Registry,
}

impl Scrape {
    /// An empty scrape; every name begins with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Adds a counter's value.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds a gauge's value.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.registry.register(name, help, gauge);
    }

    /// Adds a metric that is kept elsewhere.
    pub fn metric(&mut self, name: &str, help: &str, metric: impl Metric) {
        self.registry.register(name, help, metric);
    }

    /// The text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// A histogram of durations from 1 ms to half a minute, in seconds.
pub fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}
