//! Claims: which entry process may start the tasks of a submission.
//!
//! Each submission has a single-decree register in memory at up to three entries, its [`AcceptorSet`]. An entry claims a
//! submission by collecting the votes of a quorum of them; see section 3.2 of the design.
//!
//! # Use by a driver
//! [`Claims::start`], [`Claims::on_reply`], [`Claims::on_unreachable`] and [`Claims::tick`] return [`Action`]s.
//! * [`Action::Send`]: put the ask into a [`Claims::build_request`], alone or with others for the same acceptor, and hand the
//!   reply to [`Claims::on_reply`]. If the request fails, call [`Claims::on_unreachable`] for each of its keys; calling it
//!   at once for an acceptor without a connection saves the time-out.
//! * [`Action::Decided`]: exactly one for each call of `start` that did not join a claim in progress.
//!   * [`Decision::Owner`]: start tasks.
//!   * [`Decision::OwnedBy`]: relay the answer of that process. If the process is dead, or its entry answers with another
//!     incarnation, call `start` again with it as `dead`. If it is alive and does not own the submission, its own claim
//!     ended undecided: hand the submission to it, and its next claim finds its earlier votes.
//!   * [`Decision::Collector`]: collect from the agents (section 3.4); never start anything.
//!   * [`Decision::Undecided`]: answer `undecided`; the votes of this claim may still make this process the owner later,
//!     but only by another claim.
//!
//! The content digest has to cover `created`. A key that is used again with another `created` is a conflict only at
//! acceptors that still hold the first record, because their horizon is compared with the new `created`.

mod acceptor;
mod acceptors;
mod clock;
mod expiring_table;
mod known_owners;
mod limits;
mod message;
mod process_table;
mod proposer;
mod record;

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::{Key, KeyData, SlotMap, new_key_type};

pub use self::{
    acceptor::{Acceptor, KnownOwner},
    acceptors::{AcceptorSet, EpochError, MAX_ACCEPTORS, MembershipEpochs},
    clock::SteadyClock,
    limits::ClaimLimits,
    message::{
        AcceptedValue, Ballot, ClaimReply, ClaimRequest, EntryProcess, Step, StepReply,
        StepRequest, StepResult,
    },
    proposer::{Decision, UndecidedReason},
};
use self::{
    acceptors::mix,
    known_owners::KnownOwners,
    proposer::{NextStep, Proposer, RoundCounter},
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// KnownOwner owners that one [`Claims::start`] drops. More than one, so that the tables shrink under a steady stream.
const DROPS_PER_CLAIM: usize = 4;
/// Records that one [`Claims::tick`] drops from each table, so that a tick stays short.
const DROPS_PER_TICK: usize = 4_096;
/// Largest factor by which the pause between prepares grows.
const MAX_BACKOFF_FACTOR: u32 = 16;

new_key_type! {
    /// Index of a claim in progress.
    struct ClaimId;
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// StepRequest an acceptor. Asks to the same acceptor may travel in one [`Claims::build_request`].
    Send {
        /// The acceptor.
        to: EntryId,
        /// The step.
        request: StepRequest,
    },
    /// A claim has ended.
    Decided {
        /// The submission.
        key: SubmissionKey,
        /// The content that was claimed.
        digest: Digest,
        /// The result.
        decision: Decision,
    },
}

/// A claim in progress.
#[derive(Debug)]
struct ActiveClaim {
    proposer: Proposer,
    deadline: Timestamp,
}

/// All claims of one entry process, and the registers that it holds as an acceptor.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::{Action, ClaimLimits, Claims, Decision, MembershipEpochs, EntryProcess, SteadyClock},
///     id::{Digest, EntryId, Incarnation, SubmissionKey},
///     time::{Timestamp, UnixMillis},
/// };
///
/// let me = EntryProcess { entry: EntryId(0), incarnation: Incarnation(7) };
/// let epochs = MembershipEpochs::new(vec![(UnixMillis(0), vec![EntryId(0)])]).unwrap();
/// let clock = SteadyClock::new(UnixMillis(1_000_000), Timestamp::ZERO);
/// let mut claims = Claims::new(me, epochs, clock, ClaimLimits::default());
/// let now = claims.ready_at();
/// let created = clock.read(now);
/// let (key, digest) = (SubmissionKey([1; 16]), Digest([2; 16]));
/// let actions = claims.start(key, digest, created, None, now);
/// assert_eq!(actions, [Action::Decided { key, digest, decision: Decision::Owner }]);
/// let actions = claims.start(key, digest, created, None, now);
/// assert_eq!(actions, [Action::Decided { key, digest, decision: Decision::OwnedBy(me) }]);
/// ```
#[derive(Debug)]
pub struct Claims {
    me: EntryProcess,
    limits: ClaimLimits,
    clock: SteadyClock,
    epochs: MembershipEpochs,
    acceptor: Acceptor,
    owners: KnownOwners,
    rounds: RoundCounter,
    active: SlotMap<ClaimId, ActiveClaim>,
    by_key: HashMap<SubmissionKey, ClaimId>,
    deadlines: BTreeSet<(Timestamp, ClaimId)>,
}

impl Claims {
    /// Creates the claims of the process `me`, which read `clock` at its start.
    pub fn new(
        me: EntryProcess,
        epochs: MembershipEpochs,
        clock: SteadyClock,
        limits: ClaimLimits,
    ) -> Claims {
        Claims {
            me,
            limits,
            clock,
            epochs,
            acceptor: Acceptor::new(me.entry, clock, limits),
            owners: KnownOwners::new(me, &limits),
            rounds: RoundCounter::default(),
            active: SlotMap::with_key(),
            by_key: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// From when on the entry is ready: its horizon has passed.
    pub fn ready_at(&self) -> Timestamp {
        self.acceptor.ready_at()
    }

    /// The acceptor side of this entry.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// How many more submissions this entry can claim before its tables are full. An entry that runs short can refuse
    /// work without a claim (`undecided`) instead of letting one kind of work fill the tables for all others.
    pub fn free_records(&self) -> usize {
        let used = self
            .acceptor
            .len()
            .max(self.owners.own_len() + self.active.len());
        self.limits.max_records.saturating_sub(used)
    }

    /// Number of claims in progress.
    pub fn in_progress(&self) -> usize {
        self.active.len()
    }

    /// What this entry knows about the owner of a submission, from its own claims or as an acceptor. A fetch or a
    /// cancellation, which names no content, starts here.
    pub fn known_owner(&self, key: SubmissionKey) -> Option<KnownOwner> {
        let learned = self.owners.get(key).copied();
        learned.or_else(|| self.acceptor.known_owner(key))
    }

    /// Adds a list of entries that is in force for submissions created at `from` or later.
    ///
    /// # Errors
    /// [`EpochError`] for a bad list, and for a `from` that a submission known to an entry may have reached.
    pub fn add_epoch(
        &mut self,
        from: UnixMillis,
        entries: Vec<EntryId>,
        now: Timestamp,
    ) -> Result<(), EpochError> {
        if from <= self.clock.read(now).plus(2 * self.limits.max_skew) {
            return Err(EpochError::Late(from));
        }
        self.epochs.push(from, entries)
    }

    /// Claims a submission. With `dead`, takes it over from an owner that was found dead.
    ///
    /// A claim of the same content that is in progress is joined: one decision answers both.
    pub fn start(
        &mut self,
        key: SubmissionKey,
        digest: Digest,
        created: UnixMillis,
        dead: Option<EntryProcess>,
        now: Timestamp,
    ) -> Vec<Action> {
        let wall = self.clock.read(now);
        self.owners.expire(wall, DROPS_PER_CLAIM);
        let mut actions = Vec::new();
        if let Some(decision) = self.decide_locally(key, digest, created, wall) {
            actions.push(Action::Decided {
                key,
                digest,
                decision,
            });
            return actions;
        }
        if let Some(&id) = self.by_key.get(&key) {
            if let Some(dead) = dead {
                self.active[id].proposer.take_over(dead);
            }
            return actions;
        }
        let acceptors = self.epochs.acceptors(key, created);
        let mut proposer = Proposer::new(
            self.me,
            acceptors,
            (key, digest, created),
            self.limits.max_prepares,
        );
        if let Some(dead) = dead {
            proposer.take_over(dead);
        }
        let next = proposer.begin(&mut self.rounds);
        let deadline = now + self.limits.step_timeout;
        let id = self.active.insert(ActiveClaim { proposer, deadline });
        self.by_key.insert(key, id);
        self.deadlines.insert((deadline, id));
        self.follow(id, next, now, &mut actions);
        actions
    }

    /// Puts steps to one acceptor into one request.
    pub fn build_request(&self, steps: Vec<StepRequest>, now: Timestamp) -> ClaimRequest {
        ClaimRequest {
            from: self.me,
            clock: self.clock.read(now),
            steps,
        }
    }

    /// Answers a request as an acceptor.
    pub fn on_request(&mut self, request: &ClaimRequest, now: Timestamp) -> ClaimReply {
        let replies = request.steps.iter().map(|step| StepReply {
            claim: step.claim,
            round: step.step.round(),
            result: self
                .acceptor
                .answer(&self.epochs, request.from, request.clock, step, now),
        });
        ClaimReply {
            replies: replies.collect(),
            from: self.me.incarnation,
            to: request.from.incarnation,
        }
    }

    /// Handles the reply of the acceptor `from`.
    pub fn on_reply(&mut self, from: EntryId, reply: &ClaimReply, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if reply.to != self.me.incarnation {
            return actions;
        }
        for answer in &reply.replies {
            let id = ClaimId::from(KeyData::from_ffi(answer.claim));
            let Some(active) = self.active.get_mut(id) else {
                continue;
            };
            let Some(place) = active.proposer.acceptors().position(from) else {
                continue;
            };
            let next = active.proposer.on_step_result(
                (place, reply.from),
                (answer.round, answer.result),
                &mut self.rounds,
            );
            self.follow(id, next, now, &mut actions);
        }
        actions
    }

    /// A request about `key` to the acceptor `to` failed without an answer.
    pub fn on_unreachable(
        &mut self,
        to: EntryId,
        key: SubmissionKey,
        now: Timestamp,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(&id) = self.by_key.get(&key) {
            let proposer = &mut self.active[id].proposer;
            if let Some(place) = proposer.acceptors().position(to) {
                let next = proposer.on_failed(place, &mut self.rounds);
                self.follow(id, next, now, &mut actions);
            }
        }
        actions
    }

    /// Continues the claims whose time has come and drops old records.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.acceptor.expire(now, DROPS_PER_TICK);
        self.owners.expire(self.clock.read(now), DROPS_PER_TICK);
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let proposer = &mut self.active[id].proposer;
            let next = proposer.on_timeout(&mut self.rounds);
            assert_ne!(next, NextStep::Wait, "a time-out leads to a step");
            self.follow(id, next, now, &mut actions);
        }
        actions
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claims = self.deadlines.first().map(|(deadline, _)| *deadline);
        let owners = self.owners.due().map(|wall| self.clock.when(wall));
        let records = self.acceptor.due();
        [claims, owners, records].into_iter().flatten().min()
    }

    /// Decides what needs no acceptor.
    fn decide_locally(
        &self,
        key: SubmissionKey,
        digest: Digest,
        created: UnixMillis,
        wall: UnixMillis,
    ) -> Option<Decision> {
        if self.limits.is_expired(created, wall) {
            return Some(Decision::Expired);
        }
        if self.limits.is_in_future(created, wall) {
            return Some(Decision::CreatedInFuture);
        }
        if let Some(known) = self.owners.own(key) {
            let same = known.digest == digest && known.created == created;
            return Some(match same {
                true => Decision::OwnedBy(self.me),
                false => Decision::Conflict,
            });
        }
        if let Some(&id) = self.by_key.get(&key) {
            let proposer = &self.active[id].proposer;
            let same = proposer.digest == digest && proposer.created == created;
            return (!same).then_some(Decision::Conflict);
        }
        let room = self.active.len() < self.limits.max_claims
            && self.active.len() + self.owners.own_len() < self.limits.max_records;
        (!room).then_some(Decision::Undecided(UndecidedReason::Full))
    }

    fn follow(&mut self, id: ClaimId, next: NextStep, now: Timestamp, actions: &mut Vec<Action>) {
        match next {
            NextStep::Wait => {}
            NextStep::Pause => {
                let pause = self.pause(id);
                self.wake_at(id, now + pause);
            }
            NextStep::Send(steps) => {
                self.wake_at(id, now + self.limits.step_timeout);
                self.send(id, &steps, now, actions);
            }
            NextStep::Decided(decision) => self.decide(id, decision, actions),
        }
    }

    /// Sends the steps to the other acceptors, then takes this entry's own vote, which is no message.
    fn send(
        &mut self,
        id: ClaimId,
        steps: &[(EntryId, Step)],
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let proposer = &self.active[id].proposer;
        let request = |step| StepRequest {
            claim: id.data().as_ffi(),
            key: proposer.key,
            digest: proposer.digest,
            created: proposer.created,
            step,
        };
        let others = steps.iter().filter(|(to, _)| *to != self.me.entry);
        actions.extend(others.map(|&(to, step)| Action::Send {
            to,
            request: request(step),
        }));
        let Some(&(_, step)) = steps.iter().find(|(to, _)| *to == self.me.entry) else {
            return;
        };
        let request = request(step);
        let wall = self.clock.read(now);
        let result = self
            .acceptor
            .answer(&self.epochs, self.me, wall, &request, now);
        let proposer = &mut self.active[id].proposer;
        let place = proposer
            .acceptors()
            .position(self.me.entry)
            .expect("only acceptors are asked");
        let next = proposer.on_step_result(
            (place, self.me.incarnation),
            (step.round(), result),
            &mut self.rounds,
        );
        self.follow(id, next, now, actions);
    }

    fn decide(&mut self, id: ClaimId, decision: Decision, actions: &mut Vec<Action>) {
        let ActiveClaim { proposer, deadline } = self
            .active
            .remove(id)
            .expect("a claim is decided while it is in progress");
        self.deadlines.remove(&(deadline, id));
        let of_key = self.by_key.remove(&proposer.key);
        assert_eq!(of_key, Some(id), "one claim for a key");
        let (key, digest) = (proposer.key, proposer.digest);
        let owner = match decision {
            Decision::Owner => Some(self.me),
            Decision::OwnedBy(owner) | Decision::Collector(owner) => Some(owner),
            _ => None,
        };
        if let Some(owner) = owner {
            let created = proposer.created;
            let known = KnownOwner {
                digest,
                created,
                owner,
            };
            self.owners.record(key, known);
        }
        actions.push(Action::Decided {
            key,
            digest,
            decision,
        });
    }

    fn wake_at(&mut self, id: ClaimId, at: Timestamp) {
        let deadline = &mut self.active[id].deadline;
        self.deadlines.remove(&(*deadline, id));
        *deadline = at;
        self.deadlines.insert((at, id));
    }

    /// A pause between half and all of the current bound, different for each proposer and round.
    fn pause(&self, id: ClaimId) -> Duration {
        let proposer = &self.active[id].proposer;
        let ballot = proposer.ballot();
        let factor = 1 << (proposer.prepares().max(1) - 1).min(MAX_BACKOFF_FACTOR.ilog2());
        let bound = self.limits.prepare_backoff * factor;
        let seed = mix(id.data().as_ffi() ^ mix(u64::from(ballot.round)));
        let random = mix(seed ^ self.me.incarnation.0) as u32;
        bound / 2 + bound.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0)
    }
}
