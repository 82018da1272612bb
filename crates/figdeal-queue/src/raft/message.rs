//! Messages between the replicas of a group.

use std::net::SocketAddr;

use figdeal_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{
    Index, Term,
    log::{Entry, Position, Snapshot},
};

/// Identity of a replica's storage. A node that starts with an empty disk takes a new identity, because it has lost
/// its term and vote and must not vote under the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A voter and the address where it listens for other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the voter's storage.
    pub id: NodeId,
    /// Address where it listens for other processes.
    pub address: SocketAddr,
}

/// AppendEntries of Raft; a heartbeat has no entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Term of the leader.
    pub term: Term,
    /// Position of the entry before the first of `entries`.
    pub prev: Position,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: Index,
    /// Leader's clock at the sending of this message, in microseconds.
    pub sent_us: u64,
}

/// Reply to [`AppendEntries`] and to a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AppendEntriesReply {
    /// Term of the replying node.
    pub term: Term,
    /// Last durable entry that matches the leader's log; with `conflict`, the last index that may match.
    pub index: Index,
    /// The entry at `prev` is missing or has another term.
    pub conflict: bool,
    /// Copy of `sent_us` from the request.
    pub sent_us: u64,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Asks whether a vote for `term` would be granted.
    PreVote {
        /// Term that the election would have.
        term: Term,
        /// Position of the candidate's last entry.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Term of the question.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
        /// Whether the replying node is the leader.
        is_leader: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// Term of the election.
        term: Term,
        /// Position of the candidate's last entry.
        last: Position,
        /// The leader requested this election to transfer its leadership, so its lease does not prevent the vote.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Term of the voter.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat.
    AppendEntries(AppendEntries),
    /// Answers AppendEntries and InstallSnapshot.
    AppendEntriesReply(AppendEntriesReply),
    /// Snapshot in place of entries that the leader has compacted.
    InstallSnapshot {
        /// Term of the leader.
        term: Term,
        /// Snapshot; the driver of the log fills in its data before sending.
        snapshot: Snapshot,
        /// Leader's clock at the sending of this message, in microseconds.
        sent_us: u64,
    },
    /// Leadership transfer: asks the receiver to start an election immediately.
    TimeoutNow {
        /// Term of the leader.
        term: Term,
    },
}

/// Converts a time to the microseconds used in messages.
pub(super) fn to_micros(now: Timestamp) -> u64 {
    now.as_micros()
}
