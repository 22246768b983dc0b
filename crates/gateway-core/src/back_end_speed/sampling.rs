//! Which requests of a router tell the speed of their back ends.

use std::time::Duration;

use super::SpeedSample;
use crate::{Choice, LoadEntry};

/// Samples that a router reports at once; further ones are dropped.
const MAX_SAMPLES: usize = 48;
/// A request tells the speed only if at most this fraction of its own prefill waited before it. Loads of other routers
/// are known in units of [`LoadEntry::TOKENS`], of which one is always allowed.
const MAX_FRACTION_AHEAD: f64 = 0.1;
/// A fuller back end makes requests wait for decoding steps or a slot.
const MAX_UTILIZATION: f64 = 0.85;

/// The load of a back end when a request was sent to it, without this request, as its router knew it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadAhead {
    /// Prompt tokens of all routers that waited for prefill.
    pub pending_tokens: u32,
    /// Requests of all routers in flight.
    pub in_flight: u32,
    /// Requests that the back end runs at once.
    pub slots: u32,
}

/// The samples of a router that it has not reported yet.
#[derive(Debug, Default)]
pub(crate) struct SpeedSamples(Vec<SpeedSample>);

impl SpeedSamples {
    /// Keeps the time that a request took, if it tells the speed of its back end.
    pub fn record(&mut self, choice: &Choice, took: Duration) {
        if self.0.len() < MAX_SAMPLES && is_informative(choice) {
            let back_end = LoadEntry::key_of(choice.instance.as_str());
            let sample = SpeedSample::new(back_end, choice.tokens, choice.cached_tokens, took);
            self.0.push(sample);
        }
    }

    /// Takes the samples.
    pub fn take(&mut self) -> Vec<SpeedSample> {
        std::mem::take(&mut self.0)
    }
}

/// Whether hardly anything but the prefill of its prompt delayed a request, as far as the router knows. Requests without
/// a prompt are not compared, because their work is unknown.
fn is_informative(choice: &Choice) -> bool {
    let ahead = choice.load_ahead;
    let allowed = f64::from(choice.tokens) * MAX_FRACTION_AHEAD;
    let has_slot = f64::from(ahead.in_flight + 1) <= f64::from(ahead.slots) * MAX_UTILIZATION;
    let waits = f64::from(ahead.pending_tokens) > allowed.max(f64::from(LoadEntry::TOKENS));
    choice.tokens > 0 && has_slot && !waits
}

#[cfg(test)]
#[path = "sampling_tests.rs"]
mod tests;
