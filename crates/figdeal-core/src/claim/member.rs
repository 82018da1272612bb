//! The member's side of the registers: promises and votes.

use super::{
    clock::SteadyClock,
    limits::ClaimLimits,
    members::{Epochs, Members},
    message::{Ask, Owner, Step, Verdict},
    processes::Processes,
    record::{Packed, Record},
    table::Table,
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// Records dropped for each ask. More than one, so that the table shrinks under a steady stream of claims.
const DROPS_PER_ASK: usize = 4;

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
    records: Table<Packed>,
    processes: Processes,
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
            processes: Processes::default(),
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
        let record = self.records.get(key)?.unpack(&self.processes);
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
        let slot = self.records.get_mut(ask.key);
        let mut record = match &slot {
            Some(packed) => packed.unpack(&self.processes),
            None => Record::new(ask.digest, ask.created),
        };
        if record.digest != ask.digest || record.created != ask.created {
            return Verdict::Conflict;
        }
        let verdict = record.answer(from, ask.step);
        let Some(packed) = record.pack(&mut self.processes) else {
            return Verdict::Full;
        };
        if let Some(slot) = slot {
            *slot = packed;
        } else if self.records.insert(ask.key, ask.created, packed).is_err() {
            return Verdict::Full;
        }
        verdict
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
