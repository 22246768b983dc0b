//! What a router may use of a limit while it does not know what the others use.

use drumshore_core::Timestamp;

use super::{Account, TenantLimit};

/// A router's part of a tenant's limit, for the time in which no leader sends it how much is
/// left. Half of a limit is split evenly over all routers, the other half in proportion to what
/// each used of late, so that the parts of all routers add up to the limit.
///
/// A part can be smaller than one request. A request is then admitted by chance, as likely as the
/// level covers it: were the first one at each router admitted, hundreds of routers would exceed a
/// small limit many times over.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitShare {
    whole: TenantLimit,
    routers: u16,
    /// Of what all routers used of late, what this one did; `None` before the leader sent it.
    share: Option<f64>,
    account: Account,
}

impl LimitShare {
    /// The part of one of so many routers, of which nothing more is known.
    pub fn new(now: Timestamp, whole: TenantLimit, routers: u16) -> Self {
        let share = None;
        let part = scaled(&whole, part(share, routers));
        Self {
            whole,
            routers,
            share,
            account: Account::new(now, part),
        }
    }

    /// `share` of what all routers used of late was used by this one.
    pub fn set_usage_fraction(&mut self, now: Timestamp, share: f64) {
        self.share = Some(share);
        self.resize(now);
    }

    /// Levels arrived without a share of this router's: it used nothing of late.
    pub fn assume_idle_if_unknown(&mut self, now: Timestamp) {
        if self.share.is_none() {
            self.set_usage_fraction(now, 0.0);
        }
    }

    /// So many routers share the limit.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.routers = routers;
        self.resize(now);
    }

    fn resize(&mut self, now: Timestamp) {
        let limit = scaled(&self.whole, part(self.share, self.routers));
        if limit != *self.account.limit() {
            self.account.set_limit(now, limit);
        }
    }

    /// A limit that has changed is in force from now on.
    pub fn set_limit(&mut self, now: Timestamp, whole: TenantLimit) {
        self.whole = whole;
        self.resize(now);
    }

    /// True when a request is admitted; `draw` is a random part of one.
    pub fn admits(&self, now: Timestamp, cost: u32, draw: f64) -> bool {
        self.account.level(now) > f64::from(cost) * draw
    }

    /// The account of this router's part.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Charges this router's part; a negative amount is paid back.
    pub fn charge(&mut self, now: Timestamp, amount: f64) {
        self.account.charge(now, amount);
    }
}

fn part(share: Option<f64>, routers: u16) -> f64 {
    let even = 1.0 / f64::from(routers.max(1));
    share.map_or(even, |share| (share.clamp(0.0, 1.0) + even) / 2.0)
}

fn scaled(whole: &TenantLimit, part: f64) -> TenantLimit {
    TenantLimit {
        rate_per_second: whole.rate_per_second * part,
        burst: whole.burst * part,
        ..*whole
    }
}
