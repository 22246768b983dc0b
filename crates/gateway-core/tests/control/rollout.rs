//! How weights are brought to back ends.

use super::*;

#[test]
fn routers_hear_of_a_load_before_it_is_ordered() {
    let mut cluster = Cluster::with_params(3, impatient());
    cluster.run(6 * SECOND);
    run_with_beats(&mut cluster, 1, 1, SECOND);
    let leader = cluster.leader().unwrap();
    cluster.name_weights(leader, 2);
    let mut noticed = None;
    for _ in 0..40 {
        cluster.heartbeat(leader, &back_end(1, 1));
        cluster.run(Duration::from_millis(75));
        let record = cluster.core(leader).state().instance("i-1").unwrap();
        if record.is_loading() && noticed.is_none() {
            noticed = Some(cluster.now);
        }
    }
    let noticed = noticed.expect("the load is in the replicated state");
    let ordered = cluster.orders[0].at;
    assert!(ordered.since(noticed) >= Duration::from_millis(200));
}

#[test]
fn few_back_ends_load_at_once() {
    let cluster = rollout(8);
    // A quarter of the pool, and none finishes here.
    assert_eq!(cluster.orders.len(), 2);
}

#[test]
fn orders_carry_the_term_and_the_orders_taken() {
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
    assert!(cluster.asked.iter().any(|(_, asked)| *asked == instance));
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

/// Back ends that were asked say that they took no order and hold the old weights.
fn report_idle(cluster: &mut Cluster) {
    let report = BackEndReport {
        orders_taken: 0,
        busy: false,
        models: vec![(ModelName::new("model"), 1)],
    };
    for (by, instance) in std::mem::take(&mut cluster.asked) {
        let now = cluster.now;
        cluster.core(by).on_report(now, &instance, Some(&report));
    }
}

#[test]
fn a_leader_that_a_newer_one_has_fenced_orders_no_more_in_its_term() {
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
    let given = cluster.orders.len();
    for _ in 0..24 {
        run_with_beats(&mut cluster, 2, 1, Duration::from_millis(500));
        report_idle(&mut cluster);
    }
    let later = &cluster.orders[given..];
    assert!(!later.is_empty(), "a later term goes on");
    assert!(later.iter().all(|given| given.order.fencing_token > fenced));
}

#[test]
fn a_new_leader_gives_no_order_within_the_lease_of_the_old_one() {
    let mut cluster = rollout(4);
    let old = cluster.leader().unwrap();
    let last = cluster.orders.last().unwrap().at;
    cluster.cut.insert(old);
    for _ in 0..16 {
        let other = cluster.leader().unwrap_or(address(1));
        if other != old {
            run_with_beats(&mut cluster, 4, 1, Duration::from_millis(500));
            report_idle(&mut cluster);
        } else {
            cluster.run(Duration::from_millis(500));
        }
    }
    let lease = ControlParams::default().order_lease;
    let mut by_other = cluster.orders.iter().filter(|given| given.by != old);
    let first = by_other.next().expect("the new leader goes on");
    assert!(first.at.since(last) >= lease);
    let mut by_old = cluster.orders.iter().filter(|given| given.by == old);
    let last_of_old = by_old.next_back().unwrap().at;
    assert!(last_of_old.since(last) < SECOND, "the old one stops");
}

#[test]
fn a_load_that_ended_leaves_its_back_end_free_for_the_next() {
    // A step left behind kept two back ends on old weights for 20 s (trouble-1, first score).
    let mut cluster = rollout(2);
    let leader = cluster.leader().unwrap();
    let orders: Vec<_> = cluster.orders.clone();
    for given in &orders {
        let now = cluster.now;
        let (instance, id) = (given.order.instance.clone(), given.order.id);
        let core = cluster.core(leader);
        core.on_order_outcome(now, &instance, id, OrderOutcome::Taken);
    }
    run_with_beats(&mut cluster, 2, 2, 2 * SECOND);
    cluster.orders.clear();
    cluster.name_weights(leader, 3);
    run_with_beats(&mut cluster, 2, 2, 2 * SECOND);
    assert_eq!(cluster.orders.len(), 2);
    assert!(cluster.orders.iter().all(|given| given.order.version == 3));
    let counted = cluster
        .orders
        .iter()
        .map(|given| given.order.expected_orders);
    assert_eq!(counted.collect::<Vec<_>>(), [1, 1]);
}

/// Lets time pass while a router says again and again that it has so much waiting at each of four
/// back ends.
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
        run_with_beats(cluster, 4, 1, step);
    }
}

/// 20 times 64 tokens are little to read, 200 times are more than others could take over.
#[rstest]
#[case::with_room(20, true)]
#[case::busy(200, false)]
fn loads_begin_at_once_unless_the_pool_is_busy_and_there_is_time(
    #[case] pending: u16,
    #[case] at_once: bool,
) {
    let mut cluster = elected(3);
    run_with_beats(&mut cluster, 4, 1, 2 * SECOND);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    run_under_load(&mut cluster, leader, pending, SECOND);
    cluster.name_weights(leader, 2);
    run_under_load(&mut cluster, leader, pending, SECOND);
    assert_eq!(!cluster.orders.is_empty(), at_once);
    run_under_load(&mut cluster, leader, pending, 4 * SECOND);
    assert!(!cluster.orders.is_empty(), "time is used up");
}

#[test]
fn a_new_leader_orders_at_once_where_no_other_can_have_ordered() {
    let mut cluster = elected(5);
    run_with_beats(&mut cluster, 4, 1, SECOND);
    let old = cluster.leader().unwrap();
    cluster.kill(old);
    cluster.run(2 * SECOND);
    let leader = cluster.leader().unwrap();
    let led_since = cluster.now;
    cluster.name_weights(leader, 2);
    run_with_beats(&mut cluster, 4, 1, SECOND);
    let first = cluster.orders.first().expect("an order within a second");
    assert_eq!(first.by, leader);
    assert!(first.at.since(led_since) < SECOND);
}

#[test]
fn after_a_restart_of_all_back_ends_that_were_ordered_wait_for_the_lease() {
    // The log tells what was ordered, not when: it may have been just before.
    let mut cluster = rollout(4);
    let ordered: Vec<_> = cluster
        .orders
        .iter()
        .map(|given| given.order.instance.clone())
        .collect();
    assert_eq!(ordered.len(), 2);
    cluster.orders.clear();
    (1..=3).for_each(|number| cluster.kill(address(number)));
    (1..=3).for_each(|number| cluster.start(address(number)));
    let restarted = cluster.now;
    for _ in 0..10 {
        run_with_beats(&mut cluster, 4, 1, Duration::from_millis(500));
        report_idle(&mut cluster);
    }
    let lease = ControlParams::default().order_lease;
    assert!(!cluster.orders.is_empty());
    for given in &cluster.orders {
        let waited = given.at.since(restarted) >= lease;
        assert!(
            waited || !ordered.contains(&given.order.instance),
            "{given:?}"
        );
    }
}
