//! What back ends say of themselves in the heads of their answers.

use std::fmt;
use std::time::Duration;

/// What a back end says of itself in the head of an answer, whatever the answer is to. It holds for the process
/// that is answered; other processes may be told something else.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackEndNotice {
    /// It ends soon and wants no new requests.
    pub is_leaving: bool,
    /// It wants no requests for so long.
    pub retry_after: Option<Duration>,
    /// It takes no more requests than this from all processes together, for as long as its answers say so.
    pub limit: Option<RequestRate>,
}

/// Requests a second that a back end takes from all processes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// `None` for what is no rate: negative, infinite, or not a number.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Requests a second; zero or more.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
