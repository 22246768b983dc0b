//! The estimates that the leader sends to routers.

use std::ops::RangeInclusive;
use std::time::Duration;

use binrw::binrw;
use drumshore_wire::{List, Text};

use super::PrefillCurve;
use crate::PoolName;

/// The time factor of one back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedEntry {
    /// The key of the back end's name, see [`crate::LoadEntry::key_of`].
    pub back_end: u32,
    /// The time factor in thousandths.
    time_factor: u16,
    /// Time since its last sample, in units of 0.1 s.
    age: u16,
}

impl SpeedEntry {
    /// The size of an entry in a message.
    pub const BYTES: usize = 8;
    /// Units of the time factor 1.
    const FACTOR_UNITS: f64 = 1_000.0;
    const AGE_UNIT: Duration = Duration::from_millis(100);

    /// The entry of a back end whose last sample arrived `age` ago.
    pub fn new(back_end: u32, time_factor: f64, age: Duration) -> Self {
        let units = age.as_millis() / Self::AGE_UNIT.as_millis();
        Self {
            back_end,
            time_factor: ((time_factor * Self::FACTOR_UNITS).round() as u16).max(1),
            age: u16::try_from(units).unwrap_or(u16::MAX),
        }
    }

    /// The time that the back end takes for a piece of work, relative to the mean of its pool.
    pub fn time_factor(&self) -> f64 {
        f64::from(self.time_factor) / Self::FACTOR_UNITS
    }

    /// Time from the last sample to the sending of the entry.
    pub fn age(&self) -> Duration {
        Self::AGE_UNIT * u32::from(self.age)
    }
}

/// The prefill curve of one pool.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurveEntry {
    /// The pool.
    pool: Text,
    latency_us: u32,
    ns_per_token: u32,
    fs_per_pair: u32,
}

impl CurveEntry {
    const TOKEN_UNITS_PER_US: f64 = 1e3;
    const PAIR_UNITS_PER_US: f64 = 1e9;

    /// The entry of a pool.
    pub fn new(pool: &PoolName, curve: &PrefillCurve) -> Self {
        Self {
            pool: Text::new(pool.as_str()),
            latency_us: u32::try_from(curve.latency.as_micros()).unwrap_or(u32::MAX),
            ns_per_token: (curve.us_per_token * Self::TOKEN_UNITS_PER_US).round() as u32,
            fs_per_pair: (curve.us_per_pair * Self::PAIR_UNITS_PER_US).round() as u32,
        }
    }

    /// The pool.
    pub fn pool(&self) -> PoolName {
        PoolName::new(self.pool.as_str())
    }

    /// The curve.
    pub fn curve(&self) -> PrefillCurve {
        PrefillCurve {
            latency: Duration::from_micros(u64::from(self.latency_us)),
            us_per_token: f64::from(self.ns_per_token) / Self::TOKEN_UNITS_PER_US,
            us_per_pair: f64::from(self.fs_per_pair) / Self::PAIR_UNITS_PER_US,
        }
    }
}

/// Estimates of the leader. A list of all back ends would be too long for one message, so each message covers a range
/// of keys, and back ends that have changed since.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpeedNews {
    /// The first key of the range; the range is empty if this is greater than the last one.
    pub first: u32,
    /// The last key of the range.
    pub last: u32,
    /// Curves of some pools; those of others are as sent before.
    pub curves: List<CurveEntry>,
    /// Back ends. One in the range that is not listed has the factor 1; others are as sent before.
    pub back_ends: List<SpeedEntry>,
}

impl Default for SpeedNews {
    /// Covers no range.
    fn default() -> Self {
        Self {
            first: u32::MAX,
            last: 0,
            curves: List::default(),
            back_ends: List::default(),
        }
    }
}

impl SpeedNews {
    /// The range of keys that the message covers, if any.
    pub fn range(&self) -> Option<RangeInclusive<u32>> {
        (self.first <= self.last).then_some(self.first..=self.last)
    }

    /// Whether the message changes nothing.
    pub fn is_empty(&self) -> bool {
        self.range().is_none() && self.curves.items.is_empty() && self.back_ends.items.is_empty()
    }
}
