//! Where a request goes: to the home of its prompt while that has room, else to the back end with
//! the fewest requests.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use drumshore_core::Timestamp;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cache::{salt, OtherCaches};
use super::endpoints::{Endpoint, Newcomer};
use super::holders::{self, Held};
use super::homes::{home_key, weight, Homes};
use super::reads::CachedParts;
use super::{Admission, BelievedParts, Choice, ChoiceError, Prompt, RouterCore};
use crate::{InstanceId, Lifecycle, LoadEntry, Pool};

/// What it costs to place a prompt away from its home, for each token that it shares: the shared
/// parts may have to be read there, and their copy takes room from other prompts. 12,000 tokens,
/// which were tuned on the first sites, for the 6,300 that their long prompts share.
const AWAY_FROM_HOME_FACTOR: f64 = 1.9;
/// What it costs to fetch a token from another back end, against reading it: 6,300 tokens take 10 ms
/// in place of 164.
const FETCH_FACTOR: f64 = 0.06;
/// Tokens that may wait on the own side before the other side is better.
const OTHER_SIDE_TOKENS: f64 = 3_000.0;
/// Back ends of each side that a prompt may leave its home for, drawn anew for each request. Loads
/// of other routers are known some hundred milliseconds late: if all routers chose the least loaded
/// of the whole pool, all would choose the same one until they hear of it.
const DRAWN_AWAY_FROM_HOME: usize = 2;
/// A back end whose share of failures is above this is used only when no other is left.
const TOO_MANY_FAILURES: f64 = 0.4;
/// Connections to one back end when its pool sets no bound.
const DEFAULT_CONNECTIONS: usize = 64;
/// Part of a pool's connections that routers use, for those that count one another late.
const CONNECTION_PART: f64 = 0.85;

pub(super) struct Candidate<'a> {
    pub id: &'a InstanceId,
    pub endpoint: &'a Endpoint,
    pub version: Option<u64>,
}

/// The back ends that short prompts prefer; none when nearly all prompts are alike.
#[derive(Default)]
pub(super) struct Sides {
    short: HashSet<InstanceId>,
}

impl Sides {
    pub fn is_own(&self, id: &InstanceId, is_short: bool) -> bool {
        self.short.is_empty() || self.short.contains(id) == is_short
    }
}

/// A back end with what it costs to send one prompt there.
struct Scored<'a> {
    candidate: &'a Candidate<'a>,
    /// Its place among the homes of the prompt; `None` when the prompt shares nothing.
    rank: Option<usize>,
    is_own_side: bool,
    /// In tokens to be read before the answer begins.
    cost: f64,
    /// Drawn anew for each request.
    tie: u64,
}

impl Scored<'_> {
    fn is_home(&self) -> bool {
        self.rank == Some(0)
    }
}

pub(super) struct Placed {
    pub instance: InstanceId,
    address: String,
    pub version: Option<u64>,
    heard: Rc<Cell<Timestamp>>,
    in_flight: u32,
    rank: usize,
    /// Tokens that it is expected to read.
    tokens: u32,
    /// Where the prompt's home listens, when that is another back end with the same weights.
    home: Option<String>,
}

impl RouterCore {
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        tried: &[InstanceId],
    ) -> Result<Choice, ChoiceError> {
        let draw = self.random.random();
        let candidates = self.candidates(now, admission, prompt);
        if candidates.is_empty() {
            return Err(ChoiceError::NoneReady);
        }
        let untried: Vec<Candidate<'_>> = candidates
            .into_iter()
            .filter(|candidate| !tried.contains(candidate.id))
            .collect();
        let usable = prefer_sound(now, untried);
        let placed = match prompt {
            Some(prompt) => self.place_prompt(now, admission, prompt, &usable, draw),
            None => self.place_by_load(&usable, draw),
        };
        let placed = placed.ok_or(ChoiceError::NoneLeft)?;
        let copy = self.copy_target(admission, prompt, &placed, &usable, draw);
        let choice = self.choice(now, admission, prompt, placed, &usable);
        Ok(Choice { copy, ..choice })
    }

    pub(super) fn candidates<'a>(
        &'a self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Vec<Candidate<'a>> {
        let model = prompt.map(|prompt| prompt.model.as_str());
        let required = model.map_or(0, |model| {
            self.view
                .required_version(model, now, self.params.version_grace)
        });
        let in_pool = |endpoint: &Endpoint| {
            endpoint.record.pool.as_str() == admission.pool.as_str()
                && endpoint.record.lifecycle == Lifecycle::Ready
                && !endpoint.record.is_loading()
                && endpoint.misdirected_until <= now
        };
        let mut candidates = Vec::new();
        for (id, endpoint) in self.endpoints.iter().filter(|item| in_pool(item.1)) {
            let loaded = model.and_then(|model| endpoint.record.model(model));
            let version = loaded.map(|loaded| loaded.version);
            if version.is_none_or(|version| version >= required) {
                candidates.push(Candidate {
                    id,
                    endpoint,
                    version,
                });
            }
        }
        keep_latest_at_address(candidates)
    }

    /// The least expected cost, in tokens to be read before this prompt's answer begins. Reading
    /// a long prompt holds up every stream of its back end, so long and short prompts are kept
    /// apart as far as load allows: each has its side of the pool, on all routers the same.
    fn place_prompt(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
        draw: u64,
    ) -> Option<Placed> {
        let sides = self.sides(admission);
        let is_short = prompt.is_short();
        let away_from_home = f64::from(prompt.shared_tokens()) * AWAY_FROM_HOME_FACTOR;
        let homes = self.homes(admission, prompt, usable, &sides);
        let newcomer = Newcomer {
            is_short,
            stream_length: self.prompt_mix.stream_length(),
        };
        let cached = self.cached_by_version(now, admission, prompt, usable);
        let scored = usable.iter().map(|candidate| {
            let rank = homes.as_ref().map(|homes| homes.rank(candidate));
            let is_own_side = sides.is_own(candidate.id, is_short);
            let moved = if rank == Some(0) { 0.0 } else { away_from_home };
            let cached = &cached[&candidate.version];
            let key = candidate.endpoint.key;
            let read = f64::from(cached.tokens_to_read());
            let fetched = f64::from(cached.tokens_to_fetch(key)) * FETCH_FACTOR;
            let other_side = if is_own_side { 0.0 } else { OTHER_SIDE_TOKENS };
            Scored {
                candidate,
                rank,
                is_own_side,
                cost: candidate.endpoint.cost_of_load(newcomer)
                    + read
                    + fetched
                    + moved
                    + other_side,
                tie: xxh3_64_with_seed(candidate.id.as_str().as_bytes(), draw),
            }
        });
        let scored: Vec<Scored<'_>> = scored.collect();
        let best = cheapest_of_home_and_drawn(&scored)?;
        let rank = best.rank.unwrap_or_default();
        let mut placed = best.candidate.placed(rank);
        placed.tokens = cached[&best.candidate.version].tokens_to_read();
        if rank > 0 {
            let mut scored = scored.iter();
            let home = scored.find(|scored| scored.is_home() && scored.is_own_side);
            let home = home.map(|home| home.candidate);
            let home = home.filter(|home| home.version == placed.version);
            placed.home = home.map(|home| home.endpoint.record.address.as_str().to_owned());
        }
        Some(placed)
    }

    /// What is cached of a prompt, by the weights that back ends hold.
    fn cached_by_version(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
    ) -> BTreeMap<Option<u64>, CachedParts> {
        let versions: BTreeSet<Option<u64>> = usable.iter().map(|item| item.version).collect();
        let cached = |version| (version, self.cached_parts(now, admission, prompt, version));
        versions.into_iter().map(cached).collect()
    }

    /// The back ends in the order in which they are homes of a prompt; none when nothing of it is
    /// shared.
    fn homes(
        &self,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
        sides: &Sides,
    ) -> Option<Homes> {
        let shared = prompt.shared_parts();
        let key = home_key(&prompt.model, shared)?;
        let is_short = prompt.is_short();
        let newest = usable.iter().filter_map(|candidate| candidate.version);
        let newest = newest.max();
        let loading = self.weights_of_loading_home(admission, prompt, key, sides);
        let required_weights = loading
            .filter(|loading| newest >= Some(*loading))
            .and(newest);
        Some(Homes::new(key, usable, sides, is_short, required_weights))
    }

    /// The weights that the home of a prompt is loading, when that is what keeps it from being
    /// chosen.
    fn weights_of_loading_home(
        &self,
        admission: &Admission,
        prompt: &Prompt,
        key: u64,
        sides: &Sides,
    ) -> Option<u64> {
        let is_short = prompt.is_short();
        let pool = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.record.pool.as_str() == admission.pool.as_str()
                && endpoint.record.lifecycle == Lifecycle::Ready
                && endpoint.is_reachable()
                && sides.is_own(id, is_short)
        });
        let (_, home) = pool.max_by_key(|(id, _)| weight(id, key))?;
        let loaded = home.record.model(prompt.model.as_str())?;
        (loaded.loading > loaded.version).then_some(loaded.loading)
    }

    /// Each side is as large as its part of the work.
    fn sides(&self, admission: &Admission) -> Sides {
        let Some(short_share) = self.prompt_mix.short_share() else {
            return Sides::default();
        };
        let mut ranked: Vec<(u64, &InstanceId)> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint.record.pool.as_str() == admission.pool.as_str()
                    && endpoint.record.lifecycle == Lifecycle::Ready
                    && endpoint.is_reachable()
            })
            .map(|(id, _)| (xxh3_64_with_seed(id.as_str().as_bytes(), 0), id))
            .collect();
        ranked.sort_unstable();
        let shorts = (ranked.len() as f64 * short_share).round() as usize;
        let shorts = shorts.clamp(1, ranked.len().saturating_sub(1).max(1));
        Sides {
            short: ranked[..shorts.min(ranked.len())]
                .iter()
                .map(|(_, id)| (*id).clone())
                .collect(),
        }
    }

    /// The fewest requests for its slots; of equals one in the same zone, then any.
    fn place_by_load(&self, usable: &[Candidate<'_>], draw: u64) -> Option<Placed> {
        let zone = self.params.zone.as_str();
        let best = usable.iter().min_by_key(|candidate| {
            let record = &candidate.endpoint.record;
            let slots = u64::from(record.slots.max(1));
            let load = u64::from(candidate.endpoint.all_in_flight()) * 1_000 / slots;
            let remote = record.zone.as_str() != zone;
            let tie = xxh3_64_with_seed(candidate.id.as_str().as_bytes(), draw);
            (load, remote, tie)
        })?;
        Some(best.placed(0))
    }

    pub(super) fn choice(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        placed: Placed,
        usable: &[Candidate<'_>],
    ) -> Choice {
        let pool = self.pool(admission);
        let max_connections = pool.map_or(0, |pool| pool.max_connections);
        let cache_salt = prompt.map(|prompt| salt(admission, prompt, placed.version));
        let cache = prompt.zip(cache_salt.as_deref());
        let prefixes = cache.map(|(prompt, salt)| holders::prefixes(prompt, salt));
        let prefixes = prefixes.unwrap_or_default();
        let (believed, holder) = self.best_holder(now, &prefixes, &placed, usable);
        let others = OtherCaches {
            holder,
            home: placed.home.as_deref(),
        };
        let cache =
            cache.map(|(prompt, salt)| self.cache_use(now, admission, prompt, salt, others));
        let cache = cache.unwrap_or_default();
        Choice {
            instance: placed.instance,
            address: placed.address,
            connections: self.connections(max_connections),
            expected_version: placed.version,
            cache_salt,
            prefixes,
            believed,
            tokens: placed.tokens,
            fetches_from_store: cache.from_store,
            fetch_from: cache.fetch_from,
            save_to: cache.save_to,
            copy: None,
            heard: placed.heard,
            in_flight: placed.in_flight,
            rank: placed.rank,
        }
    }

    /// Of the back ends with the same weights, the one that is believed to hold more of a prompt
    /// than the chosen one does: the most parts, then the latest use.
    fn best_holder<'a>(
        &self,
        now: Timestamp,
        prefixes: &[u32],
        placed: &Placed,
        usable: &[Candidate<'a>],
    ) -> (BelievedParts, Option<&'a str>) {
        let held = self.holders.held(now, prefixes);
        let own = LoadEntry::key_of(placed.instance.as_str());
        let here = held.iter().find(|held| held.key == own);
        let here = here.map_or(0, |held| held.parts);
        let at = |held: &Held| {
            let mut usable = usable.iter();
            let holder = usable.find(|other| other.endpoint.key == held.key)?;
            (holder.version == placed.version).then_some(holder.endpoint)
        };
        let more = held.iter().filter(|held| held.parts > here);
        let sources = more.filter_map(|held| at(held).map(|endpoint| (held, endpoint)));
        let best = sources.max_by_key(|(held, _)| (held.parts, held.used_at));
        let believed = BelievedParts {
            here,
            at_source: best.map_or(0, |(held, _)| held.parts),
            age_ms: best.map_or(0, |(held, _)| now.since(held.used_at).as_millis() as u64),
        };
        let address = best.map(|(_, endpoint)| endpoint.record.address.as_str());
        (believed, address)
    }

    pub(super) fn pool(&self, admission: &Admission) -> Option<&Pool> {
        let document = self.view.document()?;
        document
            .pools
            .iter()
            .find(|pool| pool.name == admission.pool)
    }

    fn connections(&self, max_connections: u32) -> usize {
        if max_connections == 0 {
            return DEFAULT_CONNECTIONS;
        }
        let all = f64::from(max_connections) * CONNECTION_PART;
        let own = all / f64::from(self.routers.max(1));
        (own as usize).max(1)
    }
}

impl Candidate<'_> {
    pub(super) fn placed(&self, rank: usize) -> Placed {
        Placed {
            instance: self.id.clone(),
            address: self.endpoint.record.address.as_str().to_owned(),
            version: self.version,
            heard: Rc::clone(&self.endpoint.heard),
            in_flight: self.endpoint.in_flight,
            rank,
            tokens: 0,
            home: None,
        }
    }
}

/// The home of a prompt, or one of the few back ends that were drawn of each side.
fn cheapest_of_home_and_drawn<'a>(scored: &'a [Scored<'a>]) -> Option<&'a Scored<'a>> {
    let mut away: Vec<&Scored<'_>> = scored.iter().filter(|scored| !scored.is_home()).collect();
    away.sort_unstable_by_key(|scored| scored.tie);
    let (own, other): (Vec<_>, Vec<_>) = away.into_iter().partition(|scored| scored.is_own_side);
    let drawn_own = own.into_iter().take(DRAWN_AWAY_FROM_HOME);
    let drawn_other = other.into_iter().take(DRAWN_AWAY_FROM_HOME);
    let at_home = scored.iter().filter(|scored| scored.is_home());
    let weighed = at_home.chain(drawn_own).chain(drawn_other);
    weighed.min_by(|one, other| {
        one.cost
            .total_cmp(&other.cost)
            .then(one.tie.cmp(&other.tie))
    })
}

/// Of two incarnations at one address only the one that registered later can be there.
fn keep_latest_at_address(candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    let mut latest: HashMap<&str, u64> = HashMap::with_capacity(candidates.len());
    for candidate in &candidates {
        let record = &candidate.endpoint.record;
        let registered = latest.entry(record.address.as_str()).or_default();
        *registered = record.registered.max(*registered);
    }
    candidates
        .into_iter()
        .filter(|candidate| {
            let record = &candidate.endpoint.record;
            latest.get(record.address.as_str()) == Some(&record.registered)
        })
        .collect()
}

/// Leaves out those that failed lately, while there are others.
fn prefer_sound(now: Timestamp, candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    let is_sound = |candidate: &Candidate<'_>| {
        candidate.endpoint.avoided_until <= now && candidate.endpoint.failures < TOO_MANY_FAILURES
    };
    if candidates.iter().any(is_sound) {
        return candidates.into_iter().filter(is_sound).collect();
    }
    candidates
}
