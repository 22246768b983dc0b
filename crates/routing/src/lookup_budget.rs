//! Decides which requests justify a lookup in the shared index, within a budget of bytes.

use drumshore_core::Timestamp;

/// Capacity of the budget, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Bytes of a lookup with its answer and booking, without the prefixes.
const BYTES_PER_LOOKUP: f64 = 150.0;

/// Bytes of one prefix in a lookup.
const BYTES_PER_PREFIX: f64 = 8.0;

/// A token bucket of bytes. The stake that a lookup requires rises as the budget runs low, so that
/// under load only the lookups with the highest possible savings are sent. The stake is the number
/// of prompt tokens that a better engine could save.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookupBudget {
    bytes_per_second: f64,
    highest_stake: f64,
    left: f64,
    refilled_at: Timestamp,
}

impl LookupBudget {
    /// Creates a full budget. `highest_stake` is the stake in prompt tokens that an empty budget
    /// requires.
    pub(crate) fn new(bytes_per_second: f64, highest_stake: f64) -> Self {
        Self {
            bytes_per_second,
            highest_stake,
            left: bytes_per_second * BURST_SECONDS,
            refilled_at: Timestamp(0),
        }
    }

    /// Deducts the price of one lookup. Returns false, and deducts nothing, if the budget is too
    /// low or the stake in prompt tokens is too small.
    pub(crate) fn take(&mut self, prefixes: usize, stake: f64, now: Timestamp) -> bool {
        let capacity = self.bytes_per_second * BURST_SECONDS;
        let earned = self.bytes_per_second * now.since(self.refilled_at).as_secs_f64();
        self.left = (self.left + earned).min(capacity);
        self.refilled_at = now;
        let price = BYTES_PER_LOOKUP + BYTES_PER_PREFIX * prefixes as f64;
        let spent = 1.0 - self.left / capacity;
        if price > self.left || stake < spent * self.highest_stake {
            return false;
        }
        self.left -= price;
        true
    }
}
