//! A token bucket whose level may become negative.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::TenantLimit;

/// The initial level of an account in seconds of its rate, capped by the burst. A process that starts does not
/// know how much was used just before, so a full bucket would exceed the limit.
const INITIAL_FILL_SECONDS: f64 = 1.0;

/// The state of a tenant's token bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    limit: TenantLimit,
    /// Units that may be used at once, as of `updated`; negative while the bucket is overdrawn.
    level: f64,
    updated: Timestamp,
}

impl Account {
    /// Creates an account whose earlier usage is unknown.
    pub fn new(now: Timestamp, limit: TenantLimit) -> Self {
        let level = limit
            .burst
            .min(limit.rate_per_second * INITIAL_FILL_SECONDS);
        Self {
            limit,
            level,
            updated: now,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> &TenantLimit {
        &self.limit
    }

    /// Units that may be used now; negative while the bucket is overdrawn.
    pub fn level(&self, now: Timestamp) -> f64 {
        let refill = now.since(self.updated).as_secs_f64() * self.limit.rate_per_second;
        // The capacity is at least 1, so that a limit without burst still admits one request at a time.
        (self.level + refill).min(self.limit.burst.max(1.0))
    }

    /// True while the level is positive, whatever the cost of the next request.
    pub fn admits(&self, now: Timestamp) -> bool {
        self.level(now) > 0.0
    }

    /// Takes an amount from the level; a negative amount is a refund.
    pub fn charge(&mut self, now: Timestamp, amount: f64) {
        self.set_level(now, self.level(now) - amount);
    }

    /// Overwrites the level, for example with the one that the leader sent.
    pub fn set_level(&mut self, now: Timestamp, level: f64) {
        self.level = level;
        self.updated = self.updated.max(now);
    }

    /// Replaces the limit and caps the level at the new capacity.
    pub fn set_limit(&mut self, now: Timestamp, limit: TenantLimit) {
        let level = self.level(now);
        self.limit = limit;
        self.set_level(now, level.min(limit.burst.max(1.0)));
    }

    /// How long until the level covers a request of this size, or is at its capacity if the request is larger.
    pub fn wait_for(&self, now: Timestamp, cost: u32) -> Duration {
        let wanted = f64::from(cost).min(self.limit.burst.max(1.0));
        let missing = (wanted - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.limit.rate_per_second).unwrap_or(Duration::MAX)
    }
}
