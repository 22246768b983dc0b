//! Work that ends back ends, as one router knows it: what it saw itself, what control machines told it, and
//! what they agreed on. Any of these suffices, so a router that is cut off goes by what it saw.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{ChoiceError, EarlierAttempts, RouterCore};
use crate::quarantine::{
    Completions, CrashLedger, CrashReport, COMPLETION_VALID_FOR, CRASHES_FOR_QUARANTINE,
    CRASHES_FOR_SUSPICION, PERMIT_VALID_FOR, REMEMBER_CRASHES_FOR,
};
use crate::{
    Changes, FingerprintEvent, FingerprintReport, FingerprintSuspicion, InstanceId, LoadEntry,
    RequestFingerprint,
};

/// Reports that are kept for control machines that link later; each is sent to all of them.
const MOST_REPORTS: usize = 512;
/// Works that control machines suspect.
const MOST_TOLD: usize = 4_096;

/// What this router saw of work, with the time.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Timestamp,
    fingerprint: RequestFingerprint,
    /// `None` once it no longer counts.
    event: Option<FingerprintEvent>,
}

impl Seen {
    /// Whether a control machine that links now should hear of it. A run to the end from long ago says
    /// nothing against ends since.
    fn counts(&self, now: Timestamp) -> bool {
        let counts_for = match self.event {
            Some(FingerprintEvent::BackEndCrashed { .. }) => REMEMBER_CRASHES_FOR,
            Some(FingerprintEvent::Completed) => COMPLETION_VALID_FOR,
            None => return false,
        };
        now.since(self.at) < counts_for
    }
}

/// What a router knows of work that ends back ends.
#[derive(Debug, Default)]
pub(super) struct SuspectedWork {
    own: CrashLedger,
    completions: Completions,
    /// Ends over all routers, as control machines told.
    told: HashMap<RequestFingerprint, u8>,
    /// What the log says.
    quarantined: HashSet<RequestFingerprint>,
    /// Quarantined work of which one run is permitted, and since when.
    permits: HashMap<RequestFingerprint, Timestamp>,
    reports: VecDeque<Seen>,
    /// Reports that are no longer kept.
    dropped_reports: u64,
}

impl SuspectedWork {
    /// Moments at which back ends ended under the work, as far as this router knows.
    fn crashes(&self, fingerprint: RequestFingerprint) -> u32 {
        let told = self.told.get(&fingerprint).copied().unwrap_or_default();
        self.own.crashes(fingerprint).max(u32::from(told))
    }

    fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
            || self.crashes(fingerprint) >= CRASHES_FOR_QUARANTINE
    }

    /// Uses up a permit for one run of quarantined work.
    fn take_permit(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let permitted_at = self.permits.remove(&fingerprint);
        permitted_at.is_some_and(|at| now.since(at) < PERMIT_VALID_FOR)
    }

    fn report(&mut self, at: Timestamp, fingerprint: RequestFingerprint, event: FingerprintEvent) {
        let event = Some(event);
        self.reports.push_back(Seen {
            at,
            fingerprint,
            event,
        });
        while self.reports.len() > MOST_REPORTS {
            self.reports.pop_front();
            self.dropped_reports += 1;
        }
    }

    /// Reports that the work ran well here a moment ago, which the router that saw back ends end under it
    /// did not know. True when it did.
    fn contradict(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let ran_well = self.completions.contains(now, fingerprint);
        if ran_well {
            self.forget(fingerprint);
            self.report(now, fingerprint, FingerprintEvent::Completed);
        }
        ran_well
    }

    fn forget(&mut self, fingerprint: RequestFingerprint) -> bool {
        let was_told = self.told.remove(&fingerprint).is_some();
        // A control machine that links later must not hear of it.
        let reports = self
            .reports
            .iter_mut()
            .filter(|seen| seen.fingerprint == fingerprint);
        reports.for_each(|seen| seen.event = None);
        self.own.clear(fingerprint) || was_told
    }

    /// Takes in what the log says; work that it has released is as if it had never come.
    pub fn apply(&mut self, now: Timestamp, changes: &Changes) {
        let listed = changes.quarantine.items.first();
        if listed.is_none() && changes.since > 0 {
            return;
        }
        let fingerprints = listed
            .into_iter()
            .flat_map(|listed| &listed.fingerprints.items);
        let listed: HashSet<RequestFingerprint> = fingerprints.copied().collect();
        let before = std::mem::replace(&mut self.quarantined, listed);
        let released: Vec<RequestFingerprint> =
            before.difference(&self.quarantined).copied().collect();
        for fingerprint in released {
            self.forget(fingerprint);
        }
        let added: Vec<RequestFingerprint> =
            self.quarantined.difference(&before).copied().collect();
        for fingerprint in added {
            self.contradict(now, fingerprint);
        }
    }
}

impl RouterCore {
    /// Moments at which back ends ended under the work, as far as this router knows.
    pub fn ends_under(&self, fingerprint: RequestFingerprint) -> u32 {
        self.suspected_work.crashes(fingerprint)
    }

    /// Whether work may run now. A call does not send suspected work on: its caller may come back, which
    /// spreads further runs in time and leaves room for what other routers saw.
    pub(super) fn judge_work(
        &mut self,
        now: Timestamp,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<(), ChoiceError> {
        let Some(fingerprint) = earlier.fingerprint else {
            return Ok(());
        };
        if self.suspected_work.is_quarantined(fingerprint) {
            let is_first = earlier.tried.is_empty();
            if is_first && self.suspected_work.take_permit(now, fingerprint) {
                return Ok(());
            }
            return Err(ChoiceError::Quarantined);
        }
        let crashes = self.suspected_work.crashes(fingerprint);
        let crashes = crashes.max(earlier.ends_before_call + earlier.broken);
        if earlier.broken > 0 && crashes >= CRASHES_FOR_SUSPICION {
            return Err(ChoiceError::Suspected);
        }
        Ok(())
    }

    /// Work under which so many back ends ended that the next one is to have little to lose.
    pub(super) fn is_suspected(&self, fingerprint: Option<RequestFingerprint>) -> bool {
        fingerprint.is_some_and(|fingerprint| {
            let suspected = &self.suspected_work;
            suspected.is_quarantined(fingerprint)
                || suspected.crashes(fingerprint) >= CRASHES_FOR_SUSPICION
        })
    }

    /// The leader permits one run of quarantined work here.
    pub fn on_trial_permitted(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        let permits = &mut self.suspected_work.permits;
        permits.retain(|_, at| now.since(*at) < PERMIT_VALID_FOR);
        permits.insert(fingerprint, now);
    }

    /// A back end ended while it had these works in hand, each since a time. Returns those of which that
    /// was not known, with the moments at which back ends ended under each.
    pub fn on_back_end_ended(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        fingerprints: &[(RequestFingerprint, Timestamp)],
    ) -> Vec<(RequestFingerprint, u32)> {
        let back_end = LoadEntry::key_of(instance.as_str());
        self.endpoints.on_ended(now, instance);
        self.suspect(back_end);
        let suspected = &mut self.suspected_work;
        let fingerprints: BTreeMap<RequestFingerprint, Timestamp> =
            fingerprints.iter().copied().collect();
        let mut new = Vec::new();
        for (fingerprint, begun) in fingerprints {
            if suspected.completions.contains(now, fingerprint) {
                continue;
            }
            let service_time = now.since(begun);
            let end = CrashReport {
                back_end,
                age: Duration::ZERO,
                service_time,
            };
            if suspected.own.record_crash(now, fingerprint, end) {
                let service_time_ms = u32::try_from(service_time.as_millis()).unwrap_or(u32::MAX);
                suspected.report(
                    now,
                    fingerprint,
                    FingerprintEvent::BackEndCrashed {
                        back_end,
                        service_time_ms,
                    },
                );
                new.push((fingerprint, suspected.crashes(fingerprint)));
            }
        }
        new
    }

    /// Work ran to its end, so it does not end whatever runs it. True when something spoke against it.
    pub fn on_work_completed(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let suspected = &mut self.suspected_work;
        suspected.completions.note(now, fingerprint);
        let was_suspected =
            suspected.forget(fingerprint) || suspected.quarantined.contains(&fingerprint);
        if was_suspected {
            suspected.report(now, fingerprint, FingerprintEvent::Completed);
        }
        was_suspected
    }

    /// Takes in what a control machine added up. Reports only add up, so the most that any of them says
    /// counts, until one says that nothing is left, or the work has just run well here.
    pub fn on_work_suspicions(&mut self, now: Timestamp, suspicions: &[FingerprintSuspicion]) {
        let suspected = &mut self.suspected_work;
        for FingerprintSuspicion {
            fingerprint,
            crashes,
        } in suspicions
        {
            if *crashes == 0 {
                suspected.forget(*fingerprint);
            } else if suspected.contradict(now, *fingerprint) {
                continue;
            } else if suspected.told.len() < MOST_TOLD || suspected.told.contains_key(fingerprint) {
                let told = suspected.told.entry(*fingerprint).or_default();
                *told = (*told).max(*crashes);
            }
        }
    }

    /// What this router saw of work since `cursor`, which moves on. A new link begins at 0.
    pub fn work_reports_since(&self, now: Timestamp, cursor: &mut u64) -> Vec<FingerprintReport> {
        let suspected = &self.suspected_work;
        let skipped = cursor.saturating_sub(suspected.dropped_reports) as usize;
        *cursor = suspected.dropped_reports + suspected.reports.len() as u64;
        let fresh = suspected.reports.iter().skip(skipped);
        fresh
            .filter(|seen| seen.counts(now))
            .filter_map(|seen| {
                Some(FingerprintReport {
                    fingerprint: seen.fingerprint,
                    age_ms: u32::try_from(now.since(seen.at).as_millis()).unwrap_or(u32::MAX),
                    event: seen.event?,
                })
            })
            .collect()
    }
}
