//! Retry budget: this router's share of the retries that all routers together may add, per pool.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::RouterParams;
use crate::PoolName;

/// Fraction of the allowed retries that is used. The rest is a reserve for routers that are not counted.
const USED_FRACTION: f64 = 0.6;
/// Fraction of the slack that is used in the first window of a process, which does not know how much of it the
/// previous process has used.
const INITIAL_SLACK_FRACTION: f64 = 0.5;
/// Number of slots into which the sliding window is divided.
const SLOTS_PER_WINDOW: u32 = 20;

/// Counters of one slot of the window.
#[derive(Clone, Copy, Debug)]
struct Slot {
    started_at: Timestamp,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one pool within the sliding window, the oldest slot first.
#[derive(Clone, Debug, Default)]
struct Window(VecDeque<Slot>);

/// The retries that this router may add to each pool.
#[derive(Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    routers: u16,
    pools: HashMap<PoolName, Window>,
}

impl RetryBudget {
    pub fn new(params: &RouterParams) -> Self {
        Self {
            ratio: params.retry_ratio * USED_FRACTION,
            slack: params.retry_slack * USED_FRACTION,
            window: params.retry_window,
            routers: 1,
            pools: HashMap::new(),
        }
    }

    /// Sets the number of routers among which the slack is divided.
    pub fn set_routers(&mut self, routers: u16) {
        self.routers = routers.max(1);
    }

    pub fn on_request(&mut self, now: Timestamp, pool: &PoolName) {
        self.slot(now, pool).requests += 1;
    }

    pub fn on_retry(&mut self, now: Timestamp, pool: &PoolName) {
        self.slot(now, pool).retries += 1;
    }

    /// Whether one more retry keeps the retries of the window within a fraction of its requests plus this router's
    /// share of the slack.
    pub fn may_retry(&self, now: Timestamp, pool: &PoolName) -> bool {
        let slots = self
            .pools
            .get(pool)
            .into_iter()
            .flat_map(|window| &window.0);
        let recent = slots.filter(|slot| now.since(slot.started_at) < self.window);
        let (mut requests, mut retries) = (0, 0);
        for slot in recent {
            requests += slot.requests;
            retries += slot.retries;
        }
        let is_first_window = now.since(Timestamp::default()) < self.window;
        let slack = self.slack / f64::from(self.routers)
            * if is_first_window {
                INITIAL_SLACK_FRACTION
            } else {
                1.0
            };
        f64::from(retries + 1) <= f64::from(requests) * self.ratio + slack.max(1.0)
    }

    fn slot(&mut self, now: Timestamp, pool: &PoolName) -> &mut Slot {
        let window = self.pools.entry(pool.clone()).or_default();
        let slots = &mut window.0;
        while slots
            .front()
            .is_some_and(|slot| now.since(slot.started_at) >= self.window)
        {
            slots.pop_front();
        }
        let length = self.window / SLOTS_PER_WINDOW;
        if slots
            .back()
            .is_none_or(|slot| now.since(slot.started_at) >= length)
        {
            slots.push_back(Slot {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
