//! Rollouts of weights to back ends.

use super::*;

#[test]
fn routers_are_notified_of_a_load_before_it_is_ordered() {
    let mut cluster = Cluster::with_params(3, immediate_load_params());
    cluster.run(6 * SECOND);
    run_with_heartbeats(&mut cluster, 1, 1, SECOND);
    let leader = cluster.leader().unwrap();
    cluster.set_target_weights(leader, 2);
    let mut recorded_at = None;
    for _ in 0..40 {
        cluster.heartbeat(leader, &back_end(1, 1));
        cluster.run(Duration::from_millis(75));
        let record = cluster.core(leader).state().instance("i-1").unwrap();
        if record.is_loading() && recorded_at.is_none() {
            recorded_at = Some(cluster.now);
        }
    }
    let recorded_at = recorded_at.expect("the load is in the replicated state");
    let ordered_at = cluster.orders[0].at;
    assert!(ordered_at.since(recorded_at) >= Duration::from_millis(200));
}

#[test]
fn at_most_a_quarter_of_a_pool_loads_at_once() {
    let cluster = rollout(8);
    // A quarter of the pool, and no load finishes in this test.
    assert_eq!(cluster.orders.len(), 2);
}

#[test]
fn orders_carry_the_term_and_the_number_of_orders_taken() {
    let mut cluster = rollout(2);
    let first = cluster.orders[0].clone();
    let term = cluster.core(first.by).term();
    assert_eq!(first.order.fencing_token, term);
    assert_eq!(first.order.expected_orders, 0);
    let now = cluster.now;
    let (instance, id) = (first.order.instance.clone(), first.order.id);
    let core = cluster.core(first.by);
    core.on_order_outcome(now, &instance, id, OrderOutcome::Conflict);
    cluster.run(Duration::from_millis(200));
    assert!(cluster
        .report_requests
        .iter()
        .any(|(_, requested)| *requested == instance));
    let report = BackEndReport {
        orders_taken: 3,
        busy: false,
        models: vec![(ModelName::new("model"), 1)],
    };
    let now = cluster.now;
    cluster
        .core(first.by)
        .on_report(now, &instance, Some(&report));
    cluster.run(Duration::from_millis(300));
    let again = cluster.orders.last().unwrap();
    assert_eq!(again.order.instance, instance);
    assert_eq!(again.order.expected_orders, 3);
}

/// Answers report requests: the back ends accepted no order and hold the old weights.
fn report_idle(cluster: &mut Cluster) {
    let report = BackEndReport {
        orders_taken: 0,
        busy: false,
        models: vec![(ModelName::new("model"), 1)],
    };
    for (by, instance) in std::mem::take(&mut cluster.report_requests) {
        let now = cluster.now;
        cluster.core(by).on_report(now, &instance, Some(&report));
    }
}

#[test]
fn a_leader_whose_order_was_fenced_sends_no_more_orders_in_its_term() {
    let mut cluster = rollout(2);
    let first = cluster.orders[0].clone();
    let fenced = first.order.fencing_token;
    let now = cluster.now;
    let core = cluster.core(first.by);
    core.on_order_outcome(
        now,
        &first.order.instance,
        first.order.id,
        OrderOutcome::Fenced,
    );
    let orders_before = cluster.orders.len();
    for _ in 0..24 {
        run_with_heartbeats(&mut cluster, 2, 1, Duration::from_millis(500));
        report_idle(&mut cluster);
    }
    let later = &cluster.orders[orders_before..];
    assert!(!later.is_empty(), "the rollout continues in a later term");
    assert!(later
        .iter()
        .all(|sent_order| sent_order.order.fencing_token > fenced));
}

#[test]
fn a_new_leader_sends_no_order_within_the_lease_of_the_old_one() {
    let mut cluster = rollout(4);
    let old_leader = cluster.leader().unwrap();
    let last = cluster.orders.last().unwrap().at;
    cluster.cut.insert(old_leader);
    for _ in 0..16 {
        let other = cluster.leader().unwrap_or(address(1));
        if other != old_leader {
            run_with_heartbeats(&mut cluster, 4, 1, Duration::from_millis(500));
            report_idle(&mut cluster);
        } else {
            cluster.run(Duration::from_millis(500));
        }
    }
    let lease = ControlParams::default().order_lease;
    let mut orders_of_others = cluster
        .orders
        .iter()
        .filter(|sent_order| sent_order.by != old_leader);
    let first = orders_of_others
        .next()
        .expect("the new leader continues the rollout");
    assert!(first.at.since(last) >= lease);
    let mut orders_of_old_leader = cluster
        .orders
        .iter()
        .filter(|sent_order| sent_order.by == old_leader);
    let last_of_old_leader = orders_of_old_leader.next_back().unwrap().at;
    assert!(
        last_of_old_leader.since(last) < SECOND,
        "the old leader stops"
    );
}

#[test]
fn a_back_end_can_load_again_after_a_finished_load() {
    // A rollout step that was not removed when its load finished kept two back ends on old weights for 20 s.
    let mut cluster = rollout(2);
    let leader = cluster.leader().unwrap();
    let orders: Vec<_> = cluster.orders.clone();
    for sent_order in &orders {
        let now = cluster.now;
        let (instance, id) = (sent_order.order.instance.clone(), sent_order.order.id);
        let core = cluster.core(leader);
        core.on_order_outcome(now, &instance, id, OrderOutcome::Taken);
    }
    run_with_heartbeats(&mut cluster, 2, 2, 2 * SECOND);
    cluster.orders.clear();
    cluster.set_target_weights(leader, 3);
    run_with_heartbeats(&mut cluster, 2, 2, 2 * SECOND);
    assert_eq!(cluster.orders.len(), 2);
    assert!(cluster
        .orders
        .iter()
        .all(|sent_order| sent_order.order.version == 3));
    let expected_orders_sent = cluster
        .orders
        .iter()
        .map(|sent_order| sent_order.order.expected_orders);
    assert_eq!(expected_orders_sent.collect::<Vec<_>>(), [1, 1]);
}

/// Lets time pass while a router repeatedly reports the same pending load at each of four back ends.
fn run_under_load(cluster: &mut Cluster, leader: Ipv4Addr, pending: u16, duration: Duration) {
    let loads = (1..=4).map(|number| LoadEntry {
        key: LoadEntry::key_of(&format!("i-{number}")),
        pending,
        in_flight: 1,
    });
    let loads: Vec<LoadEntry> = loads.collect();
    let step = Duration::from_millis(500);
    for _ in 0..duration.as_millis() / step.as_millis() {
        let message = Message::Loads(List::new(loads.clone()));
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(1), message);
        run_with_heartbeats(cluster, 4, 1, step);
    }
}

/// Pending load is in units of 64 tokens: 20 units are little to prefill, 200 are more than the other back ends could
/// take over.
#[rstest]
#[case::spare_capacity(20, true)]
#[case::busy(200, false)]
fn loads_start_at_once_unless_the_pool_is_busy_and_the_deadline_is_far(
    #[case] pending: u16,
    #[case] at_once: bool,
) {
    let mut cluster = cluster_with_leader(3);
    run_with_heartbeats(&mut cluster, 4, 1, 2 * SECOND);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    run_under_load(&mut cluster, leader, pending, SECOND);
    cluster.set_target_weights(leader, 2);
    run_under_load(&mut cluster, leader, pending, SECOND);
    assert_eq!(!cluster.orders.is_empty(), at_once);
    run_under_load(&mut cluster, leader, pending, 4 * SECOND);
    assert!(!cluster.orders.is_empty(), "the load deadline has passed");
}

#[test]
fn a_new_leader_sends_orders_at_once_when_no_earlier_leader_can_have_sent_any() {
    let mut cluster = cluster_with_leader(5);
    run_with_heartbeats(&mut cluster, 4, 1, SECOND);
    let old_leader = cluster.leader().unwrap();
    cluster.kill(old_leader);
    cluster.run(2 * SECOND);
    let leader = cluster.leader().unwrap();
    let elected_at = cluster.now;
    cluster.set_target_weights(leader, 2);
    run_with_heartbeats(&mut cluster, 4, 1, SECOND);
    let first = cluster.orders.first().expect("an order within a second");
    assert_eq!(first.by, leader);
    assert!(first.at.since(elected_at) < SECOND);
}

#[test]
fn after_all_machines_restart_back_ends_with_earlier_orders_wait_for_the_lease() {
    // The log holds which orders were sent, but not when: it may have been just before the restart.
    let mut cluster = rollout(4);
    let ordered_instances: Vec<_> = cluster
        .orders
        .iter()
        .map(|sent_order| sent_order.order.instance.clone())
        .collect();
    assert_eq!(ordered_instances.len(), 2);
    cluster.orders.clear();
    (1..=3).for_each(|number| cluster.kill(address(number)));
    (1..=3).for_each(|number| cluster.start(address(number)));
    let restarted = cluster.now;
    for _ in 0..10 {
        run_with_heartbeats(&mut cluster, 4, 1, Duration::from_millis(500));
        report_idle(&mut cluster);
    }
    let lease = ControlParams::default().order_lease;
    assert!(!cluster.orders.is_empty());
    for sent_order in &cluster.orders {
        let waited = sent_order.at.since(restarted) >= lease;
        assert!(
            waited || !ordered_instances.contains(&sent_order.order.instance),
            "{sent_order:?}"
        );
    }
}

/// Lets time pass while these back ends send heartbeats with the versions they hold.
fn run_with_versions(cluster: &mut Cluster, versions: &[(u8, u64)], duration: Duration) {
    let step = Duration::from_millis(100);
    for _ in 0..duration.as_millis() / step.as_millis() {
        let leader = cluster.leader().unwrap_or(address(1));
        for (number, version) in versions {
            cluster.heartbeat(leader, &back_end(*number, *version));
        }
        cluster.run(step);
    }
}

/// Numbers of the back ends that were sent orders, in order.
fn ordered(cluster: &Cluster) -> Vec<u8> {
    let names = cluster.orders.iter().map(|sent| &sent.order.instance);
    let numbers = names.map(|name| name.as_str().trim_start_matches("i-").parse().unwrap());
    numbers.collect()
}

#[test]
fn the_place_of_a_finished_load_is_taken_by_the_next_back_end() {
    let mut cluster = rollout(8);
    let first = ordered(&cluster);
    assert_eq!(first.len(), 2);
    let versions: Vec<(u8, u64)> = (1..=8)
        .map(|number| (number, if number == first[0] { 2 } else { 1 }))
        .collect();
    run_with_versions(&mut cluster, &versions, Duration::from_millis(700));
    assert_eq!(ordered(&cluster).len(), 3, "one place was freed");
}

#[test]
fn a_back_end_that_falls_silent_while_loading_does_not_hold_up_the_others() {
    let mut cluster = rollout(8);
    let silent = ordered(&cluster);
    let others: Vec<(u8, u64)> = (1..=8)
        .filter(|number| !silent.contains(number))
        .map(|number| (number, 1))
        .collect();
    run_with_versions(&mut cluster, &others, 5 * SECOND);
    let later = &ordered(&cluster)[silent.len()..];
    assert!(later.iter().any(|number| !silent.contains(number)));
}

#[test]
fn a_back_end_that_routers_find_unresponsive_while_it_loads_does_not_hold_up_the_others() {
    let mut cluster = rollout(8);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    let suspects = ordered(&cluster);
    let keys = suspects
        .iter()
        .map(|number| LoadEntry::key_of(&format!("i-{number}")));
    let message = Message::UnresponsiveBackEnds(List::new(keys.collect()));
    let now = cluster.now;
    cluster
        .core(leader)
        .on_router(now, ConnectionId(1), message);
    let others: Vec<(u8, u64)> = (1..=8)
        .filter(|number| !suspects.contains(number))
        .map(|number| (number, 1))
        .collect();
    run_with_versions(&mut cluster, &others, SECOND);
    assert!(ordered(&cluster).len() > suspects.len());
}

#[test]
fn orders_after_a_second_name_are_for_the_newest_weights() {
    let mut cluster = rollout(8);
    let leader = cluster.leader().unwrap();
    let before = cluster.orders.len();
    cluster.set_target_weights(leader, 3);
    let first = ordered(&cluster);
    let versions: Vec<(u8, u64)> = (1..=8)
        .map(|number| (number, if first.contains(&number) { 2 } else { 1 }))
        .collect();
    run_with_versions(&mut cluster, &versions, SECOND);
    let later = &cluster.orders[before..];
    assert!(!later.is_empty());
    assert!(later.iter().all(|sent| sent.order.version == 3));
    let second = &ordered(&cluster)[before..];
    assert!(
        second.iter().all(|number| !first.contains(number)),
        "those with the oldest weights come first"
    );
}
