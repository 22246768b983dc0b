//! The speeds of back ends: what this router observes of them, and what the leader reports.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::{Choice, RouterCore};
use crate::back_end_speed::{BackEndSpeeds, SpeedNews, SpeedSample};

impl RouterCore {
    /// The speeds of back ends, as the leader estimates them.
    pub fn back_end_speeds(&self) -> &BackEndSpeeds {
        &self.speeds
    }

    /// Applies the leader's estimates of the speeds of back ends.
    pub fn on_back_end_speeds(&mut self, now: Timestamp, news: &SpeedNews) {
        self.speeds.apply(now, news);
        self.endpoints.set_time_factors(&self.speeds);
    }

    /// A successful response to the first attempt of a request began `took` after the request was sent.
    pub fn record_first_byte(&mut self, choice: &Choice, took: Duration) {
        self.speed_samples.record(choice, took);
    }

    /// Takes the samples of the speeds of back ends that this router has not reported yet.
    pub fn take_speed_samples(&mut self, now: Timestamp) -> Vec<SpeedSample> {
        self.speeds.expire(now);
        self.speed_samples.take()
    }
}
