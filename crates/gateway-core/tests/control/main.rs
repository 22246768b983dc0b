//! Control machines under the failures that they are meant for.

#[path = "../cluster/mod.rs"]
mod cluster;

mod back_ends;
mod configuration;
mod fleet;
mod quarantine;
mod rollout;
mod routers;
mod silence;

use std::net::Ipv4Addr;
use std::time::Duration;

use cluster::{address, back_end, Cluster};
use drumshore_gateway_core::{
    ConnectionId, ControlParams, HolderEntry, Lifecycle, LoadEntry, Message, ModelName,
    OrderOutcome, Reply, Report, StoreId, StoreUpdate, StoredKey,
};
use drumshore_wire::List;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn elected(founders: u8) -> Cluster {
    let mut cluster = Cluster::new(founders);
    cluster.run(3 * SECOND);
    assert!(cluster.leader().is_some());
    cluster
}

/// Back ends that keep talking, so that rollouts do not pass them over.
fn run_with_beats(cluster: &mut Cluster, count: u8, version: u64, duration: Duration) {
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

fn impatient() -> ControlParams {
    ControlParams {
        load_deadline: Duration::ZERO,
        ..ControlParams::default()
    }
}

fn rollout(count: u8) -> Cluster {
    let mut cluster = Cluster::with_params(3, impatient());
    cluster.run(6 * SECOND);
    run_with_beats(&mut cluster, count, 1, SECOND);
    let leader = cluster.leader().unwrap();
    cluster.name_weights(leader, 2);
    run_with_beats(&mut cluster, count, 1, SECOND);
    cluster
}

fn with_two_routers(at_leader: bool) -> (Cluster, Ipv4Addr) {
    let mut cluster = elected(3);
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
