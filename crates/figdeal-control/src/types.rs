//! Ids, ballots, keys and configuration files of the register.

use std::fmt;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Largest sum of the lengths of all names and contents in a bundle.
///
/// A state holds two bundles (in force and pending), and tarpc limits a frame to 8 MiB by default.
pub const MAX_BUNDLE_BYTES: usize = 1 << 20;

/// Largest number of files in a bundle.
pub const MAX_FILES: usize = 256;

/// Random id of a replica. It is generated for a new data folder, stored there and never changed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Generates a random id for a new data folder.
    pub fn random() -> ReplicaId {
        ReplicaId(StdRng::from_os_rng().random())
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Ballot of an attempt to change the register. Ballots are ordered by round, then replica, then incarnation.
///
/// The incarnation keeps a restarted proposer from reusing a ballot that it had sent before its own acceptor stored
/// it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Incremented for each attempt.
    pub round: u64,
    /// Id of the proposing replica.
    pub replica: u64,
    /// Number of times that the replica was started.
    pub incarnation: u64,
}

/// Id of a client request. A client sends a request again under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// Ed25519 public key of an owner of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PublicKey(pub [u8; 32]);

/// Signature of an owner as received, not yet verified.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature(pub Vec<u8>);

/// SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }
}

fn write_hex(bytes: &[u8], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|b| write!(f, "{b:02x}"))
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0[..4], f)
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0[..4], f)
    }
}

impl fmt::Debug for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Signature({} bytes)", self.0.len())
    }
}

/// A configuration file. The register does not interpret its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Path relative to the configuration folder.
    pub name: String,
    /// Content, byte for byte.
    pub bytes: Vec<u8>,
}

/// Configuration files in a fixed order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Bundle {
    /// Files. Their order is part of what the owners sign.
    pub files: Vec<File>,
}

impl Bundle {
    /// Creates a bundle from names and contents.
    pub fn new<N: Into<String>, B: Into<Vec<u8>>>(
        files: impl IntoIterator<Item = (N, B)>,
    ) -> Bundle {
        let files = files
            .into_iter()
            .map(|(name, bytes)| File {
                name: name.into(),
                bytes: bytes.into(),
            })
            .collect();
        Bundle { files }
    }

    /// Returns the sum of the lengths of all names and contents.
    pub fn total_bytes(&self) -> usize {
        self.files
            .iter()
            .map(|f| f.name.len() + f.bytes.len())
            .sum()
    }

    /// Checks the number of files, their total size, and that each has a distinct, non-empty name.
    ///
    /// # Errors
    /// Describes the first violation, with the file that it concerns.
    pub fn check_files(&self) -> Result<(), String> {
        if self.files.is_empty() || self.files.len() > MAX_FILES {
            return Err(format!(
                "{} files; 1 to {MAX_FILES} are allowed",
                self.files.len()
            ));
        }
        if self.total_bytes() > MAX_BUNDLE_BYTES {
            return Err(format!(
                "{} bytes; at most {MAX_BUNDLE_BYTES} are allowed",
                self.total_bytes()
            ));
        }
        for (i, file) in self.files.iter().enumerate() {
            if file.name.is_empty() {
                return Err(format!("file {i} has no name"));
            }
            if self.files[..i].iter().any(|f| f.name == file.name) {
                return Err(format!("file name {:?} occurs twice", file.name));
            }
        }
        Ok(())
    }
}
