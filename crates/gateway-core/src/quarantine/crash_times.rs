//! Crashes of back ends, told apart by the times at which they happened.
//!
//! A back end may start again under its name, and a router that reports a crash may not know yet which process it was. A
//! process that received a request after an earlier one had crashed is a later process.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::REMEMBER_CRASHES_FOR;

/// A request that a back end received within this time after a crash may have been sent to the process that crashed: the
/// report of one router may be under way for longer than that of another.
const SAME_PROCESS: Duration = Duration::from_millis(500);
/// The maximum number of crashes that are remembered, of about 100 bytes each: several for each back end of the largest
/// fleet.
const MAX_CRASHES: usize = 65_536;

/// Identifies a crash among those that one process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashId {
    /// The key of the back end's name, see [`crate::LoadEntry::key_of`].
    back_end: u32,
    /// Counts the crashes of all back ends.
    number: u32,
}

/// What the reports of one crash say together. Times are in microseconds on this process's clock; negative if before its
/// start.
#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    number: u32,
    /// When the process received the last request that it was serving, of those reported.
    received: i64,
    /// When it crashed, by the earliest report.
    at: i64,
}

impl KnownCrash {
    /// Whether a process that received a request and then crashed may be the one of this crash.
    fn may_be(&self, received: i64, at: i64) -> bool {
        let margin = SAME_PROCESS.as_micros() as i64;
        received <= self.at + margin && self.received <= at + margin
    }
}

/// When back ends crashed, whatever they were serving.
#[derive(Debug, Default)]
pub(super) struct CrashTimes {
    by_back_end: HashMap<u32, Vec<KnownCrash>>,
    in_order: BTreeSet<(i64, CrashId)>,
    next_number: u32,
}

impl CrashTimes {
    /// The crash that a report is about: one that is known, or else a new one.
    pub fn record(&mut self, back_end: u32, received: i64, at: i64) -> CrashId {
        let crashes = self.by_back_end.entry(back_end).or_default();
        if let Some(known) = crashes.iter_mut().find(|crash| crash.may_be(received, at)) {
            let number = known.number;
            let id = CrashId { back_end, number };
            known.received = known.received.max(received);
            if at < known.at {
                self.in_order.remove(&(known.at, id));
                self.in_order.insert((at, id));
                known.at = at;
            }
            return id;
        }
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        crashes.push(KnownCrash {
            number,
            received,
            at,
        });
        crashes.sort_unstable_by_key(|crash| crash.at);
        let id = CrashId { back_end, number };
        self.in_order.insert((at, id));
        if self.in_order.len() > MAX_CRASHES {
            self.forget_oldest();
        }
        id
    }

    /// The time of a crash by its earliest report; `None` once it is forgotten.
    pub fn time_of(&self, crash: CrashId) -> Option<i64> {
        let mut crashes = self.by_back_end.get(&crash.back_end)?.iter();
        let known = crashes.find(|known| known.number == crash.number)?;
        Some(known.at)
    }

    /// The crashes within `distance` of a time.
    pub fn around(&self, at: i64, distance: Duration) -> impl Iterator<Item = CrashId> + '_ {
        let distance = distance.as_micros() as i64;
        let first = CrashId {
            back_end: u32::MIN,
            number: u32::MIN,
        };
        let last = CrashId {
            back_end: u32::MAX,
            number: u32::MAX,
        };
        let range = (at - distance, first)..=(at + distance, last);
        self.in_order.range(range).map(|(_, crash)| *crash)
    }

    /// Forgets crashes older than [`REMEMBER_CRASHES_FOR`].
    pub fn expire(&mut self, now: i64) {
        let oldest = now - REMEMBER_CRASHES_FOR.as_micros() as i64;
        while self.in_order.first().is_some_and(|(at, _)| *at <= oldest) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, oldest)) = self.in_order.pop_first() else {
            return;
        };
        if let Some(crashes) = self.by_back_end.get_mut(&oldest.back_end) {
            crashes.retain(|known| known.number != oldest.number);
            if crashes.is_empty() {
                self.by_back_end.remove(&oldest.back_end);
            }
        }
    }
}

#[cfg(test)]
#[path = "crash_times_tests.rs"]
mod tests;
