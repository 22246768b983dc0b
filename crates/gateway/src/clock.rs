//! The process's clock.

use std::time::Duration;

use drumshore_core::Timestamp;
use nix::time::{clock_gettime, ClockId};

/// Time since the process started, also time for which its machine was suspended. Does not follow the time
/// of day, which may jump.
///
/// Leases between leaders, the age of the view, revoked keys, limits and deadlines all count on it. The steady
/// clock stands still while a machine is suspended: after waking, a leader that others had replaced would
/// take its lease for fresh, and a router its view. Timers of the event loop go by the steady clock, so
/// they only fire later; whatever they lead to is judged by this one.
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

    /// Never zero, which stands for "never".
    pub fn now(&self) -> Timestamp {
        let passed = (self.read)().saturating_sub(self.start);
        Timestamp(passed.as_micros() as u64 + 1)
    }
}

fn time_since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("each Linux since 2.6.39 has this clock");
    Duration::from(time)
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
