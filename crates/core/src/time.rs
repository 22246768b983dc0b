//! A point on a process's monotonic clock, real or virtual.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary start. Only differences mean anything.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time `duration` later.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// How long ago `earlier` was; zero when it lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
