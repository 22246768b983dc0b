//! How fast the back ends of a pool prefill prompts and generate tokens.

use std::collections::HashMap;
use std::time::Duration;

use crate::PoolName;

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
    time_factors: HashMap<u32, f64>,
    curves: HashMap<PoolName, PrefillCurve>,
}

impl BackEndSpeeds {
    /// The time that a back end takes for a piece of work, relative to the mean of its pool; 1 if unknown.
    /// `back_end` is its [`crate::LoadEntry::key_of`].
    pub fn time_factor(&self, back_end: u32) -> f64 {
        self.time_factors.get(&back_end).copied().unwrap_or(1.0)
    }

    /// The prefill curve of a pool.
    pub fn curve(&self, pool: &PoolName) -> PrefillCurve {
        self.curves.get(pool).copied().unwrap_or_default()
    }
}
