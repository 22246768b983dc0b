//! Retry budgets: retries are limited to a fraction of the first attempts, so that they do not
//! overload a failing fleet.

use std::collections::BTreeMap;

use drumshore_core::TenantName;

/// Limits on retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryParams {
    /// Maximum attempts at one request, including the first.
    pub max_attempts: u32,
    /// Retries allowed for each hundred first attempts.
    pub percent: u32,
    /// Retries that a tenant has initially. Its budget is capped at a multiple of them.
    pub reserve: u32,
}

impl Default for RetryParams {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            percent: 20,
            reserve: 20,
        }
    }
}

const UNITS_PER_RETRY: u64 = 100;
const RESERVE_MULTIPLE: u64 = 5;

/// The retry budget of each tenant, in hundredths of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: RetryParams,
    units: BTreeMap<TenantName, u64>,
}

impl RetryBudget {
    /// Every tenant starts with the reserve of `params`.
    pub fn new(params: RetryParams) -> Self {
        Self {
            params,
            units: BTreeMap::new(),
        }
    }

    /// Credits a tenant for a first attempt with `percent` hundredths of a retry.
    pub fn deposit(&mut self, tenant: &TenantName) {
        let initial = self.initial_units();
        let percent = u64::from(self.params.percent);
        let units = self.units.entry(tenant.clone()).or_insert(initial);
        *units = (*units + percent).min(initial * RESERVE_MULTIPLE);
    }

    /// Deducts one retry from a tenant's budget. False if the budget is used up or the request has
    /// already had `max_attempts` attempts.
    pub fn withdraw(&mut self, tenant: &TenantName, attempts: u32) -> bool {
        if attempts >= self.params.max_attempts {
            return false;
        }
        let initial = self.initial_units();
        let units = self.units.entry(tenant.clone()).or_insert(initial);
        if *units < UNITS_PER_RETRY {
            return false;
        }
        *units -= UNITS_PER_RETRY;
        true
    }

    fn initial_units(&self) -> u64 {
        u64::from(self.params.reserve) * UNITS_PER_RETRY
    }
}
