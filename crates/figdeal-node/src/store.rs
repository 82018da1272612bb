//! Durable storage of a node: the Raft log, the term and vote, and the last snapshot, in its data folder.
//!
//! One file holds records, each with its length, checksum and content. A snapshot starts a new file, which replaces the
//! previous file only after it is synced and renamed. A torn record and everything after it were never reported as
//! durable and are truncated.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write as _},
    path::{Path, PathBuf},
};

use figdeal_queue::raft::{HardState, Log, NodeId, StorageWrite, log::Snapshot};

/// Size of the length and checksum before the content of a record.
const RECORD_HEADER_BYTES: usize = 8;
/// Largest record. A larger length field means that the header is torn.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

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
    /// {0:?} holds a record that this version cannot read
    Format(PathBuf),
}

impl std::error::Error for Error {}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Record {
    /// Node id of the store, the first record of each file.
    Identity(NodeId),
    Write(StorageWrite),
}

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

/// Appends an encoded record with its header to `out`.
fn encode(record: &Record, out: &mut Vec<u8>) {
    let content = postcard::to_stdvec(record).expect("records can be encoded");
    out.extend_from_slice(&(content.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    out.extend_from_slice(&content);
}

/// Splits the first record off. Returns its content and the remaining bytes, or `None` if the record is incomplete or
/// its checksum is wrong.
fn split_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(RECORD_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let (content, rest) = rest.split_at_checked(length)?;
    (crc32fast::hash(content) == checksum).then_some((content, rest))
}

impl Store {
    /// Opens the store in a folder, or creates one with `new_id` as its node id.
    ///
    /// # Errors
    /// Fails when a file cannot be read or written; the error names the file and the step.
    pub fn open(folder: &Path, new_id: NodeId) -> Result<(Store, StoredState)> {
        fs::create_dir_all(folder).map_err(io_error("creation", folder))?;
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder).map_err(io_error("listing", folder))? {
            let entry = entry.map_err(io_error("listing", folder))?;
            let name = entry.file_name();
            let number = name
                .to_str()
                .and_then(|n| n.strip_prefix("log-")?.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        let Some(&number) = numbers.last() else {
            let store = Store::create_file(folder, 1, new_id, HardState::default(), &[])?;
            return Ok((store, StoredState::default()));
        };
        let (store, stored) = Store::read_file(folder, number)?;
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

    fn read_file(folder: &Path, number: u64) -> Result<(Store, StoredState)> {
        let path = log_path(folder, number);
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&path)
            .map_err(io_error("opening", &path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(io_error("reading", &path))?;
        let (mut id, mut stored) = (None, StoredState::default());
        let mut rest = &bytes[..];
        while let Some((record, after)) = split_record(rest) {
            let record = postcard::from_bytes(record).map_err(|_| Error::Format(path.clone()))?;
            match record {
                Record::Identity(own_id) => id = Some(own_id),
                Record::Write(StorageWrite::HardState(hard)) => stored.hard_state = hard,
                Record::Write(StorageWrite::Entry(entry)) => stored.log.append(entry),
                Record::Write(StorageWrite::Snapshot(snapshot)) => {
                    stored.log = Log::from_snapshot(snapshot.last, snapshot.members.clone());
                    stored.snapshot = Some(snapshot);
                }
            }
            rest = after;
        }
        let id = id.ok_or_else(|| Error::Format(path.clone()))?;
        if !rest.is_empty() {
            log::warn!(
                "E651 truncated torn records at the end file={path:?} bytes={}",
                rest.len()
            );
            let length = (bytes.len() - rest.len()) as u64;
            file.set_len(length)
                .map_err(io_error("shortening", &path))?;
            file.sync_data().map_err(io_error("sync", &path))?;
        }
        let hard = stored.hard_state;
        Ok((
            Store {
                folder: folder.to_owned(),
                file_number: number,
                file,
                id,
                hard_state: hard,
            },
            stored,
        ))
    }

    /// Writes and syncs a new file under a temporary name and renames it to its final name.
    fn create_file(
        folder: &Path,
        number: u64,
        id: NodeId,
        hard: HardState,
        records: &[u8],
    ) -> Result<Store> {
        let path = log_path(folder, number);
        let temporary = folder.join("draft");
        let mut bytes = Vec::new();
        encode(&Record::Identity(id), &mut bytes);
        encode(&Record::Write(StorageWrite::HardState(hard)), &mut bytes);
        bytes.extend_from_slice(records);
        let mut file = File::create(&temporary).map_err(io_error("creation", &temporary))?;
        file.write_all(&bytes)
            .map_err(io_error("writing", &temporary))?;
        file.sync_data().map_err(io_error("sync", &temporary))?;
        drop(file);
        fs::rename(&temporary, &path).map_err(io_error("renaming", &path))?;
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
            id,
            hard_state: hard,
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
        if let Some(snapshot_index) = last_snapshot {
            return self.start_new_file(writes, snapshot_index);
        }
        let mut bytes = Vec::new();
        self.encode_all(writes, &mut bytes);
        let path = log_path(&self.folder, self.file_number);
        self.file
            .write_all(&bytes)
            .map_err(io_error("writing", &path))?;
        self.file.sync_data().map_err(io_error("sync", &path))
    }

    /// Encodes the records and updates `hard_state` to the last term and vote among them.
    fn encode_all(&mut self, writes: &[StorageWrite], bytes: &mut Vec<u8>) {
        for write in writes {
            if let StorageWrite::HardState(hard) = write {
                self.hard_state = *hard;
            }
            encode(&Record::Write(write.clone()), bytes);
        }
    }

    /// Starts a new file at the last snapshot in `writes`. Of the records before it, only the term and vote are kept.
    fn start_new_file(&mut self, writes: &[StorageWrite], snapshot_index: usize) -> Result<()> {
        // These bytes are discarded; the call only updates `hard_state`.
        self.encode_all(&writes[..snapshot_index], &mut Vec::new());
        let hard = self.hard_state;
        let mut bytes = Vec::new();
        self.encode_all(&writes[snapshot_index..], &mut bytes);
        let last_hard_state = self.hard_state;
        let old = log_path(&self.folder, self.file_number);
        *self = Store::create_file(&self.folder, self.file_number + 1, self.id, hard, &bytes)?;
        self.hard_state = last_hard_state;
        fs::remove_file(&old).map_err(io_error("removal", &old))
    }
}
