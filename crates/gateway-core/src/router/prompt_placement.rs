//! Placement of prompts: the back end with the lowest cost among the prompt's home and a few randomly sampled
//! others.

use std::collections::BTreeMap;

use drumshore_core::Timestamp;

use super::cached_parts::CachedParts;
use super::candidate::{Candidate, Placed};
use super::endpoint::RequestProfile;
use super::homes::{home_key, rendezvous_score, Homes};
use super::k_smallest::k_smallest_by_key;
use super::pool_partition::PoolPartition;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};

/// Cost of placing a prompt away from its home, per shared token: the shared parts may have to be prefilled there,
/// and their copy displaces other prompts from the cache.
const AWAY_FROM_HOME_FACTOR: f64 = 1.9;
/// Cost of fetching a token from another back end, as a fraction of the cost of its prefill.
const FETCH_COST_FACTOR: f64 = 0.06;
/// Cost of placing a prompt outside its partition, in tokens to prefill.
const OTHER_PARTITION_PENALTY_TOKENS: f64 = 3_000.0;
/// Back ends of each partition that are sampled at random for each request, as alternatives to the home. The loads
/// of other routers are known with a delay of some hundred milliseconds: if all routers chose the least loaded back
/// end of the whole pool, all would choose the same one until they received each other's loads.
const SAMPLED_PER_PARTITION: usize = 2;

/// A back end that a prompt may be placed on.
struct Target<'a> {
    candidate: &'a Candidate<'a>,
    /// Its index among all candidates.
    position: usize,
    /// It is the first home of the prompt; a prompt without shared parts has none.
    is_home: bool,
    in_own_partition: bool,
    /// Differs for each request; orders the back ends for sampling and breaks ties.
    random_key: u64,
}

impl RouterCore {
    /// Chooses the back end with the lowest expected cost, in tokens to prefill before this prompt's response begins.
    /// The prefill of a long prompt delays every stream at its back end, so long and short prompts are kept
    /// apart as far as the load allows: each kind has its partition of the pool, the same on all routers.
    pub(super) fn place_prompt(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
        sample: u64,
    ) -> Option<Placed> {
        let pool_partition = self.pool_partition(admission);
        let is_short = prompt.is_short();
        let away_penalty = f64::from(prompt.shared_tokens()) * AWAY_FROM_HOME_FACTOR;
        let homes = self.homes(admission, prompt, usable, &pool_partition);
        let profile = RequestProfile {
            is_short,
            slot_time_tokens: self.prompt_mix.slot_time_tokens(),
        };
        let cached = self.cached_by_version(now, admission, prompt, usable);
        let targets = usable.iter().enumerate().map(|(position, candidate)| {
            let homes = homes.as_ref();
            Target {
                candidate,
                position,
                is_home: homes.is_some_and(|homes| homes.is_first_home(position, candidate)),
                in_own_partition: pool_partition.prefers(candidate.endpoint, is_short),
                random_key: rendezvous_score(candidate.id, sample),
            }
        });
        let targets: Vec<Target<'_>> = targets.collect();
        // In tokens to prefill before the response begins.
        let cost = |target: &Target<'_>| {
            let endpoint = target.candidate.endpoint;
            let away_cost = if target.is_home { 0.0 } else { away_penalty };
            let cached = &cached[&target.candidate.version];
            let prefill = f64::from(cached.tokens_to_prefill());
            let fetch = f64::from(cached.tokens_to_fetch(endpoint.key)) * FETCH_COST_FACTOR;
            let partition_cost = if target.in_own_partition {
                0.0
            } else {
                OTHER_PARTITION_PENALTY_TOKENS
            };
            endpoint.cost_of_load(profile) + prefill + fetch + away_cost + partition_cost
        };
        let best = cheapest(home_and_sampled(&targets), cost)?;
        let homes = homes.as_ref();
        let rank = homes.map_or(0, |homes| homes.rank(best.position, best.candidate));
        let mut placed = best.candidate.placed(rank);
        placed.tokens = cached[&best.candidate.version].tokens_to_prefill();
        if rank > 0 {
            let mut targets = targets.iter();
            let home = targets.find(|target| target.is_home && target.in_own_partition);
            let home = home.map(|home| home.candidate);
            let home =
                home.filter(|home| home.version == placed.version && !home.endpoint.is_limited());
            placed.home = home.map(|home| home.endpoint.record.address.as_str().to_owned());
        }
        Some(placed)
    }

    /// The cached parts of a prompt for each version of the weights that the back ends hold.
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

    /// The order of the back ends as homes of a prompt; `None` when the prompt has no shared parts.
    fn homes(
        &self,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
        pool_partition: &PoolPartition,
    ) -> Option<Homes> {
        let shared = prompt.shared_parts();
        let key = home_key(&prompt.model, shared)?;
        let is_short = prompt.is_short();
        let newest = usable.iter().filter_map(|candidate| candidate.version);
        let newest = newest.max();
        let loading = self.weights_of_loading_home(admission, prompt, key, pool_partition);
        let required_weights = loading
            .filter(|loading| newest >= Some(*loading))
            .and(newest);
        Some(Homes::new(
            key,
            usable,
            pool_partition,
            is_short,
            required_weights,
        ))
    }

    /// The version that the home of a prompt is loading, if that is why the home is not among the candidates.
    fn weights_of_loading_home(
        &self,
        admission: &Admission,
        prompt: &Prompt,
        key: u64,
        pool_partition: &PoolPartition,
    ) -> Option<u64> {
        let is_short = prompt.is_short();
        let pool = NameHash::of(admission.pool.as_str());
        let pool = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.summary.pool == pool
                && endpoint.summary.is_ready
                && endpoint.is_reachable()
                && pool_partition.prefers(endpoint, is_short)
        });
        let (_, home) = pool.max_by_key(|(id, _)| rendezvous_score(id, key))?;
        let loaded = home.record.model(prompt.model.as_str())?;
        (loaded.loading > loaded.version).then_some(loaded.loading)
    }
}

/// The home of a prompt and the back ends sampled from each partition.
fn home_and_sampled<'a>(targets: &'a [Target<'a>]) -> Vec<&'a Target<'a>> {
    let sampled = |in_own_partition: bool| {
        let away = targets.iter().filter(|target| !target.is_home);
        let in_partition = away.filter(|target| target.in_own_partition == in_own_partition);
        k_smallest_by_key(in_partition, SAMPLED_PER_PARTITION, |target| {
            target.random_key
        })
    };
    let at_home = targets.iter().filter(|target| target.is_home);
    at_home.chain(sampled(true)).chain(sampled(false)).collect()
}

fn cheapest<'a>(
    targets: Vec<&'a Target<'a>>,
    cost: impl Fn(&Target<'_>) -> f64,
) -> Option<&'a Target<'a>> {
    let priced = targets.into_iter().map(|target| (cost(target), target));
    let best = priced.min_by(|(cost, target), (other_cost, other)| {
        cost.total_cmp(other_cost)
            .then(target.random_key.cmp(&other.random_key))
    });
    best.map(|(_, target)| target)
}
