//! Chooses the engine for a request.
//!
//! The cost of an engine is the expected time to the first token: the queued tokens plus the tokens
//! of this prompt that it has to compute. The cached tokens are estimated from this router's prefix
//! index and from rendezvous homes: routers send the same prefix to the same engine without
//! communication, so each can expect to find it cached there.

use std::time::Duration;

use drumshore_core::{EngineId, PlacementGoal, PoolName, Timestamp, WeightsVersion, ZoneName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::decision::CandidateRecord;
use crate::homes::Homes;
use crate::index::Overlap;
use crate::params::{Policy, SchedulerParams};
use crate::prefix_rates::PrefixRates;
use crate::rendezvous::{weight, TopRanked};
use crate::{Engine, EngineSet, PrefixChain, PrefixIndex, SequenceHash};

const SUSPECT_PENALTY_US: f64 = 10_000_000.0;
const TIE_JITTER: f64 = 0.02;
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(30);
const RATE_CAPACITY: usize = 100_000;
/// Pseudo-prefix that counts all requests.
const ALL_REQUESTS: SequenceHash = SequenceHash(0);

/// A request for which an engine is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The pool of engines that serve the model.
    pub pool: &'a PoolName,
    /// The weights version that must serve the request.
    pub weights_version: WeightsVersion,
    /// The prefixes of the prompt.
    pub chain: &'a PrefixChain,
    /// The placement goal of the model.
    pub goal: PlacementGoal,
    /// The zone of the router.
    pub zone: &'a ZoneName,
    /// Engines where earlier attempts failed.
    pub excluded: &'a [EngineId],
    /// The answer of the shared index; `None` if there was no lookup. If any of its engines can
    /// take the request, only these are considered.
    pub index_answer: Option<&'a [KnownCache]>,
    /// True if the shared index is available for a lookup.
    pub may_look_up: bool,
}

/// The part of a prompt that one engine caches according to the shared index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCache {
    /// The engine that caches the tokens.
    pub engine: EngineId,
    /// Number of cached prompt tokens.
    pub cached_tokens: u32,
}

/// The chosen engine and the data behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen engine.
    pub engine: EngineId,
    /// Prompt tokens expected in its cache.
    pub expected_cached_tokens: u32,
    /// The overlap of the prompt with the engine's entries in this router's prefix index, if any.
    pub index_overlap: Option<Overlap>,
    /// The best candidates, best first.
    pub candidates: Vec<CandidateRecord>,
    /// Prompt tokens that are computed before the first token, including those in the queue. This
    /// is the maximum that a better engine, found by a lookup, could save.
    pub stake_tokens: f64,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No engine of the pool accepts requests for the weights version.
    NoneReady,
    /// Every engine that accepts such requests is full.
    AllFull,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: EngineId,
    expected_tokens: f64,
    credited_tokens: f64,
    waiting_tokens: f64,
    index_overlap: Option<Overlap>,
    cost_us: f64,
}

/// Chooses engines. Its only state is the request rates of prefixes, a random generator and the
/// round-robin counter.
#[derive(Clone, Debug)]
pub struct Scheduler {
    params: SchedulerParams,
    prefix_rates: PrefixRates,
    random: ChaCha8Rng,
    round_robin_counter: usize,
}

impl Scheduler {
    /// Creates a scheduler whose choices are reproducible with the same `random`.
    pub fn new(params: SchedulerParams, random: ChaCha8Rng) -> Self {
        let prefix_rates = PrefixRates::new(RATE_TIME_CONSTANT, RATE_CAPACITY);
        Self {
            params,
            prefix_rates,
            random,
            round_robin_counter: 0,
        }
    }

    /// The parameters in use.
    pub fn params(&self) -> &SchedulerParams {
        &self.params
    }

    /// Sets the number of routers that receive the same kind of traffic, at least 1.
    pub fn set_routers(&mut self, routers: f64) {
        self.params.routers = routers.max(1.0);
    }

    /// Chooses an engine for a request. A request without an index answer is counted in the prefix
    /// rates.
    pub fn choose(
        &mut self,
        engines: &EngineSet,
        index: &PrefixIndex,
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Result<Choice, NoChoice> {
        let mut possible: Vec<&Engine> = engines
            .pool(request.pool)
            .filter(|engine| is_possible(engine, request))
            .collect();
        if possible.is_empty() {
            return Err(NoChoice::NoneReady);
        }
        self.keep_answered_engines(&mut possible, request);
        let overlaps = self.overlaps(engines, index, request);
        let homes = self.homes(&possible, request, now);
        let mut candidates = self.candidates(&possible, request, &overlaps, &homes, now)?;
        if self.params.policy == Policy::RoundRobin {
            self.round_robin_counter += 1;
            let position = self.round_robin_counter % candidates.len();
            candidates.swap(0, position);
        } else {
            candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        }
        let best = candidates[0];
        let missing = f64::from(request.chain.prompt_tokens()) - best.credited_tokens;
        let stake_tokens = missing.max(0.0) + best.waiting_tokens;
        candidates.truncate(self.params.recorded_candidates);
        Ok(Choice {
            engine: best.engine,
            expected_cached_tokens: best.expected_tokens as u32,
            index_overlap: best.index_overlap,
            candidates: records(engines, &candidates, now),
            stake_tokens,
        })
    }

    /// The cost of an engine that caches `cached_tokens` of the prompt: the expected time to the
    /// first token in microseconds, with the weights and penalties of this scheduler.
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
        let informed = request.index_answer.is_some_and(|known| !known.is_empty());
        let weight = params.recompute_weight_of(request.goal, informed);
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

    /// Removes the engines that the answer of the index does not contain, unless none of its
    /// engines can take the request. The index ranks all engines, so the missing ones have a higher
    /// cost.
    fn keep_answered_engines(&self, possible: &mut Vec<&Engine>, request: &RoutingRequest<'_>) {
        let known = request.index_answer.unwrap_or_default();
        let is_known = |engine: &&Engine| {
            let named = known.iter().any(|known| known.engine == engine.id);
            named && !self.is_full(engine)
        };
        if possible.iter().any(is_known) {
            possible.retain(is_known);
        }
    }

    fn overlaps(
        &self,
        engines: &EngineSet,
        index: &PrefixIndex,
        request: &RoutingRequest<'_>,
    ) -> Vec<Overlap> {
        if !matches!(self.params.policy, Policy::LocalIndex | Policy::Product) {
            return Vec::new();
        }
        let mut overlaps = index.overlaps(request.chain);
        overlaps.retain(|overlap| is_current_incarnation(engines, overlap));
        overlaps
    }

    /// Finds the request's family and its engines. The family is the shortest prefix whose request
    /// rate suits one engine. More frequent prefixes are split into longer ones, so that requests
    /// with a long common prefix stay together. If even the longest prefix is too frequent, several
    /// engines share it.
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
        let counted = request.index_answer.is_some();
        let rates: Vec<f64> = hashes
            .iter()
            .map(|hash| self.rate(*hash, counted, now))
            .collect();
        let all = self.rate(ALL_REQUESTS, counted, now);
        // A suspect engine is not a home, so that all routers fall back to the same next engine.
        let eligible = || possible.iter().filter(|engine| !engine.is_suspect(now));
        let fair_share = all / eligible().count().max(1) as f64;
        let limit = (fair_share * self.params.family_share).max(self.params.min_family_rate);
        let deepest = hashes.len() - 1;
        let fits = |rate: &f64| *rate <= limit;
        let family = rates.iter().position(fits).unwrap_or(deepest);
        let home_count = (rates[family] / limit).ceil().max(1.0) as usize;
        let home_count = home_count.min(self.params.max_homes);
        let mut ranking = TopRanked::new(home_count * self.params.family_spread.max(1));
        for engine in eligible() {
            ranking.offer(weight(hashes[family], engine.id), engine.id);
        }
        let mut members: Vec<EngineId> = ranking.into_items().collect();
        // The whole prompt decides the order of the family's engines, so that its own blocks are
        // cached only once.
        members.sort_by_key(|engine| std::cmp::Reverse(weight(hashes[deepest], *engine)));
        let spread = members.len().max(1) as f64;
        let own = self.prefix_rates.rate_per_request() * self.params.routers;
        Homes {
            home_count: home_count.min(members.len()),
            members,
            request_rates: (own / spread, own / home_count as f64),
            member_rates: rates[..=family].iter().map(|rate| rate / spread).collect(),
            home_rates: rates[family + 1..]
                .iter()
                .map(|rate| rate / home_count as f64)
                .collect(),
        }
    }

    /// The request rate of a prefix over all routers. Counts this request unless `counted` is true.
    fn rate(&mut self, prefix: SequenceHash, counted: bool, now: Timestamp) -> f64 {
        let own = if counted {
            self.prefix_rates.rate(prefix, now)
        } else {
            self.prefix_rates.record_request(prefix, now)
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

    /// The engines whose cost is computed: all engines of a small pool; in a large pool the engines
    /// that probably cache a prefix, the engines of the family, and a random sample.
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
        let index_overlap = overlaps
            .iter()
            .find(|overlap| overlap.engine == engine.id)
            .copied();
        let from_index = index_overlap.map_or(0.0, |overlap| {
            let held = engine.hold_probability(now.since(overlap.used_at));
            f64::from(request.chain.tokens_in(overlap.blocks)) * held
        });
        let family = homes.tokens(engine, request.chain);
        let mut known = request.index_answer.unwrap_or_default().iter();
        let known = known.find(|known| known.engine == engine.id);
        let known_tokens = match (self.params.policy, known) {
            (Policy::Exact, _) => Some(f64::from(engine.exact_cached_tokens())),
            (_, Some(known)) => Some(f64::from(known.cached_tokens)),
            (_, None) => None,
        };
        let expected_tokens = known_tokens.unwrap_or(from_index.max(family.expected));
        let credited_tokens = known_tokens.unwrap_or(from_index.max(family.credited));
        let jitter = 1.0 + TIE_JITTER * self.random.random::<f64>();
        let cost_us = self.cost_us(engine, request, credited_tokens, now) * jitter;
        Candidate {
            engine: engine.id,
            expected_tokens,
            credited_tokens,
            waiting_tokens: f64::from(engine.waiting_tokens()),
            index_overlap,
            cost_us,
        }
    }

    fn is_full(&self, engine: &Engine) -> bool {
        engine.waiting_tokens() > self.params.max_waiting_tokens
            || engine.open_requests() >= self.params.max_open_per_engine
    }
}

/// True if the overlap was recorded for the engine's current incarnation. A restarted engine has an
/// empty cache.
fn is_current_incarnation(engines: &EngineSet, overlap: &Overlap) -> bool {
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
