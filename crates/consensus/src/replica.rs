//! Drives [`Raft`] over a [`Wal`]: persist, then send replies, then apply.

use fail::fail_point;

use crate::{
    Directory, DiskId, Entry, Envelope, FolderIdentity, HardState, LogIndex, Membership, Params,
    Raft, ReadState, Snapshot, Wal, WalError,
};

/// An error after which a replica must not acknowledge anything; the process should exit.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The data folder cannot be read or written, or belongs to another replica.
    #[error(transparent)]
    Wal(#[from] WalError),
}

/// Results of a flush that the caller must apply.
#[derive(Debug, Default)]
pub struct Output {
    /// A snapshot that replaces the state machine before `committed` is applied.
    pub snapshot: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be served after `committed` is applied.
    pub reads: Vec<ReadState>,
}

/// One replica with its durable storage.
#[derive(Debug)]
pub struct Replica<D> {
    raft: Raft,
    wal: Wal<D>,
    initial_snapshot: Option<Snapshot>,
}

impl<D: Directory> Replica<D> {
    /// Opens a replica. A new folder starts with `first_membership`, the membership of a new
    /// cluster. If it is empty, the replica neither votes nor campaigns until a leader has added
    /// it; a replica that replaces one with a lost disk must start this way. `seed` determines the
    /// election timeouts and the disk identity of a new folder.
    pub fn open(
        directory: D,
        identity: &FolderIdentity,
        first_membership: Membership,
        params: Params,
        seed: u64,
    ) -> Result<Self, ReplicaError> {
        let new_disk = DiskId(seed.max(1));
        let (wal, recovered) = Wal::open(directory, identity, first_membership, new_disk)?;
        let initial_snapshot =
            (recovered.snapshot.index > LogIndex(0)).then(|| recovered.snapshot.clone());
        let raft = Raft::new(params, identity.replica, recovered, seed);
        Ok(Self {
            raft,
            wal,
            initial_snapshot,
        })
    }

    /// The Raft state machine.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The Raft state machine, for ticks, messages and proposals. The caller must then call
    /// [`Replica::flush`].
    pub fn raft_mut(&mut self) -> &mut Raft {
        &mut self.raft
    }

    /// Does all pending work: stores it with one sync for everything since the last flush (group
    /// commit), sends messages, and returns what to apply.
    pub fn flush(&mut self, send: &mut dyn FnMut(Envelope)) -> Result<Output, ReplicaError> {
        let mut output = Output {
            snapshot: self.initial_snapshot.take(),
            ..Output::default()
        };
        loop {
            let ready = self.raft.take_ready();
            if ready.is_empty() {
                return Ok(output);
            }
            ready.immediate_messages.into_iter().for_each(&mut *send);
            let last = ready.entries.last().map(|entry| entry.index);
            if let Some(snapshot) = ready.snapshot {
                let hard_state = self.hard_state();
                self.wal
                    .store_snapshot(&snapshot, hard_state, &ready.entries)?;
                output.committed.clear();
                output.snapshot = Some(snapshot);
            } else {
                self.wal.store(ready.hard_state, &ready.entries)?;
            }
            fail_point!("replica::after_store");
            if let Some(last) = last {
                self.raft.persisted(last);
            }
            ready.messages.into_iter().for_each(&mut *send);
            fail_point!("replica::after_send");
            output.committed.extend(ready.committed);
            output.reads.extend(ready.reads);
        }
    }

    /// Stores `data`, the encoded state machine at `index`, as a snapshot and drops the log up to
    /// there. No effect if `index` is not applied yet or already covered by a snapshot.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) -> Result<(), ReplicaError> {
        let Some(snapshot) = self.raft.compact(index, data) else {
            return Ok(());
        };
        fail_point!("replica::before_snapshot");
        let entries = self.raft.entries_after(index);
        self.wal
            .store_snapshot(&snapshot, self.hard_state(), &entries)?;
        fail_point!("replica::after_snapshot");
        Ok(())
    }

    fn hard_state(&self) -> HardState {
        self.raft.hard_state()
    }
}
