//! The choice of a back end for one attempt, and what the attempt needs to know besides its address.

use drumshore_core::Timestamp;
use rand::Rng;

use super::cache::{salt, OtherCaches};
use super::candidate::{prefer_healthy, Candidate, Placed};
use super::holders::{self, HolderEstimate};
use super::homes::rendezvous_score;
use super::summary::NameHash;
use super::{Admission, CacheEstimate, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore};
use crate::{LoadEntry, Pool};

/// Connections that a router may open to one back end when the pool sets no limit.
const DEFAULT_CONNECTIONS: usize = 64;
/// Fraction of a pool's connections that the routers use together. The rest is for routers that the others do not
/// count yet.
const CONNECTION_FRACTION: f64 = 0.85;
/// Number of back ends among which one router chooses while they are equally loaded. The number is small so that a
/// router returns to a back end while its connection is still open: a router that spreads one request a second over
/// hundreds of back ends opens a connection for nearly each request. It is greater than 1 so that a back end that
/// answers badly gets at most a quarter of the requests of the routers that prefer it.
const PREFERRED_BACK_ENDS: u64 = 4;

impl RouterCore {
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        let sample = self.random.random();
        if prompt.is_some_and(Prompt::is_short) {
            let target = admission.route.target;
            self.partition_demand.note_target(&admission.pool, target);
        }
        if prompt.is_some() && self.partition_demand.is_due(now, &admission.pool) {
            let load = self.load_of_pool(admission);
            self.partition_demand.update(now, &admission.pool, &load);
        }
        let mut candidates = self.candidates(now, admission, prompt);
        if candidates.is_empty() {
            return Err(self.no_candidate_error(now, admission, prompt, sample, None));
        }
        let required = earlier.required_software;
        self.retain_required_software(&mut candidates, admission, required);
        if candidates.is_empty() {
            return Err(self.no_candidate_error(now, admission, prompt, sample, required));
        }
        if !earlier.tried.is_empty() {
            candidates.retain(|candidate| !earlier.tried.contains(candidate.id));
        }
        let usable = prefer_healthy(now, candidates);
        if self.is_suspected(now, earlier.fingerprints) {
            return self.place_suspected(now, admission, prompt, &usable, sample);
        }
        let usable = self.lead_to_newest_weights(prompt, usable, sample);
        let placed = match prompt {
            Some(prompt) => self.place_prompt(now, admission, prompt, &usable, sample),
            None => self.place_by_load(&usable, self.preferred_sample(sample)),
        };
        let mut placed = placed.ok_or(ChoiceError::NoneLeft)?;
        if let Some(prompt) = prompt.filter(|_| placed.home.is_none()) {
            placed.home = self.former_home(now, admission, prompt, &placed, &usable);
        }
        let copy = self.copy_target(admission, prompt, &placed, &usable, sample);
        let choice = self.choice(now, admission, prompt, placed, &usable);
        Ok(Choice { copy, ..choice })
    }

    /// Places a request with a suspected fingerprint on the least utilized back end, where a crash would end the fewest
    /// other requests. It gets no copy, because a second back end would run it too.
    fn place_suspected(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        usable: &[Candidate<'_>],
        sample: u64,
    ) -> Result<Choice, ChoiceError> {
        let mut placed = self
            .place_by_load(usable, sample)
            .ok_or(ChoiceError::NoneLeft)?;
        placed.tokens = prompt.map_or(0, Prompt::tokens);
        placed.work_tokens = placed.tokens;
        Ok(self.choice(now, admission, prompt, placed, usable))
    }

    /// Maps a random sample to one of this router's few samples, so that it prefers few back ends and other
    /// routers prefer others.
    fn preferred_sample(&self, sample: u64) -> u64 {
        self.preference_seed
            .wrapping_add(sample % PREFERRED_BACK_ENDS)
    }

    /// The back end with the fewest requests per slot; among equals one in the same zone, then the one that comes first
    /// by its rendezvous score under the sample.
    fn place_by_load(&self, usable: &[Candidate<'_>], sample: u64) -> Option<Placed> {
        let zone = NameHash::of(&self.params.zone);
        let best = usable.iter().min_by_key(|candidate| {
            let slots = u64::from(candidate.endpoint.slots());
            let load = u64::from(candidate.endpoint.all_in_flight()) * 1_000 / slots;
            let remote = candidate.endpoint.summary.zone != zone;
            (load, remote, rendezvous_score(candidate.id, sample))
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
        let (cache_estimate, holder) = self.best_holder(now, &prefixes, &placed, usable);
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
            software: placed.software,
            cache_salt,
            prefixes,
            cache_estimate,
            tokens: placed.tokens,
            work_tokens: placed.work_tokens,
            forecast: placed.forecast,
            cached_tokens: prompt
                .map_or(0, Prompt::tokens)
                .saturating_sub(placed.tokens),
            load_ahead: placed.load_ahead,
            fetch_store: cache.from_store,
            fetch_from: cache.fetch_from,
            save_to: cache.save_to,
            copy: None,
            last_received_at: placed.last_received_at,
            in_flight: placed.in_flight,
            rank: placed.rank,
        }
    }

    /// Estimates the cached parts of a prompt, and returns the address of the back end to fetch them from: of those
    /// with the same weights that are estimated to hold more than the chosen one, the one with the most parts,
    /// then with the latest use.
    fn best_holder<'a>(
        &self,
        now: Timestamp,
        prefixes: &[u32],
        placed: &Placed,
        usable: &[Candidate<'a>],
    ) -> (CacheEstimate, Option<&'a str>) {
        let held = self.holders.held(now, prefixes);
        let own = LoadEntry::key_of(placed.instance.as_str());
        let here = held.iter().find(|held| held.key == own);
        let here = here.map_or(0, |held| held.parts);
        let source_of = |held: &HolderEstimate| {
            let mut usable = usable.iter();
            let holder = usable.find(|other| other.endpoint.key == held.key)?;
            let can_serve = holder.version == placed.version && !holder.endpoint.is_limited();
            can_serve.then_some(holder.endpoint)
        };
        let more = held.iter().filter(|held| held.parts > here);
        let sources = more.filter_map(|held| source_of(held).map(|endpoint| (held, endpoint)));
        let best = sources.max_by_key(|(held, _)| (held.parts, held.used_at));
        let cache_estimate = CacheEstimate {
            here,
            at_source: best.map_or(0, |(held, _)| held.parts),
            age_ms: best.map_or(0, |(held, _)| now.since(held.used_at).as_millis() as u64),
        };
        let address = best.map(|(_, endpoint)| endpoint.record.address.as_str());
        (cache_estimate, address)
    }

    pub(super) fn pool(&self, admission: &Admission) -> Option<&Pool> {
        self.view.document()?.pool(&admission.pool)
    }

    pub(super) fn connections(&self, max_connections: u32) -> usize {
        if max_connections == 0 {
            return DEFAULT_CONNECTIONS;
        }
        let all = f64::from(max_connections) * CONNECTION_FRACTION;
        let own = all / f64::from(self.router_count.get());
        (own as usize).max(1)
    }
}
