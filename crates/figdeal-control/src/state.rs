//! State of the register.

use std::collections::{BTreeSet, VecDeque};

use figdeal_core::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::{
    command::Answer,
    types::{Bundle, Digest, PublicKey, ReplicaId, RequestId, Signature},
};

/// Request ids that are remembered with their answers.
///
/// After its id was dropped, a resend is refused as stale or has no further effect, because each command names the
/// number, proposal or epoch that it applies to.
pub const MAX_REMEMBERED_REQUESTS: usize = 128;

/// Entries of the history inside the state; older ones are in the archive of each replica.
pub const MAX_HISTORY_ENTRIES: usize = 32;

/// Member sets that may be in force together while replacements are unfinished.
pub const MAX_MEMBER_SETS: usize = 4;

/// A replica and where to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity in the data folder of the replica.
    pub id: ReplicaId,
    /// Address (IP number and port).
    pub address: String,
}

/// The member sets in force; a quorum is a majority of each of them.
///
/// A replacement appends a set. The earlier sets are dropped only by a later write, once a state that has all of
/// them is known to be chosen; otherwise a proposer that knows only an earlier set could miss a chosen state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Grows with each change.
    pub epoch: u64,
    /// At least one set; the last one is the newest.
    pub sets: Vec<Vec<Member>>,
}

impl Members {
    /// Creates the founding member set.
    pub fn new(set: Vec<Member>) -> Members {
        Members {
            epoch: 0,
            sets: vec![set],
        }
    }

    /// The newest set.
    pub fn newest(&self) -> &[Member] {
        self.sets.last().expect("there is at least one member set")
    }

    /// Whether a replacement is unfinished.
    pub fn is_joint(&self) -> bool {
        self.sets.len() > 1
    }

    /// Whether `id` is in one of the sets.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.sets.iter().flatten().any(|m| m.id == id)
    }

    /// Whether `votes` holds a majority of each set.
    pub fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        self.sets.iter().all(|set| {
            let count = set.iter().filter(|m| votes.contains(&m.id)).count();
            count > set.len() / 2
        })
    }

    /// Members of the newest set that are not in the oldest one.
    pub fn joining(&self) -> impl Iterator<Item = ReplicaId> {
        let oldest = &self.sets[0];
        let is_new = |m: &&Member| !oldest.iter().any(|o| o.id == m.id);
        self.newest().iter().filter(is_new).map(|m| m.id)
    }

    /// Members of all sets, each once.
    pub fn all(&self) -> Vec<Member> {
        let mut seen = BTreeSet::new();
        let newest_first = self.sets.iter().rev().flatten();
        newest_first
            .filter(|m| seen.insert(m.id))
            .cloned()
            .collect()
    }

    /// The members with only the newest set.
    pub fn without_old_sets(&self) -> Members {
        Members {
            epoch: self.epoch + 1,
            sets: vec![self.newest().to_vec()],
        }
    }
}

/// A proposal that waits for signatures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChange {
    /// Number that it gets when accepted.
    pub number: u64,
    /// Digest of the change, see [`crate::sign::change_digest`].
    pub digest: Digest,
    /// Proposed files.
    pub bundle: Bundle,
    /// Proposed owner keys.
    pub new_keys: Option<[PublicKey; 2]>,
    /// Owner that proposed it.
    pub author: PublicKey,
    /// Request that proposed it.
    pub request: RequestId,
    /// Signatures, at most one for each owner.
    pub signatures: Vec<(PublicKey, Signature)>,
}

/// Record of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Number of the change.
    pub number: u64,
    /// Digest of the change.
    pub digest: Digest,
    /// Owner that proposed it.
    pub author: PublicKey,
    /// Owners that signed it.
    pub signers: [PublicKey; 2],
    /// Wall clock of the replica that applied the last signature.
    pub time: UnixMillis,
}

/// Request id with the digest of the command and its first answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredRequest {
    /// Identity of the request.
    pub request: RequestId,
    /// Digest of the command, to detect an id that is used twice.
    pub command: Digest,
    /// The first answer.
    pub answer: Answer,
}

/// The whole state of the register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterState {
    /// Number of the accepted change in force, 0 before the first one.
    pub number: u64,
    /// Files in force.
    pub bundle: Bundle,
    /// The two co-owners.
    pub owners: [PublicKey; 2],
    /// Proposal that waits for signatures.
    pub pending: Option<PendingChange>,
    /// Member sets.
    pub members: Members,
    /// Last requests, oldest first.
    pub requests: VecDeque<AnsweredRequest>,
    /// Last accepted changes, oldest first.
    pub history: VecDeque<AcceptedChange>,
}

impl RegisterState {
    /// The state before the first change.
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

    /// Record of the change in force.
    pub fn last_accepted(&self) -> Option<&AcceptedChange> {
        self.history.back()
    }

    /// Answer that was given to `request` before.
    pub fn find_answer(&self, request: RequestId) -> Option<&AnsweredRequest> {
        self.requests.iter().find(|a| a.request == request)
    }
}
