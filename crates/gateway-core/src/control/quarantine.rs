//! Work that ends back ends: what routers saw, added up, and the verdict.
//!
//! Every control machine takes reports in, tells its routers, and proposes the verdict, whether it leads or
//! not: reports only ever add up, so it does no harm to add them up several times, and routers go on
//! hearing of suspected work while no leader is elected or no majority is left. What the log replicates
//! outlasts all processes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::quarantine::{
    CrashLedger, CrashReport, CRASHES_FOR_QUARANTINE, CRASHES_FOR_SUSPICION, QUARANTINE_FOR,
    TRIAL_DELAYS, TRIAL_SPREAD,
};
use crate::{
    Command, FingerprintEvent, FingerprintReport, FingerprintSuspicion, Message, RequestFingerprint,
};

/// Bytes a second that this may cost one router, of 14 KB/s for all control traffic; up to five
/// machines tell each router.
const BYTES_PER_SECOND: f64 = 700.0;
/// Suspected works that a router is told when it links, those with the most ends first; 4 KB.
const MOST_TOLD_AT_LINK: usize = 256;
/// Between two looks for ends that are too old to matter.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);

/// What one control machine knows of work that ends back ends.
#[derive(Debug, Default)]
pub(super) struct SuspectedWork {
    ledger: CrashLedger,
    /// What routers were told last.
    told: BTreeMap<RequestFingerprint, u8>,
    /// Works whose standing routers are still to be told, with their ends.
    untold: BTreeMap<RequestFingerprint, u8>,
    /// When old ends were forgotten last.
    expired_at: Timestamp,
    quarantined: BTreeMap<RequestFingerprint, Verdict>,
}

/// A verdict as one control machine knows it.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// When it came, as far as this process knows; since its start for what is older.
    at: Timestamp,
    /// Trials whose time has come, whoever led then.
    trials: usize,
}

impl Verdict {
    fn new(at: Timestamp) -> Self {
        Self { at, trials: 0 }
    }

    /// True once for each trial, when its time has come.
    fn trial_is_due(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let spread = TRIAL_SPREAD.mul_f64(fingerprint.fraction());
        let next = TRIAL_DELAYS.get(self.trials);
        let is_due = next.is_some_and(|after| now.since(self.at) >= *after + spread);
        self.trials += usize::from(is_due);
        is_due
    }
}

impl SuspectedWork {
    /// Notes what routers are to be told of a work, when that has changed.
    fn note_standing(&mut self, fingerprint: RequestFingerprint) {
        let crashes = self.ledger.crashes(fingerprint);
        let crashes = if crashes < CRASHES_FOR_SUSPICION {
            0
        } else {
            crashes
        };
        let crashes = u8::try_from(crashes).unwrap_or(u8::MAX);
        if self.told.get(&fingerprint).copied().unwrap_or_default() == crashes {
            self.untold.remove(&fingerprint);
        } else {
            self.untold.insert(fingerprint, crashes);
        }
    }

    /// The next works to tell, those with the most ends first.
    fn take_untold(&mut self, most: usize) -> Vec<FingerprintSuspicion> {
        let mut due: Vec<(u8, RequestFingerprint)> =
            self.untold.iter().map(|item| (*item.1, *item.0)).collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        due.truncate(most);
        for (crashes, fingerprint) in &due {
            self.untold.remove(fingerprint);
            if *crashes == 0 {
                self.told.remove(fingerprint);
            } else {
                self.told.insert(*fingerprint, *crashes);
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
    /// Takes in what a router saw.
    pub(super) fn on_work_reports(&mut self, reports: &[FingerprintReport]) {
        for report in reports {
            match report.event {
                FingerprintEvent::BackEndCrashed {
                    back_end,
                    service_time_ms,
                } => {
                    let end = CrashReport {
                        back_end,
                        age: Duration::from_millis(u64::from(report.age_ms)),
                        service_time: Duration::from_millis(u64::from(service_time_ms)),
                    };
                    self.on_end_reported(report.fingerprint, end);
                }
                FingerprintEvent::Completed => self.on_work_completed(report.fingerprint),
            }
        }
    }

    fn on_end_reported(&mut self, fingerprint: RequestFingerprint, end: CrashReport) {
        let suspected = &mut self.suspected_work;
        if !suspected.ledger.record_crash(self.now, fingerprint, end) {
            return;
        }
        suspected.note_standing(fingerprint);
        let crashes = suspected.ledger.crashes(fingerprint);
        if crashes >= CRASHES_FOR_SUSPICION {
            self.effects.push(Effect::FingerprintSuspected {
                fingerprint,
                crashes,
            });
        }
        if self.state.is_quarantined(fingerprint) {
            self.relieve_others(fingerprint);
        } else if crashes >= CRASHES_FOR_QUARANTINE {
            self.propose(None, Command::Quarantine { fingerprint });
        }
    }

    /// What quarantined work ended no longer speaks against the requests that were beside it.
    fn relieve_others(&mut self, culprit: RequestFingerprint) {
        for relieved in self.suspected_work.ledger.attribute_crashes_to(culprit) {
            self.suspected_work.note_standing(relieved);
        }
    }

    /// Work that ran to its end does not end whatever runs it.
    fn on_work_completed(&mut self, fingerprint: RequestFingerprint) {
        self.forget_suspicion(fingerprint);
        if self.state.is_quarantined(fingerprint) {
            self.propose(None, Command::Release { fingerprint });
        }
    }

    fn forget_suspicion(&mut self, fingerprint: RequestFingerprint) {
        self.suspected_work.ledger.clear(fingerprint);
        self.suspected_work.note_standing(fingerprint);
    }

    /// The log quarantined work.
    pub(super) fn on_quarantined(&mut self, fingerprint: RequestFingerprint) {
        let verdict = Verdict::new(self.now);
        self.suspected_work.quarantined.insert(fingerprint, verdict);
        self.relieve_others(fingerprint);
    }

    /// The log released work: it is as if it had never come.
    pub(super) fn on_released(&mut self, fingerprint: RequestFingerprint) {
        self.suspected_work.quarantined.remove(&fingerprint);
        self.forget_suspicion(fingerprint);
    }

    /// Lets the time of verdicts pass. The leader permits trials, and proposes to release what has been
    /// quarantined for long enough.
    pub(super) fn review_verdicts(&mut self) {
        let now = self.now;
        let leads = self.role() == Role::Leader;
        let (mut trials, mut released) = (Vec::new(), Vec::new());
        for fingerprint in self.state.quarantined() {
            let verdicts = &mut self.suspected_work.quarantined;
            let verdict = verdicts.entry(fingerprint).or_insert(Verdict::new(now));
            if verdict.trial_is_due(now, fingerprint) && leads {
                trials.push(fingerprint);
            }
            if now.since(verdict.at) >= QUARANTINE_FOR && leads {
                // Asked again when the log does not take it.
                verdict.at = verdict.at.plus(self.params.patience);
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

    /// One router may give the work to a back end once.
    fn permit_trial(&mut self, fingerprint: RequestFingerprint) {
        let connections = self.routers.connections();
        let drawn = (fingerprint.fraction() * connections.len() as f64) as usize;
        if let Some(connection) = connections.get(drawn) {
            let message = Message::PermitTrial(fingerprint);
            self.effects.push(Effect::ToRouter(*connection, message));
        }
    }

    /// Forgets ends that are too old to matter.
    pub(super) fn expire_suspicions(&mut self) {
        let (now, suspected) = (self.now, &mut self.suspected_work);
        if now.since(suspected.expired_at) < EXPIRE_EVERY {
            return;
        }
        suspected.expired_at = now;
        suspected.ledger.expire(now);
        let told: Vec<RequestFingerprint> = suspected.told.keys().copied().collect();
        for fingerprint in told {
            suspected.note_standing(fingerprint);
        }
    }

    /// Tells routers of work that is suspected, or no longer is, as much as its part of the traffic
    /// allows.
    pub(super) fn share_suspicions(&mut self) {
        if self.suspected_work.untold.is_empty() {
            return;
        }
        let budget = BYTES_PER_SECOND * self.params.tick.as_secs_f64();
        let most = (budget / FingerprintSuspicion::BYTES as f64).max(1.0) as usize;
        let told = self.suspected_work.take_untold(most);
        for connection in self.routers.connections() {
            let message = Message::FingerprintSuspicions(List::new(told.clone()));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }

    /// A router that links knows nothing yet.
    pub(super) fn tell_suspicions(&mut self, connection: ConnectionId) {
        let told = self.suspected_work.told.iter();
        let known = told.map(|(fingerprint, crashes)| FingerprintSuspicion {
            fingerprint: *fingerprint,
            crashes: *crashes,
        });
        let mut known: Vec<FingerprintSuspicion> = known.collect();
        known.sort_unstable_by_key(|suspicion| Reverse(suspicion.crashes));
        known.truncate(MOST_TOLD_AT_LINK);
        if !known.is_empty() {
            let message = Message::FingerprintSuspicions(List::new(known));
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }
}
