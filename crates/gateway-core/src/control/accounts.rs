//! Limits of tenants over all routers together.
//!
//! Only the leader keeps accounts. Routers report what they admitted; each is sent the levels of
//! the tenants that it reported, and all are sent the levels of tenants that are close to their
//! limit. A new leader does not know past usage: during its first moments it adopts the lowest
//! level that any router reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::limits::{Account, RecentUsage, TenantLimit};
use crate::{AccountLevel, Message, TenantKey, TenantName, UsageEntry};

/// Interval between updates to routers. This interval plus half the time that a router's report
/// takes to arrive is the lag during which a tenant can exceed its limit.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval between updates to a router, even if there is no level to send: without updates
/// a router assumes that the leader is unreachable and stops using the levels it received.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// All routers are notified of a tenant whose level is below this fraction of its burst.
const CLOSE_TO_LIMIT_FRACTION: f64 = 0.5;
/// Bandwidth per router for levels, out of 14 KB/s for all control traffic. Longer lists are sent
/// less often.
const MAX_BYTES_PER_SECOND: f64 = 1_500.0;
/// How long a new leader adopts levels that routers report: two report intervals, plus the time
/// that routers need to find it.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(1_500);
/// A leader that a quorum has not answered within this many heartbeat intervals sends no levels: it may receive nothing,
/// the usage that routers report included, and routers would take its levels for current.
const MAX_UNANSWERED_HEARTBEATS: u64 = 2;
/// Routers that account for less than this fraction of a tenant's recent usage are forgotten.
const MIN_USAGE_SHARE: f64 = 1e-3;

/// Account of one tenant and its recent usage.
#[derive(Debug)]
struct TenantAccount {
    account: Account,
    usage: RecentUsage,
    by_router: BTreeMap<ConnectionId, RecentUsage>,
    /// Routers were notified that the tenant is close to its limit.
    notified_as_close: bool,
}

/// Accounts of all tenants that have a limit.
#[derive(Debug, Default)]
pub(super) struct TenantAccounts {
    limits: BTreeMap<TenantKey, TenantLimit>,
    accounts: BTreeMap<TenantKey, TenantAccount>,
    /// Tenants that each router has reported since its last update.
    reported: BTreeMap<ConnectionId, BTreeSet<TenantKey>>,
    notified_at: BTreeMap<ConnectionId, Timestamp>,
    next_update: Timestamp,
    /// Whether levels are withheld because no quorum has answered recently.
    is_withheld: bool,
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
        let threshold = self.usage.amount(now) * MIN_USAGE_SHARE;
        self.by_router
            .retain(|_, usage| usage.amount(now) > threshold);
    }

    fn is_close(&self, now: Timestamp) -> bool {
        self.account.level(now) < self.account.limit().burst * CLOSE_TO_LIMIT_FRACTION
    }

    fn level_for(&self, now: Timestamp, key: TenantKey, router: ConnectionId) -> AccountLevel {
        let all = self.usage.amount(now);
        let router_usage = self.by_router.get(&router);
        let router_usage = router_usage.map_or(0.0, |usage| usage.amount(now));
        let share = if all > 0.0 { router_usage / all } else { 0.0 };
        AccountLevel::new(key, self.account.level(now), share)
    }
}

impl TenantAccounts {
    /// Discards all usage, as another machine may have led since.
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

    /// Levels that a router is to be sent; `None` if no update is due.
    fn due_levels(
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

    /// Tenants that all routers are notified of: those close to their limit, and once more those
    /// that no longer are.
    fn close_to_limit(&mut self, now: Timestamp) -> BTreeSet<TenantKey> {
        let mut tenants = BTreeSet::new();
        for (key, account) in &mut self.accounts {
            let is_close = account.is_close(now);
            if is_close || account.notified_as_close {
                tenants.insert(*key);
            }
            account.notified_as_close = is_close;
        }
        tenants
    }
}

impl<D: Directory> ControlCore<D> {
    /// Applies the limits of the configuration that is in force.
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

    /// Level of a tenant's account, if it has a limit and this machine leads.
    pub fn tenant_level(&self, tenant: &TenantName) -> Option<f64> {
        let account = self.tenant_accounts.accounts.get(&TenantKey::of(tenant))?;
        (self.role() == Role::Leader).then(|| account.account.level(self.now))
    }

    /// Charges the requests of tenants with a limit that a router admitted.
    pub(super) fn on_usage(&mut self, from: ConnectionId, entries: &[UsageEntry]) {
        if self.role() != Role::Leader {
            return;
        }
        let now = self.now;
        let is_taking_over = self
            .leader_since
            .is_some_and(|since| now.since(since) < TAKEOVER_PERIOD);
        for entry in entries {
            let Some(account) = self.tenant_accounts.account(now, entry.tenant) else {
                continue;
            };
            account.charge(now, from, f64::from(entry.amount));
            let reported_level = f64::from(entry.estimated_level);
            if is_taking_over && reported_level < account.account.level(now) {
                account.account.set_level(now, reported_level);
            }
            let reported = self.tenant_accounts.reported.entry(from).or_default();
            reported.insert(entry.tenant);
        }
    }

    /// Sends routers the levels of accounts.
    pub(super) fn send_account_levels(&mut self) {
        let now = self.now;
        if self.tenant_accounts.limits.is_empty() || now < self.tenant_accounts.next_update {
            return;
        }
        if self.withhold_account_levels() {
            return;
        }
        let close = self.tenant_accounts.close_to_limit(now);
        let bytes = (close.len() * AccountLevel::BYTES) as f64;
        let interval = Duration::from_secs_f64(bytes / MAX_BYTES_PER_SECOND).max(NOTIFY_INTERVAL);
        self.tenant_accounts.next_update = now.plus(interval);
        for connection in self.routers.connections() {
            if let Some(levels) = self.tenant_accounts.due_levels(now, connection, &close) {
                let message = Message::AccountLevels(List::new(levels));
                self.effects.push(Effect::ToRouter(connection, message));
            }
        }
    }

    /// Whether this leader sends no levels at present. Each change is logged.
    fn withhold_account_levels(&mut self) -> bool {
        let ticks = self.params.consensus.heartbeat_ticks * MAX_UNANSWERED_HEARTBEATS;
        let is_withheld = !self.replica.raft().has_quorum_within(ticks);
        if is_withheld != self.tenant_accounts.is_withheld {
            self.tenant_accounts.is_withheld = is_withheld;
            self.effects
                .push(Effect::AccountLevelsWithheld(is_withheld));
        }
        is_withheld
    }

    pub(super) fn forget_usage_of(&mut self, connection: ConnectionId) {
        self.tenant_accounts.reported.remove(&connection);
        self.tenant_accounts.notified_at.remove(&connection);
    }
}
