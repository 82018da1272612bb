//! Fake signatures, keys and members for the tests.

use figdeal_control::{
    sign::Verifier,
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, Signature},
};

/// Verifier for fake signatures, which are digests of the key and the message. Files that start with `bad` are invalid.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fake;

/// Returns the signature that [`Fake`] accepts.
pub(crate) fn sign(key: PublicKey, message: &[u8]) -> Signature {
    Signature(Digest::of(&[&key.0, message].concat()).0.to_vec())
}

impl Verifier for Fake {
    fn verify(&self, key: &PublicKey, message: &[u8], signature: &Signature) -> bool {
        *signature == sign(*key, message)
    }

    fn check(&self, bundle: &Bundle) -> Result<(), String> {
        match bundle.files.iter().find(|f| f.bytes.starts_with(b"bad")) {
            Some(file) => Err(format!("{} is bad", file.name)),
            None => Ok(()),
        }
    }
}

/// Returns the key with number `n`.
pub(crate) fn key(n: u64) -> PublicKey {
    PublicKey(Digest::of(&n.to_le_bytes()).0)
}

/// Returns a member with the id `id`, whose address is the number of its slot.
pub(crate) fn member(id: u64, slot: usize) -> Member {
    Member {
        id: ReplicaId(id),
        address: slot.to_string(),
    }
}
