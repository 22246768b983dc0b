//! The process's monotonic clock.

use std::time::Instant;

use drumshore_core::Timestamp;

/// Time since the process started. Does not follow the time of day, which may jump.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Never zero, which stands for "never".
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64 + 1)
    }
}
