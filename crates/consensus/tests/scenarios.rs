//! Failures one by one, as they are named in the design notes.

use drumshore_consensus::{Change, ChangeError, LogIndex, ReplicaId, Role};
use drumshore_consensus_harness::scripts::{
    double_vote, lose_a_disk_and_return, lost_disk, old_term_is_counted,
};
use drumshore_consensus_harness::{Cluster, Violation};
use drumshore_guard::{set_removed, Guard};
use rstest::rstest;

#[test]
fn a_single_voter_leads_and_commits() {
    let mut cluster = Cluster::new(1, 1);
    let value = cluster.commit_one();
    assert!(cluster.acknowledged.contains(&value));
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_cannot_serve_reads() {
    let mut cluster = Cluster::new(3, 2);
    cluster.commit_one();
    let old = cluster.leader().unwrap();
    cluster.cut_off(old);
    cluster.read(old);
    let replaced = cluster.settle(200, |cluster| {
        cluster.leader().is_some_and(|leader| leader != old)
    });
    assert!(replaced);
    let new = cluster.leader().unwrap();
    let value = cluster.propose(new).unwrap();
    assert!(cluster.settle(200, |cluster| cluster.acknowledged.contains(&value)));
    assert_ne!(cluster.replica(old).raft().role(), Role::Leader);
    assert_eq!(cluster.heal_and_check(), Ok(()));
}

#[test]
fn a_replica_that_was_cut_off_disturbs_nothing_when_it_returns() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit_one();
    let leader = cluster.leader().unwrap();
    let term = cluster.replica(leader).raft().term();
    let other = (1..=3).find(|id| *id != leader).unwrap();
    cluster.cut_off(other);
    cluster.settle(300, |_| false);
    cluster.cut.clear();
    cluster.commit_one();
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replica(leader).raft().term(), term);
}

#[test]
fn leadership_is_handed_over_on_request() {
    let mut cluster = Cluster::new(3, 4);
    cluster.commit_one();
    let leader = cluster.leader().unwrap();
    let target = (1..=3).find(|id| *id != leader).unwrap();
    cluster
        .replica(leader)
        .raft_mut()
        .transfer_leadership(ReplicaId(target));
    cluster.flush(leader);
    assert!(cluster.settle(20, |cluster| cluster.leader() == Some(target)));
    cluster.commit_one();
}

#[test]
fn a_replica_far_behind_gets_a_snapshot_in_chunks() {
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
    cluster.start_as_founder(behind);
    assert!(cluster.settle(300, |cluster| cluster.is_everywhere(after)));
    assert_eq!(cluster.nodes[&behind].state, cluster.nodes[&leader].state);
    assert!(cluster.replica(behind).raft().snapshot_index() > LogIndex(0));
}

#[test]
fn all_restart_after_hundreds_of_changes() {
    let mut cluster = Cluster::new(3, 6);
    for _ in 0..500 {
        cluster.commit_one();
    }
    for id in 1..=3 {
        cluster.compact(id);
        cluster.crash(id);
    }
    (1..=3).for_each(|id| cluster.start_as_founder(id));
    assert_eq!(cluster.heal_and_check(), Ok(()));
    assert_eq!(cluster.acknowledged.len(), 501);
}

fn change(cluster: &mut Cluster, change: Change) -> Result<(), ChangeError> {
    for _ in 0..100 {
        let leader = cluster.settle_to_leader();
        let result = cluster.replica(leader).raft_mut().propose_change(change);
        cluster.flush(leader);
        cluster.settle(3, |_| false);
        match result {
            Err(ChangeError::Busy | ChangeError::NotLeader | ChangeError::NotCaughtUp(_)) => {}
            other => return other.map(|_| ()),
        }
    }
    panic!("{change:?} never goes through");
}

/// Replica 3 lost its disk and is replaced by 4; right after the repair 2 is lost too.
fn repair_then_lose_another(cluster: &mut Cluster) {
    cluster.commit_one();
    cluster.crash(3);
    cluster.commit_one();
    cluster.add_node(4);
    cluster.start_blank(4);
    change(cluster, Change::AddLearner(ReplicaId(4))).unwrap();
    change(cluster, Change::Promote(ReplicaId(4))).unwrap();
    change(cluster, Change::Remove(ReplicaId(3))).unwrap();
    cluster.nodes.remove(&3);
    cluster.commit_one();
    cluster.crash(2);
}

#[test]
fn a_second_machine_may_be_lost_right_after_the_repair_of_the_first() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 100 + seed);
        repair_then_lose_another(&mut cluster);
        cluster.commit_one();
        assert_eq!(cluster.violation, None, "seed {seed}");
        let acknowledged = cluster.acknowledged.clone();
        assert!(acknowledged
            .iter()
            .all(|value| cluster.is_everywhere(*value)));
    }
}

#[test]
fn a_learner_does_not_vote_before_it_has_caught_up() {
    let mut cluster = Cluster::new(3, 7);
    cluster.commit_one();
    cluster.add_node(4);
    change(&mut cluster, Change::AddLearner(ReplicaId(4))).unwrap();
    let leader = cluster.leader().unwrap();
    let refused = cluster
        .replica(leader)
        .raft_mut()
        .propose_change(Change::Promote(ReplicaId(4)));
    assert!(matches!(
        refused,
        Err(ChangeError::NotCaughtUp(_) | ChangeError::Busy)
    ));
    cluster.settle(20, |_| false);
    let refused = cluster
        .replica(leader)
        .raft_mut()
        .propose_change(Change::Promote(ReplicaId(4)));
    assert_eq!(refused, Err(ChangeError::NotCaughtUp(ReplicaId(4))));
}

#[test]
fn membership_changes_one_step_at_a_time() {
    let mut cluster = Cluster::new(3, 8);
    cluster.commit_one();
    cluster.settle(50, |_| false);
    let leader = cluster.settle_to_leader();
    let raft = cluster.replica(leader).raft_mut();
    raft.propose_change(Change::AddLearner(ReplicaId(4)))
        .unwrap();
    assert_eq!(
        raft.propose_change(Change::AddLearner(ReplicaId(5))),
        Err(ChangeError::Busy)
    );
}

#[test]
fn a_new_disk_under_an_old_number_elects_nobody() {
    let mut cluster = Cluster::new(3, 9);
    let lost = lose_a_disk_and_return(&mut cluster);
    assert_eq!(cluster.violation, None);
    let leader = cluster.settle_to_leader();
    let noticed: Vec<_> = cluster.replica(leader).raft().foreign_disks().collect();
    assert_eq!(noticed, [ReplicaId(lost)]);
    cluster.nodes.remove(&lost);
    cluster.commit_one();
    assert_eq!(cluster.violation, None);
}

/// A script finds nothing with every rule in place, and something with its rule taken out. A
/// replica that refuses an impossible state by a panic has noticed it too.
#[rstest]
#[case::new_disk_under_an_old_number(Guard::DiskIdentity, lost_disk)]
#[case::two_votes_in_one_term(Guard::VoteSynced, double_vote)]
#[case::older_term_committed_by_counting(Guard::CurrentTermCommit, old_term_is_counted)]
fn a_script_notices_its_rule_taken_out(
    #[case] guard: Guard,
    #[case] script: fn(u64) -> Result<(), Violation>,
) {
    for seed in 0..20 {
        assert_eq!(script(seed), Ok(()), "seed {seed}");
    }
    set_removed(Some(guard));
    let noticed = (0..20).any(|seed| {
        let outcome = std::panic::catch_unwind(|| script(seed));
        !matches!(outcome, Ok(Ok(())))
    });
    set_removed(None);
    assert!(noticed, "{} can be taken out unnoticed", guard.as_str());
}
