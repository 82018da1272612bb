//! Proposer: reads, changes and writes the register through a quorum, without I/O.

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

/// Time for one phase; it covers a few synced writes and round trips on a slow disk.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a client learns that the outcome is unknown; it is below the time that operators' calls wait for a
/// reply, so that an isolated replica says that it is unavailable.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a background request once it runs; clients wait behind it.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// First back-off after a lost race; it doubles up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Largest back-off between attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Requests that wait behind the current one.
pub const MAX_QUEUED_REQUESTS: usize = 64;

/// The current time on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Monotonic time, for time-outs.
    pub now: Timestamp,
    /// Wall clock, for the history.
    pub wall: UnixMillis,
}

/// Identity that the driver gives to a waiting client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// What is asked of the register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Applies a command.
    Command(Box<Command>),
    /// Reads the current state.
    Read,
    /// Learns the chosen state if a quorum answers; has no client.
    BackgroundRead,
    /// Drops the earlier member sets after a replacement; has no client.
    FinishReplacement,
}

/// What a client gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a command; its effect is accepted by a quorum.
    Answer(Answer),
    /// State that was current at some time between the request and the reply.
    Current(Box<RegisterState>),
    /// No quorum answered in time. A command may have taken effect; ask again with the same request id.
    Unavailable,
    /// Too many requests wait; nothing was done.
    Busy,
    /// This replica is not a member; nothing was done.
    NotMember,
}

/// What the proposer wants done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a message, possibly to this replica itself.
    Send(Member, Message),
    /// This state is accepted by a quorum; `announce` says that other members do not know it.
    Chosen {
        /// The state.
        proposal: Proposal,
        /// Whether to announce it.
        announce: bool,
    },
    /// Reply to a client.
    Reply(ClientId, Reply),
}

#[derive(Debug)]
struct Job {
    client: Option<ClientId>,
    request: Request,
    deadline: Timestamp,
    attempts: u32,
    /// Epoch of joint member sets that are known to be chosen and held by the joining members.
    confirmed: Option<u64>,
}

#[derive(Debug)]
enum Phase {
    Idle,
    Waiting {
        until: Timestamp,
    },
    Reading {
        read_id: u64,
        local: Proposal,
        asked: usize,
        votes: BTreeMap<ReplicaId, Ballot>,
        best: Proposal,
        until: Timestamp,
    },
    Preparing {
        ballot: Ballot,
        local: Proposal,
        asked: BTreeSet<ReplicaId>,
        votes: BTreeMap<ReplicaId, Ballot>,
        best: Option<Proposal>,
        until: Timestamp,
    },
    Accepting {
        proposal: Proposal,
        read: Members,
        needed: BTreeSet<ReplicaId>,
        votes: BTreeSet<ReplicaId>,
        then: Then,
        until: Timestamp,
    },
}

/// What follows once a state is chosen.
#[derive(Debug, Clone)]
enum Then {
    Reply(Reply),
    /// Drop the earlier member sets of this epoch.
    Finish(u64),
}

/// Runs one request at a time.
#[derive(Debug)]
pub struct Proposer {
    id: ReplicaId,
    incarnation: u64,
    round: u64,
    read_id: u64,
    rng: SmallRng,
    queue: VecDeque<Job>,
    job: Option<Job>,
    phase: Phase,
    /// Ballot on which the last sync found no agreement.
    disputed: Option<Ballot>,
    steps: Vec<Step>,
}

impl Proposer {
    /// Creates an idle proposer; `incarnation` must differ for each start of the replica.
    pub fn new(id: ReplicaId, incarnation: u64) -> Proposer {
        Proposer {
            id,
            incarnation,
            round: 0,
            read_id: incarnation << 32,
            rng: SmallRng::seed_from_u64(id.0 ^ incarnation),
            queue: VecDeque::new(),
            job: None,
            phase: Phase::Idle,
            disputed: None,
            steps: Vec::new(),
        }
    }

    /// Whether nothing is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.job.is_none() && self.queue.is_empty()
    }

    /// Adds a request. The caller runs [`Proposer::drive`] afterwards.
    pub fn submit(&mut self, client: Option<ClientId>, request: Request, now: Timestamp) {
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            let reply = |c| Step::Reply(c, Reply::Busy);
            self.steps.extend(client.map(reply));
            return;
        }
        self.queue.push_back(Job {
            client,
            request,
            deadline: now + REQUEST_TIMEOUT,
            attempts: 0,
            confirmed: None,
        });
    }

    /// Takes the steps that are due.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// When [`Proposer::drive`] has to run next, if nothing arrives before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::Waiting { until }
            | Phase::Reading { until, .. }
            | Phase::Preparing { until, .. }
            | Phase::Accepting { until, .. } => Some(*until),
        };
        let jobs = self.job.iter().chain(&self.queue);
        jobs.map(|j| j.deadline).chain(phase).min()
    }

    /// Starts, times out and retries requests. `local` and `promised` are those of this replica's acceptor.
    pub fn drive(&mut self, local: &Proposal, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        self.expire(now);
        if self.phase_is_over(now) {
            self.end_phase(local, now);
        }
        while self.job.is_none() {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            if job.client.is_none() {
                job.deadline = now + BACKGROUND_TIMEOUT;
            }
            let reads = matches!(job.request, Request::Read | Request::BackgroundRead);
            self.job = Some(job);
            if reads {
                self.read(local, now);
            } else {
                self.prepare(local, now);
            }
        }
        if matches!(self.phase, Phase::Waiting { until } if until <= now) {
            self.prepare(local, now);
        }
    }

    /// Ends all requests, because this replica is no member any more.
    pub fn cancel_all(&mut self) {
        self.phase = Phase::Idle;
        let jobs = self.job.take().into_iter().chain(self.queue.drain(..));
        let replies = jobs.filter_map(|j| Some(Step::Reply(j.client?, Reply::NotMember)));
        self.steps.extend(replies);
    }

    fn expire(&mut self, now: Timestamp) {
        if self.job.as_ref().is_some_and(|j| j.deadline <= now) {
            self.end(Reply::Unavailable);
        }
        let (late, queue) = self.queue.drain(..).partition(|j| j.deadline <= now);
        self.queue = queue;
        let late: VecDeque<Job> = late;
        let replies = late
            .into_iter()
            .filter_map(|j| Some(Step::Reply(j.client?, Reply::Unavailable)));
        self.steps.extend(replies);
    }

    fn phase_is_over(&self, now: Timestamp) -> bool {
        match &self.phase {
            Phase::Idle | Phase::Waiting { .. } => false,
            Phase::Reading { until, .. }
            | Phase::Preparing { until, .. }
            | Phase::Accepting { until, .. } => *until <= now,
        }
    }

    fn end_phase(&mut self, local: &Proposal, now: Timestamp) {
        match &self.phase {
            Phase::Reading { .. } => self.end_read(local, now),
            _ => self.retry(now),
        }
    }

    fn end(&mut self, reply: Reply) {
        self.phase = Phase::Idle;
        let client = self.job.take().and_then(|j| j.client);
        self.steps.extend(client.map(|c| Step::Reply(c, reply)));
    }

    fn retry(&mut self, now: Timestamp) {
        let job = self.job.as_mut().expect("a phase has a job");
        job.attempts += 1;
        let limit = MAX_BACKOFF.min(MIN_BACKOFF * (1 << job.attempts.min(10)));
        let wait = limit.mul_f64(self.rng.random_range(0.25..1.0));
        self.phase = Phase::Waiting { until: now + wait };
    }

    fn read(&mut self, local: &Proposal, now: Timestamp) {
        self.read_id += 1;
        let members = local.state.members.all();
        self.phase = Phase::Reading {
            read_id: self.read_id,
            local: local.clone(),
            asked: members.len(),
            votes: BTreeMap::new(),
            best: local.clone(),
            until: now + PHASE_TIMEOUT,
        };
        let message = Message::Read {
            read_id: self.read_id,
            known_ballot: local.ballot,
        };
        let sends = members.into_iter().map(|m| Step::Send(m, message.clone()));
        self.steps.extend(sends);
    }

    /// Handles the answer to a read. A state that a quorum holds under one ballot is chosen and current: a newer
    /// chosen state would have left a newer ballot in every quorum.
    pub fn on_read_reply(
        &mut self,
        from: ReplicaId,
        read_id: u64,
        accepted: AcceptedState,
        local: &Proposal,
        now: Timestamp,
    ) {
        let Phase::Reading {
            read_id: current,
            local: base,
            asked,
            votes,
            best,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *current != read_id {
            return;
        }
        let Some(proposal) = resolve(accepted, base) else {
            return;
        };
        votes.insert(from, proposal.ballot);
        if proposal.ballot > best.ballot {
            *best = proposal;
        }
        let all_in = votes.len() == *asked;
        if !agrees(best, votes) {
            if all_in {
                self.end_read(local, now);
            }
            return;
        }
        let proposal = best.clone();
        self.disputed = None;
        let reply = current_reply(&proposal.state);
        self.steps.push(Step::Chosen {
            proposal,
            announce: false,
        });
        self.end(reply);
    }

    /// Ends a read without agreement. A background sync writes only if the same ballot was in dispute at the sync
    /// before, because a write in progress looks the same.
    fn end_read(&mut self, local: &Proposal, now: Timestamp) {
        let Phase::Reading { votes, best, .. } = &self.phase else {
            return;
        };
        let is_sync = matches!(
            self.job.as_ref().map(|j| &j.request),
            Some(Request::BackgroundRead)
        );
        if !is_sync {
            self.prepare(local, now);
            return;
        }
        let voters = votes.keys().copied().collect();
        let has_quorum = best.state.members.is_quorum(&voters);
        let ballot = best.ballot;
        if has_quorum && self.disputed == Some(ballot) {
            self.prepare(local, now);
            return;
        }
        self.disputed = has_quorum.then_some(ballot);
        self.end(Reply::Unavailable);
    }

    fn prepare(&mut self, local: &Proposal, now: Timestamp) {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            replica: self.id.0,
            incarnation: self.incarnation,
        };
        self.phase = Phase::Preparing {
            ballot,
            local: local.clone(),
            asked: BTreeSet::new(),
            votes: BTreeMap::new(),
            best: None,
            until: now + PHASE_TIMEOUT,
        };
        self.ask(local.state.members.all());
    }

    /// Sends the prepare to those of `members` that were not asked yet.
    fn ask(&mut self, members: Vec<Member>) {
        let Phase::Preparing {
            ballot,
            local,
            asked,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let message = Message::Prepare {
            ballot: *ballot,
            known_ballot: local.ballot,
        };
        let new = members.into_iter().filter(|m| asked.insert(m.id));
        self.steps
            .extend(new.map(|m| Step::Send(m, message.clone())));
    }

    /// Handles a promise. Once a quorum of the member sets in the highest accepted state has promised, the request
    /// is applied to that state.
    pub fn on_promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: AcceptedState,
        clock: Clock,
        verifier: &dyn Verifier,
    ) {
        let Phase::Preparing {
            ballot: current,
            local,
            votes,
            best,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if *current != ballot {
            return;
        }
        let Some(proposal) = resolve(accepted, local) else {
            return;
        };
        votes.insert(from, proposal.ballot);
        if best.as_ref().is_none_or(|b| b.ballot < proposal.ballot) {
            *best = Some(proposal);
        }
        let best = best.clone().expect("a promise was counted");
        let voters = votes.keys().copied().collect();
        if !best.state.members.is_quorum(&voters) {
            self.ask(best.state.members.all());
            return;
        }
        let votes = votes.clone();
        self.decide(&best, &votes, clock, verifier);
    }

    fn decide(
        &mut self,
        best: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        clock: Clock,
        verifier: &dyn Verifier,
    ) {
        let is_chosen = agrees(best, votes);
        if is_chosen {
            self.steps.push(Step::Chosen {
                proposal: best.clone(),
                announce: false,
            });
        }
        let job = self.job.as_ref().expect("a phase has a job");
        let state = &best.state;
        let (next, reply, finishes) = match &job.request {
            Request::Command(command) => {
                let (next, answer) = apply(state, command, clock.wall, verifier);
                if matches!(&answer, Answer::Refused(r) if !r.is_recorded()) {
                    self.end(Reply::Answer(answer));
                    return;
                }
                let finishes = matches!(answer, Answer::Replaced { .. });
                (Arc::new(next), Reply::Answer(answer), finishes)
            }
            Request::Read | Request::BackgroundRead => (state.clone(), current_reply(state), false),
            Request::FinishReplacement => (state.clone(), current_reply(state), true),
        };
        if finishes && next.members.is_joint() {
            self.replace_step(best, votes, next, reply, clock.now);
        } else if is_chosen && next == *state {
            self.end(reply);
        } else {
            self.accept(best, votes, next, Then::Reply(reply), clock.now);
        }
    }

    /// Takes the next step of a replacement. The earlier member sets are dropped only in a separate write, after
    /// the joint sets are known to be chosen and the joining members hold them.
    fn replace_step(
        &mut self,
        best: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        next: Arc<RegisterState>,
        reply: Reply,
        now: Timestamp,
    ) {
        let epoch = next.members.epoch;
        let confirmed = self.job.as_ref().and_then(|j| j.confirmed);
        if confirmed != Some(epoch) {
            self.accept(best, votes, next, Then::Finish(epoch), now);
            return;
        }
        let mut state = RegisterState::clone(&next);
        state.members = state.members.without_old_sets();
        self.accept(best, votes, Arc::new(state), Then::Reply(reply), now);
    }

    fn accept(
        &mut self,
        best: &Proposal,
        votes: &BTreeMap<ReplicaId, Ballot>,
        state: Arc<RegisterState>,
        then: Then,
        now: Timestamp,
    ) {
        let Phase::Preparing { ballot, .. } = self.phase else {
            unreachable!("an accept follows a prepare");
        };
        let needed = match then {
            Then::Finish(_) => state.members.joining().collect(),
            Then::Reply(_) => BTreeSet::new(),
        };
        let read = &best.state.members;
        let mut members = state.members.all();
        members.extend(
            read.all()
                .into_iter()
                .filter(|m| !state.members.contains(m.id)),
        );
        let short = Box::new(StateDelta::new(&state, Some(&best.state)));
        let whole = Box::new(StateDelta::new(&state, None));
        for member in members {
            // A member that has not promised yet most likely holds what the others hold. If it does not, it drops
            // the message and catches up by a read. A joining one cannot, as it stays silent until it is founded.
            let has_base = match votes.get(&member.id) {
                Some(accepted) => *accepted == best.ballot,
                None => !state.members.is_joint() && read.contains(member.id),
            };
            let message = Message::Accept {
                ballot,
                base: has_base.then_some(best.ballot),
                state: if has_base {
                    short.clone()
                } else {
                    whole.clone()
                },
            };
            self.steps.push(Step::Send(member, message));
        }
        self.phase = Phase::Accepting {
            proposal: Proposal { ballot, state },
            read: read.clone(),
            needed,
            votes: BTreeSet::new(),
            then,
            until: now + PHASE_TIMEOUT,
        };
    }

    /// Handles an acceptance. A state is chosen once majorities of all member sets before and after the change
    /// have accepted it.
    pub fn on_accepted(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        local: &Proposal,
        now: Timestamp,
    ) {
        let Phase::Accepting {
            proposal,
            read,
            needed,
            votes,
            then,
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
        if !read.is_quorum(votes) || !members.is_quorum(votes) || !needed.is_subset(votes) {
            return;
        }
        let (proposal, then) = (proposal.clone(), then.clone());
        self.steps.push(Step::Chosen {
            proposal,
            announce: true,
        });
        match then {
            Then::Reply(reply) => self.end(reply),
            Then::Finish(epoch) => {
                let job = self.job.as_mut().expect("a phase has a job");
                job.confirmed = Some(epoch);
                self.prepare(local, now);
            }
        }
    }

    /// Handles a refusal: waits for a random time and tries again with a higher ballot.
    pub fn on_nack(&mut self, ballot: Ballot, promised: Ballot, now: Timestamp) {
        self.round = self.round.max(promised.round);
        let current = match &self.phase {
            Phase::Preparing { ballot, .. } => *ballot,
            Phase::Accepting { proposal, .. } => proposal.ballot,
            Phase::Idle | Phase::Waiting { .. } | Phase::Reading { .. } => return,
        };
        if current == ballot && promised > ballot {
            self.retry(now);
        }
    }
}

fn current_reply(state: &RegisterState) -> Reply {
    Reply::Current(Box::new(state.clone()))
}

/// Whether a quorum holds exactly `best`.
fn agrees(best: &Proposal, votes: &BTreeMap<ReplicaId, Ballot>) -> bool {
    let same = votes.iter().filter(|(_, ballot)| **ballot == best.ballot);
    let same = same.map(|(id, _)| *id).collect();
    best.state.members.is_quorum(&same)
}

/// The proposal that an acceptor holds; `local` is the one that the asker named as known.
fn resolve(accepted: AcceptedState, local: &Proposal) -> Option<Proposal> {
    let Some(state) = accepted.state else {
        return (accepted.ballot == local.ballot).then(|| local.clone());
    };
    let state = Arc::new(state.apply_to(None).ok()?);
    Some(Proposal {
        ballot: accepted.ballot,
        state,
    })
}
