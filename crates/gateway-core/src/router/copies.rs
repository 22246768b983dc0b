//! Copies of runs, with which a stream goes on when its back end is lost.
//!
//! A run that may not be repeated is lost with its back end, unless another one has a copy of its
//! memory. The copy continues the same run: nothing runs twice. Where a stream may be resumed any
//! back end can read it again, and no copy is kept: those prompts are long.

use drumshore_core::Timestamp;

use super::candidate::{Candidate, Placed};
use super::homes::weight;
use super::least::least_by_key;
use super::summary::NameHash;
use super::{Admission, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore, RunCopy};
use crate::RequestKind;

/// Back ends that are drawn as targets of a copy; the one with fewer requests is taken.
const DRAWN_FOR_COPY: usize = 2;
/// Runs are copied while no more than this part of the pool's slots is taken: a copy takes memory
/// that a busy pool needs for prompts.
const MOST_SLOTS_TAKEN: f64 = 0.35;
/// Of a back end's memory, what one copy may take at most. It is memory that prompts lack.
const MOST_OF_MEMORY: f64 = 0.05;

impl RouterCore {
    /// Where the run of a request is to be copied, when it may not be repeated.
    pub(super) fn copy_target(
        &self,
        admission: &Admission,
        prompt: Option<&Prompt>,
        placed: &Placed,
        usable: &[Candidate<'_>],
        draw: u64,
    ) -> Option<RunCopy> {
        let models = self.pool(admission)?.models.as_ref()?;
        let prompt = prompt.filter(|_| admission.route.kind == RequestKind::Stream)?;
        let size = f64::from(prompt.tokens() + prompt.output);
        let is_small = size <= models.cache_tokens as f64 * MOST_OF_MEMORY;
        if !models.copies_runs || !is_small || !has_spare_slots(usable) {
            return None;
        }
        let zone = NameHash::of(&self.params.zone);
        let others = usable.iter().filter(|other| {
            let is_same = *other.id == placed.instance;
            !is_same && other.version == placed.version && !other.endpoint.is_limited()
        });
        // Copies within a zone are cheaper.
        let drawn = least_by_key(others, DRAWN_FOR_COPY, |other| {
            let is_remote = other.endpoint.summary.zone != zone;
            (is_remote, weight(other.id, !draw))
        });
        let target = drawn
            .into_iter()
            .min_by_key(|other| other.endpoint.all_in_flight())?;
        Some(RunCopy {
            instance: target.id.clone(),
            address: target.endpoint.record.address.as_str().to_owned(),
            version: target.version,
        })
    }

    /// Chooses the back end that has a copy of a run, and counts the request there until
    /// [`RouterCore::finished`].
    pub fn choose_copy(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        copy: &RunCopy,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        self.check_fingerprint(now, &earlier)?;
        if earlier.arrived > 0 && !self.budget.may_retry(now, &admission.pool) {
            return Err(ChoiceError::NoBudget);
        }
        let candidates = self.candidates(now, admission, prompt);
        let holder = candidates
            .iter()
            .find(|candidate| *candidate.id == copy.instance && candidate.version == copy.version);
        let placed = holder.ok_or(ChoiceError::NoneLeft)?.placed(0);
        let choice = Choice {
            fetch_from: None,
            fetches_from_store: None,
            save_to: None,
            ..self.choice(now, admission, prompt, placed, &candidates)
        };
        self.budget.on_retry(now, &admission.pool);
        self.endpoints.started(now, &choice.instance, choice.tokens);
        Ok(choice)
    }
}

fn has_spare_slots(usable: &[Candidate<'_>]) -> bool {
    let (mut slots, mut taken) = (0, 0);
    for candidate in usable {
        let endpoint = candidate.endpoint;
        slots += endpoint.record.slots.min(endpoint.slots());
        taken += candidate.endpoint.all_in_flight();
    }
    f64::from(taken) <= f64::from(slots) * MOST_SLOTS_TAKEN
}

#[cfg(test)]
#[path = "copies_tests.rs"]
mod tests;
