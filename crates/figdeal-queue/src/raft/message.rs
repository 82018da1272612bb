//! Messages between the replicas of a group.

use std::net::SocketAddr;

use figdeal_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{
    Index, Term,
    log::{Entry, Position, Snapshot},
};

/// One life of a store. A node that starts with an empty disk takes a new identity, so it cannot vote as if it
/// remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A voter and where it listens for other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its store.
    pub id: NodeId,
    /// Address for other processes.
    pub address: SocketAddr,
}

/// Entries from the leader, none of them in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Term of the leader.
    pub term: Term,
    /// The entry before the first of `entries`.
    pub prev: Position,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: Index,
    /// When the leader sent this, by its own clock in microseconds.
    pub sent_us: u64,
}

/// Answer to [`AppendEntries`] and to a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AppendEntriesReply {
    /// Term of the sender.
    pub term: Term,
    /// Durable entries that match the leader's log, or with `conflict` the last index that may match.
    pub index: Index,
    /// The entry before the first one is missing or of another term.
    pub conflict: bool,
    /// Copy of the leader's `sent`.
    pub sent_us: u64,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Asks whether a vote for `term` would be granted.
    PreVote {
        /// The term that the election would have.
        term: Term,
        /// Last entry of the sender.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// The term asked for.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
        /// Whether the sender leads.
        is_leader: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// Term of the election.
        term: Term,
        /// Last entry of the sender.
        last: Position,
        /// The leader itself asked for this election, so no lease stands against it.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Term of the voter.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries or a heartbeat.
    AppendEntries(AppendEntries),
    /// Answers entries, heartbeats and snapshots.
    AppendEntriesReply(AppendEntriesReply),
    /// State in place of entries that the leader has dropped.
    InstallSnapshot {
        /// Term of the leader.
        term: Term,
        /// The state.
        snapshot: Snapshot,
        /// When the leader sent this, by its own clock in microseconds.
        sent_us: u64,
    },
    /// The leader hands over: start an election at once.
    TimeoutNow {
        /// Term of the leader.
        term: Term,
    },
}

/// The leader's clock as it travels in messages.
pub(super) fn stamp(now: Timestamp) -> u64 {
    now.as_micros()
}
