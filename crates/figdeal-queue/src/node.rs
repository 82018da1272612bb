//! One node of the queue: its Raft replica, the replicated state, the scheduler while it leads, and the requests that
//! it forwards.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::{
    dispatch::Dispatcher,
    job::JobId,
    message::{Answer, Hello, LeaderInfo, PeerMessage, RefusalReason, Request},
    raft::{Index, Member, NodeId, Raft, RaftMessage, StorageWrite, log::Position, log::Snapshot},
    state::{Batch, ReplicatedState},
};

mod apply;
mod discovery;
mod membership;
mod recent_jobs;
mod serve;

pub use membership::Options;
pub(crate) use recent_jobs::EarlierJobs;

/// Timeout of every request that is not a volatile job. Callers wait for 1.5 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Fraction of its critical path, by estimated run times, for which a new volatile job waits for a leader. The
/// response-time goal is at least the run time, so the wait stays well under half of the goal.
const FIRST_LEADER_WAIT_FRACTION: f64 = 0.35;
/// Constant part of the time for which a new volatile job waits for a leader.
const MIN_FIRST_LEADER_WAIT: Duration = Duration::from_millis(15);
/// Interval between two attempts to find a leader while requests wait for one.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time without any reachable leader after which a node gives up volatile jobs that a leader has had; their outcome
/// is unknown. An election takes half of this time, and callers resubmit the job at another node.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A node that shuts down accepts a job only if the time left is at least the job's critical path multiplied by this,
/// plus [`SHUTDOWN_SLACK`]. Estimates are off by 0.4, and tasks wait.
const SHUTDOWN_WORK_FACTOR: u32 = 2;
/// Constant part of the time that a job needs before the node shuts down.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(400);
/// Size of the log entries in memory after which a snapshot is taken and the log is compacted.
const SNAPSHOT_LOG_BYTES: usize = 12 * 1024 * 1024;
/// Milliseconds after which a caller may try again if no leader can be reached.
const NO_LEADER_RETRY_AFTER_MS: u32 = 500;

/// Time of an input, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clock {
    /// Monotonic time that also passes while the machine is suspended.
    pub now: Timestamp,
    /// Time of day in Unix milliseconds.
    pub wall_ms: u64,
}

/// Action that the driver has to carry out.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a message; one to the node's own address has to be passed back as an input.
    Send(SocketAddr, PeerMessage),
    /// Answers a request of a caller or an operator.
    Reply(u64, Answer),
    /// Writes and syncs records in the order of these actions, then reports [`Node::on_stored`] and sends
    /// `send_after_sync`.
    Store {
        /// Records to write; empty if the messages only have to follow earlier stores.
        writes: Vec<StorageWrite>,
        /// Position of the last log entry after these records.
        last: Position,
        /// Messages that may be sent only after the sync.
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    },
}

/// Origin of a request, to which the answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Origin {
    /// A caller of this node, by the token of its request.
    Local(u64),
    /// Another node that forwarded the request, and the token of the request there.
    Remote(SocketAddr, u64),
}

/// Origins that wait for a commit or for the end of a job.
#[derive(Debug, Default)]
struct Waiters {
    submits: BTreeMap<JobId, Vec<Origin>>,
    cancels: BTreeMap<JobId, Vec<Origin>>,
    /// Origins that wait for a version of the configuration to be committed.
    configs: Vec<(u64, Origin)>,
    /// Queries for jobs whose end is not committed yet.
    queries: BTreeMap<JobId, Vec<Origin>>,
    /// Origins that wait for the end of a volatile job.
    volatile: BTreeMap<JobId, Vec<Origin>>,
    /// Volatile job that each origin waits for.
    by_origin: BTreeMap<Origin, JobId>,
}

impl Waiters {
    fn add_volatile(&mut self, id: JobId, origin: Origin) {
        let origins = self.volatile.entry(id).or_default();
        if !origins.contains(&origin) {
            origins.push(origin);
        }
        self.by_origin.insert(origin, id);
    }

    fn take_volatile(&mut self, id: JobId) -> Vec<Origin> {
        let origins = self.volatile.remove(&id).unwrap_or_default();
        for origin in &origins {
            self.by_origin.remove(origin);
        }
        origins
    }

    /// Removes an origin that no longer waits. Returns the volatile job if no other origin waits for it.
    fn withdraw(&mut self, origin: Origin) -> Option<JobId> {
        let id = self.by_origin.remove(&origin)?;
        let origins = self.volatile.get_mut(&id)?;
        origins.retain(|o| *o != origin);
        if !origins.is_empty() {
            return None;
        }
        self.volatile.remove(&id);
        Some(id)
    }
}

/// A request of this node's caller that waits for the answer of the leader.
#[derive(Debug)]
struct PendingRequest {
    /// Node that has the request; `None` while a volatile job waits for a leader.
    leader: Option<SocketAddr>,
    received_at: Timestamp,
    deadline: Timestamp,
    /// The request if it is a volatile job, which is resubmitted to the next leader.
    volatile_request: Option<Request>,
    /// How often the request was handed to a leader.
    offers: u32,
}

impl PendingRequest {
    /// Returns how long the request waits for a first leader.
    fn first_leader_wait(&self) -> Duration {
        let critical_path = match &self.volatile_request {
            Some(Request::Submit { spec, .. }) => {
                spec.critical_paths_ms().into_iter().max().unwrap_or(0)
            }
            _ => 0,
        };
        MIN_FIRST_LEADER_WAIT
            + Duration::from_millis(critical_path).mul_f64(FIRST_LEADER_WAIT_FRACTION)
    }
}

/// State machine of one node; the driver passes in time, requests and messages and carries out the actions.
#[derive(Debug)]
pub struct Node {
    options: Options,
    clock: Clock,
    raft: Raft,
    state: ReplicatedState,
    applied: Index,
    snapshot: Option<Snapshot>,
    dispatcher: Option<Dispatcher>,
    /// Batches in the log that are not committed: index of the entry, number of the batch.
    uncommitted_batches: VecDeque<(Index, u64)>,
    waiters: Waiters,
    requests: BTreeMap<u64, PendingRequest>,
    discovery: discovery::Discovery,
    membership: membership::Membership,
    recent_jobs: recent_jobs::RecentJobLists,
    /// When the node noticed that no leader is known.
    leaderless_since: Option<Timestamp>,
    /// Number of [`Action::Store`] that the driver has not reported as stored.
    pending_stores: usize,
    /// Whether something has happened that may let a task start.
    placement_due: bool,
    /// Time at which the process exits at the latest, once it shuts down.
    shutdown_deadline: Option<Timestamp>,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a node from its stored state.
    pub fn new(
        options: Options,
        raft: Raft,
        snapshot: Option<Snapshot>,
        clock: Clock,
    ) -> Result<Node, postcard::Error> {
        let state = match &snapshot {
            Some(snapshot) => postcard::from_bytes(&snapshot.data)?,
            None => ReplicatedState::default(),
        };
        let applied = raft.log().base().index;
        Ok(Node {
            discovery: discovery::Discovery::new(&options, clock.now),
            membership: membership::Membership::new(clock.now),
            options,
            clock,
            raft,
            state,
            applied,
            snapshot,
            dispatcher: None,
            uncommitted_batches: VecDeque::new(),
            waiters: Waiters::default(),
            requests: BTreeMap::new(),
            recent_jobs: recent_jobs::RecentJobLists::default(),
            leaderless_since: None,
            pending_stores: 0,
            placement_due: false,
            shutdown_deadline: None,
            actions: Vec::new(),
        })
    }

    /// Takes the actions that the driver has to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the replicated state as applied by this node.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the Raft replica.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the number of jobs and of waiting tasks, if this node leads.
    pub fn load(&self) -> Option<(usize, usize)> {
        self.dispatcher.as_ref().map(Dispatcher::load)
    }

    /// Returns whether requests can be served or forwarded, so that the load balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.shutdown_deadline.is_none() && (self.is_serving() || self.leader_address().is_some())
    }

    /// Returns whether this node leads and its lease is valid, so that it may answer requests.
    pub fn is_serving(&self) -> bool {
        self.dispatcher.is_some() && self.raft.is_serving(self.clock.now)
    }

    /// Returns the latest time at which [`Node::tick`] must be called.
    pub fn next_tick(&self) -> Timestamp {
        let mut next = self.discovery.next_tick.min(self.membership.next_review);
        // A node without a vote starts no election.
        if self.raft.is_voter() || self.raft.is_leader() {
            next = next.min(self.raft.next_tick());
        }
        if self.requests.values().any(|p| p.leader.is_none()) {
            next = next.min(self.clock.now + LEADER_RETRY_INTERVAL);
        }
        if let Some(dispatcher) = &self.dispatcher {
            next = next.min(dispatcher.next_tick());
        }
        next
    }

    /// Handles timeouts and periodic work that are due.
    pub fn tick(&mut self, clock: Clock) {
        self.clock = clock;
        self.raft.tick(clock.now);
        if let Some(dispatcher) = &mut self.dispatcher
            && self.raft.is_serving(clock.now)
            && dispatcher.next_tick() <= clock.now
        {
            dispatcher.tick(clock.now);
            self.placement_due = true;
        }
        self.tick_discovery();
        self.tick_membership();
        self.tick_requests();
        self.advance();
    }

    /// Handles a request of a caller or an operator, who waits for at most `max_wait`. A malformed job is rejected at once.
    pub fn on_request(&mut self, clock: Clock, token: u64, request: Request, max_wait: Duration) {
        self.clock = clock;
        if matches!(&request, Request::Submit { spec, .. } if !spec.is_valid()) {
            return self.actions.push(Action::Reply(token, Answer::Invalid));
        }
        let is_volatile = matches!(&request, Request::Submit { spec, .. } if spec.volatile);
        if is_volatile && self.ends_before_job(&request) {
            log::info!("E636 refused a job that would outlast this process token={token}");
            let refused = Answer::Refused {
                retry_after_ms: NO_LEADER_RETRY_AFTER_MS,
                reason: RefusalReason::ShuttingDown,
            };
            return self.actions.push(Action::Reply(token, refused));
        }
        let timeout = if is_volatile {
            max_wait
        } else {
            max_wait.min(REQUEST_TIMEOUT)
        };
        let pending = PendingRequest {
            leader: None,
            received_at: clock.now,
            deadline: clock.now + timeout,
            volatile_request: is_volatile.then(|| request.clone()),
            offers: 0,
        };
        self.requests.insert(token, pending);
        if !self.route_request(token, request) && !is_volatile {
            self.answer(Origin::Local(token), no_leader());
        }
        self.advance();
    }

    /// Returns whether the process exits before a job of this length would end.
    fn ends_before_job(&self, request: &Request) -> bool {
        let Request::Submit { spec, .. } = request else {
            return false;
        };
        let critical_path = spec.critical_paths_ms().into_iter().max().unwrap_or(0);
        let needed = Duration::from_millis(critical_path) * SHUTDOWN_WORK_FACTOR + SHUTDOWN_SLACK;
        self.shutdown_deadline
            .is_some_and(|end| self.clock.now + needed > end)
    }

    /// Serves a request here or forwards it to the leader. Returns whether there is a leader.
    fn route_request(&mut self, token: u64, request: Request) -> bool {
        let own_address = self.options.address;
        let to = match self.is_serving() {
            true => Some(own_address),
            false => self.leader_address().filter(|to| *to != own_address),
        };
        let (Some(to), Some(pending)) = (to, self.requests.get_mut(&token)) else {
            return false;
        };
        pending.leader = Some(to);
        pending.offers += 1;
        match to == own_address {
            true => self.serve(Origin::Local(token), request),
            false => self.send(
                to,
                PeerMessage::Forward {
                    origin: own_address,
                    token,
                    request,
                },
            ),
        }
        true
    }

    /// Handles a caller that no longer waits for its answer.
    pub fn withdraw(&mut self, clock: Clock, token: u64) {
        self.clock = clock;
        self.drop_request(token);
        self.advance();
    }

    fn drop_request(&mut self, token: u64) {
        let Some(pending) = self.requests.remove(&token) else {
            return;
        };
        let Some(to) = pending
            .leader
            .filter(|_| pending.volatile_request.is_some())
        else {
            return;
        };
        let origin = self.options.address;
        match to == origin {
            true => self.on_withdraw(Origin::Local(token)),
            false => self.send(to, PeerMessage::Withdraw { origin, token }),
        }
    }

    fn on_withdraw(&mut self, origin: Origin) {
        if let Some(id) = self.waiters.withdraw(origin)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            log::info!("E631 withdrew a volatile job job={id}");
            dispatcher.job_ended(id);
            self.placement_due = true;
        }
    }

    /// Handles the loss of a connection to another process and of the messages under way. `refused` means that no
    /// process listens at the address any more.
    pub fn on_connection_lost(&mut self, clock: Clock, address: SocketAddr, refused: bool) {
        self.clock = clock;
        self.on_leader_connection_lost(address, refused);
        self.recent_jobs.on_connection_lost(address);
        let lost = self
            .requests
            .iter()
            .filter(|(_, p)| p.leader == Some(address));
        let tokens: Vec<u64> = lost.map(|(token, _)| *token).collect();
        for token in tokens {
            self.on_request_lost(token);
        }
        self.advance();
    }

    /// Handles the loss of the leader of a request: a volatile job waits for the next leader, the outcome of other
    /// requests is unknown.
    fn on_request_lost(&mut self, token: u64) {
        let Some(pending) = self.requests.get_mut(&token) else {
            return;
        };
        pending.leader = None;
        if pending.volatile_request.is_none() {
            self.answer(Origin::Local(token), Answer::OutcomeUnknown);
        }
    }

    /// Handles the completion of an [`Action::Store`]: the log is durable up to `last`.
    pub fn on_stored(&mut self, clock: Clock, last: Position) {
        self.clock = clock;
        self.pending_stores -= 1;
        self.raft.on_synced(last.index, last.term);
        self.advance();
    }

    /// Transfers the leadership and lets the load balancer send callers elsewhere. The process exits at `end` at the
    /// latest.
    pub fn shut_down(&mut self, clock: Clock, end: Timestamp) {
        self.clock = clock;
        self.shutdown_deadline = Some(end);
        let successor = self.raft.transfer_leadership(clock.now);
        log::info!(
            "E612 shutting down is_leader={} successor={successor:?}",
            self.raft.is_leader()
        );
        self.advance();
    }

    /// Answers all pending requests, because the process exits.
    pub fn answer_pending(&mut self, clock: Clock) {
        self.clock = clock;
        let tokens: Vec<u64> = self.requests.keys().copied().collect();
        for token in tokens {
            self.give_up_request(token);
        }
        self.advance();
    }

    /// Gives up a request. If a leader has had it, the outcome is unknown.
    fn give_up_request(&mut self, token: u64) {
        let offered = self.requests.get(&token).is_some_and(|p| p.offers > 0);
        self.drop_request(token);
        let answer = if offered {
            Answer::OutcomeUnknown
        } else {
            no_leader()
        };
        self.actions.push(Action::Reply(token, answer));
    }

    /// Handles a message from another process.
    pub fn on_message(&mut self, clock: Clock, message: PeerMessage) {
        self.clock = clock;
        match message {
            PeerMessage::Raft {
                from,
                address,
                to,
                message,
            } => {
                self.discovery.record_address(from, address);
                if to == self.raft.id() {
                    if let RaftMessage::AppendEntries(append) = &message
                        && append.term >= self.raft.term()
                    {
                        self.recent_jobs
                            .on_heartbeat(append.term, append.sent_us, clock.now);
                    }
                    self.raft.step(clock.now, from, message);
                }
            }
            PeerMessage::Hello(hello) => self.on_hello(hello),
            PeerMessage::LeaderInfo(info) => self.on_leader_info(&info),
            PeerMessage::Bootstrap(members) => self.on_bootstrap(members),
            PeerMessage::RecentJobs(recent_jobs) => {
                let current = recent_jobs.term == self.raft.term();
                self.recent_jobs
                    .on_recent_jobs(clock.now, recent_jobs, current);
            }
            PeerMessage::Withdraw { origin, token } => {
                self.on_withdraw(Origin::Remote(origin, token))
            }
            PeerMessage::Forward {
                origin,
                token,
                request,
            } => {
                self.discovery.record_contact(origin, clock.now);
                let origin = Origin::Remote(origin, token);
                match self.is_serving() {
                    true => self.serve(origin, request),
                    false => self.answer(origin, no_leader()),
                }
            }
            PeerMessage::Reply {
                from,
                token,
                answer,
            } => {
                if self
                    .requests
                    .get(&token)
                    .is_some_and(|p| p.leader == Some(from))
                {
                    self.answer(Origin::Local(token), answer);
                }
            }
            PeerMessage::Announce(announce) => {
                if self.is_serving() {
                    let dispatcher = self
                        .dispatcher
                        .as_mut()
                        .expect("a serving node must be the leader");
                    dispatcher.on_announce(clock.now, &announce);
                } else {
                    self.send_leader_info(announce.address);
                }
            }
            PeerMessage::Report(report) => {
                let address = report.address;
                let known = self.is_serving()
                    && self
                        .dispatcher
                        .as_mut()
                        .is_some_and(|d| d.on_report(clock.now, report));
                self.placement_due |= known;
                if !known {
                    self.send_leader_info(address);
                }
            }
            PeerMessage::Orders(orders) => {
                log::warn!("E613 ignored orders for an agent leader={}", orders.leader);
            }
        }
        self.advance();
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        self.actions.push(Action::Send(to, message));
    }

    fn answer(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Local(token) => {
                let Some(pending) = self.requests.get(&token) else {
                    return;
                };
                let is_volatile = pending.volatile_request.is_some();
                if is_volatile && answer == no_leader() {
                    self.on_request_lost(token);
                } else if answer.rejects_job() && pending.offers > 1 {
                    log::info!(
                        "E640 a rejected job may have run at an earlier leader token={token} \
                         offers={} answer={answer:?}",
                        pending.offers
                    );
                    self.drop_request(token);
                    self.actions
                        .push(Action::Reply(token, Answer::OutcomeUnknown));
                } else {
                    self.requests.remove(&token);
                    self.actions.push(Action::Reply(token, answer));
                }
            }
            Origin::Remote(address, token) => {
                let from = self.options.address;
                self.send(
                    address,
                    PeerMessage::Reply {
                        from,
                        token,
                        answer,
                    },
                );
            }
        }
    }

    /// Submits waiting volatile jobs to the present leader, and gives up requests that have waited too long.
    fn tick_requests(&mut self) {
        let now = self.clock.now;
        let own_address = self.options.address;
        let current = if self.is_serving() {
            Some(own_address)
        } else {
            self.leader_address()
        };
        match current {
            Some(_) => self.leaderless_since = None,
            None => {
                self.leaderless_since.get_or_insert(now);
            }
        }
        let without_leader = self
            .leaderless_since
            .is_some_and(|at| at + LEADERLESS_TIMEOUT <= now);
        let (mut to_submit, mut overdue, mut unserved) = (Vec::new(), Vec::new(), Vec::new());
        for (token, pending) in &self.requests {
            let reached_leader = pending.volatile_request.is_some() && pending.offers > 0;
            if pending.deadline <= now || (without_leader && reached_leader) {
                overdue.push(*token);
            } else if pending.leader.is_none()
                && pending.offers == 0
                && pending.received_at + pending.first_leader_wait() <= now
            {
                unserved.push(*token);
            } else if pending.volatile_request.is_some()
                && current.is_some()
                && pending.leader != current
            {
                to_submit.push(*token);
            }
        }
        for token in overdue {
            log::warn!(
                "E614 giving up a request without an answer token={token} leader={current:?}"
            );
            self.give_up_request(token);
        }
        for token in unserved {
            self.requests.remove(&token);
            self.actions.push(Action::Reply(token, no_leader()));
        }
        for token in to_submit {
            let pending = &self.requests[&token];
            let waited = now.since(pending.received_at).as_millis() as u32;
            let resubmitted = pending.offers > 0;
            if let Some(Request::Submit {
                host, path, spec, ..
            }) = pending.volatile_request.clone()
            {
                self.route_request(
                    token,
                    Request::Submit {
                        host,
                        path,
                        spec,
                        age_ms: waited,
                        resubmitted,
                    },
                );
            }
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            node: self.raft.id(),
            address: self.options.address,
            data_centre: self.options.data_centre.clone(),
            has_disk: self.options.has_disk,
            bootstrap: self.options.bootstrap,
        }
    }

    fn send_leader_info(&mut self, to: SocketAddr) {
        let info = LeaderInfo {
            from: self.options.address,
            leader: match self.is_serving() {
                true => Some(self.options.address),
                false => self.leader_address(),
            },
            serving: self.is_serving(),
            term: self.raft.term(),
            members: self.raft.members().to_vec(),
        };
        self.send(to, PeerMessage::LeaderInfo(info));
    }

    fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        let member = self.raft.members().iter().find(|m: &&Member| m.id == id);
        member
            .map(|m| m.address)
            .or_else(|| self.discovery.address_of(id))
    }
}

fn no_leader() -> Answer {
    Answer::Refused {
        retry_after_ms: NO_LEADER_RETRY_AFTER_MS,
        reason: RefusalReason::NoLeader,
    }
}

fn decode(data: &[u8]) -> Batch {
    postcard::from_bytes(data).expect("log entries must have the format of this version")
}
