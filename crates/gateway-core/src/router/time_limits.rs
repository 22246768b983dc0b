//! When callers asked for the first time, judged by the time limits that they send.
//!
//! A caller that was refused sends what is left of its limit when it returns. The first limits of a route's callers
//! differ from one another; a limit that is clearly below them belongs to a caller that has been refused before.

use std::collections::HashMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::Route;

/// Limits of at least this part of the route's are those of first attempts.
const MIN_FIRST_PART: f64 = 0.8;
/// Weight of the newest limit in the moving mean.
const WEIGHT: f64 = 0.02;
/// Routes with a mean of their own. A configuration has fewer; the bound holds while it changes.
const MAX_ROUTES: usize = 256;

/// Moving means of the limits of first attempts, in seconds, by route.
#[derive(Debug, Default)]
pub(super) struct TimeLimits(HashMap<String, f64>);

impl TimeLimits {
    /// Records a request that has arrived at `received`, and returns when its caller asked for the first time. A caller
    /// that repeats at once gains nothing by it.
    pub fn first_asked(
        &mut self,
        route: &Route,
        received: Timestamp,
        limit: Duration,
    ) -> Timestamp {
        let limit = limit.as_secs_f64();
        let of_route = route.timeout.as_secs_f64();
        if limit >= of_route * MIN_FIRST_PART {
            self.record_first(route, limit);
            return received;
        }
        let usual = self.0.get(&route.name).copied().unwrap_or(of_route);
        let used = Duration::from_secs_f64(usual - limit);
        Timestamp(received.0.saturating_sub(used.as_micros() as u64))
    }

    fn record_first(&mut self, route: &Route, limit: f64) {
        if let Some(mean) = self.0.get_mut(&route.name) {
            *mean += WEIGHT * (limit - *mean);
            return;
        }
        if self.0.len() >= MAX_ROUTES {
            self.0.clear();
        }
        self.0.insert(route.name.clone(), limit);
    }
}

#[cfg(test)]
#[path = "time_limits_tests.rs"]
mod tests;
