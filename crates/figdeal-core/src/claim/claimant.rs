//! The claimant's side of one register.

use super::{
    members::{MAX_MEMBERS, Members},
    message::{Accepted, Ballot, Owner, Step, Verdict},
};
use crate::{
    id::{Digest, EntryId, Incarnation, SubmissionKey},
    time::UnixMillis,
};

/// Why a claim found no owner. This entry started nothing; the caller may ask again with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No majority of the members answered, or other claimants kept interfering.
    NoMajority,
    /// Too many members may have forgotten the submission in a restart.
    Restarted,
    /// A table of this entry or of too many members is full.
    Full,
    /// The clocks of this entry and of too many members differ too much.
    ClockDiffers,
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// This process is the owner and may start tasks. Decided at most once for a submission.
    Owner,
    /// Another process, or this one by an earlier claim, is the owner or may become it; ask that one.
    OwnedBy(Owner),
    /// The owner was found dead and this entry collects its results; it never starts anything.
    Collector(Owner),
    /// The key is in use for another content.
    Conflict,
    /// The submission is older than the retention; it may have run.
    Expired,
    /// Nothing is known; this entry starts nothing.
    Undecided(Reason),
    /// The submission was created too far in the future.
    Invalid,
}

/// What the claimant does next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Wait for more answers.
    Wait,
    /// Send the steps and wait for the answers.
    Ask(Vec<(EntryId, Step)>),
    /// Pause, then call [`Claimant::on_timeout`].
    Pause,
    /// The claim is decided.
    Decided(Decision),
}

/// Progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Grant,
    /// Holds the grant; waits for the vote of this member.
    Vote(usize),
    Prepare,
    Accept(Owner),
    Pause,
}

/// Members by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Set(u8);

impl Set {
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
pub(super) struct Claimant {
    pub(super) key: SubmissionKey,
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    me: Owner,
    members: Members,
    /// The owner that the caller found dead.
    dead: Option<Owner>,
    phase: Phase,
    round: u32,
    /// Largest round seen in a refusal.
    seen: u32,
    prepares: u32,
    /// Largest number of prepares.
    attempts: u32,
    /// Run of each member that this claim counts answers of.
    runs: [Option<Incarnation>; MAX_MEMBERS],
    /// Members whose answers do not count for the rest of the claim.
    excluded: Set,
    reason: Reason,
    /// Members that refused or did not answer in this round.
    failed: Set,
    promised: Set,
    voted: Set,
    /// Vote with the largest ballot among the promises of this round.
    best: Option<Accepted>,
}

/// Rounds that one process used. A round is never used twice, so that its ballots are unique.
#[derive(Debug, Default)]
pub(super) struct Rounds(u32);

impl Rounds {
    fn next(&mut self, seen: u32) -> Option<u32> {
        self.0 = self.0.max(seen).checked_add(1)?;
        Some(self.0)
    }
}

impl Claimant {
    pub(super) fn new(
        me: Owner,
        members: Members,
        (key, digest, created): (SubmissionKey, Digest, UnixMillis),
        attempts: u32,
    ) -> Claimant {
        Claimant {
            key,
            digest,
            created,
            me,
            members,
            dead: None,
            phase: Phase::Grant,
            round: 0,
            seen: 0,
            prepares: 0,
            attempts,
            runs: [None; MAX_MEMBERS],
            excluded: Set::default(),
            reason: Reason::NoMajority,
            failed: Set::default(),
            promised: Set::default(),
            voted: Set::default(),
            best: None,
        }
    }

    /// Makes the claim a takeover from an owner that was found dead.
    pub(super) fn take_over(&mut self, dead: Owner) {
        self.dead = Some(dead);
    }

    pub(super) fn members(&self) -> &Members {
        &self.members
    }

    pub(super) fn prepares(&self) -> u32 {
        self.prepares
    }

    /// Starts the claim: asks for the grant, or prepares if it is a takeover.
    pub(super) fn begin(&mut self, rounds: &mut Rounds) -> Next {
        match self.members.first() {
            Some(first) if self.dead.is_none() => Next::Ask(vec![(first, Step::Grant)]),
            _ => self.prepare(rounds),
        }
    }

    /// Handles the answer of the member at `place`, from its run `run`, to a step of `round`.
    pub(super) fn on_verdict(
        &mut self,
        (place, run): (usize, Incarnation),
        (round, verdict): (u32, Verdict),
        rounds: &mut Rounds,
    ) -> Next {
        let waits = self.phase != Phase::Pause && round == self.round;
        if !waits || self.failed.has(place) || self.excluded.has(place) {
            return Next::Wait;
        }
        match verdict {
            Verdict::Conflict => return Next::Decided(Decision::Conflict),
            Verdict::Expired => return Next::Decided(Decision::Expired),
            Verdict::Refused { promised, accepted } => {
                self.seen = self.seen.max(promised);
                return self.on_refused(place, accepted, rounds);
            }
            Verdict::Abstained => return self.exclude(place, Reason::Restarted, rounds),
            Verdict::Full => return self.exclude(place, Reason::Full, rounds),
            Verdict::ClockDiffers | Verdict::Future => {
                return self.exclude(place, Reason::ClockDiffers, rounds);
            }
            Verdict::Invalid => return self.exclude(place, Reason::NoMajority, rounds),
            Verdict::Promised(_) | Verdict::Voted => {}
        }
        if *self.runs[place].get_or_insert(run) != run {
            return self.exclude(place, Reason::Restarted, rounds);
        }
        match verdict {
            Verdict::Promised(accepted) => self.on_promise(place, accepted),
            _ => self.on_vote(place, rounds),
        }
    }

    /// The member at `place` cannot be asked now.
    pub(super) fn on_failed(&mut self, place: usize, rounds: &mut Rounds) -> Next {
        if self.phase == Phase::Pause || self.failed.has(place) {
            return Next::Wait;
        }
        self.failed.add(place);
        match self.phase {
            Phase::Grant if place == 0 => self.prepare(rounds),
            Phase::Vote(voter) if place == voter => self.ask_vote(rounds),
            Phase::Prepare | Phase::Accept(_) => self.check_majority(),
            Phase::Grant | Phase::Vote(_) | Phase::Pause => Next::Wait,
        }
    }

    /// The answers to the current step did not arrive in time, or the pause is over.
    pub(super) fn on_timeout(&mut self, rounds: &mut Rounds) -> Next {
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
        accepted: Option<Accepted>,
        rounds: &mut Rounds,
    ) -> Next {
        if self.phase == Phase::Grant
            && let Some(Accepted { owner, .. }) = accepted
            && owner != self.me
            && self.dead != Some(owner)
        {
            // One vote is enough to name the owner to ask: nothing is started on the strength of it.
            return Next::Decided(Decision::OwnedBy(owner));
        }
        match self.phase {
            // A larger ballot is known, so that round 0 cannot succeed at the other members either.
            Phase::Grant | Phase::Vote(_) => self.prepare(rounds),
            _ => self.on_failed(place, rounds),
        }
    }

    fn on_promise(&mut self, place: usize, accepted: Option<Accepted>) -> Next {
        if !matches!(self.phase, Phase::Prepare | Phase::Accept(_)) || self.promised.has(place) {
            return Next::Wait;
        }
        self.promised.add(place);
        if let Phase::Accept(owner) = self.phase {
            return Next::Ask(vec![(self.members.as_slice()[place], self.accept(owner))]);
        }
        if accepted.map(|a| a.ballot) > self.best.map(|b| b.ballot) {
            self.best = accepted;
        }
        if self.promised.len() < self.members.majority() {
            return Next::Wait;
        }
        let owner = match self.best {
            None => self.me,
            Some(best) if best.owner == self.me || self.dead == Some(best.owner) => best.owner,
            Some(best) => return Next::Decided(Decision::OwnedBy(best.owner)),
        };
        self.phase = Phase::Accept(owner);
        let step = self.accept(owner);
        Next::Ask(self.each(|place| self.promised.has(place), step))
    }

    fn on_vote(&mut self, place: usize, rounds: &mut Rounds) -> Next {
        let asked = match self.phase {
            Phase::Grant => place == 0,
            Phase::Vote(voter) => place == voter,
            Phase::Accept(_) => self.promised.has(place),
            Phase::Prepare | Phase::Pause => false,
        };
        if !asked || self.voted.has(place) {
            return Next::Wait;
        }
        self.voted.add(place);
        if self.voted.len() < self.members.majority() {
            return match self.phase {
                Phase::Grant => self.ask_vote(rounds),
                _ => Next::Wait,
            };
        }
        let counted = match self.phase {
            Phase::Accept(_) => self.promised,
            _ => Set(u8::MAX),
        };
        assert_eq!(
            self.voted.0 & !counted.0,
            0,
            "only members that promised vote for {}",
            self.key
        );
        Next::Decided(match self.phase {
            Phase::Accept(owner) if owner != self.me => Decision::Collector(owner),
            _ => Decision::Owner,
        })
    }

    /// Asks the next member for its vote in round 0: this entry if it is one, else in rendezvous order.
    fn ask_vote(&mut self, rounds: &mut Rounds) -> Next {
        let open =
            |p: &usize| !self.voted.has(*p) && !self.failed.has(*p) && !self.excluded.has(*p);
        let own = self.members.position(self.me.entry).filter(open);
        let voter = own.or_else(|| (1..self.members.as_slice().len()).find(open));
        match voter {
            Some(place) => {
                self.phase = Phase::Vote(place);
                Next::Ask(vec![(self.members.as_slice()[place], Step::Vote)])
            }
            None => self.prepare(rounds),
        }
    }

    fn exclude(&mut self, place: usize, reason: Reason, rounds: &mut Rounds) -> Next {
        self.excluded.add(place);
        self.reason = reason;
        if self.members.as_slice().len() - self.excluded.len() < self.members.majority() {
            return Next::Decided(Decision::Undecided(reason));
        }
        self.on_failed(place, rounds)
    }

    fn prepare(&mut self, rounds: &mut Rounds) -> Next {
        let round = rounds.next(self.seen);
        let (Some(round), true) = (round, self.prepares < self.attempts) else {
            return Next::Decided(Decision::Undecided(self.reason));
        };
        assert!(round > self.round, "rounds of {} only grow", self.key);
        self.phase = Phase::Prepare;
        self.round = round;
        self.prepares += 1;
        self.failed = Set::default();
        self.promised = Set::default();
        self.voted = Set::default();
        self.best = None;
        Next::Ask(self.each(|place| !self.excluded.has(place), Step::Prepare { round }))
    }

    /// Ends the round once the members that are left cannot form a majority.
    fn check_majority(&mut self) -> Next {
        let lost = Set(self.failed.0 | self.excluded.0).len();
        if self.members.as_slice().len() - lost >= self.members.majority() {
            return Next::Wait;
        }
        self.retry()
    }

    fn retry(&mut self) -> Next {
        if self.prepares >= self.attempts {
            return Next::Decided(Decision::Undecided(self.reason));
        }
        self.phase = Phase::Pause;
        Next::Pause
    }

    fn accept(&self, owner: Owner) -> Step {
        Step::Accept {
            round: self.round,
            owner,
        }
    }

    fn each(&self, filter: impl Fn(usize) -> bool, step: Step) -> Vec<(EntryId, Step)> {
        let members = self.members.as_slice().iter().enumerate();
        members
            .filter(|(place, _)| filter(*place))
            .map(|(_, &entry)| (entry, step))
            .collect()
    }

    /// The ballot of the current round.
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            round: self.round,
            claimant: self.me,
        }
    }
}
