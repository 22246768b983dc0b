//! Where a request goes, and what goes with it.

use drumshore_core::Timestamp;
use rand::Rng;

use super::cache::{salt, OtherCaches};
use super::candidate::{prefer_sound, Candidate, Placed};
use super::holders::{self, Held};
use super::homes::weight;
use super::summary::NameHash;
use super::{Admission, CacheEstimate, Choice, ChoiceError, EarlierAttempts, Prompt, RouterCore};
use crate::{LoadEntry, Pool};

/// Connections to one back end when its pool sets no bound.
const DEFAULT_CONNECTIONS: usize = 64;
/// Part of a pool's connections that routers use, for those that count one another late.
const CONNECTION_PART: f64 = 0.85;
/// Back ends among which a router chooses while they have equally little to do. Few, so that it comes back to one
/// while the connection is kept: a router that sends a request a second to hundreds of back ends by turns opens a
/// connection for nearly each. Not one, so that a back end which answers badly gets a quarter of the requests of
/// its routers at most.
const PREFERRED: u64 = 4;

impl RouterCore {
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: &EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        let draw = self.random.random();
        let mut candidates = self.candidates(now, admission, prompt);
        if candidates.is_empty() {
            return Err(self.none_takes_requests(now, admission, prompt, draw));
        }
        if !earlier.tried.is_empty() {
            candidates.retain(|candidate| !earlier.tried.contains(candidate.id));
        }
        let usable = prefer_sound(now, candidates);
        if self.is_suspected(earlier.fingerprint) {
            return self.place_suspected(now, admission, prompt, &usable, draw);
        }
        let placed = match prompt {
            Some(prompt) => self.place_prompt(now, admission, prompt, &usable, draw),
            None => self.place_by_load(&usable, self.preferred(draw)),
        };
        let placed = placed.ok_or(ChoiceError::NoneLeft)?;
        let copy = self.copy_target(admission, prompt, &placed, &usable, draw);
        let choice = self.choice(now, admission, prompt, placed, &usable);
        Ok(Choice { copy, ..choice })
    }

    /// Where the fewest requests would be lost with the back end, and without a copy, which would be one
    /// more that runs it.
    fn place_suspected(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        usable: &[Candidate<'_>],
        draw: u64,
    ) -> Result<Choice, ChoiceError> {
        let mut placed = self
            .place_by_load(usable, draw)
            .ok_or(ChoiceError::NoneLeft)?;
        placed.tokens = prompt.map_or(0, Prompt::tokens);
        Ok(self.choice(now, admission, prompt, placed, usable))
    }

    /// One of the few draws of this router, so that it prefers few back ends, and other routers others.
    fn preferred(&self, draw: u64) -> u64 {
        self.first_draw.wrapping_add(draw % PREFERRED)
    }

    /// The fewest requests for its slots; of equals one in the same zone, then the first of those that are drawn.
    fn place_by_load(&self, usable: &[Candidate<'_>], draw: u64) -> Option<Placed> {
        let zone = NameHash::of(&self.params.zone);
        let best = usable.iter().min_by_key(|candidate| {
            let slots = u64::from(candidate.endpoint.slots());
            let load = u64::from(candidate.endpoint.all_in_flight()) * 1_000 / slots;
            let remote = candidate.endpoint.summary.zone != zone;
            (load, remote, weight(candidate.id, draw))
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
            cache_salt,
            prefixes,
            cache_estimate,
            tokens: placed.tokens,
            fetches_from_store: cache.from_store,
            fetch_from: cache.fetch_from,
            save_to: cache.save_to,
            copy: None,
            last_received_at: placed.last_received_at,
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
    ) -> (CacheEstimate, Option<&'a str>) {
        let held = self.holders.held(now, prefixes);
        let own = LoadEntry::key_of(placed.instance.as_str());
        let here = held.iter().find(|held| held.key == own);
        let here = here.map_or(0, |held| held.parts);
        let at = |held: &Held| {
            let mut usable = usable.iter();
            let holder = usable.find(|other| other.endpoint.key == held.key)?;
            let gives_it = holder.version == placed.version && !holder.endpoint.is_limited();
            gives_it.then_some(holder.endpoint)
        };
        let more = held.iter().filter(|held| held.parts > here);
        let sources = more.filter_map(|held| at(held).map(|endpoint| (held, endpoint)));
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

    fn connections(&self, max_connections: u32) -> usize {
        if max_connections == 0 {
            return DEFAULT_CONNECTIONS;
        }
        let all = f64::from(max_connections) * CONNECTION_PART;
        let own = all / f64::from(self.router_count.get());
        (own as usize).max(1)
    }
}
