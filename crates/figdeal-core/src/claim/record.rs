//! The register of one submission at one acceptor.

use super::{
    message::{AcceptedValue, Ballot, EntryProcess, Step, StepResult},
    process_table::{ProcessId, ProcessTable},
};
use crate::{id::Digest, time::UnixMillis};

/// What an acceptor remembers of one submission.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    /// `None` only before the first answer.
    promised: Option<Ballot>,
    pub(super) accepted: Option<AcceptedValue>,
}

/// A record with numbers in place of processes: 40 instead of 104 bytes.
#[derive(Debug, Clone, Copy)]
pub(super) struct PackedRecord {
    digest: Digest,
    created: UnixMillis,
    /// Round and proposer.
    promised: (u32, ProcessId),
    /// Round, proposer and owner.
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

    /// The form in which the record is kept, `None` if there is no room for the processes that it names.
    pub(super) fn pack(&self, processes: &mut ProcessTable) -> Option<PackedRecord> {
        let promised = self.promised.expect("a kept record has a promise");
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
            Step::Grant | Step::Vote => self.vote_first(ballot),
            Step::Prepare { .. } => self.promise(ballot),
            Step::Accept { owner, .. } => self.vote(ballot, owner),
        }
    }

    /// Votes in round 0, whose ballots are all of one proposer: the one that holds the grant.
    fn vote_first(&mut self, ballot: Ballot) -> StepResult {
        assert_eq!(ballot.round, 0, "a grant is for round 0");
        if self.promised.is_some_and(|p| p != ballot) {
            return self.refuse();
        }
        self.accept(ballot, ballot.proposer)
    }

    fn promise(&mut self, ballot: Ballot) -> StepResult {
        if self.promised.is_some_and(|p| p > ballot) {
            return self.refuse();
        }
        self.raise(ballot);
        StepResult::Promised(self.accepted)
    }

    fn vote(&mut self, ballot: Ballot, owner: EntryProcess) -> StepResult {
        let other = |a: AcceptedValue| a.ballot == ballot && a.owner != owner;
        if self.promised.is_some_and(|p| p > ballot) || self.accepted.is_some_and(other) {
            return self.refuse();
        }
        self.accept(ballot, owner)
    }

    fn accept(&mut self, ballot: Ballot, owner: EntryProcess) -> StepResult {
        self.raise(ballot);
        if let Some(before) = self.accepted {
            assert!(before.ballot <= ballot, "a vote never goes back");
            assert!(
                before.ballot != ballot || before.owner == owner,
                "one owner for a ballot"
            );
        }
        self.accepted = Some(AcceptedValue { ballot, owner });
        StepResult::Voted
    }

    fn raise(&mut self, ballot: Ballot) {
        assert!(
            self.promised.is_none_or(|p| p <= ballot),
            "a promise never goes down"
        );
        self.promised = Some(ballot);
    }

    fn refuse(&self) -> StepResult {
        StepResult::Refused {
            promised: self.promised.map_or(0, |p| p.round),
            accepted: self.accepted,
        }
    }
}
