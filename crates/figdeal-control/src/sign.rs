//! Messages that the owners sign, and the verification of signatures and configurations.

use ed25519_dalek::{Signature as EdSignature, VerifyingKey};

use crate::{
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// Domain separation tag of the signature that accepts a change. The tags keep a signature for one purpose from being
/// valid for another.
pub const CHANGE_TAG: &[u8] = b"figdeal change v1\0";
/// Domain separation tag of the rejection of a proposal.
pub const REJECT_TAG: &[u8] = b"figdeal reject v1\0";
/// Domain separation tag of a member replacement.
pub const REPLACE_TAG: &[u8] = b"figdeal replace v1\0";

/// Checks that the register leaves to its user.
pub trait Verifier {
    /// Returns whether `signature` is a valid signature of `message` by `key`.
    fn verify(&self, key: &PublicKey, message: &[u8], signature: &Signature) -> bool;

    /// Checks the content of a proposed configuration.
    ///
    /// # Errors
    /// Describes what is wrong with the configuration.
    fn check(&self, bundle: &Bundle) -> Result<(), String>;
}

/// Verifier for ed25519 signatures (strict verification) that checks configurations by a given function.
///
/// ```
/// use figdeal_control::{sign::{Ed25519Verifier, Verifier}, types::Bundle};
///
/// let verifier = Ed25519Verifier::new(|bundle: &Bundle| bundle.check_files());
/// assert!(verifier.check(&Bundle::default()).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct Ed25519Verifier<C> {
    check: C,
}

impl<C: Fn(&Bundle) -> Result<(), String>> Ed25519Verifier<C> {
    /// Creates a verifier that checks configurations with `check`.
    pub fn new(check: C) -> Ed25519Verifier<C> {
        Ed25519Verifier { check }
    }
}

impl<C: Fn(&Bundle) -> Result<(), String>> Verifier for Ed25519Verifier<C> {
    fn verify(&self, key: &PublicKey, message: &[u8], signature: &Signature) -> bool {
        let Ok(key) = VerifyingKey::from_bytes(&key.0) else {
            return false;
        };
        let Ok(signature) = EdSignature::from_slice(&signature.0) else {
            return false;
        };
        key.verify_strict(message, &signature).is_ok()
    }

    fn check(&self, bundle: &Bundle) -> Result<(), String> {
        (self.check)(bundle)
    }
}

/// Returns the exact bytes that an owner signs to accept a change.
///
/// The layout is the tag, the number (u64), the count of files (u32), for each file the length of its name (u32),
/// the name and the SHA-256 of its content, then the count of new keys (u8, 0 or 2) and these keys. Integers are
/// little-endian. Each part has a fixed length or is preceded by its length, so different changes always have
/// different messages.
///
/// ```
/// use figdeal_control::{sign::change_message, types::Bundle};
///
/// let bundle = Bundle::new([("base.toml", "a = 1")]);
/// assert_ne!(change_message(1, &bundle, &None), change_message(2, &bundle, &None));
/// ```
pub fn change_message(number: u64, bundle: &Bundle, new_keys: &Option<[PublicKey; 2]>) -> Vec<u8> {
    let mut out = CHANGE_TAG.to_vec();
    out.extend(number.to_le_bytes());
    out.extend((bundle.files.len() as u32).to_le_bytes());
    for file in &bundle.files {
        out.extend((file.name.len() as u32).to_le_bytes());
        out.extend(file.name.as_bytes());
        out.extend(Digest::of(&file.bytes).0);
    }
    match new_keys {
        None => out.push(0),
        Some(keys) => {
            out.push(2);
            keys.iter().for_each(|k| out.extend(k.0));
        }
    }
    out
}

/// Returns the digest that identifies a change: the SHA-256 of its [`change_message`].
pub fn change_digest(number: u64, bundle: &Bundle, new_keys: &Option<[PublicKey; 2]>) -> Digest {
    Digest::of(&change_message(number, bundle, new_keys))
}

/// Returns the exact bytes that an owner signs to reject a proposal.
///
/// They include the request id of the proposal, so that the signature is not valid for a later, equal proposal.
pub fn reject_message(number: u64, digest: &Digest, proposal: RequestId) -> Vec<u8> {
    let mut out = REJECT_TAG.to_vec();
    out.extend(number.to_le_bytes());
    out.extend(digest.0);
    out.extend(proposal.0.to_le_bytes());
    out
}

/// Returns the exact bytes that an owner signs to replace a member; `epoch` is the epoch of the member set to change.
pub fn replace_message(epoch: u64, old: ReplicaId, new: &Member) -> Vec<u8> {
    let mut out = REPLACE_TAG.to_vec();
    out.extend(epoch.to_le_bytes());
    out.extend(old.0.to_le_bytes());
    out.extend(new.id.0.to_le_bytes());
    out.extend((new.address.len() as u32).to_le_bytes());
    out.extend(new.address.as_bytes());
    out
}
