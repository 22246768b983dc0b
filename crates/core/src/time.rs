//! Timestamps of a process's monotonic clock, real or simulated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary start. Only differences between timestamps are meaningful.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The timestamp that is `duration` later; saturates at the maximum.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// The time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
