//! The member's side of the registers: promises and votes.

use super::{
    clock::SteadyClock,
    limits::ClaimLimits,
    members::{Epochs, Members},
    message::{Accepted, Ask, Ballot, Owner, Step, Verdict},
    table::Table,
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// Records dropped for each ask. More than one, so that the table shrinks under a steady stream of claims.
const DROPS_PER_ASK: usize = 4;

/// What a member remembers of one submission.
#[derive(Debug, Clone, Copy)]
struct Record {
    digest: Digest,
    created: UnixMillis,
    /// `None` only while the record is created.
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
}

/// What is known about the owner of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// The content.
    pub digest: Digest,
    /// When the caller created it.
    pub created: UnixMillis,
    /// The owner.
    pub owner: Owner,
}

/// The registers that one entry process holds. It forgets them when the process ends.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::{Ask, ClaimLimits, Epochs, Member, Owner, SteadyClock, Step, Verdict},
///     id::{Digest, EntryId, Incarnation, SubmissionKey},
///     time::{Timestamp, UnixMillis},
/// };
///
/// let clock = SteadyClock::new(UnixMillis(1_000_000), Timestamp::ZERO);
/// let mut member = Member::new(EntryId(0), clock, ClaimLimits::default());
/// let epochs = Epochs::new(vec![(UnixMillis(0), vec![EntryId(0)])]).unwrap();
/// let now = Timestamp::ZERO + Duration::from_secs(10);
/// let ask = Ask {
///     claim: 1,
///     key: SubmissionKey([1; 16]),
///     digest: Digest([2; 16]),
///     created: UnixMillis(1_009_000),
///     step: Step::Grant,
/// };
/// let first = Owner { entry: EntryId(1), incarnation: Incarnation(7) };
/// let verdict = member.answer(&epochs, first, clock.read(now), &ask, now);
/// assert_eq!(verdict, Verdict::Voted);
/// let second = Owner { entry: EntryId(2), incarnation: Incarnation(8) };
/// let verdict = member.answer(&epochs, second, clock.read(now), &ask, now);
/// assert!(matches!(verdict, Verdict::Refused { .. }));
/// ```
#[derive(Debug)]
pub struct Member {
    me: EntryId,
    clock: SteadyClock,
    horizon: UnixMillis,
    limits: ClaimLimits,
    records: Table<Record>,
}

impl Member {
    /// Creates the empty member of a process that read `clock` at its start.
    pub fn new(me: EntryId, clock: SteadyClock, limits: ClaimLimits) -> Member {
        Member {
            me,
            clock,
            horizon: limits.horizon(clock.start()),
            limits,
            records: Table::new(limits.max_records, limits.keep()),
        }
    }

    /// From when on the member votes for submissions that are created now.
    pub fn ready_at(&self) -> Timestamp {
        self.clock.when(UnixMillis(self.horizon.0 + 1))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// The owner that this member voted for.
    pub fn known(&self, key: SubmissionKey) -> Option<Known> {
        let record = self.records.get(key)?;
        let accepted = record.accepted?;
        Some(Known {
            digest: record.digest,
            created: record.created,
            owner: accepted.owner,
        })
    }

    /// Drops up to `limit` records whose time has passed.
    pub fn expire(&mut self, now: Timestamp, limit: usize) {
        self.records.expire(self.clock.read(now), limit);
    }

    /// When the next records are dropped.
    pub fn due(&self) -> Option<Timestamp> {
        self.records.due().map(|wall| self.clock.when(wall))
    }

    /// Answers one step of the claimant `from`, whose wall clock read `clock` when it asked.
    pub fn answer(
        &mut self,
        epochs: &Epochs,
        from: Owner,
        clock: UnixMillis,
        ask: &Ask,
        now: Timestamp,
    ) -> Verdict {
        self.expire(now, DROPS_PER_ASK);
        let wall = self.clock.read(now);
        let members = epochs.members(ask.key, ask.created);
        if let Some(refusal) = self.refusal(&members, clock, ask, wall) {
            return refusal;
        }
        match self.records.get_mut(ask.key) {
            Some(record) if record.digest != ask.digest || record.created != ask.created => {
                Verdict::Conflict
            }
            Some(record) => record.answer(from, ask.step),
            None => {
                let mut record = Record {
                    digest: ask.digest,
                    created: ask.created,
                    promised: None,
                    accepted: None,
                };
                let verdict = record.answer(from, ask.step);
                assert!(record.promised.is_some(), "a new record has a promise");
                match self.records.insert(ask.key, ask.created, record) {
                    Ok(()) => verdict,
                    Err(_) => Verdict::Full,
                }
            }
        }
    }

    /// Why the member does not take part, whatever its record says.
    fn refusal(
        &self,
        members: &Members,
        clock: UnixMillis,
        ask: &Ask,
        wall: UnixMillis,
    ) -> Option<Verdict> {
        let place = members.position(self.me);
        let valid = match ask.step {
            Step::Grant => place == Some(0),
            Step::Vote => place.is_some_and(|p| p > 0),
            Step::Prepare { round } | Step::Accept { round, .. } => place.is_some() && round > 0,
        };
        if !valid {
            return Some(Verdict::Invalid);
        }
        if clock.distance(wall) > self.limits.max_skew {
            return Some(Verdict::ClockDiffers);
        }
        if self.limits.expired(ask.created, wall) {
            return Some(Verdict::Expired);
        }
        if self.limits.future(ask.created, wall) {
            return Some(Verdict::Future);
        }
        (ask.created <= self.horizon).then_some(Verdict::Abstained)
    }
}

impl Record {
    fn answer(&mut self, from: Owner, step: Step) -> Verdict {
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
