//! Request fingerprints that are suspected of crashing back ends, as one router knows them.
//!
//! A router combines its own observations, crash counts sent by control machines, and the replicated quarantine
//! list. Any one of them is enough to act on, so a router that is cut off relies on its own observations. What the list
//! does not confirm holds for a limited time: control machines know which crashes have another cause, and a router that
//! lost its links misses that they withdraw a count.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{ChoiceError, EarlierAttempts, RouterCore};
use crate::quarantine::{
    CrashEvidence, CrashLedger, CrashReport, CrashVerdict, QuarantinePolicy, COMPLETION_VALID_FOR,
    CRASHES_FOR_SUSPICION, PERMIT_VALID_FOR, REMEMBER_CRASHES_FOR,
};
use crate::{
    Changes, Fingerprint, FingerprintEvent, FingerprintReport, FingerprintScope,
    FingerprintSuspicion, InstanceId, LoadEntry, RequestFingerprints,
};

/// Reports kept for control machines that connect later. Each report is sent to all control machines.
const MAX_REPORTS: usize = 2_048;
/// Fingerprints kept for which control machines have sent crash counts.
const MAX_ANNOUNCED: usize = 4_096;
/// How long after the last of them this router's own crashes quarantine a request. Within this time, a router that reaches
/// control machines has their verdict.
const OWN_CRASHES_VALID_FOR: Duration = Duration::from_secs(10);
/// How long a crash count of a control machine quarantines. Three times the interval at which it is sent again.
const ANNOUNCED_VALID_FOR: Duration = Duration::from_secs(30);
/// Prompt parts that are recorded for one crash, of the requests that were sent last. The cause is among them: it crashes
/// a back end that begins to answer.
const MAX_PARTS_PER_CRASH: usize = 256;

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

/// A crash count over all routers.
#[derive(Clone, Copy, Debug)]
struct AnnouncedCrashes {
    crashes: u8,
    received_at: Timestamp,
}

/// Suspected and quarantined fingerprints, and the observations that this router reports about them.
#[derive(Debug, Default)]
pub(super) struct SuspectedFingerprints {
    own: CrashLedger,
    /// Crash counts as sent by control machines.
    announced: HashMap<Fingerprint, AnnouncedCrashes>,
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
        let announced = self.announced.get(&fingerprint);
        let announced = announced.map_or(0, |announced| u32::from(announced.crashes));
        self.own.crashes(fingerprint).max(announced)
    }

    /// Whether requests with the fingerprint are not sent.
    fn is_quarantined(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let least = QuarantinePolicy::of(fingerprint).crashes;
        self.quarantined.contains(&fingerprint)
            || self.recently_announced_crashes(now, fingerprint) >= least
            || self.own_recent_crashes(now, fingerprint) >= least
    }

    fn recently_announced_crashes(&self, now: Timestamp, fingerprint: Fingerprint) -> u32 {
        let announced = self.announced.get(&fingerprint);
        let recent =
            announced.filter(|announced| now.since(announced.received_at) < ANNOUNCED_VALID_FOR);
        recent.map_or(0, |announced| u32::from(announced.crashes))
    }

    /// What this router saw itself is not enough for a prompt part: many back ends may have crashed at once, most of them
    /// unseen by this router.
    fn own_recent_crashes(&self, now: Timestamp, fingerprint: Fingerprint) -> u32 {
        let last = self.own.last_crash_age(now, fingerprint);
        let is_recent = last.is_some_and(|age| age < OWN_CRASHES_VALID_FOR);
        if is_recent && fingerprint.scope() == FingerprintScope::Request {
            self.own.crashes(fingerprint)
        } else {
            0
        }
    }

    fn record_announced(&mut self, now: Timestamp, fingerprint: Fingerprint, crashes: u8) {
        let announced = AnnouncedCrashes {
            crashes,
            received_at: now,
        };
        let held = self.announced.entry(fingerprint).or_insert(announced);
        if crashes >= held.crashes {
            *held = announced;
        }
    }

    /// Consumes the permits for one trial of a request with these quarantined fingerprints. False, without consuming
    /// any, unless there is a valid one for each of them.
    fn take_permits(&mut self, now: Timestamp, fingerprints: &[Fingerprint]) -> bool {
        let is_permitted = |fingerprint: &Fingerprint| {
            let permitted_at = self.permits.get(fingerprint);
            permitted_at.is_some_and(|at| now.since(*at) < PERMIT_VALID_FOR)
        };
        let are_permitted = fingerprints.iter().all(is_permitted);
        if are_permitted {
            for fingerprint in fingerprints {
                self.permits.remove(fingerprint);
            }
        }
        are_permitted
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
        let has_completed = self.own.has_completed_recently(now, fingerprint);
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

    /// Decides whether a request with these fingerprints may be sent now. A suspected request is not retried within
    /// its call. The caller may call again, which spreads further attempts in time and leaves time for the
    /// observations of other routers to arrive.
    pub fn check_fingerprints(
        &mut self,
        now: Timestamp,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<(), ChoiceError> {
        let Some(fingerprints) = earlier.fingerprints else {
            return Ok(());
        };
        let suspected = &mut self.suspected_fingerprints;
        let quarantined: Vec<Fingerprint> = fingerprints
            .iter()
            .filter(|fingerprint| suspected.is_quarantined(now, *fingerprint))
            .collect();
        if !quarantined.is_empty() {
            let is_first = earlier.tried.is_empty();
            if is_first && suspected.take_permits(now, &quarantined) {
                return Ok(());
            }
            return Err(ChoiceError::Quarantined);
        }
        if earlier.broken == 0 {
            return Ok(());
        }
        let crashes = fingerprints
            .iter()
            .map(|fingerprint| suspected.crashes(fingerprint));
        let of_request = earlier.crashes_before_call + earlier.broken;
        if crashes.fold(of_request, u32::max) >= CRASHES_FOR_SUSPICION {
            return Err(ChoiceError::Suspected);
        }
        Ok(())
    }

    /// The first quarantined fingerprint of a request.
    pub fn quarantined_fingerprint(
        &self,
        now: Timestamp,
        fingerprints: &RequestFingerprints,
    ) -> Option<Fingerprint> {
        let suspected = &self.suspected_fingerprints;
        let mut fingerprints = fingerprints.iter();
        fingerprints.find(|fingerprint| suspected.is_quarantined(now, *fingerprint))
    }

    /// Whether so many back ends have crashed while serving the fingerprint that its request is placed where a
    /// further crash loses the fewest other requests.
    pub(super) fn is_suspected(
        &self,
        now: Timestamp,
        fingerprints: Option<&RequestFingerprints>,
    ) -> bool {
        let suspected = &self.suspected_fingerprints;
        let is_suspected = |fingerprint: Fingerprint| {
            suspected.is_quarantined(now, fingerprint)
                || suspected.crashes(fingerprint) >= CRASHES_FOR_SUSPICION
        };
        fingerprints.is_some_and(|fingerprints| fingerprints.iter().any(is_suspected))
    }

    /// The leader permits this router one trial of a quarantined fingerprint.
    pub fn on_trial_permitted(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let permits = &mut self.suspected_fingerprints.permits;
        permits.retain(|_, at| now.since(*at) < PERMIT_VALID_FOR);
        permits.insert(fingerprint, now);
    }

    /// A back end crashed while serving requests with these fingerprints, each since the given time. Returns what that
    /// means for each of them.
    pub fn on_back_end_crashed(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        fingerprints: &[(Fingerprint, Timestamp)],
    ) -> Vec<CrashEvidence> {
        self.endpoints.on_crashed(now, instance);
        self.suspect(instance);
        self.record_crash(now, now, instance, fingerprints)
    }

    /// The same for a back end that is found to have crashed some time ago, and is gone by now.
    pub fn on_earlier_crash_found(
        &mut self,
        now: Timestamp,
        crashed_at: Timestamp,
        instance: &InstanceId,
        fingerprints: &[(Fingerprint, Timestamp)],
    ) -> Vec<CrashEvidence> {
        self.record_crash(now, crashed_at, instance, fingerprints)
    }

    fn record_crash(
        &mut self,
        now: Timestamp,
        crashed_at: Timestamp,
        instance: &InstanceId,
        fingerprints: &[(Fingerprint, Timestamp)],
    ) -> Vec<CrashEvidence> {
        let back_end = LoadEntry::key_of(instance.as_str());
        let suspected = &mut self.suspected_fingerprints;
        let mut evidence = Vec::new();
        for (fingerprint, sent_at) in latest_runs(fingerprints) {
            let service_time = crashed_at.since(sent_at);
            let crash = CrashReport {
                back_end,
                age: now.since(crashed_at),
                service_time,
            };
            let verdict = suspected.own.record_crash(now, fingerprint, crash);
            if verdict == CrashVerdict::Counted {
                let service_time_ms = u32::try_from(service_time.as_millis()).unwrap_or(u32::MAX);
                let event = FingerprintEvent::BackEndCrashed {
                    back_end,
                    service_time_ms,
                };
                suspected.report(crashed_at, fingerprint, event);
            }
            evidence.push(CrashEvidence {
                fingerprint,
                verdict,
                crashes: suspected.crashes(fingerprint),
            });
        }
        evidence
    }

    /// A request with this fingerprint completed, so it does not crash every back end that serves it. Returns
    /// whether the fingerprint was quarantined or had any crash counted.
    pub fn on_fingerprint_completed(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let suspected = &mut self.suspected_fingerprints;
        let had_crashes = suspected.own.record_completion(now, fingerprint);
        let was_announced = suspected.clear(fingerprint);
        let was_suspected =
            had_crashes || was_announced || suspected.quarantined.contains(&fingerprint);
        if was_suspected {
            suspected.report(now, fingerprint, FingerprintEvent::Completed);
        }
        was_suspected
    }

    /// Whether a request with this fingerprint recently completed at this router.
    pub fn has_completed_recently(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let own = &mut self.suspected_fingerprints.own;
        own.has_completed_recently(now, fingerprint)
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
                suspected.record_announced(now, *fingerprint, *crashes);
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

/// Each fingerprint with the last time at which a request with it was sent, of prompt parts at most
/// [`MAX_PARTS_PER_CRASH`].
fn latest_runs(fingerprints: &[(Fingerprint, Timestamp)]) -> Vec<(Fingerprint, Timestamp)> {
    let mut latest: BTreeMap<Fingerprint, Timestamp> = BTreeMap::new();
    for (fingerprint, sent_at) in fingerprints {
        let last = latest.entry(*fingerprint).or_default();
        *last = (*last).max(*sent_at);
    }
    let is_part = |(fingerprint, _): &(Fingerprint, Timestamp)| {
        fingerprint.scope() == FingerprintScope::PromptPart
    };
    let (mut parts, mut runs): (Vec<_>, Vec<_>) = latest.into_iter().partition(is_part);
    parts.sort_by_key(|(_, sent_at)| Reverse(*sent_at));
    parts.truncate(MAX_PARTS_PER_CRASH);
    runs.extend(parts);
    runs
}
