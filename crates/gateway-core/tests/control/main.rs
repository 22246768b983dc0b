//! Control machines under the failures that they have to tolerate.

#[path = "../cluster/mod.rs"]
mod cluster;

mod back_end_speeds;
mod back_ends;
mod configuration;
mod fleet;
mod quarantine;
mod rollout;
mod routers;
mod unresponsive;

use std::net::Ipv4Addr;
use std::time::Duration;

use cluster::{address, back_end, Cluster};
use drumshore_gateway_core::{
    BackEndReport, ConnectionId, ControlParams, Heartbeat, HolderEntry, Lifecycle, LoadEntry,
    Message, ModelName, OrderOutcome, Reply, SoftwareVersion, StoreId, StoreUpdate, StoredKey,
};
use drumshore_wire::List;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn cluster_with_leader(founders: u8) -> Cluster {
    let mut cluster = Cluster::new(founders);
    cluster.run(3 * SECOND);
    assert!(cluster.leader().is_some());
    cluster
}

/// Lets time pass while back ends send heartbeats, so that rollouts do not skip them.
fn run_with_heartbeats(cluster: &mut Cluster, count: u8, version: u64, duration: Duration) {
    let steps = duration.as_millis() / 500;
    for _ in 0..steps {
        let at = cluster.leader().unwrap_or(address(1));
        for number in 1..=count {
            if cluster.machines[&at].core.is_some() {
                cluster.heartbeat(at, &back_end(number, version));
            }
        }
        cluster.run(Duration::from_millis(500));
    }
}

/// Parameters with which loads start at once, also at busy pools.
fn immediate_load_params() -> ControlParams {
    ControlParams {
        load_deadline: Duration::ZERO,
        ..ControlParams::default()
    }
}

/// A cluster that has begun to bring version 2 of the weights to back ends that hold version 1.
fn rollout(count: u8) -> Cluster {
    let mut cluster = Cluster::with_params(3, immediate_load_params());
    cluster.run(6 * SECOND);
    run_with_heartbeats(&mut cluster, count, 1, SECOND);
    let leader = cluster.leader().unwrap();
    cluster.set_target_weights(leader, 2);
    run_with_heartbeats(&mut cluster, count, 1, SECOND);
    cluster
}

/// A cluster with two routers connected to the leader or to a follower, and the address of that machine.
fn with_two_routers(at_leader: bool) -> (Cluster, Ipv4Addr) {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let mut others = (1..=3).map(address).filter(|at| *at != leader);
    let machine = if at_leader {
        leader
    } else {
        others.next().unwrap()
    };
    for number in [1, 2] {
        let connection = ConnectionId(number);
        cluster.link_router(machine, connection, &format!("10.0.1.{number}:80"));
    }
    (cluster, machine)
}
