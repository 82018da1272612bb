//! The agent beside a worker: it alone starts and stops runs there and owns the room.
//!
//! The agent acts only under a lease of the leader, which counts from the agent's own clock at the time of its report.
//! Without it the agent lets the worker's hold run out, so a new leader knows when everything here is over.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::{
    job::{Resources, TaskId},
    message::{
        AgentReport, Announce, Incarnation, LeaderInfo, Order, Orders, PeerMessage, RunEvent,
        RunId, RunOutcome, SlowRun, WorkerInfo,
    },
    raft::Term,
};

mod poll;
mod speed;
mod start;

pub use poll::{ListedOutcome, ListedRun, PollReply};
pub(crate) use speed::STALLED_SPEED_PERCENT;
use start::StartOrder;
pub use start::StartReply;

/// Time after the sending of a report in which the agent may act on the answer to it.
pub const AGENT_LEASE: Duration = Duration::from_millis(550);
/// Time for which a worker keeps runs without a renewal. With [`AGENT_LEASE`] it outlasts an election, so runs survive a
/// change of the leader.
pub const WORKER_LEASE: Duration = Duration::from_millis(500);
/// Time after the last renewal, sent or not answered, in which every run has ended: [`WORKER_LEASE`] by a clock that is 2%
/// slow, and the 50 ms that ending a run takes.
pub const RUN_LOSS_TIMEOUT: Duration = Duration::from_millis(560);
/// Time after the last report in which everything at an agent that is out of reach has ended: [`AGENT_LEASE`] by a clock
/// that is slow, and [`RUN_LOSS_TIMEOUT`].
pub const AGENT_LOSS_TIMEOUT: Duration = Duration::from_millis(1_150);
/// Time between two reports without news.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two announcements to find a leader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two announcements to a leader that another node names, since nodes may name each other.
const MIN_REDIRECT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which events that the leader has not taken are sent again.
const EVENT_RESEND_INTERVAL: Duration = Duration::from_millis(600);
/// Time that a worker gets to list an end before the look at its runs returns.
pub const POLL_WAIT: Duration = Duration::from_millis(60);
/// Time that a look or a stop may take beyond what the worker was asked to wait; it runs on the same machine.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Time that a start may take. A start that is only late is found by the look that follows.
pub const START_TIMEOUT: Duration = Duration::from_millis(25);
/// Time after which a stop is sent again whose end is not listed.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Bits of the fence below the number of the enrolment, for the agent to raise it by itself.
const LOCAL_FENCE_BITS: u32 = 12;

/// Call to the worker, or message to another process.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message.
    Send(SocketAddr, PeerMessage),
    /// Renews the hold and looks at runs and ends. Answered by [`Agent::on_poll_reply`].
    Poll(PollCall),
    /// Starts a run. Answered by [`Agent::on_start_reply`].
    Start(StartCall),
    /// Stops a run; its end is listed later.
    Stop(StopCall),
}

/// Renewal of the hold and look at runs and ends.
#[derive(Debug, Clone, PartialEq)]
pub struct PollCall {
    /// Number of the call.
    pub number: u64,
    /// Fence of the agent.
    pub fence: u64,
    /// Ends up to here may be forgotten.
    pub acked_end: u64,
    /// New end of the hold on the worker's clock, in milliseconds. Absent for a look only.
    pub lease_expiry_ms: Option<u64>,
    /// Time to wait for an end.
    pub wait: Duration,
    /// The worker that is meant, if one is known.
    pub worker_id: Option<String>,
}

/// Start of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCall {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// What the task does.
    pub payload: String,
    /// End of the hold on the worker's clock, in milliseconds.
    pub lease_expiry_ms: u64,
    /// Fence of the agent.
    pub fence: u64,
    /// The worker that is meant.
    pub worker_id: Option<String>,
}

/// Stop of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StopCall {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Fence of the agent.
    pub fence: u64,
    /// The worker that is meant.
    pub worker_id: Option<String>,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Identity of the worker.
    pub id: String,
    /// Unix milliseconds of its start, if it tells them.
    pub started_at_ms: Option<u64>,
    /// Number of the heartbeat within its life.
    pub sequence: u64,
    /// Pool that it belongs to.
    pub pool: String,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It takes no new tasks.
    pub draining: bool,
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    /// Absent for a run that was found on the worker, until the leader tells.
    needs: Option<Resources>,
    /// Fence of the start.
    fence: u64,
    started_at: Timestamp,
    /// When the worker was first known to have it.
    confirmed_at: Option<Timestamp>,
    /// The life of the worker that has listed it.
    listed_in: Option<Incarnation>,
    /// The start got no answer; a look under a higher fence decides.
    start_unknown: bool,
    speed: speed::SpeedMeter,
    /// When a stop was sent last.
    stop_sent_at: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct Lease {
    leader: SocketAddr,
    term: Term,
    start: Timestamp,
}

/// The decisions of one agent.
#[derive(Debug)]
pub struct Agent {
    address: SocketAddr,
    session: u64,
    worker: Option<(String, WorkerInfo)>,
    /// Start of the worker's present life, once it was told.
    worker_started_at_ms: Option<u64>,
    heartbeat_sequence: u64,
    incarnation: Incarnation,
    lease: Option<Lease>,
    /// Newest term of which orders were taken, and the number of the last of them.
    term: Term,
    last_orders: u64,
    next_redirect: Timestamp,
    /// The agent shuts down and takes no new tasks.
    shutting_down: bool,
    fence: u64,
    runs: BTreeMap<TaskId, Run>,
    events: VecDeque<RunEvent>,
    /// Runs that have fallen behind and are not reported yet.
    slow_runs: Vec<SlowRun>,
    last_event: u64,
    last_sent_event: u64,
    poll: poll::PollState,
    peers: Vec<SocketAddr>,
    next_peer: usize,
    next_report: Timestamp,
    next_resend: Timestamp,
    report_pending: bool,
    actions: Vec<Action>,
}

impl Agent {
    /// Starts an agent that knows some nodes and nothing of its worker.
    pub fn new(address: SocketAddr, session: u64, seeds: Vec<SocketAddr>) -> Agent {
        Agent {
            address,
            session,
            worker: None,
            worker_started_at_ms: None,
            heartbeat_sequence: 0,
            incarnation: 1,
            lease: None,
            term: 0,
            last_orders: 0,
            next_redirect: Timestamp::ZERO,
            shutting_down: false,
            fence: 0,
            runs: BTreeMap::new(),
            events: VecDeque::new(),
            slow_runs: Vec::new(),
            last_event: 0,
            last_sent_event: 0,
            poll: poll::PollState::default(),
            peers: seeds,
            next_peer: 0,
            next_report: Timestamp::ZERO,
            next_resend: Timestamp::ZERO,
            report_pending: false,
            actions: Vec::new(),
        }
    }

    /// Takes what the driver has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When [`Agent::tick`] has something to do at the latest.
    pub fn next_tick(&self) -> Timestamp {
        self.next_report.min(self.poll.next_poll)
    }

    /// Whether a leader stands behind this agent.
    pub fn is_leased(&self, now: Timestamp) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|l| l.start + AGENT_LEASE > now)
    }

    /// Number of runs that may be on the worker.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Takes no new tasks from now on.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
        self.report_pending = true;
    }

    /// Learns nodes that may know the leader.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.peers.contains(seed) {
                self.peers.push(*seed);
            }
        }
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Timestamp) {
        if self.lease.is_some() && !self.is_leased(now) {
            let lease = self.lease.take().expect("the lease exists");
            log::warn!(
                "E701 lease lost leader={} term={} age_ms={} runs={}",
                lease.leader,
                lease.term,
                now.since(lease.start).as_millis(),
                self.runs.len()
            );
        }
        self.tick_poll(now);
        self.retry_stops(now);
        if self.report_pending || now >= self.next_report {
            self.send_report(now);
        }
    }

    /// Whether the agent has shut down: nothing runs, and the leader has taken all events.
    pub fn is_finished(&self) -> bool {
        self.shutting_down && self.runs.is_empty() && self.events.is_empty()
    }

    /// Takes a worker's heartbeat; one of an earlier life or out of order changes nothing.
    pub fn heartbeat(&mut self, now: Timestamp, beat: Heartbeat) {
        let known = self.worker.as_ref().map(|(id, _)| id.as_str());
        let same =
            known == Some(beat.id.as_str()) && (self.worker_started_at_ms == beat.started_at_ms);
        if !same {
            let older = beat.started_at_ms.is_some()
                && self.worker_started_at_ms.is_some()
                && beat.started_at_ms < self.worker_started_at_ms;
            if older {
                log::info!(
                    "E702 heartbeat of an earlier life ignored worker={}",
                    beat.id
                );
                return;
            }
            let adopted = known.is_none()
                && self.worker_started_at_ms.is_some()
                && self.worker_started_at_ms == beat.started_at_ms;
            if (known.is_some() || self.worker_started_at_ms.is_some()) && !adopted {
                self.new_incarnation(now, beat.started_at_ms);
            }
            self.worker_started_at_ms = beat.started_at_ms;
            self.heartbeat_sequence = 0;
            log::info!(
                "E703 worker joined worker={} pool={} cpu={} life={}",
                beat.id,
                beat.pool,
                beat.capacity.millicores,
                self.incarnation
            );
        }
        if beat.sequence < self.heartbeat_sequence {
            return;
        }
        self.heartbeat_sequence = beat.sequence;
        let worker = WorkerInfo {
            incarnation: self.incarnation,
            pool: beat.pool,
            capacity: beat.capacity,
            labels: beat.labels,
            draining: beat.draining,
        };
        let changed = self.worker.as_ref().is_none_or(|(_, held)| *held != worker);
        if changed {
            if worker.draining {
                log::info!(
                    "E704 worker drains worker={} runs={}",
                    beat.id,
                    self.runs.len()
                );
            }
            self.report_pending = true;
        }
        self.worker = Some((beat.id, worker));
    }

    /// The worker has left for good.
    pub fn worker_left(&mut self, now: Timestamp, id: &str) {
        if self.worker.as_ref().is_some_and(|(known, _)| known == id) {
            log::info!("E705 worker left worker={id} runs={}", self.runs.len());
            self.new_incarnation(now, None);
            self.worker = None;
        }
    }

    /// Every run that the life before has listed is over. A start that it has not listed may have reached the new one,
    /// which a look under a higher fence tells.
    fn new_incarnation(&mut self, now: Timestamp, born: Option<u64>) {
        let before = self.incarnation;
        self.incarnation += 1;
        self.worker_started_at_ms = born;
        self.worker = None;
        self.poll.reset_for_new_worker();
        let runs = std::mem::take(&mut self.runs);
        let (lost, unclear): (BTreeMap<_, _>, BTreeMap<_, _>) = runs
            .into_iter()
            .partition(|(_, run)| run.listed_in == Some(before));
        log::warn!(
            "E706 worker has a new life born={born:?} lost_runs={} unclear_runs={}",
            lost.len(),
            unclear.len()
        );
        for (task, run) in lost {
            self.push_event(now, task, run.run, RunOutcome::Lost, run.started_at);
        }
        self.runs = unclear;
        for run in self.runs.values_mut() {
            run.start_unknown = true;
            run.confirmed_at = None;
        }
        // A late call to the life before would give up ends of the new one, so it has to meet a higher fence.
        if self.fence > 0 {
            self.raise_fence(now, self.fence + 1);
        }
    }

    /// Reports every run as lost.
    fn report_runs_lost(&mut self, now: Timestamp) {
        for (task, run) in std::mem::take(&mut self.runs) {
            self.push_event(now, task, run.run, RunOutcome::Lost, run.started_at);
        }
    }

    fn push_event(
        &mut self,
        now: Timestamp,
        task: TaskId,
        run: u64,
        ending: RunOutcome,
        since: Timestamp,
    ) {
        self.last_event += 1;
        let elapsed = now.since(since).as_millis() as u32;
        self.events.push_back(RunEvent {
            seq: self.last_event,
            task,
            run,
            outcome: ending,
            elapsed_ms: elapsed,
        });
        self.report_pending = true;
        log::info!("E707 run ended task={task} run={run} how={ending:?} elapsed_ms={elapsed}");
    }

    /// Handles a message of another process.
    pub fn on_peer(&mut self, now: Timestamp, peer: PeerMessage) {
        match peer {
            PeerMessage::LeaderInfo(directory) => self.on_directory(now, &directory),
            PeerMessage::Orders(orders) => self.on_orders(now, orders),
            other => log::warn!("E708 unexpected message ignored message={other:?}"),
        }
    }

    fn on_directory(&mut self, now: Timestamp, directory: &LeaderInfo) {
        let addresses: Vec<SocketAddr> = directory.members.iter().map(|m| m.address).collect();
        self.add_seeds(&addresses);
        let invited = directory.serving && directory.term > self.term;
        let named = !self.is_leased(now) && now >= self.next_redirect;
        if let Some(leader) = directory.leader
            && (invited || (named && leader != directory.from))
        {
            self.next_redirect = now + MIN_REDIRECT_INTERVAL;
            self.announce(now, leader);
        }
    }

    fn on_orders(&mut self, now: Timestamp, orders: Orders) {
        let start = Timestamp::from_micros(orders.lease_start_us);
        let held = self.term;
        if orders.session != self.session || orders.term < held || start + AGENT_LEASE <= now {
            log::info!(
                "E709 orders ignored term={} held_term={held} grant_age_ms={} count={}",
                orders.term,
                now.since(start).as_millis(),
                orders.orders.len()
            );
            return;
        }
        if orders.term > held || self.lease.is_none() {
            log::info!(
                "E710 lease gained leader={} term={} fence={}",
                orders.leader,
                orders.term,
                orders.fence
            );
            if orders.term > held {
                (self.term, self.last_orders) = (orders.term, 0);
            }
            self.last_sent_event = 0;
            self.report_pending = true;
            self.next_report = now;
        }
        if orders.number <= self.last_orders {
            return;
        }
        self.last_orders = orders.number;
        let start = self.lease.as_ref().map_or(start, |l| l.start.max(start));
        self.lease = Some(Lease {
            leader: orders.leader,
            term: orders.term,
            start,
        });
        self.raise_fence(now, orders.fence << LOCAL_FENCE_BITS);
        self.on_events_acked(orders.acked_event);
        for order in orders.orders {
            match order {
                Order::Start {
                    task,
                    run,
                    incarnation: life,
                    needs,
                    expected_ms: expected,
                    payload,
                } => {
                    let expected = Duration::from_millis(u64::from(expected));
                    let wanted = StartOrder {
                        task,
                        run,
                        incarnation: life,
                        needs,
                        expected,
                    };
                    self.start(now, wanted, payload);
                }
                Order::Stop { task, run } => self.stop(now, task, run),
                Order::Adopt { task, run, needs } => {
                    if let Some(held) = self.runs.get_mut(&task)
                        && held.run == run
                    {
                        held.needs = Some(needs);
                    }
                }
            }
        }
    }

    /// Drops events that the leader has taken for good.
    fn on_events_acked(&mut self, taken: u64) {
        while self.events.front().is_some_and(|e| e.seq <= taken) {
            self.events.pop_front();
        }
        self.poll.on_events_acked(taken);
    }

    fn send_report(&mut self, now: Timestamp) {
        let Some(lease) = &self.lease else {
            self.next_report = now + ANNOUNCE_INTERVAL;
            self.report_pending = false;
            if !self.peers.is_empty() {
                self.next_peer = (self.next_peer + 1) % self.peers.len();
                let peer = self.peers[self.next_peer];
                self.announce(now, peer);
            }
            return;
        };
        // Before the first look at the worker the agent does not know what runs there.
        let known = self.poll.is_current(self.fence);
        let ping = now >= self.next_report;
        let resend = now >= self.next_resend;
        let from = if resend { 0 } else { self.last_sent_event };
        let events: Vec<RunEvent> = self
            .events
            .iter()
            .filter(|e| e.seq > from)
            .copied()
            .collect();
        let running = self.runs.iter().map(|(task, r)| RunId {
            task: *task,
            run: r.run,
        });
        let worker = self.worker.as_ref().map(|(_, w)| WorkerInfo {
            draining: w.draining || self.shutting_down,
            ..w.clone()
        });
        let report = AgentReport {
            address: self.address,
            session: self.session,
            term: lease.term,
            sent_us: now.as_micros(),
            last_orders: self.last_orders,
            first_event: self.events.front().map_or(self.last_event + 1, |e| e.seq),
            last_event: self.last_event,
            worker,
            running: (ping && known).then(|| running.collect()),
            events,
            slow: std::mem::take(&mut self.slow_runs),
        };
        let leader = lease.leader;
        self.actions
            .push(Action::Send(leader, PeerMessage::Report(report)));
        self.last_sent_event = self.last_event;
        self.report_pending = false;
        if ping {
            self.next_report = now + REPORT_INTERVAL;
        }
        if resend {
            self.next_resend = now + EVENT_RESEND_INTERVAL;
        }
    }

    fn announce(&mut self, now: Timestamp, peer: SocketAddr) {
        let announce = Announce {
            address: self.address,
            session: self.session,
            sent_us: now.as_micros(),
        };
        self.actions
            .push(Action::Send(peer, PeerMessage::Announce(announce)));
    }
}
