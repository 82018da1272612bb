//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{
    acceptor::RegisterId,
    delta::StateDelta,
    types::{Ballot, ReplicaId},
};

/// A message with its sender and receiver.
///
/// A replica drops a message for another replica id or register. A replica that lost its data folder has a new id, so
/// it cannot answer for the replica that had its address before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sender.
    pub from: ReplicaId,
    /// Address for the reply; the receiver may not know the sender yet.
    pub reply_to: String,
    /// Id of the receiver.
    pub to: ReplicaId,
    /// Register that the message is about.
    pub register: RegisterId,
    /// The message itself.
    pub message: Message,
}

/// Message of the consensus protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Phase 1: requests a promise to accept nothing below `ballot`.
    Prepare {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Ballot of the state that the sender has; the promise leaves out that state.
        known_ballot: Ballot,
    },
    /// Reply to a prepare: the promise, with the state accepted so far.
    Promise {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// State that the sender has accepted.
        accepted: AcceptedState,
    },
    /// Phase 2: requests the acceptance of a state.
    Accept {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Ballot of the state that `state` is a delta of, absent if `state` is complete.
        base: Option<Ballot>,
        /// State to accept.
        state: Box<StateDelta>,
    },
    /// Reply to an accept: the state of this ballot is accepted and synced to disk.
    Accepted {
        /// Ballot of the attempt.
        ballot: Ballot,
    },
    /// Reply to a prepare or accept: refused, because a higher ballot was promised.
    Nack {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Promised ballot.
        promised: Ballot,
    },
    /// Requests the accepted state without a promise.
    Read {
        /// Id of the read, unique for the sender.
        read_id: u64,
        /// Ballot of the state that the sender has; the reply leaves out that state.
        known_ballot: Ballot,
    },
    /// Reply to a read.
    ReadReply {
        /// Id of the read.
        read_id: u64,
        /// State that the sender has accepted.
        accepted: AcceptedState,
    },
    /// Announces that a quorum has accepted the state of this ballot.
    Chosen {
        /// Ballot of the state.
        ballot: Ballot,
    },
}

/// Last accepted state of an acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedState {
    /// Ballot under which it was accepted.
    pub ballot: Ballot,
    /// The state, absent if the requester has it already.
    pub state: Option<Box<StateDelta>>,
}
