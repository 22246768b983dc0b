//! Puts a request on an engine, and learns from what came of it.

use drumshore_core::{ErrorCode, RequestId, Timestamp, Verdict, WeightsVersion};
use drumshore_routing::{AttemptRecord, Choice, PrefixChain, PrefixRoot, RoutingRequest};

use super::{AdmitOutcome, Assignment, Phase, Placement, RouterCore};
use crate::exchange::FirstToken;

/// Times to the first token below this say little about an engine's speed.
const MIN_SPEED_SAMPLE_US: f64 = 10_000.0;

impl RouterCore {
    /// Chooses an engine; false when there is none with room.
    pub(super) fn place(&mut self, id: RequestId) -> bool {
        let Some(request) = self.active.get(&id) else {
            return true;
        };
        let Some(model) = self.config.model(&request.ask.model) else {
            let message = "the model is not configured any more";
            let verdict = Verdict::not_run(ErrorCode::UnknownModel, message);
            self.refuse_active(id, verdict);
            return true;
        };
        let weights_version = request.pinned_weights.unwrap_or(model.weights_version);
        let root = PrefixRoot::new(
            &request.tenant,
            &request.ask.model,
            weights_version,
            request.ask.adapter.as_ref(),
        );
        let chain = PrefixChain::new(root, request.ask.prompt.as_prompt(), model.block_tokens);
        let Some(choice) = self.choose(id, &chain, weights_version) else {
            return false;
        };
        self.commit(id, &chain, root, weights_version, choice);
        true
    }

    /// The first token of an attempt arrived.
    pub fn on_first_token(&mut self, id: RequestId, first: FirstToken) {
        let now = self.now;
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Phase::Running(placement) = &request.phase else {
            return;
        };
        let placement = placement.clone();
        let prompt_tokens = request.ask.prompt.as_prompt().token_count();
        let Some(engine) = self.engines.get_mut(placement.engine) else {
            return;
        };
        // Only the same weights can continue what the caller has from now on.
        request.pinned_weights = Some(engine.observation.weights_version);
        let took = engine.on_first_token(id.sequence, now);
        if let Some(cached) = first.cached_tokens {
            if let Some(overlap) = placement.believed {
                let age = placement.placed_at.since(overlap.used_at);
                engine.observe_retention(age, cached >= placement.believed_tokens);
            }
            let missing = prompt_tokens.saturating_sub(cached);
            let work = f64::from(placement.waiting_tokens) + f64::from(missing);
            let expected_us = work * self.params.scheduler.prefill_us_per_token;
            if let Some(took) = took.filter(|_| expected_us >= MIN_SPEED_SAMPLE_US) {
                engine.observe_speed(took.as_micros() as f64 / expected_us);
            }
            self.metrics.cached_tokens += u64::from(cached);
            let over = placement.expected_tokens.saturating_sub(cached);
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
        chain: &PrefixChain,
        weights_version: WeightsVersion,
    ) -> Option<Choice> {
        let request = self.active.get(&id)?;
        for pool in self.config.pools_of(&request.ask.model) {
            let routing = RoutingRequest {
                pool: &pool,
                weights_version,
                chain,
                zone: &self.params.zone,
                excluded: &request.excluded,
            };
            let chosen = self
                .scheduler
                .choose(&self.engines, &self.index, &routing, self.now);
            if let Ok(choice) = chosen {
                return Some(choice);
            }
        }
        // An engine that failed once is better than none, unless it holds the failure's cause.
        let request = self.active.get_mut(&id)?;
        if !request.excluded.is_empty() && request.attempts > 0 {
            request.excluded.clear();
        }
        None
    }

    fn commit(
        &mut self,
        id: RequestId,
        chain: &PrefixChain,
        cache_salt: PrefixRoot,
        weights_version: WeightsVersion,
        choice: Choice,
    ) {
        let now = self.now;
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(choice.engine) else {
            return;
        };
        request.attempts += 1;
        let missing = chain
            .prompt_tokens()
            .saturating_sub(choice.expected_cached_tokens);
        let placement = Placement {
            engine: choice.engine,
            believed: choice.believed,
            believed_tokens: choice
                .believed
                .map_or(0, |overlap| chain.tokens_in(overlap.blocks)),
            expected_tokens: choice.expected_cached_tokens,
            waiting_tokens: engine.waiting_tokens(),
            placed_at: now,
        };
        engine.on_sent(id.sequence, missing, now);
        let incarnation = engine.observation.incarnation;
        let assignment = Assignment {
            request: id,
            attempt: request.attempts,
            engine: engine.observation.name.clone(),
            address: engine.observation.address.clone(),
            incarnation,
            weights_version,
            cache_salt,
            priority: request.priority,
            idempotency_key: request.ask.idempotency_key.clone(),
        };
        request.phase = Phase::Running(placement);
        self.index
            .record_chain(chain, choice.engine, incarnation, now);
        self.record_attempt(id, &assignment, choice, now);
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
                .filter_map(|engine| self.engines.get(*engine))
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
