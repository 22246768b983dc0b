//! The timing model of a mock engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Durations of the steps of an engine. Each field says what its default is derived from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTiming {
    /// Time to compute one prompt token, in microseconds. The default of 20 is 50,000 tokens a
    /// second: a worker with eight accelerators computes an uncached prefix of 20,000 tokens in
    /// 0.4 s, half of the required 0.79 s to the first token.
    pub prefill_us_per_token: f64,
    /// Fixed time of a step, in microseconds.
    pub step_us: f64,
    /// Time that each decoding sequence adds to a step, in microseconds. With [`Self::step_us`] a
    /// step takes 38 ms at 230 sequences, the load of each of 1,900 workers that together produce
    /// 9.2 M tokens a second at 47 ms between tokens. The required 47 ms hold even when some steps
    /// also compute prompts.
    pub decode_us_per_sequence: f64,
    /// Maximum number of prompt tokens computed in one step. The default of 2,048 takes 41 ms, so
    /// sequences that decode in the same step stay within 47 ms between tokens.
    pub prefill_chunk_tokens: u32,
    /// Time to load weights when no other engine loads, in seconds. The value is arbitrary: only
    /// the slowdown when several workers load at once is specified.
    pub weight_load_seconds: f64,
    /// Maximum age of the load in a probe, in milliseconds. Real engines report their load with a
    /// lag.
    pub report_lag_ms: u64,
    /// Factor by which all times are multiplied.
    pub slowdown: f64,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 20.0,
            step_us: 15_000.0,
            decode_us_per_sequence: 100.0,
            prefill_chunk_tokens: 2_048,
            weight_load_seconds: 2.0,
            report_lag_ms: 200,
            slowdown: 1.0,
        }
    }
}

impl EngineTiming {
    /// Returns the duration of one step. Decoding is bound by memory bandwidth and prompt
    /// computation by arithmetic, so the longer of the two determines the step.
    pub fn step(&self, decoding: usize, prefill_tokens: u32) -> Duration {
        let decode_us = decoding as f64 * self.decode_us_per_sequence;
        let prefill_us = f64::from(prefill_tokens) * self.prefill_us_per_token;
        let total_us = (self.step_us + decode_us).max(prefill_us) * self.slowdown;
        Duration::from_micros(total_us as u64)
    }

    /// Returns the time to load weights while `loading` engines load, this one included.
    pub fn weight_load(&self, loading: usize) -> Duration {
        let share = loading.max(1) as f64;
        Duration::from_secs_f64(self.weight_load_seconds * share * self.slowdown)
    }
}
