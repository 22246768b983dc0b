//! How long an engine takes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The timing model, with the source of each default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTiming {
    /// Time to compute one prompt token, in microseconds. 20: 50,000 tokens a second, which lets
    /// a worker of eight accelerators compute a missed prefix of 20,000 tokens in 0.4 s, half of
    /// letter 1's 0.79 s to the first token.
    pub prefill_us_per_token: f64,
    /// Time of a step without work, in microseconds.
    pub step_us: f64,
    /// Added to a step by each sequence that decodes, in microseconds. With [`Self::step_us`]
    /// it gives 38 ms at the 230 sequences that each of letter 1's 1,900 workers runs (9.2 M
    /// tokens a second at 47 ms), so that 47 ms are kept with some prompts in between.
    pub decode_us_per_sequence: f64,
    /// Prompt tokens computed in one step at most. 2,048 take 41 ms, so that sequences that
    /// decode beside them keep letter 1's 47 ms between tokens.
    pub prefill_chunk_tokens: u32,
    /// Time to load weights when nobody else loads, in seconds. A stand-in's choice: the brief
    /// says only that loading slows when several workers load at once.
    pub weight_load_seconds: f64,
    /// Load reports are this old at most, in milliseconds. The brief says "with a lag".
    pub report_lag_ms: u64,
    /// All times are multiplied by this.
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
    /// The time of one step. Decoding is bound by memory and prompts by arithmetic, so within
    /// one step the longer of the two counts.
    pub fn step(&self, decoding: usize, prefill_tokens: u32) -> Duration {
        let decode_us = decoding as f64 * self.decode_us_per_sequence;
        let prefill_us = f64::from(prefill_tokens) * self.prefill_us_per_token;
        let total_us = (self.step_us + decode_us).max(prefill_us) * self.slowdown;
        Duration::from_micros(total_us as u64)
    }

    /// The time to load weights while `loading` engines load, this one included.
    pub fn weight_load(&self, loading: usize) -> Duration {
        let share = loading.max(1) as f64;
        Duration::from_secs_f64(self.weight_load_seconds * share * self.slowdown)
    }
}
