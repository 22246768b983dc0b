//! A router's part of the retries that all routers together may add, for each pool.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::RouterParams;
use crate::PoolName;

/// Part of what is allowed that is used; the rest covers routers that are not counted.
const USED_PART: f64 = 0.6;
/// Part of the slack in the first window of a process: what its predecessor used is not known.
const FIRST_SLACK: f64 = 0.5;
/// A window is counted in so many slots.
const SLOTS: u32 = 20;

/// What came in one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    begun: Timestamp,
    requests: u32,
    retries: u32,
}

/// Requests and retries at one pool within the last window.
#[derive(Clone, Debug, Default)]
struct Window(VecDeque<Slot>);

/// The retries that this router may add.
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
            ratio: params.retry_ratio * USED_PART,
            slack: params.retry_slack * USED_PART,
            window: params.retry_window,
            routers: 1,
            pools: HashMap::new(),
        }
    }

    /// The slack is shared among so many routers.
    pub fn set_routers(&mut self, routers: u16) {
        self.routers = routers.max(1);
    }

    pub fn on_request(&mut self, now: Timestamp, pool: &PoolName) {
        self.slot(now, pool).requests += 1;
    }

    pub fn on_retry(&mut self, now: Timestamp, pool: &PoolName) {
        self.slot(now, pool).retries += 1;
    }

    /// In no window do retries exceed a share of its requests and the slack.
    pub fn may_retry(&self, now: Timestamp, pool: &PoolName) -> bool {
        let slots = self
            .pools
            .get(pool)
            .into_iter()
            .flat_map(|window| &window.0);
        let recent = slots.filter(|slot| now.since(slot.begun) < self.window);
        let (mut requests, mut retries) = (0, 0);
        for slot in recent {
            requests += slot.requests;
            retries += slot.retries;
        }
        let is_first = now.since(Timestamp::default()) < self.window;
        let slack = self.slack / f64::from(self.routers) * if is_first { FIRST_SLACK } else { 1.0 };
        f64::from(retries + 1) <= f64::from(requests) * self.ratio + slack.max(1.0)
    }

    fn slot(&mut self, now: Timestamp, pool: &PoolName) -> &mut Slot {
        let window = self.pools.entry(pool.clone()).or_default();
        let slots = &mut window.0;
        while slots
            .front()
            .is_some_and(|slot| now.since(slot.begun) >= self.window)
        {
            slots.pop_front();
        }
        let length = self.window / SLOTS;
        if slots
            .back()
            .is_none_or(|slot| now.since(slot.begun) >= length)
        {
            slots.push_back(Slot {
                begun: now,
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
