//! Data folder of one replica: its identity, promise, accepted state, and an archive of accepted versions.

use std::{collections::BTreeSet, io, sync::Arc};

use displaydoc::Display;
use figdeal_core::time::UnixMillis;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    acceptor::{Proposal, Record, RegisterId},
    delta::StateDelta,
    disk::Disk,
    state::{Member, RegisterState},
    types::{Ballot, Bundle, Digest, PublicKey, ReplicaId},
};

/// Largest number of accepted versions in the archive.
pub const MAX_ARCHIVED_VERSIONS: usize = 256;

const IDENTITY_FILE: &str = "identity";
const PROMISE_FILE: &str = "promise";
const ACCEPTED_FILE: &str = "accepted";
const ARCHIVE_PREFIX: &str = "version-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// First bytes of each file. The last byte is the format version.
const MAGIC: [u8; 4] = *b"fdc1";
/// Length of the header of each file: magic (4 bytes), length of the content (u64) and its CRC-32 (u32).
const HEADER_BYTES: usize = 16;

/// Result of a storage operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a storage operation. The replica must stop after an error and restart from its folder.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {cause}
    Io {
        /// Failed operation, for example "sync the data folder".
        step: &'static str,
        /// Error of the file system, with the path.
        cause: io::Error,
    },
    /// file {file} is corrupt: {reason}
    Corrupt {
        /// Name of the file in the data folder.
        file: String,
        /// Check that failed.
        reason: String,
    },
    /// file {0} is missing from a data folder that was in use; replace the member
    MissingFile(&'static str),
    /// this replica stopped after a storage error
    Stopped,
    /// the data folder is initialized already
    AlreadyInitialized,
    /// this replica ({0}) is not in the list of initial members
    NotInMemberList(ReplicaId),
    /// the initial owners or members are invalid: {0}
    InvalidMembers(&'static str),
}

impl std::error::Error for Error {}

fn io_error(step: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |cause| Error::Io { step, cause }
}

/// Content of the identity file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    id: ReplicaId,
    /// Number of starts of the replica, used in its ballots.
    incarnation: u64,
    /// Set once the replica may have voted. From then on, a missing state file is an error.
    register: Option<RegisterId>,
}

/// Content of the file with the accepted state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedFile {
    register: RegisterId,
    ballot: Ballot,
    state: StateDelta,
}

/// An accepted version of the configuration, as it is archived and sent to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the change.
    pub number: u64,
    /// Digest of the change.
    pub digest: Digest,
    /// Configuration files.
    pub bundle: Bundle,
    /// Owners that signed the change.
    pub signers: [PublicKey; 2],
    /// Wall-clock time at which the last signature was applied.
    pub time: UnixMillis,
}

impl Version {
    /// Returns the version in force in `state`, or `None` before the first change.
    pub fn of(state: &RegisterState) -> Option<Version> {
        let accepted = state.last_accepted()?;
        Some(Version {
            number: accepted.number,
            digest: accepted.digest,
            bundle: state.bundle.clone(),
            signers: accepted.signers,
            time: accepted.time,
        })
    }
}

/// Content of a data folder when it is opened.
#[derive(Debug)]
pub struct LoadedState {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Number of this start of the replica.
    pub incarnation: u64,
    /// Register that the replica belongs to, absent if it is uninitialized.
    pub register: Option<RegisterId>,
    /// Highest synced promise.
    pub promised: Ballot,
    /// Accepted state with its ballot.
    pub accepted: Option<Proposal>,
    /// Newest archived version.
    pub latest_version: Option<Version>,
}

/// The data folder of one replica.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    identity: Identity,
    archive: BTreeSet<u64>,
    bytes_written: u64,
}

impl<D: Disk> Store<D> {
    /// Opens the folder and removes unfinished files. An empty folder gets the replica id `new_id` and stays
    /// uninitialized.
    ///
    /// # Errors
    /// [`Error::Corrupt`] for a damaged file; [`Error::MissingFile`] if a file of an initialized replica is absent;
    /// [`Error::Io`].
    pub fn open(mut disk: D, new_id: ReplicaId) -> Result<(Store<D>, LoadedState)> {
        let mut names: BTreeSet<String> = disk
            .list()
            .map_err(io_error("list the data folder"))?
            .into_iter()
            .collect();
        for name in names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX)) {
            disk.remove(name)
                .map_err(io_error("remove an unfinished file"))?;
        }
        names.retain(|n| !n.ends_with(TEMPORARY_SUFFIX));
        let file: Option<AcceptedFile> = load(&disk, &names, ACCEPTED_FILE)?;
        let identity = match load::<Identity>(&disk, &names, IDENTITY_FILE)? {
            Some(identity) => identity,
            None if names.is_empty() => Identity {
                id: new_id,
                incarnation: 0,
                register: None,
            },
            None => return Err(Error::MissingFile(IDENTITY_FILE)),
        };
        if identity.register.is_some() && file.is_none() {
            return Err(Error::MissingFile(ACCEPTED_FILE));
        }
        let promised = load(&disk, &names, PROMISE_FILE)?;
        if identity.register.is_some() && promised.is_none() {
            return Err(Error::MissingFile(PROMISE_FILE));
        }
        let archive = parse_archive_names(&names)?;
        let latest_version = match archive.last() {
            Some(number) => load(&disk, &names, &archive_name(*number))?,
            None => None,
        };
        let mut store = Store {
            disk,
            identity,
            archive,
            bytes_written: 0,
        };
        let register = file.as_ref().map(|f| f.register);
        if register.is_some() && promised.is_none() {
            store.save(PROMISE_FILE, &Ballot::default())?;
        }
        let accepted = file.map(decode_accepted).transpose()?;
        store.identity.incarnation += 1;
        store.identity.register = register;
        store.save(IDENTITY_FILE, &store.identity.clone())?;
        let loaded = LoadedState {
            id: store.identity.id,
            incarnation: store.identity.incarnation,
            register,
            promised: promised.unwrap_or_default(),
            accepted,
            latest_version,
        };
        Ok((store, loaded))
    }

    /// Writes and syncs a record of the acceptor.
    ///
    /// # Errors
    /// [`Error::Io`]; the replica must stop after it.
    pub fn persist(&mut self, record: &Record, register: RegisterId) -> Result<()> {
        match record {
            Record::Promise(ballot) => self.save(PROMISE_FILE, ballot),
            Record::Accepted(proposal) => {
                let file = AcceptedFile {
                    register,
                    ballot: proposal.ballot,
                    state: StateDelta::new(&proposal.state, None),
                };
                self.save(ACCEPTED_FILE, &file)?;
                if self.identity.register.is_none() {
                    self.identity.register = Some(register);
                    self.save(PROMISE_FILE, &Ballot::default())?;
                    self.save(IDENTITY_FILE, &self.identity.clone())?;
                }
                Ok(())
            }
        }
    }

    /// Adds an accepted version to the archive. Removes the oldest version first if the archive has
    /// [`MAX_ARCHIVED_VERSIONS`].
    ///
    /// # Errors
    /// [`Error::Io`]; the replica must stop after it.
    pub fn archive(&mut self, version: &Version) -> Result<()> {
        let newest = self.archive.last().copied().unwrap_or(0);
        assert!(
            version.number > newest,
            "version {} must be newer than {newest}",
            version.number
        );
        while self.archive.len() >= MAX_ARCHIVED_VERSIONS {
            let oldest = self.archive.pop_first().expect("the archive is not empty");
            self.disk
                .remove(&archive_name(oldest))
                .map_err(io_error("remove the oldest archived version"))?;
        }
        self.save(&archive_name(version.number), version)?;
        self.archive.insert(version.number);
        Ok(())
    }

    /// Returns the numbers of the archived versions in ascending order.
    pub fn archived(&self) -> impl Iterator<Item = u64> + '_ {
        self.archive.iter().copied()
    }

    /// Reads an archived version. Returns `None` if it is not in the archive.
    ///
    /// # Errors
    /// [`Error::Corrupt`] for a damaged file; [`Error::Io`].
    pub fn version(&self, number: u64) -> Result<Option<Version>> {
        if !self.archive.contains(&number) {
            return Ok(None);
        }
        let name = archive_name(number);
        load(&self.disk, &BTreeSet::from([name.clone()]), &name)
    }

    /// Returns the number of bytes written since the folder was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Returns the underlying folder.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Consumes the store and returns its folder.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
    fn save<T: Serialize>(&mut self, name: &str, value: &T) -> Result<()> {
        let bytes = frame(value);
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        self.disk
            .write(&temporary, &bytes)
            .map_err(io_error("write a temporary file"))?;
        self.disk
            .sync(&temporary)
            .map_err(io_error("sync a temporary file"))?;
        self.disk
            .rename(&temporary, name)
            .map_err(io_error("rename a temporary file"))?;
        self.disk
            .sync_folder()
            .map_err(io_error("sync the data folder"))?;
        self.bytes_written += bytes.len() as u64;
        Ok(())
    }
}

/// Initializes this replica as one of the initial `members`, for the command `control init`.
///
/// The operator runs the command with the same owners and members on each of the initial VMs. A replica whose id is not
/// in the list is refused. Thus a replica that lost its data folder, and with it its id, cannot be initialized again.
///
/// # Errors
/// [`Error::AlreadyInitialized`] for an initialized folder, [`Error::NotInMemberList`] and [`Error::InvalidMembers`]
/// for invalid arguments, [`Error::Io`].
pub fn init<D: Disk>(
    store: &mut Store<D>,
    owners: [PublicKey; 2],
    members: Vec<Member>,
) -> Result<(RegisterId, Proposal)> {
    if store.identity.register.is_some() {
        return Err(Error::AlreadyInitialized);
    }
    if owners[0] == owners[1] {
        return Err(Error::InvalidMembers("the owner keys are equal"));
    }
    let ids: BTreeSet<_> = members.iter().map(|m| m.id).collect();
    if ids.len() != members.len() {
        return Err(Error::InvalidMembers("a replica occurs twice"));
    }
    if !ids.contains(&store.identity.id) {
        return Err(Error::NotInMemberList(store.identity.id));
    }
    let state = RegisterState::new(owners, members);
    let register = RegisterId::of(&state);
    let initial = Proposal {
        ballot: Ballot::default(),
        state: Arc::new(state),
    };
    store.persist(&Record::Accepted(initial.clone()), register)?;
    Ok((register, initial))
}

/// Encodes a value as the content of a file: magic, length, checksum and the postcard encoding.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let content = postcard::to_stdvec(value).expect("a record can be encoded");
    let mut out = Vec::with_capacity(HEADER_BYTES + content.len());
    out.extend(MAGIC);
    out.extend((content.len() as u64).to_le_bytes());
    out.extend(crc32fast::hash(&content).to_le_bytes());
    out.extend(content);
    out
}

/// Decodes the result of [`frame`].
///
/// # Errors
/// Describes the check that failed.
pub fn unframe<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let Some((header, content)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(format!("{} bytes are shorter than the header", bytes.len()));
    };
    if header[..4] != MAGIC {
        return Err("unknown format".to_owned());
    }
    let length = u64::from_le_bytes(header[4..12].try_into().expect("8 bytes"));
    if length != content.len() as u64 {
        return Err(format!("{} bytes instead of {length}", content.len()));
    }
    let checksum = u32::from_le_bytes(header[12..].try_into().expect("4 bytes"));
    if checksum != crc32fast::hash(content) {
        return Err("checksum mismatch".to_owned());
    }
    match postcard::take_from_bytes(content) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(format!("{} bytes after the record", rest.len())),
        Err(e) => Err(e.to_string()),
    }
}

/// Reads and decodes the file `name` if it is among `names`, the files of the folder.
fn load<T: DeserializeOwned>(
    disk: &impl Disk,
    names: &BTreeSet<String>,
    name: &str,
) -> Result<Option<T>> {
    if !names.contains(name) {
        return Ok(None);
    }
    let bytes = disk.read(name).map_err(io_error("read a file"))?;
    match unframe(&bytes) {
        Ok(value) => Ok(Some(value)),
        Err(reason) => Err(Error::Corrupt {
            file: name.to_owned(),
            reason,
        }),
    }
}

fn decode_accepted(file: AcceptedFile) -> Result<Proposal> {
    let state = file.state.apply_to(None).map_err(|e| Error::Corrupt {
        file: ACCEPTED_FILE.to_owned(),
        reason: e.to_string(),
    })?;
    Ok(Proposal {
        ballot: file.ballot,
        state: Arc::new(state),
    })
}

fn archive_name(number: u64) -> String {
    format!("{ARCHIVE_PREFIX}{number:020}")
}

fn parse_archive_names(names: &BTreeSet<String>) -> Result<BTreeSet<u64>> {
    let numbers = names.iter().filter_map(|n| n.strip_prefix(ARCHIVE_PREFIX));
    numbers
        .map(|n| {
            n.parse().map_err(|_| Error::Corrupt {
                file: format!("{ARCHIVE_PREFIX}{n}"),
                reason: "the name does not end in a number".to_owned(),
            })
        })
        .collect()
}
