//! State of the register.

use std::collections::{BTreeSet, VecDeque};

use figdeal_core::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::{
    command::Answer,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// Number of requests whose answers are remembered.
///
/// A request that is sent again after its answer was dropped does no harm: each command names the number, proposal or
/// epoch that it applies to, so it is refused as out of date or has no further effect.
pub const MAX_REMEMBERED_REQUESTS: usize = 128;

/// Largest number of accepted changes in the history of the state; each replica keeps older ones in its archive.
pub const MAX_HISTORY_ENTRIES: usize = 32;

/// Largest number of member sets that are in force together while replacements are unfinished.
pub const MAX_MEMBER_SETS: usize = 4;

/// A replica that votes, and its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id from the data folder of the replica.
    pub id: ReplicaId,
    /// IP address and port.
    pub address: String,
}

/// Member sets in force (joint consensus): a quorum needs a majority of each set.
///
/// The replacement of a member appends a set. A later write drops the old sets, once a state with all of them is known
/// to be chosen. Otherwise a proposer that knows only an old set could miss a chosen state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Incremented with each change of the member sets.
    pub epoch: u64,
    /// Member sets, at least one; the last one is the newest.
    pub sets: Vec<Vec<Member>>,
}

impl Members {
    /// Creates the initial member set, with epoch 0.
    pub fn new(set: Vec<Member>) -> Members {
        Members {
            epoch: 0,
            sets: vec![set],
        }
    }

    /// Returns the newest set.
    pub fn newest(&self) -> &[Member] {
        self.sets.last().expect("there is at least one member set")
    }

    /// Returns whether several member sets are in force, that is, a replacement is unfinished.
    pub fn is_joint(&self) -> bool {
        self.sets.len() > 1
    }

    /// Returns whether `id` is in one of the sets.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.sets.iter().flatten().any(|m| m.id == id)
    }

    /// Returns whether `votes` contains a majority of each set.
    pub fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        self.sets.iter().all(|set| {
            let count = set.iter().filter(|m| votes.contains(&m.id)).count();
            count > set.len() / 2
        })
    }

    /// Returns the members of the newest set that are not in the oldest one.
    pub fn new_members(&self) -> impl Iterator<Item = ReplicaId> {
        let oldest = &self.sets[0];
        let is_new = |m: &&Member| !oldest.iter().any(|o| o.id == m.id);
        self.newest().iter().filter(is_new).map(|m| m.id)
    }

    /// Returns the members of all sets, each once; the newest set decides on an address.
    pub fn all(&self) -> Vec<Member> {
        let mut seen = BTreeSet::new();
        let newest_first = self.sets.iter().rev().flatten();
        newest_first
            .filter(|m| seen.insert(m.id))
            .cloned()
            .collect()
    }

    /// Returns the members with only the newest set, in a new epoch.
    pub fn without_old_sets(&self) -> Members {
        Members {
            epoch: self.epoch + 1,
            sets: vec![self.newest().to_vec()],
        }
    }
}

/// Proposed change that waits for signatures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChange {
    /// Number that the change gets when it is accepted.
    pub number: u64,
    /// Digest of the change, computed by [`crate::sign::change_digest`].
    pub digest: Digest,
    /// Proposed files.
    pub bundle: Bundle,
    /// Proposed new keys of both owners.
    pub new_keys: Option<[PublicKey; 2]>,
    /// Owner that proposed the change.
    pub author: PublicKey,
    /// Request that proposed the change.
    pub request: RequestId,
    /// Valid signatures so far, at most one for each owner.
    pub signatures: Vec<(PublicKey, Signature)>,
}

/// Record of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Number of the change.
    pub number: u64,
    /// Digest of the change.
    pub digest: Digest,
    /// Owner that proposed the change.
    pub author: PublicKey,
    /// Owners that signed the change.
    pub signers: [PublicKey; 2],
    /// Time at which the last signature was applied, by the wall clock of the replica that did so.
    pub time: UnixMillis,
}

/// Request id with the digest of its command and the first answer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Digest of the command, to detect an id that is used for two commands.
    pub command: Digest,
    /// First answer to the request.
    pub answer: Answer,
}

/// Complete state of the register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterState {
    /// Number of the change in force, 0 before the first change.
    pub number: u64,
    /// Configuration files in force.
    pub bundle: Bundle,
    /// Keys of the two owners. Both must sign a change.
    pub owners: [PublicKey; 2],
    /// Proposed change that waits for signatures.
    pub pending: Option<PendingChange>,
    /// Replicas that vote.
    pub members: Members,
    /// Last answered requests, oldest first; at most [`MAX_REMEMBERED_REQUESTS`].
    pub requests: VecDeque<AnsweredRequest>,
    /// Last accepted changes, oldest first; at most [`MAX_HISTORY_ENTRIES`].
    pub history: VecDeque<AcceptedChange>,
}

impl RegisterState {
    /// Creates the state before the first change.
    pub fn new(owners: [PublicKey; 2], members: Vec<Member>) -> RegisterState {
        RegisterState {
            number: 0,
            bundle: Bundle::default(),
            owners,
            pending: None,
            members: Members::new(members),
            requests: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Returns the record of the change in force.
    pub fn last_accepted(&self) -> Option<&AcceptedChange> {
        self.history.back()
    }

    /// Returns the remembered answer to `request`.
    pub fn find_answer(&self, request: RequestId) -> Option<&AnsweredRequest> {
        self.requests.iter().find(|a| a.request == request)
    }
}
