//! What this router knows of the limits of tenants: how much is left, and what it admitted itself.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::limits::{Account, LimitShare, TenantLimit};
use crate::{AccountLevel, Document, TenantKey, TenantName, UsageEntry};

/// Levels that the leader sent count for so long; afterwards a router spends its own part of the
/// limits only. Three times the interval at which the leader sends those of tenants close to their limit.
const LEVELS_COUNT_FOR: Duration = Duration::from_millis(300);
/// The same for a tenant that had much of its limit left, which is not to notice an election.
const AMPLE_LEVELS_COUNT_FOR: Duration = Duration::from_millis(1_800);
/// A tenant has much of its limit left while the account holds this part of its burst.
const AMPLE_PART: f64 = 0.5;

/// A request that was charged to a tenant's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    tenant: TenantKey,
    /// Units of the limit.
    pub cost: u32,
}

/// Why a request is beyond its tenant's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct OverLimit {
    /// The tenant.
    pub tenant: TenantName,
    /// What it would have cost, in units of the limit.
    pub cost: u32,
    /// What is left of the limit, or of this router's part of it.
    pub level: f64,
    /// How long until the account has room for it.
    pub wait: Duration,
    /// Age of the last levels received, or of the first configuration before them.
    pub age: Option<Duration>,
    /// True when that is too old, so that this router spends its own part of the limit.
    pub by_own_part: bool,
}

#[derive(Debug)]
struct TenantAccount {
    /// Over all routers: the last level received, less what this router has charged since.
    replica: Account,
    own_part: LimitShare,
    /// Much of the limit was left when levels came last. What flows in afterwards does not count: others use it.
    was_ample: bool,
    /// Not reported to the leader yet; negative when more was paid back than charged.
    unreported: i64,
}

/// The accounts of tenants that have a limit.
#[derive(Debug, Default)]
pub(super) struct TenantAccounts {
    accounts: BTreeMap<TenantKey, TenantAccount>,
    /// When levels last arrived, or when this router first had limits: levels of a router that has
    /// just started count as long as those of one that has just lost its leader.
    known_at: Option<Timestamp>,
    routers: u16,
}

impl TenantAccounts {
    /// Takes in the limits of a configuration; what was used stays charged.
    pub fn set_limits(&mut self, now: Timestamp, document: &Document) {
        self.known_at.get_or_insert(now);
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

    /// So many routers share the limits.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.routers = routers;
        for account in self.accounts.values_mut() {
            account.own_part.set_routers(now, routers);
        }
    }

    /// Admits a request of a tenant and charges it; `Ok(None)` when the tenant has no limit.
    /// `draw` is a random part of one.
    pub fn admit(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        declared_tokens: Option<u32>,
        draw: f64,
    ) -> Result<Option<Charge>, OverLimit> {
        let key = TenantKey::of(tenant);
        let Some(account) = self.accounts.get_mut(&key) else {
            return Ok(None);
        };
        let age = self.known_at.map(|at| now.since(at));
        let by_own_part = account.is_unknown(now, self.known_at);
        let cost = account.replica.limit().cost(declared_tokens);
        let (bucket, is_admitted) = if by_own_part {
            let part = &account.own_part;
            (part.account(), part.admits(now, cost, draw))
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
                by_own_part,
            });
        }
        account.charge(now, i64::from(cost));
        Ok(Some(Charge { tenant: key, cost }))
    }

    /// Charges a request once more: it was sent to a further back end.
    pub fn charge_again(&mut self, now: Timestamp, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.tenant) {
            account.charge(now, i64::from(charge.cost));
        }
    }

    /// Pays back what was charged for a request that ran nowhere.
    pub fn pay_back(&mut self, now: Timestamp, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.tenant) {
            account.charge(now, -i64::from(charge.cost));
        }
    }

    /// Takes in what the leader knows.
    pub fn on_levels(&mut self, now: Timestamp, levels: &[AccountLevel]) {
        self.known_at = Some(now);
        for received in levels {
            if let Some(account) = self.accounts.get_mut(&received.tenant) {
                let level = f64::from(received.level) - account.unreported as f64;
                account.replica.set_level(now, level);
                account.own_part.set_usage_fraction(now, received.share());
            }
        }
        for account in self.accounts.values_mut() {
            account.own_part.assume_idle_if_unknown(now);
            account.was_ample = account.is_ample(now);
        }
    }

    /// What this router admitted and has not reported yet.
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
            was_ample: replica.level(now) >= limit.burst * AMPLE_PART,
            replica,
            own_part: LimitShare::new(now, limit, routers),
            unreported: 0,
        }
    }

    fn set_limit(&mut self, now: Timestamp, limit: TenantLimit) {
        if *self.replica.limit() != limit {
            self.replica.set_limit(now, limit);
            self.own_part.set_limit(now, limit);
        }
    }

    /// True when levels came last, if ever, too long ago.
    fn is_unknown(&self, now: Timestamp, known_at: Option<Timestamp>) -> bool {
        known_at.is_none_or(|at| now.since(at) >= self.levels_count_for(now))
    }

    fn levels_count_for(&self, now: Timestamp) -> Duration {
        if self.was_ample && self.is_ample(now) {
            AMPLE_LEVELS_COUNT_FOR
        } else {
            LEVELS_COUNT_FOR
        }
    }

    fn is_ample(&self, now: Timestamp) -> bool {
        self.replica.level(now) >= self.replica.limit().burst * AMPLE_PART
    }

    fn charge(&mut self, now: Timestamp, amount: i64) {
        self.replica.charge(now, amount as f64);
        self.own_part.charge(now, amount as f64);
        self.unreported += amount;
    }
}
