//! Work that ends back ends, as one router knows it: what it saw itself, what control machines told it, and
//! what they agreed on. Any of these suffices, so a router that is cut off goes by what it saw.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{ChoiceError, EarlierAttempts, RouterCore};
use crate::quarantine::{
    Completions, EndLedger, EndReport, COMPLETION_COUNTS_FOR, ENDS_FOR_QUARANTINE,
    ENDS_FOR_SUSPICION, PERMIT_HOLDS_FOR, REMEMBER_ENDS_FOR,
};
use crate::{Changes, InstanceId, LoadEntry, WorkEvent, WorkId, WorkReport, WorkSuspicion};

/// Reports that are kept for control machines that link later; each is sent to all of them.
const MOST_REPORTS: usize = 512;
/// Works that control machines suspect.
const MOST_TOLD: usize = 4_096;

/// What this router saw of work, with the time.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Timestamp,
    work: WorkId,
    /// `None` once it no longer counts.
    event: Option<WorkEvent>,
}

impl Seen {
    /// Whether a control machine that links now should hear of it. A run to the end from long ago says
    /// nothing against ends since.
    fn counts(&self, now: Timestamp) -> bool {
        let counts_for = match self.event {
            Some(WorkEvent::BackEndEnded { .. }) => REMEMBER_ENDS_FOR,
            Some(WorkEvent::Completed) => COMPLETION_COUNTS_FOR,
            None => return false,
        };
        now.since(self.at) < counts_for
    }
}

/// What a router knows of work that ends back ends.
#[derive(Debug, Default)]
pub(super) struct SuspectedWork {
    own: EndLedger,
    completions: Completions,
    /// Ends over all routers, as control machines told.
    told: HashMap<WorkId, u8>,
    /// What the log says.
    quarantined: HashSet<WorkId>,
    /// Quarantined work of which one run is permitted, and since when.
    permits: HashMap<WorkId, Timestamp>,
    reports: VecDeque<Seen>,
    /// Reports that are no longer kept.
    dropped_reports: u64,
}

impl SuspectedWork {
    /// Moments at which back ends ended under the work, as far as this router knows.
    fn ends(&self, work: WorkId) -> u32 {
        let told = self.told.get(&work).copied().unwrap_or_default();
        self.own.ends(work).max(u32::from(told))
    }

    fn is_quarantined(&self, work: WorkId) -> bool {
        self.quarantined.contains(&work) || self.ends(work) >= ENDS_FOR_QUARANTINE
    }

    /// Uses up a permit for one run of quarantined work.
    fn take_permit(&mut self, now: Timestamp, work: WorkId) -> bool {
        let permitted_at = self.permits.remove(&work);
        permitted_at.is_some_and(|at| now.since(at) < PERMIT_HOLDS_FOR)
    }

    fn report(&mut self, at: Timestamp, work: WorkId, event: WorkEvent) {
        let event = Some(event);
        self.reports.push_back(Seen { at, work, event });
        while self.reports.len() > MOST_REPORTS {
            self.reports.pop_front();
            self.dropped_reports += 1;
        }
    }

    /// Reports that the work ran well here a moment ago, which the router that saw back ends end under it
    /// did not know. True when it did.
    fn contradict(&mut self, now: Timestamp, work: WorkId) -> bool {
        let ran_well = self.completions.contains(now, work);
        if ran_well {
            self.forget(work);
            self.report(now, work, WorkEvent::Completed);
        }
        ran_well
    }

    fn forget(&mut self, work: WorkId) -> bool {
        let was_told = self.told.remove(&work).is_some();
        // A control machine that links later must not hear of it.
        let reports = self.reports.iter_mut().filter(|seen| seen.work == work);
        reports.for_each(|seen| seen.event = None);
        self.own.clear(work) || was_told
    }

    /// Takes in what the log says; work that it has released is as if it had never come.
    pub fn apply(&mut self, now: Timestamp, changes: &Changes) {
        let listed = changes.quarantine.items.first();
        if listed.is_none() && changes.since > 0 {
            return;
        }
        let works = listed.into_iter().flat_map(|listed| &listed.works.items);
        let listed: HashSet<WorkId> = works.copied().collect();
        let before = std::mem::replace(&mut self.quarantined, listed);
        let released: Vec<WorkId> = before.difference(&self.quarantined).copied().collect();
        for work in released {
            self.forget(work);
        }
        let added: Vec<WorkId> = self.quarantined.difference(&before).copied().collect();
        for work in added {
            self.contradict(now, work);
        }
    }
}

impl RouterCore {
    /// Moments at which back ends ended under the work, as far as this router knows.
    pub fn ends_under(&self, work: WorkId) -> u32 {
        self.suspected_work.ends(work)
    }

    /// Whether work may run now. A call does not send suspected work on: its caller may come back, which
    /// spreads further runs in time and leaves room for what other routers saw.
    pub(super) fn judge_work(
        &mut self,
        now: Timestamp,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<(), ChoiceError> {
        let Some(work) = earlier.fingerprint else {
            return Ok(());
        };
        if self.suspected_work.is_quarantined(work) {
            let is_first = earlier.tried.is_empty();
            if is_first && self.suspected_work.take_permit(now, work) {
                return Ok(());
            }
            return Err(ChoiceError::Quarantined);
        }
        let ends = self.suspected_work.ends(work);
        let ends = ends.max(earlier.crashes_before_call + earlier.broken);
        if earlier.broken > 0 && ends >= ENDS_FOR_SUSPICION {
            return Err(ChoiceError::Suspected);
        }
        Ok(())
    }

    /// Work under which so many back ends ended that the next one is to have little to lose.
    pub(super) fn is_suspected(&self, work: Option<WorkId>) -> bool {
        work.is_some_and(|work| {
            let suspected = &self.suspected_work;
            suspected.is_quarantined(work) || suspected.ends(work) >= ENDS_FOR_SUSPICION
        })
    }

    /// The leader permits one run of quarantined work here.
    pub fn on_trial_permitted(&mut self, now: Timestamp, work: WorkId) {
        let permits = &mut self.suspected_work.permits;
        permits.retain(|_, at| now.since(*at) < PERMIT_HOLDS_FOR);
        permits.insert(work, now);
    }

    /// A back end ended while it had these works in hand, each since a time. Returns those of which that
    /// was not known, with the moments at which back ends ended under each.
    pub fn on_back_end_ended(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        works: &[(WorkId, Timestamp)],
    ) -> Vec<(WorkId, u32)> {
        let back_end = LoadEntry::key_of(instance.as_str());
        self.endpoints.on_crashed(now, instance);
        self.suspect(back_end);
        let suspected = &mut self.suspected_work;
        let works: BTreeMap<WorkId, Timestamp> = works.iter().copied().collect();
        let mut new = Vec::new();
        for (work, begun) in works {
            if suspected.completions.contains(now, work) {
                continue;
            }
            let held = now.since(begun);
            let end = EndReport {
                back_end,
                age: Duration::ZERO,
                held,
            };
            if suspected.own.note_end(now, work, end) {
                let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
                suspected.report(now, work, WorkEvent::BackEndEnded { back_end, held_ms });
                new.push((work, suspected.ends(work)));
            }
        }
        new
    }

    /// Work ran to its end, so it does not end whatever runs it. True when something spoke against it.
    pub fn on_work_completed(&mut self, now: Timestamp, work: WorkId) -> bool {
        let suspected = &mut self.suspected_work;
        suspected.completions.note(now, work);
        let was_suspected = suspected.forget(work) || suspected.quarantined.contains(&work);
        if was_suspected {
            suspected.report(now, work, WorkEvent::Completed);
        }
        was_suspected
    }

    /// Takes in what a control machine added up. Reports only add up, so the most that any of them says
    /// counts, until one says that nothing is left, or the work has just run well here.
    pub fn on_work_suspicions(&mut self, now: Timestamp, suspicions: &[WorkSuspicion]) {
        let suspected = &mut self.suspected_work;
        for WorkSuspicion { work, ends } in suspicions {
            if *ends == 0 {
                suspected.forget(*work);
            } else if suspected.contradict(now, *work) {
                continue;
            } else if suspected.told.len() < MOST_TOLD || suspected.told.contains_key(work) {
                let told = suspected.told.entry(*work).or_default();
                *told = (*told).max(*ends);
            }
        }
    }

    /// What this router saw of work since `cursor`, which moves on. A new link begins at 0.
    pub fn work_reports_since(&self, now: Timestamp, cursor: &mut u64) -> Vec<WorkReport> {
        let suspected = &self.suspected_work;
        let skipped = cursor.saturating_sub(suspected.dropped_reports) as usize;
        *cursor = suspected.dropped_reports + suspected.reports.len() as u64;
        let fresh = suspected.reports.iter().skip(skipped);
        fresh
            .filter(|seen| seen.counts(now))
            .filter_map(|seen| {
                Some(WorkReport {
                    work: seen.work,
                    age_ms: u32::try_from(now.since(seen.at).as_millis()).unwrap_or(u32::MAX),
                    event: seen.event?,
                })
            })
            .collect()
    }
}
