//! Which engine a request goes to.
//!
//! The cost of an engine is the expected time to the first token: what waits there, plus what of
//! this prompt it has to compute. What it holds is estimated from this router's own beliefs and,
//! where there are none, from rendezvous homes: routers that never spoke with one another send
//! a prefix to the same engine and may presume to find it there.

use std::time::Duration;

use drumshore_core::{EngineId, PlacementGoal, PoolName, Timestamp, WeightsVersion, ZoneName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::decision::CandidateRecord;
use crate::heat::HeatMap;
use crate::index::Overlap;
use crate::rendezvous::{weight, TopRanked};
use crate::{BeliefIndex, Engine, EngineSet, PrefixChain, SequenceHash};

/// How engines are chosen. All but [`Policy::Product`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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
    /// Cost with what [`Engine::show_exactly`] has shown: the oracle of measurements.
    Exact,
}

/// Weights of the cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
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
    /// The same where reuse is the goal.
    pub reuse_recompute_weight: f64,
    /// The share of an engine's fair part of all requests that one prefix family may have before
    /// it is split, or shared by several engines when it cannot be split.
    pub family_share: f64,
    /// Engines that share one hot prefix, at most.
    pub max_homes: usize,
    /// Engines over which a family's longer prefixes are spread. More engines carry more evenly,
    /// and hold more copies of what the family shares.
    pub family_spread: usize,
    /// Families with fewer requests a second are neither split nor shared.
    pub min_family_rate: f64,
    /// Routers that see the same traffic; this router's rates are multiplied by it.
    pub routers: f64,
    /// Engines that are asked what they hold of an expensive prompt before it is placed; 0 for
    /// never.
    pub lookups: usize,
    /// A prompt is expensive when its best engine is expected to compute more tokens than this
    /// until the first one is out, those that wait there included.
    pub lookup_min_tokens: u32,
    /// The same where reuse is the goal, without those that wait.
    pub reuse_lookup_min_tokens: u32,
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
            running_us: 100.0,
            other_zone_us: 1_000.0,
            other_region_us: 500_000.0,
            recompute_weight: 4.0,
            reuse_recompute_weight: 8.0,
            family_share: 3.0,
            max_homes: 8,
            family_spread: 3,
            min_family_rate: 0.5,
            routers: 1.0,
            lookups: 3,
            lookup_min_tokens: 800,
            reuse_lookup_min_tokens: 3_000,
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
/// Under this name all requests are counted.
const ALL_REQUESTS: SequenceHash = SequenceHash(0);

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The engines that serve its model.
    pub pool: &'a PoolName,
    /// The weights it must be answered with.
    pub weights_version: WeightsVersion,
    /// Its prompt.
    pub chain: &'a PrefixChain,
    /// What its model's placement weighs more.
    pub goal: PlacementGoal,
    /// Where the router runs.
    pub zone: &'a ZoneName,
    /// Engines where it failed before.
    pub excluded: &'a [EngineId],
    /// What engines said that they hold of it, when they were asked.
    pub known: Option<&'a [KnownCache]>,
}

/// What one engine said that it holds of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCache {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens.
    pub cached_tokens: u32,
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
    /// Engines worth asking before the request is placed; none when it is cheap.
    pub worth_asking: Vec<EngineId>,
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
    waiting_tokens: f64,
    believed: Option<Overlap>,
    cost_us: f64,
}

/// The engines of a request's prefix family.
#[derive(Debug, Default)]
struct Homes {
    /// All engines of the family; the homes of this very prompt come first.
    members: Vec<EngineId>,
    homes: usize,
    /// The rate at which each member is asked for each block of the family, a second.
    member_rates: Vec<f64>,
    /// The rate at which each home is asked for each block behind these, a second.
    home_rates: Vec<f64>,
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
        let possible: Vec<&Engine> = engines
            .pool(request.pool)
            .filter(|engine| is_possible(engine, request))
            .collect();
        if possible.is_empty() {
            return Err(NoChoice::NoneReady);
        }
        let overlaps = self.overlaps(engines, index, request);
        let homes = self.homes(&possible, request, now);
        let mut candidates = self.candidates(&possible, request, &overlaps, &homes, now)?;
        if self.params.policy == Policy::RoundRobin {
            self.turn += 1;
            let turn = self.turn % candidates.len();
            candidates.swap(0, turn);
        } else {
            candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        }
        let best = candidates[0];
        let worth_asking = self.worth_asking(request, &candidates);
        candidates.truncate(self.params.recorded_candidates);
        Ok(Choice {
            engine: best.engine,
            expected_cached_tokens: best.expected_tokens as u32,
            believed: best.believed,
            candidates: records(engines, &candidates, now),
            worth_asking,
        })
    }

    fn worth_asking(
        &self,
        request: &RoutingRequest<'_>,
        candidates: &[Candidate],
    ) -> Vec<EngineId> {
        let prompt_tokens = f64::from(request.chain.prompt_tokens());
        // Where reuse is the goal, a queue is no reason to go and compute elsewhere.
        let expensive = candidates.first().is_some_and(|best| {
            let missing = prompt_tokens - best.expected_tokens;
            match request.goal {
                PlacementGoal::Latency => {
                    missing + best.waiting_tokens > f64::from(self.params.lookup_min_tokens)
                }
                PlacementGoal::Reuse => missing > f64::from(self.params.reuse_lookup_min_tokens),
            }
        });
        let informed = self.params.policy == Policy::Product;
        if !informed || !expensive || request.known.is_some() {
            return Vec::new();
        }
        let asked = candidates.iter().take(self.params.lookups);
        asked.map(|candidate| candidate.engine).collect()
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
        let weight = match request.goal {
            PlacementGoal::Latency => params.recompute_weight,
            PlacementGoal::Reuse => params.reuse_recompute_weight,
        };
        let mut cost = waiting + running + missing * token_us * weight;
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

    /// Finds the request's family: the shortest prefix whose requests fit one engine. A prefix
    /// that is asked for more often is split into the longer ones below it, so that requests
    /// that share much stay together; the longest one is shared by several engines.
    fn homes(
        &mut self,
        possible: &[&Engine],
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Homes {
        let hashes = request.chain.hashes();
        let wanted = matches!(self.params.policy, Policy::Rendezvous | Policy::Product);
        if !wanted || hashes.is_empty() {
            return Homes::default();
        }
        let counted = request.known.is_some();
        let rates: Vec<f64> = hashes
            .iter()
            .map(|hash| self.rate(*hash, counted, now))
            .collect();
        let all = self.rate(ALL_REQUESTS, counted, now);
        // A suspect engine is no home, so that all routers turn to the same next one.
        let eligible = || possible.iter().filter(|engine| !engine.is_suspect(now));
        let fair_part = all / eligible().count().max(1) as f64;
        let limit = (fair_part * self.params.family_share).max(self.params.min_family_rate);
        let deepest = hashes.len() - 1;
        let fits = |rate: &f64| *rate <= limit;
        let family = rates.iter().position(fits).unwrap_or(deepest);
        let count = (rates[family] / limit).ceil().max(1.0) as usize;
        let count = count.min(self.params.max_homes);
        let mut ranking = TopRanked::new(count * self.params.family_spread.max(1));
        for engine in eligible() {
            ranking.offer(weight(hashes[family], engine.id), engine.id);
        }
        let mut members: Vec<EngineId> = ranking.into_items().collect();
        // Among the family's engines, the whole prompt decides: its own blocks are held once.
        members.sort_by_key(|engine| std::cmp::Reverse(weight(hashes[deepest], *engine)));
        let spread = members.len().max(1) as f64;
        Homes {
            homes: count.min(members.len()),
            members,
            member_rates: rates[..=family].iter().map(|rate| rate / spread).collect(),
            home_rates: rates[family + 1..]
                .iter()
                .map(|rate| rate / count as f64)
                .collect(),
        }
    }

    /// The rate of a prefix over all routers; a request that was counted is not counted again.
    fn rate(&mut self, prefix: SequenceHash, counted: bool, now: Timestamp) -> f64 {
        let own = if counted {
            self.heat.rate(prefix, now)
        } else {
            self.heat.touch(prefix, now)
        };
        own * self.params.routers
    }

    fn candidates(
        &mut self,
        possible: &[&Engine],
        request: &RoutingRequest<'_>,
        overlaps: &[Overlap],
        homes: &Homes,
        now: Timestamp,
    ) -> Result<Vec<Candidate>, NoChoice> {
        let mut considered = self.considered(possible, overlaps, homes);
        considered.retain(|engine| !self.is_full(engine));
        if considered.is_empty() {
            considered = possible.to_vec();
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
        let scan_all = matches!(
            self.params.policy,
            Policy::RoundRobin | Policy::LeastLoaded | Policy::Exact
        );
        if scan_all || possible.len() <= self.params.scan_all_up_to {
            return possible.to_vec();
        }
        let mut positions: Vec<usize> = Vec::new();
        let known = overlaps.iter().map(|overlap| overlap.engine);
        for id in known.chain(homes.members.iter().copied()) {
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
        let from_home = homes.expected_tokens(engine, request.chain);
        let mut known = request.known.unwrap_or_default().iter();
        let known = known.find(|known| known.engine == engine.id);
        let expected_tokens = match (self.params.policy, known) {
            (Policy::Exact, _) => f64::from(engine.exact_cached_tokens()),
            (_, Some(known)) => f64::from(known.cached_tokens),
            (_, None) => from_belief.max(from_home),
        };
        let jitter = 1.0 + TIE_JITTER * self.random.random::<f64>();
        let cost_us = self.cost_us(engine, request, expected_tokens, now) * jitter;
        Candidate {
            engine: engine.id,
            expected_tokens,
            waiting_tokens: f64::from(engine.waiting_tokens()),
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
    /// Tokens that an engine of the family is expected to hold. An engine that drops the longest unused first
    /// holds a block as long as its retention after each use; with requests that come at random
    /// at a known rate, the chance to find it is 1 - exp(-rate * retention).
    ///
    /// Source: Che, Tung and Wang, "Hierarchical Web Caching Systems: Modeling, Design and
    /// Experimental Results", 2002.
    fn expected_tokens(&self, engine: &Engine, chain: &PrefixChain) -> f64 {
        let Some(rank) = self.members.iter().position(|member| *member == engine.id) else {
            return 0.0;
        };
        let retention = engine.retention.as_secs_f64();
        let held = |rates: &[f64]| -> f64 {
            rates
                .iter()
                .map(|rate| 1.0 - (-rate * retention).exp())
                .sum()
        };
        let mut blocks = held(&self.member_rates);
        if rank < self.homes {
            blocks += held(&self.home_rates);
        }
        blocks * f64::from(chain.block_tokens())
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
