//! Status headers in which back ends report about themselves.

use std::fmt;
use std::time::Duration;

/// The status headers of a response from a back end, whatever the request was. They apply to the process that
/// receives the response; the back end may send other processes different ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackEndNotice {
    /// The back end shuts down soon and asks for no new requests.
    pub is_leaving: bool,
    /// The back end asks for no requests for this time.
    pub retry_after: Option<Duration>,
    /// The maximum rate of requests from all processes together. It ends with the first response without it.
    pub limit: Option<RequestRate>,
    /// The back end crashes if it has to reject more requests than this for want of room, from all processes together. It
    /// ends with the first response without it.
    pub brittle: Option<RejectionRate>,
}

/// Rejections per second that a back end withstands.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RejectionRate(f64);

impl RejectionRate {
    /// `None` if the rate is negative, infinite or not a number.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// The rate in rejections per second; zero or more.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RejectionRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Requests per second that a back end accepts from all processes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// `None` if the rate is negative, infinite or not a number.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// The rate in requests per second; zero or more.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
