//! Places requests on engines and updates its estimates from the outcomes. Combines scheduler,
//! prefix index and engines for a router or an embedding project.

use std::time::Duration;

use drumshore_core::{EngineId, Incarnation, Timestamp};
use serde::{Deserialize, Serialize};

use crate::index::Overlap;
use crate::lookup_budget::LookupBudget;
use crate::{
    Choice, Engine, EngineSet, KnownCache, LoadReport, NoChoice, Policy, PrefixIndex,
    PrefixIndexParams, RoutingRequest, Scheduler, MAX_LOOKUP_PREFIXES,
};

/// Requests with a shorter expected time to the first token say little about an engine's speed and
/// are not used to measure it.
const MIN_SPEED_SAMPLE_US: f64 = 10_000.0;

/// What an engine reports at the beginning of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Prompt tokens of the request that were cached.
    pub cached_tokens: Option<u32>,
    /// The current load of the engine.
    pub load: Option<AnswerLoad>,
}

/// The load of an engine, as part of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerLoad {
    /// Prompt tokens in the queue.
    pub waiting_tokens: u32,
    /// Sequences that are running.
    pub running: u32,
}

/// The result of [`Placer::place`].
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request goes to an engine, whose estimated load and cache now include it.
    Placed(Placement, Choice),
    /// Send a lookup to the shared index and call [`Placer::place_informed`] with its answer.
    /// Without an answer this engine is the best choice.
    Lookup(EngineId),
}

/// What the shared index answers about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The engine that the answer describes.
    pub engine: EngineId,
    /// Prompt tokens that the engine caches.
    pub cached_tokens: u32,
    /// The estimated load of the engine.
    pub load: AnswerLoad,
}

/// A request that was placed on an engine. The caller passes it to the `on_` methods of [`Placer`].
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The engine that the request goes to.
    pub engine: EngineId,
    /// The last known incarnation. It is sent along as a fence: the engine refuses the request if
    /// it has restarted.
    pub incarnation: Incarnation,
    request: u64,
    prompt_tokens: u32,
    index_overlap: Option<Overlap>,
    index_overlap_tokens: u32,
    expected_tokens: u32,
    waiting_tokens: u32,
    placed_at: Timestamp,
}

impl Placement {
    /// Prompt tokens that the engine is expected to compute.
    pub fn uncached_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.expected_tokens)
    }
}

/// The known engines, the estimate of their caches, and the scheduler.
#[derive(Clone, Debug)]
pub struct Placer {
    engines: EngineSet,
    index: PrefixIndex,
    scheduler: Scheduler,
    lookup_budget: LookupBudget,
}

impl Placer {
    /// Creates a placer without engines and with an empty index.
    pub fn new(scheduler: Scheduler, index_params: PrefixIndexParams) -> Self {
        Self {
            engines: EngineSet::default(),
            index: PrefixIndex::new(index_params),
            lookup_budget: LookupBudget::new(
                scheduler.params().index_bytes_per_second,
                scheduler.params().index_stake_tokens,
            ),
            scheduler,
        }
    }

    /// The known engines.
    pub fn engines(&self) -> &EngineSet {
        &self.engines
    }

    /// The known engines, to apply reports about them.
    pub fn engines_mut(&mut self) -> &mut EngineSet {
        &mut self.engines
    }

    /// The scheduler with its parameters.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// This router's prefix index, to apply the cache events of engines.
    pub fn index_mut(&mut self) -> &mut PrefixIndex {
        &mut self.index
    }

    /// Sets the number of routers that receive the same kind of traffic.
    pub fn set_routers(&mut self, routers: f64) {
        self.scheduler.set_routers(routers);
    }

    /// Chooses an engine and records the request on it, or returns that the shared index is to be
    /// queried first. `request` is a number chosen by the caller.
    pub fn place(
        &mut self,
        request: u64,
        routing: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Result<Decision, NoChoice> {
        let choice = self
            .scheduler
            .choose(&self.engines, &self.index, routing, now)?;
        let prefixes = routing.chain.hashes().len().min(MAX_LOOKUP_PREFIXES);
        let informed = self.scheduler.params().policy == Policy::Product;
        let may_look_up = routing.may_look_up && informed && prefixes > 0;
        if may_look_up && self.lookup_budget.take(prefixes, choice.stake_tokens, now) {
            return Ok(Decision::Lookup(choice.engine));
        }
        let (placement, choice) = self.record_placement(request, routing, choice, now)?;
        Ok(Decision::Placed(placement, choice))
    }

    /// Places a request with the answer of the shared index. With an empty answer, the choice uses
    /// this router's own estimates.
    pub fn place_informed(
        &mut self,
        request: u64,
        routing: &RoutingRequest<'_>,
        answers: &[LookupAnswer],
        now: Timestamp,
    ) -> Result<(Placement, Choice), NoChoice> {
        for answer in answers {
            if let Some(engine) = self.engines.get_mut(answer.engine) {
                engine.load = LoadReport {
                    waiting_tokens: answer.load.waiting_tokens,
                    running: answer.load.running,
                    at: now,
                };
            }
        }
        let known: Vec<KnownCache> = answers
            .iter()
            .map(|answer| KnownCache {
                engine: answer.engine,
                cached_tokens: answer.cached_tokens,
            })
            .collect();
        let informed = RoutingRequest {
            index_answer: Some(&known),
            may_look_up: false,
            ..*routing
        };
        let choice = self
            .scheduler
            .choose(&self.engines, &self.index, &informed, now)?;
        self.record_placement(request, &informed, choice, now)
    }

    fn record_placement(
        &mut self,
        request: u64,
        routing: &RoutingRequest<'_>,
        choice: Choice,
        now: Timestamp,
    ) -> Result<(Placement, Choice), NoChoice> {
        let chain = routing.chain;
        let engine = self
            .engines
            .get_mut(choice.engine)
            .ok_or(NoChoice::NoneReady)?;
        let incarnation = engine.observation.incarnation;
        let placement = Placement {
            engine: choice.engine,
            incarnation,
            request,
            prompt_tokens: chain.prompt_tokens(),
            index_overlap: choice.index_overlap,
            index_overlap_tokens: choice
                .index_overlap
                .map_or(0, |overlap| chain.tokens_in(overlap.blocks)),
            expected_tokens: choice.expected_cached_tokens,
            waiting_tokens: engine.waiting_tokens(),
            placed_at: now,
        };
        let missing = placement
            .prompt_tokens
            .saturating_sub(choice.expected_cached_tokens);
        engine.on_sent(request, missing, now);
        self.index
            .record_chain(chain, choice.engine, incarnation, now);
        Ok((placement, choice))
    }

    /// Records the arrival of the first token. The load in `report` is newer than any report that
    /// the control machines forward. Returns the number of prompt tokens that were expected in the
    /// cache and were missing.
    pub fn on_first_token(
        &mut self,
        placement: &Placement,
        report: AnswerReport,
        now: Timestamp,
    ) -> u32 {
        let prefill_us = self.scheduler.params().prefill_us_per_token;
        let Some(engine) = self.engines.get_mut(placement.engine) else {
            return 0;
        };
        let took = engine.on_first_token(placement.request, now);
        if let Some(load) = report.load {
            engine.load = LoadReport {
                waiting_tokens: load.waiting_tokens,
                running: load.running,
                at: now,
            };
        }
        let Some(cached) = report.cached_tokens else {
            return 0;
        };
        if let Some(overlap) = placement.index_overlap {
            let age = placement.placed_at.since(overlap.used_at);
            engine.observe_retention(age, cached >= placement.index_overlap_tokens);
        }
        if let Some(took) = took {
            update_slowness(engine, placement, cached, took, prefill_us);
        }
        placement.expected_tokens.saturating_sub(cached)
    }

    /// Records the end of a request, successful or not.
    pub fn on_ended(&mut self, placement: &Placement) {
        if let Some(engine) = self.engines.get_mut(placement.engine) {
            engine.on_ended(placement.request);
        }
    }

    /// Records that the request failed at the engine. With a time, the engine counts as suspect
    /// until then.
    pub fn on_failed(&mut self, placement: &Placement, avoided_until: Option<Timestamp>) {
        self.on_ended(placement);
        if let Some(engine) = self.engines.get_mut(placement.engine) {
            engine.suspect_until = avoided_until.or(engine.suspect_until);
        }
    }
}

fn update_slowness(
    engine: &mut Engine,
    placement: &Placement,
    cached: u32,
    took: Duration,
    prefill_us: f64,
) {
    let missing = placement.prompt_tokens.saturating_sub(cached);
    let work = f64::from(placement.waiting_tokens) + f64::from(missing);
    let expected_us = work * prefill_us;
    if expected_us >= MIN_SPEED_SAMPLE_US {
        engine.observe_slowness(took.as_micros() as f64 / expected_us);
    }
}
