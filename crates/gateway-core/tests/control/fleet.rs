//! What a control machine sends and keeps while thousands of back ends register and speak.

use super::*;

use drumshore_gateway_core::{Changes, Command, Following, Heartbeat, InstanceId, Proposal};
use drumshore_wire::Blob;

fn numbered(number: usize) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(&format!("i-{number}")),
        address: format!("10.9.{}.{}:80", number / 200, number % 200),
        ..back_end(1, 1)
    }
}

/// A cluster whose second machine follows.
fn with_follower() -> (Cluster, Ipv4Addr, Ipv4Addr) {
    let cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let follower = (1..=3).map(address).find(|at| *at != leader).unwrap();
    (cluster, leader, follower)
}

/// Lets a machine take in heartbeats that arrive together, without time to answer them.
fn speak_together(cluster: &mut Cluster, at: Ipv4Addr, numbers: std::ops::Range<usize>) {
    let now = cluster.now;
    for number in numbers {
        let ticket = cluster.ticket();
        cluster
            .core(at)
            .on_heartbeat(now, ticket, &numbered(number));
    }
}

/// 9,998 back ends made 8,300 messages a second to the leader; the queue between two machines holds 128 and
/// loses what is beyond, also messages of the log.
#[test]
fn heartbeats_that_arrive_together_are_one_message_to_the_leader() {
    let (mut cluster, _, follower) = with_follower();
    speak_together(&mut cluster, follower, 0..500);
    cluster.run(SECOND);
    cluster.sent_to_control.clear();
    speak_together(&mut cluster, follower, 0..500);
    cluster.run(Duration::from_millis(50));
    let heard = cluster
        .sent_to_control
        .iter()
        .filter(|message| matches!(message, Message::Heard(_)));
    let sizes: Vec<usize> = heard.map(|message| message.encode().len()).collect();
    assert_eq!(sizes.len(), 1);
    assert!(sizes[0] <= 500 * 8 + 16, "{sizes:?}");
}

#[test]
fn registrations_that_arrive_together_are_one_message_to_the_leader() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.sent_to_control.clear();
    speak_together(&mut cluster, follower, 0..500);
    cluster.settle();
    let proposals = cluster.sent_to_control.iter();
    let proposals = proposals.filter(|message| matches!(message, Message::Propose(_)));
    assert_eq!(proposals.count(), 1);
    assert_eq!(cluster.core(leader).state().instances().count(), 500);
}

/// Two configurations of 8 MB that are sent at once are longer than a frame may be.
#[test]
fn large_commands_travel_apart() {
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

/// Registrations that the leader had in its log and had not committed were sent to it again each 0.3 s, and
/// each copy was appended: 82,081 entries for 9,998 back ends.
#[rstest]
#[case::proposed_by_the_leader(true)]
#[case::proposed_by_another_machine(false)]
fn a_command_that_waits_in_the_log_is_not_appended_again(#[case] by_leader: bool) {
    let (mut cluster, leader, follower) = with_follower();
    let at = if by_leader { leader } else { follower };
    cluster.run(SECOND);
    let before = cluster.core(leader).log_length();
    // Followers' answers take longer than the time after which a command is sent again.
    for machine in (1..=3).map(address).filter(|at| *at != leader) {
        cluster.delays.insert(machine, Duration::from_millis(200));
    }
    speak_together(&mut cluster, at, 0..50);
    for _ in 0..3 {
        cluster.run(Duration::from_millis(300));
        // Back ends that got no answer come again.
        speak_together(&mut cluster, at, 0..50);
    }
    cluster.delays.clear();
    cluster.run(3 * SECOND);
    assert_eq!(cluster.core(leader).state().instances().count(), 50);
    let appended = cluster.core(leader).log_length() - before;
    assert!((50..60).contains(&appended), "{appended} for 50 back ends");
}

#[test]
fn a_caller_that_asks_again_waits_for_the_registration_that_is_under_way() {
    let (mut cluster, _, follower) = with_follower();
    cluster.cut.insert(follower);
    let first = cluster.heartbeat(follower, &numbered(7));
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&first], Reply::Unavailable);
    let second = cluster.heartbeat(follower, &numbered(7));
    cluster.cut.clear();
    cluster.run(5 * SECOND);
    let third = cluster.heartbeat(follower, &numbered(7));
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&third], Reply::Accepted);
    assert!(cluster.replies.contains_key(&second));
}

/// Such a machine proposed what was registered long ago again and again: 200 entries a second that change nothing.
#[test]
fn a_machine_that_takes_the_state_in_a_snapshot_proposes_no_more_of_what_is_in_it() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.delays.insert(follower, Duration::from_millis(200));
    speak_together(&mut cluster, follower, 0..50);
    cluster.run(Duration::from_millis(250));
    // The leader has its commands, and it does not hear of that.
    cluster.cut.insert(follower);
    for batch in 0..10 {
        speak_together(&mut cluster, leader, batch * 100..(batch + 1) * 100);
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

/// A snapshot writes the whole state, and a replica that lacks an entry before it is sent all of it.
#[test]
fn snapshots_write_no_more_than_a_few_times_what_the_log_does() {
    let (mut cluster, leader, _) = with_follower();
    let mut written = 0;
    let mut last = 0;
    for batch in 0..40 {
        speak_together(&mut cluster, leader, batch * 100..(batch + 1) * 100);
        cluster.settle();
        let bytes = cluster.core(leader).last_snapshot_bytes();
        if bytes != last {
            written += bytes;
            last = bytes;
        }
    }
    let state = cluster.core(leader).state().encode().len();
    assert!(last > 0);
    assert!(written < 3 * state, "{written} for a state of {state}");
}

/// 200 routers of a zone are told of a change at once and ask for it at once.
#[test]
fn routers_that_ask_for_the_same_changes_share_one_answer() {
    let (mut cluster, leader, _) = with_follower();
    for router in 1..=200 {
        cluster.link_router(leader, ConnectionId(router), &format!("10.1.0.{router}:80"));
    }
    speak_together(&mut cluster, leader, 0..50);
    cluster.run(SECOND);
    cluster.shared.clear();
    cluster.to_routers.clear();
    let now = cluster.now;
    for router in 1..=200 {
        let fetch = Message::Fetch {
            since: 0,
            source_revision: 0,
        };
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(router), fetch);
    }
    cluster.settle();
    let is_answer = |message: &&Message| matches!(message, Message::Changes(_));
    assert_eq!(cluster.shared.iter().filter(is_answer).count(), 1);
    let answered = cluster.to_routers.iter().map(|sent| &sent.2);
    assert_eq!(answered.filter(is_answer).count(), 200);
}

/// A machine passes on what the leader tells, once to each router that follows it, and nothing else.
#[rstest]
#[case::loads(Message::LoadsOfAll { whole: 1, loads: List::new(Vec::new()) }, 1)]
#[case::silent_back_ends(Message::Suspects(List::new(vec![7])), 1)]
#[case::a_state(Message::Changes(Changes::default()), 0)]
fn a_machine_passes_on_news_to_the_routers_that_follow_it(
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
    let told = |to: u64| {
        let sent = cluster.to_routers.iter();
        sent.filter(|sent| sent.1 == ConnectionId(to) && sent.2 == message)
            .count()
    };
    assert_eq!((told(1), told(2)), (expected, 0));
}

#[test]
fn news_that_cannot_be_read_are_not_passed_on() {
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
fn a_router_hears_of_a_silent_back_end_from_the_machine_that_it_follows() {
    let (mut cluster, leader, follower) = with_follower();
    cluster.link_router(leader, ConnectionId(1), "10.1.0.1:80");
    cluster.link_router(follower, ConnectionId(2), "10.1.0.2:80");
    let message = Message::Suspects(List::new(vec![7]));
    let now = cluster.now;
    let core = cluster.core(leader);
    core.on_router(now, ConnectionId(1), message.clone());
    cluster.settle();
    let told = |at: Ipv4Addr, to: u64| {
        let sent = (at, ConnectionId(to), message.clone());
        cluster.to_routers.contains(&sent)
    };
    assert!(told(follower, 2));
    assert!(!told(leader, 1), "it reported it");
}

/// Links routers that each put load on back ends of their own to the leader, lets them report it for a while, and
/// returns what the leader sends of loads, in bytes a second. The routers follow other machines.
fn sent_of_loads(routers: u64, back_ends_each: u32) -> f64 {
    const STEPS: u64 = 60;
    let mut cluster = elected(3);
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
    let told = to_routers.chain(&cluster.sent_to_control);
    let is_load =
        |message: &&Message| matches!(message, Message::LoadsOfAll { .. } | Message::News(_));
    let bytes: usize = told
        .filter(is_load)
        .map(|message| message.encode().len())
        .sum();
    bytes as f64 / (STEPS as f64 * 0.05)
}

/// The leader told each of 985 routers 10 KB/s, 9.9 MB/s in all of which four in five parts crossed zones, and
/// twice that at twice the fleet. It tells each control machine now.
#[rstest]
#[case::a_large_fleet(600, 2)]
#[case::twice_as_large(1_200, 2)]
fn what_the_leader_tells_of_loads_does_not_grow_with_routers(
    #[case] routers: u64,
    #[case] back_ends_each: u32,
) {
    let bytes = sent_of_loads(routers, back_ends_each);
    let other_machines = 2.0;
    let most = 11_000.0 * other_machines;
    assert!((8_000.0..most).contains(&bytes), "{bytes} bytes a second");
}

#[test]
fn when_not_all_loads_fit_the_heaviest_are_told() {
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
    let told = lists.find_map(|(_, to, message)| match message {
        Message::LoadsOfAll { loads, .. } if *to == ConnectionId(2) => Some(&loads.items),
        _ => None,
    });
    let told = told.expect("loads are told");
    assert!(told.contains(&heavy));
    assert_eq!(told.len(), 1_000, "8 KB, what 10 KB/s allow in 0.8 s");
}
