//! Assigns requests to engines, and updates the cache estimate from the engines' answers.

use drumshore_core::{
    ErrorCode, PlacementGoal, RequestError, RequestId, Timestamp, WeightsVersion,
};
use drumshore_routing::{
    AnswerReport, AttemptRecord, Choice, Decision, LookupAnswer, Placement, PrefixChain,
    PrefixRoot, RoutingRequest,
};

use super::{AdmitOutcome, Assignment, Phase, RouterCore};

/// A prompt's prefix chain, hashed for its tenant, model, weights and adapter.
struct HashedPrompt {
    chain: PrefixChain,
    root: PrefixRoot,
    weights_version: WeightsVersion,
    goal: PlacementGoal,
}

impl RouterCore {
    /// Assigns an engine to a request, or starts an index lookup for it. Returns false if no engine
    /// has capacity, true if the request needs no place in the queue.
    pub(super) fn place(&mut self, id: RequestId) -> bool {
        if !self.active.contains_key(&id) {
            return true;
        }
        let Some(prompt) = self.prompt_of(id) else {
            let message = "the model is not configured any more";
            let error = RequestError::not_run(ErrorCode::UnknownModel, message);
            self.refuse_active(id, error);
            return true;
        };
        match self.choose(id, &prompt, None) {
            Some(Decision::Placed(placement, choice)) => {
                self.assign(id, &prompt, (placement, choice));
                true
            }
            Some(Decision::Lookup(pool_member)) => {
                self.start_lookup(id, &prompt.chain, pool_member) || self.place_informed(id, &[])
            }
            None => false,
        }
    }

    /// Assigns an engine by the answers of the index. Returns false if no engine has capacity.
    pub(super) fn place_informed(&mut self, id: RequestId, answers: &[LookupAnswer]) -> bool {
        let Some(prompt) = self.prompt_of(id) else {
            return false;
        };
        match self.choose(id, &prompt, Some(answers)) {
            Some(Decision::Placed(placement, choice)) => {
                self.assign(id, &prompt, (placement, choice));
                true
            }
            _ => false,
        }
    }

    /// Hashes a request's prompt under the current configuration.
    fn prompt_of(&self, id: RequestId) -> Option<HashedPrompt> {
        let request = self.active.get(&id)?;
        let model = self.config.model(&request.admit_request.model)?;
        let weights_version = request.pinned_weights.unwrap_or(model.weights_version);
        let root = PrefixRoot::new(
            &request.tenant,
            &request.admit_request.model,
            weights_version,
            request.admit_request.adapter.as_ref(),
        );
        let chain = PrefixChain::new(
            root,
            request.admit_request.prompt.as_prompt(),
            model.block_tokens,
        );
        Some(HashedPrompt {
            chain,
            root,
            weights_version,
            goal: model.goal,
        })
    }

    /// Handles the first token of an attempt and the engine's report that came with it.
    pub fn on_first_token(&mut self, id: RequestId, report: AnswerReport) {
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Phase::Running(placement) = &request.phase else {
            return;
        };
        let overestimated = self.placer.on_first_token(placement, report, self.now);
        // From now on, only the same weights can continue the part that the caller has.
        let engine = self.placer.engines().get(placement.engine);
        request.pinned_weights = engine.map(|engine| engine.observation.weights_version);
        if let Some(cached) = report.cached_tokens {
            self.metrics.cached_tokens += u64::from(cached);
            self.metrics.overestimated_tokens += u64::from(overestimated);
            let record = self.decisions.get_mut(id);
            if let Some(attempt) = record.and_then(|record| record.attempts.last_mut()) {
                attempt.cached_tokens = Some(cached);
            }
        }
        self.dispatch_queued();
    }

    /// Tries the pools that serve the model in order of their names.
    fn choose(
        &mut self,
        id: RequestId,
        prompt: &HashedPrompt,
        answers: Option<&[LookupAnswer]>,
    ) -> Option<Decision> {
        let may_look_up = self.may_query_index();
        let request = self.active.get(&id)?;
        for pool in self.config.pools_of(&request.admit_request.model) {
            let routing = RoutingRequest {
                pool: &pool,
                weights_version: prompt.weights_version,
                chain: &prompt.chain,
                goal: prompt.goal,
                zone: &self.params.zone,
                excluded: &request.excluded,
                index_answer: None,
                may_look_up,
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
        // No other engine is available: allow those again that failed the request before.
        let request = self.active.get_mut(&id)?;
        request.excluded.clear();
        None
    }

    fn assign(
        &mut self,
        id: RequestId,
        prompt: &HashedPrompt,
        (placement, choice): (Placement, Choice),
    ) {
        let ticket = self.close_lookup(id);
        self.queue_booking(ticket, &placement);
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
            idempotency_key: request.admit_request.idempotency_key.clone(),
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
            error: None,
        });
    }
}
