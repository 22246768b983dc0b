//! The speeds of all back ends, as a control machine learns or inherits them.

use std::collections::BTreeMap;

use drumshore_core::Timestamp;

use super::pool_model::{BackEndEstimate, PoolModel};
use super::{PrefillCurve, SpeedNews, SpeedSample};
use crate::{InstanceId, LoadEntry, PoolName, ReplicatedState};

/// A clear change of an estimate.
#[derive(Clone, Debug)]
pub enum SpeedChange {
    /// Of the speed of a back end.
    BackEnd {
        /// The back end.
        instance: InstanceId,
        /// The time factor that was logged before, 1 at first.
        before: f64,
        /// The new estimate.
        estimate: BackEndEstimate,
    },
    /// Of a pool's prefill curve.
    Curve {
        /// The pool.
        pool: PoolName,
        /// The new curve.
        curve: PrefillCurve,
    },
}

/// A registered back end, by its [`LoadEntry::key_of`].
#[derive(Debug)]
struct Registration {
    instance: InstanceId,
    pool: PoolName,
    /// The revision that registered it. An incarnation that is registered anew may differ in speed.
    registered: u64,
}

/// See the module. The leader learns from samples; the other control machines take over what the leader sends to
/// routers, so that the next leader does not start from nothing.
#[derive(Debug, Default)]
pub(crate) struct SpeedLearner {
    back_ends: BTreeMap<u32, Registration>,
    pools: BTreeMap<PoolName, PoolModel>,
    /// The revision of the state whose back ends are known.
    revision: u64,
}

impl SpeedLearner {
    /// Takes over the registered back ends, and forgets those that are gone.
    pub fn update_back_ends(&mut self, state: &ReplicatedState) {
        if self.revision == state.revision() {
            return;
        }
        self.revision = state.revision();
        let mut earlier = std::mem::take(&mut self.back_ends);
        for record in state.instances() {
            let key = LoadEntry::key_of(record.instance.as_str());
            let known = earlier.remove(&key);
            let known = known.filter(|known| known.registered == record.registered);
            let registration = known.unwrap_or_else(|| {
                self.forget(key);
                Registration {
                    instance: InstanceId::new(record.instance.as_str()),
                    pool: PoolName::new(record.pool.as_str()),
                    registered: record.registered,
                }
            });
            self.back_ends.insert(key, registration);
        }
        for (key, registration) in earlier {
            if let Some(pool) = self.pools.get_mut(&registration.pool) {
                pool.forget(key);
            }
        }
    }

    fn forget(&mut self, back_end: u32) {
        for pool in self.pools.values_mut() {
            pool.forget(back_end);
        }
    }

    /// Learns from the samples of a router; those of unknown back ends are ignored.
    pub fn add(&mut self, now: Timestamp, samples: &[SpeedSample]) {
        for sample in samples {
            if let Some(pool) = self.pool_of(sample.back_end) {
                pool.add(now, sample);
            }
        }
    }

    /// Takes over what the leader sent to routers.
    pub fn inherit(&mut self, now: Timestamp, news: &SpeedNews) {
        for curve in &news.curves.items {
            let pool = self.pools.entry(curve.pool()).or_default();
            pool.inherit_curve(curve.curve());
        }
        if let Some(range) = news.range() {
            let covered: Vec<u32> = self.back_ends.range(range).map(|(key, _)| *key).collect();
            for key in covered {
                self.forget(key);
            }
        }
        for entry in &news.back_ends.items {
            if let Some(pool) = self.pool_of(entry.back_end) {
                pool.inherit(now, entry.back_end, entry.time_factor());
            }
        }
    }

    fn pool_of(&mut self, back_end: u32) -> Option<&mut PoolModel> {
        let registration = self.back_ends.get(&back_end)?;
        if !self.pools.contains_key(&registration.pool) {
            self.pools
                .insert(registration.pool.clone(), PoolModel::default());
        }
        self.pools.get_mut(&registration.pool)
    }

    /// Fits the estimates to the samples so far.
    pub fn update(&mut self) {
        self.pools.values_mut().for_each(PoolModel::update);
    }

    /// The estimates of all back ends with samples, as of the last update.
    pub fn estimates(&self, now: Timestamp) -> BTreeMap<u32, BackEndEstimate> {
        let pools = self.pools.values();
        pools.flat_map(|pool| pool.estimates(now)).collect()
    }

    /// The curves of the pools for which one is known.
    pub fn curves(&self) -> impl Iterator<Item = (&PoolName, PrefillCurve)> {
        let pools = self.pools.iter();
        pools.filter_map(|(name, pool)| Some((name, pool.curve()?)))
    }

    /// The name of a back end.
    pub fn instance(&self, back_end: u32) -> Option<&InstanceId> {
        let registration = self.back_ends.get(&back_end);
        registration.map(|registration| &registration.instance)
    }
}

#[cfg(test)]
#[path = "learner_tests.rs"]
mod tests;
