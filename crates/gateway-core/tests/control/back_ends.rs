//! Back ends and stores that register, leave, fall silent and return.

use super::*;

#[test]
fn leaving_is_acknowledged_only_when_a_quorum_knows() {
    let mut cluster = elected(3);
    let ready = back_end(1, 1);
    let registered = cluster.heartbeat(address(1), &ready);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&registered], Reply::Accepted);
    let mut leaving = ready.clone();
    leaving.lifecycle = Lifecycle::Draining;
    cluster.cut.insert(address(1));
    let unheard = cluster.heartbeat(address(1), &leaving);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.replies[&unheard], Reply::Unavailable);
    cluster.cut.clear();
    cluster.run(2 * SECOND);
    let heard = cluster.heartbeat(address(2), &leaving);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&heard], Reply::Accepted);
    let record = cluster.core(address(3)).state().instance("i-1").cloned();
    assert_eq!(record.unwrap().lifecycle, Lifecycle::Draining);
}

#[test]
fn a_late_word_does_not_bring_back_one_that_has_gone() {
    let mut cluster = elected(3);
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
fn a_silent_back_end_goes_and_its_word_brings_it_back() {
    // Dead incarnations made up most of a pool's side after crashes (sqbc scale-2).
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(20 * SECOND);
    assert!(cluster.core(leader).state().instance("i-1").is_none());
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(SECOND);
    assert!(cluster.core(leader).state().instance("i-1").is_some());
}

#[test]
fn a_silent_back_end_that_was_leaving_stays_as_leaving() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let mut leaving = back_end(1, 1);
    leaving.lifecycle = Lifecycle::Draining;
    cluster.heartbeat(leader, &leaving);
    cluster.run(20 * SECOND);
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(SECOND);
    let record = cluster.core(leader).state().instance("i-1").cloned();
    assert_eq!(record.unwrap().lifecycle, Lifecycle::Draining);
}

#[test]
fn an_incarnation_whose_address_is_taken_goes_soon() {
    let mut cluster = elected(3);
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

/// A heartbeat that a cut held up arrives when its sender has ended, was forgotten, and another incarnation
/// has its address. Until the dead one was forgotten again, 15 s later, it stood for the address.
#[test]
fn a_late_word_of_a_dead_incarnation_does_not_displace_its_successor() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.heartbeat(leader, &back_end(1, 1));
    cluster.run(20 * SECOND);
    let mut successor = back_end(2, 1);
    successor.address = back_end(1, 1).address;
    let live_for = |cluster: &mut Cluster, half_seconds: u32| {
        for _ in 0..half_seconds {
            cluster.heartbeat(leader, &successor);
            cluster.run(SECOND / 2);
        }
    };
    live_for(&mut cluster, 4);
    cluster.heartbeat(leader, &back_end(1, 1));
    live_for(&mut cluster, 8);
    let state = cluster.core(leader).state();
    assert!(state.instance("i-1").is_none(), "the dead one has gone");
    assert!(state.instance("i-2").is_some());
}

/// A successor whose heartbeats are lost for a while returns with the next one.
#[test]
fn a_successor_that_was_silent_for_a_while_returns() {
    let mut cluster = elected(3);
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
fn a_new_leader_tells_that_a_store_is_lost_which_it_never_heard() {
    // Routers went on with what the former leader had told and fetched from a store that was gone.
    let mut cluster = elected(3);
    let former = cluster.leader().unwrap();
    let store = StoreId::at("10.0.9.1:80");
    let now = cluster.now;
    let holds = StoreUpdate::Holds(vec![StoredKey::new("salt", "a")]);
    cluster.core(former).on_store_update(now, store, holds);
    cluster.kill(former);
    cluster.run(4 * SECOND);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    let told_of_loss = |cluster: &mut Cluster| {
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_store_update(now, store, StoreUpdate::Lost);
        cluster.to_routers.clear();
        cluster.run(Duration::from_millis(100));
        let mut sent = cluster.to_routers.iter();
        sent.any(|(_, _, message)| matches!(message, Message::Stored { known: 0, .. }))
    };
    assert!(told_of_loss(&mut cluster));
    assert!(!told_of_loss(&mut cluster), "once is enough");
}

/// With two heartbeats taken to last 2.5 s, the successor was out of the state from 2.5 s after its registration
/// until its next heartbeat.
#[test]
fn a_late_heartbeat_of_its_predecessor_removes_no_back_end_between_two_slow_heartbeats() {
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
