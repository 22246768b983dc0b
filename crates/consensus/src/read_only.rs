//! Reads that a quorum confirms (§6.4): a leader that was cut off cannot serve an old view,
//! because no majority answers its heartbeat any more.

use std::collections::{BTreeSet, VecDeque};

use crate::{LogIndex, Membership, ReplicaId};

use super::quorum::is_quorum;

#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    /// Who asked: this replica or a follower.
    pub from: ReplicaId,
    pub context: u64,
    /// The commit when the read arrived.
    pub index: LogIndex,
    round: u64,
    confirmed_by: BTreeSet<ReplicaId>,
}

/// Reads that wait for their round to be confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    round: u64,
    pending: VecDeque<PendingRead>,
}

impl ReadQueue {
    /// Queues a read in a new round, which the next heartbeats must carry.
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

    /// The newest round that waits; 0 when none does.
    pub fn round(&self) -> u64 {
        if self.pending.is_empty() {
            return 0;
        }
        self.round
    }

    /// A replica answered a heartbeat of `round`; returns the reads that this confirms.
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

    /// Forgets all reads; those who asked will ask again.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
