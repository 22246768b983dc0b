//! A token bucket that may be overdrawn.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::TenantLimit;

/// What an account holds when nothing is known of its past: at most so many seconds of its rate. A
/// process that starts anew does not know what was used just before.
const UNKNOWN_PAST_SECONDS: f64 = 1.0;

/// What is left of a tenant's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    limit: TenantLimit,
    /// Units that may be used at once; negative after more was used than had flowed in.
    level: f64,
    updated: Timestamp,
}

impl Account {
    /// An account whose past is not known.
    pub fn new(now: Timestamp, limit: TenantLimit) -> Self {
        let level = limit
            .burst
            .min(limit.rate_per_second * UNKNOWN_PAST_SECONDS);
        Self {
            limit,
            level,
            updated: now,
        }
    }

    /// The limit that is in force.
    pub fn limit(&self) -> &TenantLimit {
        &self.limit
    }

    /// Units that may be used now.
    pub fn level(&self, now: Timestamp) -> f64 {
        let flowed_in = now.since(self.updated).as_secs_f64() * self.limit.rate_per_second;
        // A bucket without burst still admits one request at a time.
        (self.level + flowed_in).min(self.limit.burst.max(1.0))
    }

    /// True while a request is admitted.
    pub fn admits(&self, now: Timestamp) -> bool {
        self.level(now) > 0.0
    }

    /// Charges the account; a negative amount is paid back.
    pub fn charge(&mut self, now: Timestamp, amount: f64) {
        self.set_level(now, self.level(now) - amount);
    }

    /// Corrects the level by what is known elsewhere.
    pub fn set_level(&mut self, now: Timestamp, level: f64) {
        self.level = level;
        self.updated = self.updated.max(now);
    }

    /// A limit that has changed is in force from now on.
    pub fn set_limit(&mut self, now: Timestamp, limit: TenantLimit) {
        let level = self.level(now);
        self.limit = limit;
        self.set_level(now, level.min(limit.burst.max(1.0)));
    }

    /// How long until the account has paid its debt and has room for a request of this size.
    pub fn wait_for(&self, now: Timestamp, cost: u32) -> Duration {
        let wanted = f64::from(cost).min(self.limit.burst.max(1.0));
        let missing = (wanted - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.limit.rate_per_second).unwrap_or(Duration::MAX)
    }
}
