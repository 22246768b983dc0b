//! When weight loads of back ends start.

use std::collections::BTreeSet;
use std::time::Duration;

use drumshore_consensus::Directory;

use super::pending_weight_loads::WeightLoad;
use super::rollout::LOAD_ROUNDS;
use super::ControlCore;
use crate::LoadEntry;

/// Mean number of waiting prompt tokens per usable back end of a pool above which the pool is too
/// busy for loads that can be delayed.
const BUSY_TOKENS: u32 = 4_000;
/// Approximate duration of one weight load, including the notification of routers before it.
const LOAD_CYCLE: Duration = Duration::from_millis(1_050);
/// Time reserved for loads whose order has to be repeated.
const LOAD_SLACK: Duration = Duration::from_millis(700);

impl<D: Directory> ControlCore<D> {
    /// Whether weight loads may start. They normally start at once, because responses from outdated
    /// weights are worth less. While the pool is busy they are delayed until the outdated back
    /// ends, loaded in rounds, would just meet the deadline.
    pub(super) fn may_start_loads(&self, loads: &[WeightLoad]) -> bool {
        let outdated: Vec<&WeightLoad> = loads
            .iter()
            .filter(|load| load.version > load.held)
            .collect();
        let oldest = outdated.iter().filter_map(|load| {
            let next_version = self
                .state
                .weights()
                .find(|target| target.model.as_str() == load.model && target.version > load.held)?;
            Some(self.weights_age(next_version.revision))
        });
        let Some(oldest) = oldest.max() else {
            return true;
        };
        let rounds = u32::try_from(LOAD_ROUNDS).unwrap_or(u32::MAX);
        let share = outdated.len() as f64 / self.state.instances().count().max(1) as f64;
        let needed = LOAD_CYCLE.mul_f64(f64::from(rounds) * share.min(1.0)) + LOAD_SLACK;
        oldest + needed >= self.params.load_deadline || !self.is_pool_busy(loads)
    }

    /// Whether so many prompt tokens wait at the back ends that those not loading could not take
    /// over the traffic of those that load.
    fn is_pool_busy(&self, loads: &[WeightLoad]) -> bool {
        let pools: BTreeSet<&str> = loads
            .iter()
            .filter_map(|load| self.state.instance(&load.instance))
            .map(|record| record.pool.as_str())
            .collect();
        let members = self.state.instances().filter(|record| {
            pools.contains(record.pool.as_str())
                && self.is_instance_responsive(record.instance.as_str())
        });
        let pending_tokens = self.routers.pending_tokens();
        let (mut usable, mut pending) = (0, 0);
        for record in members {
            let key = LoadEntry::key_of(record.instance.as_str());
            usable += u32::from(!record.is_loading());
            pending += pending_tokens.get(&key).copied().unwrap_or(0);
        }
        pending > usable * BUSY_TOKENS
    }

    /// Time since a target version of weights was set.
    pub(super) fn weights_age(&self, revision: u64) -> Duration {
        let set_at = self
            .target_weights_set_at
            .get(&revision)
            .copied()
            .unwrap_or_default();
        self.now.since(set_at)
    }

    pub(super) fn weights_age_ms(&self, revision: u64) -> u32 {
        u32::try_from(self.weights_age(revision).as_millis()).unwrap_or(u32::MAX)
    }
}
