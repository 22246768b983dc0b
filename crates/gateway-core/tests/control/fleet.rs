//! Messages, log entries and snapshots of control machines while thousands of back ends register and send heartbeats.

use super::*;

use drumshore_gateway_core::{Changes, Command, Following, Heartbeat, InstanceId, Proposal};
use drumshore_wire::Blob;

fn numbered_back_end(number: usize) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(&format!("i-{number}")),
        address: format!("10.9.{}.{}:80", number / 200, number % 200),
        ..back_end(1, 1)
    }
}

/// A cluster with the addresses of its leader and one follower.
fn with_follower() -> (Cluster, Ipv4Addr, Ipv4Addr) {
    let cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let follower = (1..=3).map(address).find(|at| *at != leader).unwrap();
    (cluster, leader, follower)
}

/// Passes heartbeats that arrive together to a machine, without time to answer them.
fn receive_heartbeats(cluster: &mut Cluster, at: Ipv4Addr, numbers: std::ops::Range<usize>) {
    let now = cluster.now;
    for number in numbers {
        let ticket = cluster.ticket();
        cluster
            .core(at)
            .on_heartbeat(now, ticket, &numbered_back_end(number));
    }
}

/// Heartbeats of 9,998 back ends caused 8,300 messages a second to the leader. The queue between two machines holds 128
/// messages and drops others, including those of the log.
#[test]
fn heartbeats_that_arrive_together_are_one_message_to_the_leader() {
    let (mut cluster, _, follower) = with_follower();
    receive_heartbeats(&mut cluster, follower, 0..500);
    cluster.run(SECOND);
    cluster.sent_to_control.clear();
    receive_heartbeats(&mut cluster, follower, 0..500);
    cluster.run(Duration::from_millis(50));
    let heartbeat_messages = cluster
        .sent_to_control
        .iter()
        .filter(|message| matches!(message, Message::ForwardedHeartbeats(_)));
    let sizes: Vec<usize> = heartbeat_messages
        .map(|message| message.encode().len())
        .collect();
    assert_eq!(sizes.len(), 1);
    assert!(sizes[0] <= 500 * 8 + 16, "{sizes:?}");
}

#[test]
fn registrations_that_arrive_together_are_one_message_to_the_leader() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.sent_to_control.clear();
    receive_heartbeats(&mut cluster, follower, 0..500);
    cluster.settle();
    let proposals = cluster.sent_to_control.iter();
    let proposals = proposals.filter(|message| matches!(message, Message::Propose(_)));
    assert_eq!(proposals.count(), 1);
    assert_eq!(cluster.core(leader).state().instances().count(), 500);
}

/// Two configurations of 8 MB in one message would exceed the size limit of a frame.
#[test]
fn large_commands_are_sent_in_separate_messages() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.sent_to_control.clear();
    for version in [1, 2] {
        let (now, ticket) = (cluster.now, cluster.ticket());
        let body = Blob::new(vec![0; 8 << 20]);
        let command = Command::Configure { version, body };
        cluster.core(follower).submit(now, ticket, command);
    }
    cluster.settle();
    let sent = cluster.sent_to_control.iter();
    let proposals = sent.filter(|message| matches!(message, Message::Propose(_)));
    let sizes: Vec<usize> = proposals.map(|message| message.encode().len()).collect();
    assert_eq!(sizes.len(), 2);
    assert!(sizes.iter().all(|size| *size < 9 << 20), "{sizes:?}");
    assert_eq!(cluster.core(leader).state().configuration_version(), 2);
}

/// Registrations that were in the leader's log but not committed were sent to it again each 0.3 s, and each copy was
/// appended: 82,081 entries for 9,998 back ends.
#[rstest]
#[case::proposed_by_the_leader(true)]
#[case::proposed_by_another_machine(false)]
fn an_uncommitted_command_in_the_log_is_not_appended_again(#[case] by_leader: bool) {
    let (mut cluster, leader, follower) = with_follower();
    let at = if by_leader { leader } else { follower };
    cluster.run(SECOND);
    let before = cluster.core(leader).log_length();
    // Responses of followers take longer than the time after which a command is sent again.
    for machine in (1..=3).map(address).filter(|at| *at != leader) {
        cluster.delays.insert(machine, Duration::from_millis(200));
    }
    receive_heartbeats(&mut cluster, at, 0..50);
    for _ in 0..3 {
        cluster.run(Duration::from_millis(300));
        // Back ends without a response register again.
        receive_heartbeats(&mut cluster, at, 0..50);
    }
    cluster.delays.clear();
    cluster.run(3 * SECOND);
    assert_eq!(cluster.core(leader).state().instances().count(), 50);
    let appended = cluster.core(leader).log_length() - before;
    assert!((50..60).contains(&appended), "{appended} for 50 back ends");
}

#[test]
fn a_repeated_registration_request_waits_for_the_pending_one() {
    let (mut cluster, _, follower) = with_follower();
    cluster.cut.insert(follower);
    let first = cluster.heartbeat(follower, &numbered_back_end(7));
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&first], Reply::Unavailable);
    let second = cluster.heartbeat(follower, &numbered_back_end(7));
    cluster.cut.clear();
    cluster.run(5 * SECOND);
    let third = cluster.heartbeat(follower, &numbered_back_end(7));
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&third], Reply::Accepted);
    assert!(cluster.replies.contains_key(&second));
}

/// Guards against a machine that keeps proposing registrations that were committed before the snapshot: it proposed 200
/// entries a second without effect.
#[test]
fn a_machine_that_installs_a_snapshot_drops_its_proposals_contained_in_it() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.delays.insert(follower, Duration::from_millis(200));
    receive_heartbeats(&mut cluster, follower, 0..50);
    cluster.run(Duration::from_millis(250));
    // The leader has received the follower's commands, and the follower is cut off before it learns that.
    cluster.cut.insert(follower);
    for batch in 0..10 {
        receive_heartbeats(&mut cluster, leader, batch * 100..(batch + 1) * 100);
        cluster.settle();
    }
    assert!(cluster.core(leader).last_snapshot_bytes() > 0);
    cluster.run(Duration::from_millis(300));
    cluster.cut.clear();
    cluster.delays.clear();
    cluster.run(SECOND);
    let before = cluster.core(leader).log_length();
    cluster.run(12 * SECOND);
    assert_eq!(cluster.core(follower).state().instances().count(), 1_000);
    assert_eq!(cluster.core(leader).log_length(), before);
}

#[test]
fn the_first_bytes_of_a_proposal_are_its_id() {
    let id = drumshore_gateway_core::ProposalId {
        origin: 7,
        sequence: 9,
    };
    let command = Command::Deregister {
        instance: "a".into(),
    };
    let encoded = Proposal { id, command }.encode();
    assert_eq!(drumshore_gateway_core::ProposalId::of(&encoded), Some(id));
}

/// A snapshot writes the whole state, and a replica that lacks an entry before the snapshot is sent all of it.
#[test]
fn the_total_size_of_snapshots_stays_below_three_times_the_state() {
    let (mut cluster, leader, _) = with_follower();
    let mut written = 0;
    let mut last = 0;
    for batch in 0..40 {
        receive_heartbeats(&mut cluster, leader, batch * 100..(batch + 1) * 100);
        cluster.settle();
        let bytes = cluster.core(leader).last_snapshot_bytes();
        if bytes != last {
            written += bytes;
            last = bytes;
        }
    }
    let state = cluster.core(leader).state().encode().len();
    assert!(last > 0);
    assert!(
        written < 3 * state,
        "{written} bytes for a state of {state} bytes"
    );
}

/// 200 routers of a zone receive the announcement of a change at the same time and fetch it at the same time.
#[test]
fn routers_that_fetch_the_same_changes_share_one_response() {
    let (mut cluster, leader, _) = with_follower();
    for router in 1..=200 {
        cluster.link_router(leader, ConnectionId(router), &format!("10.1.0.{router}:80"));
    }
    receive_heartbeats(&mut cluster, leader, 0..50);
    cluster.run(SECOND);
    cluster.shared_messages.clear();
    cluster.to_routers.clear();
    let now = cluster.now;
    for router in 1..=200 {
        let fetch = Message::Fetch {
            since: 0,
            source_revision: 0,
            configuration: None,
        };
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(router), fetch);
    }
    cluster.settle();
    let is_response = |message: &&Message| matches!(message, Message::Changes(_));
    assert_eq!(
        cluster.shared_messages.iter().filter(is_response).count(),
        1
    );
    let responses = cluster.to_routers.iter().map(|sent| &sent.2);
    assert_eq!(responses.filter(is_response).count(), 200);
}

/// A machine forwards the leader's updates on loads and back ends (news), once to each router that follows it, and
/// nothing else.
#[rstest]
#[case::loads(Message::LoadsOfAll { whole: 1, loads: List::new(Vec::new()) }, 1)]
#[case::unresponsive_back_ends(Message::UnresponsiveBackEnds(List::new(vec![7])), 1)]
#[case::changes_of_the_state(Message::Changes(Changes::default()), 0)]
fn a_machine_forwards_news_to_the_routers_that_follow_it(
    #[case] message: Message,
    #[case] expected: usize,
) {
    let (mut cluster, _, follower) = with_follower();
    cluster.link_router(follower, ConnectionId(1), "10.1.0.1:80");
    cluster.link_router(follower, ConnectionId(2), "10.1.0.2:80");
    let unfollow = Message::Follow(Following::Changes);
    let now = cluster.now;
    let core = cluster.core(follower);
    core.on_router(now, ConnectionId(2), unfollow);
    cluster.settle();
    cluster.to_routers.clear();
    let news = Message::News(Blob::new(message.encode()));
    cluster.core(follower).on_control(now, news);
    cluster.settle();
    let received = |to: u64| {
        let sent = cluster.to_routers.iter();
        sent.filter(|sent| sent.1 == ConnectionId(to) && sent.2 == message)
            .count()
    };
    assert_eq!((received(1), received(2)), (expected, 0));
}

#[test]
fn undecodable_news_is_not_forwarded() {
    let (mut cluster, _, follower) = with_follower();
    cluster.link_router(follower, ConnectionId(1), "10.1.0.1:80");
    cluster.to_routers.clear();
    let now = cluster.now;
    let news = Message::News(Blob::new(vec![0xff; 9]));
    cluster.core(follower).on_control(now, news);
    cluster.settle();
    assert!(cluster.to_routers.is_empty());
    assert_eq!(cluster.news_refused, 1);
}

#[test]
fn a_router_learns_of_an_unresponsive_back_end_from_the_machine_it_follows() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.link_router(leader, ConnectionId(1), "10.1.0.1:80");
    cluster.link_router(follower, ConnectionId(2), "10.1.0.2:80");
    let message = Message::UnresponsiveBackEnds(List::new(vec![7]));
    let now = cluster.now;
    let core = cluster.core(leader);
    core.on_router(now, ConnectionId(1), message.clone());
    cluster.settle();
    let received = |at: Ipv4Addr, to: u64| {
        let sent = (at, ConnectionId(to), message.clone());
        cluster.to_routers.contains(&sent)
    };
    assert!(received(follower, 2));
    assert!(!received(leader, 1), "the reporting router is not notified");
}

/// Connects routers to the leader that each report loads of different back ends, and returns the bytes a second that the
/// leader sends about loads. The routers follow other machines.
fn load_bytes_per_second(routers: u64, back_ends_each: u32) -> f64 {
    const STEPS: u64 = 60;
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    for router in 1..=routers {
        cluster.link_router(leader, ConnectionId(router), &format!("10.1.0.{router}:80"));
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_router(
            now,
            ConnectionId(router),
            Message::Follow(Following::Nothing),
        );
    }
    cluster.to_routers.clear();
    cluster.sent_to_control.clear();
    for step in 0..STEPS {
        let now = cluster.now;
        for router in 1..=routers {
            let first = router as u32 * back_ends_each;
            let loads = (first..first + back_ends_each).map(|key| LoadEntry {
                key,
                pending: step as u16,
                in_flight: 1,
            });
            let message = Message::Loads(List::new(loads.collect()));
            let core = cluster.core(leader);
            core.on_router(now, ConnectionId(router), message);
            let ping = Message::Ping { sequence: step };
            core.on_router(now, ConnectionId(router), ping);
        }
        cluster.run(Duration::from_millis(50));
    }
    let to_routers = cluster.to_routers.iter().map(|sent| &sent.2);
    let messages = to_routers.chain(&cluster.sent_to_control);
    let is_load =
        |message: &&Message| matches!(message, Message::LoadsOfAll { .. } | Message::News(_));
    let bytes: usize = messages
        .filter(is_load)
        .map(|message| message.encode().len())
        .sum();
    bytes as f64 / (STEPS as f64 * 0.05)
}

/// When the leader sent 10 KB/s of loads to each of 985 routers, it sent 9.9 MB/s in all, of which four fifths crossed
/// zones, and twice that for twice the fleet. It sends them once to each control machine instead.
#[rstest]
#[case::a_large_fleet(600, 2)]
#[case::twice_as_large(1_200, 2)]
fn load_traffic_of_the_leader_does_not_grow_with_the_number_of_routers(
    #[case] routers: u64,
    #[case] back_ends_each: u32,
) {
    let bytes = load_bytes_per_second(routers, back_ends_each);
    let other_machines = 2.0;
    let max_bytes = 11_000.0 * other_machines;
    assert!(
        (8_000.0..max_bytes).contains(&bytes),
        "{bytes} bytes a second"
    );
}

#[test]
fn when_not_all_loads_fit_the_heaviest_are_sent() {
    let (mut cluster, leader) = with_two_routers(true);
    let heavy = LoadEntry {
        key: 7,
        pending: 500,
        in_flight: 9,
    };
    let light = (1_000..3_000).map(|key| LoadEntry {
        key,
        pending: 1,
        in_flight: 1,
    });
    let loads = light.chain([heavy]).collect();
    let now = cluster.now;
    let message = Message::Loads(List::new(loads));
    let core = cluster.core(leader);
    core.on_router(now, ConnectionId(1), message);
    cluster.to_routers.clear();
    cluster.run(Duration::from_millis(100));
    let mut lists = cluster.to_routers.iter();
    let received_loads = lists.find_map(|(_, to, message)| match message {
        Message::LoadsOfAll { loads, .. } if *to == ConnectionId(2) => Some(&loads.items),
        _ => None,
    });
    let received_loads = received_loads.expect("loads are sent");
    assert!(received_loads.contains(&heavy));
    assert_eq!(
        received_loads.len(),
        1_000,
        "8 KB, the budget of 10 KB/s for 0.8 s"
    );
}
