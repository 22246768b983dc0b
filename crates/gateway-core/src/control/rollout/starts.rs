//! Starts of weight loads: pool by pool, as many as the pool can spare or the operator's deadline needs.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;

use super::pace::{concurrency_limit, LoadPace, PoolSituation};
use super::pending::WeightLoad;
use super::sequence::{next_to_load, LoadCandidate, ZoneLoads};
use super::Step;
use crate::control::loads::LoadTotals;
use crate::control::{ControlCore, Effect, LoadPlan};
use crate::{InstanceId, InstanceRecord, LoadEntry, LoadPhase};

/// Part of the time to a deadline that is reserved for loads whose order has to be repeated, and its minimum.
const RESERVE_DIVISOR: u32 = 8;
const MIN_RESERVE: Duration = Duration::from_millis(700);

/// The back ends of one pool, and those of its loads that have started.
#[derive(Debug, Default)]
struct PoolLoads {
    back_ends: usize,
    /// Sum of the occupancies of the back ends.
    occupied: f64,
    /// Back ends that load or are about to, except those expected to finish before another one could begin.
    taken: usize,
    zones: BTreeMap<String, ZoneLoads>,
    /// Outdated back ends that may be started now.
    waiting: Vec<LoadCandidate>,
    /// Back ends whose load is not finished, by the time in which it has to be.
    unfinished: BTreeMap<Duration, usize>,
}

/// Loads of one pool whose orders were sent.
#[derive(Clone, Copy, Debug, Default)]
struct OrderPlace {
    back_ends: usize,
    ordered: usize,
}

/// Loads whose orders were sent, by pool.
pub(super) struct OrderPlaces(BTreeMap<String, OrderPlace>);

impl<D: Directory> ControlCore<D> {
    /// Time since a target version of weights was set.
    fn weights_age(&self, revision: u64) -> Duration {
        let set_at = self
            .target_weights_set_at
            .get(&revision)
            .copied()
            .unwrap_or_default();
        self.now.since(set_at)
    }

    /// The same in milliseconds, as sent to routers.
    pub(in crate::control) fn weights_age_ms(&self, revision: u64) -> u32 {
        u32::try_from(self.weights_age(revision).as_millis()).unwrap_or(u32::MAX)
    }

    /// Takes outdated back ends out of service as far as their pools have places free.
    pub(super) fn start_weight_loads(&mut self, loads: &[WeightLoad]) {
        let totals = self.routers.total_loads();
        // A back end with several models loads them one after the other.
        let mut by_instance: BTreeMap<&str, &WeightLoad> = BTreeMap::new();
        for load in loads {
            by_instance.entry(load.instance.as_str()).or_insert(load);
        }
        for (pool, loads_of_pool) in self.pool_loads(&by_instance, &totals) {
            if !loads_of_pool.waiting.is_empty() {
                self.start_loads_of_pool(&pool, loads_of_pool, &by_instance);
            }
        }
    }

    fn start_loads_of_pool(
        &mut self,
        name: &str,
        pool: PoolLoads,
        loads: &BTreeMap<&str, &WeightLoad>,
    ) {
        let situation = self.situation(name, &pool);
        let pace = LoadPace::of(&situation);
        let unfinished = pool.unfinished.values().sum();
        let time_left = pool.unfinished.keys().next().copied().unwrap_or_default();
        let free = pace.places.saturating_sub(pool.taken);
        let mut loading = pool.taken;
        for next in next_to_load(pool.waiting, pool.zones, free) {
            let Some(load) = loads.get(next.instance.as_str()) else {
                continue;
            };
            loading += 1;
            let percent = |fraction: f64| (fraction * 100.0).round() as u32;
            self.effects.push(Effect::LoadPlanned(LoadPlan {
                instance: InstanceId::new(&load.instance),
                pool: name.to_owned(),
                zone: next.zone,
                held: load.held,
                version: load.version,
                occupied_percent: percent(next.occupancy),
                pool_occupied_percent: percent(pool.occupied / pool.back_ends.max(1) as f64),
                loading,
                unfinished,
                spare: pace.spare,
                needed: pace.needed,
                limit: pace.limit,
                time_left_ms: time_left.as_millis() as u64,
            }));
            let step = Step::Announced { at: self.now };
            self.rollouts.steps.insert(load.instance.clone(), step);
            self.propose_load(load, LoadPhase::Started);
        }
    }

    fn situation(&self, name: &str, pool: &PoolLoads) -> PoolSituation {
        let durations = &self.rollouts.durations;
        PoolSituation {
            back_ends: pool.back_ends,
            occupied: pool.occupied,
            unfinished: pool.unfinished.clone(),
            cycle: durations.expected(name) + self.params.load_order_delay,
            useful: durations.useful(name),
        }
    }

    /// The pools with their responsive back ends and pending loads.
    fn pool_loads(
        &self,
        loads: &BTreeMap<&str, &WeightLoad>,
        totals: &LoadTotals,
    ) -> BTreeMap<String, PoolLoads> {
        let mut pools: BTreeMap<String, PoolLoads> = BTreeMap::new();
        for record in self.state.instances() {
            if !self.is_instance_responsive(record.instance.as_str()) {
                continue;
            }
            let pool = pools.entry(record.pool.as_str().to_owned()).or_default();
            let key = LoadEntry::key_of(record.instance.as_str());
            pool.back_ends += 1;
            pool.occupied += totals.occupancy(key, record.slots);
            pool.taken += usize::from(self.takes_place(record));
            let zone = pool.zones.entry(record.zone.as_str().to_owned());
            let zone = zone.or_default();
            zone.back_ends += 1;
            zone.loading += usize::from(record.is_loading());
        }
        for load in loads.values() {
            let Some(record) = self.state.instance(&load.instance) else {
                continue;
            };
            let Some(pool) = pools.get_mut(record.pool.as_str()) else {
                continue;
            };
            let time_left = self.time_left(load);
            *pool.unfinished.entry(time_left).or_default() += 1;
            let is_started = record.is_loading()
                || self.rollouts.steps.contains_key(&load.instance)
                || !self.is_order_lease_free(&load.instance);
            if !is_started {
                let key = LoadEntry::key_of(&load.instance);
                pool.waiting.push(LoadCandidate {
                    instance: load.instance.clone(),
                    zone: record.zone.as_str().to_owned(),
                    held: load.held,
                    occupancy: totals.occupancy(key, record.slots),
                });
            }
        }
        pools
    }

    /// The time in which a load has to be finished: the deadline counts from when the first version newer than the held
    /// one was named.
    fn time_left(&self, load: &WeightLoad) -> Duration {
        let deadline = self.params.load_deadline;
        let reserve = (deadline / RESERVE_DIVISOR).max(MIN_RESERVE);
        let mut targets = self.state.weights();
        let newer = targets
            .find(|target| target.model.as_str() == load.model && target.version > load.held);
        let age = newer.map(|target| self.weights_age(target.revision));
        deadline.saturating_sub(reserve + age.unwrap_or_default())
    }

    /// Whether a back end occupies a place for loads. Routers are notified some time before an order, so the place of a
    /// load that is about to finish is given to the next back end already.
    fn takes_place(&self, record: &InstanceRecord) -> bool {
        let name = record.instance.as_str();
        let step = self.rollouts.steps.get(name);
        let is_started = record.is_loading() || step.is_some();
        let ordered_at = match step {
            Some(Step::Loading { ordered_at, .. } | Step::Queried { ordered_at, .. }) => {
                Some(*ordered_at).filter(|at| *at > Timestamp::default())
            }
            _ => None,
        };
        let expected = self.rollouts.durations.expected(record.pool.as_str());
        let next_order = self.now.plus(self.params.load_order_delay);
        let is_ending = ordered_at.is_some_and(|at| {
            let end = at.plus(expected);
            end <= next_order && self.now < end.plus(self.params.load_order_delay)
        });
        is_started && !is_ending
    }

    /// How many loads of each pool may be ordered.
    pub(super) fn order_places(&self) -> OrderPlaces {
        let mut pools: BTreeMap<String, OrderPlace> = BTreeMap::new();
        for record in self.state.instances() {
            let name = record.instance.as_str();
            if !self.is_instance_responsive(name) {
                continue;
            }
            let place = pools.entry(record.pool.as_str().to_owned()).or_default();
            let step = self.rollouts.steps.get(name);
            let is_ordered = step.is_some_and(|step| !matches!(step, Step::Announced { .. }));
            place.back_ends += 1;
            place.ordered += usize::from(is_ordered);
        }
        OrderPlaces(pools)
    }

    /// Takes a place for the order of a back end's load. Returns the number of ordered loads with it, `None` if as many
    /// are in progress as may be.
    pub(super) fn take_order_place(
        &self,
        places: &mut OrderPlaces,
        instance: &str,
    ) -> Option<usize> {
        let record = self.state.instance(instance)?;
        let pool = record.pool.as_str();
        let place = places.0.get_mut(pool)?;
        let useful = self.rollouts.durations.useful(pool);
        let limit = concurrency_limit(place.back_ends, useful);
        let is_free = place.ordered < limit;
        place.ordered += usize::from(is_free);
        is_free.then_some(place.ordered)
    }
}
