//! Commands of clients and their answers.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// A command with the identity that makes its resend harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Identity of the request; a resend carries the same one.
    pub request: RequestId,
    /// What to do.
    pub action: Action,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Proposes a change.
    Propose {
        /// Number that the change would get: that of the one in force plus one.
        number: u64,
        /// All files of the new configuration.
        bundle: Bundle,
        /// Owner that proposes.
        author: PublicKey,
        /// Keys that replace both owner keys.
        new_keys: Option<[PublicKey; 2]>,
        /// Signature of the author over [`crate::sign::change_message`].
        signature: Option<Signature>,
    },
    /// Adds an owner's signature to the pending proposal.
    Sign {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
        /// Owner that signs.
        signer: PublicKey,
        /// Signature over [`crate::sign::change_message`].
        signature: Signature,
    },
    /// Drops the pending proposal.
    Reject {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
        /// Owner that rejects.
        signer: PublicKey,
        /// Signature over [`crate::sign::reject_message`].
        signature: Signature,
    },
    /// Replaces a member of the newest member set.
    Replace {
        /// Epoch of the member sets that the operator saw.
        epoch: u64,
        /// Member to remove.
        old: ReplicaId,
        /// Member to add.
        new: Member,
        /// Owner that signs.
        signer: PublicKey,
        /// Signature over [`crate::sign::replace_message`].
        signature: Signature,
    },
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The proposal waits for the signatures of `missing`.
    Pending {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
        /// Owners that have not signed.
        missing: Vec<PublicKey>,
    },
    /// The change is in force.
    Accepted {
        /// Number of the change.
        number: u64,
        /// Digest of the change.
        digest: Digest,
    },
    /// The proposal was dropped.
    Rejected {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
    },
    /// The member was replaced.
    Replaced {
        /// Epoch of the member sets that first had the new member.
        epoch: u64,
    },
    /// Nothing was changed.
    Refused(RefusalReason),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefusalReason {
    /// number {asked} is out of date; the next change is number {next}
    StaleNumber {
        /// Number in the command.
        asked: u64,
        /// Number that the next change gets.
        next: u64,
    },
    /// number {number} is taken by change {digest} of {author}
    NumberTaken {
        /// Number in the command.
        number: u64,
        /// Digest of the winner.
        digest: Digest,
        /// Author of the winner.
        author: PublicKey,
    },
    /// there is no proposal for number {0}
    NoProposal(u64),
    /// {0} is not the key of an owner
    NotOwner(PublicKey),
    /// the signature of {0} does not match this command
    BadSignature(PublicKey),
    /// the configuration is invalid: {0}
    Invalid(String),
    /// the new owner keys must differ from each other
    EqualOwnerKeys,
    /// request id was used for another command
    RequestIdReused,
    /// member epoch {asked} is out of date; it is {current}
    StaleEpoch {
        /// Epoch in the command.
        asked: u64,
        /// Epoch of the state.
        current: u64,
    },
    /// replica {0} is not a member
    NotMember(ReplicaId),
    /// replica {0} is a member already
    AlreadyMember(ReplicaId),
    /// too many unfinished replacements
    TooManyReplacements,
}

impl RefusalReason {
    /// Whether the refusal is remembered under the request id.
    ///
    /// A command that fails its checks without regard to the state is not recorded, so that requests of
    /// outsiders cost no synced writes and do not displace the answers of owners.
    pub fn is_recorded(&self) -> bool {
        !matches!(
            self,
            RefusalReason::NotOwner(_)
                | RefusalReason::BadSignature(_)
                | RefusalReason::Invalid(_)
                | RefusalReason::EqualOwnerKeys
                | RefusalReason::RequestIdReused
        )
    }
}
