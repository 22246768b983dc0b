//! Records the inputs of a [`Placer`] and replays them.
//!
//! A trace is a list of [`TraceLine`]s, one JSON document each. Replaying it gives the same
//! decisions; a test compares them with the expected ones.

use std::collections::BTreeMap;

use drumshore_core::{EngineId, PlacementGoal, PoolName, Timestamp, WeightsVersion, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{
    AnswerReport, Decision, EngineObservation, LoadReport, LookupAnswer, NoChoice, Placement,
    Placer, PrefixChain, PrefixIndexParams, RoutingRequest, Scheduler, SchedulerParams,
    SequenceHash,
};

/// An input of a placer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The placer was created. Always the first event.
    Start {
        /// The parameters of the scheduler.
        params: SchedulerParams,
        /// The seed of its random generator.
        seed: u64,
    },
    /// The description of an engine was added or updated.
    Engine {
        /// The new description.
        observation: EngineObservation,
    },
    /// An engine's load was reported.
    Load {
        /// The engine that sent the report.
        engine: EngineId,
        /// The reported load.
        report: LoadReport,
    },
    /// A placement was requested.
    Place(PlaceEvent),
    /// A request's first token arrived.
    FirstToken {
        /// The number of the request.
        request: u64,
        /// The report in the engine's answer.
        report: AnswerReport,
    },
    /// A request ended.
    Ended {
        /// The number of the request.
        request: u64,
    },
    /// A request failed at its engine.
    Failed {
        /// The number of the request.
        request: u64,
        /// The time until which the engine counts as suspect.
        avoided_until: Option<Timestamp>,
    },
}

/// A request for a placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceEvent {
    /// The number of the request.
    pub request: u64,
    /// The pool of engines that serve the model.
    pub pool: PoolName,
    /// The weights version that must serve the request.
    pub weights_version: WeightsVersion,
    /// The hashes of the prompt's prefixes, shortest first.
    pub hashes: Vec<SequenceHash>,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// The placement goal of the model.
    pub goal: PlacementGoal,
    /// The zone of the router.
    pub zone: ZoneName,
    /// Engines where earlier attempts failed.
    pub excluded: Vec<EngineId>,
    /// True if the shared index was available for a lookup.
    #[serde(rename = "may_ask")]
    pub may_look_up: bool,
    /// The answer of the shared index; `None` if there was no lookup.
    pub answers: Option<Vec<LookupAnswer>>,
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// The time on the router's clock.
    pub at: Timestamp,
    /// The recorded input.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// The outcome of a placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceOutcome {
    /// The request went to this engine.
    Placed(EngineId),
    /// The shared index was to be queried first; this engine was the best until then.
    #[serde(rename = "ask")]
    Lookup(EngineId),
    /// No engine could take the request.
    #[serde(rename = "nowhere")]
    NoEngine,
}

/// A decision of a replayed trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceDecision {
    /// The number of the request.
    pub request: u64,
    /// The outcome of the placement.
    pub outcome: TraceOutcome,
}

/// The error for a trace whose first event is not [`TraceEvent::Start`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the trace does not begin with a start event")]
pub struct MissingStart;

/// Replays a trace and returns its decisions in order.
pub fn replay(lines: &[TraceLine]) -> Result<Vec<TraceDecision>, MissingStart> {
    let Some(TraceEvent::Start { params, seed }) = lines.first().map(|line| &line.event) else {
        return Err(MissingStart);
    };
    let random = ChaCha8Rng::seed_from_u64(*seed);
    let scheduler = Scheduler::new(params.clone(), random);
    let mut replayer = Replayer {
        placer: Placer::new(scheduler, PrefixIndexParams::default()),
        placements: BTreeMap::new(),
    };
    Ok(lines
        .iter()
        .filter_map(|line| replayer.apply(line))
        .collect())
}

struct Replayer {
    placer: Placer,
    placements: BTreeMap<u64, Placement>,
}

impl Replayer {
    fn apply(&mut self, line: &TraceLine) -> Option<TraceDecision> {
        match &line.event {
            TraceEvent::Start { .. } => {}
            TraceEvent::Engine { observation } => {
                self.placer.engines_mut().observe(observation.clone());
            }
            TraceEvent::Load { engine, report } => {
                if let Some(engine) = self.placer.engines_mut().get_mut(*engine) {
                    engine.load = *report;
                }
            }
            TraceEvent::Place(place) => return Some(self.place(place, line.at)),
            TraceEvent::FirstToken { request, report } => {
                if let Some(placement) = self.placements.get(request) {
                    self.placer.on_first_token(placement, *report, line.at);
                }
            }
            TraceEvent::Ended { request } => {
                if let Some(placement) = self.placements.remove(request) {
                    self.placer.on_ended(&placement);
                }
            }
            TraceEvent::Failed {
                request,
                avoided_until,
            } => {
                if let Some(placement) = self.placements.remove(request) {
                    self.placer.on_failed(&placement, *avoided_until);
                }
            }
        }
        None
    }

    fn place(&mut self, place: &PlaceEvent, now: Timestamp) -> TraceDecision {
        let hashes = place.hashes.clone();
        let chain = PrefixChain::from_hashes(hashes, place.block_tokens, place.prompt_tokens);
        let routing = RoutingRequest {
            pool: &place.pool,
            weights_version: place.weights_version,
            chain: &chain,
            goal: place.goal,
            zone: &place.zone,
            excluded: &place.excluded,
            index_answer: None,
            may_look_up: place.may_look_up,
        };
        let decided: Result<Decision, NoChoice> = match &place.answers {
            Some(answers) => self
                .placer
                .place_informed(place.request, &routing, answers, now)
                .map(|(placement, choice)| Decision::Placed(placement, choice)),
            None => self.placer.place(place.request, &routing, now),
        };
        let outcome = match decided {
            Ok(Decision::Placed(placement, _)) => {
                let engine = placement.engine;
                self.placements.insert(place.request, placement);
                TraceOutcome::Placed(engine)
            }
            Ok(Decision::Lookup(best)) => TraceOutcome::Lookup(best),
            Err(_) => TraceOutcome::NoEngine,
        };
        TraceDecision {
            request: place.request,
            outcome,
        }
    }
}
