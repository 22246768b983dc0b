//! The write-ahead log and the snapshot file.
//!
//! A record consists of its length, a checksum of the length, a checksum of the payload, the
//! payload and an end mark. An incomplete record at the end of the file is a torn write that was
//! never acknowledged; it is truncated. A complete record with a wrong checksum may have been
//! acknowledged; the folder is refused and the replica must rejoin under a new number. The length
//! has its own checksum because a flipped bit in it must not look like a torn write.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_guard::{enforced, Guard};

use crate::{Directory, DiskId, Entry, HardState, LogIndex, Membership, ReplicaId, Snapshot, Term};

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const FORMAT_VERSION: u16 = 1;
const RECORD_HEADER_BYTES: usize = 12;
const END_MARK: u8 = 0xA5;

/// The owner of a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderIdentity {
    /// The name of the cluster.
    pub cluster: String,
    /// The number of the replica.
    pub replica: ReplicaId,
}

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The disk failed or is full. The replica must not acknowledge anything after this error.
    #[error("data folder failed: {0}")]
    Io(#[from] std::io::Error),
    /// A record that may have been acknowledged is corrupt.
    #[error("{file} is damaged at byte {offset}; bring the replica back under a new number")]
    Damaged {
        /// The name of the file.
        file: &'static str,
        /// The offset of the record in the file.
        offset: usize,
    },
    /// The folder belongs to another cluster or replica.
    #[error("data folder belongs to cluster {found_cluster:?} replica {found_replica}")]
    OwnerMismatch {
        /// The cluster that the folder belongs to.
        found_cluster: String,
        /// The replica that the folder belongs to.
        found_replica: ReplicaId,
    },
    /// The folder has a format version that this build does not support.
    #[error("data folder has format {0}, this version reads {FORMAT_VERSION}")]
    UnsupportedFormat(u16),
}

/// The state read from a data folder.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The disk identity stored in the folder.
    pub disk: DiskId,
    /// The last stored term, vote and commit position.
    pub hard_state: HardState,
    /// The latest snapshot. Its membership is empty for a new replica that a leader has yet to add.
    pub snapshot: Snapshot,
    /// The stored entries after the snapshot.
    pub entries: Vec<Entry>,
}

#[binrw]
#[brw(little, magic = b"DSHI")]
struct IdentityRecord {
    format: u16,
    replica: ReplicaId,
    disk: DiskId,
    #[br(temp)]
    #[bw(try_calc = u16::try_from(cluster.len()))]
    length: u16,
    #[br(count = length)]
    cluster: Vec<u8>,
}

#[binrw]
#[brw(little)]
struct SnapshotRecord {
    index: LogIndex,
    term: Term,
    membership: Membership,
    #[br(temp)]
    #[bw(try_calc = u32::try_from(data.len()))]
    length: u32,
    #[br(count = length)]
    data: Vec<u8>,
}

#[binrw]
#[brw(little)]
enum LogRecord {
    #[brw(magic(1u8))]
    HardState(HardState),
    #[brw(magic(2u8))]
    Entry(Entry),
}

/// The durable storage of one replica: identity, snapshot and log files.
#[derive(Debug)]
pub struct Wal<D> {
    directory: D,
}

impl<D: Directory> Wal<D> {
    /// Opens a data folder and recovers its state. A new folder gets the disk identity `new_disk`
    /// and an empty snapshot with `first_membership`.
    pub fn open(
        mut directory: D,
        identity: &FolderIdentity,
        first_membership: Membership,
        new_disk: DiskId,
    ) -> Result<(Self, Recovered), WalError> {
        let disk = match directory.read(IDENTITY_FILE)? {
            Some(bytes) => check_identity(&bytes, identity)?,
            None => {
                create_folder(&mut directory, identity, first_membership, new_disk)?;
                new_disk
            }
        };
        let snapshot = read_snapshot(&directory)?;
        let (hard_state, entries) = read_log(&mut directory, &snapshot)?;
        let recovered = Recovered {
            disk,
            hard_state,
            snapshot,
            entries,
        };
        Ok((Self { directory }, recovered))
    }

    /// Appends entries and the hard state to the log file; they are durable when this returns.
    pub fn store(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        for entry in entries {
            push_record(&mut bytes, &LogRecord::Entry(entry.clone()));
        }
        if let Some(hard_state) = hard_state {
            push_record(&mut bytes, &LogRecord::HardState(hard_state));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.directory.append(LOG_FILE, &bytes)?;
        let guard = if entries.is_empty() {
            Guard::VoteSynced
        } else {
            Guard::EntriesSynced
        };
        if enforced(guard) {
            self.directory.sync(LOG_FILE)?;
        }
        Ok(())
    }

    /// Replaces the snapshot and the log. The new log holds only `hard_state` and `entries_after`.
    pub fn store_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        entries_after: &[Entry],
    ) -> Result<(), WalError> {
        write_snapshot(&mut self.directory, snapshot)?;
        let mut bytes = Vec::new();
        push_record(&mut bytes, &LogRecord::HardState(hard_state));
        for entry in entries_after {
            push_record(&mut bytes, &LogRecord::Entry(entry.clone()));
        }
        self.directory.replace(LOG_FILE, &bytes)?;
        Ok(())
    }
}

fn create_folder(
    directory: &mut impl Directory,
    identity: &FolderIdentity,
    membership: Membership,
    disk: DiskId,
) -> Result<(), WalError> {
    let snapshot = Snapshot {
        membership,
        ..Snapshot::default()
    };
    write_snapshot(directory, &snapshot)?;
    let record = IdentityRecord {
        format: FORMAT_VERSION,
        replica: identity.replica,
        disk,
        cluster: identity.cluster.clone().into_bytes(),
    };
    // Written last, so that a folder without an identity file has never been used.
    directory.replace(IDENTITY_FILE, &encode(&record))?;
    Ok(())
}

fn check_identity(bytes: &[u8], expected: &FolderIdentity) -> Result<DiskId, WalError> {
    let damaged = WalError::Damaged {
        file: IDENTITY_FILE,
        offset: 0,
    };
    let record = IdentityRecord::read(&mut Cursor::new(bytes)).map_err(|_| damaged)?;
    if record.format != FORMAT_VERSION {
        return Err(WalError::UnsupportedFormat(record.format));
    }
    let found_cluster = String::from_utf8_lossy(&record.cluster).into_owned();
    if found_cluster != expected.cluster || record.replica != expected.replica {
        return Err(WalError::OwnerMismatch {
            found_cluster,
            found_replica: record.replica,
        });
    }
    Ok(record.disk)
}

fn write_snapshot(directory: &mut impl Directory, snapshot: &Snapshot) -> Result<(), WalError> {
    let record = SnapshotRecord {
        index: snapshot.index,
        term: snapshot.term,
        membership: snapshot.membership.clone(),
        data: snapshot.data.clone(),
    };
    let mut bytes = Vec::new();
    push_record(&mut bytes, &record);
    directory.replace(SNAPSHOT_FILE, &bytes)?;
    Ok(())
}

fn read_snapshot(directory: &impl Directory) -> Result<Snapshot, WalError> {
    let bytes = directory.read(SNAPSHOT_FILE)?.unwrap_or_default();
    let damaged = || WalError::Damaged {
        file: SNAPSHOT_FILE,
        offset: 0,
    };
    let ParsedRecord::Complete { payload, .. } = parse_record(&bytes, 0) else {
        return Err(damaged());
    };
    let record = SnapshotRecord::read(&mut Cursor::new(payload)).map_err(|_| damaged())?;
    Ok(Snapshot {
        index: record.index,
        term: record.term,
        membership: record.membership,
        data: record.data,
    })
}

fn read_log(
    directory: &mut impl Directory,
    snapshot: &Snapshot,
) -> Result<(HardState, Vec<Entry>), WalError> {
    let bytes = directory.read(LOG_FILE)?.unwrap_or_default();
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    let mut offset = 0;
    loop {
        match parse_record(&bytes, offset) {
            ParsedRecord::End => break,
            ParsedRecord::Torn => {
                directory.replace(LOG_FILE, &bytes[..offset])?;
                break;
            }
            ParsedRecord::Damaged => {
                return Err(WalError::Damaged {
                    file: LOG_FILE,
                    offset,
                })
            }
            ParsedRecord::Complete { payload, next } => {
                let record =
                    LogRecord::read(&mut Cursor::new(payload)).map_err(|_| WalError::Damaged {
                        file: LOG_FILE,
                        offset,
                    })?;
                match record {
                    LogRecord::HardState(read) => hard_state = read,
                    LogRecord::Entry(entry) => push_entry(&mut entries, entry),
                }
                offset = next;
            }
        }
    }
    Ok((hard_state, entries_after_snapshot(entries, snapshot)))
}

/// Appends an entry. A later record at a stored position replaces that entry and all after it.
fn push_entry(entries: &mut Vec<Entry>, entry: Entry) {
    let keep = entries.partition_point(|existing| existing.index < entry.index);
    entries.truncate(keep);
    entries.push(entry);
}

/// Returns the entries after the snapshot if they are contiguous with it and their log has the same
/// term at its position. A crash after the snapshot was replaced and before the log was leaves a
/// log that may not match.
fn entries_after_snapshot(mut entries: Vec<Entry>, snapshot: &Snapshot) -> Vec<Entry> {
    let at_snapshot = entries.iter().find(|entry| entry.index == snapshot.index);
    if at_snapshot.is_some_and(|entry| entry.term != snapshot.term) {
        return Vec::new();
    }
    entries.retain(|entry| entry.index > snapshot.index);
    let follows = entries
        .first()
        .is_none_or(|entry| entry.index == snapshot.index.next());
    if follows {
        entries
    } else {
        Vec::new()
    }
}

enum ParsedRecord<'a> {
    End,
    Torn,
    Damaged,
    Complete { payload: &'a [u8], next: usize },
}

fn parse_record(bytes: &[u8], offset: usize) -> ParsedRecord<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return ParsedRecord::End;
    }
    if rest.len() < RECORD_HEADER_BYTES {
        return ParsedRecord::Torn;
    }
    let length = read_u32(rest, 0);
    if crc32fast::hash(&rest[..4]) != read_u32(rest, 4) {
        return classify_tail(rest);
    }
    let end = RECORD_HEADER_BYTES + length as usize;
    if rest.len() <= end {
        return ParsedRecord::Torn;
    }
    let payload = &rest[RECORD_HEADER_BYTES..end];
    let whole = rest[end] == END_MARK && crc32fast::hash(payload) == read_u32(rest, 8);
    if whole {
        return ParsedRecord::Complete {
            payload,
            next: offset + end + 1,
        };
    }
    classify_tail(&rest[end..])
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(word)
}

/// Classifies a tail that fails its checks. If it is all zeros, the file was extended but the data
/// was never written, which is a torn write.
fn classify_tail(tail: &[u8]) -> ParsedRecord<'_> {
    if tail.iter().all(|byte| *byte == 0) {
        ParsedRecord::Torn
    } else {
        ParsedRecord::Damaged
    }
}

fn encode<T>(value: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()> + binrw::meta::WriteEndian,
{
    let mut cursor = Cursor::new(Vec::new());
    value.write(&mut cursor).expect("a record fits in memory");
    cursor.into_inner()
}

fn push_record<T>(bytes: &mut Vec<u8>, value: &T)
where
    T: for<'a> BinWrite<Args<'a> = ()> + binrw::meta::WriteEndian,
{
    let payload = encode(value);
    let length = (payload.len() as u32).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes.push(END_MARK);
}
