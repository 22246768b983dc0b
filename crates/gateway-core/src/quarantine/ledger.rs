//! Crashes of back ends, by the fingerprints of the requests that they were serving.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::completions::Completions;
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
/// The maximum number of back ends whose time of crash is remembered, of about 100 bytes each: several times those of the
/// largest fleet.
const MAX_BACK_ENDS: usize = 65_536;
/// The maximum number of back ends remembered as crashed by a quarantined fingerprint, so that late reports of their
/// crashes are ignored.
const MAX_ATTRIBUTED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Crash {
    /// The key of the incarnation, see [`crate::LoadEntry::key_of`].
    back_end: u32,
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
    /// The key of the incarnation, see [`crate::LoadEntry::key_of`].
    pub back_end: u32,
    /// The time since the crash.
    pub age: Duration,
    /// The time from receiving the request to the crash.
    pub service_time: Duration,
}

/// When back ends crashed, whatever they were serving.
#[derive(Debug, Default)]
struct CrashTimes {
    by_back_end: HashMap<u32, i64>,
    in_order: BTreeSet<(i64, u32)>,
}

impl CrashTimes {
    /// Records a crash at the earliest time that is reported for it.
    fn record(&mut self, back_end: u32, at: i64) {
        let known = self.by_back_end.get(&back_end).copied();
        if known.is_some_and(|known| known <= at) {
            return;
        }
        if let Some(known) = known {
            self.in_order.remove(&(known, back_end));
        }
        self.by_back_end.insert(back_end, at);
        self.in_order.insert((at, back_end));
        if self.in_order.len() > MAX_BACK_ENDS {
            if let Some((_, oldest)) = self.in_order.pop_first() {
                self.by_back_end.remove(&oldest);
            }
        }
    }

    /// The back ends that crashed within [`SAME_INCIDENT`] of a time.
    fn around(&self, at: i64) -> impl Iterator<Item = u32> + '_ {
        let close = SAME_INCIDENT.as_micros() as i64;
        let range = (at - close, u32::MIN)..=(at + close, u32::MAX);
        self.in_order.range(range).map(|(_, back_end)| *back_end)
    }

    fn expire(&mut self, now: i64) {
        let oldest = now - REMEMBER_CRASHES_FOR.as_micros() as i64;
        while let Some((at, back_end)) = self.in_order.first().copied() {
            if at > oldest {
                return;
            }
            self.in_order.pop_first();
            self.by_back_end.remove(&back_end);
        }
    }
}

/// Back ends whose crash is attributed to a quarantined fingerprint, oldest first.
#[derive(Debug, Default)]
struct Attributed(VecDeque<(u32, FingerprintScope)>);

impl Attributed {
    fn add(&mut self, back_end: u32, culprit: FingerprintScope) {
        if !self.0.contains(&(back_end, culprit)) {
            self.0.push_back((back_end, culprit));
            let surplus = self.0.len().saturating_sub(MAX_ATTRIBUTED);
            self.0.drain(..surplus);
        }
    }

    /// Whether a crash does not count against fingerprints of a scope. The cause of a crash that is attributed to a
    /// request may be a part of its prompt.
    fn relieves(&self, back_end: u32, scope: FingerprintScope) -> bool {
        let mut culprits = self.0.iter().filter(|(known, _)| *known == back_end);
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
        let back_end = report.back_end;
        let at = micros(now) - report.age.as_micros() as i64;
        self.times.record(back_end, at);
        if self.attributed.relieves(back_end, fingerprint.scope()) {
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
        if crashes.iter().any(|crash| crash.back_end == back_end) {
            return CrashVerdict::Known;
        }
        if crashes.len() >= MAX_CRASHES {
            return CrashVerdict::Excess;
        }
        let received = at - report.service_time.as_micros() as i64;
        crashes.push(Crash {
            back_end,
            received,
            at,
        });
        crashes.sort_unstable_by_key(|crash| crash.at);
        CrashVerdict::Counted
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
        let Some(at) = self.times.by_back_end.get(&first.back_end) else {
            return false;
        };
        let (mut served, mut crashed) = (0, 0);
        for back_end in self.times.around(*at) {
            if crashes.iter().any(|crash| crash.back_end == back_end) {
                served += 1;
                crashed += 1;
            } else if !self.attributed.relieves(back_end, fingerprint.scope()) {
                crashed += 1;
            }
            // Thousands may crash at once.
            if crashed > 2 * crashes.len() {
                return false;
            }
        }
        2 * served >= crashed
    }

    /// Of the fingerprints with enough incidents to be quarantined, those that no other one explains better: each of
    /// the others crashed only back ends that also crashed while serving one of these.
    pub fn quarantine_candidates(&self) -> Vec<Fingerprint> {
        let mut candidates: Vec<(usize, Fingerprint, BTreeSet<u32>)> = Vec::new();
        for (fingerprint, crashes) in &self.by_fingerprint {
            let least = QuarantinePolicy::of(*fingerprint).crashes;
            if crashes.len() >= least as usize && self.crashes(*fingerprint) >= least {
                let back_ends = crashes.iter().map(|crash| crash.back_end).collect();
                candidates.push((crashes.len(), *fingerprint, back_ends));
            }
        }
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        let mut kept: Vec<(Fingerprint, BTreeSet<u32>)> = Vec::new();
        for (_, fingerprint, back_ends) in candidates {
            let explains = |(culprit, crashed): &(Fingerprint, BTreeSet<u32>)| {
                culprit.scope() >= fingerprint.scope()
                    && crashed.len() > back_ends.len()
                    && back_ends.is_subset(crashed)
            };
            if !kept.iter().any(explains) {
                kept.push((fingerprint, back_ends));
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
    /// these back ends were serving, except the crashes of a request against the parts of prompts. Returns the
    /// fingerprints that now have fewer crashes or none.
    pub fn attribute_crashes_to(&mut self, culprit: Fingerprint) -> Vec<Fingerprint> {
        let crashes = self.by_fingerprint.get(&culprit);
        let crashes = crashes.into_iter().flatten();
        let back_ends: BTreeSet<u32> = crashes.map(|crash| crash.back_end).collect();
        for back_end in &back_ends {
            self.attributed.add(*back_end, culprit.scope());
        }
        self.relieve_others(culprit, &back_ends)
    }

    /// Attributes one crash to a quarantined fingerprint, also if it is not recorded for it.
    pub fn attribute_crash_to(&mut self, culprit: Fingerprint, back_end: u32) -> Vec<Fingerprint> {
        self.attributed.add(back_end, culprit.scope());
        self.relieve_others(culprit, &BTreeSet::from([back_end]))
    }

    fn relieve_others(
        &mut self,
        culprit: Fingerprint,
        back_ends: &BTreeSet<u32>,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        let others = self.by_fingerprint.iter_mut();
        for (fingerprint, crashes) in others.filter(|(fingerprint, _)| **fingerprint != culprit) {
            if culprit.scope() < fingerprint.scope() {
                continue;
            }
            let before = crashes.len();
            crashes.retain(|crash| !back_ends.contains(&crash.back_end));
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

fn micros(at: Timestamp) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
