//! Rate limits of tenants as one router knows them: the levels sent by the leader, and what this router has charged.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::RouterCore;
use crate::limits::{Account, LimitShare, TenantLimit};
use crate::{AccountLevel, Document, TenantKey, TenantName, UsageEntry};

/// How long a level sent by the leader is valid. Afterwards, a router spends only its own share of the limit. This is
/// three times the interval at which the leader sends the levels of tenants close to their limit.
const LEVEL_TTL: Duration = Duration::from_millis(300);
/// How long a level is valid for a tenant that had much of its limit left. It is long enough that such a tenant is not
/// affected by a leader election.
const AMPLE_LEVEL_TTL: Duration = Duration::from_millis(1_800);
/// A tenant has much of its limit left while the account holds at least this fraction of its burst.
const AMPLE_FRACTION: f64 = 0.5;

/// A request that was charged to a tenant's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    tenant: TenantKey,
    /// Cost in units of the limit.
    pub cost: u32,
}

/// Details of a request that exceeds its tenant's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct OverLimit {
    /// The tenant whose limit is used up.
    pub tenant: TenantName,
    /// Cost of the request, in units of the limit.
    pub cost: u32,
    /// What is left of the limit, or of this router's share of it.
    pub level: f64,
    /// Time until the account covers the request.
    pub wait: Duration,
    /// Age of the last levels received, or of the first configuration if no levels have been received.
    pub age: Option<Duration>,
    /// True when the levels are too old, so that this router spends only its own share of the limit.
    pub by_own_share: bool,
}

#[derive(Debug)]
struct TenantAccount {
    /// Account over all routers: the last level received, minus what this router has charged since.
    replica: Account,
    own_share: LimitShare,
    /// Whether much of the limit was left when levels were last received. What has been refilled since does not
    /// count, because other routers may have used it.
    was_ample: bool,
    /// Charges not yet reported to the leader; negative when more was paid back than charged.
    unreported: i64,
}

/// The accounts of tenants that have a limit.
#[derive(Debug, Default)]
pub(super) struct TenantAccounts {
    accounts: BTreeMap<TenantKey, TenantAccount>,
    /// When levels were last received, or when the first limits were set. Full accounts at a router that has just
    /// started are thus valid as long as the last levels at a router that has just lost its leader.
    refreshed_at: Option<Timestamp>,
    routers: u16,
}

impl TenantAccounts {
    /// Applies the limits of a configuration. Existing charges are kept.
    pub fn set_limits(&mut self, now: Timestamp, document: &Document) {
        self.refreshed_at.get_or_insert(now);
        let mut earlier = std::mem::take(&mut self.accounts);
        let limited = document
            .tenants
            .iter()
            .filter_map(|tenant| Some((TenantKey::of(&tenant.name), tenant.limit?)));
        for (key, limit) in limited {
            let mut account = earlier
                .remove(&key)
                .unwrap_or_else(|| TenantAccount::new(now, limit, self.routers));
            account.set_limit(now, limit);
            self.accounts.insert(key, account);
        }
    }

    /// Changes the number of routers that share the limits.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.routers = routers;
        for account in self.accounts.values_mut() {
            account.own_share.set_routers(now, routers);
        }
    }

    /// Admits a request of a tenant and charges it; `Ok(None)` when the tenant has no limit.
    /// `sample` is a random sample, uniform in [0, 1).
    pub fn admit(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        declared_tokens: Option<u32>,
        sample: f64,
    ) -> Result<Option<Charge>, OverLimit> {
        let key = TenantKey::of(tenant);
        let Some(account) = self.accounts.get_mut(&key) else {
            return Ok(None);
        };
        let age = self.refreshed_at.map(|at| now.since(at));
        let by_own_share = account.is_stale(now, self.refreshed_at);
        let cost = account.replica.limit().cost(declared_tokens);
        let (bucket, is_admitted) = if by_own_share {
            let own = &account.own_share;
            (own.account(), own.admits(now, cost, sample))
        } else {
            (&account.replica, account.replica.admits(now))
        };
        if !is_admitted {
            return Err(OverLimit {
                tenant: tenant.clone(),
                cost,
                level: bucket.level(now),
                wait: bucket.wait_for(now, cost),
                age,
                by_own_share,
            });
        }
        account.charge(now, i64::from(cost));
        Ok(Some(Charge { tenant: key, cost }))
    }

    /// Charges a request again because it is sent to another back end.
    pub fn charge_again(&mut self, now: Timestamp, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.tenant) {
            account.charge(now, i64::from(charge.cost));
        }
    }

    /// Pays back the charge of a request that no back end executed.
    pub fn pay_back(&mut self, now: Timestamp, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.tenant) {
            account.charge(now, -i64::from(charge.cost));
        }
    }

    /// Applies levels sent by the leader. Unreported charges of this router are subtracted from them.
    pub fn on_levels(&mut self, now: Timestamp, levels: &[AccountLevel]) {
        self.refreshed_at = Some(now);
        for received in levels {
            if let Some(account) = self.accounts.get_mut(&received.tenant) {
                let level = f64::from(received.level) - account.unreported as f64;
                account.replica.set_level(now, level);
                account.own_share.set_usage_fraction(now, received.share());
            }
        }
        for account in self.accounts.values_mut() {
            account.own_share.assume_idle_if_unknown(now);
            account.was_ample = account.is_ample(now);
        }
    }

    /// Returns the charges that have not been reported to the leader, and marks them as reported.
    pub fn take_usage(&mut self, now: Timestamp) -> Vec<UsageEntry> {
        let mut usage = Vec::new();
        for (key, account) in &mut self.accounts {
            if account.unreported == 0 {
                continue;
            }
            let amount = account.unreported;
            usage.push(UsageEntry::new(*key, amount, account.replica.level(now)));
            account.unreported = 0;
        }
        usage
    }
}

impl TenantAccount {
    fn new(now: Timestamp, limit: TenantLimit, routers: u16) -> Self {
        let replica = Account::new(now, limit);
        Self {
            was_ample: replica.level(now) >= limit.burst * AMPLE_FRACTION,
            replica,
            own_share: LimitShare::new(now, limit, routers),
            unreported: 0,
        }
    }

    fn set_limit(&mut self, now: Timestamp, limit: TenantLimit) {
        if *self.replica.limit() != limit {
            self.replica.set_limit(now, limit);
            self.own_share.set_limit(now, limit);
        }
    }

    /// True when the last levels are too old, or none have been received.
    fn is_stale(&self, now: Timestamp, refreshed_at: Option<Timestamp>) -> bool {
        refreshed_at.is_none_or(|at| now.since(at) >= self.level_ttl(now))
    }

    fn level_ttl(&self, now: Timestamp) -> Duration {
        if self.was_ample && self.is_ample(now) {
            AMPLE_LEVEL_TTL
        } else {
            LEVEL_TTL
        }
    }

    fn is_ample(&self, now: Timestamp) -> bool {
        self.replica.level(now) >= self.replica.limit().burst * AMPLE_FRACTION
    }

    fn charge(&mut self, now: Timestamp, amount: i64) {
        self.replica.charge(now, amount as f64);
        self.own_share.charge(now, amount as f64);
        self.unreported += amount;
    }
}

impl RouterCore {
    /// Takes the charges to tenants' limits that are not reported to the leader yet.
    pub fn take_usage(&mut self, now: Timestamp) -> Vec<UsageEntry> {
        self.tenant_accounts.take_usage(now)
    }

    /// Updates the remaining levels of the tenants' limits, as the leader reports them.
    pub fn on_account_levels(&mut self, now: Timestamp, levels: &[AccountLevel]) {
        self.tenant_accounts.on_levels(now, levels);
    }
}
