//! When loads of weights begin.

use std::collections::BTreeSet;
use std::time::Duration;

use drumshore_consensus::Directory;

use super::pending_loads::Load;
use super::rollout::ROUNDS;
use super::ControlCore;
use crate::LoadEntry;

/// Prompt tokens that wait at each usable back end of a pool on the mean while it is too busy for
/// loads that can wait.
const BUSY_TOKENS: u32 = 4_000;
/// About how long one load takes, with the notice before it.
const LOAD_CYCLE: Duration = Duration::from_millis(1_050);
/// Loads that have to be given again.
const LOAD_SLACK: Duration = Duration::from_millis(700);

impl<D: Directory> ControlCore<D> {
    /// Loads start at once, for what begins on replaced weights is worth less. While the pool is
    /// busy they start no sooner than they must: when those that are behind, so many at a time,
    /// would just be done in time.
    pub(super) fn is_time_to_load(&self, loads: &[Load]) -> bool {
        let waiting: Vec<&Load> = loads
            .iter()
            .filter(|load| load.version > load.held)
            .collect();
        let oldest = waiting.iter().filter_map(|load| {
            let unmet = self
                .state
                .weights()
                .find(|named| named.model.as_str() == load.model && named.version > load.held)?;
            Some(self.weights_age(unmet.revision))
        });
        let Some(oldest) = oldest.max() else {
            return true;
        };
        let rounds = u32::try_from(ROUNDS).unwrap_or(u32::MAX);
        let share = waiting.len() as f64 / self.state.instances().count().max(1) as f64;
        let needed = LOAD_CYCLE.mul_f64(f64::from(rounds) * share.min(1.0)) + LOAD_SLACK;
        oldest + needed >= self.params.load_deadline || !self.is_pool_busy(loads)
    }

    /// True while the back ends that could be loaded have so much to read that the others could not
    /// take over from those that load.
    fn is_pool_busy(&self, loads: &[Load]) -> bool {
        let pools: BTreeSet<&str> = loads
            .iter()
            .filter_map(|load| self.state.instance(&load.instance))
            .map(|record| record.pool.as_str())
            .collect();
        let members = self.state.instances().filter(|record| {
            pools.contains(record.pool.as_str()) && self.is_instance_heard(record.instance.as_str())
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
}
