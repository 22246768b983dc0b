//! Metrics of how late the event loop runs.

use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets, in seconds.
const DELAY_BUCKETS: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// How late the event loop runs its timers.
#[derive(Clone, Debug)]
pub(crate) struct EventLoopMetrics {
    delays: Histogram,
    longest_ms: Gauge,
}

impl Default for EventLoopMetrics {
    fn default() -> Self {
        Self {
            delays: Histogram::new(DELAY_BUCKETS),
            longest_ms: Gauge::default(),
        }
    }
}

impl EventLoopMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "event_loop_late_seconds",
            "How late the event loop ran timers",
            self.delays.clone(),
        );
        registry.register(
            "event_loop_late_ms",
            "The longest delay of the last second",
            self.longest_ms.clone(),
        );
    }

    /// Records a delay, and the longest recent one.
    pub fn record(&self, delay: Duration, longest: Duration) {
        self.delays.observe(delay.as_secs_f64());
        self.longest_ms.set(longest.as_millis() as i64);
    }
}
