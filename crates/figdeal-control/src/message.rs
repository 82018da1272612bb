//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{
    acceptor::RegisterId,
    delta::StateDelta,
    types::{Ballot, ReplicaId},
};

/// A message with the identities that it is from and for.
///
/// A receiver with another identity or another register drops it, so that a replica that lost its folder cannot
/// answer for the one that had this address before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Address of the sender, which the receiver need not know yet.
    pub reply_to: String,
    /// Receiver.
    pub to: ReplicaId,
    /// Register that the message is about.
    pub register: RegisterId,
    /// Content.
    pub message: Message,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a promise to accept nothing below `ballot`.
    Prepare {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Ballot of the state that the sender holds, which need not be sent back.
        known_ballot: Ballot,
    },
    /// The promise, with the accepted state.
    Promise {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Accepted state.
        accepted: AcceptedState,
    },
    /// Asks to accept a state.
    Accept {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Ballot of the state whose files are left out.
        base: Option<Ballot>,
        /// The state.
        state: Box<StateDelta>,
    },
    /// The state of this ballot is accepted and synced.
    Accepted {
        /// Ballot of the attempt.
        ballot: Ballot,
    },
    /// The attempt is refused because a higher ballot was promised.
    Nack {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Ballot that was promised.
        promised: Ballot,
    },
    /// Asks for the accepted state without any promise.
    Read {
        /// Distinguishes the reads of one sender.
        read_id: u64,
        /// Ballot of the state that the sender holds.
        known_ballot: Ballot,
    },
    /// The accepted state.
    ReadReply {
        /// Token of the read.
        read_id: u64,
        /// Accepted state.
        accepted: AcceptedState,
    },
    /// The state of this ballot was accepted by a quorum.
    Chosen {
        /// Ballot of the state.
        ballot: Ballot,
    },
}

/// The state that an acceptor holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedState {
    /// Ballot that it was accepted under.
    pub ballot: Ballot,
    /// The state, absent when the asker holds it.
    pub state: Option<Box<StateDelta>>,
}
