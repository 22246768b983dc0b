//! Rollouts: the engines of a model load new weights a few at a time, and requests are switched to
//! the new version once half of the engines have loaded it.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{
    EngineName, Epoch, PoolName, Revision, RolloutSpec, RolloutState, Timestamp, WeightsVersion,
};
use drumshore_wire::EngineStateCode;

use crate::fleet::{EngineOrder, EngineView, Fleet};

/// How long to wait for an order to take effect before it is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(5);

/// The actions that a rollout requires next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Load orders to send, with the engines that they go to.
    pub orders: Vec<(EngineName, EngineOrder)>,
    /// The version that is to serve requests from now on, if it must change.
    pub activate: Option<WeightsVersion>,
}

/// The input of one step of a rollout.
#[derive(Clone, Debug)]
pub struct RolloutView<'a> {
    /// The rollout's specification.
    pub spec: &'a RolloutSpec,
    /// The version that serves requests now.
    pub active_version: WeightsVersion,
    /// The pools that serve the model.
    pub pools: &'a [PoolName],
    /// The leader's term; engines use it to refuse orders of an earlier leader.
    pub epoch: Epoch,
    /// The revision of the resources that this input was read at.
    pub revision: Revision,
}

/// Computes the steps of rollouts and tracks the orders that have not taken effect yet. This state
/// is not replicated: a new leader sends the orders again, which is safe because they are
/// idempotent.
#[derive(Clone, Debug, Default)]
pub struct RolloutDriver {
    order_sent_at: BTreeMap<EngineName, Timestamp>,
}

impl RolloutDriver {
    /// Computes the next step. A paused rollout requires none.
    pub fn step(&mut self, view: &RolloutView<'_>, fleet: &Fleet, now: Timestamp) -> RolloutStep {
        let target = match view.spec.state {
            RolloutState::Running => view.spec.to_version,
            RolloutState::RolledBack => view.spec.from_version,
            RolloutState::Paused => return RolloutStep::default(),
        };
        let engines: Vec<(&EngineName, &EngineView)> = fleet
            .iter()
            .filter(|(_, engine)| view.pools.contains(&engine.record.pool))
            .collect();
        let loaded = engines
            .iter()
            .filter(|(_, engine)| has_loaded(engine, target))
            .count();
        let half_loaded = !engines.is_empty() && loaded * 2 >= engines.len();
        let activate = (half_loaded && view.active_version != target).then_some(target);
        let orders = self.orders(view, target, &engines, now);
        RolloutStep { orders, activate }
    }

    fn orders(
        &mut self,
        view: &RolloutView<'_>,
        target: WeightsVersion,
        engines: &[(&EngineName, &EngineView)],
        now: Timestamp,
    ) -> Vec<(EngineName, EngineOrder)> {
        // A suspect engine with the target version halts a running rollout, so that an operator can
        // examine it.
        let failed = engines.iter().any(|(_, engine)| {
            engine.state == EngineStateCode::Suspect && version(engine) == target
        });
        if failed && view.spec.state == RolloutState::Running {
            return Vec::new();
        }
        for (name, engine) in engines {
            if has_loaded(engine, target) {
                self.order_sent_at.remove(*name);
            }
        }
        let loading = engines
            .iter()
            .filter(|(name, _)| self.order_sent_at.contains_key(*name))
            .count();
        let mut loads_allowed = (view.spec.max_loading as usize).saturating_sub(loading);
        let mut orders = Vec::new();
        for (name, engine) in engines {
            let due = match self.order_sent_at.get(*name) {
                Some(at) => now.since(*at) >= ORDER_RETRY,
                None => {
                    let starts_load = loads_allowed > 0 && may_load(engine, target);
                    loads_allowed -= usize::from(starts_load);
                    starts_load
                }
            };
            if due && !has_loaded(engine, target) {
                self.order_sent_at.insert((*name).clone(), now);
                orders.push(((*name).clone(), order(view, target)));
            }
        }
        orders
    }
}

fn order(view: &RolloutView<'_>, weights_version: WeightsVersion) -> EngineOrder {
    EngineOrder {
        epoch: view.epoch,
        revision: view.revision,
        model: view.spec.model.clone(),
        weights_version,
    }
}

fn version(engine: &EngineView) -> WeightsVersion {
    engine
        .probe
        .as_ref()
        .map_or(WeightsVersion(0), |probe| probe.weights_version)
}

fn has_loaded(engine: &EngineView, target: WeightsVersion) -> bool {
    engine.state == EngineStateCode::Ready && version(engine) == target
}

/// True if the engine serves another version and can be ordered to load the target.
fn may_load(engine: &EngineView, target: WeightsVersion) -> bool {
    engine.state == EngineStateCode::Ready && version(engine) != target
}
