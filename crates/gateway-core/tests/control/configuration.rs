//! Configurations, membership and leadership through failures and restarts.

use super::*;

#[test]
fn a_configuration_is_acknowledged_and_read_back_anywhere() {
    let mut cluster = cluster_with_leader(3);
    let accepted = cluster.configure(address(2), 7);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&accepted], Reply::Accepted);
    for number in 1..=3 {
        let read = cluster.read(address(number));
        cluster.run(SECOND);
        let expected = Reply::Configuration(Some(b"configuration 7".to_vec()));
        assert_eq!(cluster.replies[&read], expected);
    }
}

#[test]
fn the_highest_version_wins_and_an_older_one_is_acknowledged_without_effect() {
    let mut cluster = cluster_with_leader(3);
    for version in [5, 9, 6, 9] {
        let ticket = cluster.configure(address(1), version);
        cluster.run(SECOND);
        assert_eq!(cluster.replies[&ticket], Reply::Accepted);
    }
    assert_eq!(cluster.core(address(3)).state().configuration_version(), 9);
}

#[test]
fn an_isolated_machine_neither_acknowledges_changes_nor_answers_reads() {
    let mut cluster = cluster_with_leader(3);
    let old_leader = cluster.leader().unwrap();
    cluster.configure(old_leader, 1);
    cluster.cut.insert(old_leader);
    let change = cluster.configure(old_leader, 2);
    let read = cluster.read(old_leader);
    cluster.run(4 * SECOND);
    assert_eq!(cluster.replies[&change], Reply::Unavailable);
    assert_eq!(cluster.replies[&read], Reply::Unavailable);
    let new_leader = cluster.leader().unwrap();
    let change = cluster.configure(new_leader, 3);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&change], Reply::Accepted);
}

#[test]
fn acknowledged_changes_survive_a_power_loss_of_all_machines() {
    let mut cluster = cluster_with_leader(3);
    let change = cluster.configure(address(1), 4);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&change], Reply::Accepted);
    for number in 1..=3 {
        cluster.kill(address(number));
        cluster.machines[&address(number)].disk.crash(0);
    }
    for number in 1..=3 {
        cluster.start(address(number));
    }
    cluster.run(3 * SECOND);
    let read = cluster.read(address(2));
    cluster.run(SECOND);
    let expected = Reply::Configuration(Some(b"configuration 4".to_vec()));
    assert_eq!(cluster.replies[&read], expected);
}

#[test]
fn machines_that_are_not_seeds_join_and_vote() {
    let mut cluster = cluster_with_leader(3);
    cluster.join(address(4));
    cluster.join(address(5));
    cluster.run(5 * SECOND);
    // The loss of two machines is tolerated only if five vote.
    cluster.kill(address(1));
    cluster.kill(address(2));
    cluster.run(5 * SECOND);
    let change = cluster.configure(address(5), 2);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&change], Reply::Accepted);
}

#[test]
fn acknowledged_changes_survive_two_lost_disks() {
    let mut cluster = cluster_with_leader(3);
    cluster.join(address(4));
    cluster.join(address(5));
    cluster.run(5 * SECOND);
    let change = cluster.configure(address(1), 3);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&change], Reply::Accepted);
    cluster.wipe(address(1));
    cluster.wipe(address(4));
    cluster.run(8 * SECOND);
    // Machines that kept their disks can fail now: the others hold the acknowledged change.
    cluster.kill(address(2));
    cluster.kill(address(3));
    cluster.run(5 * SECOND);
    let read = cluster.read(address(1));
    cluster.run(SECOND);
    let expected = Reply::Configuration(Some(b"configuration 3".to_vec()));
    assert_eq!(cluster.replies[&read], expected);
}

/// Right after a change is acknowledged, all machines lose power and the largest tolerable number of disks, two of five,
/// is lost. The machines that keep their disks have synced the change, and are a majority.
#[rstest]
fn acknowledged_changes_survive_lost_disks_with_a_power_loss_of_all_machines(
    #[values((1, 2), (1, 3), (1, 4), (1, 5), (2, 3), (2, 4), (2, 5), (3, 4), (3, 5), (4, 5))] lost: (u8, u8),
) {
    let mut cluster = cluster_with_leader(3);
    cluster.join(address(4));
    cluster.join(address(5));
    cluster.run(5 * SECOND);
    let change = cluster.configure(address(1), 3);
    while !cluster.replies.contains_key(&change) {
        cluster.run(Duration::from_millis(1));
    }
    assert_eq!(cluster.replies[&change], Reply::Accepted);
    let kept: Vec<u8> = (1..=5)
        .filter(|number| ![lost.0, lost.1].contains(number))
        .collect();
    for number in 1..=5 {
        cluster.kill(address(number));
    }
    for number in &kept {
        cluster.machines[&address(*number)].disk.crash(0);
    }
    for number in [lost.0, lost.1] {
        cluster.wipe(address(number));
    }
    for number in &kept {
        cluster.start(address(*number));
    }
    cluster.run(8 * SECOND);
    for number in 1..=5 {
        let read = cluster.read(address(number));
        cluster.run(SECOND);
        let expected = Reply::Configuration(Some(b"configuration 3".to_vec()));
        assert_eq!(cluster.replies[&read], expected, "at machine {number}");
    }
}

#[test]
fn a_machine_at_a_new_address_replaces_a_failed_member() {
    let mut cluster = cluster_with_leader(3);
    cluster.join(address(4));
    cluster.join(address(5));
    cluster.run(5 * SECOND);
    cluster.kill(address(2));
    cluster.machines.remove(&address(2));
    cluster.join(address(6));
    cluster.run(12 * SECOND);
    assert!(!cluster.core(address(6)).controls().contains(&address(2)));
    cluster.kill(address(1));
    cluster.kill(address(3));
    cluster.run(5 * SECOND);
    let change = cluster.configure(address(6), 2);
    cluster.run(SECOND);
    assert_eq!(cluster.replies[&change], Reply::Accepted);
}

/// Voters that start together elect a leader within 250 ms, whichever of them starts late.
#[rstest]
#[case::all_at_once(0)]
#[case::the_first_voter_late(1)]
#[case::the_last_voter_late(5)]
fn a_leader_is_elected_soon_after_all_machines_restart(#[case] late: u8) {
    const SOON: Duration = Duration::from_millis(250);
    let mut cluster = cluster_with_leader(5);
    for _ in 0..4 {
        cluster.run(2 * SECOND);
        (1..=5).for_each(|number| cluster.kill(address(number)));
        cluster.run(SECOND);
        let in_time = (1..=5).filter(|number| *number != late);
        in_time.for_each(|number| cluster.start(address(number)));
        cluster.run(SOON);
        assert!(cluster.leader().is_some());
        if late != 0 {
            cluster.start(address(late));
        }
    }
}

#[test]
fn a_restarted_voter_does_not_depose_the_leader() {
    let mut cluster = cluster_with_leader(5);
    let leader = cluster.leader().unwrap();
    let term = cluster.core(leader).term();
    let other = (1..=5).map(address).find(|at| *at != leader).unwrap();
    cluster.kill(other);
    cluster.run(SECOND);
    cluster.start(other);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.core(leader).term(), term);
}
