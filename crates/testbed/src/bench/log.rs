//! Measures commits of the replicated log against raw syncs of the same disk.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use drumshore_consensus::{
    FileDirectory, FolderIdentity, LogIndex, Membership, Params, Replica, ReplicaError, ReplicaId,
    Role,
};
use serde::Serialize;

use crate::load::{histogram, Percentiles};

const ENTRY_BYTES: usize = 256;
const REPLICAS: u64 = 3;

/// Numbers of proposals that share one sync.
const BATCHES: [usize; 3] = [1, 16, 256];

/// Measurements for one batch size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CommitReport {
    /// Number of proposals per commit.
    pub(super) batch: usize,
    /// Committed entries per second.
    pub(super) commits_per_second: f64,
    /// Ratio of committed entries to raw disk syncs, measured in the same run.
    pub(super) ratio_to_syncs: f64,
    /// Time from proposal to commit.
    pub(super) commit_ms: Percentiles,
}

/// Results of the log benchmark.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LogReport {
    /// Appends of 256 bytes per second, each with a sync.
    pub(super) syncs_per_second: f64,
    /// Commits of three replicas, which sync one after the other on one disk and one thread.
    pub(super) commits: Vec<CommitReport>,
    /// Number of log entries and the time to open a replica with them, in milliseconds.
    pub(super) recovery_ms: Vec<(u64, f64)>,
}

/// Why the benchmark failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    /// A disk operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A replica reported an error.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// No replica became leader within 1,000 ticks.
    #[error("no replica was elected leader")]
    NoLeader,
}

pub(super) fn measure(folder: &Path, seconds: Duration) -> Result<LogReport, LogError> {
    let syncs_per_second = raw_syncs(folder, seconds)?;
    let mut commits = Vec::new();
    for batch in BATCHES {
        let batch_folder = folder.join(format!("batch-{batch}"));
        let report = commit_batches(&batch_folder, batch, seconds, syncs_per_second)?;
        commits.push(report);
    }
    let recovery_ms = [500, 100_000]
        .into_iter()
        .map(|entries| Ok((entries, recover(folder, entries)?)))
        .collect::<Result<Vec<_>, LogError>>()?;
    Ok(LogReport {
        syncs_per_second,
        commits,
        recovery_ms,
    })
}

fn raw_syncs(folder: &Path, seconds: Duration) -> Result<f64, LogError> {
    let path = folder.join("raw");
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    let (started, mut count) = (Instant::now(), 0_u64);
    while started.elapsed() < seconds {
        file.write_all(&[7; ENTRY_BYTES])?;
        file.sync_data()?;
        count += 1;
    }
    Ok(count as f64 / started.elapsed().as_secs_f64())
}

struct Cluster {
    replicas: Vec<Replica<FileDirectory>>,
    messages: Vec<drumshore_consensus::Envelope>,
    leader: usize,
}

impl Cluster {
    fn open(folder: &Path, count: u64) -> Result<Self, LogError> {
        let ids: Vec<ReplicaId> = (1..=count).map(ReplicaId).collect();
        let mut replicas = Vec::new();
        for id in &ids {
            let identity = FolderIdentity {
                cluster: "bench".to_owned(),
                replica: *id,
            };
            let directory = FileDirectory::open(folder.join(id.to_string()))?;
            let membership = Membership::of_voters(ids.clone());
            let replica = Replica::open(directory, &identity, membership, Params::default(), id.0)?;
            replicas.push(replica);
        }
        let mut cluster = Self {
            replicas,
            messages: Vec::new(),
            leader: 0,
        };
        cluster.elect()?;
        Ok(cluster)
    }

    fn elect(&mut self) -> Result<(), LogError> {
        const TICKS: usize = 1_000;
        for _ in 0..TICKS {
            for replica in &mut self.replicas {
                replica.raft_mut().tick();
            }
            self.exchange()?;
            let leads = |replica: &Replica<_>| replica.raft().role() == Role::Leader;
            if let Some(leader) = self.replicas.iter().position(leads) {
                self.leader = leader;
                return Ok(());
            }
        }
        Err(LogError::NoLeader)
    }

    /// Flushes all replicas and delivers their messages until none are left.
    fn exchange(&mut self) -> Result<(), LogError> {
        loop {
            for replica in &mut self.replicas {
                let messages = &mut self.messages;
                replica.flush(&mut |message| messages.push(message))?;
            }
            if self.messages.is_empty() {
                return Ok(());
            }
            for message in std::mem::take(&mut self.messages) {
                let to = message.to.0 as usize - 1;
                self.replicas[to].raft_mut().step(message);
            }
        }
    }

    fn commit(&mut self, count: usize) -> Result<LogIndex, LogError> {
        let leader = &mut self.replicas[self.leader];
        for _ in 0..count {
            // A leader that has lost its role rejects the proposal, and the commit index then
            // does not advance.
            let _ = leader.raft_mut().propose(vec![7; ENTRY_BYTES]);
        }
        self.exchange()?;
        Ok(self.replicas[self.leader].raft().committed())
    }
}

fn commit_batches(
    folder: &Path,
    batch: usize,
    seconds: Duration,
    syncs_per_second: f64,
) -> Result<CommitReport, LogError> {
    let mut cluster = Cluster::open(folder, REPLICAS)?;
    let first = cluster.commit(1)?;
    let mut latencies = histogram();
    let started = Instant::now();
    let mut last = first;
    while started.elapsed() < seconds {
        let at = Instant::now();
        last = cluster.commit(batch)?;
        latencies.saturating_record((at.elapsed().as_micros() as u64).max(1));
    }
    let commits = (last.0 - first.0) as f64 / started.elapsed().as_secs_f64();
    Ok(CommitReport {
        batch,
        commits_per_second: commits,
        ratio_to_syncs: commits / syncs_per_second,
        commit_ms: Percentiles::of(&latencies),
    })
}

/// Writes a log of `entries` entries and returns the time to open it again, in milliseconds.
fn recover(folder: &Path, entries: u64) -> Result<f64, LogError> {
    const PROPOSALS_PER_COMMIT: usize = 500;
    let folder = folder.join(format!("recover-{entries}"));
    let mut cluster = Cluster::open(&folder, 1)?;
    for _ in 0..entries / PROPOSALS_PER_COMMIT as u64 {
        cluster.commit(PROPOSALS_PER_COMMIT)?;
    }
    drop(cluster);
    let identity = FolderIdentity {
        cluster: "bench".to_owned(),
        replica: ReplicaId(1),
    };
    let started = Instant::now();
    let directory = FileDirectory::open(folder.join("1"))?;
    let membership = Membership::default();
    let mut replica = Replica::open(directory, &identity, membership, Params::default(), 1)?;
    replica.flush(&mut |_| {})?;
    Ok(started.elapsed().as_secs_f64() * 1_000.0)
}
