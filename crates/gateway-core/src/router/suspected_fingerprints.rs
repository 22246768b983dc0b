//! Request fingerprints that are suspected of crashing back ends, as one router knows them.
//!
//! A router combines its own observations, crash counts sent by control machines, and the replicated quarantine
//! list. Any one of them is enough to act on, so a router that is cut off relies on its own observations.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{ChoiceError, EarlierAttempts, RouterCore};
use crate::quarantine::{
    Completions, CrashLedger, CrashReport, COMPLETION_VALID_FOR, CRASHES_FOR_QUARANTINE,
    CRASHES_FOR_SUSPICION, PERMIT_VALID_FOR, REMEMBER_CRASHES_FOR,
};
use crate::{
    Changes, Fingerprint, FingerprintEvent, FingerprintReport, FingerprintSuspicion, InstanceId,
    LoadEntry, RequestFingerprints,
};

/// Reports kept for control machines that connect later. Each report is sent to all control machines.
const MAX_REPORTS: usize = 512;
/// Fingerprints kept for which control machines have sent crash counts.
const MAX_ANNOUNCED: usize = 4_096;

/// An event that this router observed for a fingerprint.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Timestamp,
    fingerprint: Fingerprint,
    /// `None` once the event no longer counts.
    event: Option<FingerprintEvent>,
}

impl Observation {
    /// Whether the event is still sent to a control machine that connects now. An old completion is no evidence
    /// against crashes that happened after it.
    fn is_reportable(&self, now: Timestamp) -> bool {
        let valid_for = match self.event {
            Some(FingerprintEvent::BackEndCrashed { .. }) => REMEMBER_CRASHES_FOR,
            Some(FingerprintEvent::Completed) => COMPLETION_VALID_FOR,
            None => return false,
        };
        now.since(self.at) < valid_for
    }
}

/// Suspected and quarantined fingerprints, and the observations that this router reports about them.
#[derive(Debug, Default)]
pub(super) struct SuspectedFingerprints {
    own: CrashLedger,
    completions: Completions,
    /// Crash counts over all routers, as sent by control machines.
    announced: HashMap<Fingerprint, u8>,
    /// The replicated quarantine list.
    quarantined: HashSet<Fingerprint>,
    /// Quarantined fingerprints with a permit for one trial, and when each permit arrived.
    permits: HashMap<Fingerprint, Timestamp>,
    reports: VecDeque<Observation>,
    /// How many reports have been removed from the front of `reports`.
    dropped_reports: u64,
}

impl SuspectedFingerprints {
    /// How many crashes while serving the fingerprint this router knows of. Back ends that crash together count once.
    fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let announced = self
            .announced
            .get(&fingerprint)
            .copied()
            .unwrap_or_default();
        self.own.crashes(fingerprint).max(u32::from(announced))
    }

    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
            || self.crashes(fingerprint) >= CRASHES_FOR_QUARANTINE
    }

    /// Consumes the permit for one trial of a quarantined fingerprint. False when there is none or it has expired.
    fn take_permit(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let permitted_at = self.permits.remove(&fingerprint);
        permitted_at.is_some_and(|at| now.since(at) < PERMIT_VALID_FOR)
    }

    fn report(&mut self, at: Timestamp, fingerprint: Fingerprint, event: FingerprintEvent) {
        let event = Some(event);
        self.reports.push_back(Observation {
            at,
            fingerprint,
            event,
        });
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
            self.dropped_reports += 1;
        }
    }

    /// Reports a recent completion of a request with this fingerprint, which the router that observed the crashes
    /// does not know of. Returns whether there was one.
    fn report_recent_completion(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let has_completed = self.completions.contains(now, fingerprint);
        if has_completed {
            self.clear(fingerprint);
            self.report(now, fingerprint, FingerprintEvent::Completed);
        }
        has_completed
    }

    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let was_announced = self.announced.remove(&fingerprint).is_some();
        // Control machines that connect later must not receive these reports.
        let reports = self
            .reports
            .iter_mut()
            .filter(|observation| observation.fingerprint == fingerprint);
        reports.for_each(|observation| observation.event = None);
        self.own.clear(fingerprint) || was_announced
    }

    /// Applies changes of the quarantine list. For a fingerprint that the list no longer contains, all crash counts
    /// are cleared.
    pub fn apply(&mut self, now: Timestamp, changes: &Changes) {
        let listed = changes.quarantine.items.first();
        if listed.is_none() && changes.since > 0 {
            return;
        }
        let fingerprints = listed
            .into_iter()
            .flat_map(|listed| &listed.fingerprints.items);
        let listed: HashSet<Fingerprint> = fingerprints.copied().collect();
        let before = std::mem::replace(&mut self.quarantined, listed);
        let released: Vec<Fingerprint> = before.difference(&self.quarantined).copied().collect();
        for fingerprint in released {
            self.clear(fingerprint);
        }
        let added: Vec<Fingerprint> = self.quarantined.difference(&before).copied().collect();
        for fingerprint in added {
            self.report_recent_completion(now, fingerprint);
        }
    }
}

impl RouterCore {
    /// How many crashes while serving the fingerprint this router knows of. Back ends that crash together count once.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        self.suspected_fingerprints.crashes(fingerprint)
    }

    /// Decides whether a request with this fingerprint may be sent now. A suspected request is not retried within
    /// its call. The caller may call again, which spreads further attempts in time and leaves time for the
    /// observations of other routers to arrive.
    pub(super) fn check_fingerprint(
        &mut self,
        now: Timestamp,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<(), ChoiceError> {
        let Some(fingerprint) = earlier.fingerprints.and_then(RequestFingerprints::request) else {
            return Ok(());
        };
        if self.suspected_fingerprints.is_quarantined(fingerprint) {
            let is_first = earlier.tried.is_empty();
            if is_first && self.suspected_fingerprints.take_permit(now, fingerprint) {
                return Ok(());
            }
            return Err(ChoiceError::Quarantined);
        }
        let crashes = self.suspected_fingerprints.crashes(fingerprint);
        let crashes = crashes.max(earlier.crashes_before_call + earlier.broken);
        if earlier.broken > 0 && crashes >= CRASHES_FOR_SUSPICION {
            return Err(ChoiceError::Suspected);
        }
        Ok(())
    }

    /// Whether so many back ends have crashed while serving the fingerprint that its request is placed where a
    /// further crash loses the fewest other requests.
    pub(super) fn is_suspected(&self, fingerprints: Option<&RequestFingerprints>) -> bool {
        let fingerprint = fingerprints.and_then(RequestFingerprints::request);
        fingerprint.is_some_and(|fingerprint| {
            let suspected = &self.suspected_fingerprints;
            suspected.is_quarantined(fingerprint)
                || suspected.crashes(fingerprint) >= CRASHES_FOR_SUSPICION
        })
    }

    /// The leader permits this router one trial of a quarantined fingerprint.
    pub fn on_trial_permitted(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let permits = &mut self.suspected_fingerprints.permits;
        permits.retain(|_, at| now.since(*at) < PERMIT_VALID_FOR);
        permits.insert(fingerprint, now);
    }

    /// A back end crashed while serving requests with these fingerprints, each since the given time. Returns the
    /// fingerprints for which this crash was not known before, each with its crash count.
    pub fn on_back_end_crashed(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        fingerprints: &[(Fingerprint, Timestamp)],
    ) -> Vec<(Fingerprint, u32)> {
        let back_end = LoadEntry::key_of(instance.as_str());
        self.endpoints.on_crashed(now, instance);
        self.suspect(instance);
        let suspected = &mut self.suspected_fingerprints;
        let fingerprints: BTreeMap<Fingerprint, Timestamp> = fingerprints.iter().copied().collect();
        let mut new = Vec::new();
        for (fingerprint, sent_at) in fingerprints {
            if suspected.completions.contains(now, fingerprint) {
                continue;
            }
            let service_time = now.since(sent_at);
            let crash = CrashReport {
                back_end,
                age: Duration::ZERO,
                service_time,
            };
            if suspected.own.record_crash(now, fingerprint, crash) {
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

    /// A request with this fingerprint completed, so it does not crash every back end that serves it. Returns
    /// whether the fingerprint was quarantined or had any crash counted.
    pub fn on_fingerprint_completed(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let suspected = &mut self.suspected_fingerprints;
        suspected.completions.note(now, fingerprint);
        let was_suspected =
            suspected.clear(fingerprint) || suspected.quarantined.contains(&fingerprint);
        if was_suspected {
            suspected.report(now, fingerprint, FingerprintEvent::Completed);
        }
        was_suspected
    }

    /// Records that a request with these prompt parts completed.
    pub fn on_prompt_parts_completed(&mut self, now: Timestamp, parts: &[Fingerprint]) {
        for part in parts {
            self.suspected_fingerprints.completions.note(now, *part);
        }
    }

    /// Whether a request with this fingerprint recently completed at this router.
    pub fn has_completed_recently(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let completions = &mut self.suspected_fingerprints.completions;
        completions.contains(now, fingerprint)
    }

    /// Applies crash counts sent by a control machine. Counts only grow, so the largest one received from any
    /// control machine holds, until one of them sends 0 or a request with the fingerprint has recently completed
    /// at this router.
    pub fn on_fingerprint_suspicions(
        &mut self,
        now: Timestamp,
        suspicions: &[FingerprintSuspicion],
    ) {
        let suspected = &mut self.suspected_fingerprints;
        for FingerprintSuspicion {
            fingerprint,
            crashes,
        } in suspicions
        {
            if *crashes == 0 {
                suspected.clear(*fingerprint);
            } else if suspected.report_recent_completion(now, *fingerprint) {
                continue;
            } else if suspected.announced.len() < MAX_ANNOUNCED
                || suspected.announced.contains_key(fingerprint)
            {
                let announced = suspected.announced.entry(*fingerprint).or_default();
                *announced = (*announced).max(*crashes);
            }
        }
    }

    /// The reports that this router has made since `cursor`, which is advanced past them. A new connection to a
    /// control machine starts with a cursor of 0.
    pub fn fingerprint_reports_since(
        &self,
        now: Timestamp,
        cursor: &mut u64,
    ) -> Vec<FingerprintReport> {
        let suspected = &self.suspected_fingerprints;
        let skipped = cursor.saturating_sub(suspected.dropped_reports) as usize;
        *cursor = suspected.dropped_reports + suspected.reports.len() as u64;
        let fresh = suspected.reports.iter().skip(skipped);
        fresh
            .filter(|observation| observation.is_reportable(now))
            .filter_map(|observation| {
                Some(FingerprintReport {
                    fingerprint: observation.fingerprint,
                    age_ms: u32::try_from(now.since(observation.at).as_millis())
                        .unwrap_or(u32::MAX),
                    event: observation.event?,
                })
            })
            .collect()
    }
}
