//! Software versions of back ends: how they get into the replicated state, and beside which builds.

#[path = "cluster/mod.rs"]
mod cluster;

use std::time::Duration;

use cluster::{address, back_end, Cluster};
use drumshore_gateway_core::{
    Changes, Command, Heartbeat, InstanceRecord, Message, ReplicatedState, SoftwareVersion,
    MAX_STREAM_LIFETIME,
};
use drumshore_wire::{List, Text};

const SECOND: Duration = Duration::from_secs(1);

fn running(version: &str) -> Heartbeat {
    Heartbeat {
        software: SoftwareVersion::new(version),
        ..back_end(1, 1)
    }
}

fn name() -> String {
    back_end(1, 1).instance.as_str().to_owned()
}

fn software_at(cluster: &mut Cluster, number: u8) -> Option<String> {
    let state = cluster.core(address(number)).state();
    let record = state.instance(&name())?;
    Some(record.software.as_str().to_owned())
}

fn settled_cluster() -> Cluster {
    let mut cluster = Cluster::new(3);
    cluster.settle();
    cluster
}

fn state_with(version: &str) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let register = Command::Register {
        instance: Text::new("i-1"),
        pool: Text::new("pool"),
        address: Text::new("10.0.0.1:80"),
        zone: Text::new("zone"),
        slots: 4,
        draining: 0,
        models: List::default(),
    };
    state.apply(1, &register);
    let set = Command::SetSoftwareVersion {
        instance: Text::new("i-1"),
        software: SoftwareVersion::new(version),
        started_ms: 7,
    };
    state.apply(2, &set);
    state
}

fn records(state: &ReplicatedState) -> Vec<InstanceRecord> {
    state.instances().cloned().collect()
}

#[test]
fn all_control_machines_learn_the_version_of_the_first_heartbeat() {
    let mut cluster = settled_cluster();
    cluster.heartbeat(address(1), &running("v1"));
    cluster.run(SECOND);
    for number in 1..=3 {
        assert_eq!(software_at(&mut cluster, number).as_deref(), Some("v1"));
    }
}

#[test]
fn a_back_end_that_starts_again_under_its_name_may_declare_another_version() {
    let mut cluster = settled_cluster();
    cluster.heartbeat(address(1), &running("v1"));
    cluster.run(SECOND);
    cluster.heartbeat(address(2), &running("v2"));
    cluster.run(SECOND);
    assert_eq!(software_at(&mut cluster, 3).as_deref(), Some("v2"));
    cluster.heartbeat(address(2), &running(""));
    cluster.run(SECOND);
    assert_eq!(software_at(&mut cluster, 3).as_deref(), Some("v2"));
}

#[test]
fn a_back_end_that_starts_again_with_the_same_software_gets_the_later_start() {
    let mut cluster = settled_cluster();
    for (started_ms, expected) in [(5, 5), (6, 6), (5, 6), (0, 6)] {
        let heartbeat = Heartbeat {
            started_ms,
            ..running("v1")
        };
        cluster.heartbeat(address(1), &heartbeat);
        cluster.run(SECOND);
        let state = cluster.core(address(2)).state();
        assert_eq!(records(state)[0].started_ms, expected);
    }
}

/// A link may delay a heartbeat until after its sender has started again.
#[test]
fn a_late_report_of_an_earlier_start_changes_no_version() {
    let mut cluster = settled_cluster();
    for (version, started_ms, expected) in [("v1", 5, "v1"), ("v2", 6, "v2"), ("v1", 5, "v2")] {
        let heartbeat = Heartbeat {
            started_ms,
            ..running(version)
        };
        cluster.heartbeat(address(1), &heartbeat);
        cluster.run(SECOND);
        assert_eq!(software_at(&mut cluster, 2).as_deref(), Some(expected));
    }
}

/// Such a machine skips the command, and starts after its upgrade from a snapshot without the version.
#[test]
fn versions_are_proposed_again_once_a_control_machine_of_an_earlier_build_is_upgraded() {
    let mut cluster = settled_cluster();
    cluster.core(address(1)).set_earlier_build_present(true);
    cluster.heartbeat(address(1), &running("v1"));
    cluster.run(SECOND);
    assert_eq!(software_at(&mut cluster, 2).as_deref(), Some("v1"));
    let before = cluster.core(address(2)).state().revision();
    cluster.heartbeat(address(1), &running("v1"));
    cluster.run(SECOND);
    assert_eq!(cluster.core(address(2)).state().revision(), before);
    cluster.core(address(1)).set_earlier_build_present(false);
    for _ in 0..2 {
        cluster.heartbeat(address(1), &running("v1"));
        cluster.run(SECOND);
    }
    for number in 1..=3 {
        let revision = cluster.core(address(number)).state().revision();
        assert_eq!(revision, before + 1);
    }
}

/// Versions that left, at the control machine with this number.
fn departed_at(cluster: &mut Cluster, number: u8) -> Option<usize> {
    let departed = cluster.core(address(number)).state().departed_versions();
    departed.map(|versions| versions.items.len())
}

#[test]
fn a_version_that_left_is_forgotten_after_the_life_of_a_stream() {
    let mut cluster = settled_cluster();
    cluster.heartbeat(address(1), &running("v1"));
    cluster.run(SECOND);
    let changed = Heartbeat {
        started_ms: 2,
        ..running("v2")
    };
    for _ in 0..MAX_STREAM_LIFETIME.as_secs() {
        cluster.heartbeat(address(1), &changed);
        cluster.run(SECOND);
        assert_eq!(departed_at(&mut cluster, 2), Some(1));
    }
    for _ in 0..=MAX_STREAM_LIFETIME.as_secs() {
        cluster.heartbeat(address(1), &changed);
        cluster.run(SECOND);
    }
    for number in 1..=3 {
        assert_eq!(departed_at(&mut cluster, number), Some(0));
    }
}

#[test]
fn snapshots_keep_versions_behind_what_earlier_builds_read() {
    let state = state_with("v1");
    let read = ReplicatedState::decode(&state.encode()).expect("the snapshot is decoded");
    assert_eq!(records(&read), records(&state));
    let undeclared = state_with("").encode();
    let declared = state.encode();
    // The two differ in the revisions that the version sets, not in their layout.
    assert!(declared.len() > undeclared.len());
    let earlier = ReplicatedState::decode(&declared[..undeclared.len()]);
    let earlier = earlier.expect("the part that earlier builds read is a whole snapshot");
    assert!(!records(&earlier)[0].software.is_declared());
}

#[test]
fn changes_carry_versions_behind_what_earlier_builds_read() {
    let changes = state_with("v1").changes_since(0, |_| 0);
    let message = Message::Changes(changes.clone());
    let encoded = message.encode();
    assert_eq!(Message::decode(&encoded), Some(message));
    let mut undeclared: Changes = changes;
    undeclared.instances.items[0].software = SoftwareVersion::default();
    undeclared.instances.items[0].started_ms = 0;
    let undeclared = Message::Changes(undeclared).encode();
    assert_eq!(encoded[..undeclared.len()], undeclared[..]);
}
