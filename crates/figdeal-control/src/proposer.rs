//! Paxos proposer of one replica, without I/O: reads and changes the register through a quorum.

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
/// Time after which a client is told that the outcome is unknown. It is shorter than the time that operators' commands
/// wait for a reply, so that an isolated replica still answers that it is unavailable.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a running background request is given up, since requests of clients wait behind it.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// Base of the random backoff after a lost race or a phase timeout. It doubles with each attempt up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff between attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Largest number of requests that wait behind the running one.
pub const MAX_QUEUED_REQUESTS: usize = 64;

/// Current time of the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
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
    /// Applies a command.
    Command(Box<Command>),
    /// Reads the current state.
    Read,
    /// Learns the chosen state if a quorum answers. Has no client.
    BackgroundRead,
    /// Drops the earlier member sets after a replacement. Has no client.
    FinishReplacement,
}

/// Reply to a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a command. A quorum has accepted its effect.
    Answer(Answer),
    /// A state that was current at some time between the request and the reply.
    Current(Box<RegisterState>),
    /// No quorum answered in time. A command may have taken effect; send it again under the same request id.
    Unavailable,
    /// Too many requests are waiting; nothing was done.
    Busy,
    /// This replica is not a member; nothing was done.
    NotMember,
}

/// Action that the proposer requests. Actions have to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a message, possibly to this replica itself.
    Send(Member, Message),
    /// A quorum has accepted this state.
    Chosen {
        /// The chosen state with its ballot.
        proposal: Proposal,
        /// Whether the other members do not know yet that the state is chosen and have to be told.
        announce: bool,
    },
    /// Reply to a client.
    Reply(ClientId, Reply),
}

/// A request that waits or runs.
#[derive(Debug)]
struct PendingRequest {
    client: Option<ClientId>,
    request: Request,
    deadline: Timestamp,
    attempts: u32,
    /// Epoch of joint member sets, once they are known to be chosen and accepted by the joining members.
    joint_epoch: Option<u64>,
}

/// Phase of the running request.
#[derive(Debug)]
enum Phase {
    Idle,
    BackingOff {
        retry_at: Timestamp,
    },
    Reading {
        read_id: u64,
        /// State that this replica had accepted at the start of the phase; replies leave it out.
        local_proposal: Proposal,
        recipient_count: usize,
        /// Accepted ballots of the members that replied.
        votes: BTreeMap<ReplicaId, Ballot>,
        highest: Proposal,
        deadline: Timestamp,
    },
    Preparing {
        ballot: Ballot,
        local_proposal: Proposal,
        recipients: BTreeSet<ReplicaId>,
        /// Accepted ballots of the members that promised.
        votes: BTreeMap<ReplicaId, Ballot>,
        highest: Option<Proposal>,
        deadline: Timestamp,
    },
    Accepting {
        proposal: Proposal,
        /// Member sets of the state that the change is based on.
        base_members: Members,
        /// Members that must accept in addition to the quorums.
        required_voters: BTreeSet<ReplicaId>,
        votes: BTreeSet<ReplicaId>,
        after_chosen: AfterChosen,
        deadline: Timestamp,
    },
}

/// Action after a state is chosen.
#[derive(Debug, Clone)]
enum AfterChosen {
    /// Reply to the client.
    Reply(Reply),
    /// Drop the earlier ones of the joint member sets with this epoch.
    LeaveJoint(u64),
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
    current: Option<PendingRequest>,
    phase: Phase,
    /// Highest ballot seen by the last background read, if a quorum answered but did not agree on that ballot.
    disputed_ballot: Option<Ballot>,
    steps: Vec<Step>,
}

impl Proposer {
    /// Creates an idle proposer. `incarnation` must be different for each start of the replica.
    pub fn new(id: ReplicaId, incarnation: u64) -> Proposer {
        Proposer {
            id,
            incarnation,
            round: 0,
            read_id: incarnation << 32,
            rng: SmallRng::seed_from_u64(id.0 ^ incarnation),
            queue: VecDeque::new(),
            current: None,
            phase: Phase::Idle,
            disputed_ballot: None,
            steps: Vec::new(),
        }
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.queue.is_empty()
    }

    /// Adds a request to the queue. The caller must call [`Proposer::drive`] afterwards.
    pub fn submit(&mut self, client: Option<ClientId>, request: Request, now: Timestamp) {
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            let reply = |c| Step::Reply(c, Reply::Busy);
            self.steps.extend(client.map(reply));
            return;
        }
        self.queue.push_back(PendingRequest {
            client,
            request,
            deadline: now + REQUEST_TIMEOUT,
            attempts: 0,
            joint_epoch: None,
        });
    }

    /// Takes the steps requested since the last call.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Returns when [`Proposer::drive`] has to run next, if no message or request arrives before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::BackingOff { retry_at: deadline }
            | Phase::Reading { deadline, .. }
            | Phase::Preparing { deadline, .. }
            | Phase::Accepting { deadline, .. } => Some(*deadline),
        };
        let requests = self.current.iter().chain(&self.queue);
        requests.map(|r| r.deadline).chain(phase).min()
    }

    /// Starts, times out and retries requests. `local_proposal` is the accepted state and `promised` the highest
    /// promise of this replica's own acceptor.
    pub fn drive(&mut self, local_proposal: &Proposal, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        self.expire_requests(now);
        if self.has_phase_expired(now) {
            self.on_phase_timeout(local_proposal, now);
        }
        while self.current.is_none() {
            let Some(mut current) = self.queue.pop_front() else {
                return;
            };
            if current.client.is_none() {
                current.deadline = now + BACKGROUND_TIMEOUT;
            }
            let is_read = matches!(current.request, Request::Read | Request::BackgroundRead);
            self.current = Some(current);
            if is_read {
                self.read(local_proposal, now);
            } else {
                self.prepare(local_proposal, now);
            }
        }
        if matches!(self.phase, Phase::BackingOff { retry_at } if retry_at <= now) {
            self.prepare(local_proposal, now);
        }
    }

    /// Ends all requests, because this replica is no longer a member.
    pub fn cancel_all(&mut self) {
        self.phase = Phase::Idle;
        let requests = self.current.take().into_iter().chain(self.queue.drain(..));
        let replies = requests.filter_map(|r| Some(Step::Reply(r.client?, Reply::NotMember)));
        self.steps.extend(replies);
    }

    /// Ends the requests whose deadline has passed.
    fn expire_requests(&mut self, now: Timestamp) {
        if self.current.as_ref().is_some_and(|r| r.deadline <= now) {
            self.complete(Reply::Unavailable);
        }
        let (expired, queue) = self.queue.drain(..).partition(|r| r.deadline <= now);
        self.queue = queue;
        let expired: VecDeque<PendingRequest> = expired;
        let replies = expired
            .into_iter()
            .filter_map(|r| Some(Step::Reply(r.client?, Reply::Unavailable)));
        self.steps.extend(replies);
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
            Phase::Reading { .. } => self.end_read(local_proposal, now),
            _ => self.back_off(now),
        }
    }

    /// Ends the running request with `reply`.
    fn complete(&mut self, reply: Reply) {
        self.phase = Phase::Idle;
        let client = self.current.take().and_then(|r| r.client);
        self.steps.extend(client.map(|c| Step::Reply(c, reply)));
    }

    /// Schedules the next attempt after a random backoff.
    fn back_off(&mut self, now: Timestamp) {
        let current = self.current.as_mut().expect("a phase has a request");
        current.attempts += 1;
        let limit = MAX_BACKOFF.min(MIN_BACKOFF * (1 << current.attempts.min(10)));
        let wait = limit.mul_f64(self.rng.random_range(0.25..1.0));
        self.phase = Phase::BackingOff {
            retry_at: now + wait,
        };
    }

    fn read(&mut self, local_proposal: &Proposal, now: Timestamp) {
        self.read_id += 1;
        let members = local_proposal.state.members.all();
        self.phase = Phase::Reading {
            read_id: self.read_id,
            local_proposal: local_proposal.clone(),
            recipient_count: members.len(),
            votes: BTreeMap::new(),
            highest: local_proposal.clone(),
            deadline: now + PHASE_TIMEOUT,
        };
        let message = Message::Read {
            read_id: self.read_id,
            known_ballot: local_proposal.ballot,
        };
        let sends = members.into_iter().map(|m| Step::Send(m, message.clone()));
        self.steps.extend(sends);
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
            read_id: current_read,
            local_proposal: known_proposal,
            recipient_count,
            votes,
            highest,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *current_read != read_id {
            return;
        }
        let Some(proposal) = resolve(accepted, known_proposal) else {
            return;
        };
        votes.insert(from, proposal.ballot);
        if proposal.ballot > highest.ballot {
            *highest = proposal;
        }
        let all_replied = votes.len() == *recipient_count;
        if !is_chosen_by(highest, votes) {
            if all_replied {
                self.end_read(local_proposal, now);
            }
            return;
        }
        let proposal = highest.clone();
        self.disputed_ballot = None;
        let reply = current_reply(&proposal.state);
        self.steps.push(Step::Chosen {
            proposal,
            announce: false,
        });
        self.complete(reply);
    }

    /// Ends a read in which no quorum agreed on the highest ballot.
    ///
    /// A read for a client continues with a prepare, so that a quorum accepts the highest state. A background read does
    /// so only if the previous one ended without agreement on the same ballot, because a write in progress looks the
    /// same.
    fn end_read(&mut self, local_proposal: &Proposal, now: Timestamp) {
        let Phase::Reading { votes, highest, .. } = &self.phase else {
            return;
        };
        let is_background_read = matches!(
            self.current.as_ref().map(|r| &r.request),
            Some(Request::BackgroundRead)
        );
        if !is_background_read {
            self.prepare(local_proposal, now);
            return;
        }
        let voters = votes.keys().copied().collect();
        let has_quorum = highest.state.members.is_quorum(&voters);
        let ballot = highest.ballot;
        if has_quorum && self.disputed_ballot == Some(ballot) {
            self.prepare(local_proposal, now);
            return;
        }
        self.disputed_ballot = has_quorum.then_some(ballot);
        self.complete(Reply::Unavailable);
    }

    /// Starts an attempt with a new ballot.
    fn prepare(&mut self, local_proposal: &Proposal, now: Timestamp) {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            replica: self.id.0,
            incarnation: self.incarnation,
        };
        self.phase = Phase::Preparing {
            ballot,
            local_proposal: local_proposal.clone(),
            recipients: BTreeSet::new(),
            votes: BTreeMap::new(),
            highest: None,
            deadline: now + PHASE_TIMEOUT,
        };
        self.send_prepare(local_proposal.state.members.all());
    }

    /// Sends the prepare to those of `members` that it was not sent to before.
    fn send_prepare(&mut self, members: Vec<Member>) {
        let Phase::Preparing {
            ballot,
            local_proposal,
            recipients,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let message = Message::Prepare {
            ballot: *ballot,
            known_ballot: local_proposal.ballot,
        };
        let new = members.into_iter().filter(|m| recipients.insert(m.id));
        self.steps
            .extend(new.map(|m| Step::Send(m, message.clone())));
    }

    /// Handles a promise. Once a quorum of the member sets in the highest accepted state has promised, applies the
    /// request to that state.
    pub fn on_promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: AcceptedState,
        clock: Clock,
        verifier: &dyn Verifier,
    ) {
        let Phase::Preparing {
            ballot: current_ballot,
            local_proposal,
            votes,
            highest,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *current_ballot != ballot {
            return;
        }
        let Some(proposal) = resolve(accepted, local_proposal) else {
            return;
        };
        votes.insert(from, proposal.ballot);
        if highest.as_ref().is_none_or(|b| b.ballot < proposal.ballot) {
            *highest = Some(proposal);
        }
        let highest = highest.clone().expect("a promise was counted");
        let voters = votes.keys().copied().collect();
        if !highest.state.members.is_quorum(&voters) {
            self.send_prepare(highest.state.members.all());
            return;
        }
        let votes = votes.clone();
        self.apply_request(&highest, &votes, clock, verifier);
    }

    /// Applies the running request to the highest accepted state and proposes the result, unless it is chosen already.
    fn apply_request(
        &mut self,
        highest: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        clock: Clock,
        verifier: &dyn Verifier,
    ) {
        let is_chosen = is_chosen_by(highest, votes);
        if is_chosen {
            self.steps.push(Step::Chosen {
                proposal: highest.clone(),
                announce: false,
            });
        }
        let current = self.current.as_ref().expect("a phase has a request");
        let state = &highest.state;
        let (next, reply, is_replacement) = match &current.request {
            Request::Command(command) => {
                let (next, answer) = apply(state, command, clock.wall, verifier);
                if matches!(&answer, Answer::Refused(r) if !r.is_recorded()) {
                    self.complete(Reply::Answer(answer));
                    return;
                }
                let is_replacement = matches!(answer, Answer::Replaced { .. });
                (Arc::new(next), Reply::Answer(answer), is_replacement)
            }
            Request::Read | Request::BackgroundRead => (state.clone(), current_reply(state), false),
            Request::FinishReplacement => (state.clone(), current_reply(state), true),
        };
        if is_replacement && next.members.is_joint() {
            self.continue_replacement(highest, votes, next, reply, clock.now);
        } else if is_chosen && next == *state {
            self.complete(reply);
        } else {
            self.accept(highest, votes, next, AfterChosen::Reply(reply), clock.now);
        }
    }

    /// Writes the next state of a replacement. The earlier member sets are dropped only in a separate write, after the
    /// joint sets are known to be chosen and the joining members have accepted them.
    fn continue_replacement(
        &mut self,
        highest: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        next: Arc<RegisterState>,
        reply: Reply,
        now: Timestamp,
    ) {
        let epoch = next.members.epoch;
        let joint_epoch = self.current.as_ref().and_then(|r| r.joint_epoch);
        if joint_epoch != Some(epoch) {
            self.accept(highest, votes, next, AfterChosen::LeaveJoint(epoch), now);
            return;
        }
        let mut state = RegisterState::clone(&next);
        state.members = state.members.without_old_sets();
        self.accept(
            highest,
            votes,
            Arc::new(state),
            AfterChosen::Reply(reply),
            now,
        );
    }

    /// Sends the accept of `state` to the members before and after the change.
    fn accept(
        &mut self,
        highest: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        state: Arc<RegisterState>,
        after_chosen: AfterChosen,
        now: Timestamp,
    ) {
        let Phase::Preparing { ballot, .. } = self.phase else {
            unreachable!("an accept follows a prepare");
        };
        let required_voters = match after_chosen {
            AfterChosen::LeaveJoint(_) => state.members.joining().collect(),
            AfterChosen::Reply(_) => BTreeSet::new(),
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
            // it has another state, it drops the message and catches up by a read. A joining member cannot catch up so,
            // because an uninitialized replica does not take part in reads; it gets the complete state.
            let has_base = match votes.get(&member.id) {
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
            self.steps.push(Step::Send(member, message));
        }
        self.phase = Phase::Accepting {
            proposal: Proposal { ballot, state },
            base_members: base_members.clone(),
            required_voters,
            votes: BTreeSet::new(),
            after_chosen,
            deadline: now + PHASE_TIMEOUT,
        };
    }

    /// Handles an acceptance. A state is chosen once a majority of each member set before and after the change has
    /// accepted it.
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
            votes,
            after_chosen,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if proposal.ballot != ballot {
            return;
        }
        votes.insert(from);
        let members = &proposal.state.members;
        if !base_members.is_quorum(votes)
            || !members.is_quorum(votes)
            || !required_voters.is_subset(votes)
        {
            return;
        }
        let (proposal, after_chosen) = (proposal.clone(), after_chosen.clone());
        self.steps.push(Step::Chosen {
            proposal,
            announce: true,
        });
        match after_chosen {
            AfterChosen::Reply(reply) => self.complete(reply),
            AfterChosen::LeaveJoint(epoch) => {
                let current = self.current.as_mut().expect("a phase has a request");
                current.joint_epoch = Some(epoch);
                self.prepare(local_proposal, now);
            }
        }
    }

    /// Handles a refusal: tries again with a higher ballot after a random backoff.
    pub fn on_nack(&mut self, ballot: Ballot, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        let current_ballot = match &self.phase {
            Phase::Preparing { ballot, .. } => *ballot,
            Phase::Accepting { proposal, .. } => proposal.ballot,
            Phase::Idle | Phase::BackingOff { .. } | Phase::Reading { .. } => return,
        };
        if current_ballot == ballot && promised > ballot {
            self.back_off(now);
        }
    }
}

fn current_reply(state: &RegisterState) -> Reply {
    Reply::Current(Box::new(state.clone()))
}

/// Returns whether a quorum has accepted exactly the ballot of `highest`.
fn is_chosen_by(highest: &Proposal, votes: &BTreeMap<ReplicaId, Ballot>) -> bool {
    let same = votes
        .iter()
        .filter(|(_, ballot)| **ballot == highest.ballot);
    let same = same.map(|(id, _)| *id).collect();
    highest.state.members.is_quorum(&same)
}

/// Returns the proposal that an acceptor has accepted. The acceptor leaves out the state if it equals `local_proposal`,
/// whose ballot the request named as known.
fn resolve(accepted: AcceptedState, local_proposal: &Proposal) -> Option<Proposal> {
    let Some(state) = accepted.state else {
        return (accepted.ballot == local_proposal.ballot).then(|| local_proposal.clone());
    };
    let state = Arc::new(state.apply_to(None).ok()?);
    Some(Proposal {
        ballot: accepted.ballot,
        state,
    })
}
