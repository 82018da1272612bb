//! Paxos proposer of one replica, without I/O: reads and changes the register (a [`RegisterState`]) through a quorum.
//! [`crate::node`] carries out its effects, and [`crate::driver`] does the I/O.
//!
//! A member is replaced in two writes. The first one adds a new member set to the old ones, and from then on a quorum
//! needs a majority of each set (joint member sets). Once that state is chosen and the new members have accepted it,
//! the second write drops the old sets.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::{Timestamp, UnixMillis};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    acceptor::Proposal,
    apply::apply,
    command::{Answer, Command},
    delta::StateDelta,
    message::{AcceptedState, Message},
    sign::Verifier,
    state::{Member, Members, RegisterState},
    types::{Ballot, ReplicaId},
};

/// Time after which a phase is given up. It suffices for a few round trips and synced writes on a slow disk.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a client is told that the outcome is unknown. It is shorter than the timeout of the operator's
/// command-line tool, so that an isolated replica still answers that it is unavailable.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of a running background request (one without a client), since requests of clients wait behind it.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// Base of the backoff after a nack or a phase timeout. After `n` failed attempts, the backoff is random between 25%
/// and 100% of this base times 2 to the power of `n`, or of [`MAX_BACKOFF`] if that is less.
pub const BASE_BACKOFF: Duration = Duration::from_millis(10);
/// Upper limit of the backoff between attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Largest number of requests that wait behind the running one.
pub const MAX_QUEUED_REQUESTS: usize = 64;

/// Reading of the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// Monotonic time, for timeouts.
    pub now: Timestamp,
    /// Wall-clock time, for the history of changes.
    pub wall: UnixMillis,
}

/// Id that the driver assigns to a waiting client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Request to the register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Changes the register by a command.
    Command(Box<Command>),
    /// Reads the current state.
    Read,
    /// Reads the current state in the background. Completes an unfinished write only if two such reads in a row saw it
    /// unfinished. Has no client.
    BackgroundRead,
    /// Completes the replacement of a member whose old member sets have not been dropped. Has no client.
    FinishReplacement,
}

/// Reply to a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a command. A quorum has accepted the effect of the command, unless it was refused and the refusal is
    /// not recorded.
    Answer(Answer),
    /// A state that was current at some time between the request and the reply.
    Current(Box<RegisterState>),
    /// The request did not end in time, for example because no quorum answered. A command may have taken effect; send
    /// it again under the same request id.
    Unavailable,
    /// Too many requests are waiting; nothing was done.
    Busy,
    /// This replica is not a member. Nothing was done, unless the replica was removed while it ran the request: then a
    /// command may have taken effect.
    NotMember,
}

/// Effect that the node has to carry out for the proposer, in the order of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message, possibly to this replica itself.
    Send(Member, Message),
    /// Record that a quorum has accepted this state, and announce it to the other members if `announce` is set.
    Chosen {
        /// The chosen state with its ballot.
        proposal: Proposal,
        /// Whether to announce the state to the other members. True for a state that this proposer has written itself,
        /// false for one that it has read.
        announce: bool,
    },
    /// Reply to a client.
    Reply(ClientId, Reply),
}

#[derive(Debug)]
struct PendingRequest {
    client: Option<ClientId>,
    request: Request,
    deadline: Timestamp,
    failed_attempts: u32,
    /// Epoch of the joint (old and new) member sets, once a quorum and all new members have accepted them.
    joint_epoch: Option<u64>,
}

#[derive(Debug)]
enum Phase {
    Idle,
    BackingOff {
        until: Timestamp,
    },
    Reading {
        read_id: u64,
        /// Own accepted proposal at the start of the phase. Replies leave out the state if it is this one.
        known_proposal: Proposal,
        recipient_count: usize,
        /// Accepted ballot of each member that replied.
        replies: BTreeMap<ReplicaId, Ballot>,
        /// Accepted proposal with the highest ballot among the replies and the local one.
        highest: Proposal,
        deadline: Timestamp,
    },
    Preparing {
        ballot: Ballot,
        known_proposal: Proposal,
        recipients: BTreeSet<ReplicaId>,
        /// Accepted ballot of each member that promised.
        promises: BTreeMap<ReplicaId, Ballot>,
        /// Accepted proposal with the highest ballot among the promises.
        highest: Option<Proposal>,
        deadline: Timestamp,
    },
    Accepting {
        proposal: Proposal,
        /// Member sets of the state that the change is based on.
        base_members: Members,
        /// Members that must accept in addition to the quorums.
        required_voters: BTreeSet<ReplicaId>,
        accepted_by: BTreeSet<ReplicaId>,
        on_chosen: OnChosen,
        deadline: Timestamp,
    },
}

/// What to do once a state is chosen.
#[derive(Debug, Clone)]
enum OnChosen {
    Reply(Reply),
    /// Run the request again, now to drop the old ones of the joint member sets with this epoch.
    DropOldSets(u64),
}

/// Proposer of one replica. It runs one request at a time and queues the others.
#[derive(Debug)]
pub struct Proposer {
    id: ReplicaId,
    incarnation: u64,
    round: u64,
    read_id: u64,
    rng: SmallRng,
    queue: VecDeque<PendingRequest>,
    running: Option<PendingRequest>,
    phase: Phase,
    /// Highest ballot that the last background read saw, if a quorum replied but no quorum has accepted that ballot.
    unconfirmed_ballot: Option<Ballot>,
    effects: Vec<Effect>,
}

impl Proposer {
    /// Creates an idle proposer. `incarnation` must be different for each start of the replica.
    pub fn new(id: ReplicaId, incarnation: u64) -> Proposer {
        Proposer {
            id,
            incarnation,
            round: 0,
            // Replies to reads of an earlier incarnation must not match, so the incarnation is in the upper 32 bits.
            read_id: incarnation << 32,
            rng: SmallRng::seed_from_u64(id.0 ^ incarnation),
            queue: VecDeque::new(),
            running: None,
            phase: Phase::Idle,
            unconfirmed_ballot: None,
            effects: Vec::new(),
        }
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.queue.is_empty()
    }

    /// Adds a request to the queue, or replies [`Reply::Busy`] if the queue is full. [`Proposer::advance`] must be
    /// called afterwards.
    pub fn submit(&mut self, client: Option<ClientId>, request: Request, now: Timestamp) {
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            let reply = |c| Effect::Reply(c, Reply::Busy);
            self.effects.extend(client.map(reply));
            return;
        }
        self.queue.push_back(PendingRequest {
            client,
            request,
            deadline: now + REQUEST_TIMEOUT,
            failed_attempts: 0,
            joint_epoch: None,
        });
    }

    /// Takes the effects requested since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Proposer::advance`] has to run next, if no message or request arrives before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::BackingOff { until: deadline }
            | Phase::Reading { deadline, .. }
            | Phase::Preparing { deadline, .. }
            | Phase::Accepting { deadline, .. } => Some(*deadline),
        };
        let requests = self.running.iter().chain(&self.queue);
        requests.map(|r| r.deadline).chain(phase).min()
    }

    /// Starts, times out and retries requests. `local_proposal` is the accepted proposal and `promised` the highest
    /// promise of this replica's own acceptor.
    pub fn advance(&mut self, local_proposal: &Proposal, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        self.expire_requests(now);
        if self.has_phase_expired(now) {
            self.on_phase_timeout(local_proposal, now);
        }
        while self.running.is_none() {
            let Some(mut running) = self.queue.pop_front() else {
                return;
            };
            if running.client.is_none() {
                running.deadline = now + BACKGROUND_TIMEOUT;
            }
            let is_read = matches!(running.request, Request::Read | Request::BackgroundRead);
            self.running = Some(running);
            if is_read {
                self.start_read(local_proposal, now);
            } else {
                self.start_prepare(local_proposal, now);
            }
        }
        if matches!(self.phase, Phase::BackingOff { until } if until <= now) {
            self.start_prepare(local_proposal, now);
        }
    }

    /// Ends all requests, because this replica is no longer a member.
    pub fn cancel_all(&mut self) {
        self.phase = Phase::Idle;
        let requests = self.running.take().into_iter().chain(self.queue.drain(..));
        let replies = requests.filter_map(|r| Some(Effect::Reply(r.client?, Reply::NotMember)));
        self.effects.extend(replies);
    }

    fn expire_requests(&mut self, now: Timestamp) {
        if self.running.as_ref().is_some_and(|r| r.deadline <= now) {
            self.complete(Reply::Unavailable);
        }
        let (expired, queue) = self.queue.drain(..).partition(|r| r.deadline <= now);
        self.queue = queue;
        let expired: VecDeque<PendingRequest> = expired;
        let replies = expired
            .into_iter()
            .filter_map(|r| Some(Effect::Reply(r.client?, Reply::Unavailable)));
        self.effects.extend(replies);
    }

    fn has_phase_expired(&self, now: Timestamp) -> bool {
        match &self.phase {
            Phase::Idle | Phase::BackingOff { .. } => false,
            Phase::Reading { deadline, .. }
            | Phase::Preparing { deadline, .. }
            | Phase::Accepting { deadline, .. } => *deadline <= now,
        }
    }

    fn on_phase_timeout(&mut self, local_proposal: &Proposal, now: Timestamp) {
        match &self.phase {
            Phase::Reading { .. } => self.on_unconfirmed_read(local_proposal, now),
            _ => self.back_off(now),
        }
    }

    fn complete(&mut self, reply: Reply) {
        self.phase = Phase::Idle;
        let client = self.running.take().and_then(|r| r.client);
        self.effects.extend(client.map(|c| Effect::Reply(c, reply)));
    }

    fn back_off(&mut self, now: Timestamp) {
        let running = self.running.as_mut().expect("a request runs in this phase");
        running.failed_attempts += 1;
        let limit = MAX_BACKOFF.min(BASE_BACKOFF * (1 << running.failed_attempts.min(10)));
        let wait = limit.mul_f64(self.rng.random_range(0.25..1.0));
        self.phase = Phase::BackingOff { until: now + wait };
    }

    fn start_read(&mut self, local_proposal: &Proposal, now: Timestamp) {
        self.read_id += 1;
        let members = local_proposal.state.members.all();
        self.phase = Phase::Reading {
            read_id: self.read_id,
            known_proposal: local_proposal.clone(),
            recipient_count: members.len(),
            replies: BTreeMap::new(),
            highest: local_proposal.clone(),
            deadline: now + PHASE_TIMEOUT,
        };
        let query = Message::Read {
            read_id: self.read_id,
            known_ballot: local_proposal.ballot,
        };
        let sends = members.into_iter().map(|m| Effect::Send(m, query.clone()));
        self.effects.extend(sends);
    }

    /// Handles the reply to a read. A state that a quorum has accepted under the same ballot is chosen and current: if
    /// a newer state were chosen, at least one member of every quorum would have a higher ballot.
    pub fn on_read_reply(
        &mut self,
        from: ReplicaId,
        read_id: u64,
        accepted: AcceptedState,
        local_proposal: &Proposal,
        now: Timestamp,
    ) {
        let Phase::Reading {
            read_id: phase_read_id,
            known_proposal,
            recipient_count,
            replies,
            highest,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *phase_read_id != read_id {
            return;
        }
        let Some(proposal) = accepted_proposal(accepted, known_proposal) else {
            return;
        };
        replies.insert(from, proposal.ballot);
        if proposal.ballot > highest.ballot {
            *highest = proposal;
        }
        let all_replied = replies.len() == *recipient_count;
        if !is_chosen_by(highest, replies) {
            if all_replied {
                self.on_unconfirmed_read(local_proposal, now);
            }
            return;
        }
        let proposal = highest.clone();
        self.unconfirmed_ballot = None;
        let reply = state_reply(&proposal.state);
        self.effects.push(Effect::Chosen {
            proposal,
            announce: false,
        });
        self.complete(reply);
    }

    /// Handles the end of a read in which no quorum has accepted the highest ballot.
    ///
    /// A read for a client continues with a prepare, so that a quorum accepts the highest state. A background read does
    /// so only if the previous one also saw this highest ballot without a quorum: the first time, it may be a write in
    /// progress.
    fn on_unconfirmed_read(&mut self, local_proposal: &Proposal, now: Timestamp) {
        let Phase::Reading {
            replies, highest, ..
        } = &self.phase
        else {
            return;
        };
        let is_background_read = matches!(
            self.running.as_ref().map(|r| &r.request),
            Some(Request::BackgroundRead)
        );
        if !is_background_read {
            self.start_prepare(local_proposal, now);
            return;
        }
        let voters = replies.keys().copied().collect();
        let has_quorum = highest.state.members.is_quorum(&voters);
        let ballot = highest.ballot;
        if has_quorum && self.unconfirmed_ballot == Some(ballot) {
            self.start_prepare(local_proposal, now);
            return;
        }
        self.unconfirmed_ballot = has_quorum.then_some(ballot);
        self.complete(Reply::Unavailable);
    }

    /// Starts an attempt with a new ballot.
    fn start_prepare(&mut self, local_proposal: &Proposal, now: Timestamp) {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            replica: self.id.0,
            incarnation: self.incarnation,
        };
        self.phase = Phase::Preparing {
            ballot,
            known_proposal: local_proposal.clone(),
            recipients: BTreeSet::new(),
            promises: BTreeMap::new(),
            highest: None,
            deadline: now + PHASE_TIMEOUT,
        };
        self.send_prepare(local_proposal.state.members.all());
    }

    /// Sends the prepare to those of `members` that it was not sent to before.
    fn send_prepare(&mut self, members: Vec<Member>) {
        let Phase::Preparing {
            ballot,
            known_proposal,
            recipients,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let message = Message::Prepare {
            ballot: *ballot,
            known_ballot: known_proposal.ballot,
        };
        let new = members.into_iter().filter(|m| recipients.insert(m.id));
        self.effects
            .extend(new.map(|m| Effect::Send(m, message.clone())));
    }

    /// Handles a promise. Once a quorum of the member sets in the highest accepted state has promised, applies the
    /// request to that state.
    pub fn on_promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: AcceptedState,
        clock: ClockReading,
        verifier: &dyn Verifier,
    ) {
        let Phase::Preparing {
            ballot: phase_ballot,
            known_proposal,
            promises,
            highest,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *phase_ballot != ballot {
            return;
        }
        let Some(proposal) = accepted_proposal(accepted, known_proposal) else {
            return;
        };
        promises.insert(from, proposal.ballot);
        if highest.as_ref().is_none_or(|b| b.ballot < proposal.ballot) {
            *highest = Some(proposal);
        }
        let highest = highest.clone().expect("a promise was counted");
        let voters = promises.keys().copied().collect();
        if !highest.state.members.is_quorum(&voters) {
            self.send_prepare(highest.state.members.all());
            return;
        }
        let promises = promises.clone();
        self.apply_request(&highest, &promises, clock, verifier);
    }

    /// Applies the running request to the highest accepted state and proposes the new state. Replies at once if the
    /// state is chosen already and the request does not change it, and to a command whose refusal is not recorded.
    fn apply_request(
        &mut self,
        highest: &Proposal,
        promises: &BTreeMap<ReplicaId, Ballot>,
        clock: ClockReading,
        verifier: &dyn Verifier,
    ) {
        let is_chosen = is_chosen_by(highest, promises);
        if is_chosen {
            self.effects.push(Effect::Chosen {
                proposal: highest.clone(),
                announce: false,
            });
        }
        let running = self.running.as_ref().expect("a request runs in this phase");
        let state = &highest.state;
        let (next, reply, is_replacement) = match &running.request {
            Request::Command(command) => {
                let (next, answer) = apply(state, command, clock.wall, verifier);
                if matches!(&answer, Answer::Refused(r) if !r.is_recorded()) {
                    // It costs no write, see `RefusalReason::is_recorded`.
                    self.complete(Reply::Answer(answer));
                    return;
                }
                let is_replacement = matches!(answer, Answer::Replaced { .. });
                (Arc::new(next), Reply::Answer(answer), is_replacement)
            }
            Request::Read | Request::BackgroundRead => (state.clone(), state_reply(state), false),
            Request::FinishReplacement => (state.clone(), state_reply(state), true),
        };
        if is_replacement && next.members.is_joint() {
            self.continue_replacement(highest, promises, next, reply, clock.now);
        } else if is_chosen && next == *state {
            self.complete(reply);
        } else {
            self.start_accept(highest, promises, next, OnChosen::Reply(reply), clock.now);
        }
    }

    /// Writes the joint member sets of a replacement or, once they are known to be chosen and the new members have
    /// accepted them, drops the old sets.
    fn continue_replacement(
        &mut self,
        highest: &Proposal,
        promises: &BTreeMap<ReplicaId, Ballot>,
        next: Arc<RegisterState>,
        reply: Reply,
        now: Timestamp,
    ) {
        let epoch = next.members.epoch;
        let joint_epoch = self.running.as_ref().and_then(|r| r.joint_epoch);
        if joint_epoch != Some(epoch) {
            self.start_accept(highest, promises, next, OnChosen::DropOldSets(epoch), now);
            return;
        }
        let mut state = RegisterState::clone(&next);
        state.members = state.members.without_old_sets();
        self.start_accept(
            highest,
            promises,
            Arc::new(state),
            OnChosen::Reply(reply),
            now,
        );
    }

    /// Asks the members of both the old and the new member sets to accept `state`.
    fn start_accept(
        &mut self,
        highest: &Proposal,
        promises: &BTreeMap<ReplicaId, Ballot>,
        state: Arc<RegisterState>,
        on_chosen: OnChosen,
        now: Timestamp,
    ) {
        let Phase::Preparing { ballot, .. } = self.phase else {
            unreachable!("an accept follows a prepare");
        };
        let required_voters = match on_chosen {
            OnChosen::DropOldSets(_) => state.members.new_members().collect(),
            OnChosen::Reply(_) => BTreeSet::new(),
        };
        let base_members = &highest.state.members;
        let mut members = state.members.all();
        members.extend(
            base_members
                .all()
                .into_iter()
                .filter(|m| !state.members.contains(m.id)),
        );
        let delta = Box::new(StateDelta::new(&state, Some(&highest.state)));
        let full = Box::new(StateDelta::new(&state, None));
        for member in members {
            // A member that has not promised yet most likely has the same state as the others, so it gets a delta. If
            // it has another state, it drops the message and catches up with a read later. A new member cannot: it is
            // uninitialized and does not read. So while the member sets are joint, each member that has not promised
            // gets the complete state.
            let has_base = match promises.get(&member.id) {
                Some(accepted) => *accepted == highest.ballot,
                None => !state.members.is_joint() && base_members.contains(member.id),
            };
            let message = Message::Accept {
                ballot,
                base: has_base.then_some(highest.ballot),
                state: if has_base {
                    delta.clone()
                } else {
                    full.clone()
                },
            };
            self.effects.push(Effect::Send(member, message));
        }
        self.phase = Phase::Accepting {
            proposal: Proposal { ballot, state },
            base_members: base_members.clone(),
            required_voters,
            accepted_by: BTreeSet::new(),
            on_chosen,
            deadline: now + PHASE_TIMEOUT,
        };
    }

    /// Handles an acceptance. A state is chosen once a majority of each member set before and after the change has
    /// accepted it. It is reported as chosen once the required voters have accepted it as well.
    pub fn on_accepted(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        local_proposal: &Proposal,
        now: Timestamp,
    ) {
        let Phase::Accepting {
            proposal,
            base_members,
            required_voters,
            accepted_by,
            on_chosen,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if proposal.ballot != ballot {
            return;
        }
        accepted_by.insert(from);
        let members = &proposal.state.members;
        if !base_members.is_quorum(accepted_by)
            || !members.is_quorum(accepted_by)
            || !required_voters.is_subset(accepted_by)
        {
            return;
        }
        let (proposal, on_chosen) = (proposal.clone(), on_chosen.clone());
        self.effects.push(Effect::Chosen {
            proposal,
            announce: true,
        });
        match on_chosen {
            OnChosen::Reply(reply) => self.complete(reply),
            OnChosen::DropOldSets(epoch) => {
                let running = self.running.as_mut().expect("a request runs in this phase");
                running.joint_epoch = Some(epoch);
                self.start_prepare(local_proposal, now);
            }
        }
    }

    /// Handles a nack: the acceptor has promised a higher ballot. Tries again with a higher one after a random backoff.
    pub fn on_nack(&mut self, ballot: Ballot, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        let phase_ballot = match &self.phase {
            Phase::Preparing { ballot, .. } => *ballot,
            Phase::Accepting { proposal, .. } => proposal.ballot,
            Phase::Idle | Phase::BackingOff { .. } | Phase::Reading { .. } => return,
        };
        if phase_ballot == ballot && promised > ballot {
            self.back_off(now);
        }
    }
}

fn state_reply(state: &RegisterState) -> Reply {
    Reply::Current(Box::new(state.clone()))
}

/// Returns whether a quorum has accepted exactly the ballot of `highest`.
fn is_chosen_by(highest: &Proposal, ballots: &BTreeMap<ReplicaId, Ballot>) -> bool {
    let same = ballots.iter().filter(|(_, b)| **b == highest.ballot);
    let same = same.map(|(id, _)| *id).collect();
    highest.state.members.is_quorum(&same)
}

/// Returns the proposal that an acceptor has accepted, or `None` if its state is missing or cannot be restored. The
/// acceptor leaves out the state of `known_proposal`, whose ballot the request named as known.
fn accepted_proposal(accepted: AcceptedState, known_proposal: &Proposal) -> Option<Proposal> {
    let Some(state) = accepted.state else {
        return (accepted.ballot == known_proposal.ballot).then(|| known_proposal.clone());
    };
    let state = Arc::new(state.apply_to(None).ok()?);
    Some(Proposal {
        ballot: accepted.ballot,
        state,
    })
}
