//! Claims: single-decree consensus on which entry process may start the tasks of a submission.
//!
//! Up to three entries, the [`AcceptorSet`] of the submission, each hold its register in memory. An entry claims a
//! submission by collecting the votes of a quorum of its acceptors; see section 3.2 of the design.
//!
//! # Use by a driver
//! [`Claims::start`], [`Claims::on_reply`], [`Claims::on_unreachable`] and [`Claims::tick`] return [`Action`]s.
//! * [`Action::Send`]: send the step in a request built by [`Claims::build_request`], alone or with other steps for the
//!   same acceptor, and pass the reply to [`Claims::on_reply`]. If the request fails, call [`Claims::on_unreachable`]
//!   for each of its keys; for an acceptor without a connection, calling it immediately avoids waiting for the timeout.
//! * [`Action::Decided`]: follows exactly once for each call of `start` that did not join a claim in progress.
//!   * [`Decision::Owner`]: start the tasks.
//!   * [`Decision::OwnedBy`]: relay the answer of that process. If the process is dead, or its entry answers with
//!     another incarnation, call `start` again with it as `dead_owner`. If it is alive and does not own the submission,
//!     its own claim ended undecided: pass the submission on to it, and its next claim finds its earlier votes.
//!   * [`Decision::Collector`]: collect the results from the agents (section 3.4); never start a task.
//!   * [`Decision::Undecided`]: answer `undecided`. The votes of this claim may still make this process the owner
//!     later, but only through another claim.
//!
//! The content digest must cover `created`. If a key is used again with another `created`, only the acceptors that
//! still hold the first record report a conflict: whether an acceptor abstains after a restart depends on the new
//! `created`.

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
    proposer::{NextAction, Proposer, RoundCounter},
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// Largest number of expired known owners that one [`Claims::start`] removes from each table. More than one, so that
/// the tables shrink under a constant load.
const MAX_EXPIRATIONS_PER_CLAIM: usize = 4;
/// Largest number of expired records that one [`Claims::tick`] removes from each table, so that a tick stays short.
const MAX_EXPIRATIONS_PER_TICK: usize = 4_096;
/// Largest factor of the exponential backoff between prepares.
const MAX_BACKOFF_FACTOR: u32 = 16;

new_key_type! {
    /// Index of a claim in progress.
    struct ClaimId;
}

/// Action that the driver of the claims has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step to an acceptor. Steps for the same acceptor may share one [`Claims::build_request`].
    Send {
        /// The acceptor that gets the step.
        to: EntryId,
        /// The step to send.
        request: StepRequest,
    },
    /// Act on the result of a claim, which has ended.
    Decided {
        /// Key of the claimed submission.
        key: SubmissionKey,
        /// Hash of the claimed content.
        digest: Digest,
        /// Result of the claim.
        decision: Decision,
    },
}

/// A claim in progress.
#[derive(Debug)]
struct ActiveClaim {
    proposer: Proposer,
    /// Timeout of the current step, or end of the backoff.
    deadline: Timestamp,
}

/// The claims of one entry process, and the registers that it holds as an acceptor.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::{Action, ClaimLimits, Claims, Decision, EntryProcess, MembershipEpochs, SteadyClock},
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
    known_owners: KnownOwners,
    rounds: RoundCounter,
    active: SlotMap<ClaimId, ActiveClaim>,
    by_key: HashMap<SubmissionKey, ClaimId>,
    deadlines: BTreeSet<(Timestamp, ClaimId)>,
}

impl Claims {
    /// Creates the state of the entry process `me`, whose `clock` was set when the process started.
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
            known_owners: KnownOwners::new(me, &limits),
            rounds: RoundCounter::default(),
            active: SlotMap::with_key(),
            by_key: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Time from which the acceptor of this entry votes for new submissions instead of abstaining after its restart.
    pub fn ready_at(&self) -> Timestamp {
        self.acceptor.ready_at()
    }

    /// Returns the acceptor of this entry.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Number of further submissions that this entry can claim before its tables are full. When few are left, an entry
    /// can answer `undecided` without a claim, so that one kind of task does not fill the tables for all others.
    pub fn free_records(&self) -> usize {
        let used = self
            .acceptor
            .len()
            .max(self.known_owners.own_len() + self.active.len());
        self.limits.max_records.saturating_sub(used)
    }

    /// Number of claims in progress.
    pub fn in_progress(&self) -> usize {
        self.active.len()
    }

    /// Returns what this entry knows about the owner of a submission, from its own claims or as an acceptor. Fetches
    /// and cancellations start here, because they know the key of a submission but not its content.
    pub fn known_owner(&self, key: SubmissionKey) -> Option<KnownOwner> {
        let learned = self.known_owners.get(key).copied();
        learned.or_else(|| self.acceptor.known_owner(key))
    }

    /// Adds a list of entries that applies to submissions created at `from` or later.
    ///
    /// # Errors
    /// [`EpochError`] for an invalid list, and for a `from` so early that some entry may already know a submission
    /// created at that time or later.
    pub fn add_epoch(
        &mut self,
        from: UnixMillis,
        entries: Vec<EntryId>,
        now: Timestamp,
    ) -> Result<(), EpochError> {
        if from <= self.clock.read(now).plus(2 * self.limits.max_skew) {
            return Err(EpochError::TooLate(from));
        }
        self.epochs.push(from, entries)
    }

    /// Starts a claim of a submission. With `dead_owner`, the claim takes the submission over from that owner.
    ///
    /// If a claim of the same content is in progress, the call joins it, and one decision answers both. A claim of a
    /// submission that this process owns already is decided as [`Decision::OwnedBy`] this process.
    pub fn start(
        &mut self,
        key: SubmissionKey,
        digest: Digest,
        created: UnixMillis,
        dead_owner: Option<EntryProcess>,
        now: Timestamp,
    ) -> Vec<Action> {
        let wall = self.clock.read(now);
        self.known_owners.expire(wall, MAX_EXPIRATIONS_PER_CLAIM);
        let mut actions = Vec::new();
        if let Some(decision) = self.decide_without_votes(key, digest, created, wall) {
            actions.push(Action::Decided {
                key,
                digest,
                decision,
            });
            return actions;
        }
        if let Some(&id) = self.by_key.get(&key) {
            if let Some(dead_owner) = dead_owner {
                self.active[id].proposer.take_over(dead_owner);
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
        if let Some(dead_owner) = dead_owner {
            proposer.take_over(dead_owner);
        }
        let next = proposer.begin(&mut self.rounds);
        let deadline = now + self.limits.step_timeout;
        let id = self.active.insert(ActiveClaim { proposer, deadline });
        self.by_key.insert(key, id);
        self.deadlines.insert((deadline, id));
        self.perform(id, next, now, &mut actions);
        actions
    }

    /// Builds a request from steps for the same acceptor.
    pub fn build_request(&self, steps: Vec<StepRequest>, now: Timestamp) -> ClaimRequest {
        ClaimRequest {
            from: self.me,
            clock: self.clock.read(now),
            steps,
        }
    }

    /// Handles a request as an acceptor and returns the reply.
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

    /// Handles the reply of the acceptor `from`. Replies to an earlier incarnation of this process are ignored.
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
            let Some(position) = active.proposer.acceptors().position(from) else {
                continue;
            };
            let next = active.proposer.on_step_result(
                (position, reply.from),
                (answer.round, answer.result),
                &mut self.rounds,
            );
            self.perform(id, next, now, &mut actions);
        }
        actions
    }

    /// Handles the failure of a request to the acceptor `to` with a step about `key`.
    pub fn on_unreachable(
        &mut self,
        to: EntryId,
        key: SubmissionKey,
        now: Timestamp,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(&id) = self.by_key.get(&key) {
            let proposer = &mut self.active[id].proposer;
            if let Some(position) = proposer.acceptors().position(to) {
                let next = proposer.on_failed(position, &mut self.rounds);
                self.perform(id, next, now, &mut actions);
            }
        }
        actions
    }

    /// Continues the claims whose step timed out or whose backoff is over, and removes expired records.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.acceptor.expire(now, MAX_EXPIRATIONS_PER_TICK);
        self.known_owners
            .expire(self.clock.read(now), MAX_EXPIRATIONS_PER_TICK);
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let proposer = &mut self.active[id].proposer;
            let next = proposer.on_timeout(&mut self.rounds);
            assert_ne!(
                next,
                NextAction::Wait,
                "a claim continues or ends at a timeout"
            );
            self.perform(id, next, now, &mut actions);
        }
        actions
    }

    /// Time at which [`tick`](Self::tick) has something to do next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claims = self.deadlines.first().map(|(deadline, _)| *deadline);
        let owners = self
            .known_owners
            .next_expiry()
            .map(|wall| self.clock.when(wall));
        let records = self.acceptor.next_expiry();
        [claims, owners, records].into_iter().flatten().min()
    }

    /// Decides a claim that needs no message to an acceptor, if possible.
    fn decide_without_votes(
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
        if let Some(known) = self.known_owners.own(key) {
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
        let has_room = self.active.len() < self.limits.max_claims
            && self.active.len() + self.known_owners.own_len() < self.limits.max_records;
        (!has_room).then_some(Decision::Undecided(UndecidedReason::Full))
    }

    fn perform(
        &mut self,
        id: ClaimId,
        next: NextAction,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        match next {
            NextAction::Wait => {}
            NextAction::BackOff => {
                let backoff = self.prepare_backoff(id);
                self.set_deadline(id, now + backoff);
            }
            NextAction::Send(steps) => {
                self.set_deadline(id, now + self.limits.step_timeout);
                self.send(id, &steps, now, actions);
            }
            NextAction::Decided(decision) => self.finish(id, decision, actions),
        }
    }

    /// Sends the steps to the other acceptors, then asks the acceptor of this entry directly, without a message.
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
        let position = proposer
            .acceptors()
            .position(self.me.entry)
            .expect("steps are sent only to acceptors of the submission");
        let next = proposer.on_step_result(
            (position, self.me.incarnation),
            (step.round(), result),
            &mut self.rounds,
        );
        self.perform(id, next, now, actions);
    }

    /// Ends a claim and remembers the owner.
    fn finish(&mut self, id: ClaimId, decision: Decision, actions: &mut Vec<Action>) {
        let ActiveClaim { proposer, deadline } = self
            .active
            .remove(id)
            .expect("a claim is decided while it is in progress");
        self.deadlines.remove(&(deadline, id));
        let removed_id = self.by_key.remove(&proposer.key);
        assert_eq!(
            removed_id,
            Some(id),
            "a key has at most one claim in progress"
        );
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
            self.known_owners.record(key, known);
        }
        actions.push(Action::Decided {
            key,
            digest,
            decision,
        });
    }

    fn set_deadline(&mut self, id: ClaimId, at: Timestamp) {
        let deadline = &mut self.active[id].deadline;
        self.deadlines.remove(&(*deadline, id));
        *deadline = at;
        self.deadlines.insert((at, id));
    }

    /// Backoff before the next prepare, with jitter: between half of the current bound and all of it, different for
    /// each proposer and round.
    fn prepare_backoff(&self, id: ClaimId) -> Duration {
        let proposer = &self.active[id].proposer;
        let ballot = proposer.ballot();
        let factor = 1 << (proposer.prepares().max(1) - 1).min(MAX_BACKOFF_FACTOR.ilog2());
        let bound = self.limits.prepare_backoff * factor;
        let seed = mix(id.data().as_ffi() ^ mix(u64::from(ballot.round)));
        let random = mix(seed ^ self.me.incarnation.0) as u32;
        bound / 2 + bound.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0)
    }
}
