use drumshore_core::{
    EngineName, Epoch, ModelName, PoolName, Revision, RolloutSpec, RolloutState, Timestamp,
    WeightsVersion,
};

use super::fleet::{fleet_of, probe};
use crate::fleet::ProbeFailed;
use crate::rollout::{RolloutDriver, RolloutView};

fn rollout(state: RolloutState) -> RolloutSpec {
    RolloutSpec {
        model: ModelName::new("m"),
        from_version: WeightsVersion(1),
        to_version: WeightsVersion(2),
        max_loading: 1,
        state,
    }
}

#[test]
fn a_rollout_respects_max_loading_and_switches_requests_at_half() {
    let mut fleet = fleet_of(&["a", "b", "c", "d"]);
    let pools = [PoolName::new("p")];
    let spec = rollout(RolloutState::Running);
    let view = RolloutView {
        spec: &spec,
        active_version: WeightsVersion(1),
        pools: &pools,
        epoch: Epoch(3),
        revision: Revision(7),
    };
    let mut driver = RolloutDriver::default();
    let mut switched_after = None;
    for loaded in 0..4 {
        let step = driver.step(&view, &fleet, Timestamp(0));
        if step.activate.is_some() && switched_after.is_none() {
            switched_after = Some(loaded);
        }
        assert_eq!(step.orders.len(), 1, "after {loaded} engines");
        assert_eq!(step.orders[0].1.epoch, Epoch(3));
        assert!(driver.step(&view, &fleet, Timestamp(0)).orders.is_empty());
        fleet.on_probe(&step.orders[0].0, Ok(probe(1, 2)), Timestamp(0));
    }
    assert_eq!(switched_after, Some(2));
}

#[test]
fn a_rollout_halts_when_an_engine_with_the_new_version_fails() {
    let mut fleet = fleet_of(&["a", "b"]);
    let pools = [PoolName::new("p")];
    let spec = rollout(RolloutState::Running);
    let view = RolloutView {
        spec: &spec,
        active_version: WeightsVersion(1),
        pools: &pools,
        epoch: Epoch(1),
        revision: Revision(7),
    };
    fleet.on_probe(&EngineName::new("a"), Ok(probe(1, 2)), Timestamp(0));
    for at in 0..2 {
        fleet.on_probe(&EngineName::new("a"), Err(ProbeFailed), Timestamp(at));
    }
    let step = RolloutDriver::default().step(&view, &fleet, Timestamp(9));
    assert!(step.orders.is_empty());
}
