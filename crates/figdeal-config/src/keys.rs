//! Signing keys and signatures of the owners of the configuration.

use std::{
    fmt, fs,
    io::{self, Read, Write},
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::Path,
    str::FromStr,
};

use displaydoc::Display;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use rand::{TryRngCore, rngs::OsRng};
use serde::{Deserialize, Serialize};

/// Prefix of the text form of a public key.
const PUBLIC_PREFIX: &str = "figdeal-public-";

/// Prefix of the content of a private key file.
const PRIVATE_PREFIX: &str = "figdeal-private-";

/// Number of bytes read from a key file; a valid file has less than 100.
const MAX_KEY_FILE_BYTES: u64 = 1_024;

/// Permission bits that give the group or others access to a file.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Result of an operation on keys.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Error of an operation on keys. No variant contains a part of a private key.
#[derive(Debug, Display)]
pub enum KeyError {
    /// cannot get random bytes from the system: {0}
    Random(String),
    /// cannot {0} key file {1}: {2}
    Io(&'static str, String, io::Error),
    /// key file {0} has mode {1:03o}; it must be accessible by its owner only (chmod 600)
    InsecureMode(String, u32),
    /// key file {0} does not contain a private key
    InvalidPrivateKey(String),
    /// not a public key; expected figdeal-public- and 64 hexadecimal digits
    InvalidPublicKey,
    /// the signature does not match the message and the key
    InvalidSignature,
}

impl std::error::Error for KeyError {}

/// Ed25519 private key. `Debug` shows only the public key.
///
/// The key is cleared from memory when it is dropped. The text that is read from or written to a key file is not
/// cleared.
///
/// ```
/// use figdeal_config::keys::PrivateKey;
///
/// let key = PrivateKey::generate()?;
/// let signature = key.sign(b"message");
/// key.public().verify(b"message", &signature)?;
/// assert!(key.public().verify(b"another", &signature).is_err());
/// # Ok::<(), figdeal_config::keys::KeyError>(())
/// ```
pub struct PrivateKey(SigningKey);

impl PrivateKey {
    /// Generates a key from the random numbers of the operating system.
    ///
    /// # Errors
    /// Fails if the operating system provides no random numbers.
    pub fn generate() -> Result<PrivateKey> {
        let mut seed = [0; 32];
        OsRng
            .try_fill_bytes(&mut seed)
            .map_err(|error| KeyError::Random(error.to_string()))?;
        Ok(PrivateKey(SigningKey::from_bytes(&seed)))
    }

    /// Reads a key file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, if its mode gives access to anybody but its owner, or if it contains no key.
    pub fn read(path: impl AsRef<Path>) -> Result<PrivateKey> {
        let path = path.as_ref();
        let name = || path.display().to_string();
        let io = |error| KeyError::Io("read", name(), error);
        let file = fs::File::open(path).map_err(io)?;
        let mode = file.metadata().map_err(io)?.permissions().mode() & 0o777;
        if mode & GROUP_AND_OTHERS != 0 {
            return Err(KeyError::InsecureMode(name(), mode));
        }
        let mut text = String::new();
        file.take(MAX_KEY_FILE_BYTES)
            .read_to_string(&mut text)
            .map_err(io)?;
        let hex = text.trim_end().strip_prefix(PRIVATE_PREFIX);
        let seed = hex
            .and_then(parse_hex)
            .ok_or_else(|| KeyError::InvalidPrivateKey(name()))?;
        Ok(PrivateKey(SigningKey::from_bytes(&seed)))
    }

    /// Writes a new key file that only its owner can access, and syncs it.
    ///
    /// # Errors
    /// Fails if the file exists or cannot be written.
    pub fn write(&self, path: impl AsRef<Path>) -> Result<()> {
        let path = path.as_ref();
        let io = |error| KeyError::Io("write", path.display().to_string(), error);
        let mut options = fs::OpenOptions::new();
        let mut file = options
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path)
            .map_err(io)?;
        let text = format!("{PRIVATE_PREFIX}{}\n", Hex(self.0.as_bytes()));
        file.write_all(text.as_bytes())
            .and_then(|()| file.sync_all())
            .map_err(io)
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs a message.
    pub fn sign(&self, message: &[u8]) -> Signature {
        let signature = self.0.sign(message);
        Signature {
            r: *signature.r_bytes(),
            s: *signature.s_bytes(),
        }
    }
}

impl fmt::Debug for PrivateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PrivateKey(of {})", self.public())
    }
}

/// Ed25519 public key. Its text form is `figdeal-public-` and 64 hexadecimal digits.
///
/// ```
/// use figdeal_config::keys::{PrivateKey, PublicKey};
///
/// let key = PrivateKey::generate()?.public();
/// assert_eq!(key.to_string().parse::<PublicKey>()?, key);
/// # Ok::<(), figdeal_config::keys::KeyError>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PublicKey([u8; 32]);

impl PublicKey {
    /// Returns the 32 bytes of the key.
    pub fn to_bytes(self) -> [u8; 32] {
        self.0
    }

    /// Verifies a signature. Rejects weak keys and non-canonical signatures.
    ///
    /// # Errors
    /// Fails if the key is invalid or the signature does not match.
    pub fn verify(&self, message: &[u8], signature: &Signature) -> Result<()> {
        let key = VerifyingKey::from_bytes(&self.0).map_err(|_| KeyError::InvalidPublicKey)?;
        let signature = ed25519_dalek::Signature::from_components(signature.r, signature.s);
        key.verify_strict(message, &signature)
            .map_err(|_| KeyError::InvalidSignature)
    }
}

impl FromStr for PublicKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<PublicKey> {
        let hex = text.trim().strip_prefix(PUBLIC_PREFIX);
        let bytes = hex.and_then(parse_hex).ok_or(KeyError::InvalidPublicKey)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| KeyError::InvalidPublicKey)?;
        if key.is_weak() {
            return Err(KeyError::InvalidPublicKey);
        }
        Ok(PublicKey(bytes))
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PUBLIC_PREFIX}{}", Hex(&self.0))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Ed25519 signature. It is stored as two halves, because serde does not support arrays of 64 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    r: [u8; 32],
    s: [u8; 32],
}

impl Signature {
    /// Returns the 64 bytes of the signature.
    pub fn to_bytes(self) -> [u8; 64] {
        let mut bytes = [0; 64];
        bytes[..32].copy_from_slice(&self.r);
        bytes[32..].copy_from_slice(&self.s);
        bytes
    }
}

/// Formats 32 bytes as lower-case hexadecimal digits.
struct Hex<'a>(&'a [u8; 32]);

impl fmt::Display for Hex<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn parse_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
