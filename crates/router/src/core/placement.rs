//! Puts a request on an engine, and learns from what came of it.

use drumshore_core::{
    ErrorCode, PlacementGoal, RequestError, RequestId, Timestamp, WeightsVersion,
};
use drumshore_routing::{
    AnswerReport, AttemptRecord, Choice, Decision, LookupAnswer, Placement, PrefixChain,
    PrefixRoot, RoutingRequest,
};

use super::{AdmitOutcome, Assignment, Phase, RouterCore};

/// A request's prompt under its tenant, model and weights.
struct HashedPrompt {
    chain: PrefixChain,
    root: PrefixRoot,
    weights_version: WeightsVersion,
    goal: PlacementGoal,
}

impl RouterCore {
    /// Chooses an engine; false when there is none with room.
    pub(super) fn place(&mut self, id: RequestId) -> bool {
        if !self.active.contains_key(&id) {
            return true;
        }
        let Some(prompt) = self.prompt_of(id) else {
            let message = "the model is not configured any more";
            let verdict = RequestError::not_run(ErrorCode::UnknownModel, message);
            self.refuse_active(id, verdict);
            return true;
        };
        match self.choose(id, &prompt, None) {
            Some(Decision::Placed(placement, choice)) => {
                self.commit(id, &prompt, (placement, choice));
                true
            }
            Some(Decision::Ask(like)) => {
                self.ask_index(id, &prompt.chain, like) || self.place_informed(id, &[])
            }
            None => false,
        }
    }

    /// Places a request with what the index answered; false when there is none with room.
    pub(super) fn place_informed(&mut self, id: RequestId, answers: &[LookupAnswer]) -> bool {
        let Some(prompt) = self.prompt_of(id) else {
            return false;
        };
        match self.choose(id, &prompt, Some(answers)) {
            Some(Decision::Placed(placement, choice)) => {
                self.commit(id, &prompt, (placement, choice));
                true
            }
            _ => false,
        }
    }

    /// The prompt as it is hashed now.
    fn prompt_of(&self, id: RequestId) -> Option<HashedPrompt> {
        let request = self.active.get(&id)?;
        let model = self.config.model(&request.ask.model)?;
        let weights_version = request.pinned_weights.unwrap_or(model.weights_version);
        let root = PrefixRoot::new(
            &request.tenant,
            &request.ask.model,
            weights_version,
            request.ask.adapter.as_ref(),
        );
        let chain = PrefixChain::new(root, request.ask.prompt.as_prompt(), model.block_tokens);
        Some(HashedPrompt {
            chain,
            root,
            weights_version,
            goal: model.goal,
        })
    }

    /// The first token of an attempt arrived.
    pub fn on_first_token(&mut self, id: RequestId, report: AnswerReport) {
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Phase::Running(placement) = &request.phase else {
            return;
        };
        let over = self.placer.on_first_token(placement, report, self.now);
        // Only the same weights can continue what the caller has from now on.
        let engine = self.placer.engines().get(placement.engine);
        request.pinned_weights = engine.map(|engine| engine.observation.weights_version);
        if let Some(cached) = report.cached_tokens {
            self.metrics.cached_tokens += u64::from(cached);
            self.metrics.overestimated_tokens += u64::from(over);
            let record = self.decisions.get_mut(id);
            if let Some(attempt) = record.and_then(|record| record.attempts.last_mut()) {
                attempt.cached_tokens = Some(cached);
            }
        }
        self.pump();
    }

    /// Asks the pools that serve the model, one after the other.
    fn choose(
        &mut self,
        id: RequestId,
        prompt: &HashedPrompt,
        answers: Option<&[LookupAnswer]>,
    ) -> Option<Decision> {
        let may_ask = self.may_ask_index();
        let request = self.active.get(&id)?;
        for pool in self.config.pools_of(&request.ask.model) {
            let routing = RoutingRequest {
                pool: &pool,
                weights_version: prompt.weights_version,
                chain: &prompt.chain,
                goal: prompt.goal,
                zone: &self.params.zone,
                excluded: &request.excluded,
                index_answer: None,
                may_ask,
            };
            let (number, now) = (id.sequence, self.now);
            let decided = match answers {
                Some(answers) => self
                    .placer
                    .place_informed(number, &routing, answers, now)
                    .map(|(placement, choice)| Decision::Placed(placement, choice)),
                None => self.placer.place(number, &routing, now),
            };
            if let Ok(decision) = decided {
                return Some(decision);
            }
        }
        // An engine that failed once is better than none.
        let request = self.active.get_mut(&id)?;
        request.excluded.clear();
        None
    }

    fn commit(
        &mut self,
        id: RequestId,
        prompt: &HashedPrompt,
        (placement, choice): (Placement, Choice),
    ) {
        let ticket = self.take_ticket(id);
        self.book_at_index(ticket, &placement);
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Some(engine) = self.placer.engines().get(placement.engine) else {
            return;
        };
        request.attempts += 1;
        let assignment = Assignment {
            request: id,
            attempt: request.attempts,
            engine: engine.observation.name.clone(),
            address: engine.observation.address.clone(),
            incarnation: placement.incarnation,
            weights_version: prompt.weights_version,
            cache_salt: prompt.root,
            priority: request.priority,
            idempotency_key: request.ask.idempotency_key.clone(),
        };
        request.phase = Phase::Running(placement);
        self.record_attempt(id, &assignment, choice, self.now);
        self.answer(id, AdmitOutcome::Assigned(assignment));
    }

    fn record_attempt(
        &mut self,
        id: RequestId,
        assignment: &Assignment,
        choice: Choice,
        at: Timestamp,
    ) {
        let excluded = self.active.get(&id).map_or(Vec::new(), |request| {
            request
                .excluded
                .iter()
                .filter_map(|engine| self.placer.engines().get(*engine))
                .map(|engine| engine.observation.name.clone())
                .collect()
        });
        let Some(record) = self.decisions.get_mut(id) else {
            return;
        };
        record.attempts.push(AttemptRecord {
            at,
            chosen: Some(assignment.engine.clone()),
            reason: format!(
                "lowest expected time to the first token, {} prompt tokens expected cached",
                choice.expected_cached_tokens
            ),
            candidates: choice.candidates,
            excluded,
            cached_tokens: None,
            verdict: None,
        });
    }
}
