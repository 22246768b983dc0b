//! Scripts that each reproduce one failure of the protocol. A script reports no violation while all
//! guards are enforced, and one when the guard that prevents its failure is disabled.

use drumshore_consensus::{
    Body, DiskId, Entry, EntryKind, Envelope, HardState, LogIndex, Membership, Params, Raft,
    Recovered, ReplicaId, Role, Snapshot, Term,
};

use crate::{Cluster, Violation};

/// A replica returns with an empty disk under its old number; see [`restart_with_empty_disk`].
/// Detects a missing check of the disk identity.
pub fn lost_disk(seed: u64) -> Result<(), Violation> {
    let mut cluster = Cluster::new(3, seed);
    restart_with_empty_disk(&mut cluster);
    cluster.violation.map_or(Ok(()), Err)
}

/// A follower votes for the first candidate of a term and then loses power. After its restart a
/// second candidate of the same term requests its vote. Detects a vote that was sent before it was
/// synced.
pub fn double_vote(seed: u64) -> Result<(), Violation> {
    let mut cluster = Cluster::new(3, seed);
    cluster.run_until_leader();
    cluster.commit_one();
    let leader = cluster.run_until_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    let (second, voter) = (others[0], others[1]);
    // The old leader restarts as a follower; `second` is isolated while `leader` is elected again.
    cluster.isolate(second);
    cluster.crash(leader);
    cluster.start_as_initial_voter(leader);
    cluster.run_until(400, |cluster| cluster.leader() == Some(leader));
    cluster.network.clear();
    power_loss(&mut cluster, voter);
    cluster.start_as_initial_voter(voter);
    cluster.blocked_links.clear();
    cluster.isolate(leader);
    cluster.run_until(400, |cluster| cluster.leader() == Some(second));
    cluster.violation.map_or(Ok(()), Err)
}

/// Stops a replica and drops everything that it has not synced.
fn power_loss(cluster: &mut Cluster, id: u64) {
    if let Some(node) = cluster.nodes.get_mut(&id) {
        node.replica = None;
        node.disk.crash(0);
    }
}

/// The leader and one follower commit a command while the other follower is isolated. The first
/// follower then loses its disk and restarts under its old number while the leader is isolated, so
/// that neither running replica has the acknowledged command. Returns the number of the replica
/// that lost its disk.
pub fn restart_with_empty_disk(cluster: &mut Cluster) -> u64 {
    cluster.commit_one();
    cluster.run_until(60, |_| false);
    let leader = cluster.run_until_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.isolate(others[1]);
    let value = cluster.propose(leader);
    let acknowledged =
        |cluster: &Cluster| value.is_some_and(|value| cluster.acknowledged.contains(&value));
    cluster.run_until(50, acknowledged);
    cluster.crash(others[0]);
    cluster.nodes[&others[0]].disk.wipe();
    cluster.blocked_links.clear();
    cluster.isolate(leader);
    cluster.start_as_initial_voter(others[0]);
    cluster.run_until(300, |_| false);
    if let Some(new) = (1..=3).find(|id| *id != leader && cluster.leader() == Some(*id)) {
        cluster.propose(new);
        cluster.run_until(50, |_| false);
    }
    cluster.blocked_links.clear();
    cluster.run_until(300, |_| false);
    others[0]
}

fn entry(term: u64, index: u64) -> Entry {
    let kind = EntryKind::Command;
    Entry {
        term: Term(term),
        index: LogIndex(index),
        kind,
        data: 7u64.to_le_bytes().to_vec(),
    }
}

/// Figure 3.7 of the thesis: the leader of term 4 learns that a majority has stored an entry of
/// term 2. An entry of term 3 could still overwrite it, so it must not be committed by counting
/// replicas.
pub fn old_term_is_counted(seed: u64) -> Result<(), Violation> {
    let membership = Membership::of_voters([1, 2, 3, 4, 5].map(ReplicaId));
    let recovered = Recovered {
        disk: DiskId(1),
        hard_state: HardState {
            term: Term(3),
            vote: ReplicaId(0),
            commit: LogIndex(1),
        },
        snapshot: Snapshot {
            membership,
            ..Snapshot::default()
        },
        entries: vec![entry(1, 1), entry(2, 2)],
    };
    let mut raft = Raft::new(Params::default(), ReplicaId(1), recovered, seed);
    raft.campaign();
    let mut answer = |from: u64, term: u64, body: Body| {
        raft.step(Envelope {
            from: ReplicaId(from),
            disk: DiskId(from),
            to: ReplicaId(1),
            term: Term(term),
            body,
        });
    };
    let stored = Body::AppendReply {
        accepted: 1,
        index: LogIndex(2),
    };
    for body in [
        Body::PreVoteReply { granted: 1 },
        Body::VoteReply { granted: 1 },
        stored,
    ] {
        for from in [2, 3] {
            answer(from, 4, body.clone());
        }
    }
    let index = raft.committed();
    if raft.role() == Role::Leader && index == LogIndex(1) {
        return Ok(());
    }
    Err(Violation::CommittedByCounting { index })
}
