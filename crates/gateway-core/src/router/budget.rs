//! A router's part of the retries that all routers together may add.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::RouterParams;

/// Part of what is allowed that is used; the rest covers routers that are not counted.
const USED_PART: f64 = 0.6;

/// A token bucket that requests fill and retries drain.
#[derive(Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    most: f64,
    refill: Duration,
    tokens: f64,
    updated: Timestamp,
}

impl RetryBudget {
    pub fn new(params: &RouterParams, routers: u16) -> Self {
        let most = (params.retry_slack * USED_PART / f64::from(routers.max(1))).max(1.0);
        Self {
            ratio: params.retry_ratio * USED_PART,
            most,
            refill: params.retry_window,
            tokens: most / 2.0,
            updated: Timestamp::default(),
        }
    }

    pub fn on_request(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens + self.ratio).min(self.most);
    }

    pub fn may_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    pub fn on_retry(&mut self) {
        self.tokens -= 1.0;
    }

    /// Half of the slack comes back in a window, so that no window sees more than all of it.
    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let rate = self.most / 2.0 / self.refill.as_secs_f64().max(0.1);
        self.tokens = (self.tokens + passed * rate).min(self.most);
    }
}
