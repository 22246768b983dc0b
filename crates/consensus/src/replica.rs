//! Drives [`Raft`] over a [`Wal`] in the one safe order.

use fail::fail_point;

use crate::{
    Directory, DiskId, Entry, Envelope, FolderIdentity, HardState, LogIndex, Membership, Params,
    Raft, ReadState, Snapshot, Wal, WalError,
};

/// Why a replica stops. After it nothing may be acknowledged; the process should end.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The disk failed, is full, or holds something else.
    #[error(transparent)]
    Wal(#[from] WalError),
}

/// What came of a flush.
#[derive(Debug, Default)]
pub struct Output {
    /// A snapshot to install in place of the state machine, before `committed`.
    pub snapshot: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be served after that.
    pub reads: Vec<ReadState>,
}

/// One replica with its disk.
#[derive(Debug)]
pub struct Replica<D> {
    raft: Raft,
    wal: Wal<D>,
    start: Option<Snapshot>,
}

impl<D: Directory> Replica<D> {
    /// Opens a replica. In a new folder, `first_membership` is that of a new cluster; an empty
    /// one makes a replica that neither votes nor stands until a leader has added it, which is
    /// how one that lost its disk must come back. `seed` decides timeouts and a new folder's
    /// disk identity.
    pub fn open(
        directory: D,
        identity: &FolderIdentity,
        first_membership: Membership,
        params: Params,
        seed: u64,
    ) -> Result<Self, ReplicaError> {
        let new_disk = DiskId(seed.max(1));
        let (wal, recovered) = Wal::open(directory, identity, first_membership, new_disk)?;
        let start = (recovered.snapshot.index > LogIndex(0)).then(|| recovered.snapshot.clone());
        let raft = Raft::new(params, identity.replica, recovered, seed);
        Ok(Self { raft, wal, start })
    }

    /// The state machine.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The state machine, to be ticked, stepped and asked. [`Replica::flush`] must follow.
    pub fn raft_mut(&mut self) -> &mut Raft {
        &mut self.raft
    }

    /// Does all that is due: sends, stores, syncs once for everything that has gathered (group
    /// commit), and gives back what to apply.
    pub fn flush(&mut self, send: &mut dyn FnMut(Envelope)) -> Result<Output, ReplicaError> {
        let mut output = Output {
            snapshot: self.start.take(),
            ..Output::default()
        };
        loop {
            let ready = self.raft.take_ready();
            if ready.is_empty() {
                return Ok(output);
            }
            ready.eager.into_iter().for_each(&mut *send);
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

    /// Stores the state machine at `index` as `data` and drops the log up to there.
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
