//! What a control machine sends and keeps while thousands of back ends register and speak.

use super::*;

use drumshore_gateway_core::{Command, Heartbeat, InstanceId, Proposal};

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
