//! The choice of a back end for one attempt, with the checks that precede it.

use drumshore_core::Timestamp;

use super::{Admission, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore};

impl RouterCore {
    /// Charges a further attempt of a request to the retry budget; false when the budget does not allow it.
    pub fn charge_retry(&mut self, now: Timestamp, admission: &Admission) -> bool {
        let is_allowed = self.budget.may_retry(now, &admission.pool);
        if is_allowed {
            self.budget.on_retry(now, &admission.pool);
        }
        is_allowed
    }

    /// Chooses a back end and counts the request as in flight there until [`RouterCore::finished`].
    ///
    /// An attempt counts as a retry only if an earlier attempt reached a back end: a refused connection puts no load
    /// on the pool, and the retry budget bounds that load.
    pub fn choose(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        self.check_fingerprints(now, &earlier)?;
        let is_retry = earlier.arrived > 0;
        if earlier.tried.is_empty() {
            self.budget.on_request(now, &admission.pool);
        } else if is_retry && !self.budget.may_retry(now, &admission.pool) {
            return Err(ChoiceError::NoBudget);
        }
        if let Some(prompt) = prompt.filter(|_| earlier.tried.is_empty()) {
            self.refuse_overload(now, admission, prompt)?;
        }
        let choice = self.place(now, admission, prompt, &earlier)?;
        if let Some(prompt) = prompt.filter(|_| earlier.tried.is_empty()) {
            let models = self.pool(admission).and_then(|pool| pool.models.as_ref());
            let slots = models.map_or(1, |models| models.slots);
            self.prompt_mix
                .record_prompt(prompt, choice.work_tokens, slots);
        }
        if is_retry {
            self.budget.on_retry(now, &admission.pool);
            if let Some(charge) = admission.charge {
                self.tenant_accounts.charge_again(now, charge);
            }
        }
        self.endpoints
            .started(now, &choice.instance, choice.work_tokens);
        Ok(choice)
    }
}
