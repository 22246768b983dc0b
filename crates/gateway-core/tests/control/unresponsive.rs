//! Back ends that routers reported as unresponsive or refusing, and the notifications of other routers.

use super::*;

#[rstest]
#[case::at_the_leader(true, 1)]
#[case::at_a_follower(false, 0)]
fn the_leader_reports_an_unresponsive_back_end_to_the_other_routers(
    #[case] at_leader: bool,
    #[case] expected: usize,
) {
    let (mut cluster, machine) = with_two_routers(at_leader);
    let message = Message::UnresponsiveBackEnds(List::new(vec![LoadEntry::key_of("i-1")]));
    let now = cluster.now;
    let core = cluster.core(machine);
    core.on_router(now, ConnectionId(1), message.clone());
    cluster.run(Duration::from_millis(100));
    let received = |to: u64| {
        let sent = cluster.to_routers.iter();
        sent.filter(|(_, connection, sent)| *connection == ConnectionId(to) && *sent == message)
            .count()
    };
    assert_eq!((received(1), received(2)), (0, expected));
}

/// The number of reports to the second router that the first back end is unresponsive.
fn suspect_messages_received(cluster: &Cluster) -> usize {
    let message = Message::UnresponsiveBackEnds(List::new(vec![LoadEntry::key_of("i-1")]));
    let sent = cluster.to_routers.iter();
    sent.filter(|(_, connection, sent)| *connection == ConnectionId(2) && *sent == message)
        .count()
}

fn report_unresponsive(cluster: &mut Cluster, leader: Ipv4Addr) {
    let message = Message::UnresponsiveBackEnds(List::new(vec![LoadEntry::key_of("i-1")]));
    let now = cluster.now;
    let core = cluster.core(leader);
    core.on_router(now, ConnectionId(1), message);
}

/// Lets time pass while both routers send pings, with or without heartbeats of the first back end.
fn run_with_routers(
    cluster: &mut Cluster,
    leader: Ipv4Addr,
    with_heartbeats: bool,
    duration: Duration,
) {
    for sequence in 0..duration.as_millis() as u64 / 500 {
        let now = cluster.now;
        for router in [1, 2] {
            let core = cluster.core(leader);
            core.on_router(now, ConnectionId(router), Message::Ping { sequence });
        }
        let back_ends = u8::from(with_heartbeats);
        run_with_heartbeats(cluster, back_ends, 1, Duration::from_millis(500));
    }
}

#[test]
fn routers_are_notified_of_an_unresponsive_back_end_until_its_heartbeat_arrives() {
    // With 60 back ends unresponsive for 14 s, each of 295 routers tried them repeatedly; two in three of the refused
    // requests came 4 to 9 s after the fault began.
    let (mut cluster, leader) = with_two_routers(true);
    run_with_routers(&mut cluster, leader, true, SECOND);
    report_unresponsive(&mut cluster, leader);
    run_with_routers(&mut cluster, leader, false, 6 * SECOND);
    let messages = suspect_messages_received(&cluster);
    assert!((5..=7).contains(&messages), "{messages} in six seconds");
    run_with_routers(&mut cluster, leader, true, SECOND);
    cluster.to_routers.clear();
    run_with_routers(&mut cluster, leader, false, 4 * SECOND);
    assert_eq!(suspect_messages_received(&cluster), 0);
}

#[test]
fn reports_of_a_refusing_back_end_are_rate_limited() {
    let (mut cluster, leader) = with_two_routers(true);
    let message = Message::RefusingBackEnds(List::new(vec![LoadEntry::key_of("i-1")]));
    for _ in 0..10 {
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(1), message.clone());
        cluster.run(Duration::from_millis(50));
    }
    let received = |to: u64| {
        let sent = cluster.to_routers.iter();
        sent.filter(|(_, connection, sent)| *connection == ConnectionId(to) && *sent == message)
            .count()
    };
    assert_eq!((received(1), received(2)), (0, 3));
}

#[test]
fn a_back_end_whose_heartbeats_arrive_is_reported_unresponsive_only_once() {
    // The reporting router may be the only one that is cut off from the back end.
    let (mut cluster, leader) = with_two_routers(true);
    run_with_routers(&mut cluster, leader, true, SECOND);
    for _ in 0..6 {
        report_unresponsive(&mut cluster, leader);
        run_with_routers(&mut cluster, leader, true, SECOND);
    }
    assert_eq!(suspect_messages_received(&cluster), 1);
}

#[test]
fn a_back_end_that_stops_responding_after_a_false_report_is_reported_again() {
    let (mut cluster, leader) = with_two_routers(true);
    run_with_routers(&mut cluster, leader, true, SECOND);
    report_unresponsive(&mut cluster, leader);
    run_with_routers(&mut cluster, leader, true, SECOND);
    run_with_routers(&mut cluster, leader, false, 3 * SECOND);
    cluster.to_routers.clear();
    report_unresponsive(&mut cluster, leader);
    cluster.run(Duration::from_millis(50));
    assert_eq!(suspect_messages_received(&cluster), 1);
}

/// The heartbeats of its later process contradict the report on the earlier one, and must not hide the next crash.
#[test]
fn a_back_end_that_starts_again_under_its_name_is_reported_again_when_it_crashes() {
    let (mut cluster, leader) = with_two_routers(true);
    let started = |started_ms| Heartbeat {
        software: SoftwareVersion::new("v1"),
        started_ms,
        ..back_end(1, 1)
    };
    cluster.heartbeat(leader, &started(1));
    run_with_routers(&mut cluster, leader, false, SECOND);
    for started_ms in 2..=4 {
        report_unresponsive(&mut cluster, leader);
        run_with_routers(&mut cluster, leader, false, SECOND);
        cluster.heartbeat(leader, &started(started_ms));
        run_with_routers(&mut cluster, leader, false, SECOND);
        cluster.to_routers.clear();
    }
    report_unresponsive(&mut cluster, leader);
    cluster.run(Duration::from_millis(50));
    assert_eq!(suspect_messages_received(&cluster), 1);
}
