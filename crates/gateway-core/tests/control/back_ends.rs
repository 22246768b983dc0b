//! Back ends and stores that register, drain, become unresponsive and return.

use super::*;

#[test]
fn draining_is_acknowledged_only_after_a_quorum_has_stored_it() {
    let mut cluster = cluster_with_leader(3);
    let ready = back_end(1, 1);
    let registered = cluster.heartbeat(address(1), &ready);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&registered], Reply::Accepted);
    let mut draining = ready.clone();
    draining.lifecycle = Lifecycle::Draining;
    cluster.cut.insert(address(1));
    let unacknowledged = cluster.heartbeat(address(1), &draining);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.replies[&unacknowledged], Reply::Unavailable);
    cluster.cut.clear();
    cluster.run(2 * SECOND);
    let acknowledged = cluster.heartbeat(address(2), &draining);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&acknowledged], Reply::Accepted);
    let record = cluster.core(address(3)).state().instance("i-1").cloned();
    assert_eq!(record.unwrap().lifecycle, Lifecycle::Draining);
}

#[test]
fn a_late_heartbeat_does_not_restore_a_deregistered_back_end() {
    let mut cluster = cluster_with_leader(3);
    let ready = back_end(1, 1);
    cluster.heartbeat(address(1), &ready);
    let instance = "i-1".into();
    cluster.submit(
        address(1),
        drumshore_gateway_core::Command::Deregister { instance },
    );
    let late = cluster.heartbeat(address(2), &ready);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&late], Reply::Accepted);
    assert!(cluster.core(address(3)).state().instance("i-1").is_none());
}

#[test]
fn an_unresponsive_back_end_expires_and_its_next_heartbeat_restores_it() {
    // Dead incarnations that did not expire made up most of the back ends of a pool after crashes.
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(20 * SECOND);
    assert!(cluster.core(leader).state().instance("i-1").is_none());
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(SECOND);
    assert!(cluster.core(leader).state().instance("i-1").is_some());
}

#[test]
fn an_unresponsive_draining_back_end_stays_draining() {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let mut draining = back_end(1, 1);
    draining.lifecycle = Lifecycle::Draining;
    cluster.heartbeat(leader, &draining);
    cluster.run(20 * SECOND);
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(SECOND);
    let record = cluster.core(leader).state().instance("i-1").cloned();
    assert_eq!(record.unwrap().lifecycle, Lifecycle::Draining);
}

#[test]
fn an_incarnation_whose_address_was_reused_expires_soon() {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    cluster.heartbeat(leader, &back_end(1, 1));
    let mut later = back_end(2, 1);
    later.address = back_end(1, 1).address;
    cluster.heartbeat(leader, &later);
    for _ in 0..10 {
        cluster.run(SECOND / 2);
        cluster.heartbeat(leader, &later);
    }
    let state = cluster.core(leader).state();
    assert!(state.instance("i-1").is_none());
    assert!(state.instance("i-2").is_some());
}

/// A heartbeat that a network partition delayed arrives after its sender has stopped and expired, and another incarnation
/// has its address. The dead incarnation then replaced its successor until it expired again 15 s later.
#[test]
fn a_late_heartbeat_of_a_dead_incarnation_does_not_displace_its_successor() {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(20 * SECOND);
    let mut successor = back_end(2, 1);
    successor.address = back_end(1, 1).address;
    let run_successor = |cluster: &mut Cluster, half_seconds: u32| {
        for _ in 0..half_seconds {
            cluster.heartbeat(leader, &successor);
            cluster.run(SECOND / 2);
        }
    };
    run_successor(&mut cluster, 4);
    cluster.heartbeat(leader, &back_end(1, 1));
    run_successor(&mut cluster, 8);
    let state = cluster.core(leader).state();
    assert!(
        state.instance("i-1").is_none(),
        "the dead incarnation has expired"
    );
    assert!(state.instance("i-2").is_some());
}

/// A successor whose heartbeats were lost for some time returns with its next heartbeat.
#[test]
fn a_successor_returns_after_some_of_its_heartbeats_were_lost() {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let mut successor = back_end(2, 1);
    successor.address = back_end(1, 1).address;
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.heartbeat(leader, &successor);
    for _ in 0..8 {
        cluster.run(SECOND / 2);
        cluster.heartbeat(leader, &back_end(1, 1));
    }
    cluster.heartbeat(leader, &successor);
    cluster.run(SECOND);
    assert!(cluster.core(leader).state().instance("i-2").is_some());
}

#[test]
fn a_new_leader_announces_the_loss_of_a_store_that_it_never_reached() {
    // Routers kept the contents that the former leader had sent and fetched from a store that was gone.
    let mut cluster = cluster_with_leader(3);
    let former = cluster.leader().unwrap();
    let store = StoreId::at("10.0.9.1:80");
    let now = cluster.now;
    let contents = StoreUpdate::Contents(vec![StoredKey::new("salt", "a")]);
    cluster.core(former).on_store_update(now, store, contents);
    cluster.kill(former);
    cluster.run(4 * SECOND);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    let announces_loss = |cluster: &mut Cluster| {
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_store_update(now, store, StoreUpdate::Unreachable);
        cluster.to_routers.clear();
        cluster.run(Duration::from_millis(100));
        let mut sent = cluster.to_routers.iter();
        sent.any(|(_, _, message)| matches!(message, Message::StoreContents { known: 0, .. }))
    };
    assert!(announces_loss(&mut cluster));
    assert!(!announces_loss(&mut cluster), "it is announced only once");
}

/// Back ends send heartbeats each 3 s. When two heartbeat intervals were assumed to last 2.5 s, the successor was missing
/// from the state from 2.5 s after its registration until its next heartbeat.
#[test]
fn a_late_heartbeat_of_the_predecessor_does_not_remove_a_back_end_with_slow_heartbeats() {
    let params = ControlParams {
        heartbeat: 3 * SECOND,
        ..ControlParams::default()
    };
    let mut cluster = Cluster::with_params(3, params);
    cluster.run(3 * SECOND);
    let leader = cluster.leader().unwrap();
    let earlier = back_end(1, 1);
    let mut later = back_end(2, 1);
    later.address = earlier.address.clone();
    cluster.heartbeat(leader, &earlier);
    cluster.heartbeat(leader, &later);
    cluster.run(SECOND);
    cluster.heartbeat(leader, &earlier);
    cluster.run(24 * SECOND / 10);
    assert!(cluster.core(leader).state().instance("i-2").is_some());
    for _ in 0..3 {
        cluster.heartbeat(leader, &later);
        cluster.run(3 * SECOND);
    }
    assert!(cluster.core(leader).state().instance("i-2").is_some());
    assert!(cluster.core(leader).state().instance("i-1").is_none());
}

#[test]
fn an_acknowledged_leave_holds_when_the_back_end_expired_before_it_was_committed() {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let behind = if leader == address(1) {
        address(2)
    } else {
        address(1)
    };
    let ready = back_end(1, 1);
    cluster.heartbeat(leader, &ready);
    cluster.run(SECOND);
    // This machine still has the back end as ready when the expiry is committed.
    cluster.severed.insert((leader, behind));
    let instance = "i-1".into();
    cluster.submit(leader, drumshore_gateway_core::Command::Expire { instance });
    let mut draining = ready.clone();
    draining.lifecycle = Lifecycle::Draining;
    let acknowledged = cluster.heartbeat(behind, &draining);
    cluster.severed.clear();
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&acknowledged], Reply::Accepted);
    cluster.heartbeat(leader, &ready);
    cluster.run(SECOND);
    let record = cluster.core(leader).state().instance("i-1");
    assert!(record.is_none_or(|record| record.lifecycle == Lifecycle::Draining));
}
