//! Scripted failures of the replicated log, one per test.

use drumshore_consensus::{ChangeError, LogIndex, MembershipChange, ReplicaId, Role};
use drumshore_consensus_harness::scripts::{
    double_vote, lost_disk, old_term_is_counted, restart_with_empty_disk,
};
use drumshore_consensus_harness::{Cluster, Violation};
use drumshore_guard::{set_disabled, Guard};
use rstest::rstest;

#[test]
fn a_single_voter_leads_and_commits() {
    let mut cluster = Cluster::new(1, 1);
    let value = cluster.commit_one();
    assert!(cluster.acknowledged.contains(&value));
}

#[test]
fn isolated_leader_steps_down_and_confirms_no_stale_read() {
    let mut cluster = Cluster::new(3, 2);
    cluster.commit_one();
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    cluster.read(old);
    let replaced = cluster.run_until(200, |cluster| {
        cluster.leader().is_some_and(|leader| leader != old)
    });
    assert!(replaced);
    let new = cluster.leader().unwrap();
    let value = cluster.propose(new).unwrap();
    assert!(cluster.run_until(200, |cluster| cluster.acknowledged.contains(&value)));
    assert_ne!(cluster.replica(old).raft().role(), Role::Leader);
    assert_eq!(cluster.heal_and_check(), Ok(()));
}

#[test]
fn reconnected_replica_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit_one();
    let leader = cluster.leader().unwrap();
    let term = cluster.replica(leader).raft().term();
    let other = (1..=3).find(|id| *id != leader).unwrap();
    cluster.isolate(other);
    cluster.run_until(300, |_| false);
    cluster.blocked_links.clear();
    cluster.commit_one();
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replica(leader).raft().term(), term);
}

#[test]
fn leadership_transfers_on_request() {
    let mut cluster = Cluster::new(3, 4);
    cluster.commit_one();
    let leader = cluster.leader().unwrap();
    let target = (1..=3).find(|id| *id != leader).unwrap();
    cluster
        .replica(leader)
        .raft_mut()
        .transfer_leadership(ReplicaId(target));
    cluster.flush(leader);
    assert!(cluster.run_until(20, |cluster| cluster.leader() == Some(target)));
    cluster.commit_one();
}

#[test]
fn lagging_replica_receives_a_snapshot_in_chunks() {
    let mut cluster = Cluster::new(3, 5);
    cluster.commit_one();
    let leader = cluster.leader().unwrap();
    let behind = (1..=3).find(|id| *id != leader).unwrap();
    cluster.crash(behind);
    for _ in 0..40 {
        cluster.commit_one();
    }
    let leader = cluster.leader().unwrap();
    cluster.compact(leader);
    let after = cluster.commit_one();
    cluster.start_as_initial_voter(behind);
    assert!(cluster.run_until(300, |cluster| cluster.is_applied_everywhere(after)));
    assert_eq!(cluster.nodes[&behind].state, cluster.nodes[&leader].state);
    assert!(cluster.replica(behind).raft().snapshot_index() > LogIndex(0));
}

#[test]
fn acknowledged_commands_survive_a_restart_of_all_replicas() {
    let mut cluster = Cluster::new(3, 6);
    for _ in 0..500 {
        cluster.commit_one();
    }
    for id in 1..=3 {
        cluster.compact(id);
        cluster.crash(id);
    }
    (1..=3).for_each(|id| cluster.start_as_initial_voter(id));
    assert_eq!(cluster.heal_and_check(), Ok(()));
    assert_eq!(cluster.acknowledged.len(), 501);
}

fn change(cluster: &mut Cluster, change: MembershipChange) -> Result<(), ChangeError> {
    for _ in 0..100 {
        let leader = cluster.run_until_leader();
        let result = cluster.replica(leader).raft_mut().propose_change(change);
        cluster.flush(leader);
        cluster.run_until(3, |_| false);
        match result {
            Err(ChangeError::Busy | ChangeError::NotLeader | ChangeError::NotCaughtUp(_)) => {}
            other => return other.map(|_| ()),
        }
    }
    panic!("{change:?} is still refused after 100 attempts");
}

/// Replaces replica 3, whose disk is lost, by replica 4. Crashes replica 2 right after the change
/// is committed, so that replicas 1 and 4 must hold all acknowledged commands.
fn replace_a_replica_then_lose_another(cluster: &mut Cluster) {
    cluster.commit_one();
    cluster.crash(3);
    cluster.commit_one();
    cluster.add_node(4);
    cluster.start_without_membership(4);
    change(cluster, MembershipChange::AddLearner(ReplicaId(4))).unwrap();
    change(cluster, MembershipChange::Promote(ReplicaId(4))).unwrap();
    change(cluster, MembershipChange::Remove(ReplicaId(3))).unwrap();
    cluster.nodes.remove(&3);
    cluster.commit_one();
    cluster.crash(2);
}

#[test]
fn loss_of_a_second_replica_after_replacing_the_first_loses_nothing() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 100 + seed);
        replace_a_replica_then_lose_another(&mut cluster);
        cluster.commit_one();
        assert_eq!(cluster.violation, None, "seed {seed}");
        let acknowledged = cluster.acknowledged.clone();
        assert!(acknowledged
            .iter()
            .all(|value| cluster.is_applied_everywhere(*value)));
    }
}

#[test]
fn lagging_learner_cannot_be_promoted() {
    let mut cluster = Cluster::new(3, 7);
    cluster.commit_one();
    cluster.add_node(4);
    change(&mut cluster, MembershipChange::AddLearner(ReplicaId(4))).unwrap();
    let leader = cluster.leader().unwrap();
    let refused = cluster
        .replica(leader)
        .raft_mut()
        .propose_change(MembershipChange::Promote(ReplicaId(4)));
    assert!(matches!(
        refused,
        Err(ChangeError::NotCaughtUp(_) | ChangeError::Busy)
    ));
    cluster.run_until(20, |_| false);
    let refused = cluster
        .replica(leader)
        .raft_mut()
        .propose_change(MembershipChange::Promote(ReplicaId(4)));
    assert_eq!(refused, Err(ChangeError::NotCaughtUp(ReplicaId(4))));
}

#[test]
fn a_membership_change_is_refused_while_another_is_pending() {
    let mut cluster = Cluster::new(3, 8);
    cluster.commit_one();
    cluster.run_until(50, |_| false);
    let leader = cluster.run_until_leader();
    let raft = cluster.replica(leader).raft_mut();
    raft.propose_change(MembershipChange::AddLearner(ReplicaId(4)))
        .unwrap();
    assert_eq!(
        raft.propose_change(MembershipChange::AddLearner(ReplicaId(5))),
        Err(ChangeError::Busy)
    );
}

#[test]
fn a_replica_with_a_replaced_disk_cannot_vote() {
    let mut cluster = Cluster::new(3, 9);
    let lost = restart_with_empty_disk(&mut cluster);
    assert_eq!(cluster.violation, None);
    let leader = cluster.run_until_leader();
    let detected: Vec<_> = cluster.replica(leader).raft().foreign_disks().collect();
    assert_eq!(detected, [ReplicaId(lost)]);
    cluster.nodes.remove(&lost);
    cluster.commit_one();
    assert_eq!(cluster.violation, None);
}

/// Each script reports no violation while all guards are enforced and one when its guard is
/// disabled. A panic on an inconsistent state also counts as a detection.
#[rstest]
#[case::new_disk_under_an_old_number(Guard::DiskIdentity, lost_disk)]
#[case::two_votes_in_one_term(Guard::VoteSynced, double_vote)]
#[case::older_term_committed_by_counting(Guard::CurrentTermCommit, old_term_is_counted)]
fn each_script_detects_its_disabled_guard(
    #[case] guard: Guard,
    #[case] script: fn(u64) -> Result<(), Violation>,
) {
    for seed in 0..20 {
        assert_eq!(script(seed), Ok(()), "seed {seed}");
    }
    set_disabled(Some(guard));
    let detected = (0..20).any(|seed| {
        let outcome = std::panic::catch_unwind(|| script(seed));
        !matches!(outcome, Ok(Ok(())))
    });
    set_disabled(None);
    assert!(
        detected,
        "the script does not detect that {} is disabled",
        guard.as_str()
    );
}
