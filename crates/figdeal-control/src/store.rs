//! Storage of one replica: identity, promise, accepted state and archive in one data folder.

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

/// Accepted versions that are kept on disk.
pub const MAX_ARCHIVED_VERSIONS: usize = 256;

const IDENTITY_FILE: &str = "identity";
const PROMISE_FILE: &str = "promise";
const ACCEPTED_FILE: &str = "accepted";
const ARCHIVE_PREFIX: &str = "version-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// First bytes of each file; the last one is the format version.
const MAGIC: [u8; 4] = *b"fdc1";
/// Magic, length of the content (u64) and CRC-32 of the content (u32).
const HEADER_BYTES: usize = 16;

/// Result of a storage operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a storage operation. After one of them the replica must stop and start again from its folder.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {cause}
    Io {
        /// What was being done.
        step: &'static str,
        /// Error with the path.
        cause: io::Error,
    },
    /// file {file} is corrupt: {reason}
    Corrupt {
        /// Name in the data folder.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// file {0} is missing although the folder was in use; replace the member
    MissingFile(&'static str),
    /// this replica stopped after a storage error
    Stopped,
    /// the data folder is a member already
    AlreadyInitialized,
    /// this replica ({0}) is not in the list of founding members
    NotInMemberList(ReplicaId),
    /// the founding members are invalid: {0}
    InvalidMembers(&'static str),
}

impl std::error::Error for Error {}

fn io_error(step: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |cause| Error::Io { step, cause }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    id: ReplicaId,
    /// Counts the starts, see [`Ballot`].
    incarnation: u64,
    /// Set once the replica may have voted; from then on a missing state is an error.
    register: Option<RegisterId>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedFile {
    register: RegisterId,
    ballot: Ballot,
    state: StateDelta,
}

/// An accepted version as entries get it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the change.
    pub number: u64,
    /// Digest of the change.
    pub digest: Digest,
    /// Files.
    pub bundle: Bundle,
    /// Owners that signed it.
    pub signers: [PublicKey; 2],
    /// When the last signature was applied.
    pub time: UnixMillis,
}

impl Version {
    /// The version in force in `state`.
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

/// What a folder holds at the start.
#[derive(Debug)]
pub struct LoadedState {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Number of this start.
    pub incarnation: u64,
    /// Register that the replica is a member of.
    pub register: Option<RegisterId>,
    /// Highest synced promise.
    pub promised: Ballot,
    /// Accepted state.
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
    /// Opens the folder. An empty folder gets the identity `new_id` and is not a member of anything.
    ///
    /// # Errors
    /// [`Error::Corrupt`] names the file; [`Error::MissingFile`] if a member's state is absent.
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
    /// [`Error::Io`]; the replica must stop then.
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

    /// Adds an accepted version to the archive and drops the oldest one beyond [`MAX_ARCHIVED_VERSIONS`].
    ///
    /// # Errors
    /// [`Error::Io`]; the replica must stop then.
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

    /// Numbers of the archived versions.
    pub fn archived(&self) -> impl Iterator<Item = u64> + '_ {
        self.archive.iter().copied()
    }

    /// Reads an archived version.
    ///
    /// # Errors
    /// [`Error::Corrupt`] names the file.
    pub fn version(&self, number: u64) -> Result<Option<Version>> {
        if !self.archive.contains(&number) {
            return Ok(None);
        }
        let name = archive_name(number);
        load(&self.disk, &BTreeSet::from([name.clone()]), &name)
    }

    /// Bytes written since the folder was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// The folder.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Gives the folder back.
    pub fn into_disk(self) -> D {
        self.disk
    }

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

/// Founds this replica as one of `members`, for `control init`.
///
/// The operator runs it with the same owners and members on each founding VM. A folder whose identity is not in the
/// list is refused, so a replica that lost its folder cannot be founded again under its old identity.
///
/// # Errors
/// [`Error::AlreadyInitialized`] if the folder is a member already, [`Error::NotInMemberList`] and [`Error::InvalidMembers`] for a wrong
/// list, else the error of the storage.
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

/// Encodes a value with magic, length and checksum.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let content = postcard::to_stdvec(value).expect("a record can be encoded");
    let mut out = Vec::with_capacity(HEADER_BYTES + content.len());
    out.extend(MAGIC);
    out.extend((content.len() as u64).to_le_bytes());
    out.extend(crc32fast::hash(&content).to_le_bytes());
    out.extend(content);
    out
}

/// Decodes what [`frame`] wrote.
///
/// # Errors
/// Says which check failed.
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
                reason: "the name has no number".to_owned(),
            })
        })
        .collect()
}
