//! The acceptor of the registers: answers the steps of proposers with promises and votes.

use super::{
    acceptors::{AcceptorSet, MembershipEpochs},
    clock::SteadyClock,
    expiring_table::ExpiringTable,
    limits::ClaimLimits,
    message::{EntryProcess, Step, StepRequest, StepResult},
    process_table::ProcessTable,
    record::{PackedRecord, Record},
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// Largest number of expired records removed at each step. More than one, so that the table shrinks under a constant
/// load of claims.
const MAX_EXPIRATIONS_PER_STEP: usize = 4;

/// The owner of a submission, as far as one entry knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOwner {
    /// Hash of the content of the submission.
    pub digest: Digest,
    /// When the caller created the submission.
    pub created: UnixMillis,
    /// The process that was voted for or decided as owner.
    pub owner: EntryProcess,
}

/// The registers that one entry process holds in memory; they are lost when the process ends.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::{Acceptor, ClaimLimits, EntryProcess, MembershipEpochs, SteadyClock, Step, StepRequest, StepResult},
///     id::{Digest, EntryId, Incarnation, SubmissionKey},
///     time::{Timestamp, UnixMillis},
/// };
///
/// let clock = SteadyClock::new(UnixMillis(1_000_000), Timestamp::ZERO);
/// let mut acceptor = Acceptor::new(EntryId(0), clock, ClaimLimits::default());
/// let epochs = MembershipEpochs::new(vec![(UnixMillis(0), vec![EntryId(0)])]).unwrap();
/// let now = Timestamp::ZERO + Duration::from_secs(10);
/// let request = StepRequest {
///     claim: 1,
///     key: SubmissionKey([1; 16]),
///     digest: Digest([2; 16]),
///     created: UnixMillis(1_009_000),
///     step: Step::Grant,
/// };
/// let first = EntryProcess { entry: EntryId(1), incarnation: Incarnation(7) };
/// let result = acceptor.answer(&epochs, first, clock.read(now), &request, now);
/// assert_eq!(result, StepResult::Voted);
/// let second = EntryProcess { entry: EntryId(2), incarnation: Incarnation(8) };
/// let result = acceptor.answer(&epochs, second, clock.read(now), &request, now);
/// assert!(matches!(result, StepResult::Refused { .. }));
/// ```
#[derive(Debug)]
pub struct Acceptor {
    me: EntryId,
    clock: SteadyClock,
    /// The acceptor abstains for submissions created up to this time: an earlier incarnation of the process may have
    /// voted for them, and its records are lost.
    abstain_until: UnixMillis,
    limits: ClaimLimits,
    records: ExpiringTable<PackedRecord>,
    processes: ProcessTable,
}

impl Acceptor {
    /// Creates an acceptor without records for a process whose `clock` was set when the process started.
    pub fn new(me: EntryId, clock: SteadyClock, limits: ClaimLimits) -> Acceptor {
        Acceptor {
            me,
            clock,
            abstain_until: limits.abstain_until(clock.start()),
            limits,
            records: ExpiringTable::new(limits.max_records, limits.record_retention()),
            processes: ProcessTable::default(),
        }
    }

    /// Time from which the acceptor votes for newly created submissions instead of abstaining.
    pub fn ready_at(&self) -> Timestamp {
        self.clock.when(UnixMillis(self.abstain_until.0 + 1))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Returns the owner for which this acceptor voted last.
    pub fn known_owner(&self, key: SubmissionKey) -> Option<KnownOwner> {
        let record = self.records.get(key)?.unpack(&self.processes);
        let accepted = record.accepted?;
        Some(KnownOwner {
            digest: record.digest,
            created: record.created,
            owner: accepted.owner,
        })
    }

    /// Removes up to `limit` expired records.
    pub fn expire(&mut self, now: Timestamp, limit: usize) {
        self.records.expire(self.clock.read(now), limit);
    }

    /// Time at which the next records expire.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.records.next_expiry().map(|wall| self.clock.when(wall))
    }

    /// Answers one step of the proposer `from`, whose wall clock showed `clock` when it sent the step.
    pub fn answer(
        &mut self,
        epochs: &MembershipEpochs,
        from: EntryProcess,
        clock: UnixMillis,
        request: &StepRequest,
        now: Timestamp,
    ) -> StepResult {
        self.expire(now, MAX_EXPIRATIONS_PER_STEP);
        let wall = self.clock.read(now);
        let acceptors = epochs.acceptors(request.key, request.created);
        if let Some(rejection) = self.check_step(&acceptors, clock, request, wall) {
            return rejection;
        }
        let slot = self.records.get_mut(request.key);
        let mut record = match &slot {
            Some(packed) => packed.unpack(&self.processes),
            None => Record::new(request.digest, request.created),
        };
        if record.digest != request.digest || record.created != request.created {
            return StepResult::Conflict;
        }
        let result = record.answer(from, request.step);
        let Some(packed) = record.pack(&mut self.processes) else {
            return StepResult::Full;
        };
        if let Some(slot) = slot {
            *slot = packed;
        } else if self
            .records
            .insert(request.key, request.created, packed)
            .is_err()
        {
            return StepResult::Full;
        }
        result
    }

    /// Returns why the acceptor rejects a step regardless of its record, or `None` if it takes part.
    fn check_step(
        &self,
        acceptors: &AcceptorSet,
        clock: UnixMillis,
        request: &StepRequest,
        wall: UnixMillis,
    ) -> Option<StepResult> {
        let position = acceptors.position(self.me);
        let is_valid = match request.step {
            Step::Grant => position == Some(0),
            Step::Vote => position.is_some_and(|p| p > 0),
            Step::Prepare { round } | Step::Accept { round, .. } => position.is_some() && round > 0,
        };
        if !is_valid {
            return Some(StepResult::Invalid);
        }
        if clock.distance(wall) > self.limits.max_skew {
            return Some(StepResult::ClockDiffers);
        }
        if self.limits.is_expired(request.created, wall) {
            return Some(StepResult::Expired);
        }
        if self.limits.is_in_future(request.created, wall) {
            return Some(StepResult::CreatedInFuture);
        }
        (request.created <= self.abstain_until).then_some(StepResult::Abstained)
    }
}
