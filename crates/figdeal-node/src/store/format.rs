//! Content of the records of a store file.

use std::{
    borrow::Cow,
    fs::File,
    io::{self, BufReader, BufWriter, Read, Write},
    iter,
    path::Path,
};

use figdeal_queue::raft::{
    HardState, Log, Member, NodeId, StorageWrite,
    log::{Position, Snapshot},
};

use super::{
    Error, Result, StoredState, io_error,
    record::{self, Part},
};

/// First bytes of a file; the last one is the version of the format.
const FORMAT: &[u8; 8] = b"fdstore2";
/// Size of a part of a snapshot.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;
/// Size of the writes after which further ones go into the next record.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Content of a record.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Record<'a> {
    /// First record of each file.
    Head {
        /// Node id of the store.
        id: NodeId,
        hard_state: HardState,
        /// Number of further records that were synced before the file got its name.
        first_records: usize,
    },
    /// Precedes the parts of a snapshot.
    SnapshotHead {
        last: Position,
        members: Cow<'a, [Member]>,
        bytes: usize,
        /// Checksum of all bytes.
        checksum: u32,
    },
    SnapshotPart(#[serde(borrow, with = "serde_bytes")] Cow<'a, [u8]>),
    /// Writes other than snapshots.
    Writes(Cow<'a, [StorageWrite]>),
}

impl Record<'_> {
    /// Returns the record with its frame, for the given offset in the file.
    fn encode(&self, offset: u64) -> Vec<u8> {
        let content = postcard::to_stdvec(self).expect("records can be encoded");
        record::encode(&content, offset)
    }
}

/// Returns the last term and vote among `writes`.
pub(super) fn last_hard_state(writes: &[StorageWrite]) -> Option<HardState> {
    writes.iter().rev().find_map(|w| match w {
        StorageWrite::HardState(hard_state) => Some(*hard_state),
        _ => None,
    })
}

/// Splits writes into those of one record each.
fn batches(writes: &[StorageWrite]) -> impl Iterator<Item = &[StorageWrite]> {
    let mut rest = writes;
    iter::from_fn(move || {
        let mut bytes = 0;
        let fits = |write: &&StorageWrite| {
            let is_first = bytes == 0;
            bytes += write.approximate_bytes();
            is_first || bytes <= MAX_BATCH_BYTES
        };
        let count = rest.iter().take_while(fits).count();
        let (batch, left) = rest.split_at(count);
        rest = left;
        (count > 0).then_some(batch)
    })
}

/// Encodes writes other than snapshots as records of about [`MAX_BATCH_BYTES`], of which the first is at `offset`.
pub(super) fn encode_batches(
    writes: &[StorageWrite],
    mut offset: u64,
) -> impl Iterator<Item = Vec<u8>> {
    batches(writes).map(move |batch| {
        let bytes = Record::Writes(Cow::Borrowed(batch)).encode(offset);
        offset += bytes.len() as u64;
        bytes
    })
}

/// Writes the records that a file begins with, and returns their size. Of `writes`, only the first may be a snapshot.
pub(super) fn write_first(
    file: File,
    id: NodeId,
    hard_state: HardState,
    writes: &[StorageWrite],
) -> io::Result<(File, u64)> {
    let (snapshot, rest) = match writes {
        [StorageWrite::Snapshot(snapshot), rest @ ..] => (Some(snapshot), rest),
        rest => (None, rest),
    };
    let snapshot_records = snapshot.into_iter().flat_map(snapshot_records);
    let rest_records = batches(rest).map(|batch| Record::Writes(Cow::Borrowed(batch)));
    let first_records = snapshot.map_or(0, |s| 1 + s.data.chunks(SNAPSHOT_PART_BYTES).count())
        + batches(rest).count();
    let head = Record::Head {
        id,
        hard_state,
        first_records,
    };
    let mut output = BufWriter::new(file);
    output.write_all(FORMAT)?;
    let mut size = FORMAT.len() as u64;
    for record in iter::once(head).chain(snapshot_records).chain(rest_records) {
        let bytes = record.encode(size);
        output.write_all(&bytes)?;
        size += bytes.len() as u64;
    }
    let file = output
        .into_inner()
        .map_err(io::IntoInnerError::into_error)?;
    Ok((file, size))
}

fn snapshot_records(snapshot: &Snapshot) -> impl Iterator<Item = Record<'_>> {
    let head = Record::SnapshotHead {
        last: snapshot.last,
        members: Cow::Borrowed(&snapshot.members),
        bytes: snapshot.data.len(),
        checksum: crc32fast::hash(&snapshot.data),
    };
    let parts = snapshot.data.chunks(SNAPSHOT_PART_BYTES);
    iter::once(head).chain(parts.map(|part| Record::SnapshotPart(Cow::Borrowed(part))))
}

/// What a file holds.
#[derive(Debug)]
pub(super) struct StoredFile {
    /// Node id of the store.
    pub(super) id: NodeId,
    pub(super) stored: StoredState,
    /// End of the last whole record.
    pub(super) end: u64,
}

/// Reads a file of `length` bytes.
pub(super) fn read(path: &Path, file: &File, length: u64) -> Result<StoredFile> {
    let mut format = [0; FORMAT.len()];
    let mut input = BufReader::new(file);
    let known = match input.read_exact(&mut format) {
        Ok(()) => format == *FORMAT,
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => false,
        Err(e) => return Err(io_error("reading", path)(e)),
    };
    if !known {
        return Err(Error::Format(path.to_owned()));
    }
    let mut reader = FileReader {
        path,
        input,
        offset: 0,
        end: FORMAT.len() as u64,
        length,
    };
    reader.read_all()
}

struct FileReader<'a> {
    path: &'a Path,
    input: BufReader<&'a File>,
    /// Offset of the record that was read last.
    offset: u64,
    /// End of the last whole record.
    end: u64,
    length: u64,
}

impl FileReader<'_> {
    fn read_all(&mut self) -> Result<StoredFile> {
        let content = self.first_content()?;
        let Record::Head {
            id,
            hard_state,
            first_records,
        } = self.decode(&content)?
        else {
            return Err(self.damaged());
        };
        let mut stored = StoredState {
            hard_state,
            ..StoredState::default()
        };
        let mut records = 0;
        while records < first_records {
            records += self.read_first(&mut stored)?;
        }
        while let Some(content) = self.next_content()? {
            let Record::Writes(writes) = self.decode(&content)? else {
                return Err(self.damaged());
            };
            self.add_writes(&mut stored, writes.into_owned())?;
        }
        let end = self.end;
        Ok(StoredFile { id, stored, end })
    }

    /// Reads one of the first records after the head, or a snapshot with its parts. Returns the number of records.
    fn read_first(&mut self, stored: &mut StoredState) -> Result<usize> {
        let content = self.first_content()?;
        match self.decode(&content)? {
            Record::SnapshotHead {
                last,
                members,
                bytes,
                checksum,
            } => {
                let (data, parts) = self.read_snapshot(bytes, checksum)?;
                let members = members.into_owned();
                stored.log = Log::from_snapshot(last, members.clone());
                stored.snapshot = Some(Snapshot {
                    last,
                    members,
                    data: data.into(),
                });
                Ok(1 + parts)
            }
            Record::Writes(writes) => {
                self.add_writes(stored, writes.into_owned())?;
                Ok(1)
            }
            Record::Head { .. } | Record::SnapshotPart(_) => Err(self.damaged()),
        }
    }

    /// Reads the parts of a snapshot. Returns its data and their number.
    fn read_snapshot(&mut self, bytes: usize, checksum: u32) -> Result<(Vec<u8>, usize)> {
        let (mut data, mut parts) = (Vec::new(), 0);
        while data.len() < bytes {
            let content = self.first_content()?;
            let Record::SnapshotPart(part) = self.decode(&content)? else {
                return Err(self.damaged());
            };
            data.extend_from_slice(&part);
            parts += 1;
        }
        match data.len() == bytes && crc32fast::hash(&data) == checksum {
            true => Ok((data, parts)),
            false => Err(self.damaged()),
        }
    }

    /// Returns the content of one of the records that were synced before the file got its name.
    fn first_content(&mut self) -> Result<Vec<u8>> {
        self.next_content()?.ok_or_else(|| self.damaged())
    }

    /// Returns the content of the next record, or `None` at the end and at a torn record.
    fn next_content(&mut self) -> Result<Option<Vec<u8>>> {
        self.offset = self.end;
        let part = record::read(&mut self.input, self.offset, self.length)
            .map_err(io_error("reading", self.path))?;
        match part {
            Part::Record(content) => {
                self.end += record::size(content.len());
                Ok(Some(content))
            }
            Part::End | Part::Torn => Ok(None),
            Part::Damaged => Err(self.damaged()),
        }
    }

    fn decode<'a>(&self, content: &'a [u8]) -> Result<Record<'a>> {
        postcard::from_bytes(content).map_err(|_| self.damaged())
    }

    fn add_writes(&self, stored: &mut StoredState, writes: Vec<StorageWrite>) -> Result<()> {
        for write in writes {
            match write {
                StorageWrite::HardState(hard_state) => stored.hard_state = hard_state,
                StorageWrite::Entry(entry) => stored.log.append(entry),
                StorageWrite::Snapshot(_) => return Err(self.damaged()),
            }
        }
        Ok(())
    }

    fn damaged(&self) -> Error {
        Error::Damaged {
            path: self.path.to_owned(),
            offset: self.offset,
        }
    }
}
