//! Identities, ballots, keys and the opaque configuration files.

use std::fmt;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Largest sum of the names and contents of a bundle, in bytes.
///
/// A state holds two bundles, and tarpc's default frame is 8 MiB.
pub const MAX_BUNDLE_BYTES: usize = 1 << 20;

/// Largest number of files in a bundle.
pub const MAX_FILES: usize = 256;

/// Random identity of a replica, kept in its data folder for the life of that folder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// Draws an identity for a new folder.
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

/// Ballot of the agreement. The order is that of the fields.
///
/// `incarnation` counts the starts of the replica, so that a restarted proposer cannot reuse a ballot that it sent before
/// its own acceptor had stored it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Grows with each attempt.
    pub round: u64,
    /// The replica that proposes.
    pub replica: u64,
    /// Start of that replica.
    pub incarnation: u64,
}

/// Identity of a client request; a resend carries the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// Public key of an owner.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PublicKey(pub [u8; 32]);

/// Signature of an owner as it was received.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature(pub Vec<u8>);

/// SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
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

/// One configuration file; the register does not look into it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Name, relative to the configuration folder.
    pub name: String,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Ordered list of configuration files.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Bundle {
    /// The files; their order is part of what owners sign.
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

    /// Sum of the names and contents in bytes.
    pub fn total_bytes(&self) -> usize {
        self.files
            .iter()
            .map(|f| f.name.len() + f.bytes.len())
            .sum()
    }

    /// Checks the bounds and that names are present and distinct.
    ///
    /// # Errors
    /// Says what is wrong and names the file.
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
