//! The process's clock.

use std::time::Duration;

use drumshore_core::Timestamp;
use nix::time::{clock_gettime, ClockId};

/// Measures the time since the process started, including time for which its machine was suspended. Independent of the
/// time of day, which may jump.
///
/// Leader leases, the age of the view, the revocation of keys, limits and deadlines are all measured by it. The
/// monotonic clock stops while a machine is suspended: after resuming, a leader that had been replaced would consider
/// its lease valid, and a router its view current. Timers of the event loop use the monotonic clock, so after a
/// suspension they only fire late; decisions taken when they fire use this clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
    read: fn() -> Duration,
}

impl Clock {
    pub fn start() -> Self {
        Self::start_with(time_since_boot)
    }

    fn start_with(read: fn() -> Duration) -> Self {
        Self {
            start: read(),
            read,
        }
    }

    /// The current time; never zero, which means "never".
    pub fn now(&self) -> Timestamp {
        let passed = (self.read)().saturating_sub(self.start);
        Timestamp(passed.as_micros() as u64 + 1)
    }
}

fn time_since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME since 2.6.39");
    Duration::from(time)
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
