//! Claims: which entry process may start the tasks of a submission.
//!
//! Each submission has a single-decree register in memory at up to three entries, its [`Members`]. An entry claims a
//! submission by collecting the votes of a majority of them; see section 3.2 of the design.
//!
//! # Use by a driver
//! [`Claims::start`], [`Claims::on_reply`], [`Claims::on_unreachable`] and [`Claims::tick`] return [`Action`]s.
//! * [`Action::Send`]: put the ask into a [`Claims::request`], alone or with others for the same member, and hand the
//!   reply to [`Claims::on_reply`]. If the request fails, call [`Claims::on_unreachable`] for each of its keys; calling it
//!   at once for a member without a connection saves the time-out.
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
//! members that still hold the first record, because their horizon is compared with the new `created`.

mod claimant;
mod clock;
mod limits;
mod member;
mod members;
mod message;
mod owners;
mod processes;
mod record;
mod table;

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::{Key, KeyData, SlotMap, new_key_type};

use self::{
    claimant::{Claimant, Next, Rounds},
    members::mix,
    owners::Owners,
};
pub use self::{
    claimant::{Decision, Reason},
    clock::SteadyClock,
    limits::ClaimLimits,
    member::{Known, Member},
    members::{EpochError, Epochs, MAX_MEMBERS, Members},
    message::{Accepted, Answer, Ask, Ballot, ClaimReply, ClaimRequest, Owner, Step, Verdict},
};
use crate::{
    id::{Digest, EntryId, SubmissionKey},
    time::{Timestamp, UnixMillis},
};

/// Known owners that one [`Claims::start`] drops. More than one, so that the tables shrink under a steady stream.
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
    /// Ask a member. Asks to the same member may travel in one [`Claims::request`].
    Send {
        /// The member.
        to: EntryId,
        /// The step.
        ask: Ask,
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
struct Running {
    claimant: Claimant,
    deadline: Timestamp,
}

/// All claims of one entry process, and the registers that it holds as a member.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{
///     claim::{Action, ClaimLimits, Claims, Decision, Epochs, Owner, SteadyClock},
///     id::{Digest, EntryId, Incarnation, SubmissionKey},
///     time::{Timestamp, UnixMillis},
/// };
///
/// let me = Owner { entry: EntryId(0), incarnation: Incarnation(7) };
/// let epochs = Epochs::new(vec![(UnixMillis(0), vec![EntryId(0)])]).unwrap();
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
    me: Owner,
    limits: ClaimLimits,
    clock: SteadyClock,
    epochs: Epochs,
    member: Member,
    owners: Owners,
    rounds: Rounds,
    running: SlotMap<ClaimId, Running>,
    by_key: HashMap<SubmissionKey, ClaimId>,
    deadlines: BTreeSet<(Timestamp, ClaimId)>,
}

impl Claims {
    /// Creates the claims of the process `me`, which read `clock` at its start.
    pub fn new(me: Owner, epochs: Epochs, clock: SteadyClock, limits: ClaimLimits) -> Claims {
        Claims {
            me,
            limits,
            clock,
            epochs,
            member: Member::new(me.entry, clock, limits),
            owners: Owners::new(me, &limits),
            rounds: Rounds::default(),
            running: SlotMap::with_key(),
            by_key: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// From when on the entry is ready: its horizon has passed.
    pub fn ready_at(&self) -> Timestamp {
        self.member.ready_at()
    }

    /// The member side of this entry.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// How many more submissions this entry can claim before its tables are full. An entry that runs short can refuse
    /// work without a claim (`undecided`) instead of letting one kind of work fill the tables for all others.
    pub fn room(&self) -> usize {
        let used = self
            .member
            .len()
            .max(self.owners.own_len() + self.running.len());
        self.limits.max_records.saturating_sub(used)
    }

    /// Number of claims in progress.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// What this entry knows about the owner of a submission, from its own claims or as a member. A fetch or a
    /// cancellation, which names no content, starts here.
    pub fn known(&self, key: SubmissionKey) -> Option<Known> {
        let learned = self.owners.get(key).copied();
        learned.or_else(|| self.member.known(key))
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
        dead: Option<Owner>,
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
                self.running[id].claimant.take_over(dead);
            }
            return actions;
        }
        let members = self.epochs.members(key, created);
        let mut claimant = Claimant::new(
            self.me,
            members,
            (key, digest, created),
            self.limits.attempts,
        );
        if let Some(dead) = dead {
            claimant.take_over(dead);
        }
        let next = claimant.begin(&mut self.rounds);
        let deadline = now + self.limits.timeout;
        let id = self.running.insert(Running { claimant, deadline });
        self.by_key.insert(key, id);
        self.deadlines.insert((deadline, id));
        self.follow(id, next, now, &mut actions);
        actions
    }

    /// Puts asks to one member into one request.
    pub fn request(&self, asks: Vec<Ask>, now: Timestamp) -> ClaimRequest {
        ClaimRequest {
            from: self.me,
            clock: self.clock.read(now),
            asks,
        }
    }

    /// Answers a request as a member.
    pub fn on_request(&mut self, request: &ClaimRequest, now: Timestamp) -> ClaimReply {
        let answers = request.asks.iter().map(|ask| Answer {
            claim: ask.claim,
            round: ask.step.round(),
            verdict: self
                .member
                .answer(&self.epochs, request.from, request.clock, ask, now),
        });
        ClaimReply {
            answers: answers.collect(),
            from: self.me.incarnation,
            to: request.from.incarnation,
        }
    }

    /// Handles the reply of the member `from`.
    pub fn on_reply(&mut self, from: EntryId, reply: &ClaimReply, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if reply.to != self.me.incarnation {
            return actions;
        }
        for answer in &reply.answers {
            let id = ClaimId::from(KeyData::from_ffi(answer.claim));
            let Some(running) = self.running.get_mut(id) else {
                continue;
            };
            let Some(place) = running.claimant.members().position(from) else {
                continue;
            };
            let next = running.claimant.on_verdict(
                (place, reply.from),
                (answer.round, answer.verdict),
                &mut self.rounds,
            );
            self.follow(id, next, now, &mut actions);
        }
        actions
    }

    /// A request about `key` to the member `to` failed without an answer.
    pub fn on_unreachable(
        &mut self,
        to: EntryId,
        key: SubmissionKey,
        now: Timestamp,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(&id) = self.by_key.get(&key) {
            let claimant = &mut self.running[id].claimant;
            if let Some(place) = claimant.members().position(to) {
                let next = claimant.on_failed(place, &mut self.rounds);
                self.follow(id, next, now, &mut actions);
            }
        }
        actions
    }

    /// Continues the claims whose time has come and drops old records.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.member.expire(now, DROPS_PER_TICK);
        self.owners.expire(self.clock.read(now), DROPS_PER_TICK);
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let claimant = &mut self.running[id].claimant;
            let next = claimant.on_timeout(&mut self.rounds);
            assert_ne!(next, Next::Wait, "a time-out leads to a step");
            self.follow(id, next, now, &mut actions);
        }
        actions
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claims = self.deadlines.first().map(|(deadline, _)| *deadline);
        let owners = self.owners.due().map(|wall| self.clock.when(wall));
        let records = self.member.due();
        [claims, owners, records].into_iter().flatten().min()
    }

    /// Decides what needs no member.
    fn decide_locally(
        &self,
        key: SubmissionKey,
        digest: Digest,
        created: UnixMillis,
        wall: UnixMillis,
    ) -> Option<Decision> {
        if self.limits.expired(created, wall) {
            return Some(Decision::Expired);
        }
        if self.limits.future(created, wall) {
            return Some(Decision::Invalid);
        }
        if let Some(known) = self.owners.own(key) {
            let same = known.digest == digest && known.created == created;
            return Some(match same {
                true => Decision::OwnedBy(self.me),
                false => Decision::Conflict,
            });
        }
        if let Some(&id) = self.by_key.get(&key) {
            let claimant = &self.running[id].claimant;
            let same = claimant.digest == digest && claimant.created == created;
            return (!same).then_some(Decision::Conflict);
        }
        let room = self.running.len() < self.limits.max_claims
            && self.running.len() + self.owners.own_len() < self.limits.max_records;
        (!room).then_some(Decision::Undecided(Reason::Full))
    }

    fn follow(&mut self, id: ClaimId, next: Next, now: Timestamp, actions: &mut Vec<Action>) {
        match next {
            Next::Wait => {}
            Next::Pause => {
                let pause = self.pause(id);
                self.wake_at(id, now + pause);
            }
            Next::Ask(steps) => {
                self.wake_at(id, now + self.limits.timeout);
                self.ask(id, &steps, now, actions);
            }
            Next::Decided(decision) => self.decide(id, decision, actions),
        }
    }

    /// Sends the steps to the other members, then takes this entry's own vote, which is no message.
    fn ask(
        &mut self,
        id: ClaimId,
        steps: &[(EntryId, Step)],
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let claimant = &self.running[id].claimant;
        let ask = |step| Ask {
            claim: id.data().as_ffi(),
            key: claimant.key,
            digest: claimant.digest,
            created: claimant.created,
            step,
        };
        let others = steps.iter().filter(|(to, _)| *to != self.me.entry);
        actions.extend(others.map(|&(to, step)| Action::Send { to, ask: ask(step) }));
        let Some(&(_, step)) = steps.iter().find(|(to, _)| *to == self.me.entry) else {
            return;
        };
        let ask = ask(step);
        let wall = self.clock.read(now);
        let verdict = self.member.answer(&self.epochs, self.me, wall, &ask, now);
        let claimant = &mut self.running[id].claimant;
        let place = claimant
            .members()
            .position(self.me.entry)
            .expect("only members are asked");
        let next = claimant.on_verdict(
            (place, self.me.incarnation),
            (step.round(), verdict),
            &mut self.rounds,
        );
        self.follow(id, next, now, actions);
    }

    fn decide(&mut self, id: ClaimId, decision: Decision, actions: &mut Vec<Action>) {
        let Running { claimant, deadline } = self
            .running
            .remove(id)
            .expect("a claim is decided while it is in progress");
        self.deadlines.remove(&(deadline, id));
        let of_key = self.by_key.remove(&claimant.key);
        assert_eq!(of_key, Some(id), "one claim for a key");
        let (key, digest) = (claimant.key, claimant.digest);
        let owner = match decision {
            Decision::Owner => Some(self.me),
            Decision::OwnedBy(owner) | Decision::Collector(owner) => Some(owner),
            _ => None,
        };
        if let Some(owner) = owner {
            let created = claimant.created;
            let known = Known {
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
        let deadline = &mut self.running[id].deadline;
        self.deadlines.remove(&(*deadline, id));
        *deadline = at;
        self.deadlines.insert((at, id));
    }

    /// A pause between half and all of the current bound, different for each claimant and round.
    fn pause(&self, id: ClaimId) -> Duration {
        let claimant = &self.running[id].claimant;
        let ballot = claimant.ballot();
        let factor = 1 << (claimant.prepares().max(1) - 1).min(MAX_BACKOFF_FACTOR.ilog2());
        let bound = self.limits.backoff * factor;
        let seed = mix(id.data().as_ffi() ^ mix(u64::from(ballot.round)));
        let random = mix(seed ^ self.me.incarnation.0) as u32;
        bound / 2 + bound.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0)
    }
}
