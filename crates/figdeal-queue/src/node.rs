//! One node: its replica of the log, the state, the placement while it leads, and the requests that it passes on.

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

/// Time after which a request that was passed on counts as unanswered. Callers wait for 1.5 s.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Share of its expected work for which a new volatile job waits for a leader. A response-time goal is at least the work,
/// so this stays well under half of it.
const FIRST_LEADER_WAIT_FRACTION: f64 = 0.35;
/// Time for which a new volatile job of any size waits for a leader.
const MIN_FIRST_LEADER_WAIT: Duration = Duration::from_millis(15);
/// Time between two looks for a leader while requests wait for one.
const OFFER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time without any leader in reach after which the outcome of the volatile jobs that one had is given up: an election
/// takes half of it, and callers hand a job in again at another node.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Times its estimate that a job needs of the rest of a process that shuts down; estimates are off by 0.4, and tasks wait.
const SHUTDOWN_WORK_FACTOR: u32 = 2;
/// Time that it needs besides.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(400);
/// Bytes of entries after which the state is written and the entries before it are dropped.
const SNAPSHOT_LOG_BYTES: usize = 12 * 1024 * 1024;
/// Milliseconds after which a caller may try again when no leader is in reach.
const NO_LEADER_RETRY_MS: u32 = 500;

/// The time of an input.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clock {
    /// Time that also passes while the machine is suspended.
    pub now: Timestamp,
    /// Unix milliseconds.
    pub wall_ms: u64,
}

/// What the driver has to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a message; one to the own address comes back as an input.
    Send(SocketAddr, PeerMessage),
    /// Answers a request of a caller or an operator.
    Reply(u64, Answer),
    /// Stores and syncs records in the order of these actions, then reports [`Node::on_stored`] and sends `send_after_sync`.
    Store {
        /// Records.
        writes: Vec<StorageWrite>,
        /// Last entry of the log after these records.
        last: Position,
        /// Messages that may go out after the sync.
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    },
}

/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Origin {
    Local(u64),
    Remote(SocketAddr, u64),
}

/// Requests that wait for a commit.
#[derive(Debug, Default)]
struct Waiters {
    submits: BTreeMap<JobId, Vec<Origin>>,
    cancels: BTreeMap<JobId, Vec<Origin>>,
    configs: Vec<(u64, Origin)>,
    /// Questions for jobs whose last end is being stored.
    queries: BTreeMap<JobId, Vec<Origin>>,
    /// Those of volatile jobs wait for the end.
    volatile: BTreeMap<JobId, Vec<Origin>>,
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

    /// Forgets one who waits. Returns the job if nobody else waits for it.
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

/// A request that waits for the answer of the leader.
#[derive(Debug)]
struct PendingRequest {
    /// Who has it; nobody while the leader of a volatile job is lost.
    leader: Option<SocketAddr>,
    received_at: Timestamp,
    deadline: Timestamp,
    /// A volatile job, which is handed in again at the next leader.
    volatile_request: Option<Request>,
    /// How often it was handed to a leader.
    offers: u32,
}

impl PendingRequest {
    /// How long it waits for a first leader.
    fn first_leader_wait(&self) -> Duration {
        let chain = match &self.volatile_request {
            Some(Request::Submit { spec, .. }) => {
                spec.critical_paths_ms().into_iter().max().unwrap_or(0)
            }
            _ => 0,
        };
        MIN_FIRST_LEADER_WAIT + Duration::from_millis(chain).mul_f64(FIRST_LEADER_WAIT_FRACTION)
    }
}

/// A node of the queue.
#[derive(Debug)]
pub struct Node {
    options: Options,
    clock: Clock,
    raft: Raft,
    state: ReplicatedState,
    applied: Index,
    snapshot: Option<Snapshot>,
    dispatcher: Option<Dispatcher>,
    /// Batches in the log that are not committed.
    uncommitted_batches: VecDeque<(Index, u64)>,
    waiters: Waiters,
    requests: BTreeMap<u64, PendingRequest>,
    discovery: discovery::Discovery,
    membership: membership::Membership,
    recent_jobs: recent_jobs::RecentJobLists,
    /// Since when no leader is known.
    leaderless_since: Option<Timestamp>,
    /// Stores that the driver has not reported.
    pending_stores: usize,
    /// Something happened that may let a task start.
    placement_due: bool,
    /// When the process ends at the latest, once it shuts down.
    shutdown_deadline: Option<Timestamp>,
    actions: Vec<Action>,
}

impl Node {
    /// Starts a node from what its storage holds.
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

    /// Takes what the driver has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The replicated state as this node has applied it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Jobs and waiting tasks, if this node leads.
    pub fn load(&self) -> Option<(usize, usize)> {
        self.dispatcher.as_ref().map(Dispatcher::load)
    }

    /// Whether requests can be served or passed on, so that the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.shutdown_deadline.is_none() && (self.is_serving() || self.leader_address().is_some())
    }

    /// Whether this node leads and may answer.
    pub fn is_serving(&self) -> bool {
        self.dispatcher.is_some() && self.raft.is_serving(self.clock.now)
    }

    /// When [`Node::tick`] has something to do at the latest.
    pub fn next_tick(&self) -> Timestamp {
        let mut next = self.discovery.next_tick.min(self.membership.next_review);
        // Without a vote no election is due.
        if self.raft.is_voter() || self.raft.is_leader() {
            next = next.min(self.raft.next_tick());
        }
        if self.requests.values().any(|f| f.leader.is_none()) {
            next = next.min(self.clock.now + OFFER_RETRY_INTERVAL);
        }
        if let Some(leading) = &self.dispatcher {
            next = next.min(leading.next_tick());
        }
        next
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, clock: Clock) {
        self.clock = clock;
        self.raft.tick(clock.now);
        if let Some(leading) = &mut self.dispatcher
            && self.raft.is_serving(clock.now)
            && leading.next_tick() <= clock.now
        {
            leading.tick(clock.now);
            self.placement_due = true;
        }
        self.tick_discovery();
        self.tick_membership();
        self.tick_requests();
        self.advance();
    }

    /// A caller or an operator asks this node and waits for `patience`.
    pub fn request(&mut self, clock: Clock, token: u64, request: Request, patience: Duration) {
        self.clock = clock;
        let volatile = matches!(&request, Request::Submit { spec, .. } if spec.volatile);
        if volatile && self.ends_before_job(&request) {
            log::info!("E636 job refused, since this process ends before it token={token}");
            let refused = Answer::Refused {
                retry_after_ms: NO_LEADER_RETRY_MS,
                reason: RefusalReason::ShuttingDown,
            };
            return self.actions.push(Action::Reply(token, refused));
        }
        let limit = if volatile {
            patience
        } else {
            patience.min(FORWARD_TIMEOUT)
        };
        let forwarded = PendingRequest {
            leader: None,
            received_at: clock.now,
            deadline: clock.now + limit,
            volatile_request: volatile.then(|| request.clone()),
            offers: 0,
        };
        self.requests.insert(token, forwarded);
        if !self.route_request(token, request) && !volatile {
            self.answer(Origin::Local(token), no_leader());
        }
        self.advance();
    }

    /// Whether the process ends before a job of this length would.
    fn ends_before_job(&self, request: &Request) -> bool {
        let Request::Submit { spec, .. } = request else {
            return false;
        };
        let chain = spec.critical_paths_ms().into_iter().max().unwrap_or(0);
        let need = Duration::from_millis(chain) * SHUTDOWN_WORK_FACTOR + SHUTDOWN_SLACK;
        self.shutdown_deadline
            .is_some_and(|end| self.clock.now + need > end)
    }

    /// Serves a request here or passes it on. Returns whether there is a leader.
    fn route_request(&mut self, token: u64, request: Request) -> bool {
        let own = self.options.address;
        let to = match self.is_serving() {
            true => Some(own),
            false => self.leader_address().filter(|to| *to != own),
        };
        let (Some(to), Some(forwarded)) = (to, self.requests.get_mut(&token)) else {
            return false;
        };
        forwarded.leader = Some(to);
        forwarded.offers += 1;
        match to == own {
            true => self.serve(Origin::Local(token), request),
            false => self.send(
                to,
                PeerMessage::Forward {
                    origin: own,
                    token,
                    request,
                },
            ),
        }
        true
    }

    /// The caller of a request does not wait any more.
    pub fn withdraw(&mut self, clock: Clock, token: u64) {
        self.clock = clock;
        self.drop_request(token);
        self.advance();
    }

    fn drop_request(&mut self, token: u64) {
        let Some(forwarded) = self.requests.remove(&token) else {
            return;
        };
        let Some(to) = forwarded
            .leader
            .filter(|_| forwarded.volatile_request.is_some())
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
            && let Some(leading) = &mut self.dispatcher
        {
            log::info!("E631 volatile job withdrawn job={id}");
            leading.job_ended(id);
            self.placement_due = true;
        }
    }

    /// The connection to another process is lost, with all that was on its way. `refused` means that no process
    /// listens there any more.
    pub fn on_connection_lost(&mut self, clock: Clock, address: SocketAddr, refused: bool) {
        self.clock = clock;
        self.on_leader_connection_lost(address, refused);
        self.recent_jobs.on_connection_lost(address);
        let lost = self
            .requests
            .iter()
            .filter(|(_, f)| f.leader == Some(address));
        let tokens: Vec<u64> = lost.map(|(token, _)| *token).collect();
        for token in tokens {
            self.on_request_lost(token);
        }
        self.advance();
    }

    /// The leader of a request is lost: a volatile job waits for the next one, the outcome of others is not known.
    fn on_request_lost(&mut self, token: u64) {
        let Some(forwarded) = self.requests.get_mut(&token) else {
            return;
        };
        forwarded.leader = None;
        if forwarded.volatile_request.is_none() {
            self.answer(Origin::Local(token), Answer::OutcomeUnknown);
        }
    }

    /// Records of a [`Action::Store`] are durable up to `last`.
    pub fn on_stored(&mut self, clock: Clock, last: Position) {
        self.clock = clock;
        self.pending_stores -= 1;
        self.raft.on_synced(last.index, last.term);
        self.advance();
    }

    /// Hands the leadership over and tells the balancer to send callers elsewhere. The process ends at `end` at the
    /// latest.
    pub fn shut_down(&mut self, clock: Clock, end: Timestamp) {
        self.clock = clock;
        self.shutdown_deadline = Some(end);
        let successor = self.raft.transfer_leadership(clock.now);
        log::info!(
            "E612 shutting down leading={} successor={successor:?}",
            self.raft.is_leader()
        );
        self.advance();
    }

    /// Answers every request that waits, since the process ends.
    pub fn answer_pending(&mut self, clock: Clock) {
        self.clock = clock;
        let tokens: Vec<u64> = self.requests.keys().copied().collect();
        for token in tokens {
            self.give_up_request(token);
        }
        self.advance();
    }

    /// Ends the wait of a caller: a request that a leader had may have run.
    fn give_up_request(&mut self, token: u64) {
        let offered = self.requests.get(&token).is_some_and(|f| f.offers > 0);
        self.drop_request(token);
        let answer = if offered {
            Answer::OutcomeUnknown
        } else {
            no_leader()
        };
        self.actions.push(Action::Reply(token, answer));
    }

    /// Handles a message of another process.
    pub fn on_peer(&mut self, clock: Clock, peer: PeerMessage) {
        self.clock = clock;
        match peer {
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
            PeerMessage::LeaderInfo(directory) => self.on_leader_info(&directory),
            PeerMessage::Bootstrap(members) => self.on_bootstrap(members),
            PeerMessage::RecentJobs(taken) => {
                let current = taken.term == self.raft.term();
                self.recent_jobs.on_recent_jobs(clock.now, taken, current);
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
                    .is_some_and(|f| f.leader == Some(from))
                {
                    self.answer(Origin::Local(token), answer);
                }
            }
            PeerMessage::Announce(announce) => {
                if self.is_serving() {
                    let leading = self.dispatcher.as_mut().expect("a serving node leads");
                    leading.on_announce(clock.now, &announce);
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
                        .is_some_and(|l| l.on_report(clock.now, report));
                self.placement_due |= known;
                if !known {
                    self.send_leader_info(address);
                }
            }
            PeerMessage::Orders(orders) => {
                log::warn!("E613 orders for an agent ignored leader={}", orders.leader);
            }
        }
        self.advance();
    }

    fn send(&mut self, to: SocketAddr, peer: PeerMessage) {
        self.actions.push(Action::Send(to, peer));
    }

    fn answer(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Local(token) => {
                let Some(forwarded) = self.requests.get(&token) else {
                    return;
                };
                let volatile = forwarded.volatile_request.is_some();
                let refused = matches!(answer, Answer::Refused { .. });
                if volatile && answer == no_leader() {
                    self.on_request_lost(token);
                } else if refused && forwarded.offers > 1 {
                    // Another leader may have started it, so it cannot be said that it has not run.
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

    /// Hands volatile jobs in at the next leader and gives up requests whose callers do not wait any longer.
    fn tick_requests(&mut self) {
        let now = self.clock.now;
        let own = self.options.address;
        let current = if self.is_serving() {
            Some(own)
        } else {
            self.leader_address()
        };
        match current {
            Some(_) => self.leaderless_since = None,
            None => {
                self.leaderless_since.get_or_insert(now);
            }
        }
        let cut_off = self
            .leaderless_since
            .is_some_and(|at| at + LEADERLESS_TIMEOUT <= now);
        let (mut lost, mut late, mut stranded) = (Vec::new(), Vec::new(), Vec::new());
        for (token, forwarded) in &self.requests {
            let had_leader = forwarded.volatile_request.is_some() && forwarded.offers > 0;
            if forwarded.deadline <= now || (cut_off && had_leader) {
                late.push(*token);
            } else if forwarded.leader.is_none()
                && forwarded.offers == 0
                && forwarded.received_at + forwarded.first_leader_wait() <= now
            {
                stranded.push(*token);
            } else if forwarded.volatile_request.is_some()
                && current.is_some()
                && forwarded.leader != current
            {
                lost.push(*token);
            }
        }
        for token in late {
            log::warn!("E614 no answer in time token={token} leader={current:?}");
            self.give_up_request(token);
        }
        for token in stranded {
            self.requests.remove(&token);
            self.actions.push(Action::Reply(token, no_leader()));
        }
        for token in lost {
            let forwarded = &self.requests[&token];
            let waited = now.since(forwarded.received_at).as_millis() as u32;
            let again = forwarded.offers > 0;
            if let Some(Request::Submit {
                host, path, spec, ..
            }) = forwarded.volatile_request.clone()
            {
                self.route_request(
                    token,
                    Request::Submit {
                        host,
                        path,
                        spec,
                        age_ms: waited,
                        resubmitted: again,
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
        let directory = LeaderInfo {
            from: self.options.address,
            leader: match self.is_serving() {
                true => Some(self.options.address),
                false => self.leader_address(),
            },
            serving: self.is_serving(),
            term: self.raft.term(),
            members: self.raft.members().to_vec(),
        };
        self.send(to, PeerMessage::LeaderInfo(directory));
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
        retry_after_ms: NO_LEADER_RETRY_MS,
        reason: RefusalReason::NoLeader,
    }
}

fn decode(data: &[u8]) -> Batch {
    postcard::from_bytes(data)
        .expect("an entry of the log was written by a leader of the same format")
}
