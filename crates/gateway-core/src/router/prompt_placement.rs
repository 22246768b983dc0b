//! Where a prompt goes: to its home while that has room, else to one of a few back ends that were
//! drawn, whichever costs least.

use std::collections::BTreeMap;

use drumshore_core::Timestamp;

use super::candidate::{Candidate, Placed};
use super::endpoint::Newcomer;
use super::homes::{home_key, weight, Homes};
use super::least::least_by_key;
use super::reads::CachedParts;
use super::sides::Sides;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};

/// What it costs to place a prompt away from its home, for each token that it shares: the shared
/// parts may have to be read there, and their copy takes room from other prompts.
const AWAY_FROM_HOME_FACTOR: f64 = 1.9;
/// What it costs to fetch a token from another back end, as a part of what it costs to read it.
const FETCH_FACTOR: f64 = 0.06;
/// Tokens that may wait on the own side before the other side is better.
const OTHER_SIDE_TOKENS: f64 = 3_000.0;
/// Back ends of each side that a prompt may leave its home for, drawn anew for each request. Loads
/// of other routers are known some hundred milliseconds late: if all routers chose the least loaded
/// of the whole pool, all would choose the same one until they hear of it.
const DRAWN_AWAY_FROM_HOME: usize = 2;

/// A back end that a prompt may go to.
struct Target<'a> {
    candidate: &'a Candidate<'a>,
    /// Among all candidates.
    position: usize,
    /// It is the first home of the prompt, which shares something.
    is_home: bool,
    is_own_side: bool,
    /// Drawn anew for each request.
    tie: u64,
}

impl RouterCore {
    /// The least expected cost, in tokens to be read before this prompt's answer begins. Reading
    /// a long prompt holds up every stream of its back end, so long and short prompts are kept
    /// apart as far as load allows: each has its side of the pool, on all routers the same.
    pub(super) fn place_prompt(
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
        let targets = usable.iter().enumerate().map(|(position, candidate)| {
            let homes = homes.as_ref();
            Target {
                candidate,
                position,
                is_home: homes.is_some_and(|homes| homes.is_first(position, candidate)),
                is_own_side: sides.is_own(candidate.endpoint, is_short),
                tie: weight(candidate.id, draw),
            }
        });
        let targets: Vec<Target<'_>> = targets.collect();
        // In tokens to be read before the answer begins.
        let cost = |target: &Target<'_>| {
            let endpoint = target.candidate.endpoint;
            let moved = if target.is_home { 0.0 } else { away_from_home };
            let cached = &cached[&target.candidate.version];
            let read = f64::from(cached.tokens_to_read());
            let fetched = f64::from(cached.tokens_to_fetch(endpoint.key)) * FETCH_FACTOR;
            let other_side = if target.is_own_side {
                0.0
            } else {
                OTHER_SIDE_TOKENS
            };
            endpoint.cost_of_load(newcomer) + read + fetched + moved + other_side
        };
        let best = cheapest(home_and_drawn(&targets), cost)?;
        let homes = homes.as_ref();
        let rank = homes.map_or(0, |homes| homes.rank(best.position, best.candidate));
        let mut placed = best.candidate.placed(rank);
        placed.tokens = cached[&best.candidate.version].tokens_to_read();
        if rank > 0 {
            let mut targets = targets.iter();
            let home = targets.find(|target| target.is_home && target.is_own_side);
            let home = home.map(|home| home.candidate);
            let home =
                home.filter(|home| home.version == placed.version && !home.endpoint.is_limited());
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
        let mut versions: Vec<Option<u64>> = Vec::new();
        for candidate in usable {
            if !versions.contains(&candidate.version) {
                versions.push(candidate.version);
            }
        }
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
        let pool = NameHash::of(admission.pool.as_str());
        let pool = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.summary.pool == pool
                && endpoint.summary.is_ready
                && endpoint.is_reachable()
                && sides.is_own(endpoint, is_short)
        });
        let (_, home) = pool.max_by_key(|(id, _)| weight(id, key))?;
        let loaded = home.record.model(prompt.model.as_str())?;
        (loaded.loading > loaded.version).then_some(loaded.loading)
    }
}

/// The home of a prompt and the few back ends that were drawn of each side.
fn home_and_drawn<'a>(targets: &'a [Target<'a>]) -> Vec<&'a Target<'a>> {
    let drawn = |is_own_side: bool| {
        let away = targets.iter().filter(|target| !target.is_home);
        let of_side = away.filter(|target| target.is_own_side == is_own_side);
        least_by_key(of_side, DRAWN_AWAY_FROM_HOME, |target| target.tie)
    };
    let at_home = targets.iter().filter(|target| target.is_home);
    at_home.chain(drawn(true)).chain(drawn(false)).collect()
}

fn cheapest<'a>(
    targets: Vec<&'a Target<'a>>,
    cost: impl Fn(&Target<'_>) -> f64,
) -> Option<&'a Target<'a>> {
    let priced = targets.into_iter().map(|target| (cost(target), target));
    let best = priced.min_by(|(cost, target), (other_cost, other)| {
        cost.total_cmp(other_cost).then(target.tie.cmp(&other.tie))
    });
    best.map(|(_, target)| target)
}
