//! The observation of one request from which the speed of its back end is learned.

use std::time::Duration;

use binrw::binrw;

use super::PrefillCurve;

/// The time from sending a request to the first byte of its response, with the work that this time was spent on.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedSample {
    /// The key of the back end's name, see [`crate::LoadEntry::key_of`].
    pub back_end: u32,
    /// Prefilled tokens, in units of [`SpeedSample::TOKENS`].
    prefilled: u16,
    /// Tokens before the prefilled ones, in units of [`SpeedSample::CACHED_TOKENS`].
    cached: u16,
    /// The time, in units of [`SpeedSample::TIME`].
    took: u16,
}

/// Requests are compared by the time that they would take on this curve, so that their lengths hardly matter. The
/// latency stands for a decoding step.
const REFERENCE: PrefillCurve = PrefillCurve {
    latency: Duration::from_millis(5),
    us_per_token: 20.0,
    us_per_pair: 0.0005,
};

/// Part of the time that the speed of the back end does not change: the network and a new connection.
pub(super) const NETWORK: Duration = Duration::from_micros(1_500);

impl SpeedSample {
    /// The size of a sample in a message.
    pub const BYTES: usize = 10;
    /// The number of tokens in one unit of the prefilled tokens.
    const TOKENS: u32 = 8;
    /// The number of tokens in one unit of the cached tokens.
    const CACHED_TOKENS: u32 = 64;
    /// One unit of the time.
    const TIME: Duration = Duration::from_micros(250);

    /// The sample of a request of which the back end prefilled `prefilled` tokens after `cached` tokens.
    pub fn new(back_end: u32, prefilled: u32, cached: u32, took: Duration) -> Self {
        let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let units = took.as_micros() / Self::TIME.as_micros();
        Self {
            back_end,
            prefilled: narrow(prefilled.div_ceil(Self::TOKENS)),
            cached: narrow(cached / Self::CACHED_TOKENS),
            took: u16::try_from(units).unwrap_or(u16::MAX).max(1),
        }
    }

    /// The prefilled tokens.
    pub fn prefilled_tokens(&self) -> f64 {
        f64::from(self.prefilled) * f64::from(Self::TOKENS)
    }

    /// The pairs of a prefilled token and a token before it.
    pub fn pairs(&self) -> f64 {
        let cached = f64::from(self.cached) * f64::from(Self::CACHED_TOKENS);
        let prefilled = self.prefilled_tokens();
        prefilled * (cached + prefilled / 2.0)
    }

    /// The time on the reference curve, in microseconds.
    pub(super) fn reference_us(&self) -> f64 {
        let latency = REFERENCE.latency.as_secs_f64() * 1e6;
        latency
            + self.prefilled_tokens() * REFERENCE.us_per_token
            + self.pairs() * REFERENCE.us_per_pair
    }

    /// The natural logarithm of the time relative to the reference curve.
    pub(super) fn log_ratio(&self) -> f64 {
        let took = f64::from(self.took) * Self::TIME.as_secs_f64() * 1e6;
        let network = NETWORK.as_secs_f64() * 1e6;
        let at_back_end = (took - network).max(took / 2.0);
        (at_back_end / self.reference_us()).ln()
    }
}
