//! Records what a [`Placer`] was told and asked, and replays it.
//!
//! A trace is a list of [`TraceLine`]s, one JSON document each. Replayed, it gives the same
//! decisions, which a test compares with stated ones.

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

/// Something that a placer was told or asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The placer was made. Always first.
    Start {
        /// The scheduler's weights.
        params: SchedulerParams,
        /// The seed of its draws.
        seed: u64,
    },
    /// An engine was described.
    Engine {
        /// The description.
        observation: EngineObservation,
    },
    /// An engine's load was reported.
    Load {
        /// The engine.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// A request was to be placed.
    Place(PlaceEvent),
    /// A request's first token arrived.
    FirstToken {
        /// The request.
        request: u64,
        /// What the engine said.
        report: AnswerReport,
    },
    /// A request ended.
    Ended {
        /// The request.
        request: u64,
    },
    /// A request's engine failed it.
    Failed {
        /// The request.
        request: u64,
        /// Until when the engine is avoided.
        avoided_until: Option<Timestamp>,
    },
}

/// A request that was to be placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceEvent {
    /// The request.
    pub request: u64,
    /// The pool.
    pub pool: PoolName,
    /// The weights.
    pub weights_version: WeightsVersion,
    /// Its prompt's prefixes.
    pub hashes: Vec<SequenceHash>,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// What placement weighs more.
    pub goal: PlacementGoal,
    /// Where the router runs.
    pub zone: ZoneName,
    /// Engines where it failed before.
    pub excluded: Vec<EngineId>,
    /// True when the index could be asked.
    pub may_ask: bool,
    /// What the index answered; `None` when it was not asked.
    pub answers: Option<Vec<LookupAnswer>>,
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// When, on the router's clock.
    pub at: Timestamp,
    /// What.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// What became of a request that was to be placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceOutcome {
    /// It went to an engine.
    Placed(EngineId),
    /// The index was to be asked first; this engine looked best.
    Ask(EngineId),
    /// There was no engine.
    Nowhere,
}

/// A decision of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceDecision {
    /// The request.
    pub request: u64,
    /// What became of it.
    pub outcome: TraceOutcome,
}

/// A trace that cannot be replayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the trace does not begin with its start")]
pub struct MissingStart;

/// Replays a trace and gives its decisions, in order.
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
            may_ask: place.may_ask,
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
            Ok(Decision::Ask(best)) => TraceOutcome::Ask(best),
            Err(_) => TraceOutcome::Nowhere,
        };
        TraceDecision {
            request: place.request,
            outcome,
        }
    }
}
