//! Linearizable reads, confirmed by a quorum (§6.4). A leader that is partitioned from the majority
//! cannot serve stale state because no majority replies to its heartbeats.

use std::collections::{BTreeSet, VecDeque};

use crate::{LogIndex, Membership, ReplicaId};

use super::quorum::is_quorum;

#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    /// The replica that requested the read: the leader itself or a follower.
    pub from: ReplicaId,
    pub context: u64,
    /// The commit position when the read arrived.
    pub index: LogIndex,
    round: u64,
    confirmed_by: BTreeSet<ReplicaId>,
}

/// Reads that wait for a quorum to confirm their heartbeat round.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    round: u64,
    pending: VecDeque<PendingRead>,
}

impl ReadQueue {
    /// Queues a read in a new round. The caller must send heartbeats with this round.
    pub fn push(&mut self, from: ReplicaId, context: u64, index: LogIndex) {
        self.round += 1;
        let confirmed_by = BTreeSet::new();
        self.pending.push_back(PendingRead {
            from,
            context,
            index,
            round: self.round,
            confirmed_by,
        });
    }

    /// The newest round; 0 when no read is pending.
    pub fn round(&self) -> u64 {
        if self.pending.is_empty() {
            return 0;
        }
        self.round
    }

    /// Records a replica's reply to a heartbeat of `round` and returns the reads that are now
    /// confirmed by a quorum.
    pub fn confirm(
        &mut self,
        from: ReplicaId,
        round: u64,
        membership: &Membership,
    ) -> Vec<PendingRead> {
        for read in self.pending.iter_mut().filter(|read| read.round <= round) {
            read.confirmed_by.insert(from);
        }
        let mut confirmed = Vec::new();
        while let Some(read) = self.pending.front() {
            if !is_quorum(membership, |id| read.confirmed_by.contains(&id)) {
                break;
            }
            confirmed.extend(self.pending.pop_front());
        }
        confirmed
    }

    /// Drops all pending reads; the requesters retry.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
