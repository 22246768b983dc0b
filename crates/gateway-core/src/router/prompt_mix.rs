//! The share of short prompts in the work of one router, and the cost of prompts.

use super::{Prompt, PromptPart};

/// Prompts with fewer tokens count as short.
const LONG_PROMPT_TOKENS: u32 = 2_048;
/// Weight of the newest prompt in the moving averages.
const NEWEST_WEIGHT: f64 = 0.005;
/// A decoding step takes a back end as long as the prefill of this many tokens, and generates one token for each
/// running request, of which there are at most as many as slots. The users' engines have values from 176 to 206,
/// computed from their step times and prefill speeds.
const DECODE_STEP_TOKENS: f64 = 200.0;
/// Decoding steps take this many times as long at a back end that spends half of its time on prefill. Streams wait
/// for slots only at back ends that are about as loaded as that.
const LOADED_STEP_FACTOR: f64 = 2.0;
/// A kind of prompts with a smaller share of the work gets no partition of its own.
const MIN_PARTITION_SHARE: f64 = 0.04;

impl Prompt {
    /// Number of tokens of all parts.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let own = self.parts.len().saturating_sub(1);
        &self.parts[..own]
    }

    /// Number of tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// True if its prefill does not delay other requests for long.
    pub fn is_short(&self) -> bool {
        self.tokens() < LONG_PROMPT_TOKENS
    }

    /// Its cost for a back end that prefills `prefill_tokens` of it and runs `slots` requests at once, in tokens to
    /// prefill.
    pub(super) fn cost(&self, prefill_tokens: u32, slots: u32) -> f64 {
        let cost_per_output_token = DECODE_STEP_TOKENS / f64::from(slots.max(1));
        f64::from(prefill_tokens) + f64::from(self.output) * cost_per_output_token
    }
}

/// Moving averages over the prompts of one router.
#[derive(Debug, Default)]
pub(super) struct PromptMix {
    short_cost: f64,
    long_cost: f64,
    /// Fraction of the prompts that are long, and their prefilled tokens per prompt of any kind.
    long_fraction: f64,
    long_prefill: f64,
    mean_output: f64,
    prompt_count: u32,
}

impl PromptMix {
    /// Records a prompt of which `prefill_tokens` are prefilled, for back ends with `slots` slots.
    pub fn record_prompt(&mut self, prompt: &Prompt, prefill_tokens: u32, slots: u32) {
        self.prompt_count = self.prompt_count.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.prompt_count));
        let cost = prompt.cost(prefill_tokens, slots);
        let (newest_short, newest_long) = if prompt.is_short() {
            (cost, 0.0)
        } else {
            (0.0, cost)
        };
        let (newest_long_fraction, newest_long_prefill) = if prompt.is_short() {
            (0.0, 0.0)
        } else {
            (1.0, f64::from(prefill_tokens))
        };
        self.long_fraction += weight * (newest_long_fraction - self.long_fraction);
        self.long_prefill += weight * (newest_long_prefill - self.long_prefill);
        self.short_cost += weight * (newest_short - self.short_cost);
        self.long_cost += weight * (newest_long - self.long_cost);
        self.mean_output += weight * (f64::from(prompt.output) - self.mean_output);
    }

    /// Mean prefill of a long prompt, in tokens; 0 before the first one.
    pub fn long_prefill_tokens(&self) -> f64 {
        if self.long_fraction > 0.0 {
            self.long_prefill / self.long_fraction
        } else {
            0.0
        }
    }

    /// Mean time for which a stream occupies a slot, as the number of tokens that could be prefilled in that time.
    pub fn slot_time_tokens(&self) -> f64 {
        self.mean_output * DECODE_STEP_TOKENS * LOADED_STEP_FACTOR
    }

    /// The fraction of the work that is for short prompts; `None` when nearly all prompts are of one kind.
    pub fn short_share(&self) -> Option<f64> {
        let total = self.short_cost + self.long_cost;
        let share = self.short_cost / total;
        (total > 0.0 && (MIN_PARTITION_SHARE..=1.0 - MIN_PARTITION_SHARE).contains(&share))
            .then_some(share)
    }
}

#[cfg(test)]
#[path = "prompt_mix_tests.rs"]
mod tests;
