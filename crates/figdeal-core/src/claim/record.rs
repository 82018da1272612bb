//! The register of one submission at one acceptor: its last promise and its last vote.

use super::{
    message::{AcceptedValue, Ballot, EntryProcess, Step, StepResult},
    process_table::{ProcessId, ProcessTable},
};
use crate::{id::Digest, time::UnixMillis};

/// What an acceptor stores for one submission.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    /// The largest promised ballot; `None` only before the first step is answered.
    promised: Option<Ballot>,
    pub(super) accepted: Option<AcceptedValue>,
}

/// A record that refers to processes by number, which takes 40 instead of 104 bytes.
#[derive(Debug, Clone, Copy)]
pub(super) struct PackedRecord {
    digest: Digest,
    created: UnixMillis,
    /// Round and proposer of the promised ballot.
    promised: (u32, ProcessId),
    /// Round, proposer and owner of the last vote.
    accepted: Option<(u32, ProcessId, ProcessId)>,
}

const _: () = assert!(size_of::<PackedRecord>() == 40 && size_of::<Record>() == 104);

impl PackedRecord {
    pub(super) fn unpack(&self, processes: &ProcessTable) -> Record {
        let ballot = |round, proposer| Ballot {
            round,
            proposer: processes.get(proposer),
        };
        Record {
            digest: self.digest,
            created: self.created,
            promised: Some(ballot(self.promised.0, self.promised.1)),
            accepted: self.accepted.map(|(round, proposer, owner)| AcceptedValue {
                ballot: ballot(round, proposer),
                owner: processes.get(owner),
            }),
        }
    }
}

impl Record {
    pub(super) fn new(digest: Digest, created: UnixMillis) -> Record {
        Record {
            digest,
            created,
            promised: None,
            accepted: None,
        }
    }

    /// Returns the compact form for storage, or `None` if the process table has no room for the processes.
    pub(super) fn pack(&self, processes: &mut ProcessTable) -> Option<PackedRecord> {
        let promised = self.promised.expect("a stored record has a promise");
        let accepted = match self.accepted {
            Some(AcceptedValue { ballot, owner }) => Some((
                ballot.round,
                processes.id(ballot.proposer)?,
                processes.id(owner)?,
            )),
            None => None,
        };
        Some(PackedRecord {
            digest: self.digest,
            created: self.created,
            promised: (promised.round, processes.id(promised.proposer)?),
            accepted,
        })
    }

    pub(super) fn answer(&mut self, from: EntryProcess, step: Step) -> StepResult {
        let ballot = Ballot {
            round: step.round(),
            proposer: from,
        };
        match step {
            Step::Grant | Step::Vote => self.vote_in_round_zero(ballot),
            Step::Prepare { .. } => self.promise(ballot),
            Step::Accept { owner, .. } => self.vote(ballot, owner),
        }
    }

    /// Votes in round 0, which belongs to the one proposer to which the first acceptor granted it.
    fn vote_in_round_zero(&mut self, ballot: Ballot) -> StepResult {
        assert_eq!(ballot.round, 0, "only round 0 is granted");
        if self.promised.is_some_and(|p| p != ballot) {
            return self.refusal();
        }
        self.store_vote(ballot, ballot.proposer)
    }

    fn promise(&mut self, ballot: Ballot) -> StepResult {
        if self.promised.is_some_and(|p| p > ballot) {
            return self.refusal();
        }
        self.set_promise(ballot);
        StepResult::Promised(self.accepted)
    }

    fn vote(&mut self, ballot: Ballot, owner: EntryProcess) -> StepResult {
        let is_other_owner = |a: AcceptedValue| a.ballot == ballot && a.owner != owner;
        if self.promised.is_some_and(|p| p > ballot) || self.accepted.is_some_and(is_other_owner) {
            return self.refusal();
        }
        self.store_vote(ballot, owner)
    }

    fn store_vote(&mut self, ballot: Ballot, owner: EntryProcess) -> StepResult {
        self.set_promise(ballot);
        if let Some(before) = self.accepted {
            assert!(
                before.ballot <= ballot,
                "the ballots of votes must not decrease"
            );
            assert!(
                before.ballot != ballot || before.owner == owner,
                "a ballot proposes one owner"
            );
        }
        self.accepted = Some(AcceptedValue { ballot, owner });
        StepResult::Voted
    }

    fn set_promise(&mut self, ballot: Ballot) {
        assert!(
            self.promised.is_none_or(|p| p <= ballot),
            "the promised ballot must not decrease"
        );
        self.promised = Some(ballot);
    }

    fn refusal(&self) -> StepResult {
        StepResult::Refused {
            promised: self.promised.map_or(0, |p| p.round),
            accepted: self.accepted,
        }
    }
}
