//! Which back ends ended under which work.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{CRASHES_FOR_QUARANTINE, REMEMBER_CRASHES_FOR};
use crate::RequestFingerprint;

/// Back ends that end within this time ended together, unless one got the work after the other had ended:
/// a loss of power ends many at once, and the same work may be in hand at several of them. Routers see one
/// moment up to 9 ms apart (lines of an incident).
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Ends that are kept of one work.
const MOST_ENDS: usize = 8;
/// Works that are kept, of 80 to 200 bytes each: 800 KB at most. A quarter of 1,900 back ends with 16
/// requests each that end together make 7,600 entries, of which the oldest give way.
const MOST_WORKS: usize = 4_096;
/// Back ends that are kept as explained, for reports of their ends that come late.
const MOST_EXPLAINED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct End {
    /// The incarnation, as [`crate::LoadEntry::key_of`] names it.
    back_end: u32,
    /// When it got the work, in microseconds on this process's clock; negative for what was before its
    /// start.
    begun: i64,
    /// When it ended, likewise.
    at: i64,
}

impl End {
    /// Whether this end may have had the cause of an earlier one.
    fn is_at_moment_of(&self, earlier: &End) -> bool {
        let is_close = self.at - earlier.at <= SAME_MOMENT.as_micros() as i64;
        is_close && self.begun <= earlier.at
    }
}

/// A back end that ended while it had work in hand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashReport {
    /// The incarnation, as [`crate::LoadEntry::key_of`] names it.
    pub back_end: u32,
    /// How long ago it ended.
    pub age: Duration,
    /// For how long it had had the work then.
    pub service_time: Duration,
}

/// Ends of back ends by the work that they had in hand, as far as nothing else explains them.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    fingerprints: HashMap<RequestFingerprint, Vec<End>>,
    /// Back ends that quarantined work ended: whatever else they had in hand is innocent of it.
    attributed: VecDeque<u32>,
}

impl CrashLedger {
    /// A back end ended while it had the work in hand. True when that was not known.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        report: CrashReport,
    ) -> bool {
        let back_end = report.back_end;
        if self.attributed.contains(&back_end) {
            return false;
        }
        if self.fingerprints.len() >= MOST_WORKS && !self.fingerprints.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let crashes = self.fingerprints.entry(fingerprint).or_default();
        let is_known = crashes.iter().any(|end| end.back_end == back_end);
        if is_known || crashes.len() >= MOST_ENDS {
            return false;
        }
        let at = micros(now) - report.age.as_micros() as i64;
        let begun = at - report.service_time.as_micros() as i64;
        crashes.push(End {
            back_end,
            begun,
            at,
        });
        crashes.sort_unstable_by_key(|end| end.at);
        true
    }

    /// How many moments there are at which back ends ended under the work.
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> u32 {
        let crashes = self
            .fingerprints
            .get(&fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let mut moments = 0;
        let mut moment: Option<&End> = None;
        for end in crashes {
            if !moment.is_some_and(|earlier| end.is_at_moment_of(earlier)) {
                moment = Some(end);
                moments += 1;
            }
        }
        moments
    }

    /// Forgets all that speaks against a work. True when something did.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.fingerprints.remove(&fingerprint).is_some()
    }

    /// Work that was quarantined explains the ends under it: they no longer count against the requests
    /// that were beside it. Returns the works of which nothing is left, or less than before.
    pub fn attribute_crashes_to(&mut self, culprit: RequestFingerprint) -> Vec<RequestFingerprint> {
        let crashes = self.fingerprints.get(&culprit).cloned().unwrap_or_default();
        let ended: BTreeSet<u32> = crashes.iter().map(|end| end.back_end).collect();
        let mut relieved = Vec::new();
        for (fingerprint, crashes) in self
            .fingerprints
            .iter_mut()
            .filter(|(fingerprint, _)| **fingerprint != culprit)
        {
            let before = crashes.len();
            crashes.retain(|end| !ended.contains(&end.back_end));
            if crashes.len() < before {
                relieved.push(*fingerprint);
            }
        }
        self.fingerprints.retain(|_, crashes| !crashes.is_empty());
        let new = ended
            .into_iter()
            .filter(|end| !self.attributed.contains(end));
        let new: Vec<u32> = new.collect();
        self.attributed.extend(new);
        let surplus = self.attributed.len().saturating_sub(MOST_EXPLAINED);
        self.attributed.drain(..surplus);
        relieved.sort_unstable();
        relieved
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Timestamp) {
        self.fingerprints.retain(|_, crashes| {
            crashes.retain(|end| micros(now) - end.at < REMEMBER_CRASHES_FOR.as_micros() as i64);
            !crashes.is_empty()
        });
    }

    /// Drops the half with the oldest last end, those with one end first: an attacker who fills the table
    /// has to end a back end for each moment, and work that ended several stays.
    fn make_room(&mut self, now: Timestamp) {
        self.expire(now);
        let mut by_value: Vec<(u32, i64, RequestFingerprint)> =
            Vec::with_capacity(self.fingerprints.len());
        for (fingerprint, crashes) in &self.fingerprints {
            let last = crashes.last().map(|end| end.at).unwrap_or_default();
            let rank = self.crashes(*fingerprint).min(CRASHES_FOR_QUARANTINE);
            by_value.push((rank, last, *fingerprint));
        }
        by_value.sort_unstable();
        let surplus = by_value.len().saturating_sub(MOST_WORKS / 2);
        for (.., fingerprint) in by_value.into_iter().take(surplus) {
            self.fingerprints.remove(&fingerprint);
        }
    }
}

fn micros(at: Timestamp) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
