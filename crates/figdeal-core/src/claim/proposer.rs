//! The proposer of one claim, by which an entry process tries to become the owner of a submission.
//!
//! It is a state machine without I/O for single-decree consensus in the manner of Paxos. Round 0 needs no prepare: the
//! first acceptor grants it to one proposer only and votes for that proposer at the same time.

use super::{
    acceptors::{AcceptorSet, MAX_ACCEPTORS},
    message::{AcceptedValue, Ballot, EntryProcess, Step, StepResult},
};
use crate::{
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::UnixMillis,
};

/// Why a claim found no owner. This entry started no task; the caller may repeat the submission with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UndecidedReason {
    /// No quorum of acceptors gave a valid answer, or other proposers interfered until the maximum number of prepares.
    NoQuorum,
    /// Too many acceptors abstained, because they may have lost their vote for the submission in a restart.
    Restarted,
    /// The claims in progress or the owned submissions of this entry, or the tables of too many acceptors, are full.
    Full,
    /// The clocks of this entry and of too many acceptors differ too much.
    ClockDiffers,
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// This process is the owner and may start the tasks. This is decided at most once for a submission: later claims
    /// of the owner itself are answered with `OwnedBy`, see [`Claims::start`](super::Claims::start).
    Owner,
    /// Another process, or this one through an earlier claim, is the owner or may become it; ask that process.
    OwnedBy(EntryProcess),
    /// The given owner is dead. This entry collects the results of the submission from the agents and starts no task.
    Collector(EntryProcess),
    /// The key was used for another content.
    Conflict,
    /// The submission is older than [`ClaimLimits::retention`](super::ClaimLimits::retention); it may have run.
    Expired,
    /// The claim did not determine the owner; this entry starts no task.
    Undecided(UndecidedReason),
    /// The submission was created too far in the future of this entry's clock.
    CreatedInFuture,
}

/// What the driver of the proposer, [`Claims`](super::Claims), has to do next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum NextAction {
    /// Wait for more answers.
    Wait,
    /// Send the steps and wait for the answers.
    Send(Vec<(EntryId, Step)>),
    /// Wait for the backoff, then call [`Proposer::on_timeout`].
    BackOff,
    /// End the claim with this result.
    Decided(Decision),
}

/// What the proposer waits for: `Grant` and `Vote` in round 0, `Prepare` and `Accept` in later rounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The grant of round 0 by the first acceptor, which counts as its vote.
    Grant,
    /// The vote in round 0 of the acceptor at this position.
    Vote(usize),
    /// The promises of a quorum.
    Prepare,
    /// The votes of a quorum for this owner.
    Accept(EntryProcess),
    /// The end of the backoff before the next prepare.
    BackOff,
}

/// Set of acceptors as a bit mask of their positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct AcceptorMask(u8);

impl AcceptorMask {
    fn add(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    fn contains(self, position: usize) -> bool {
        self.0 & (1 << position) != 0
    }

    fn len(self) -> usize {
        self.0.count_ones() as usize
    }
}

/// One claim in progress.
#[derive(Debug)]
pub(super) struct Proposer {
    pub(super) key: SubmissionKey,
    /// Hash of the content of the submission.
    pub(super) digest: Digest,
    /// Creation time of the submission, as stated by the caller.
    pub(super) created: UnixMillis,
    me: EntryProcess,
    acceptors: AcceptorSet,
    /// The dead owner that this claim takes over from.
    dead_owner: Option<EntryProcess>,
    phase: Phase,
    round: u32,
    /// Largest round that an acceptor reported in a refusal.
    max_seen_round: u32,
    prepares: u32,
    /// Number of prepares after which the claim ends as undecided.
    max_prepares: u32,
    /// For each acceptor, the incarnation of its first counted answer; an answer of another one excludes the acceptor.
    incarnations: [Option<Incarnation>; MAX_ACCEPTORS],
    /// Acceptors whose answers are ignored for the rest of the claim.
    excluded: AcceptorMask,
    /// Reason that is reported if the claim ends as undecided: that of the last exclusion, else `NoQuorum`.
    undecided_reason: UndecidedReason,
    /// Acceptors that refused or did not answer in this round.
    failed: AcceptorMask,
    promised: AcceptorMask,
    voted: AcceptorMask,
    /// The value with the largest ballot among the promises of this round.
    highest: Option<AcceptedValue>,
}

/// Counts the rounds of one process. No round is used twice, so that the ballots of the process are unique.
#[derive(Debug, Default)]
pub(super) struct RoundCounter(u32);

impl RoundCounter {
    fn next(&mut self, max_seen_round: u32) -> Option<u32> {
        self.0 = self.0.max(max_seen_round).checked_add(1)?;
        Some(self.0)
    }
}

impl Proposer {
    pub(super) fn new(
        me: EntryProcess,
        acceptors: AcceptorSet,
        (key, digest, created): (SubmissionKey, Digest, UnixMillis),
        max_prepares: u32,
    ) -> Proposer {
        Proposer {
            key,
            digest,
            created,
            me,
            acceptors,
            dead_owner: None,
            phase: Phase::Grant,
            round: 0,
            max_seen_round: 0,
            prepares: 0,
            max_prepares,
            incarnations: [None; MAX_ACCEPTORS],
            excluded: AcceptorMask::default(),
            undecided_reason: UndecidedReason::NoQuorum,
            failed: AcceptorMask::default(),
            promised: AcceptorMask::default(),
            voted: AcceptorMask::default(),
            highest: None,
        }
    }

    /// Makes the claim a takeover from a dead owner.
    pub(super) fn take_over(&mut self, dead_owner: EntryProcess) {
        self.dead_owner = Some(dead_owner);
    }

    pub(super) fn acceptors(&self) -> &AcceptorSet {
        &self.acceptors
    }

    pub(super) fn prepares(&self) -> u32 {
        self.prepares
    }

    /// Starts the claim: asks for the grant of round 0, or prepares a round if the claim is a takeover. The set of
    /// acceptors is never empty, because [`MembershipEpochs`](super::MembershipEpochs) rejects empty lists.
    pub(super) fn begin(&mut self, rounds: &mut RoundCounter) -> NextAction {
        match self.acceptors.first() {
            Some(first) if self.dead_owner.is_none() => {
                NextAction::Send(vec![(first, Step::Grant)])
            }
            _ => self.prepare(rounds),
        }
    }

    /// Handles the answer of the given incarnation of the acceptor at `position` to a step of `round`.
    pub(super) fn on_step_result(
        &mut self,
        (position, incarnation): (usize, Incarnation),
        (round, result): (u32, StepResult),
        rounds: &mut RoundCounter,
    ) -> NextAction {
        let is_expected = self.phase != Phase::BackOff && round == self.round;
        if !is_expected || self.failed.contains(position) || self.excluded.contains(position) {
            return NextAction::Wait;
        }
        match result {
            StepResult::Conflict => return NextAction::Decided(Decision::Conflict),
            StepResult::Expired => return NextAction::Decided(Decision::Expired),
            StepResult::Refused { promised, accepted } => {
                self.max_seen_round = self.max_seen_round.max(promised);
                return self.on_refused(position, accepted, rounds);
            }
            StepResult::Abstained => {
                return self.exclude(position, UndecidedReason::Restarted, rounds);
            }
            StepResult::Full => return self.exclude(position, UndecidedReason::Full, rounds),
            StepResult::ClockDiffers | StepResult::CreatedInFuture => {
                return self.exclude(position, UndecidedReason::ClockDiffers, rounds);
            }
            StepResult::Invalid => {
                return self.exclude(position, UndecidedReason::NoQuorum, rounds);
            }
            StepResult::Promised(_) | StepResult::Voted => {}
        }
        if *self.incarnations[position].get_or_insert(incarnation) != incarnation {
            return self.exclude(position, UndecidedReason::Restarted, rounds);
        }
        match result {
            StepResult::Promised(accepted) => self.on_promise(position, accepted),
            _ => self.on_vote(position, rounds),
        }
    }

    /// Handles an acceptor that refused or cannot be reached in this round.
    pub(super) fn on_failed(&mut self, position: usize, rounds: &mut RoundCounter) -> NextAction {
        if self.phase == Phase::BackOff || self.failed.contains(position) {
            return NextAction::Wait;
        }
        self.failed.add(position);
        match self.phase {
            Phase::Grant if position == 0 => self.prepare(rounds),
            Phase::Vote(voter) if position == voter => self.ask_vote(rounds),
            Phase::Prepare | Phase::Accept(_) => self.check_quorum(),
            Phase::Grant | Phase::Vote(_) | Phase::BackOff => NextAction::Wait,
        }
    }

    /// Handles the timeout of the current step or the end of the backoff.
    pub(super) fn on_timeout(&mut self, rounds: &mut RoundCounter) -> NextAction {
        match self.phase {
            Phase::Grant | Phase::BackOff => self.prepare(rounds),
            Phase::Vote(voter) => {
                self.failed.add(voter);
                self.ask_vote(rounds)
            }
            Phase::Prepare | Phase::Accept(_) => self.back_off(),
        }
    }

    fn on_refused(
        &mut self,
        position: usize,
        accepted: Option<AcceptedValue>,
        rounds: &mut RoundCounter,
    ) -> NextAction {
        if self.phase == Phase::Grant
            && let Some(AcceptedValue { owner, .. }) = accepted
            && owner != self.me
            // A second call of `Claims::start` can set the dead owner while the grant is awaited.
            && self.dead_owner != Some(owner)
        {
            // One vote is enough to name the process to ask, because no task is started on the basis of it.
            return NextAction::Decided(Decision::OwnedBy(owner));
        }
        match self.phase {
            // The acceptor has promised another ballot: round 0 was granted to another proposer, or a later round has
            // begun. The claim continues with a prepared round.
            Phase::Grant | Phase::Vote(_) => self.prepare(rounds),
            _ => self.on_failed(position, rounds),
        }
    }

    fn on_promise(&mut self, position: usize, accepted: Option<AcceptedValue>) -> NextAction {
        if !matches!(self.phase, Phase::Prepare | Phase::Accept(_))
            || self.promised.contains(position)
        {
            return NextAction::Wait;
        }
        self.promised.add(position);
        if let Phase::Accept(owner) = self.phase {
            return NextAction::Send(vec![(
                self.acceptors.as_slice()[position],
                self.accept_step(owner),
            )]);
        }
        if accepted.map(|a| a.ballot) > self.highest.map(|b| b.ballot) {
            self.highest = accepted;
        }
        if self.promised.len() < self.acceptors.quorum() {
            return NextAction::Wait;
        }
        let owner = match self.highest {
            None => self.me,
            Some(highest) if highest.owner == self.me || self.dead_owner == Some(highest.owner) => {
                highest.owner
            }
            Some(highest) => return NextAction::Decided(Decision::OwnedBy(highest.owner)),
        };
        self.phase = Phase::Accept(owner);
        let step = self.accept_step(owner);
        NextAction::Send(self.steps_for(|position| self.promised.contains(position), step))
    }

    fn on_vote(&mut self, position: usize, rounds: &mut RoundCounter) -> NextAction {
        let is_expected = match self.phase {
            Phase::Grant => position == 0,
            Phase::Vote(voter) => position == voter,
            Phase::Accept(_) => self.promised.contains(position),
            Phase::Prepare | Phase::BackOff => false,
        };
        if !is_expected || self.voted.contains(position) {
            return NextAction::Wait;
        }
        self.voted.add(position);
        if self.voted.len() < self.acceptors.quorum() {
            return match self.phase {
                Phase::Grant => self.ask_vote(rounds),
                _ => NextAction::Wait,
            };
        }
        let allowed = match self.phase {
            Phase::Accept(_) => self.promised,
            _ => AcceptorMask(u8::MAX),
        };
        assert_eq!(
            self.voted.0 & !allowed.0,
            0,
            "an acceptor voted for {} without a promise",
            self.key
        );
        NextAction::Decided(match self.phase {
            Phase::Accept(owner) if owner != self.me => Decision::Collector(owner),
            _ => Decision::Owner,
        })
    }

    /// Asks the next acceptor for its vote in round 0: first this entry if it is an acceptor, then in rendezvous order.
    fn ask_vote(&mut self, rounds: &mut RoundCounter) -> NextAction {
        let can_be_asked = |p: &usize| {
            !self.voted.contains(*p) && !self.failed.contains(*p) && !self.excluded.contains(*p)
        };
        let own = self.acceptors.position(self.me.entry).filter(can_be_asked);
        // The acceptor at position 0 has voted with its grant.
        let voter = own.or_else(|| (1..self.acceptors.as_slice().len()).find(can_be_asked));
        match voter {
            Some(position) => {
                self.phase = Phase::Vote(position);
                NextAction::Send(vec![(self.acceptors.as_slice()[position], Step::Vote)])
            }
            None => self.prepare(rounds),
        }
    }

    fn exclude(
        &mut self,
        position: usize,
        reason: UndecidedReason,
        rounds: &mut RoundCounter,
    ) -> NextAction {
        self.excluded.add(position);
        self.undecided_reason = reason;
        if self.acceptors.as_slice().len() - self.excluded.len() < self.acceptors.quorum() {
            return NextAction::Decided(Decision::Undecided(reason));
        }
        self.on_failed(position, rounds)
    }

    fn prepare(&mut self, rounds: &mut RoundCounter) -> NextAction {
        let round = rounds.next(self.max_seen_round);
        let (Some(round), true) = (round, self.prepares < self.max_prepares) else {
            return NextAction::Decided(Decision::Undecided(self.undecided_reason));
        };
        assert!(
            round > self.round,
            "the rounds of {} must increase",
            self.key
        );
        self.phase = Phase::Prepare;
        self.round = round;
        self.prepares += 1;
        self.failed = AcceptorMask::default();
        self.promised = AcceptorMask::default();
        self.voted = AcceptorMask::default();
        self.highest = None;
        NextAction::Send(self.steps_for(
            |position| !self.excluded.contains(position),
            Step::Prepare { round },
        ))
    }

    /// Ends the round once the remaining acceptors cannot form a quorum.
    fn check_quorum(&mut self) -> NextAction {
        let unusable = AcceptorMask(self.failed.0 | self.excluded.0).len();
        if self.acceptors.as_slice().len() - unusable >= self.acceptors.quorum() {
            return NextAction::Wait;
        }
        self.back_off()
    }

    fn back_off(&mut self) -> NextAction {
        if self.prepares >= self.max_prepares {
            return NextAction::Decided(Decision::Undecided(self.undecided_reason));
        }
        self.phase = Phase::BackOff;
        NextAction::BackOff
    }

    fn accept_step(&self, owner: EntryProcess) -> Step {
        Step::Accept {
            round: self.round,
            owner,
        }
    }

    fn steps_for(&self, filter: impl Fn(usize) -> bool, step: Step) -> Vec<(EntryId, Step)> {
        let acceptors = self.acceptors.as_slice().iter().enumerate();
        acceptors
            .filter(|(position, _)| filter(*position))
            .map(|(_, &entry)| (entry, step))
            .collect()
    }

    /// Returns the ballot of the current round.
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            round: self.round,
            proposer: self.me,
        }
    }
}
