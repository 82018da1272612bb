//! The agent beside a worker: only the agent starts and stops runs there, and it accounts for the worker's resources.
//!
//! The agent acts only under a lease from the leader, which runs from the time, by the agent's own clock, at which the
//! agent sent the report that the leader answers. Without it, the agent no longer renews the lease of the worker, so a
//! new leader knows when all runs here have ended.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use crate::{
    job::{Resources, TaskId},
    log_limit::LogLimiter,
    log_value::OrUnknown,
    losses::LossCounts,
    message::{
        AgentReport, Announce, Incarnation, LeaderInfo, LossReason, Order, Orders, PeerMessage,
        RunEvent, RunId, RunOutcome, RunStatus, SlowRun, WorkerInfo,
    },
    raft::Term,
};

mod identity;
mod poll;
mod speed;
mod start;

pub use poll::{ListedOutcome, ListedRun, PollReply};
pub(crate) use speed::STALLED_SPEED_PERCENT;
use start::StartOrder;
pub use start::StartReply;

/// Duration of the lease that the leader grants to an agent, counted from the sending of the report.
pub const AGENT_LEASE: Duration = Duration::from_millis(550);
/// Duration of the lease that an agent grants to its worker; the worker ends its runs when it expires. Together with
/// [`AGENT_LEASE`] it outlasts an election, so runs survive a change of the leader.
pub const WORKER_LEASE: Duration = Duration::from_millis(500);
/// Time after the last attempt to renew the worker lease, successful or not, by which every run has ended:
/// [`WORKER_LEASE`] by a clock that is 2% slow, plus the 50 ms that it takes to end a run.
pub const RUN_LOSS_TIMEOUT: Duration = Duration::from_millis(560);
/// Time after the last attempt to renew the worker lease by the clock of a former incarnation, or of one that may be,
/// by which every run has ended. The next incarnation may take the expiry for its longest lease: 1 s from the call,
/// which may be answered after 97 ms, by a clock that is 2% slow, plus the 50 ms that it takes to end a run.
pub const FORMER_CLOCK_LOSS_TIMEOUT: Duration = Duration::from_millis(1_180);
/// Time by which a start without an answer is not carried out any more and its run has ended. The calls themselves are
/// given up after 12 s; the run may have the longest lease, as for [`FORMER_CLOCK_LOSS_TIMEOUT`].
pub const UNANSWERED_START_TIMEOUT: Duration = Duration::from_millis(13_200);
/// Age of the agent lease from which on the agent starts no run. It goes on with those that it has.
pub const START_WINDOW: Duration = Duration::from_millis(350);
/// Time after the last report of an unreachable agent by which all its runs have ended. One may begin after that report,
/// at the end of [`START_WINDOW`] by a slow clock, and then lasts for up to [`FORMER_CLOCK_LOSS_TIMEOUT`], because its
/// worker may have restarted unnoticed.
pub const AGENT_LOSS_TIMEOUT: Duration = Duration::from_millis(1_550);
/// Time after the last report of an unreachable agent by which the runs have ended that began before the report:
/// [`AGENT_LEASE`] by a slow clock, plus [`RUN_LOSS_TIMEOUT`]. It covers the longest lease from the report on.
pub const REPORTED_RUN_LOSS_TIMEOUT: Duration = Duration::from_millis(1_150);
/// Interval between two reports if nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two announcements while the agent looks for a leader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two announcements to leaders that other nodes name, because two nodes may name each
/// other.
const MIN_REDIRECT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval after which events that the leader has not acknowledged are sent again.
const EVENT_RESEND_INTERVAL: Duration = Duration::from_millis(600);
/// How long the worker may hold a poll open until a run ends.
pub const POLL_WAIT: Duration = Duration::from_millis(60);
/// Timeout of a stop; for a poll, the time for which the worker may hold it open is added. The worker runs on the same
/// machine.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a start. A start that takes effect later is found by the next poll.
pub const START_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum number of starts without a reply. Of the calls that an agent can make at a time, the rest are left for polls
/// and stops.
pub const MAX_UNANSWERED_STARTS: u32 = 32;
/// Number of replies to starts after which a report is due, so that the leader can order the next ones.
const REPLIES_PER_REPORT: u32 = MAX_UNANSWERED_STARTS / 2;
/// Time between two calls of [`Agent::tick`] that only a pause of the process explains.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Delay after which a stop is repeated if the worker has not listed the end of the run.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of low bits of the fencing token that the agent increments by itself; the bits above come from its
/// registration.
const LOCAL_FENCE_BITS: u32 = 12;

/// Call to the worker, or message to another process.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message.
    Send(SocketAddr, PeerMessage),
    /// Polls the worker and may renew its lease. The reply goes to [`Agent::on_poll_reply`].
    Poll(PollCall),
    /// Starts a run. The reply goes to [`Agent::on_start_reply`].
    Start(StartCall),
    /// Stops a run; the worker lists its end later.
    Stop(StopCall),
}

/// Poll of the worker: renews its lease and asks for its runs and their ends.
#[derive(Debug, Clone, PartialEq)]
pub struct PollCall {
    /// Number of the call.
    pub number: u64,
    /// Fencing token of the agent.
    pub fence: u64,
    /// Number of the newest end that the leader has acknowledged; the worker may forget the ends up to it.
    pub acked_end: u64,
    /// New expiry of the worker lease by the worker's clock; `None` for a poll that does not renew it.
    pub lease_expiry_ms: Option<u64>,
    /// How long the worker may wait for a run to end.
    pub wait: Duration,
    /// Identity of the worker that the call is meant for, if it is known.
    pub worker_id: Option<String>,
}

/// Call that starts a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCall {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// Description of the work.
    pub payload: String,
    /// Expiry of the worker lease by the worker's clock.
    pub lease_expiry_ms: u64,
    /// Fencing token of the agent.
    pub fence: u64,
    /// Identity of the worker that the call is meant for.
    pub worker_id: Option<String>,
    /// Start, in Unix milliseconds, of the incarnation that the call is meant for, if the worker tells it. The driver
    /// makes sure that no other incarnation receives the call.
    pub started_at_ms: Option<u64>,
}

/// Call that stops a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StopCall {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// Fencing token of the agent.
    pub fence: u64,
    /// Identity of the worker that the call is meant for.
    pub worker_id: Option<String>,
}

/// Heartbeat of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Identity of the worker.
    pub id: String,
    /// Start of this incarnation of the worker in Unix milliseconds, if the worker tells it.
    pub started_at_ms: Option<u64>,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Resources that the worker offers.
    pub capacity: Resources,
    /// Labels such as the kind and the rack of the worker.
    pub labels: Vec<String>,
    /// Whether the worker takes no new tasks.
    pub draining: bool,
    /// Data centre of the worker; `None` if it names none.
    pub data_centre: Option<String>,
    /// For how long the worker will still be slow, because its caches are cold.
    pub cold_time: Duration,
}

/// A run that may be on the worker.
#[derive(Debug, Clone)]
struct Run {
    run: u64,
    /// `None` for a run that was found on the worker, until the leader tells its needs.
    needs: Option<Resources>,
    /// Fencing token under which the run was started.
    fence: u64,
    started_at: Timestamp,
    /// When the worker was first known to have the run.
    confirmed_at: Option<Timestamp>,
    /// Incarnation of the worker that last listed the run.
    listed_by: Option<Incarnation>,
    /// Whether the worker did not reply to the start. A poll under a higher fencing token decides whether the run
    /// exists.
    start_unanswered: bool,
    speed: speed::SpeedMeter,
    /// When a stop was last sent.
    stop_sent_at: Option<Timestamp>,
}

/// Lease granted by the leader.
#[derive(Debug, Clone)]
struct Lease {
    leader: SocketAddr,
    term: Term,
    /// Agent's clock at the sending of the newest message that the leader has answered; the lease counts from it.
    start: Timestamp,
}

/// State machine of one agent; the driver passes in time, calls and messages and carries out the actions.
#[derive(Debug)]
pub struct Agent {
    address: SocketAddr,
    session: u64,
    worker: Option<(String, WorkerInfo)>,
    /// Start of the worker's present incarnation, if it is known.
    worker_started_at_ms: Option<u64>,
    heartbeat_sequence: u64,
    /// Time until which the worker is cold.
    cold_until: Timestamp,
    /// Heartbeats of workers that are not the known one, until the worker itself has told which incarnation runs.
    candidates: Vec<identity::Candidate>,
    /// When the worker is asked next which incarnation runs.
    next_check: Timestamp,
    /// Number of the worker's present incarnation.
    incarnation: Incarnation,
    /// When a departure of the worker was received that its replies do not contradict.
    left_at: Option<Timestamp>,
    lease: Option<Lease>,
    /// Newest term from which orders were processed. `last_orders` is the number of the newest orders of that term.
    term: Term,
    last_orders: u64,
    /// Earliest time of the next announcement to a leader that another node names.
    next_redirect: Timestamp,
    /// Whether the agent is shutting down and takes no new tasks.
    shutting_down: bool,
    /// Present fencing token; 0 before the first registration.
    fence: u64,
    /// Runs that may be on the worker.
    runs: BTreeMap<TaskId, Run>,
    /// Number of starts to which the worker has not replied.
    unanswered_starts: u32,
    /// Number of replies to starts since the last report.
    unreported_replies: u32,
    /// Events that the leader has not acknowledged.
    events: VecDeque<RunEvent>,
    /// Runs that have become slow and are not reported yet.
    slow_runs: Vec<SlowRun>,
    /// Number of the newest event.
    last_event: u64,
    /// Number of the newest event sent to the present leader.
    last_sent_event: u64,
    poll: poll::PollState,
    /// Nodes that may know the leader.
    peers: Vec<SocketAddr>,
    next_peer: usize,
    next_report: Timestamp,
    next_resend: Timestamp,
    ticked_at: Timestamp,
    /// When the process last went on after a pause.
    resumed_at: Timestamp,
    /// Whether a report is due before the end of the interval.
    report_pending: bool,
    /// Runs reported as lost since the last [`Agent::take_losses`].
    losses: LossCounts,
    lease_logs: LeaseLogs,
    actions: Vec<Action>,
}

/// Limiters of the lines about the agent lease, which repeat as long as the worker does not reply.
#[derive(Debug, Default)]
struct LeaseLogs {
    expired: LogLimiter<LeaseState>,
    granted: LogLimiter<LeaseState>,
}

/// State that a line about the agent lease depends on.
#[derive(Debug, Clone, PartialEq)]
struct LeaseState {
    leader: SocketAddr,
    term: Term,
    runs_known: bool,
    /// Last reply of the worker. If there has been another one since, the worker is not silent.
    replied_at: Option<Timestamp>,
}

impl Agent {
    /// Creates an agent that knows some nodes and nothing about its worker.
    pub fn new(address: SocketAddr, session: u64, seeds: Vec<SocketAddr>) -> Agent {
        Agent {
            address,
            session,
            worker: None,
            worker_started_at_ms: None,
            heartbeat_sequence: 0,
            cold_until: Timestamp::ZERO,
            candidates: Vec::new(),
            next_check: Timestamp::ZERO,
            incarnation: 1,
            left_at: None,
            lease: None,
            term: 0,
            last_orders: 0,
            next_redirect: Timestamp::ZERO,
            shutting_down: false,
            fence: 0,
            runs: BTreeMap::new(),
            unanswered_starts: 0,
            unreported_replies: 0,
            events: VecDeque::new(),
            slow_runs: Vec::new(),
            last_event: 0,
            last_sent_event: 0,
            poll: poll::PollState::default(),
            peers: seeds,
            next_peer: 0,
            next_report: Timestamp::ZERO,
            next_resend: Timestamp::ZERO,
            ticked_at: Timestamp::ZERO,
            resumed_at: Timestamp::ZERO,
            report_pending: false,
            losses: LossCounts::default(),
            lease_logs: LeaseLogs::default(),
            actions: Vec::new(),
        }
    }

    /// Takes the actions that the driver has to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the number of runs that were reported as lost since the last call.
    pub fn take_losses(&mut self) -> LossCounts {
        std::mem::take(&mut self.losses)
    }

    /// Returns the latest time at which [`Agent::tick`] must be called.
    pub fn next_tick(&self) -> Timestamp {
        self.next_report.min(self.poll.next_poll)
    }

    /// Returns whether the agent holds a valid agent lease from a leader.
    pub fn has_agent_lease(&self, now: Timestamp) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|l| l.start + AGENT_LEASE > now)
    }

    /// Returns whether the agent lease is recent enough to start runs.
    fn may_start(&self, now: Timestamp) -> bool {
        let lease = self.lease.as_ref();
        lease.is_some_and(|l| l.start + START_WINDOW > now)
    }

    /// Returns the number of runs that may be on the worker.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Takes no new tasks from now on.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
        self.report_pending = true;
    }

    /// Adds nodes that may know the leader.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.peers.contains(seed) {
                self.peers.push(*seed);
            }
        }
    }

    /// Handles expired leases, and polls, retries and reports that are due.
    pub fn tick(&mut self, now: Timestamp) {
        if self.ticked_at + PAUSE_THRESHOLD < now {
            self.resumed_at = now;
        }
        self.ticked_at = now;
        if self.lease.is_some() && !self.has_agent_lease(now) {
            let lease = self.lease.take().expect("the lease exists");
            self.log_lease_expired(now, &lease);
        }
        self.tick_poll(now);
        self.retry_stops(now);
        if self.report_pending || now >= self.next_report {
            self.send_report(now);
        }
    }

    /// Returns whether the shutdown is complete: no run is left, and the leader has acknowledged all events.
    pub fn is_finished(&self) -> bool {
        self.shutting_down && self.runs.is_empty() && self.events.is_empty()
    }

    fn lease_state(&self, leader: SocketAddr, term: Term) -> LeaseState {
        LeaseState {
            leader,
            term,
            runs_known: self.poll.runs_known(self.fence),
            replied_at: self.poll.replied_at(),
        }
    }

    /// Logs the end of a lease. The leader renews it only for reports with all runs and with ends to store.
    fn log_lease_expired(&mut self, now: Timestamp, lease: &Lease) {
        let state = self.lease_state(lease.leader, lease.term);
        let runs_known = state.runs_known;
        if let Some(suppressed) = self.lease_logs.expired.admit(now, state) {
            log::warn!(
                "E701 agent lease expired leader={} term={} age_ms={} runs={} runs_known={runs_known} \
                 worker_silent_ms={} {} suppressed={suppressed}",
                lease.leader,
                lease.term,
                now.since(lease.start).as_millis(),
                self.runs.len(),
                OrUnknown(self.poll.silent_ms(now)),
                self.known_worker()
            );
        }
    }

    /// Reports a run as lost.
    fn report_lost(&mut self, now: Timestamp, task: TaskId, reason: LossReason) {
        if let Some(run) = self.runs.remove(&task) {
            let outcome = RunOutcome::Lost(reason);
            self.push_event(now, task, run.run, outcome, run.started_at);
        }
    }

    fn push_event(
        &mut self,
        now: Timestamp,
        task: TaskId,
        run: u64,
        outcome: RunOutcome,
        started_at: Timestamp,
    ) {
        self.last_event += 1;
        if let RunOutcome::Lost(reason) = outcome {
            self.losses.add(reason);
        }
        let elapsed_ms = now.since(started_at).as_millis() as u32;
        self.events.push_back(RunEvent {
            seq: self.last_event,
            task,
            run,
            outcome,
            elapsed_ms,
        });
        self.report_pending = true;
        log::info!(
            "E707 run ended task={task} run={run} outcome={outcome:?} elapsed_ms={elapsed_ms}"
        );
    }

    /// Handles a message from another process.
    pub fn on_message(&mut self, now: Timestamp, message: PeerMessage) {
        match message {
            PeerMessage::LeaderInfo(info) => self.on_leader_info(now, &info),
            PeerMessage::Orders(orders) => self.on_orders(now, orders),
            other => log::warn!("E708 ignored an unexpected message message={other:?}"),
        }
    }

    fn on_leader_info(&mut self, now: Timestamp, info: &LeaderInfo) {
        let addresses: Vec<SocketAddr> = info.members.iter().map(|m| m.address).collect();
        self.add_seeds(&addresses);
        let from_new_leader = info.serving && info.term > self.term;
        let redirect_allowed = !self.has_agent_lease(now) && now >= self.next_redirect;
        if let Some(leader) = info.leader
            && (from_new_leader || (redirect_allowed && leader != info.from))
        {
            self.next_redirect = now + MIN_REDIRECT_INTERVAL;
            self.announce(now, leader);
        }
    }

    fn on_orders(&mut self, now: Timestamp, orders: Orders) {
        let start = Timestamp::from_micros(orders.lease_start_us);
        let current_term = self.term;
        if orders.session != self.session
            || orders.term < current_term
            || start + AGENT_LEASE <= now
        {
            log::info!(
                "E709 ignored orders: other session, older term or expired lease term={} \
                 current_term={current_term} lease_age_ms={} count={}",
                orders.term,
                now.since(start).as_millis(),
                orders.orders.len()
            );
            return;
        }
        if orders.term > current_term || self.lease.is_none() {
            let state = self.lease_state(orders.leader, orders.term);
            if let Some(suppressed) = self.lease_logs.granted.admit(now, state) {
                log::info!(
                    "E710 agent lease granted leader={} term={} fence={} suppressed={suppressed}",
                    orders.leader,
                    orders.term,
                    orders.fence
                );
            }
            if orders.term > current_term {
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
                    incarnation,
                    needs,
                    expected_ms: expected,
                    payload,
                } => {
                    let expected = Duration::from_millis(u64::from(expected));
                    let wanted = StartOrder {
                        task,
                        run,
                        incarnation,
                        needs,
                        expected,
                    };
                    self.start(now, wanted, payload);
                }
                Order::Stop { task, run } => self.stop(now, task, run),
                Order::Adopt { task, run, needs } => {
                    if let Some(known_run) = self.runs.get_mut(&task)
                        && known_run.run == run
                    {
                        known_run.needs = Some(needs);
                    }
                }
            }
        }
    }

    /// Drops events that the leader has acknowledged.
    fn on_events_acked(&mut self, acked_event: u64) {
        while self.events.front().is_some_and(|e| e.seq <= acked_event) {
            self.events.pop_front();
        }
        self.poll.on_events_acked(acked_event);
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
        let runs_known = self.poll.runs_known(self.fence) || self.is_worker_gone(now);
        let is_periodic = now >= self.next_report;
        let resend = now >= self.next_resend;
        let from = if resend { 0 } else { self.last_sent_event };
        let events: Vec<RunEvent> = self
            .events
            .iter()
            .filter(|e| e.seq > from)
            .copied()
            .collect();
        let undecided = self.runs.iter().filter(|_| is_periodic && !runs_known);
        let undecided = undecided.map(|(task, r)| RunId {
            task: *task,
            run: r.run,
        });
        let running = self.runs.iter().map(|(task, r)| RunStatus {
            id: RunId {
                task: *task,
                run: r.run,
            },
            progress_percent: r.speed.progress(),
            stopping: r.stop_sent_at.is_some(),
            needs_known: r.needs.is_some(),
            confirmed: r.confirmed_at.is_some(),
        });
        let worker = self.worker.as_ref().map(|(_, w)| WorkerInfo {
            draining: w.draining || self.shutting_down || self.is_worker_out_of_use(now),
            cold_ms: self.cold_until.since(now).as_millis() as u32,
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
            running: (is_periodic && runs_known).then(|| running.collect()),
            undecided: undecided.collect(),
            events,
            slow: std::mem::take(&mut self.slow_runs),
            unanswered_starts: self.unanswered_starts,
        };
        let leader = lease.leader;
        self.actions
            .push(Action::Send(leader, PeerMessage::Report(Box::new(report))));
        self.last_sent_event = self.last_event;
        self.report_pending = false;
        self.unreported_replies = 0;
        if is_periodic {
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
