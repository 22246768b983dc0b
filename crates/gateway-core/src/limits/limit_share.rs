//! How much of a limit a router may use while it doesn't know the usage of the other routers.

use drumshore_core::Timestamp;

use super::{Account, TenantLimit};

/// A router's share of a tenant's limit, for the time in which no leader sends it the level of the account.
/// Half of the limit is split evenly over all routers, the other half in proportion to their
/// recent usage, so that the shares of all routers add up to the limit.
///
/// A share can be smaller than one request. A request is then admitted with a probability of the
/// level divided by its cost: if every router admitted its first request, hundreds of routers would exceed a
/// small limit many times over.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitShare {
    whole: TenantLimit,
    routers: u16,
    /// This router's fraction of the recent usage of all routers; `None` until the leader sends it.
    usage_fraction: Option<f64>,
    account: Account,
}

impl LimitShare {
    /// Creates an even share, for a router whose usage fraction is not known yet.
    pub fn new(now: Timestamp, whole: TenantLimit, routers: u16) -> Self {
        let usage_fraction = None;
        let share = scaled(&whole, share_of_limit(usage_fraction, routers));
        Self {
            whole,
            routers,
            usage_fraction,
            account: Account::new(now, share),
        }
    }

    /// Sets this router's fraction of the recent usage of all routers, from 0 to 1.
    pub fn set_usage_fraction(&mut self, now: Timestamp, usage_fraction: f64) {
        self.usage_fraction = Some(usage_fraction);
        self.resize(now);
    }

    /// Sets the usage fraction to 0 if it is unknown: the leader sent levels without one for this router, so it
    /// had no recent usage.
    pub fn assume_idle_if_unknown(&mut self, now: Timestamp) {
        if self.usage_fraction.is_none() {
            self.set_usage_fraction(now, 0.0);
        }
    }

    /// Sets the number of routers that share the limit.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.routers = routers;
        self.resize(now);
    }

    fn resize(&mut self, now: Timestamp) {
        let limit = scaled(
            &self.whole,
            share_of_limit(self.usage_fraction, self.routers),
        );
        if limit != *self.account.limit() {
            self.account.set_limit(now, limit);
        }
    }

    /// Replaces the limit of which this is a share.
    pub fn set_limit(&mut self, now: Timestamp, whole: TenantLimit) {
        self.whole = whole;
        self.resize(now);
    }

    /// True when a request is admitted; `sample` is a random number from 0 to 1.
    pub fn admits(&self, now: Timestamp, cost: u32, sample: f64) -> bool {
        self.account.level(now) > f64::from(cost) * sample
    }

    /// The token bucket of this router's share.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Charges this router's share; a negative amount is a refund.
    pub fn charge(&mut self, now: Timestamp, amount: f64) {
        self.account.charge(now, amount);
    }
}

fn share_of_limit(usage_fraction: Option<f64>, routers: u16) -> f64 {
    let even = 1.0 / f64::from(routers.max(1));
    usage_fraction.map_or(even, |usage_fraction| {
        (usage_fraction.clamp(0.0, 1.0) + even) / 2.0
    })
}

fn scaled(whole: &TenantLimit, share: f64) -> TenantLimit {
    TenantLimit {
        rate_per_second: whole.rate_per_second * share,
        burst: whole.burst * share,
        ..*whole
    }
}
