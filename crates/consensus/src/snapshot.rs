//! Snapshot transfer in chunks, for members whose next entry is no longer in the leader's log.

use crate::progress::ProgressState;
use crate::{Body, LogIndex, Membership, Raft, ReplicaId, Snapshot, Term};

/// A snapshot of which a prefix has been received.
#[derive(Clone, Debug)]
pub(crate) struct PartialSnapshot {
    index: LogIndex,
    term: Term,
    data: Vec<u8>,
}

impl Raft {
    pub(crate) fn send_snapshot_chunk(&mut self, to: ReplicaId) {
        let index = self.snapshot.index;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let offset = match progress.state {
            ProgressState::Snapshot {
                index: started,
                offset,
            } if started == index => offset,
            _ => 0,
        };
        progress.state = ProgressState::Snapshot { index, offset };
        progress.in_flight = 1;
        let start = (offset as usize).min(self.snapshot.data.len());
        let end = (start + self.params.chunk_bytes).min(self.snapshot.data.len());
        let body = Body::SnapshotChunk {
            index,
            index_term: self.snapshot.term,
            membership: self.snapshot.membership.clone(),
            total: self.snapshot.data.len() as u64,
            offset: start as u64,
            data: self.snapshot.data[start..end].to_vec(),
        };
        self.send(to, body);
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: ReplicaId, body: Body) {
        let Body::SnapshotChunk {
            index,
            index_term,
            membership,
            total,
            offset,
            data,
        } = body
        else {
            return;
        };
        self.follow(from);
        if index <= self.log.committed {
            let index = self.log.committed;
            self.send(from, Body::AppendReply { accepted: 1, index });
            return;
        }
        let received = self.add_chunk(index, index_term, offset, &data);
        if received < total {
            self.send(
                from,
                Body::SnapshotReply {
                    index,
                    offset: received,
                },
            );
            return;
        }
        self.install(index, index_term, membership);
        self.send(from, Body::AppendReply { accepted: 1, index });
    }

    pub(crate) fn on_snapshot_reply(&mut self, from: ReplicaId, index: LogIndex, offset: u64) {
        let now = self.ticks;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_response_tick = now;
        progress.stalled_ticks = 0;
        progress.in_flight = 0;
        if matches!(progress.state, ProgressState::Snapshot { index: started, .. } if started == index)
        {
            progress.state = ProgressState::Snapshot { index, offset };
        }
        self.replicate_to(from);
    }

    /// Appends a chunk if it starts where the received bytes end; other chunks are ignored. Returns
    /// the number of bytes received.
    fn add_chunk(&mut self, index: LogIndex, term: Term, offset: u64, data: &[u8]) -> u64 {
        let current = self
            .partial
            .take()
            .filter(|partial| partial.index == index && partial.term == term);
        let mut partial = current.unwrap_or(PartialSnapshot {
            index,
            term,
            data: Vec::new(),
        });
        if offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(data);
        }
        let received = partial.data.len() as u64;
        self.partial = Some(partial);
        received
    }

    fn install(&mut self, index: LogIndex, term: Term, membership: Membership) {
        let data = self
            .partial
            .take()
            .map_or_else(Vec::new, |partial| partial.data);
        self.log.reset(index, term);
        self.memberships = vec![(index, membership.clone())];
        self.snapshot = Snapshot {
            index,
            term,
            membership,
            data,
        };
        self.received_snapshot = Some(self.snapshot.clone());
    }
}
