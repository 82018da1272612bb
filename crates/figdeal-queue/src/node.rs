//! One node of the queue: its Raft replica, the replicated state, the scheduler while it leads, and the requests that
//! it forwards.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::{
    dispatch::{Dispatcher, RackWaitCounts, Usage},
    job::JobId,
    losses::LossCounts,
    message::{Answer, Hello, LeaderInfo, PeerMessage},
    raft::{Index, Member, NodeId, Raft, RaftMessage, StorageWrite, log::Position, log::Snapshot},
    refusals::RefusalCounts,
    state::{Batch, ReplicatedState},
};

mod apply;
mod discovery;
mod evacuation;
mod job_log;
mod membership;
mod open_jobs;
mod recent_jobs;
mod requests;
mod serve;

pub use membership::Options;
pub(crate) use recent_jobs::EarlierJobs;
use requests::no_leader;

/// Interval between two attempts to find a leader while requests wait for one.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the log entries in memory after which a snapshot is taken and the log is compacted.
const SNAPSHOT_LOG_BYTES: usize = 12 * 1024 * 1024;

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
    /// Origins of the requests about evacuations that are in the log, in its order.
    evacuations: VecDeque<Origin>,
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
    open_jobs: open_jobs::OpenJobs,
    requests: BTreeMap<u64, requests::PendingRequest>,
    discovery: discovery::Discovery,
    membership: membership::Membership,
    recent_jobs: recent_jobs::RecentJobLists,
    job_log: job_log::JobLog,
    /// When the node noticed that no leader is known.
    leaderless_since: Option<Timestamp>,
    /// Number of [`Action::Store`] that the driver has not reported as stored.
    pending_stores: usize,
    /// Last call of [`Node::tick`].
    ticked_at: Timestamp,
    /// When the process last went on after a pause.
    resumed_at: Option<Timestamp>,
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
            Some(snapshot) => ReplicatedState::decode(&snapshot.data)?,
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
            open_jobs: open_jobs::OpenJobs::default(),
            requests: BTreeMap::new(),
            recent_jobs: recent_jobs::RecentJobLists::default(),
            job_log: job_log::JobLog::new(),
            leaderless_since: None,
            pending_stores: 0,
            ticked_at: clock.now,
            resumed_at: None,
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

    /// Returns the number of steps that the scheduler has set aside; 0 if this node does not lead.
    pub fn set_aside_steps(&self) -> usize {
        let dispatcher = self.dispatcher.as_ref();
        dispatcher.map_or(0, Dispatcher::set_aside_steps)
    }

    /// Takes the number of runs that agents reported as lost to this node as the leader since the last call.
    pub fn take_losses(&mut self) -> LossCounts {
        let dispatcher = self.dispatcher.as_mut();
        dispatcher.map(Dispatcher::take_losses).unwrap_or_default()
    }

    /// Takes the number of requests that this node refused since the last call.
    pub fn take_refusals(&mut self) -> RefusalCounts {
        self.job_log.take_refusals()
    }

    /// Returns how much of the fleet is in use, and by which queue, if this node leads.
    pub fn usage(&self) -> Option<Usage> {
        self.dispatcher.as_ref().map(Dispatcher::usage)
    }

    /// Takes the numbers of waits for racks that have ended at this node as the leader since the last call.
    pub fn take_rack_waits(&mut self) -> RackWaitCounts {
        let dispatcher = self.dispatcher.as_mut();
        dispatcher
            .map(Dispatcher::take_rack_waits)
            .unwrap_or_default()
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
        self.detect_pause();
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
        self.job_log.tick(clock.now);
        self.advance();
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
                        .is_some_and(|d| d.on_report(clock.now, *report));
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

fn decode(data: &[u8]) -> Batch {
    postcard::from_bytes(data).expect("log entries must have the format of this version")
}
