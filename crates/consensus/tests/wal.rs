//! Recovery of data folders, in memory and on disk: torn writes, flipped bits, folders of another
//! owner and full disks.

use drumshore_consensus::{
    Directory, DiskId, Entry, EntryKind, FileDirectory, FolderIdentity, HardState, LogIndex,
    Membership, MemoryDirectory, Recovered, ReplicaId, Snapshot, Term, Wal, WalError,
};
use proptest::prelude::*;

fn identity(cluster: &str, replica: u64) -> FolderIdentity {
    FolderIdentity {
        cluster: cluster.to_owned(),
        replica: ReplicaId(replica),
    }
}

fn open<D: Directory>(directory: D) -> Result<(Wal<D>, Recovered), WalError> {
    let membership = Membership::of_voters([ReplicaId(1)]);
    Wal::open(directory, &identity("c", 1), membership, DiskId(5))
}

fn entry(index: u64) -> Entry {
    let data = vec![index as u8; 20];
    Entry {
        term: Term(1),
        index: LogIndex(index),
        kind: EntryKind::Command,
        data,
    }
}

fn hard_state_at(term: u64) -> HardState {
    HardState {
        term: Term(term),
        vote: ReplicaId(1),
        commit: LogIndex(0),
    }
}

fn store<D: Directory>(wal: &mut Wal<D>, count: u64) {
    for index in 1..=count {
        wal.store(Some(hard_state_at(index)), &[entry(index)])
            .unwrap();
    }
}

fn indexes(recovered: &Recovered) -> Vec<u64> {
    recovered
        .entries
        .iter()
        .map(|entry| entry.index.0)
        .collect()
}

#[test]
fn stored_records_are_recovered_from_disk() {
    let folder = tempfile::tempdir().unwrap();
    let (mut wal, recovered) = open(FileDirectory::open(folder.path()).unwrap()).unwrap();
    assert_eq!(recovered.snapshot.membership.members().len(), 1);
    store(&mut wal, 5);
    drop(wal);
    let (_, recovered) = open(FileDirectory::open(folder.path()).unwrap()).unwrap();
    assert_eq!(indexes(&recovered), [1, 2, 3, 4, 5]);
    assert_eq!(recovered.hard_state, hard_state_at(5));
    assert_eq!(recovered.disk, DiskId(5));
}

#[test]
fn a_later_entry_replaces_those_from_its_position_on() {
    let disk = MemoryDirectory::new();
    let (mut wal, _) = open(disk.clone()).unwrap();
    store(&mut wal, 5);
    wal.store(None, &[entry(3)]).unwrap();
    assert_eq!(indexes(&open(disk).unwrap().1), [1, 2, 3]);
}

#[test]
fn a_torn_tail_is_cut_off_and_the_rest_is_kept() {
    for torn in 0..40 {
        let disk = MemoryDirectory::new();
        let (mut wal, _) = open(disk.clone()).unwrap();
        store(&mut wal, 3);
        let mut unsynced = disk.clone();
        let whole = disk.read("log").unwrap().unwrap();
        unsynced.append("log", &whole[..60]).unwrap();
        disk.crash(torn);
        let (_, recovered) = open(disk.clone()).unwrap();
        assert!(indexes(&recovered).starts_with(&[1, 2, 3]) || indexes(&recovered) == [1]);
        assert_eq!(indexes(&open(disk).unwrap().1), indexes(&recovered));
    }
}

#[test]
fn a_tail_of_zeros_counts_as_torn() {
    let disk = MemoryDirectory::new();
    let (mut wal, _) = open(disk.clone()).unwrap();
    store(&mut wal, 3);
    let mut tail = disk.clone();
    let whole = disk.read("log").unwrap().unwrap();
    tail.append("log", &whole[..12]).unwrap();
    tail.append("log", &[0; 100]).unwrap();
    assert_eq!(indexes(&open(disk).unwrap().1), [1, 2, 3]);
}

#[test]
fn a_snapshot_replaces_the_entries_before_it() {
    let disk = MemoryDirectory::new();
    let (mut wal, recovered) = open(disk.clone()).unwrap();
    store(&mut wal, 5);
    let membership = recovered.snapshot.membership;
    let snapshot = Snapshot {
        index: LogIndex(4),
        term: Term(1),
        membership,
        data: b"state".to_vec(),
    };
    wal.store_snapshot(&snapshot, hard_state_at(5), &[entry(5)])
        .unwrap();
    let (_, recovered) = open(disk).unwrap();
    assert_eq!(recovered.snapshot, snapshot);
    assert_eq!(indexes(&recovered), [5]);
}

#[test]
fn a_folder_of_another_replica_is_refused() {
    let disk = MemoryDirectory::new();
    open(disk.clone()).unwrap();
    for other in [identity("other", 1), identity("c", 2)] {
        let result = Wal::open(disk.clone(), &other, Membership::default(), DiskId(9));
        assert!(matches!(result, Err(WalError::OwnerMismatch { .. })));
    }
}

#[test]
fn a_full_disk_is_reported_as_an_error() {
    let disk = MemoryDirectory::new();
    let (mut wal, _) = open(disk.clone()).unwrap();
    disk.set_failing(true);
    assert!(matches!(wal.store(None, &[entry(1)]), Err(WalError::Io(_))));
}

proptest! {
    #[test]
    fn any_flipped_bit_in_the_log_is_refused(from_end in 0usize..330) {
        let disk = MemoryDirectory::new();
        let (mut wal, _) = open(disk.clone()).unwrap();
        store(&mut wal, 5);
        disk.flip_bit("log", from_end);
        let refused = matches!(open(disk), Err(WalError::Damaged { .. }));
        prop_assert!(refused);
    }
}
