//! Placement of prompts: the back end with the lowest cost among the prompt's home, the back ends that hold its parts
//! and a few randomly sampled others.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::cached_parts::CachedParts;
use super::candidate::{Candidate, Placed};
use super::homes::{home_key, rendezvous_score, Homes};
use super::k_smallest::k_smallest_by_key;
use super::placement_cost::{fetch_us_per_token, PromptProfile, Site};
use super::pool_partition::PoolPartition;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};

/// Back ends of the prompt's partition that are sampled at random for each request, as alternatives to the home. If all
/// routers compared the whole pool, all would choose the same back end until they received each other's loads. Long
/// prompts are reported at once; more short ones begin before the others know of them.
const SAMPLED_FOR_LONG_PROMPTS: usize = 8;
/// The same for short prompts.
const SAMPLED_FOR_SHORT_PROMPTS: usize = 4;
/// Back ends that are sampled of the other partition.
const SAMPLED_OF_OTHER_PARTITION: usize = 2;

/// A back end that a prompt may be placed on.
struct Target<'a> {
    candidate: &'a Candidate<'a>,
    /// Its index among all candidates.
    position: usize,
    /// A prompt without shared parts has no home.
    site: Site<'a>,
    is_holder: bool,
    is_in_time_if_idle: bool,
    /// Differs for each request; orders the back ends for sampling and breaks ties.
    random_key: u64,
}

impl RouterCore {
    /// Chooses the back end with the lowest expected cost. The prefill of a long prompt delays every stream at its back
    /// end, so long and short prompts are kept apart as far as the load allows: each kind has its partition of the
    /// pool, nearly the same on all routers.
    pub(super) fn place_prompt(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        usable: &[Candidate<'_>],
        sample: u64,
    ) -> Option<Placed> {
        let pool_partition = self.pool_partition(admission);
        let homes = self.homes(admission, prompt, usable, &pool_partition);
        let homes = homes.as_ref();
        let mut profile = self.profile(admission, prompt);
        let cached = self.cached_by_version(now, admission, prompt, usable);
        let targets = usable.iter().enumerate().map(|(position, candidate)| {
            let endpoint = candidate.endpoint;
            let cached = &cached[&candidate.version];
            let site = Site {
                endpoint,
                work: cached.work(endpoint.key),
                is_home: homes.is_some_and(|homes| homes.is_first_home(position, candidate)),
                in_own_partition: pool_partition.prefers(endpoint, profile.is_short),
            };
            Target {
                candidate,
                position,
                site,
                is_holder: cached.is_holder(endpoint.key),
                is_in_time_if_idle: profile.is_in_time_if_idle(&site),
                random_key: rendezvous_score(candidate.id, sample),
            }
        });
        let targets: Vec<Target<'_>> = targets.collect();
        if let Some(home) = targets.iter().find(|target| target.site.is_home) {
            profile.risk_at_home = profile.risk_at(&home.site);
        }
        let best = cheapest(compared(&targets, profile.is_short), |target| {
            profile.cost_ms(&target.site)
        })?;
        let rank = homes.map_or(0, |homes| homes.rank(best.position, best.candidate));
        let mut placed = best.candidate.placed(rank);
        placed.tokens = best.site.work.to_prefill;
        placed.work_tokens = profile.equivalent_tokens(&best.site.work);
        placed.forecast = profile.forecast(&best.site);
        if rank > 0 {
            let mut targets = targets.iter();
            let home = targets.find(|target| target.site.is_home && target.site.in_own_partition);
            let home = home.map(|home| home.candidate);
            let home =
                home.filter(|home| home.version == placed.version && !home.endpoint.is_limited());
            placed.home = home.map(|home| home.endpoint.record.address.as_str().to_owned());
        }
        Some(placed)
    }

    fn profile(&self, admission: &Admission, prompt: &Prompt) -> PromptProfile {
        let curve = self.speeds.curve(&admission.pool);
        let models = self.pool(admission).and_then(|pool| pool.models.as_ref());
        let slot_time_us = self.prompt_mix.slot_time_tokens() * curve.us_per_token;
        PromptProfile {
            is_short: prompt.is_short(),
            curve,
            fetch_us_per_token: fetch_us_per_token(models),
            target: admission.route.target,
            slot_time: curve.latency + Duration::from_secs_f64(slot_time_us / 1e6),
            long_prefill_tokens: self.prompt_mix.long_prefill_tokens(),
            risk_at_home: 1.0,
        }
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

/// The home of a prompt, the back ends that hold its parts, and those sampled from each partition. Of its own partition,
/// only back ends that would be in time if they were idle are sampled, unless there are none.
fn compared<'a>(targets: &'a [Target<'a>], is_short: bool) -> Vec<&'a Target<'a>> {
    let own_count = if is_short {
        SAMPLED_FOR_SHORT_PROMPTS
    } else {
        SAMPLED_FOR_LONG_PROMPTS
    };
    let is_known = |target: &&Target<'_>| target.site.is_home || target.is_holder;
    let own = |target: &&Target<'_>| target.site.in_own_partition;
    let in_time = |target: &&Target<'_>| own(target) && target.is_in_time_if_idle;
    let any_in_time = targets.iter().any(|target| in_time(&target));
    let sampled = |count: usize, is_wanted: &dyn Fn(&&Target<'_>) -> bool| {
        let wanted = targets.iter().filter(|target| !is_known(target));
        k_smallest_by_key(wanted.filter(is_wanted), count, |target| target.random_key)
    };
    let own_sampled = sampled(own_count, &|target| {
        own(target) && (target.is_in_time_if_idle || !any_in_time)
    });
    let other_sampled = sampled(SAMPLED_OF_OTHER_PARTITION, &|target| !own(target));
    let known = targets.iter().filter(is_known);
    known.chain(own_sampled).chain(other_sampled).collect()
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
