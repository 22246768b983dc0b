//! Storage for the write-ahead log: a folder on disk, or memory that simulates crashes.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fail::fail_point;

/// A folder of files. A file is appended to or replaced as a whole.
pub trait Directory {
    /// Reads a whole file; `None` if the file does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends bytes to a file, creating it if necessary. A crash may lose them until
    /// [`Directory::sync`] returns.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Replaces a file atomically: after a crash it holds either the old or the new bytes. The new
    /// bytes are durable once this returns.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
}

/// A folder in the file system, with its append handles kept open.
#[derive(Debug)]
pub struct FileDirectory {
    root: PathBuf,
    open: BTreeMap<String, File>,
}

impl FileDirectory {
    /// Opens a folder, creating it if it does not exist.
    pub fn open(root: impl Into<PathBuf>) -> io::Result<Self> {
        let root = root.into();
        fs::create_dir_all(&root)?;
        Ok(Self {
            root,
            open: BTreeMap::new(),
        })
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.root)?.sync_all()
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.root.join(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            if is_new {
                self.sync_folder()?;
            }
            self.open.insert(name.to_owned(), file);
        }
        self.open
            .get_mut(name)
            .ok_or_else(|| io::Error::other("file handle is missing after opening the file"))
    }
}

impl Directory for FileDirectory {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.root.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fail_point!("directory::append");
        self.handle(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        fail_point!("directory::before_sync");
        self.handle(name)?.sync_data()?;
        fail_point!("directory::after_sync");
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open.remove(name);
        let temporary = self.root.join(format!("{name}.tmp"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fail_point!("directory::before_rename");
        fs::rename(&temporary, self.root.join(name))?;
        fail_point!("directory::after_rename");
        self.sync_folder()
    }
}

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    bytes: Vec<u8>,
    synced: usize,
}

/// A folder in memory, shared by its clones, for tests and simulation. [`MemoryDirectory::crash`]
/// loses unsynced bytes or leaves a torn write.
#[derive(Clone, Debug, Default)]
pub struct MemoryDirectory {
    files: Arc<Mutex<BTreeMap<String, MemoryFile>>>,
    failing: Arc<Mutex<bool>>,
}

impl MemoryDirectory {
    /// Creates an empty folder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an independent folder with the same content. Unlike a clone, it shares no state.
    pub fn copy(&self) -> Self {
        Self {
            files: Arc::new(Mutex::new(self.files().clone())),
            failing: Arc::default(),
        }
    }

    /// Simulates a power loss: drops the unsynced bytes of every file except the first
    /// `torn_bytes` of them.
    pub fn crash(&self, torn_bytes: usize) {
        for file in self.files().values_mut() {
            let kept = (file.synced + torn_bytes).min(file.bytes.len());
            file.bytes.truncate(kept);
            file.synced = kept;
        }
    }

    /// Flips one bit of the byte that is `from_end` bytes before the last byte of a file.
    pub fn flip_bit(&self, name: &str, from_end: usize) {
        if let Some(file) = self.files().get_mut(name) {
            let position = file.bytes.len().checked_sub(from_end + 1);
            if let Some(byte) = position.and_then(|position| file.bytes.get_mut(position)) {
                *byte ^= 0x10;
            }
        }
    }

    /// Removes all files.
    pub fn wipe(&self) {
        self.files().clear();
    }

    /// Makes all writes fail as on a full disk, or succeed again.
    pub fn set_failing(&self, failing: bool) {
        *self.failing.lock().unwrap_or_else(PoisonError::into_inner) = failing;
    }

    fn files(&self) -> MutexGuard<'_, BTreeMap<String, MemoryFile>> {
        self.files.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self) -> io::Result<()> {
        if *self.failing.lock().unwrap_or_else(PoisonError::into_inner) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left"));
        }
        Ok(())
    }
}

impl Directory for MemoryDirectory {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files().get(name).map(|file| file.bytes.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check()?;
        self.files()
            .entry(name.to_owned())
            .or_default()
            .bytes
            .extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        if let Some(file) = self.files().get_mut(name) {
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check()?;
        let file = MemoryFile {
            bytes: bytes.to_vec(),
            synced: bytes.len(),
        };
        self.files().insert(name.to_owned(), file);
        Ok(())
    }
}
