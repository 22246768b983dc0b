//! Which requests are worth a question to the index, within a budget of bytes.

use drumshore_core::Timestamp;

/// Seconds of the budget that may be used at once.
const BURST_SECONDS: f64 = 2.0;

/// Bytes of a question, its answer and its booking, without the prefixes.
const BYTES_PER_QUESTION: f64 = 150.0;

/// Bytes of one prefix in a question.
const BYTES_PER_PREFIX: f64 = 8.0;

/// A budget of bytes, refilled by time. What has to be at stake for a question rises as the budget
/// runs low, so that under load only the questions that save most are asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookupBudget {
    bytes_per_second: f64,
    highest_stake: f64,
    left: f64,
    refilled_at: Timestamp,
}

impl LookupBudget {
    /// A full budget; `highest_stake` is in prompt tokens.
    pub(crate) fn new(bytes_per_second: f64, highest_stake: f64) -> Self {
        Self {
            bytes_per_second,
            highest_stake,
            left: bytes_per_second * BURST_SECONDS,
            refilled_at: Timestamp(0),
        }
    }

    /// Takes one question, when enough tokens are at stake for it.
    pub(crate) fn take(&mut self, prefixes: usize, stake: f64, now: Timestamp) -> bool {
        let capacity = self.bytes_per_second * BURST_SECONDS;
        let earned = self.bytes_per_second * now.since(self.refilled_at).as_secs_f64();
        self.left = (self.left + earned).min(capacity);
        self.refilled_at = now;
        let price = BYTES_PER_QUESTION + BYTES_PER_PREFIX * prefixes as f64;
        let spent = 1.0 - self.left / capacity;
        if price > self.left || stake < spent * self.highest_stake {
            return false;
        }
        self.left -= price;
        true
    }
}
