//! Paxos acceptor of one replica, without I/O: the highest promise and the accepted state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    delta::StateDelta,
    message::{AcceptedState, Message},
    state::RegisterState,
    types::{Ballot, Digest, ReplicaId},
};

/// A state with the ballot under which it was proposed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// Proposed state of the register.
    pub state: Arc<RegisterState>,
}

/// Record that has to be synced to disk before the reply is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A promise to accept nothing below the ballot.
    Promise(Ballot),
    /// An accepted state, which implies the promise of its ballot.
    Accepted(Proposal),
}

/// Result of a message to the acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Record to sync before the reply is sent.
    pub persist: Option<Record>,
    /// Message to send to the requester.
    pub reply: Option<Message>,
}

impl Outcome {
    fn reply(reply: Message) -> Outcome {
        Outcome {
            persist: None,
            reply: Some(reply),
        }
    }
}

/// Id of a register: the first 8 bytes of the digest of its initial state, little-endian.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterId(pub u64);

impl RegisterId {
    /// Returns the id of the register with the initial state `initial`.
    pub fn of(initial: &RegisterState) -> RegisterId {
        let bytes = postcard::to_stdvec(initial).expect("a state can be encoded");
        let digest = Digest::of(&bytes).0;
        RegisterId(u64::from_le_bytes(
            digest[..8].try_into().expect("8 of 32 bytes"),
        ))
    }
}

/// Promise and accepted state of one replica. An uninitialized replica has no state and promises nothing.
#[derive(Debug, Clone)]
pub struct Acceptor {
    id: ReplicaId,
    promised: Ballot,
    accepted: Option<Proposal>,
}

impl Acceptor {
    /// Creates the acceptor from the promise and the accepted state in the data folder.
    pub fn new(id: ReplicaId, promised: Ballot, accepted: Option<Proposal>) -> Acceptor {
        let implied_promise = accepted.as_ref().map_or(Ballot::default(), |a| a.ballot);
        Acceptor {
            id,
            promised: promised.max(implied_promise),
            accepted,
        }
    }

    /// Returns the highest promised ballot.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Returns the accepted state, or `None` for an uninitialized replica.
    pub fn accepted(&self) -> Option<&Proposal> {
        self.accepted.as_ref()
    }

    /// Returns the epoch of the member sets in the accepted state.
    pub fn epoch(&self) -> Option<u64> {
        self.accepted.as_ref().map(|a| a.state.members.epoch)
    }

    /// Handles a prepare. An uninitialized replica does not reply.
    ///
    /// A proposer with older member sets learns the newer ones from the state in the promise.
    pub fn prepare(&mut self, ballot: Ballot, known_ballot: Ballot) -> Outcome {
        let Some(accepted) = &self.accepted else {
            return Outcome::default();
        };
        if ballot < self.promised {
            return self.nack(ballot);
        }
        let is_new = ballot > self.promised;
        self.promised = ballot;
        Outcome {
            persist: is_new.then_some(Record::Promise(ballot)),
            reply: Some(Message::Promise {
                ballot,
                accepted: accepted_state(accepted, known_ballot),
            }),
        }
    }

    /// Handles an accept.
    ///
    /// An uninitialized replica accepts a state if it is a member in that state. This is safe: its id has never voted,
    /// so no vote was lost. An initialized replica also accepts a state in which it is no longer a member, because a
    /// majority of the earlier set must accept the change that removes it.
    pub fn accept(&mut self, ballot: Ballot, base: Option<Ballot>, state: StateDelta) -> Outcome {
        if ballot < self.promised {
            return self.nack(ballot);
        }
        if self.accepted.as_ref().is_some_and(|a| a.ballot == ballot) {
            return Outcome::reply(Message::Accepted { ballot });
        }
        let base_state = self.accepted.as_ref().filter(|p| Some(p.ballot) == base);
        let Ok(state) = state.apply_to(base_state.map(|p| &*p.state)) else {
            return Outcome::default();
        };
        if self.accepted.is_none() && !state.members.contains(self.id) {
            return Outcome::default();
        }
        let proposal = Proposal {
            ballot,
            state: Arc::new(state),
        };
        self.promised = ballot;
        self.accepted = Some(proposal.clone());
        Outcome {
            persist: Some(Record::Accepted(proposal)),
            reply: Some(Message::Accepted { ballot }),
        }
    }

    /// Accepts a chosen state whose accept message this replica missed, unless it has promised a higher ballot.
    pub fn adopt(&mut self, chosen: &Proposal) -> Option<Record> {
        let current = self.accepted.as_ref()?;
        if chosen.ballot < self.promised || chosen.ballot <= current.ballot {
            return None;
        }
        self.promised = chosen.ballot;
        self.accepted = Some(chosen.clone());
        Some(Record::Accepted(chosen.clone()))
    }

    /// Handles a read. An uninitialized replica does not reply.
    pub fn read(&self, read_id: u64, known_ballot: Ballot) -> Outcome {
        let Some(accepted) = &self.accepted else {
            return Outcome::default();
        };
        Outcome::reply(Message::ReadReply {
            read_id,
            accepted: accepted_state(accepted, known_ballot),
        })
    }

    fn nack(&self, ballot: Ballot) -> Outcome {
        Outcome::reply(Message::Nack {
            ballot,
            promised: self.promised,
        })
    }
}

fn accepted_state(accepted: &Proposal, known_ballot: Ballot) -> AcceptedState {
    let state =
        (accepted.ballot != known_ballot).then(|| Box::new(StateDelta::new(&accepted.state, None)));
    AcceptedState {
        ballot: accepted.ballot,
        state,
    }
}
