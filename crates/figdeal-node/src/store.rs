//! Durable storage of a node: the Raft log, the term and vote, and the last snapshot, in its data folder.
//!
//! A file begins with its format, then has records. The first records hold the node id, the term and vote, and a
//! snapshot in parts; they are synced before the file gets its name. Each later record holds what one sync makes
//! durable, so only the last one can be torn: it was never reported as durable, and is truncated. Anything else that
//! cannot be read is damage: the store is not opened, and the file stays as it is. A snapshot starts a new file, which
//! replaces the previous one.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use figdeal_queue::raft::{HardState, Log, NodeId, StorageWrite, log::Snapshot};

mod format;
mod record;

/// Result of a storage operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of the storage.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {step} of {path:?} failed: {source}
    Io {
        /// Operation that failed.
        step: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// {0:?} does not have the format of this version
    Format(PathBuf),
    /// {path:?} is damaged at byte {offset}; give this node an empty data directory, see docs/OPERATIONS.md
    Damaged {
        /// Damaged file. It was not changed.
        path: PathBuf,
        /// Offset of the first record that cannot be read.
        offset: u64,
    },
}

impl std::error::Error for Error {}

/// State that was read when the store was opened.
#[derive(Debug, Default)]
pub struct StoredState {
    /// Current term, and the vote in it.
    pub hard_state: HardState,
    /// Log entries after the snapshot.
    pub log: Log,
    /// Last snapshot; it covers everything before the first log entry.
    pub snapshot: Option<Snapshot>,
}

/// The open log file of a node.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    /// Number in the name of the current file.
    file_number: u64,
    file: File,
    file_bytes: u64,
    id: NodeId,
    /// Term and vote in the file.
    hard_state: HardState,
}

fn io_error(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Error {
    let path = path.to_owned();
    move |source| Error::Io { step, path, source }
}

fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:08}"))
}

/// Returns the numbers of the store files in a folder, in order.
fn file_numbers(folder: &Path) -> Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder).map_err(io_error("listing", folder))? {
        let name = entry.map_err(io_error("listing", folder))?.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix("log-"));
        numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

impl Store {
    /// Opens the store in a folder, or creates one with `new_id` as its node id.
    ///
    /// # Errors
    /// Fails when a file cannot be read or written, or is damaged; the error names the file and the step or offset.
    pub fn open(folder: &Path, new_id: NodeId) -> Result<(Store, StoredState)> {
        fs::create_dir_all(folder).map_err(io_error("creation", folder))?;
        let numbers = file_numbers(folder)?;
        let Some(&number) = numbers.last() else {
            let store = Store::create_file(folder, 1, new_id, HardState::default(), &[])?;
            return Ok((store, StoredState::default()));
        };
        let (store, stored) = Store::open_file(folder, number)?;
        for old in &numbers[..numbers.len() - 1] {
            let path = log_path(folder, *old);
            fs::remove_file(&path).map_err(io_error("removal", &path))?;
        }
        Ok((store, stored))
    }

    /// Returns the node id of the store. It is created with the store, so a node with a wiped disk gets a new one.
    pub fn id(&self) -> NodeId {
        self.id
    }

    fn open_file(folder: &Path, number: u64) -> Result<(Store, StoredState)> {
        let path = log_path(folder, number);
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&path)
            .map_err(io_error("opening", &path))?;
        let length = file.metadata().map_err(io_error("opening", &path))?.len();
        let format::StoredFile { id, stored, end } = format::read(&path, &file, length)?;
        if end < length {
            log::warn!(
                "E651 truncated a torn record at the end file={path:?} bytes={}",
                length - end
            );
            file.set_len(end).map_err(io_error("shortening", &path))?;
            file.sync_data().map_err(io_error("sync", &path))?;
        }
        let hard_state = stored.hard_state;
        let store = Store {
            folder: folder.to_owned(),
            file_number: number,
            file,
            file_bytes: end,
            id,
            hard_state,
        };
        Ok((store, stored))
    }

    /// Writes and syncs a new file under a temporary name and renames it to its final name.
    fn create_file(
        folder: &Path,
        number: u64,
        id: NodeId,
        hard_state: HardState,
        writes: &[StorageWrite],
    ) -> Result<Store> {
        let path = log_path(folder, number);
        let draft = folder.join("draft");
        let file = File::create(&draft).map_err(io_error("creation", &draft))?;
        let (file, file_bytes) = format::write_first(file, id, hard_state, writes)
            .map_err(io_error("writing", &draft))?;
        file.sync_data().map_err(io_error("sync", &draft))?;
        drop(file);
        fs::rename(&draft, &path).map_err(io_error("renaming", &path))?;
        let directory = File::open(folder).map_err(io_error("opening", folder))?;
        directory.sync_all().map_err(io_error("sync", folder))?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error("opening", &path))?;
        Ok(Store {
            folder: folder.to_owned(),
            file_number: number,
            file,
            file_bytes,
            id,
            hard_state: format::last_hard_state(writes).unwrap_or(hard_state),
        })
    }

    /// Appends records and syncs the file.
    ///
    /// # Errors
    /// Fails when a file cannot be written. The store must not be used after a failure.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<()> {
        let last_snapshot = writes
            .iter()
            .rposition(|w| matches!(w, StorageWrite::Snapshot(_)));
        if let Some(index) = last_snapshot {
            return self.start_new_file(&writes[..index], &writes[index..]);
        }
        for bytes in format::encode_batches(writes, self.file_bytes) {
            let path = log_path(&self.folder, self.file_number);
            self.file
                .write_all(&bytes)
                .map_err(io_error("writing", &path))?;
            self.file.sync_data().map_err(io_error("sync", &path))?;
            self.file_bytes += bytes.len() as u64;
        }
        self.hard_state = format::last_hard_state(writes).unwrap_or(self.hard_state);
        Ok(())
    }

    /// Starts a new file with `writes`, which begin with a snapshot. Of what is `replaced`, only the term and vote are
    /// kept.
    fn start_new_file(&mut self, replaced: &[StorageWrite], writes: &[StorageWrite]) -> Result<()> {
        let hard_state = format::last_hard_state(replaced).unwrap_or(self.hard_state);
        let old = log_path(&self.folder, self.file_number);
        let number = self.file_number + 1;
        *self = Store::create_file(&self.folder, number, self.id, hard_state, writes)?;
        fs::remove_file(&old).map_err(io_error("removal", &old))
    }
}
