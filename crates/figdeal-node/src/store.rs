//! The log of a node in its data folder.
//!
//! One file holds records of length, checksum and content. A snapshot starts a new file, which replaces the one before
//! only once it is synced and renamed. Records after a torn one were never reported as durable and are cut off.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write as _},
    path::{Path, PathBuf},
};

use figdeal_queue::raft::{HardState, Log, NodeId, StorageWrite, log::Snapshot};

/// Bytes before the content of a record.
const HEADER: usize = 8;
/// Longest record that is read; a longer length is a torn header.
const MAX_RECORD: usize = 64 * 1024 * 1024;

/// Result of storage.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the storage failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {step} of {path:?} failed: {source}
    Io {
        /// What was done.
        step: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// {0:?} holds a record that this version cannot read
    Format(PathBuf),
}

impl std::error::Error for Error {}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Record {
    /// Identity of the store, first in each file.
    Identity(NodeId),
    Write(StorageWrite),
}

/// What a store held at its opening.
#[derive(Debug, Default)]
pub struct Content {
    /// Term and vote.
    pub hard: HardState,
    /// Entries.
    pub log: Log,
    /// The state before the first entry.
    pub snapshot: Option<Snapshot>,
}

/// The open log file.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    number: u64,
    file: File,
    id: NodeId,
    hard: HardState,
}

fn failed(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Error {
    let path = path.to_owned();
    move |source| Error::Io { step, path, source }
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:08}"))
}

/// Encodes a record with its header.
fn encode(record: &Record, out: &mut Vec<u8>) {
    let content = postcard::to_stdvec(record).expect("records can be encoded");
    out.extend_from_slice(&(content.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    out.extend_from_slice(&content);
}

/// Splits off the first whole record.
fn split(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_RECORD {
        return None;
    }
    let (content, rest) = rest.split_at_checked(length)?;
    (crc32fast::hash(content) == sum).then_some((content, rest))
}

impl Store {
    /// Opens the store of a folder, or starts one with `fresh` as its identity.
    ///
    /// # Errors
    /// Fails when a file cannot be read or written; the error names the file and the step.
    pub fn open(folder: &Path, fresh: NodeId) -> Result<(Store, Content)> {
        fs::create_dir_all(folder).map_err(failed("creation", folder))?;
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder).map_err(failed("listing", folder))? {
            let entry = entry.map_err(failed("listing", folder))?;
            let name = entry.file_name();
            let number = name
                .to_str()
                .and_then(|n| n.strip_prefix("log-")?.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        let Some(&number) = numbers.last() else {
            let store = Store::create(folder, 1, fresh, HardState::default(), &[])?;
            return Ok((store, Content::default()));
        };
        let (store, content) = Store::read(folder, number)?;
        for old in &numbers[..numbers.len() - 1] {
            let path = path_of(folder, *old);
            fs::remove_file(&path).map_err(failed("removal", &path))?;
        }
        Ok((store, content))
    }

    /// The identity of the store.
    pub fn id(&self) -> NodeId {
        self.id
    }

    fn read(folder: &Path, number: u64) -> Result<(Store, Content)> {
        let path = path_of(folder, number);
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&path)
            .map_err(failed("opening", &path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(failed("reading", &path))?;
        let (mut id, mut content) = (None, Content::default());
        let mut rest = &bytes[..];
        while let Some((record, after)) = split(rest) {
            let record = postcard::from_bytes(record).map_err(|_| Error::Format(path.clone()))?;
            match record {
                Record::Identity(own) => id = Some(own),
                Record::Write(StorageWrite::HardState(hard)) => content.hard = hard,
                Record::Write(StorageWrite::Entry(entry)) => content.log.append(entry),
                Record::Write(StorageWrite::Snapshot(snapshot)) => {
                    content.log = Log::from_snapshot(snapshot.last, snapshot.members.clone());
                    content.snapshot = Some(snapshot);
                }
            }
            rest = after;
        }
        let id = id.ok_or_else(|| Error::Format(path.clone()))?;
        if !rest.is_empty() {
            log::warn!("E651 torn end cut off file={path:?} bytes={}", rest.len());
            let length = (bytes.len() - rest.len()) as u64;
            file.set_len(length).map_err(failed("shortening", &path))?;
            file.sync_data().map_err(failed("sync", &path))?;
        }
        let hard = content.hard;
        Ok((
            Store {
                folder: folder.to_owned(),
                number,
                file,
                id,
                hard,
            },
            content,
        ))
    }

    /// Writes a new file under a temporary name and makes it the current one.
    fn create(
        folder: &Path,
        number: u64,
        id: NodeId,
        hard: HardState,
        records: &[u8],
    ) -> Result<Store> {
        let path = path_of(folder, number);
        let draft = folder.join("draft");
        let mut bytes = Vec::new();
        encode(&Record::Identity(id), &mut bytes);
        encode(&Record::Write(StorageWrite::HardState(hard)), &mut bytes);
        bytes.extend_from_slice(records);
        let mut file = File::create(&draft).map_err(failed("creation", &draft))?;
        file.write_all(&bytes).map_err(failed("writing", &draft))?;
        file.sync_data().map_err(failed("sync", &draft))?;
        drop(file);
        fs::rename(&draft, &path).map_err(failed("renaming", &path))?;
        let directory = File::open(folder).map_err(failed("opening", folder))?;
        directory.sync_all().map_err(failed("sync", folder))?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(failed("opening", &path))?;
        Ok(Store {
            folder: folder.to_owned(),
            number,
            file,
            id,
            hard,
        })
    }

    /// Stores records and syncs them.
    ///
    /// # Errors
    /// Fails when a file cannot be written; the store must not be used any more then.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<()> {
        let last = writes
            .iter()
            .rposition(|w| matches!(w, StorageWrite::Snapshot(_)));
        if let Some(at) = last {
            return self.replace(writes, at);
        }
        let mut bytes = Vec::new();
        self.encode_all(writes, &mut bytes);
        let path = path_of(&self.folder, self.number);
        self.file
            .write_all(&bytes)
            .map_err(failed("writing", &path))?;
        self.file.sync_data().map_err(failed("sync", &path))
    }

    fn encode_all(&mut self, writes: &[StorageWrite], bytes: &mut Vec<u8>) {
        for write in writes {
            if let StorageWrite::HardState(hard) = write {
                self.hard = *hard;
            }
            encode(&Record::Write(write.clone()), bytes);
        }
    }

    /// Starts a new file at the last snapshot; the records before it are no longer needed but for term and vote.
    fn replace(&mut self, writes: &[StorageWrite], at: usize) -> Result<()> {
        self.encode_all(&writes[..at], &mut Vec::new());
        let hard = self.hard;
        let mut bytes = Vec::new();
        self.encode_all(&writes[at..], &mut bytes);
        let after = self.hard;
        let old = path_of(&self.folder, self.number);
        *self = Store::create(&self.folder, self.number + 1, self.id, hard, &bytes)?;
        self.hard = after;
        fs::remove_file(&old).map_err(failed("removal", &old))
    }
}
