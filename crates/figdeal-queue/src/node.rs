//! One node: its replica of the log, the state, the placement while it leads, and the requests that it passes on.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::{
    dispatch::Dispatch,
    job::JobId,
    message::{Answer, Directory, Hello, Peer, Refusal, Request},
    raft::{Index, Member, Message, NodeId, Raft, Write, log::Position, log::Snapshot},
    state::{Batch, State},
};

mod apply;
mod find;
mod group;
mod recent;
mod serve;

pub use group::Options;
pub(crate) use recent::Earlier;

/// Time after which a request that was passed on counts as unanswered. Callers wait for 1.5 s.
const FORWARD_LIMIT: Duration = Duration::from_millis(1_000);
/// Share of its expected work for which a new volatile job waits for a leader. A response-time goal is at least the work,
/// so this stays well under half of it.
const FRESH_SHARE: f64 = 0.35;
/// Time for which a new volatile job of any size waits for a leader.
const FRESH_WAIT: Duration = Duration::from_millis(15);
/// Time between two looks for a leader while requests wait for one.
const OFFER_RETRY: Duration = Duration::from_millis(10);
/// Time without any leader in reach after which the outcome of the volatile jobs that one had is given up: an election
/// takes half of it, and callers hand a job in again at another node.
const LEADERLESS: Duration = Duration::from_millis(1_200);
/// Times its estimate that a job needs of the rest of a process that shuts down; estimates are off by 0.4, and tasks wait.
const CLOSING_CHAINS: u32 = 2;
/// Time that it needs besides.
const CLOSING_SLACK: Duration = Duration::from_millis(400);
/// Bytes of entries after which the state is written and the entries before it are dropped.
const SNAPSHOT_BYTES: usize = 12 * 1024 * 1024;
/// Milliseconds after which a caller may try again when no leader is in reach.
const RETRY_LEADER: u32 = 500;

/// The time of an input.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clock {
    /// Time that also passes while the machine is suspended.
    pub now: Timestamp,
    /// Unix milliseconds.
    pub wall: u64,
}

/// What the driver has to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a message; one to the own address comes back as an input.
    Send(SocketAddr, Peer),
    /// Answers a request of a caller or an operator.
    Reply(u64, Answer),
    /// Stores and syncs records in the order of these actions, then reports [`Node::stored`] and sends `after`.
    Store {
        /// Records.
        writes: Vec<Write>,
        /// Last entry of the log after these records.
        last: Position,
        /// Messages that may go out after the sync.
        after: Vec<(SocketAddr, Peer)>,
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
struct Forwarded {
    /// Who has it; nobody while the leader of a volatile job is lost.
    to: Option<SocketAddr>,
    at: Timestamp,
    limit: Timestamp,
    /// A volatile job, which is handed in again at the next leader.
    again: Option<Request>,
    /// How often it was handed to a leader.
    offers: u32,
}

impl Forwarded {
    /// How long it waits for a first leader.
    fn fresh_wait(&self) -> Duration {
        let chain = match &self.again {
            Some(Request::Submit { spec, .. }) => spec.chains().into_iter().max().unwrap_or(0),
            _ => 0,
        };
        FRESH_WAIT + Duration::from_millis(chain).mul_f64(FRESH_SHARE)
    }
}

/// A node of the queue.
#[derive(Debug)]
pub struct Node {
    options: Options,
    clock: Clock,
    raft: Raft,
    state: State,
    applied: Index,
    snapshot: Option<Snapshot>,
    leading: Option<Dispatch>,
    /// Batches in the log that are not committed.
    batches: VecDeque<(Index, u64)>,
    waiters: Waiters,
    forwards: BTreeMap<u64, Forwarded>,
    find: find::Find,
    group: group::Group,
    recent: recent::Recent,
    /// Since when no leader is known.
    leaderless: Option<Timestamp>,
    /// Stores that the driver has not reported.
    storing: usize,
    /// Something happened that may let a task start.
    stirred: bool,
    /// When the process ends at the latest, once it shuts down.
    closing: Option<Timestamp>,
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
            None => State::default(),
        };
        let applied = raft.log().base().index;
        Ok(Node {
            find: find::Find::new(&options, clock.now),
            group: group::Group::new(clock.now),
            options,
            clock,
            raft,
            state,
            applied,
            snapshot,
            leading: None,
            batches: VecDeque::new(),
            waiters: Waiters::default(),
            forwards: BTreeMap::new(),
            recent: recent::Recent::default(),
            leaderless: None,
            storing: 0,
            stirred: false,
            closing: None,
            actions: Vec::new(),
        })
    }

    /// Takes what the driver has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The replicated state as this node has applied it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Jobs and waiting tasks, if this node leads.
    pub fn load(&self) -> Option<(usize, usize)> {
        self.leading.as_ref().map(Dispatch::load)
    }

    /// Whether requests can be served or passed on, so that the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.closing.is_none() && (self.is_serving() || self.leader_address().is_some())
    }

    /// Whether this node leads and may answer.
    pub fn is_serving(&self) -> bool {
        self.leading.is_some() && self.raft.is_serving(self.clock.now)
    }

    /// When [`Node::tick`] has something to do at the latest.
    pub fn next_tick(&self) -> Timestamp {
        let mut next = self.find.next.min(self.group.next);
        // Without a vote no election is due.
        if self.raft.is_voter() || self.raft.is_leader() {
            next = next.min(self.raft.next_tick());
        }
        if self.forwards.values().any(|f| f.to.is_none()) {
            next = next.min(self.clock.now + OFFER_RETRY);
        }
        if let Some(leading) = &self.leading {
            next = next.min(leading.next_tick());
        }
        next
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, clock: Clock) {
        self.clock = clock;
        self.raft.tick(clock.now);
        if let Some(leading) = &mut self.leading
            && self.raft.is_serving(clock.now)
            && leading.next_tick() <= clock.now
        {
            leading.tick(clock.now);
            self.stirred = true;
        }
        self.tick_find();
        self.tick_group();
        self.tick_forwards();
        self.advance();
    }

    /// A caller or an operator asks this node and waits for `patience`.
    pub fn request(&mut self, clock: Clock, token: u64, request: Request, patience: Duration) {
        self.clock = clock;
        let volatile = matches!(&request, Request::Submit { spec, .. } if spec.volatile);
        if volatile && self.ends_before(&request) {
            log::info!("E636 job refused, since this process ends before it token={token}");
            let refused = Answer::Refused {
                retry: RETRY_LEADER,
                reason: Refusal::Closing,
            };
            return self.actions.push(Action::Reply(token, refused));
        }
        let limit = if volatile {
            patience
        } else {
            patience.min(FORWARD_LIMIT)
        };
        let forwarded = Forwarded {
            to: None,
            at: clock.now,
            limit: clock.now + limit,
            again: volatile.then(|| request.clone()),
            offers: 0,
        };
        self.forwards.insert(token, forwarded);
        if !self.offer(token, request) && !volatile {
            self.answer(Origin::Local(token), no_leader());
        }
        self.advance();
    }

    /// Whether the process ends before a job of this length would.
    fn ends_before(&self, request: &Request) -> bool {
        let Request::Submit { spec, .. } = request else {
            return false;
        };
        let chain = spec.chains().into_iter().max().unwrap_or(0);
        let need = Duration::from_millis(chain) * CLOSING_CHAINS + CLOSING_SLACK;
        self.closing.is_some_and(|end| self.clock.now + need > end)
    }

    /// Serves a request here or passes it on. Returns whether there is a leader.
    fn offer(&mut self, token: u64, request: Request) -> bool {
        let own = self.options.address;
        let to = match self.is_serving() {
            true => Some(own),
            false => self.leader_address().filter(|to| *to != own),
        };
        let (Some(to), Some(forwarded)) = (to, self.forwards.get_mut(&token)) else {
            return false;
        };
        forwarded.to = Some(to);
        forwarded.offers += 1;
        match to == own {
            true => self.serve(Origin::Local(token), request),
            false => self.send(
                to,
                Peer::Forward {
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
        self.drop_forward(token);
        self.advance();
    }

    fn drop_forward(&mut self, token: u64) {
        let Some(forwarded) = self.forwards.remove(&token) else {
            return;
        };
        let Some(to) = forwarded.to.filter(|_| forwarded.again.is_some()) else {
            return;
        };
        let origin = self.options.address;
        match to == origin {
            true => self.on_withdraw(Origin::Local(token)),
            false => self.send(to, Peer::Withdraw { origin, token }),
        }
    }

    fn on_withdraw(&mut self, origin: Origin) {
        if let Some(id) = self.waiters.withdraw(origin)
            && let Some(leading) = &mut self.leading
        {
            log::info!("E631 volatile job withdrawn job={id}");
            leading.ended(id);
            self.stirred = true;
        }
    }

    /// The connection to another process is lost, with all that was on its way. `refused` means that no process
    /// listens there any more.
    pub fn link_lost(&mut self, clock: Clock, address: SocketAddr, refused: bool) {
        self.clock = clock;
        self.lose_leader(address, refused);
        self.recent.link_lost(address);
        let lost = self.forwards.iter().filter(|(_, f)| f.to == Some(address));
        let tokens: Vec<u64> = lost.map(|(token, _)| *token).collect();
        for token in tokens {
            self.forward_lost(token);
        }
        self.advance();
    }

    /// The leader of a request is lost: a volatile job waits for the next one, the outcome of others is not known.
    fn forward_lost(&mut self, token: u64) {
        let Some(forwarded) = self.forwards.get_mut(&token) else {
            return;
        };
        forwarded.to = None;
        if forwarded.again.is_none() {
            self.answer(Origin::Local(token), Answer::Unclear);
        }
    }

    /// Records of a [`Action::Store`] are durable up to `last`.
    pub fn stored(&mut self, clock: Clock, last: Position) {
        self.clock = clock;
        self.storing -= 1;
        self.raft.synced(last.index, last.term);
        self.advance();
    }

    /// Hands the leadership over and tells the balancer to send callers elsewhere. The process ends at `end` at the
    /// latest.
    pub fn close(&mut self, clock: Clock, end: Timestamp) {
        self.clock = clock;
        self.closing = Some(end);
        let successor = self.raft.hand_over(clock.now);
        log::info!(
            "E612 shutting down leading={} successor={successor:?}",
            self.raft.is_leader()
        );
        self.advance();
    }

    /// Answers every request that waits, since the process ends.
    pub fn finish(&mut self, clock: Clock) {
        self.clock = clock;
        let tokens: Vec<u64> = self.forwards.keys().copied().collect();
        for token in tokens {
            self.give_up(token);
        }
        self.advance();
    }

    /// Ends the wait of a caller: a request that a leader had may have run.
    fn give_up(&mut self, token: u64) {
        let offered = self.forwards.get(&token).is_some_and(|f| f.offers > 0);
        self.drop_forward(token);
        let answer = if offered {
            Answer::Unclear
        } else {
            no_leader()
        };
        self.actions.push(Action::Reply(token, answer));
    }

    /// Handles a message of another process.
    pub fn on_peer(&mut self, clock: Clock, peer: Peer) {
        self.clock = clock;
        match peer {
            Peer::Raft {
                from,
                address,
                to,
                message,
            } => {
                self.find.met(from, address);
                if to == self.raft.id() {
                    if let Message::Append(append) = &message
                        && append.term >= self.raft.term()
                    {
                        self.recent.heartbeat(append.term, append.sent, clock.now);
                    }
                    self.raft.step(clock.now, from, message);
                }
            }
            Peer::Hello(hello) => self.on_hello(hello),
            Peer::Directory(directory) => self.on_directory(&directory),
            Peer::Found(members) => self.on_found(members),
            Peer::Taken(taken) => {
                let current = taken.term == self.raft.term();
                self.recent.take(clock.now, taken, current);
            }
            Peer::Withdraw { origin, token } => self.on_withdraw(Origin::Remote(origin, token)),
            Peer::Forward {
                origin,
                token,
                request,
            } => {
                self.find.entry_heard(origin, clock.now);
                let origin = Origin::Remote(origin, token);
                match self.is_serving() {
                    true => self.serve(origin, request),
                    false => self.answer(origin, no_leader()),
                }
            }
            Peer::Reply {
                from,
                token,
                answer,
            } => {
                if self
                    .forwards
                    .get(&token)
                    .is_some_and(|f| f.to == Some(from))
                {
                    self.answer(Origin::Local(token), answer);
                }
            }
            Peer::Announce(announce) => {
                if self.is_serving() {
                    let leading = self.leading.as_mut().expect("a serving node leads");
                    leading.announced(clock.now, &announce);
                } else {
                    self.send_directory(announce.address);
                }
            }
            Peer::Report(report) => {
                let address = report.address;
                let known = self.is_serving()
                    && self
                        .leading
                        .as_mut()
                        .is_some_and(|l| l.report(clock.now, report));
                self.stirred |= known;
                if !known {
                    self.send_directory(address);
                }
            }
            Peer::Orders(orders) => {
                log::warn!("E613 orders for an agent ignored leader={}", orders.leader);
            }
        }
        self.advance();
    }

    fn send(&mut self, to: SocketAddr, peer: Peer) {
        self.actions.push(Action::Send(to, peer));
    }

    fn answer(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Local(token) => {
                let Some(forwarded) = self.forwards.get(&token) else {
                    return;
                };
                let volatile = forwarded.again.is_some();
                let refused = matches!(answer, Answer::Refused { .. });
                if volatile && answer == no_leader() {
                    self.forward_lost(token);
                } else if refused && forwarded.offers > 1 {
                    // Another leader may have started it, so it cannot be said that it has not run.
                    self.drop_forward(token);
                    self.actions.push(Action::Reply(token, Answer::Unclear));
                } else {
                    self.forwards.remove(&token);
                    self.actions.push(Action::Reply(token, answer));
                }
            }
            Origin::Remote(address, token) => {
                let from = self.options.address;
                self.send(
                    address,
                    Peer::Reply {
                        from,
                        token,
                        answer,
                    },
                );
            }
        }
    }

    /// Hands volatile jobs in at the next leader and gives up requests whose callers do not wait any longer.
    fn tick_forwards(&mut self) {
        let now = self.clock.now;
        let own = self.options.address;
        let current = if self.is_serving() {
            Some(own)
        } else {
            self.leader_address()
        };
        match current {
            Some(_) => self.leaderless = None,
            None => {
                self.leaderless.get_or_insert(now);
            }
        }
        let cut_off = self.leaderless.is_some_and(|at| at + LEADERLESS <= now);
        let (mut lost, mut late, mut stranded) = (Vec::new(), Vec::new(), Vec::new());
        for (token, forwarded) in &self.forwards {
            let had_leader = forwarded.again.is_some() && forwarded.offers > 0;
            if forwarded.limit <= now || (cut_off && had_leader) {
                late.push(*token);
            } else if forwarded.to.is_none()
                && forwarded.offers == 0
                && forwarded.at + forwarded.fresh_wait() <= now
            {
                stranded.push(*token);
            } else if forwarded.again.is_some() && current.is_some() && forwarded.to != current {
                lost.push(*token);
            }
        }
        for token in late {
            log::warn!("E614 no answer in time token={token} leader={current:?}");
            self.give_up(token);
        }
        for token in stranded {
            self.forwards.remove(&token);
            self.actions.push(Action::Reply(token, no_leader()));
        }
        for token in lost {
            let forwarded = &self.forwards[&token];
            let waited = now.since(forwarded.at).as_millis() as u32;
            let again = forwarded.offers > 0;
            if let Some(Request::Submit {
                host, path, spec, ..
            }) = forwarded.again.clone()
            {
                self.offer(
                    token,
                    Request::Submit {
                        host,
                        path,
                        spec,
                        age: waited,
                        again,
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
            disk: self.options.disk,
            bootstrap: self.options.bootstrap,
        }
    }

    fn send_directory(&mut self, to: SocketAddr) {
        let directory = Directory {
            from: self.options.address,
            leader: match self.is_serving() {
                true => Some(self.options.address),
                false => self.leader_address(),
            },
            serving: self.is_serving(),
            term: self.raft.term(),
            members: self.raft.members().to_vec(),
        };
        self.send(to, Peer::Directory(directory));
    }

    fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        let member = self.raft.members().iter().find(|m: &&Member| m.id == id);
        member
            .map(|m| m.address)
            .or_else(|| self.find.address_of(id))
    }
}

fn no_leader() -> Answer {
    Answer::Refused {
        retry: RETRY_LEADER,
        reason: Refusal::NoLeader,
    }
}

fn decode(data: &[u8]) -> Batch {
    postcard::from_bytes(data)
        .expect("an entry of the log was written by a leader of the same format")
}
