//! Overload control: refuses a share of the requests of a pool that gets more load than it can serve in time.
//!
//! Streams last longer the more of them a back end runs and the more prompts it prefills at the same time. A
//! pool with all slots occupied therefore serves fewer requests per second than one with free slots, and a queue
//! persists after the load that caused it has gone. While most slots of a pool are occupied, a router refuses
//! a share of the requests, the least urgent first, and tells the callers to retry when the running streams
//! should have ended.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::{Admission, ChoiceError, Overload, Prompt, RouterCore};
use crate::{InstanceId, Pool, PoolName};

/// Utilization of the pool's slots above which the proportional term refuses requests. See
/// docs/design/overload.md.
pub(super) const REFUSAL_START_UTILIZATION: f64 = 0.75;
/// Fraction of the load that the proportional term refuses, per unit of utilization above
/// [`REFUSAL_START_UTILIZATION`].
const PROPORTIONAL_GAIN: f64 = 0.7;
/// Utilization that the integral term steers towards: the term grows above it and shrinks below it.
const TARGET_UTILIZATION: f64 = 0.95;
/// Change of the integral term per second, per unit of utilization above [`TARGET_UTILIZATION`].
const INTEGRAL_GAIN_PER_SECOND: f64 = 1.0;
/// Longest time that one step of the integral term covers. The utilization is known only when a request
/// arrives, so an idle router does not know what it was in between.
const MAX_INTEGRATION_STEP: Duration = Duration::from_millis(250);
/// Largest fraction of the requests of one urgency that is refused before more urgent ones are refused too.
/// Some requests of each urgency are thus always served.
const MAX_REFUSED_OF_URGENCY: f64 = 0.7;
/// Largest fraction of all requests that is refused.
const MAX_REFUSED_OF_ALL: f64 = 0.95;
/// Smallest weight of a new sample in the running means. The first samples weigh more, as in a plain mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.005;
/// Service time assumed until the first request of a pool has been answered.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(800);
/// Retry times of refused callers are spread by this fraction of the mean service time, to either side of it.
pub(super) const RETRY_JITTER: f64 = 0.5;

/// Urgency of a request, the most urgent first. The tenant's priority takes precedence over the route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    priority: u8,
    route_priority: u8,
}

impl Urgency {
    pub fn of(admission: &Admission) -> Self {
        Self {
            priority: admission.priority,
            route_priority: admission.route.priority,
        }
    }
}

/// Estimates of one router about the load and the service time of one pool.
#[derive(Debug)]
struct PoolLoad {
    /// Running mean of the cost per request, split by the urgency that contributed it.
    mean_cost: BTreeMap<Urgency, f64>,
    requests_seen: u32,
    /// Running mean of the time that a request spends at its back end.
    service_time: Duration,
    /// Fraction of the load that is refused because utilization has exceeded the target for some time.
    integral_term: f64,
    updated_at: Timestamp,
}

impl Default for PoolLoad {
    fn default() -> Self {
        Self {
            mean_cost: BTreeMap::new(),
            requests_seen: 0,
            service_time: INITIAL_SERVICE_TIME,
            integral_term: 0.0,
            updated_at: Timestamp::default(),
        }
    }
}

impl PoolLoad {
    fn record_cost(&mut self, urgency: Urgency, cost: f64) {
        self.requests_seen = self.requests_seen.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.requests_seen));
        self.mean_cost.entry(urgency).or_default();
        for (other, mean) in &mut self.mean_cost {
            let newest = if *other == urgency { cost } else { 0.0 };
            *mean += weight * (newest - *mean);
        }
    }

    /// Updates the proportional-integral controller with the current utilization of the slots. Returns the
    /// fraction of the load that must be refused.
    fn update_excess(&mut self, now: Timestamp, utilization: f64) -> f64 {
        let step = now
            .since(self.updated_at)
            .min(MAX_INTEGRATION_STEP)
            .as_secs_f64();
        self.updated_at = now;
        let change = (utilization - TARGET_UTILIZATION) * INTEGRAL_GAIN_PER_SECOND * step;
        self.integral_term = (self.integral_term + change).clamp(0.0, MAX_REFUSED_OF_ALL);
        let proportional_term =
            (utilization - REFUSAL_START_UTILIZATION).max(0.0) * PROPORTIONAL_GAIN;
        (proportional_term + self.integral_term).min(MAX_REFUSED_OF_ALL)
    }

    /// The fraction of the requests of one urgency to refuse when the fraction `excess` of the whole load must
    /// be refused. Less urgent requests are refused first.
    fn refused_fraction(&self, urgency: Urgency, excess: f64) -> f64 {
        let own = self.mean_cost.get(&urgency).copied().unwrap_or_default();
        if own <= 0.0 {
            return 0.0;
        }
        let all: f64 = self.mean_cost.values().sum();
        let less_urgent = self.mean_cost.iter().filter(|(other, _)| **other > urgency);
        let less_urgent: f64 = less_urgent.map(|(_, cost)| cost).sum();
        let remaining = excess * all - less_urgent * MAX_REFUSED_OF_URGENCY;
        let in_order = (remaining / own).clamp(0.0, MAX_REFUSED_OF_URGENCY);
        if excess > MAX_REFUSED_OF_URGENCY {
            excess
        } else {
            in_order
        }
    }
}

/// Load estimates and overload controllers by pool.
#[derive(Debug, Default)]
pub(super) struct PoolLoads(HashMap<PoolName, PoolLoad>);

impl PoolLoads {
    /// Records the cost of a prompt that a caller has sent.
    pub fn on_prompt(&mut self, pool: &Pool, urgency: Urgency, prompt: &Prompt) {
        let slots = pool.models.as_ref().map_or(1, |models| models.slots);
        let own = prompt.tokens() - prompt.shared_tokens();
        let load = self.0.entry(pool.name.clone()).or_default();
        load.record_cost(urgency, prompt.cost(own, slots));
    }

    /// Updates the mean service time with that of a request that was answered.
    pub fn on_answered(&mut self, pool: &PoolName, service_time: Duration) {
        let Some(load) = self.0.get_mut(pool) else {
            return;
        };
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(load.requests_seen.max(1)));
        load.service_time = load.service_time.mul_f64(1.0 - weight) + service_time.mul_f64(weight);
    }

    /// The fraction of the requests of one urgency that is admitted now.
    pub fn admitted_fraction(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        urgency: Urgency,
        utilization: f64,
    ) -> f64 {
        let Some(load) = self.0.get_mut(pool) else {
            return 1.0;
        };
        let excess = load.update_excess(now, utilization);
        1.0 - load.refused_fraction(urgency, excess)
    }

    /// Mean time that a request spends at a back end of the pool.
    pub fn service_time(&self, pool: &PoolName) -> Duration {
        let load = self.0.get(pool);
        load.map_or(INITIAL_SERVICE_TIME, |load| load.service_time)
    }

    /// Decides whether one request is refused. `sample` is a random sample, uniform in [0, 1).
    pub fn check(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        urgency: Urgency,
        utilization: f64,
        sample: f64,
    ) -> Result<(), ChoiceError> {
        let Some(load) = self.0.get_mut(pool) else {
            return Ok(());
        };
        let excess = load.update_excess(now, utilization);
        let refused = load.refused_fraction(urgency, excess);
        if sample >= refused {
            return Ok(());
        }
        // A sample below `refused` is uniform in [0, 1) again after division by `refused`.
        let spread = 1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * sample / refused;
        Err(ChoiceError::Overloaded(Overload {
            retry_after: load.service_time.mul_f64(spread),
            utilization_percent: percent(utilization),
            refused_percent: percent(refused),
        }))
    }
}

impl RouterCore {
    /// Refuses a share of the prompts while their pool is overloaded.
    pub(super) fn refuse_overload(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
    ) -> Result<(), ChoiceError> {
        let document = self.view.document();
        let Some(pool) = document.and_then(|document| document.pool(&admission.pool)) else {
            return Ok(());
        };
        let utilization = self.endpoints.slot_usage(now, &pool.name).utilization();
        let sample = self.random.random();
        let loads = &mut self.pool_loads;
        let urgency = Urgency::of(admission);
        loads.on_prompt(pool, urgency, prompt);
        loads.check(now, &pool.name, urgency, utilization, sample)
    }

    /// Records the service time of an answered request for the pool of its back end.
    pub(super) fn record_service_time(&mut self, instance: &InstanceId, service_time: Duration) {
        if let Some(endpoint) = self.endpoints.get(instance) {
            let pool = PoolName::new(endpoint.record.pool.as_str());
            self.pool_loads.on_answered(&pool, service_time);
        }
    }
}

pub(super) fn percent(fraction: f64) -> u32 {
    (fraction * 100.0).round() as u32
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
