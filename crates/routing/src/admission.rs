//! Admission control: limits the request rate and concurrency of each tenant, and the open requests
//! of the process.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{ErrorCode, RequestError, TenantLimits, TenantName, Timestamp};

/// Limits of the router process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionParams {
    /// Maximum number of open requests of all tenants together.
    pub max_open: u32,
}

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// The tenant that sent the request.
    pub tenant: &'a TenantName,
    /// The limits of the tenant over all routers together.
    pub limits: &'a TenantLimits,
}

/// This router's share of a tenant's limits. The control machines compute it from the usage that
/// all routers report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// Maximum requests a second.
    pub requests_per_second: f64,
    /// Maximum number of open requests.
    pub open: u32,
}

/// The result of [`Admission::admit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may start. [`Admission::release`] must be called when it ends.
    Admitted,
    /// The request may not start; it has not run.
    Refused(RequestError),
}

#[derive(Clone, Debug)]
struct TenantState {
    open: u32,
    requests: u32,
    tokens: f64,
    refilled_at: Timestamp,
    allotment: Option<Allotment>,
}

/// The usage of one tenant since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantUsage {
    /// The tenant that used the router.
    pub tenant: TenantName,
    /// Requests received, including those refused at the tenant's limits.
    pub requests: u32,
    /// Requests open at the time of the report.
    pub open: u32,
}

/// Capacity of a tenant's token bucket, in seconds of its rate limit.
const BURST_SECONDS: f64 = 1.0;

/// Admission control of one router, with a token bucket for each tenant.
#[derive(Clone, Debug)]
pub struct Admission {
    params: AdmissionParams,
    open: u32,
    tenants: BTreeMap<TenantName, TenantState>,
}

impl Admission {
    /// Starts without open requests.
    pub fn new(params: AdmissionParams) -> Self {
        Self {
            params,
            open: 0,
            tenants: BTreeMap::new(),
        }
    }

    /// Admits or refuses one request and counts it for the tenant's usage.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>, now: Timestamp) -> AdmissionDecision {
        if self.open >= self.params.max_open {
            let error = RequestError::not_run(ErrorCode::Overloaded, "too many requests are open");
            return AdmissionDecision::Refused(error.retry_after(Duration::from_secs(1)));
        }
        let tenant = self.tenant_state(request, now);
        tenant.requests += 1;
        if let Err(error) = tenant.check(request.limits, now) {
            return AdmissionDecision::Refused(error);
        }
        tenant.open += 1;
        self.open += 1;
        AdmissionDecision::Admitted
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, tenant: &TenantName) {
        self.open = self.open.saturating_sub(1);
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.open = tenant.open.saturating_sub(1);
        }
    }

    /// Number of open requests of all tenants.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Sets this router's share of a tenant's limits; `None` restores the full limits. Ignored for
    /// a tenant that has no recent requests.
    pub fn set_allotment(&mut self, tenant: &TenantName, allotment: Option<Allotment>) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.allotment = allotment;
        }
    }

    /// Returns the usage of each tenant since the last call and resets it. Tenants without usage
    /// are removed.
    pub fn take_usage(&mut self) -> Vec<TenantUsage> {
        let used = |tenant: &TenantState| tenant.requests > 0 || tenant.open > 0;
        let usage = self.tenants.iter().filter(|(_, tenant)| used(tenant));
        let usage = usage
            .map(|(name, tenant)| TenantUsage {
                tenant: name.clone(),
                requests: tenant.requests,
                open: tenant.open,
            })
            .collect();
        self.tenants.retain(|_, tenant| used(tenant));
        for tenant in self.tenants.values_mut() {
            tenant.requests = 0;
        }
        usage
    }

    fn tenant_state(&mut self, request: &AdmissionRequest<'_>, now: Timestamp) -> &mut TenantState {
        let full = f64::from(request.limits.requests_per_second) * BURST_SECONDS;
        self.tenants
            .entry(request.tenant.clone())
            .or_insert_with(|| TenantState {
                open: 0,
                requests: 0,
                tokens: full,
                refilled_at: now,
                allotment: None,
            })
    }
}

impl TenantState {
    fn check(&mut self, limits: &TenantLimits, now: Timestamp) -> Result<(), RequestError> {
        let rate = f64::from(limits.requests_per_second);
        let rate = self
            .allotment
            .map_or(rate, |allotment| allotment.requests_per_second);
        let open = limits.concurrent_requests;
        let open = self
            .allotment
            .map_or(open, |allotment| allotment.open.min(open));
        self.refill(rate, now);
        if self.open >= open {
            let message = "the tenant's limit of concurrent requests is reached";
            let error = RequestError::not_run(ErrorCode::LimitReached, message);
            return Err(error.retry_after(Duration::from_millis(500)));
        }
        if self.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / rate.max(0.1));
            let message = "the tenant's request rate is reached";
            return Err(RequestError::not_run(ErrorCode::LimitReached, message).retry_after(wait));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn refill(&mut self, rate: f64, now: Timestamp) {
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min((rate * BURST_SECONDS).max(1.0));
        self.refilled_at = now;
    }
}
