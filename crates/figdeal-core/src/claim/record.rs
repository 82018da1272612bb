//! The register of one submission at one member.

use super::{
    message::{Accepted, Ballot, Owner, Step, Verdict},
    processes::{ProcessId, Processes},
};
use crate::{id::Digest, time::UnixMillis};

/// What a member remembers of one submission.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    /// `None` only before the first answer.
    promised: Option<Ballot>,
    pub(super) accepted: Option<Accepted>,
}

/// A record with numbers in place of processes: 40 instead of 104 bytes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Packed {
    digest: Digest,
    created: UnixMillis,
    /// Round and claimant.
    promised: (u32, ProcessId),
    /// Round, claimant and owner.
    accepted: Option<(u32, ProcessId, ProcessId)>,
}

const _: () = assert!(size_of::<Packed>() == 40 && size_of::<Record>() == 104);

impl Packed {
    pub(super) fn unpack(&self, processes: &Processes) -> Record {
        let ballot = |round, claimant| Ballot {
            round,
            claimant: processes.get(claimant),
        };
        Record {
            digest: self.digest,
            created: self.created,
            promised: Some(ballot(self.promised.0, self.promised.1)),
            accepted: self.accepted.map(|(round, claimant, owner)| Accepted {
                ballot: ballot(round, claimant),
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
    pub(super) fn pack(&self, processes: &mut Processes) -> Option<Packed> {
        let promised = self.promised.expect("a kept record has a promise");
        let accepted = match self.accepted {
            Some(Accepted { ballot, owner }) => Some((
                ballot.round,
                processes.id(ballot.claimant)?,
                processes.id(owner)?,
            )),
            None => None,
        };
        Some(Packed {
            digest: self.digest,
            created: self.created,
            promised: (promised.round, processes.id(promised.claimant)?),
            accepted,
        })
    }

    pub(super) fn answer(&mut self, from: Owner, step: Step) -> Verdict {
        let ballot = Ballot {
            round: step.round(),
            claimant: from,
        };
        match step {
            Step::Grant | Step::Vote => self.vote_first(ballot),
            Step::Prepare { .. } => self.promise(ballot),
            Step::Accept { owner, .. } => self.vote(ballot, owner),
        }
    }

    /// Votes in round 0, whose ballots are all of one claimant: the one that holds the grant.
    fn vote_first(&mut self, ballot: Ballot) -> Verdict {
        assert_eq!(ballot.round, 0, "a grant is for round 0");
        if self.promised.is_some_and(|p| p != ballot) {
            return self.refuse();
        }
        self.accept(ballot, ballot.claimant)
    }

    fn promise(&mut self, ballot: Ballot) -> Verdict {
        if self.promised.is_some_and(|p| p > ballot) {
            return self.refuse();
        }
        self.raise(ballot);
        Verdict::Promised(self.accepted)
    }

    fn vote(&mut self, ballot: Ballot, owner: Owner) -> Verdict {
        let other = |a: Accepted| a.ballot == ballot && a.owner != owner;
        if self.promised.is_some_and(|p| p > ballot) || self.accepted.is_some_and(other) {
            return self.refuse();
        }
        self.accept(ballot, owner)
    }

    fn accept(&mut self, ballot: Ballot, owner: Owner) -> Verdict {
        self.raise(ballot);
        if let Some(before) = self.accepted {
            assert!(before.ballot <= ballot, "a vote never goes back");
            assert!(
                before.ballot != ballot || before.owner == owner,
                "one owner for a ballot"
            );
        }
        self.accepted = Some(Accepted { ballot, owner });
        Verdict::Voted
    }

    fn raise(&mut self, ballot: Ballot) {
        assert!(
            self.promised.is_none_or(|p| p <= ballot),
            "a promise never goes down"
        );
        self.promised = Some(ballot);
    }

    fn refuse(&self) -> Verdict {
        Verdict::Refused {
            promised: self.promised.map_or(0, |p| p.round),
            accepted: self.accepted,
        }
    }
}
