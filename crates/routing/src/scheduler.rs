//! Which engine a request goes to.
//!
//! The cost of an engine is the expected time to the first token: what waits there, plus what of
//! this prompt it has to compute. What it holds is estimated from this router's own beliefs and,
//! where there are none, from rendezvous homes: routers that never spoke with one another send
//! a prefix to the same engine and may presume to find it there.

use std::time::Duration;

use drumshore_core::{EngineId, PoolName, Timestamp, WeightsVersion, ZoneName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::decision::CandidateRecord;
use crate::heat::HeatMap;
use crate::index::Overlap;
use crate::rendezvous::{weight, TopRanked};
use crate::{BeliefIndex, Engine, EngineSet, PrefixChain, SequenceHash};

/// How engines are chosen. All but [`Policy::Product`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// One after the other.
    RoundRobin,
    /// The least that waits and runs.
    LeastLoaded,
    /// Cost with this router's own beliefs only.
    OwnBelief,
    /// Cost with rendezvous homes only.
    Rendezvous,
    /// Cost with beliefs and homes.
    #[default]
    Product,
}

/// Weights of the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerParams {
    /// How engines are chosen.
    pub policy: Policy,
    /// Expected time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Expected delay that each running sequence adds, in microseconds.
    pub running_us: f64,
    /// Added for an engine in another zone, in microseconds.
    pub other_zone_us: f64,
    /// Added for an engine in another region, in microseconds. Its load is not reported here, so
    /// it is a last resort.
    pub other_region_us: f64,
    /// What a token computed costs in comparison with a token waited for: above 1 because
    /// computing also delays others and evicts what they need.
    pub recompute_weight: f64,
    /// The chance, presumed, that a home holds a prefix nothing else is known of.
    pub home_trust: f64,
    /// Engines that share one hot prefix, at most.
    pub max_homes: usize,
    /// Requests a second that one engine serves of one prefix before the next one shares it.
    pub home_requests_per_second: f64,
    /// Routers that see the same traffic; this router's rates are multiplied by it.
    pub routers: f64,
    /// Engines drawn at random, so that an idle one is found.
    pub sampled: usize,
    /// Pools of up to this size are looked at as a whole.
    pub scan_all_up_to: usize,
    /// Prompt tokens that may wait at an engine before it counts as full.
    pub max_waiting_tokens: u32,
    /// Requests of this router that may be open at one engine before it counts as full.
    pub max_open_per_engine: u32,
    /// Candidates kept for the decision record.
    pub recorded_candidates: usize,
}

impl Default for SchedulerParams {
    fn default() -> Self {
        Self {
            policy: Policy::Product,
            prefill_us_per_token: 20.0,
            running_us: 400.0,
            other_zone_us: 1_000.0,
            other_region_us: 500_000.0,
            recompute_weight: 1.5,
            home_trust: 0.6,
            max_homes: 8,
            home_requests_per_second: 20.0,
            routers: 1.0,
            sampled: 6,
            scan_all_up_to: 32,
            max_waiting_tokens: 400_000,
            max_open_per_engine: 256,
            recorded_candidates: 6,
        }
    }
}

const SUSPECT_PENALTY_US: f64 = 10_000_000.0;
const TIE_JITTER: f64 = 0.02;
const HEAT_TIME_CONSTANT: Duration = Duration::from_secs(30);
const HEAT_CAPACITY: usize = 100_000;
/// A prefix seen at least about twice within the time constant is one that others share.
const SHARED_RATE: f64 = 1.5 / 30.0;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The engines that serve its model.
    pub pool: &'a PoolName,
    /// The weights it must be answered with.
    pub weights_version: WeightsVersion,
    /// Its prompt.
    pub chain: &'a PrefixChain,
    /// Where the router runs.
    pub zone: &'a ZoneName,
    /// Engines where it failed before.
    pub excluded: &'a [EngineId],
}

/// The engine chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens expected in its cache.
    pub expected_cached_tokens: u32,
    /// The belief behind the expectation, when it was one of this router's own.
    pub believed: Option<Overlap>,
    /// The best candidates, best first.
    pub candidates: Vec<CandidateRecord>,
}

/// Why there is no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No engine of the pool serves the version.
    NoneReady,
    /// Those that do have as much waiting as they may.
    AllFull,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: EngineId,
    expected_tokens: f64,
    believed: Option<Overlap>,
    cost_us: f64,
}

/// The engines that a prefix calls home, most binding first.
#[derive(Debug, Default)]
struct Homes {
    entries: Vec<Home>,
}

#[derive(Clone, Copy, Debug)]
struct Home {
    engine: EngineId,
    blocks: usize,
}

/// Chooses engines. Keeps prefix rates, a random generator and nothing else.
#[derive(Clone, Debug)]
pub struct Scheduler {
    params: SchedulerParams,
    heat: HeatMap,
    random: ChaCha8Rng,
    turn: usize,
}

impl Scheduler {
    /// A scheduler whose random choices follow from `random`.
    pub fn new(params: SchedulerParams, random: ChaCha8Rng) -> Self {
        let heat = HeatMap::new(HEAT_TIME_CONSTANT, HEAT_CAPACITY);
        Self {
            params,
            heat,
            random,
            turn: 0,
        }
    }

    /// The weights in use.
    pub fn params(&self) -> &SchedulerParams {
        &self.params
    }

    /// Sets how many routers see the same traffic.
    pub fn set_routers(&mut self, routers: f64) {
        self.params.routers = routers.max(1.0);
    }

    /// Chooses an engine for a request.
    pub fn choose(
        &mut self,
        engines: &EngineSet,
        index: &BeliefIndex,
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Result<Choice, NoChoice> {
        let overlaps = self.overlaps(engines, index, request);
        let homes = self.homes(engines, request, now);
        let mut candidates = self.candidates(engines, request, &overlaps, &homes, now)?;
        if self.params.policy == Policy::RoundRobin {
            self.turn += 1;
            let turn = self.turn % candidates.len();
            candidates.swap(0, turn);
        } else {
            candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        }
        let best = candidates[0];
        candidates.truncate(self.params.recorded_candidates);
        Ok(Choice {
            engine: best.engine,
            expected_cached_tokens: best.expected_tokens as u32,
            believed: best.believed,
            candidates: records(engines, &candidates, now),
        })
    }

    /// The expected time to the first token at an engine that holds `cached_tokens` of the
    /// prompt, in microseconds, with the weights of this scheduler.
    pub fn cost_us(
        &self,
        engine: &Engine,
        request: &RoutingRequest<'_>,
        cached_tokens: f64,
        now: Timestamp,
    ) -> f64 {
        let params = &self.params;
        let token_us = params.prefill_us_per_token * engine.slowness;
        let waiting = f64::from(engine.waiting_tokens()) * token_us;
        let running = f64::from(engine.running()) * params.running_us * engine.slowness;
        let missing = (f64::from(request.chain.prompt_tokens()) - cached_tokens).max(0.0);
        let mut cost = waiting + running + missing * token_us * params.recompute_weight;
        let zone = &engine.observation.zone;
        if zone.region() != request.zone.region() {
            cost += params.other_region_us;
        } else if zone != request.zone {
            cost += params.other_zone_us;
        }
        if engine.is_suspect(now) {
            cost += SUSPECT_PENALTY_US;
        }
        cost
    }

    fn overlaps(
        &self,
        engines: &EngineSet,
        index: &BeliefIndex,
        request: &RoutingRequest<'_>,
    ) -> Vec<Overlap> {
        if !matches!(self.params.policy, Policy::OwnBelief | Policy::Product) {
            return Vec::new();
        }
        let mut overlaps = index.overlaps(request.chain);
        overlaps.retain(|overlap| is_of_this_start(engines, overlap));
        overlaps
    }

    /// Ranks homes at the deepest prefix, at the deepest one that others share too, and at the
    /// first block.
    fn homes(
        &mut self,
        engines: &EngineSet,
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Homes {
        let mut homes = Homes::default();
        if !matches!(self.params.policy, Policy::Rendezvous | Policy::Product) {
            return homes;
        }
        let rates: Vec<f64> = request
            .chain
            .hashes()
            .iter()
            .map(|hash| self.heat.touch(*hash, now) * self.params.routers)
            .collect();
        let deepest = rates.len();
        let shared = rates
            .iter()
            .rposition(|rate| *rate > SHARED_RATE)
            .map_or(0, |at| at + 1);
        let mut depths = vec![deepest, shared, 1.min(deepest)];
        depths.dedup();
        for blocks in depths.into_iter().filter(|blocks| *blocks > 0) {
            let count = self.home_count(rates[blocks - 1]);
            self.rank_homes(engines, request, blocks, count, &mut homes);
        }
        homes
    }

    fn home_count(&self, requests_per_second: f64) -> usize {
        let wanted = (requests_per_second / self.params.home_requests_per_second).ceil();
        (wanted as usize).clamp(1, self.params.max_homes)
    }

    fn rank_homes(
        &self,
        engines: &EngineSet,
        request: &RoutingRequest<'_>,
        blocks: usize,
        count: usize,
        homes: &mut Homes,
    ) {
        let prefix: SequenceHash = request.chain.hashes()[blocks - 1];
        let mut ranking = TopRanked::new(count);
        for engine in engines.pool(request.pool) {
            if is_possible(engine, request) {
                ranking.offer(weight(prefix, engine.id), engine.id);
            }
        }
        for engine in ranking.into_items() {
            homes.add(Home { engine, blocks });
        }
    }

    fn candidates(
        &mut self,
        engines: &EngineSet,
        request: &RoutingRequest<'_>,
        overlaps: &[Overlap],
        homes: &Homes,
        now: Timestamp,
    ) -> Result<Vec<Candidate>, NoChoice> {
        let possible: Vec<&Engine> = engines
            .pool(request.pool)
            .filter(|engine| is_possible(engine, request))
            .collect();
        if possible.is_empty() {
            return Err(NoChoice::NoneReady);
        }
        let mut considered = self.considered(&possible, overlaps, homes);
        considered.retain(|engine| !self.is_full(engine));
        if considered.is_empty() {
            considered = possible;
            considered.retain(|engine| !self.is_full(engine));
        }
        let mut candidates = Vec::with_capacity(considered.len());
        for engine in considered {
            candidates.push(self.candidate(engine, request, overlaps, homes, now));
        }
        if candidates.is_empty() {
            return Err(NoChoice::AllFull);
        }
        Ok(candidates)
    }

    /// The engines whose cost is worked out: all of a small pool; of a large one those that
    /// are believed to hold something, the homes, and a few drawn at random.
    fn considered<'e>(
        &mut self,
        possible: &[&'e Engine],
        overlaps: &[Overlap],
        homes: &Homes,
    ) -> Vec<&'e Engine> {
        let scan_all = matches!(self.params.policy, Policy::RoundRobin | Policy::LeastLoaded);
        if scan_all || possible.len() <= self.params.scan_all_up_to {
            return possible.to_vec();
        }
        let mut positions: Vec<usize> = Vec::new();
        let known = overlaps.iter().map(|overlap| overlap.engine);
        for id in known.chain(homes.entries.iter().map(|home| home.engine)) {
            if let Ok(position) = possible.binary_search_by_key(&id, |engine| engine.id) {
                positions.push(position);
            }
        }
        for _ in 0..self.params.sampled {
            positions.push(self.random.random_range(0..possible.len()));
        }
        positions.sort_unstable();
        positions.dedup();
        positions
            .into_iter()
            .map(|position| possible[position])
            .collect()
    }

    fn candidate(
        &mut self,
        engine: &Engine,
        request: &RoutingRequest<'_>,
        overlaps: &[Overlap],
        homes: &Homes,
        now: Timestamp,
    ) -> Candidate {
        let believed = overlaps
            .iter()
            .find(|overlap| overlap.engine == engine.id)
            .copied();
        let from_belief = believed.map_or(0.0, |overlap| {
            let held = engine.hold_probability(now.since(overlap.used_at));
            f64::from(request.chain.tokens_in(overlap.blocks)) * held
        });
        let from_home = homes.blocks_at(engine.id).map_or(0.0, |blocks| {
            f64::from(request.chain.tokens_in(blocks)) * self.params.home_trust
        });
        let expected_tokens = from_belief.max(from_home);
        let jitter = 1.0 + TIE_JITTER * self.random.random::<f64>();
        let cost_us = self.cost_us(engine, request, expected_tokens, now) * jitter;
        Candidate {
            engine: engine.id,
            expected_tokens,
            believed,
            cost_us,
        }
    }

    fn is_full(&self, engine: &Engine) -> bool {
        engine.waiting_tokens() > self.params.max_waiting_tokens
            || engine.open_requests() >= self.params.max_open_per_engine
    }
}

impl Homes {
    fn add(&mut self, home: Home) {
        if self.blocks_at(home.engine).is_none() {
            self.entries.push(home);
        }
    }

    fn blocks_at(&self, engine: EngineId) -> Option<usize> {
        self.entries
            .iter()
            .find(|home| home.engine == engine)
            .map(|home| home.blocks)
    }
}

/// A belief counts only for the start of the engine that it was formed about: an engine that
/// restarted came back empty.
fn is_of_this_start(engines: &EngineSet, overlap: &Overlap) -> bool {
    engines
        .get(overlap.engine)
        .is_some_and(|engine| engine.observation.incarnation == overlap.incarnation)
}

fn is_possible(engine: &Engine, request: &RoutingRequest<'_>) -> bool {
    engine.is_eligible()
        && engine.observation.weights_version == request.weights_version
        && !request.excluded.contains(&engine.id)
}

fn records(engines: &EngineSet, candidates: &[Candidate], now: Timestamp) -> Vec<CandidateRecord> {
    let known = candidates.iter().filter_map(|candidate| {
        engines
            .get(candidate.engine)
            .map(|engine| (engine, candidate))
    });
    known
        .map(|(engine, candidate)| CandidateRecord {
            engine: engine.observation.name.clone(),
            incarnation: engine.observation.incarnation,
            weights_version: engine.observation.weights_version,
            state: engine.observation.state,
            expected_cached_tokens: candidate.expected_tokens as u32,
            waiting_tokens: engine.waiting_tokens(),
            running: engine.running(),
            load_age_ms: now.since(engine.load.at).as_millis() as u64,
            cost_us: candidate.cost_us as u64,
        })
        .collect()
}
