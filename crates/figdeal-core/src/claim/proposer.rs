//! The proposer's side of one register.

use super::{
    acceptors::{AcceptorSet, MAX_ACCEPTORS},
    message::{AcceptedValue, Ballot, EntryProcess, Step, StepResult},
};
use crate::{
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::UnixMillis,
};

/// Why a claim found no owner. This entry started nothing; the caller may ask again with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UndecidedReason {
    /// No quorum of the acceptors answered, or other proposers kept interfering.
    NoQuorum,
    /// Too many acceptors may have forgotten the submission in a restart.
    Restarted,
    /// A table of this entry or of too many acceptors is full.
    Full,
    /// The clocks of this entry and of too many acceptors differ too much.
    ClockDiffers,
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// This process is the owner and may start tasks. Decided at most once for a submission.
    Owner,
    /// Another process, or this one by an earlier claim, is the owner or may become it; ask that one.
    OwnedBy(EntryProcess),
    /// The owner was found dead and this entry collects its results; it never starts anything.
    Collector(EntryProcess),
    /// The key is in use for another content.
    Conflict,
    /// The submission is older than the retention; it may have run.
    Expired,
    /// Nothing is known; this entry starts nothing.
    Undecided(UndecidedReason),
    /// The submission was created too far in the future.
    CreatedInFuture,
}

/// What the proposer does next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Wait for more answers.
    Wait,
    /// Send the steps and wait for the answers.
    Send(Vec<(EntryId, Step)>),
    /// Pause, then call [`Proposer::on_timeout`].
    Pause,
    /// The claim is decided.
    Decided(Decision),
}

/// Progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Grant,
    /// Holds the grant; waits for the vote of this acceptor.
    Vote(usize),
    Prepare,
    Accept(EntryProcess),
    Pause,
}

/// AcceptorSet by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct AcceptorMask(u8);

impl AcceptorMask {
    fn add(&mut self, place: usize) {
        self.0 |= 1 << place;
    }

    fn has(self, place: usize) -> bool {
        self.0 & (1 << place) != 0
    }

    fn len(self) -> usize {
        self.0.count_ones() as usize
    }
}

/// One claim in progress.
#[derive(Debug)]
pub(super) struct Proposer {
    pub(super) key: SubmissionKey,
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    me: EntryProcess,
    acceptors: AcceptorSet,
    /// The owner that the caller found dead.
    dead: Option<EntryProcess>,
    phase: Phase,
    round: u32,
    /// Largest round seen in a refusal.
    seen: u32,
    prepares: u32,
    /// Largest number of prepares.
    max_prepares: u32,
    /// Run of each acceptor that this claim counts answers of.
    runs: [Option<Incarnation>; MAX_ACCEPTORS],
    /// AcceptorSet whose answers do not count for the rest of the claim.
    excluded: AcceptorMask,
    reason: UndecidedReason,
    /// AcceptorSet that refused or did not answer in this round.
    failed: AcceptorMask,
    promised: AcceptorMask,
    voted: AcceptorMask,
    /// Vote with the largest ballot among the promises of this round.
    best: Option<AcceptedValue>,
}

/// RoundCounter that one process used. A round is never used twice, so that its ballots are unique.
#[derive(Debug, Default)]
pub(super) struct RoundCounter(u32);

impl RoundCounter {
    fn next(&mut self, seen: u32) -> Option<u32> {
        self.0 = self.0.max(seen).checked_add(1)?;
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
            dead: None,
            phase: Phase::Grant,
            round: 0,
            seen: 0,
            prepares: 0,
            max_prepares,
            runs: [None; MAX_ACCEPTORS],
            excluded: AcceptorMask::default(),
            reason: UndecidedReason::NoQuorum,
            failed: AcceptorMask::default(),
            promised: AcceptorMask::default(),
            voted: AcceptorMask::default(),
            best: None,
        }
    }

    /// Makes the claim a takeover from an owner that was found dead.
    pub(super) fn take_over(&mut self, dead: EntryProcess) {
        self.dead = Some(dead);
    }

    pub(super) fn acceptors(&self) -> &AcceptorSet {
        &self.acceptors
    }

    pub(super) fn prepares(&self) -> u32 {
        self.prepares
    }

    /// Starts the claim: asks for the grant, or prepares if it is a takeover.
    pub(super) fn begin(&mut self, rounds: &mut RoundCounter) -> NextStep {
        match self.acceptors.first() {
            Some(first) if self.dead.is_none() => NextStep::Send(vec![(first, Step::Grant)]),
            _ => self.prepare(rounds),
        }
    }

    /// Handles the answer of the acceptor at `place`, from its run `run`, to a step of `round`.
    pub(super) fn on_step_result(
        &mut self,
        (place, run): (usize, Incarnation),
        (round, result): (u32, StepResult),
        rounds: &mut RoundCounter,
    ) -> NextStep {
        let waits = self.phase != Phase::Pause && round == self.round;
        if !waits || self.failed.has(place) || self.excluded.has(place) {
            return NextStep::Wait;
        }
        match result {
            StepResult::Conflict => return NextStep::Decided(Decision::Conflict),
            StepResult::Expired => return NextStep::Decided(Decision::Expired),
            StepResult::Refused { promised, accepted } => {
                self.seen = self.seen.max(promised);
                return self.on_refused(place, accepted, rounds);
            }
            StepResult::Abstained => {
                return self.exclude(place, UndecidedReason::Restarted, rounds);
            }
            StepResult::Full => return self.exclude(place, UndecidedReason::Full, rounds),
            StepResult::ClockDiffers | StepResult::CreatedInFuture => {
                return self.exclude(place, UndecidedReason::ClockDiffers, rounds);
            }
            StepResult::Invalid => return self.exclude(place, UndecidedReason::NoQuorum, rounds),
            StepResult::Promised(_) | StepResult::Voted => {}
        }
        if *self.runs[place].get_or_insert(run) != run {
            return self.exclude(place, UndecidedReason::Restarted, rounds);
        }
        match result {
            StepResult::Promised(accepted) => self.on_promise(place, accepted),
            _ => self.on_vote(place, rounds),
        }
    }

    /// The acceptor at `place` cannot be asked now.
    pub(super) fn on_failed(&mut self, place: usize, rounds: &mut RoundCounter) -> NextStep {
        if self.phase == Phase::Pause || self.failed.has(place) {
            return NextStep::Wait;
        }
        self.failed.add(place);
        match self.phase {
            Phase::Grant if place == 0 => self.prepare(rounds),
            Phase::Vote(voter) if place == voter => self.ask_vote(rounds),
            Phase::Prepare | Phase::Accept(_) => self.check_majority(),
            Phase::Grant | Phase::Vote(_) | Phase::Pause => NextStep::Wait,
        }
    }

    /// The answers to the current step did not arrive in time, or the pause is over.
    pub(super) fn on_timeout(&mut self, rounds: &mut RoundCounter) -> NextStep {
        match self.phase {
            Phase::Grant | Phase::Pause => self.prepare(rounds),
            Phase::Vote(voter) => {
                self.failed.add(voter);
                self.ask_vote(rounds)
            }
            Phase::Prepare | Phase::Accept(_) => self.retry(),
        }
    }

    fn on_refused(
        &mut self,
        place: usize,
        accepted: Option<AcceptedValue>,
        rounds: &mut RoundCounter,
    ) -> NextStep {
        if self.phase == Phase::Grant
            && let Some(AcceptedValue { owner, .. }) = accepted
            && owner != self.me
            && self.dead != Some(owner)
        {
            // One vote is enough to name the owner to ask: nothing is started on the strength of it.
            return NextStep::Decided(Decision::OwnedBy(owner));
        }
        match self.phase {
            // A larger ballot is known, so that round 0 cannot succeed at the other acceptors either.
            Phase::Grant | Phase::Vote(_) => self.prepare(rounds),
            _ => self.on_failed(place, rounds),
        }
    }

    fn on_promise(&mut self, place: usize, accepted: Option<AcceptedValue>) -> NextStep {
        if !matches!(self.phase, Phase::Prepare | Phase::Accept(_)) || self.promised.has(place) {
            return NextStep::Wait;
        }
        self.promised.add(place);
        if let Phase::Accept(owner) = self.phase {
            return NextStep::Send(vec![(self.acceptors.as_slice()[place], self.accept(owner))]);
        }
        if accepted.map(|a| a.ballot) > self.best.map(|b| b.ballot) {
            self.best = accepted;
        }
        if self.promised.len() < self.acceptors.quorum() {
            return NextStep::Wait;
        }
        let owner = match self.best {
            None => self.me,
            Some(best) if best.owner == self.me || self.dead == Some(best.owner) => best.owner,
            Some(best) => return NextStep::Decided(Decision::OwnedBy(best.owner)),
        };
        self.phase = Phase::Accept(owner);
        let step = self.accept(owner);
        NextStep::Send(self.each(|place| self.promised.has(place), step))
    }

    fn on_vote(&mut self, place: usize, rounds: &mut RoundCounter) -> NextStep {
        let asked = match self.phase {
            Phase::Grant => place == 0,
            Phase::Vote(voter) => place == voter,
            Phase::Accept(_) => self.promised.has(place),
            Phase::Prepare | Phase::Pause => false,
        };
        if !asked || self.voted.has(place) {
            return NextStep::Wait;
        }
        self.voted.add(place);
        if self.voted.len() < self.acceptors.quorum() {
            return match self.phase {
                Phase::Grant => self.ask_vote(rounds),
                _ => NextStep::Wait,
            };
        }
        let counted = match self.phase {
            Phase::Accept(_) => self.promised,
            _ => AcceptorMask(u8::MAX),
        };
        assert_eq!(
            self.voted.0 & !counted.0,
            0,
            "only acceptors that promised vote for {}",
            self.key
        );
        NextStep::Decided(match self.phase {
            Phase::Accept(owner) if owner != self.me => Decision::Collector(owner),
            _ => Decision::Owner,
        })
    }

    /// Asks the next acceptor for its vote in round 0: this entry if it is one, else in rendezvous order.
    fn ask_vote(&mut self, rounds: &mut RoundCounter) -> NextStep {
        let open =
            |p: &usize| !self.voted.has(*p) && !self.failed.has(*p) && !self.excluded.has(*p);
        let own = self.acceptors.position(self.me.entry).filter(open);
        let voter = own.or_else(|| (1..self.acceptors.as_slice().len()).find(open));
        match voter {
            Some(place) => {
                self.phase = Phase::Vote(place);
                NextStep::Send(vec![(self.acceptors.as_slice()[place], Step::Vote)])
            }
            None => self.prepare(rounds),
        }
    }

    fn exclude(
        &mut self,
        place: usize,
        reason: UndecidedReason,
        rounds: &mut RoundCounter,
    ) -> NextStep {
        self.excluded.add(place);
        self.reason = reason;
        if self.acceptors.as_slice().len() - self.excluded.len() < self.acceptors.quorum() {
            return NextStep::Decided(Decision::Undecided(reason));
        }
        self.on_failed(place, rounds)
    }

    fn prepare(&mut self, rounds: &mut RoundCounter) -> NextStep {
        let round = rounds.next(self.seen);
        let (Some(round), true) = (round, self.prepares < self.max_prepares) else {
            return NextStep::Decided(Decision::Undecided(self.reason));
        };
        assert!(round > self.round, "rounds of {} only grow", self.key);
        self.phase = Phase::Prepare;
        self.round = round;
        self.prepares += 1;
        self.failed = AcceptorMask::default();
        self.promised = AcceptorMask::default();
        self.voted = AcceptorMask::default();
        self.best = None;
        NextStep::Send(self.each(|place| !self.excluded.has(place), Step::Prepare { round }))
    }

    /// Ends the round once the acceptors that are left cannot form a quorum.
    fn check_majority(&mut self) -> NextStep {
        let lost = AcceptorMask(self.failed.0 | self.excluded.0).len();
        if self.acceptors.as_slice().len() - lost >= self.acceptors.quorum() {
            return NextStep::Wait;
        }
        self.retry()
    }

    fn retry(&mut self) -> NextStep {
        if self.prepares >= self.max_prepares {
            return NextStep::Decided(Decision::Undecided(self.reason));
        }
        self.phase = Phase::Pause;
        NextStep::Pause
    }

    fn accept(&self, owner: EntryProcess) -> Step {
        Step::Accept {
            round: self.round,
            owner,
        }
    }

    fn each(&self, filter: impl Fn(usize) -> bool, step: Step) -> Vec<(EntryId, Step)> {
        let acceptors = self.acceptors.as_slice().iter().enumerate();
        acceptors
            .filter(|(place, _)| filter(*place))
            .map(|(_, &entry)| (entry, step))
            .collect()
    }

    /// The ballot of the current round.
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            round: self.round,
            proposer: self.me,
        }
    }
}
