//! How fast the back ends of a pool prefill prompts and generate tokens.
//!
//! Routers report the times of single requests as [`SpeedSample`]s, the leader learns the speeds of back ends from
//! those of all routers ([`SpeedLearner`]), and routers know what it sends them ([`BackEndSpeeds`]).

mod curve_fit;
mod learner;
mod news;
mod pool_model;
mod quantile;
mod sample;
mod sampling;
mod shrinkage;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::PoolName;

pub use learner::SpeedChange;
pub(crate) use learner::SpeedLearner;
pub use news::{CurveEntry, SpeedEntry, SpeedNews};
pub use pool_model::BackEndEstimate;
pub use sample::SpeedSample;
pub use sampling::LoadAhead;
pub(crate) use sampling::SpeedSamples;

/// A time factor that the leader has not confirmed for this long is forgotten, so that a router that hears of no
/// leader does not rely on old speeds for good.
const MAX_AGE: Duration = Duration::from_secs(300);

/// The prefill time of a back end of mean speed, as a function of the prompt's length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillCurve {
    /// Time before the first token that does not depend on the length and during which other prompts are prefilled.
    pub latency: Duration,
    /// Microseconds for each prefilled token.
    pub us_per_token: f64,
    /// Microseconds for each pair of a prefilled token and a token before it.
    pub us_per_pair: f64,
}

impl Default for PrefillCurve {
    /// A typical curve, used until a pool's own one is known.
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            us_per_token: 20.0,
            us_per_pair: 0.0005,
        }
    }
}

impl PrefillCurve {
    /// Time for which a back end of mean speed is occupied by the prefill of `tokens` tokens that follow `cached` tokens.
    pub fn occupancy(&self, cached: u32, tokens: u32) -> Duration {
        let (cached, tokens) = (f64::from(cached), f64::from(tokens));
        let pairs = tokens * (cached + tokens / 2.0);
        Duration::from_secs_f64((tokens * self.us_per_token + pairs * self.us_per_pair) / 1e6)
    }
}

/// What a router knows about the speeds of back ends.
#[derive(Clone, Debug, Default)]
pub struct BackEndSpeeds {
    time_factors: BTreeMap<u32, KnownFactor>,
    curves: HashMap<PoolName, PrefillCurve>,
}

#[derive(Clone, Copy, Debug)]
struct KnownFactor {
    time_factor: f64,
    /// When the leader last sent it.
    received_at: Timestamp,
    /// The age of its last sample at that time.
    age: Duration,
}

impl BackEndSpeeds {
    /// The time that a back end takes for a piece of work, relative to the mean of its pool; 1 if unknown.
    /// `back_end` is its [`crate::LoadEntry::key_of`].
    pub fn time_factor(&self, back_end: u32) -> f64 {
        let known = self.time_factors.get(&back_end);
        known.map_or(1.0, |known| known.time_factor)
    }

    /// Time since the last sample of a back end; `None` if nothing is known of it.
    pub fn age(&self, now: Timestamp, back_end: u32) -> Option<Duration> {
        let known = self.time_factors.get(&back_end)?;
        Some(known.age + now.since(known.received_at))
    }

    /// Applies the leader's estimates.
    pub(crate) fn apply(&mut self, now: Timestamp, news: &SpeedNews) {
        if let Some(range) = news.range() {
            self.time_factors.retain(|key, _| !range.contains(key));
        }
        for entry in &news.back_ends.items {
            let known = KnownFactor {
                time_factor: entry.time_factor(),
                received_at: now,
                age: entry.age(),
            };
            self.time_factors.insert(entry.back_end, known);
        }
        for curve in &news.curves.items {
            self.curves.insert(curve.pool(), curve.curve());
        }
    }

    /// Forgets a back end that was removed.
    pub(crate) fn forget(&mut self, back_end: u32) {
        self.time_factors.remove(&back_end);
    }

    /// Forgets what the leader has not confirmed for long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let is_recent = |known: &mut KnownFactor| now.since(known.received_at) < MAX_AGE;
        self.time_factors.retain(|_, known| is_recent(known));
    }

    /// The prefill curve of a pool.
    pub fn curve(&self, pool: &PoolName) -> PrefillCurve {
        self.curves.get(pool).copied().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "back_end_speeds_tests.rs"]
mod tests;
