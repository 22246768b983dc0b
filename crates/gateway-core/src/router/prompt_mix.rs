//! How much of a router's work are short prompts.

use super::{Prompt, PromptPart};

/// Prompts of fewer tokens are short.
const LONG_PROMPT_TOKENS: u32 = 2_048;
/// The weight of the newest prompt.
const NEWEST: f64 = 0.005;
/// A step of decoding takes a back end as long as reading so many tokens. It makes one token for
/// each of up to as many requests as there are slots. From the step times and read speeds of the
/// users' engines: 176 to 206.
const STEP_TOKENS: f64 = 200.0;
/// Steps take so many times as long at a back end that reads prompts for half of its time, which is
/// when streams have to wait for slots.
const LOADED_STEP_FACTOR: f64 = 2.0;
/// Sides smaller than this are not worth keeping apart.
const LEAST_SHARE: f64 = 0.04;

impl Prompt {
    /// Tokens of all parts.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// The parts that other requests may share: all but its own.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let own = self.parts.len().saturating_sub(1);
        &self.parts[..own]
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// True when reading it holds up nobody for long.
    pub fn is_short(&self) -> bool {
        self.tokens() < LONG_PROMPT_TOKENS
    }

    /// What it costs a back end with so many slots that reads so many tokens of it, in tokens to
    /// be read.
    pub(super) fn cost(&self, read: u32, slots: u32) -> f64 {
        let for_each_output = STEP_TOKENS / f64::from(slots.max(1));
        f64::from(read) + f64::from(self.output) * for_each_output
    }
}

/// A running mean over the prompts of one router.
#[derive(Debug, Default)]
pub(super) struct PromptMix {
    short: f64,
    long: f64,
    output: f64,
    seen: u32,
}

impl PromptMix {
    /// Takes in a prompt of which so many tokens are read, for back ends with so many slots.
    pub fn note(&mut self, prompt: &Prompt, read: u32, slots: u32) {
        self.seen = self.seen.saturating_add(1);
        let weight = NEWEST.max(1.0 / f64::from(self.seen));
        let cost = prompt.cost(read, slots);
        let (short, long) = if prompt.is_short() {
            (cost, 0.0)
        } else {
            (0.0, cost)
        };
        self.short += weight * (short - self.short);
        self.long += weight * (long - self.long);
        self.output += weight * (f64::from(prompt.output) - self.output);
    }

    /// How long a stream keeps its slot on the mean, in tokens that could be read meanwhile.
    pub fn stream_length(&self) -> f64 {
        self.output * STEP_TOKENS * LOADED_STEP_FACTOR
    }

    /// The part of the work that short prompts make; `None` when nearly all are alike.
    pub fn short_share(&self) -> Option<f64> {
        let all = self.short + self.long;
        let share = self.short / all;
        (all > 0.0 && (LEAST_SHARE..=1.0 - LEAST_SHARE).contains(&share)).then_some(share)
    }
}

#[cfg(test)]
#[path = "prompt_mix_tests.rs"]
mod tests;
