//! Fake signatures and shared helpers.

use figdeal_control::{
    sign::Verifier,
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, Signature},
};

/// Verifier whose signatures are digests of the key and the message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fake;

/// Signs as the fake verifier expects it.
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

/// Key number `n`.
pub(crate) fn key(n: u64) -> PublicKey {
    PublicKey(Digest::of(&n.to_le_bytes()).0)
}

/// Member with the identity `id` at the address of slot `slot`.
pub(crate) fn member(id: u64, slot: usize) -> Member {
    Member {
        id: ReplicaId(id),
        address: slot.to_string(),
    }
}
