//! Acceptor: promises and accepted state of one replica, without I/O.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    delta::StateDelta,
    message::{AcceptedState, Message},
    state::RegisterState,
    types::{Ballot, Digest, ReplicaId},
};

/// A state with the ballot that it was accepted under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Ballot.
    pub ballot: Ballot,
    /// State.
    pub state: Arc<RegisterState>,
}

/// What has to be synced before a reply is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A promise.
    Promise(Ballot),
    /// An accepted state; it implies the promise of its ballot.
    Accepted(Proposal),
}

/// Answer of an acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// To be synced first.
    pub persist: Option<Record>,
    /// To be sent then.
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

/// Identity of a register, derived from its founding state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterId(pub u64);

impl RegisterId {
    /// Identity of the register that `initial` starts.
    pub fn of(initial: &RegisterState) -> RegisterId {
        let bytes = postcard::to_stdvec(initial).expect("a state can be encoded");
        let digest = Digest::of(&bytes).0;
        RegisterId(u64::from_le_bytes(
            digest[..8].try_into().expect("8 of 32 bytes"),
        ))
    }
}

/// Memory of one replica's votes. A replica that was not founded holds no state and promises nothing.
#[derive(Debug, Clone)]
pub struct Acceptor {
    id: ReplicaId,
    promised: Ballot,
    accepted: Option<Proposal>,
}

impl Acceptor {
    /// Creates the acceptor from what its folder holds.
    pub fn new(id: ReplicaId, promised: Ballot, accepted: Option<Proposal>) -> Acceptor {
        let implied_promise = accepted.as_ref().map_or(Ballot::default(), |a| a.ballot);
        Acceptor {
            id,
            promised: promised.max(implied_promise),
            accepted,
        }
    }

    /// Highest promised ballot.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Accepted state, absent in a replica that was not founded.
    pub fn accepted(&self) -> Option<&Proposal> {
        self.accepted.as_ref()
    }

    /// Epoch of the member sets in the accepted state.
    pub fn epoch(&self) -> Option<u64> {
        self.accepted.as_ref().map(|a| a.state.members.epoch)
    }

    /// Handles a prepare. A replica that was not founded stays silent.
    ///
    /// An asker with older member sets learns the newer ones from the state in the promise.
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
    /// A replica that was not founded accepts a state that has it as a member: its identity has never voted, so
    /// it has forgotten nothing. A founded one also accepts a state that no longer has it, because a majority of
    /// the earlier set must accept the change that removes it.
    pub fn accept(&mut self, ballot: Ballot, base: Option<Ballot>, state: StateDelta) -> Outcome {
        if ballot < self.promised {
            return self.nack(ballot);
        }
        if self.accepted.as_ref().is_some_and(|a| a.ballot == ballot) {
            return Outcome::reply(Message::Accepted { ballot });
        }
        let base_state = self
            .accepted
            .as_ref()
            .filter(|base_state| Some(base_state.ballot) == base);
        let Ok(state) = state.apply_to(base_state.map(|h| &*h.state)) else {
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

    /// Takes over a chosen state that this replica missed, as if its accept had arrived.
    pub fn adopt(&mut self, chosen: &Proposal) -> Option<Record> {
        let current = self.accepted.as_ref()?;
        if chosen.ballot < self.promised || chosen.ballot <= current.ballot {
            return None;
        }
        self.promised = chosen.ballot;
        self.accepted = Some(chosen.clone());
        Some(Record::Accepted(chosen.clone()))
    }

    /// Handles a read.
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
