//! Crashes of back ends, by the fingerprints of the requests that they were serving.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::completions::Completions;
use super::crash_times::{CrashId, CrashTimes};
use super::{CrashVerdict, QuarantinePolicy, REMEMBER_CRASHES_FOR};
use crate::{Fingerprint, FingerprintScope};

/// Crashes within this time count as one incident, unless one back end received the request after the other had
/// crashed: a power failure crashes many back ends at once, and several of them may be serving requests with the
/// same fingerprint. Routers see crashes of the same incident up to 9 ms apart.
const SAME_INCIDENT: Duration = Duration::from_millis(50);
/// The maximum number of crashes kept for one fingerprint.
const MAX_CRASHES: usize = 16;
/// The maximum number of fingerprints kept. Each takes 80 to 400 bytes, so all of them take at most 3.2 MB; the oldest
/// are evicted.
const MAX_FINGERPRINTS: usize = 8_192;
/// The maximum number of crashes remembered as caused by a quarantined fingerprint, so that late reports of them are
/// ignored.
const MAX_ATTRIBUTED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    /// When the back end received the request, in microseconds on this process's clock; negative if that was before
    /// the process started.
    received: i64,
    /// When the back end crashed, on the same clock.
    at: i64,
}

impl Crash {
    /// Whether this crash and an earlier one may belong to the same incident.
    fn may_share_cause_with(&self, earlier: &Crash) -> bool {
        let is_close = self.at - earlier.at <= SAME_INCIDENT.as_micros() as i64;
        is_close && self.received <= earlier.at
    }
}

/// A back end that crashed while serving a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashReport {
    /// The key of the back end's name, see [`crate::LoadEntry::key_of`].
    pub back_end: u32,
    /// The time since the crash.
    pub age: Duration,
    /// The time from receiving the request to the crash.
    pub service_time: Duration,
}

/// Crashes that are attributed to a quarantined fingerprint, oldest first.
#[derive(Debug, Default)]
struct Attributed(VecDeque<(CrashId, FingerprintScope)>);

impl Attributed {
    fn add(&mut self, crash: CrashId, culprit: FingerprintScope) {
        if !self.0.contains(&(crash, culprit)) {
            self.0.push_back((crash, culprit));
            let surplus = self.0.len().saturating_sub(MAX_ATTRIBUTED);
            self.0.drain(..surplus);
        }
    }

    /// Whether a crash does not count against fingerprints of a scope. The cause of a crash that is attributed to a
    /// request may be a part of its prompt.
    fn relieves(&self, crash: CrashId, scope: FingerprintScope) -> bool {
        let mut culprits = self.0.iter().filter(|(known, _)| *known == crash);
        culprits.any(|(_, culprit)| *culprit >= scope)
    }
}

/// Crashes of back ends by the fingerprints that they were serving, except those attributed to another, quarantined
/// fingerprint, and except fingerprints whose requests recently completed.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    by_fingerprint: HashMap<Fingerprint, Vec<Crash>>,
    times: CrashTimes,
    attributed: Attributed,
    completions: Completions,
}

impl CrashLedger {
    /// Records that a back end crashed while serving the fingerprint, if that counts against it.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        report: CrashReport,
    ) -> CrashVerdict {
        let crash = self.identify(now, report);
        if self.attributed.relieves(crash.id, fingerprint.scope()) {
            return CrashVerdict::Attributed;
        }
        if self.completions.contains(now, fingerprint) {
            return CrashVerdict::RecentlyCompleted;
        }
        if self.by_fingerprint.len() >= MAX_FINGERPRINTS
            && !self.by_fingerprint.contains_key(&fingerprint)
        {
            self.evict(now);
        }
        let crashes = self.by_fingerprint.entry(fingerprint).or_default();
        if crashes.iter().any(|known| known.id == crash.id) {
            return CrashVerdict::Known;
        }
        crashes.push(crash);
        crashes.sort_unstable_by_key(|crash| crash.at);
        if crashes.len() > MAX_CRASHES && remove_least_needed(crashes) == crash.id {
            return CrashVerdict::Excess;
        }
        CrashVerdict::Counted
    }

    /// The crash that a report is about, at the times that this report gives.
    fn identify(&mut self, now: Timestamp, report: CrashReport) -> Crash {
        let at = micros(now) - report.age.as_micros() as i64;
        let received = at - report.service_time.as_micros() as i64;
        let id = self.times.record(report.back_end, received, at);
        Crash { id, received, at }
    }

    /// The number of incidents in which back ends crashed while serving the fingerprint.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let crashes = self
            .by_fingerprint
            .get(&fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let mut incidents = 0;
        let mut incident: Option<&Crash> = None;
        for crash in crashes {
            if !incident.is_some_and(|earlier| crash.may_share_cause_with(earlier)) {
                incident = Some(crash);
                incidents += u32::from(self.explains_incident(fingerprint, crashes, crash));
            }
        }
        incidents
    }

    /// The time since the last crash while serving the fingerprint.
    pub fn last_crash_age(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Duration> {
        let last = self.by_fingerprint.get(&fingerprint)?.last()?;
        let age = u64::try_from(micros(now) - last.at).unwrap_or(0);
        Some(Duration::from_micros(age))
    }

    /// Whether at least half of the back ends that crashed at the time of a crash were serving the fingerprint. Others
    /// are in one of many back ends that crash at once by chance.
    fn explains_incident(
        &self,
        fingerprint: Fingerprint,
        crashes: &[Crash],
        first: &Crash,
    ) -> bool {
        let Some(at) = self.times.time_of(first.id) else {
            return false;
        };
        let (mut served, mut crashed) = (0, 0);
        for crash in self.times.around(at, SAME_INCIDENT) {
            if crashes.iter().any(|known| known.id == crash) {
                served += 1;
                crashed += 1;
            } else if !self.attributed.relieves(crash, fingerprint.scope()) {
                crashed += 1;
            }
            // Thousands may crash at once.
            if crashed > 2 * crashes.len() {
                return false;
            }
        }
        2 * served >= crashed
    }

    /// Of the fingerprints with enough incidents to be quarantined, those that no other one explains better: all crashes
    /// of each of the others happened while one of these was served as well.
    pub fn quarantine_candidates(&self) -> Vec<Fingerprint> {
        let mut candidates: Vec<(usize, Fingerprint, BTreeSet<CrashId>)> = Vec::new();
        for (fingerprint, crashes) in &self.by_fingerprint {
            let least = QuarantinePolicy::of(*fingerprint).crashes;
            if crashes.len() >= least as usize && self.crashes(*fingerprint) >= least {
                let ids = crashes.iter().map(|crash| crash.id).collect();
                candidates.push((crashes.len(), *fingerprint, ids));
            }
        }
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        let mut kept: Vec<(Fingerprint, BTreeSet<CrashId>)> = Vec::new();
        for (_, fingerprint, crashes) in candidates {
            let explains = |(culprit, explained): &(Fingerprint, BTreeSet<CrashId>)| {
                culprit.scope() >= fingerprint.scope()
                    && explained.len() > crashes.len()
                    && crashes.is_subset(explained)
            };
            if !kept.iter().any(explains) {
                kept.push((fingerprint, crashes));
            }
        }
        kept.into_iter()
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }

    /// Records that a request with the fingerprint completed, which clears it. True if any crash was recorded.
    pub fn record_completion(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.completions.note(now, fingerprint);
        self.clear(fingerprint)
    }

    /// Whether a request with the fingerprint recently completed.
    pub fn has_completed_recently(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.completions.contains(now, fingerprint)
    }

    /// Forgets all crashes of a fingerprint. True if there were any.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint.remove(&fingerprint).is_some()
    }

    /// Attributes all crashes recorded for a quarantined fingerprint to it: they no longer count against others that
    /// were served at the same time, except the crashes of a request against the parts of prompts. Returns the
    /// fingerprints that now have fewer crashes or none.
    pub fn attribute_crashes_to(&mut self, culprit: Fingerprint) -> Vec<Fingerprint> {
        let crashes = self.by_fingerprint.get(&culprit);
        let crashes = crashes.into_iter().flatten();
        let crashes: BTreeSet<CrashId> = crashes.map(|crash| crash.id).collect();
        self.attribute(culprit, &crashes)
    }

    /// Attributes one crash to a quarantined fingerprint, also if it is not recorded for it.
    pub fn attribute_crash_to(
        &mut self,
        now: Timestamp,
        culprit: Fingerprint,
        report: CrashReport,
    ) -> Vec<Fingerprint> {
        let crash = self.identify(now, report);
        self.attribute(culprit, &BTreeSet::from([crash.id]))
    }

    fn attribute(
        &mut self,
        culprit: Fingerprint,
        explained: &BTreeSet<CrashId>,
    ) -> Vec<Fingerprint> {
        for crash in explained {
            self.attributed.add(*crash, culprit.scope());
        }
        let mut changed = Vec::new();
        let others = self.by_fingerprint.iter_mut();
        for (fingerprint, crashes) in others.filter(|(fingerprint, _)| **fingerprint != culprit) {
            if culprit.scope() < fingerprint.scope() {
                continue;
            }
            let before = crashes.len();
            crashes.retain(|crash| !explained.contains(&crash.id));
            if crashes.len() < before {
                changed.push(*fingerprint);
            }
        }
        self.by_fingerprint.retain(|_, crashes| !crashes.is_empty());
        changed.sort_unstable();
        changed
    }

    /// Forgets crashes older than [`REMEMBER_CRASHES_FOR`].
    pub fn expire(&mut self, now: Timestamp) {
        self.by_fingerprint.retain(|_, crashes| {
            crashes
                .retain(|crash| micros(now) - crash.at < REMEMBER_CRASHES_FOR.as_micros() as i64);
            !crashes.is_empty()
        });
        self.times.expire(micros(now));
    }

    /// Evicts down to half the capacity: first the fingerprints with the fewest incidents, among them those whose last
    /// crash is oldest. Fingerprints with several incidents stay, and an attacker who wants to displace them has to
    /// crash a back end for each incident.
    fn evict(&mut self, now: Timestamp) {
        self.expire(now);
        let mut by_rank: Vec<(u32, i64, Fingerprint)> =
            Vec::with_capacity(self.by_fingerprint.len());
        for (fingerprint, crashes) in &self.by_fingerprint {
            let last = crashes.last().map(|crash| crash.at).unwrap_or_default();
            let most = QuarantinePolicy::of(*fingerprint).crashes;
            let rank = self.crashes(*fingerprint).min(most);
            by_rank.push((rank, last, *fingerprint));
        }
        by_rank.sort_unstable();
        let surplus = by_rank.len().saturating_sub(MAX_FINGERPRINTS / 2);
        for (.., fingerprint) in by_rank.into_iter().take(surplus) {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}

/// Removes the last crash of the first incident with several, or else the oldest crash: what counts is the number of
/// incidents. The crashes are in the order of their times, and there is at least one.
fn remove_least_needed(crashes: &mut Vec<Crash>) -> CrashId {
    let is_repeated = |pair: &[Crash]| pair[1].may_share_cause_with(&pair[0]);
    let first_repeated = crashes.windows(2).position(is_repeated);
    let index = first_repeated.map_or(0, |first| first + 1);
    crashes.remove(index).id
}

fn micros(at: Timestamp) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
