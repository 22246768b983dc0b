//! Single failures of the protocol, step by step. Each script finds nothing while every rule
//! holds, and something when its rule is taken out.

use drumshore_consensus::{
    Body, DiskId, Entry, EntryKind, Envelope, HardState, LogIndex, Membership, Params, Raft,
    Recovered, ReplicaId, Role, Snapshot, Term,
};

use crate::{Cluster, Violation};

/// A replica comes back with an empty disk under its old number, see
/// [`lose_a_disk_and_return`].
pub fn lost_disk(seed: u64) -> Result<(), Violation> {
    let mut cluster = Cluster::new(3, seed);
    lose_a_disk_and_return(&mut cluster);
    cluster.violation.map_or(Ok(()), Err)
}

/// 3 votes for the first candidate of a term and loses power before anything else. Back again,
/// it is asked by another candidate of the same term.
pub fn double_vote(seed: u64) -> Result<(), Violation> {
    let mut cluster = Cluster::new(3, seed);
    cluster.settle_to_leader();
    cluster.commit_one();
    let leader = cluster.settle_to_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    let (second, voter) = (others[0], others[1]);
    // The old leader stands down; `second` waits outside while `leader` is elected anew.
    cluster.cut_off(second);
    cluster.crash(leader);
    cluster.start_as_founder(leader);
    cluster.settle(400, |cluster| cluster.leader() == Some(leader));
    cluster.network.clear();
    power_loss(&mut cluster, voter);
    cluster.start_as_founder(voter);
    cluster.cut.clear();
    cluster.cut_off(leader);
    cluster.settle(400, |cluster| cluster.leader() == Some(second));
    cluster.violation.map_or(Ok(()), Err)
}

/// Ends a process and loses everything that was not synced.
fn power_loss(cluster: &mut Cluster, id: u64) {
    if let Some(node) = cluster.nodes.get_mut(&id) {
        node.replica = None;
        node.disk.crash(0);
    }
}

/// 1 and 2 commit while 3 is cut off; then 2 loses its disk and comes back under its old number
/// while 1 is cut off. 2 and 3 together remember nothing of what was acknowledged. Returns the
/// number that lost its disk.
pub fn lose_a_disk_and_return(cluster: &mut Cluster) -> u64 {
    cluster.commit_one();
    cluster.settle(60, |_| false);
    let leader = cluster.settle_to_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.cut_off(others[1]);
    let value = cluster.propose(leader);
    let acknowledged =
        |cluster: &Cluster| value.is_some_and(|value| cluster.acknowledged.contains(&value));
    cluster.settle(50, acknowledged);
    cluster.crash(others[0]);
    cluster.nodes[&others[0]].disk.wipe();
    cluster.cut.clear();
    cluster.cut_off(leader);
    cluster.start_as_founder(others[0]);
    cluster.settle(300, |_| false);
    if let Some(new) = (1..=3).find(|id| *id != leader && cluster.leader() == Some(*id)) {
        cluster.propose(new);
        cluster.settle(50, |_| false);
    }
    cluster.cut.clear();
    cluster.settle(300, |_| false);
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

/// Figure 3.7 of the thesis: the leader of term 4 finds an entry of term 2 on a majority. It may
/// still be overwritten by one of term 3, so it must not be committed by counting.
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
