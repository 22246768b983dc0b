//! Retry budgets: retries are a bounded share of first attempts, so that a failing fleet is not
//! buried under them.

use std::collections::BTreeMap;

use drumshore_core::TenantName;

/// How many retries are allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryParams {
    /// Attempts at one request, the first included.
    pub max_attempts: u32,
    /// Retries for each hundred first attempts.
    pub percent: u32,
    /// Retries a tenant always has in reserve.
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

/// The budget of each tenant, in hundredths of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: RetryParams,
    units: BTreeMap<TenantName, u64>,
}

impl RetryBudget {
    /// Every tenant starts with the reserve.
    pub fn new(params: RetryParams) -> Self {
        Self {
            params,
            units: BTreeMap::new(),
        }
    }

    /// A first attempt earns its share of a retry.
    pub fn deposit(&mut self, tenant: &TenantName) {
        let initial = self.initial_units();
        let percent = u64::from(self.params.percent);
        let units = self.units.entry(tenant.clone()).or_insert(initial);
        *units = (*units + percent).min(initial * RESERVE_MULTIPLE);
    }

    /// Takes one retry from the budget after `attempts` attempts; false when there is none.
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
