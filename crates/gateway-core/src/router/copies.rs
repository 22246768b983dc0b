//! Copies of runs on second back ends, so that streams continue when their back end is lost.
//!
//! A run that must not be repeated is lost with its back end unless another one has a copy of its cached tokens. The
//! copy continues the same run, so nothing runs twice. No copy is kept of a resumable stream: its prompts
//! are long, and any back end can prefill them again.

use drumshore_core::Timestamp;

use super::candidate::{Candidate, Placed};
use super::homes::rendezvous_score;
use super::k_smallest::k_smallest_by_key;
use super::summary::NameHash;
use super::{Admission, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore, RunCopy};
use crate::RequestKind;

/// Number of back ends that are sampled as targets of a copy; the one with fewer requests is chosen.
const SAMPLED_COPY_TARGETS: usize = 2;
/// Runs are copied only up to this utilization of the pool's slots: a copy takes memory that a busy pool needs for
/// prompts.
const MAX_UTILIZATION_FOR_COPIES: f64 = 0.35;
/// Maximum fraction of a back end's cache that one copy may take, because prompts cannot use that memory.
const MAX_COPY_MEMORY_FRACTION: f64 = 0.05;

impl RouterCore {
    /// The back end to copy the run of a request to, if the request must not be repeated and the pool has room.
    pub(super) fn copy_target(
        &self,
        admission: &Admission,
        prompt: Option<&Prompt>,
        placed: &Placed,
        usable: &[Candidate<'_>],
        sample: u64,
    ) -> Option<RunCopy> {
        let models = self.pool(admission)?.models.as_ref()?;
        let prompt = prompt.filter(|_| admission.route.kind == RequestKind::Stream)?;
        let size = f64::from(prompt.tokens() + prompt.output);
        let is_small = size <= models.cache_tokens as f64 * MAX_COPY_MEMORY_FRACTION;
        if !models.copies_runs || !is_small || !has_spare_slots(usable) {
            return None;
        }
        let zone = NameHash::of(&self.params.zone);
        let others = usable.iter().filter(|other| {
            let is_same = *other.id == placed.instance;
            !is_same
                && other.version == placed.version
                && other.endpoint.record.software == placed.software
                && !other.endpoint.is_limited()
        });
        // Copies within a zone are cheaper.
        let sampled = k_smallest_by_key(others, SAMPLED_COPY_TARGETS, |other| {
            let is_remote = other.endpoint.summary.zone != zone;
            (is_remote, rendezvous_score(other.id, !sample))
        });
        let target = sampled
            .into_iter()
            .min_by_key(|other| other.endpoint.all_in_flight())?;
        Some(RunCopy {
            instance: target.id.clone(),
            address: target.endpoint.record.address.as_str().to_owned(),
            version: target.version,
        })
    }

    /// Chooses the back end that has a copy of a run, and counts the request as in flight there until
    /// [`RouterCore::finished`].
    pub fn choose_copy(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        copy: &RunCopy,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        self.check_fingerprints(now, &earlier)?;
        if earlier.arrived > 0 && !self.budget.may_retry(now, &admission.pool) {
            return Err(ChoiceError::NoBudget);
        }
        let mut candidates = self.candidates(now, admission, prompt);
        self.retain_required_software(&mut candidates, admission, earlier.required_software);
        let holder = candidates
            .iter()
            .find(|candidate| *candidate.id == copy.instance && candidate.version == copy.version);
        let placed = holder.ok_or(ChoiceError::NoneLeft)?.placed(0);
        let choice = Choice {
            fetch_from: None,
            fetch_store: None,
            save_to: None,
            ..self.choice(now, admission, prompt, placed, &candidates)
        };
        self.budget.on_retry(now, &admission.pool);
        self.endpoints
            .started(now, &choice.instance, choice.work_tokens);
        Ok(choice)
    }
}

fn has_spare_slots(usable: &[Candidate<'_>]) -> bool {
    let (mut slots, mut occupied) = (0, 0);
    for candidate in usable {
        let endpoint = candidate.endpoint;
        slots += endpoint.record.slots.min(endpoint.slots());
        occupied += candidate.endpoint.all_in_flight();
    }
    f64::from(occupied) <= f64::from(slots) * MAX_UTILIZATION_FOR_COPIES
}

#[cfg(test)]
#[path = "copies_tests.rs"]
mod tests;
