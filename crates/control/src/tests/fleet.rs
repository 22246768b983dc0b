use drumshore_core::{
    EngineName, Incarnation, ModelName, PoolName, Timestamp, WeightsVersion, ZoneName,
};
use drumshore_wire::EngineStateCode;

use crate::fleet::{EngineProbe, Fleet, MachineRecord, MachineState, ProbeFailed};

pub(super) fn machine(name: &str, state: MachineState) -> MachineRecord {
    MachineRecord {
        name: EngineName::new(name),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneName::new("z"),
        pool: PoolName::new("p"),
        state,
    }
}

pub(super) fn probe(incarnation: u64, version: u64) -> EngineProbe {
    EngineProbe {
        incarnation: Incarnation(incarnation),
        model: ModelName::new("m"),
        weights_version: WeightsVersion(version),
        leaving: false,
        waiting_tokens: 0,
        running: 0,
        lag_ms: 0,
    }
}

pub(super) fn fleet_of(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    let machines: Vec<_> = names
        .iter()
        .map(|name| machine(name, MachineState::Live))
        .collect();
    fleet.on_machines(&machines, Timestamp(0));
    for name in names {
        fleet.on_probe(&EngineName::new(name), Ok(probe(1, 1)), Timestamp(0));
    }
    fleet
}

fn state_of(fleet: &Fleet, name: &str) -> Option<EngineStateCode> {
    fleet.get(&EngineName::new(name)).map(|view| view.state)
}

#[test]
fn an_engine_is_leaving_as_soon_as_one_source_reports_it() {
    let mut by_platform = fleet_of(&["e"]);
    by_platform.on_machines(&[machine("e", MachineState::Leaving)], Timestamp(0));
    let mut by_engine = fleet_of(&["e"]);
    let leaving = EngineProbe {
        leaving: true,
        ..probe(1, 1)
    };
    by_engine.on_probe(&EngineName::new("e"), Ok(leaving), Timestamp(0));
    let mut by_operator = fleet_of(&["e"]);
    by_operator.set_draining([EngineName::new("e")].into());
    for fleet in [by_platform, by_engine, by_operator] {
        assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Leaving));
    }
}

#[test]
fn an_unresponsive_engine_is_suspect_then_removed_when_unlisted() {
    let mut fleet = fleet_of(&["e"]);
    let name = EngineName::new("e");
    let change_count = fleet.change_count();
    fleet.on_probe(&name, Err(ProbeFailed), Timestamp(0));
    assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Ready));
    fleet.on_probe(&name, Err(ProbeFailed), Timestamp(1));
    assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Suspect));
    fleet.on_machines(&[], Timestamp(6_000_000));
    assert_eq!(state_of(&fleet, "e"), None);
    let entries = fleet.entries_after(change_count);
    assert!(entries
        .iter()
        .any(|entry| entry.state == EngineStateCode::Gone));
}

#[test]
fn a_restarted_engine_is_sent_to_routers() {
    let mut fleet = fleet_of(&["e"]);
    let change_count = fleet.change_count();
    fleet.on_probe(&EngineName::new("e"), Ok(probe(2, 1)), Timestamp(0));
    let entries = fleet.entries_after(change_count);
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].incarnation, 2);
}
