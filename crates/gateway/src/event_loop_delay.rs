//! Measures how late the event loop runs its timers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use tokio::time::{sleep_until, Instant};

use crate::metrics::Metrics;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// Measurements that "recent" covers: a second, or more while the event loop is late.
const RECENT_MEASUREMENTS: usize = 10;
/// A longer delay is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(250);
/// Shortest time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How late the event loop has run recently.
#[derive(Debug)]
pub(crate) struct EventLoopDelay {
    recent: Cell<[Duration; RECENT_MEASUREMENTS]>,
    next: Cell<usize>,
    /// When the next measurement is due.
    due: Cell<Instant>,
}

impl EventLoopDelay {
    /// Nothing has been measured.
    pub fn new() -> Self {
        Self {
            recent: Cell::default(),
            next: Cell::new(0),
            due: Cell::new(Instant::now() + INTERVAL),
        }
    }

    /// The longest recent delay in milliseconds, for logs. Includes the delay of a measurement that is overdue.
    pub fn late_ms(&self) -> u64 {
        let overdue = self.due.get().elapsed();
        self.longest().max(overdue).as_millis() as u64
    }

    fn longest(&self) -> Duration {
        self.recent.get().into_iter().max().unwrap_or_default()
    }

    /// Records the measurement that is due, and sets when the next one is.
    fn measure(&self, now: Instant) -> Duration {
        let delay = now.saturating_duration_since(self.due.get());
        let mut recent = self.recent.get();
        recent[self.next.get()] = delay;
        self.recent.set(recent);
        self.next.set((self.next.get() + 1) % RECENT_MEASUREMENTS);
        self.due.set(now + INTERVAL);
        delay
    }
}

/// Measures the delay until the process ends. `open_requests` returns how many requests are open.
pub(crate) async fn measure(
    delay: Rc<EventLoopDelay>,
    metrics: Rc<Metrics>,
    open_requests: impl Fn() -> usize,
) {
    let mut logged_at = None;
    let mut processor_time = process_time();
    loop {
        sleep_until(delay.due.get()).await;
        let now = Instant::now();
        let late = delay.measure(now);
        metrics.event_loop.record(late, delay.longest());
        let earlier = std::mem::replace(&mut processor_time, process_time());
        let may_log = logged_at.is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if late >= LOGGED_DELAY && may_log {
            logged_at = Some(now);
            let used = processor_time.saturating_sub(earlier);
            tracing::info!(
                event = "event_loop_late",
                late_ms = late.as_millis() as u64,
                processor_ms = used.as_millis() as u64,
                open_requests = open_requests(),
                "event loop: a timer ran late"
            );
        }
    }
}

/// The processor time that the process has used.
fn process_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

#[cfg(test)]
#[path = "event_loop_delay_tests.rs"]
mod tests;
