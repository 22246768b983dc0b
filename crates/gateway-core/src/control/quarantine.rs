//! Requests and prompt parts that crash back ends: control machines add up the reports of routers and propose which
//! fingerprints are quarantined.
//!
//! Every control machine accepts reports, notifies its routers and proposes quarantines and
//! releases, whether it leads or not. Reports only accumulate, so counting them on several machines is harmless, and
//! routers still learn of suspected fingerprints when there is no leader or no quorum. Quarantines and
//! releases are replicated by the log and survive restarts of all processes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::effect::CrashReported;
use super::{ConnectionId, ControlCore, Effect};
use crate::quarantine::{
    CrashEvidence, CrashLedger, CrashReport, CrashVerdict, QuarantinePolicy, CRASHES_FOR_SUSPICION,
    TRIAL_SPREAD,
};
use crate::{
    Command, Fingerprint, FingerprintEvent, FingerprintReport, FingerprintSuspicion, Message,
};

/// Bandwidth per router for suspicions, out of 14 KB/s for all control traffic; up to five control
/// machines send to each router.
const MAX_BYTES_PER_SECOND: f64 = 700.0;
/// Limit on the suspected fingerprints that a router is sent when it connects, 4 KB; those with the
/// most crashes come first.
const MAX_SENT_ON_CONNECT: usize = 256;
/// Interval between removals of outdated crashes, and between repetitions of unconfirmed counts.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// What one control machine knows of requests and prompt parts that crash back ends.
#[derive(Debug, Default)]
pub(super) struct SuspectedFingerprints {
    ledger: CrashLedger,
    /// Whether crashes were recorded since the counts were last compared with those sent.
    has_new_crashes: bool,
    /// Fingerprints with enough crashes for a quarantine that is not committed yet.
    pending: BTreeMap<Fingerprint, PendingQuarantine>,
    /// Crash counts that routers were sent last.
    sent: BTreeMap<Fingerprint, u8>,
    /// Crash counts that differ from those sent; 0 withdraws a suspicion.
    unsent: BTreeMap<Fingerprint, u8>,
    /// Time of the last removal of outdated crashes.
    expired_at: Timestamp,
    quarantined: BTreeMap<Fingerprint, QuarantineRecord>,
}

/// A fingerprint whose quarantine is due unless reports contradict it.
#[derive(Clone, Copy, Debug)]
struct PendingQuarantine {
    since: Timestamp,
    proposed_at: Option<Timestamp>,
}

/// A quarantined fingerprint as one control machine knows it.
#[derive(Clone, Copy, Debug)]
struct QuarantineRecord {
    /// When this process learned of the quarantine; quarantines from before its start count from
    /// the first review.
    at: Timestamp,
    /// Trials that have come due, also under other leaders.
    trials: usize,
}

impl QuarantineRecord {
    fn new(at: Timestamp) -> Self {
        Self { at, trials: 0 }
    }

    /// The record of a quarantine from before the start of this process. Its first trial may have been permitted.
    fn found(at: Timestamp) -> Self {
        Self { at, trials: 1 }
    }

    /// Returns true once for each trial, when it comes due.
    fn take_due_trial(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let spread = TRIAL_SPREAD.mul_f64(fingerprint.fraction());
        let next = QuarantinePolicy::of(fingerprint)
            .trial_delays
            .get(self.trials);
        let is_due = next.is_some_and(|after| now.since(self.at) >= *after + spread);
        self.trials += usize::from(is_due);
        is_due
    }
}

impl SuspectedFingerprints {
    /// Updates the crash count that routers are to be sent, if it differs from the one sent.
    fn update_unsent(&mut self, fingerprint: Fingerprint) {
        let crashes = self.ledger.crashes(fingerprint);
        let least = QuarantinePolicy::of(fingerprint).crashes;
        let sent = self.sent.get(&fingerprint).copied().unwrap_or_default();
        // Routers keep the largest count until they are sent 0.
        let is_withdrawn = crashes < least && u32::from(sent) >= least;
        let crashes = if crashes < CRASHES_FOR_SUSPICION || is_withdrawn {
            0
        } else {
            u8::try_from(crashes).unwrap_or(u8::MAX).max(sent)
        };
        if sent == crashes {
            self.unsent.remove(&fingerprint);
        } else {
            self.unsent.insert(fingerprint, crashes);
        }
    }

    fn update_all_unsent(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.update_unsent(*fingerprint);
        }
    }

    /// Updates the counts of all fingerprints that were sent: crashes of other back ends at the same time lower them.
    fn update_all_sent(&mut self) {
        let sent: Vec<Fingerprint> = self.sent.keys().copied().collect();
        for fingerprint in sent {
            self.update_unsent(fingerprint);
        }
    }

    /// Marks the counts for a quarantine that is not committed to be sent again: routers forget them after some time.
    fn repeat_unconfirmed(&mut self, is_quarantined: impl Fn(Fingerprint) -> bool) {
        for (fingerprint, crashes) in &self.sent {
            let least = QuarantinePolicy::of(*fingerprint).crashes;
            if u32::from(*crashes) >= least && !is_quarantined(*fingerprint) {
                self.unsent.entry(*fingerprint).or_insert(*crashes);
            }
        }
    }

    /// Takes the next suspicions to send, those with the most crashes first, and marks them as sent.
    fn take_unsent(&mut self, limit: usize) -> Vec<FingerprintSuspicion> {
        let mut due: Vec<(u8, Fingerprint)> =
            self.unsent.iter().map(|item| (*item.1, *item.0)).collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        due.truncate(limit);
        for (crashes, fingerprint) in &due {
            self.unsent.remove(fingerprint);
            if *crashes == 0 {
                self.sent.remove(fingerprint);
                self.update_unsent(*fingerprint);
            } else {
                self.sent.insert(*fingerprint, *crashes);
            }
        }
        due.into_iter()
            .map(|(crashes, fingerprint)| FingerprintSuspicion {
                fingerprint,
                crashes,
            })
            .collect()
    }
}

impl<D: Directory> ControlCore<D> {
    /// Processes a router's reports on fingerprints.
    pub(super) fn on_fingerprint_reports(&mut self, reports: &[FingerprintReport]) {
        let mut crashed: BTreeMap<u32, CrashReported> = BTreeMap::new();
        for report in reports {
            match report.event {
                FingerprintEvent::BackEndCrashed {
                    back_end,
                    service_time_ms,
                } => {
                    let crash = CrashReport {
                        back_end,
                        age: Duration::from_millis(u64::from(report.age_ms)),
                        service_time: Duration::from_millis(u64::from(service_time_ms)),
                    };
                    let evidence = self.on_crash_reported(report.fingerprint, crash);
                    let reported = crashed.entry(back_end);
                    reported
                        .or_insert(CrashReported::new(back_end, crash.age))
                        .add(evidence);
                }
                FingerprintEvent::Completed => self.on_request_completed(report.fingerprint),
            }
        }
        let crashed = crashed.into_values().map(Effect::CrashReported);
        self.effects.extend(crashed);
    }

    fn on_crash_reported(
        &mut self,
        fingerprint: Fingerprint,
        report: CrashReport,
    ) -> CrashEvidence {
        let is_quarantined = self.state.is_quarantined(fingerprint);
        let suspected = &mut self.suspected_fingerprints;
        let verdict = suspected.ledger.record_crash(self.now, fingerprint, report);
        if is_quarantined {
            let relieved = suspected
                .ledger
                .attribute_crash_to(self.now, fingerprint, report);
            suspected.update_all_unsent(&relieved);
        }
        let crashes = suspected.ledger.crashes(fingerprint);
        if verdict == CrashVerdict::Counted {
            suspected.has_new_crashes = true;
            suspected.update_unsent(fingerprint);
            if crashes >= CRASHES_FOR_SUSPICION {
                self.effects.push(Effect::FingerprintSuspected {
                    fingerprint,
                    crashes,
                });
            }
        }
        CrashEvidence {
            fingerprint,
            verdict,
            crashes,
        }
    }

    /// Proposes the quarantines that no report has contradicted for long enough. Proposed again after some time if the
    /// log does not accept one.
    pub(super) fn propose_quarantines(&mut self) {
        let (now, retry_after) = (self.now, self.params.reply_timeout);
        let suspected = &mut self.suspected_fingerprints;
        if std::mem::take(&mut suspected.has_new_crashes) {
            suspected.update_all_sent();
        } else if suspected.pending.is_empty() {
            return;
        }
        let candidates = self.suspected_fingerprints.ledger.quarantine_candidates();
        let pending = &mut self.suspected_fingerprints.pending;
        pending.retain(|fingerprint, _| candidates.contains(fingerprint));
        let mut due = Vec::new();
        for fingerprint in candidates {
            if self.state.is_quarantined(fingerprint) {
                pending.remove(&fingerprint);
                continue;
            }
            let quarantine = pending.entry(fingerprint).or_insert(PendingQuarantine {
                since: now,
                proposed_at: None,
            });
            let is_confirmed =
                now.since(quarantine.since) >= QuarantinePolicy::of(fingerprint).confirmation_delay;
            let is_proposed = quarantine
                .proposed_at
                .is_some_and(|at| now.since(at) < retry_after);
            if is_confirmed && !is_proposed {
                quarantine.proposed_at = Some(now);
                due.push(fingerprint);
            }
        }
        for fingerprint in due {
            self.propose(None, Command::Quarantine { fingerprint });
        }
    }

    /// Crashes while serving a quarantined request or prompt part no longer count against the requests that were in
    /// flight at the same back ends.
    fn clear_explained_suspicions(&mut self, culprit: Fingerprint) {
        let suspected = &mut self.suspected_fingerprints;
        let relieved = suspected.ledger.attribute_crashes_to(culprit);
        suspected.update_all_unsent(&relieved);
    }

    /// Clears a fingerprint: a request that completed does not crash every back end that serves it.
    fn on_request_completed(&mut self, fingerprint: Fingerprint) {
        let ledger = &mut self.suspected_fingerprints.ledger;
        ledger.record_completion(self.now, fingerprint);
        self.clear_suspicion(fingerprint);
        if self.state.is_quarantined(fingerprint) {
            self.propose(None, Command::Release { fingerprint });
        }
    }

    fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        self.suspected_fingerprints.ledger.clear(fingerprint);
        self.suspected_fingerprints.update_unsent(fingerprint);
    }

    /// The quarantine was committed.
    pub(super) fn on_quarantined(&mut self, position: u64, fingerprint: Fingerprint) {
        let record = if position <= self.logged_at_start.0 {
            QuarantineRecord::found(self.now)
        } else {
            QuarantineRecord::new(self.now)
        };
        self.suspected_fingerprints
            .quarantined
            .insert(fingerprint, record);
        self.clear_explained_suspicions(fingerprint);
    }

    /// The release was committed: the fingerprint starts over without a record of crashes.
    pub(super) fn on_released(&mut self, fingerprint: Fingerprint) {
        self.suspected_fingerprints.quarantined.remove(&fingerprint);
        self.clear_suspicion(fingerprint);
    }

    /// Checks the age of quarantines. The leader permits trials that are due, and proposes the release
    /// of fingerprints whose quarantine has expired.
    pub(super) fn review_quarantines(&mut self) {
        let now = self.now;
        let is_leader = self.role() == Role::Leader;
        let (mut trials, mut released) = (Vec::new(), Vec::new());
        for fingerprint in self.state.quarantined() {
            let records = &mut self.suspected_fingerprints.quarantined;
            let record = records
                .entry(fingerprint)
                .or_insert(QuarantineRecord::found(now));
            if record.take_due_trial(now, fingerprint) && is_leader {
                trials.push(fingerprint);
            }
            if now.since(record.at) >= QuarantinePolicy::of(fingerprint).lasts && is_leader {
                // Proposed again after this time if the log does not accept it.
                record.at = record.at.plus(self.params.reply_timeout);
                released.push(fingerprint);
            }
        }
        for fingerprint in trials {
            self.permit_trial(fingerprint);
        }
        for fingerprint in released {
            self.propose(None, Command::Release { fingerprint });
        }
    }

    /// Permits one router to send one request with the fingerprint to a back end.
    fn permit_trial(&mut self, fingerprint: Fingerprint) {
        let connections = self.routers.connections();
        let index = (fingerprint.fraction() * connections.len() as f64) as usize;
        if let Some(connection) = connections.get(index) {
            let message = Message::PermitTrial(fingerprint);
            self.effects.push(Effect::ToRouter(*connection, message));
        }
    }

    /// Removes outdated crashes, and repeats the counts that routers act on before a quarantine is committed.
    pub(super) fn expire_suspicions(&mut self) {
        let (now, suspected) = (self.now, &mut self.suspected_fingerprints);
        if now.since(suspected.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        suspected.expired_at = now;
        suspected.ledger.expire(now);
        suspected.update_all_sent();
        let state = &self.state;
        suspected.repeat_unconfirmed(|fingerprint| state.is_quarantined(fingerprint));
    }

    /// Sends routers the changed suspicions, as many as the bandwidth allows.
    pub(super) fn broadcast_suspicions(&mut self) {
        if self.suspected_fingerprints.unsent.is_empty() {
            return;
        }
        let budget = MAX_BYTES_PER_SECOND * self.params.tick.as_secs_f64();
        let limit = (budget / FingerprintSuspicion::BYTES as f64).max(1.0) as usize;
        let sent = self.suspected_fingerprints.take_unsent(limit);
        for connection in self.routers.connections() {
            let message = Message::FingerprintSuspicions(List::new(sent.clone()));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }

    /// Sends suspicions to a router that has just connected, those with the most crashes first.
    pub(super) fn send_suspicions(&mut self, connection: ConnectionId) {
        let sent = self.suspected_fingerprints.sent.iter();
        let suspicions = sent.map(|(fingerprint, crashes)| FingerprintSuspicion {
            fingerprint: *fingerprint,
            crashes: *crashes,
        });
        let mut suspicions: Vec<FingerprintSuspicion> = suspicions.collect();
        suspicions.sort_unstable_by_key(|suspicion| Reverse(suspicion.crashes));
        suspicions.truncate(MAX_SENT_ON_CONNECT);
        if !suspicions.is_empty() {
            let message = Message::FingerprintSuspicions(List::new(suspicions));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }
}
