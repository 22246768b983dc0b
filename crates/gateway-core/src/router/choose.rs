//! The choice of a back end for an attempt, with the checks that precede it.

use drumshore_core::Timestamp;

use super::{Admission, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore};

impl RouterCore {
    /// Chooses a back end and counts the request as in flight there until [`RouterCore::finished`]. Refuses a share of
    /// the requests while the pool is overloaded.
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
        self.check_fingerprint(now, &earlier)?;
        let is_first = earlier.tried.is_empty();
        if is_first {
            self.budget.on_request(now, &admission.pool);
        }
        if let Some(prompt) = prompt.filter(|_| is_first) {
            self.refuse_overload(now, admission, prompt)?;
        }
        self.choose_checked(now, admission, prompt, earlier)
    }

    /// Like [`RouterCore::choose`], for a request that [`RouterCore::enter`] or a later decision has let in.
    pub fn choose_let_in(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        self.check_fingerprint(now, &earlier)?;
        self.choose_checked(now, admission, prompt, earlier)
    }

    fn choose_checked(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        let is_first = earlier.tried.is_empty();
        let is_retry = earlier.arrived > 0;
        if !is_first && is_retry && !self.budget.may_retry(now, &admission.pool) {
            return Err(ChoiceError::NoBudget);
        }
        let choice = self.place(now, admission, prompt, &earlier)?;
        if let Some(prompt) = prompt.filter(|_| is_first) {
            let models = self.pool(admission).and_then(|pool| pool.models.as_ref());
            let slots = models.map_or(1, |models| models.slots);
            self.prompt_mix.record_prompt(prompt, choice.tokens, slots);
        }
        if is_retry {
            self.budget.on_retry(now, &admission.pool);
            if let Some(charge) = admission.charge {
                self.tenant_accounts.charge_again(now, charge);
            }
        }
        self.endpoints.started(now, &choice.instance, choice.tokens);
        Ok(choice)
    }
}
