//! Where a prompt goes: to its home while that has room, else to one of a few back ends that were
//! drawn, whichever costs least.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidate::{Candidate, Placed};
use super::endpoints::Newcomer;
use super::homes::{home_key, weight, Homes};
use super::reads::CachedParts;
use super::sides::Sides;
use super::{Admission, Prompt, RouterCore};
use crate::Lifecycle;

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
