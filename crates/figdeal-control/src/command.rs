//! Commands of clients and their answers.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    state::Member,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// A command with its request id, by which a repeated command is recognized and not applied twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Id of the request. A client sends the command again under the same id.
    pub request: RequestId,
    /// Requested operation.
    pub action: Action,
}

/// Operation that a command requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Proposes a change.
    Propose {
        /// Number for the change: the number in force plus one.
        number: u64,
        /// All files of the new configuration.
        bundle: Bundle,
        /// Owner that proposes the change.
        author: PublicKey,
        /// New keys of both owners, if the change replaces them.
        new_keys: Option<[PublicKey; 2]>,
        /// Signature of the author over [`crate::sign::change_message`]. Without it the author signs later.
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
    /// Discards the pending proposal.
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
    /// Replaces a member in the newest member set.
    Replace {
        /// Epoch of the member sets that the operator based the command on.
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
    /// The proposal is stored and waits for the signatures of `missing`.
    Pending {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
        /// Owners that have not signed yet.
        missing: Vec<PublicKey>,
    },
    /// The change is in force.
    Accepted {
        /// Number of the change.
        number: u64,
        /// Digest of the change.
        digest: Digest,
    },
    /// The proposal was discarded.
    Rejected {
        /// Number of the proposal.
        number: u64,
        /// Digest of the proposal.
        digest: Digest,
    },
    /// The new member was added. A later write drops the old member sets, which completes the replacement.
    Replaced {
        /// Epoch in which the new member was added.
        epoch: u64,
    },
    /// The command was refused; the register is unchanged apart from the recorded answer.
    Refused(RefusalReason),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefusalReason {
    /// number {asked} is out of date; the next change is number {next}
    StaleNumber {
        /// Number in the command.
        asked: u64,
        /// Number of the next change.
        next: u64,
    },
    /// number {number} is taken by change {digest} of {author}
    NumberTaken {
        /// Number in the command.
        number: u64,
        /// Digest of the change that has the number.
        digest: Digest,
        /// Author of that change.
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
    /// Returns whether the refusal is stored as the answer to the request id.
    ///
    /// Refusals for a wrong key, signature, content or request id are not stored. Otherwise anybody could cause synced
    /// writes and push the answers to owners out of the table of remembered requests.
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
