//! What is left of the limits of tenants, over all routers together.
//!
//! The leader alone keeps accounts. Routers report what they admitted; each is sent the levels of
//! the tenants that it reported, and all are sent those of tenants that are close to their limit.
//! A new leader knows nothing of the past: during its first moments it takes the lowest
//! level that any router believes in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::limits::{Account, RecentUsage, TenantLimit};
use crate::{AccountLevel, Message, TenantKey, TenantName, UsageEntry};

/// Between two notices to routers. Half of what a router's report takes to get here adds to it; the
/// sum is the lag by which a tenant can exceed its limit.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(100);
/// Routers get a notice at least this often, also an empty one: they take silence for a leader that
/// is out of reach, see `LEVELS_COUNT_FOR` of the router.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// All routers are notified of a tenant that has less than this part of its burst left.
const CLOSE_TO_LIMIT: f64 = 0.5;
/// Bytes a second that levels may cost one router, of 14 KB/s for all control traffic. Longer lists
/// are sent less often.
const BYTES_PER_SECOND: f64 = 1_500.0;
/// How long a new leader takes over levels that routers report: two report intervals, and the time
/// that routers need to find it.
const TAKES_OVER_FOR: Duration = Duration::from_millis(1_500);
/// Routers whose use counts for less than this part of a tenant's are forgotten.
const FORGOTTEN_SHARE: f64 = 1e-3;

/// One tenant's account, and who used it.
#[derive(Debug)]
struct TenantAccount {
    account: Account,
    usage: RecentUsage,
    by_router: BTreeMap<ConnectionId, RecentUsage>,
    /// Routers were notified that the tenant is close to its limit.
    notified_as_close: bool,
}

/// The accounts of all tenants that have a limit.
#[derive(Debug, Default)]
pub(super) struct TenantAccounts {
    limits: BTreeMap<TenantKey, TenantLimit>,
    accounts: BTreeMap<TenantKey, TenantAccount>,
    /// What each router reported since its last notice.
    reported: BTreeMap<ConnectionId, BTreeSet<TenantKey>>,
    notified_at: BTreeMap<ConnectionId, Timestamp>,
    next_notice: Timestamp,
}

impl TenantAccount {
    fn new(now: Timestamp, limit: TenantLimit) -> Self {
        Self {
            account: Account::new(now, limit),
            usage: RecentUsage::default(),
            by_router: BTreeMap::new(),
            notified_as_close: false,
        }
    }

    fn charge(&mut self, now: Timestamp, router: ConnectionId, amount: f64) {
        self.account.charge(now, amount);
        self.usage.add(now, amount);
        self.by_router.entry(router).or_default().add(now, amount);
        let least = self.usage.amount(now) * FORGOTTEN_SHARE;
        self.by_router.retain(|_, usage| usage.amount(now) > least);
    }

    fn is_close(&self, now: Timestamp) -> bool {
        self.account.level(now) < self.account.limit().burst * CLOSE_TO_LIMIT
    }

    fn level_for(&self, now: Timestamp, key: TenantKey, router: ConnectionId) -> AccountLevel {
        let all = self.usage.amount(now);
        let own = self.by_router.get(&router);
        let own = own.map_or(0.0, |usage| usage.amount(now));
        let share = if all > 0.0 { own / all } else { 0.0 };
        AccountLevel::new(key, self.account.level(now), share)
    }
}

impl TenantAccounts {
    /// Forgets what was used: another machine may have led since.
    pub fn forget(&mut self) {
        *self = Self {
            limits: std::mem::take(&mut self.limits),
            ..Self::default()
        };
    }

    fn account(&mut self, now: Timestamp, key: TenantKey) -> Option<&mut TenantAccount> {
        let limit = *self.limits.get(&key)?;
        let accounts = &mut self.accounts;
        Some(
            accounts
                .entry(key)
                .or_insert_with(|| TenantAccount::new(now, limit)),
        )
    }

    /// What a router is to be sent; `None` when nothing is due.
    fn notice(
        &mut self,
        now: Timestamp,
        router: ConnectionId,
        close: &BTreeSet<TenantKey>,
    ) -> Option<Vec<AccountLevel>> {
        let mut keys = self.reported.remove(&router).unwrap_or_default();
        keys.extend(close);
        let last = self.notified_at.get(&router);
        let is_confirmed = last.is_some_and(|at| now.since(*at) < CONFIRM_INTERVAL);
        if keys.is_empty() && is_confirmed {
            return None;
        }
        self.notified_at.insert(router, now);
        let levels = keys.iter().filter_map(|key| {
            let account = self.accounts.get(key)?;
            Some(account.level_for(now, *key, router))
        });
        Some(levels.collect())
    }

    /// Tenants that all routers are notified of: those close to their limit, and once more those that
    /// no longer are.
    fn close_to_limit(&mut self, now: Timestamp) -> BTreeSet<TenantKey> {
        let mut notified = BTreeSet::new();
        for (key, account) in &mut self.accounts {
            let is_close = account.is_close(now);
            if is_close || account.notified_as_close {
                notified.insert(*key);
            }
            account.notified_as_close = is_close;
        }
        notified
    }
}

impl<D: Directory> ControlCore<D> {
    /// Takes in the limits of the configuration that is in force.
    pub fn set_limits(&mut self, now: Timestamp, limits: &[(TenantName, TenantLimit)]) {
        self.now = now;
        let by_key = |(name, limit): &(TenantName, TenantLimit)| (TenantKey::of(name), *limit);
        let accounts = &mut self.tenant_accounts;
        accounts.limits = limits.iter().map(by_key).collect();
        let limits = &accounts.limits;
        accounts.accounts.retain(|key, account| {
            let limit = limits.get(key);
            if let Some(limit) = limit.filter(|limit| *limit != account.account.limit()) {
                account.account.set_limit(now, *limit);
            }
            limit.is_some()
        });
    }

    /// What is left of a tenant's limit, when it has one and this machine leads.
    pub fn tenant_level(&self, tenant: &TenantName) -> Option<f64> {
        let account = self.tenant_accounts.accounts.get(&TenantKey::of(tenant))?;
        (self.role() == Role::Leader).then(|| account.account.level(self.now))
    }

    /// A router admitted requests of tenants that have a limit.
    pub(super) fn on_usage(&mut self, from: ConnectionId, entries: &[UsageEntry]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let takes_over = self
            .leads_since
            .is_some_and(|since| now.since(since) < TAKES_OVER_FOR);
        for entry in entries {
            let Some(account) = self.tenant_accounts.account(now, entry.tenant) else {
                continue;
            };
            account.charge(now, from, f64::from(entry.amount));
            let believed = f64::from(entry.estimated_level);
            if takes_over && believed < account.account.level(now) {
                account.account.set_level(now, believed);
            }
            let reported = self.tenant_accounts.reported.entry(from).or_default();
            reported.insert(entry.tenant);
        }
    }

    /// Sends routers how much is left.
    pub(super) fn share_accounts(&mut self) {
        let now = self.now;
        if self.tenant_accounts.limits.is_empty() || now < self.tenant_accounts.next_notice {
            return;
        }
        let close = self.tenant_accounts.close_to_limit(now);
        let bytes = (close.len() * AccountLevel::BYTES) as f64;
        let interval = Duration::from_secs_f64(bytes / BYTES_PER_SECOND).max(NOTIFY_INTERVAL);
        self.tenant_accounts.next_notice = now.plus(interval);
        for connection in self.routers.connections() {
            if let Some(levels) = self.tenant_accounts.notice(now, connection, &close) {
                let message = Message::AccountLevels(List::new(levels));
                self.effects.push(Effect::ToRouter(connection, message));
            }
        }
    }

    pub(super) fn forget_usage_of(&mut self, connection: ConnectionId) {
        self.tenant_accounts.reported.remove(&connection);
        self.tenant_accounts.notified_at.remove(&connection);
    }
}
