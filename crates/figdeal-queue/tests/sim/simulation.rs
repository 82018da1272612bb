//! Simulates a whole installation in one thread: nodes, disks, agents, workers, callers and faults, all driven by one
//! seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{
        Action as AgentAction, Agent, CALL_TIMEOUT, Heartbeat, ListedOutcome, PollCall,
        START_TIMEOUT, StartCall, StartReply, StopCall,
    },
    dispatch::Limits,
    job::{JobId, JobSpec, Policy, Queue, QueueConfig, Resources, Step},
    message::{Answer, PeerMessage, Request, StartRejection},
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, NodeId, Raft, StorageWrite, log::Position, log::Snapshot},
};
use figdeal_stand_in::{
    checker::{Checker, SubmittedJob},
    worker::{Run, Worker},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod callers;
mod clock_steps;
mod cut_lists;
mod departures;
mod evacuations;
mod faults;
mod gone_workers;
mod late_starts;
mod leader_loss;
mod long_leases;
mod long_runs;
mod lost_orders;
mod machines;
mod next_lives;
mod same_identity;
mod seed_change;
mod waiting_jobs;

pub(crate) use departures::Departure;
pub(crate) use evacuations::NodeLoss;
pub(crate) use gone_workers::Loss;
pub(crate) use leader_loss::LeaderLoss;
pub(crate) use lost_orders::Outage;
pub(crate) use waiting_jobs::Obstacle;

/// All kinds of faults: 0 and 1 a node is killed, 2 all nodes lose power, 3 a node is paused, 4 a node is
/// disconnected, 5 an agent is disconnected, 6 an agent is killed, 7 an agent is paused, 8 a worker crashes, 9 a disk
/// is wiped.
pub(crate) const ALL_FAULTS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
/// Faults that an agent may not notice, besides those that are likely to coincide with them: 10 a worker restarts at
/// once, 11 calls to its new incarnation are late, 12 polls of the new incarnation are lost, 13 the time of day goes
/// back before the restart, 14 a worker goes on after its departure, 15 a worker ends some time after its departure,
/// 16 a heartbeat or the departure of the former incarnation arrives late, 17 the agent restarts while its worker is
/// gone for seconds, 18 calls to a worker are late, 19 polls of a worker are lost.
pub(crate) const UNNOTICED_FAULTS: [u32; 16] =
    [1, 4, 5, 6, 7, 8, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19];
const POOL: &str = "pool";
const HOST: &str = "host";
const PREFIX: &str = "/q/";
/// Capacity of a worker in thousandths of a core, unless the kinds of the workers change.
const MILLICORES: u32 = 8_000;
const SYNC_DURATION: Duration = Duration::from_millis(9);
/// Typical estimate of a task; actual run times are scaled by the estimate relative to it.
const TYPICAL_ESTIMATE_MS: u32 = 200;
const TICK_INTERVAL: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Minimum time between two wiped disks.
const MIN_WIPE_INTERVAL: Duration = Duration::from_secs(4);
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A bug that is injected on purpose, to show that the checker detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// Writes are reported as durable before they are.
    SkipSync,
    /// A node keeps its identity although its disk was wiped.
    KeepIdentity,
    /// Workers carry out calls with an expired lease or an old fencing token.
    WorkersIgnoreFencing,
    /// Callers resubmit jobs long before the delay that the nodes rely on.
    CallersResubmitEarly,
    /// The clocks of agents are too slow, so that their leases last too long.
    SlowAgentClocks,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: SocketAddr,
        to: SocketAddr,
        message: Box<PeerMessage>,
        incarnation: u64,
    },
    Stored {
        node: usize,
        incarnation: u64,
        writes: usize,
        last: Position,
        send_after_sync: Vec<(SocketAddr, PeerMessage)>,
    },
    Tick,
    Call {
        agent: usize,
        incarnation: u64,
        call: WorkerCall,
        late_for: Option<u64>,
    },
    StartAnswered {
        agent: usize,
        incarnation: u64,
        call: StartCall,
        answer: StartReply,
    },
    AnswerPoll {
        agent: usize,
        incarnation: u64,
        worker_incarnation: u64,
        call: PollCall,
        until: Timestamp,
    },
    PollTimedOut {
        agent: usize,
        incarnation: u64,
        number: u64,
    },
    Submit(JobId),
    Query(JobId),
    Cancel(JobId),
    Configure(u64),
    ReadConfig,
    AskWaiting,
    SetEvacuation(bool),
    Heartbeat(usize),
    Fault,
    StartNode(usize),
    StartAgent(usize),
    StartWorker(usize),
    CrashWorker(usize),
    DelayedHeartbeat(usize, Heartbeat),
    Departure(usize),
    Reconnect(SocketAddr),
}

#[derive(Debug, Clone)]
enum WorkerCall {
    Poll(PollCall),
    Start(StartCall),
    Stop(StopCall),
}

#[derive(Debug, Clone)]
enum CallerRequest {
    Submit(JobId),
    Query(JobId),
    Cancel,
    Configure(u64),
    /// Newest version that was acknowledged when the request was sent.
    Read(u64),
    /// Jobs that waited for certain when the request was sent.
    Waiting(BTreeSet<JobId>),
    SetEvacuation(bool),
}

struct NodeMachine {
    node: Option<Node>,
    incarnation: u64,
    has_disk: bool,
    id: NodeId,
    /// Records that were written; the first `durable_count` of them are durable.
    written_records: Vec<StorageWrite>,
    durable_count: usize,
    disk_free_at: Timestamp,
    paused_until: Timestamp,
    is_first_start: bool,
}

struct AgentHost {
    agent: Option<Agent>,
    incarnation: u64,
    worker: Worker,
    heartbeat_sequence: u64,
    paused_until: Timestamp,
    /// Until when calls to the worker get no answer and are carried out seconds late.
    calls_late_until: Timestamp,
    /// Until when polls of the worker are lost.
    polls_lost_until: Timestamp,
    /// Until when starts at the worker are lost.
    starts_lost_until: Timestamp,
    /// Whether the worker rejects all starts, although its health check is good.
    rejects_starts: bool,
    /// How far the time of day at the worker is behind, in milliseconds.
    wall_clock_lag_ms: u64,
}

/// Size of a run and the faults in it.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) job_count: u64,
    /// Fraction of volatile jobs.
    pub(crate) volatile_fraction: f64,
    pub(crate) fault_count: u32,
    /// Kinds of faults to choose from.
    pub(crate) fault_kinds: &'static [u32],
    /// Fraction of calls to workers that are carried out seconds late.
    pub(crate) late_call_fraction: f64,
    pub(crate) injected_bug: InjectedBug,
    /// Maximum number of ended runs that a worker lists at a time.
    pub(crate) max_listed_ends: usize,
    /// Whether the next incarnation of a worker may be of another kind and capacity, which tasks require. No start then
    /// reaches another incarnation than the one that it names, as the driver of the agent promises. Otherwise one may,
    /// which is more than the agent has to cope with.
    pub(crate) kinds_change: bool,
}

pub(crate) struct Simulation {
    plan: Plan,
    now: Timestamp,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    event_slots: BTreeMap<usize, Event>,
    next_event: usize,
    machines: Vec<NodeMachine>,
    agent_hosts: Vec<AgentHost>,
    disconnected: BTreeSet<SocketAddr>,
    last_deliveries: BTreeMap<(SocketAddr, SocketAddr), Timestamp>,
    pending_requests: BTreeMap<u64, (CallerRequest, usize, Timestamp)>,
    next_token: u64,
    pub(crate) checker: Checker,
    last_version: u64,
    without_faults: bool,
    /// Nodes that processes know when they start.
    seeds: Vec<usize>,
    /// When a disk was last wiped.
    last_wipe: Timestamp,
    /// Milliseconds that each task of these jobs takes, whatever its estimate.
    run_times: BTreeMap<JobId, u32>,
    /// Last acknowledged request to evacuate the first data centre, or to revoke that.
    acknowledged_evacuation: Option<bool>,
    /// How many jobs wait, as a caller was last told.
    told_waiting: Option<u32>,
}

fn node_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7_000))
}

fn agent_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n as u8 + 1], 7_001))
}

/// Data centre of a worker.
fn data_centre_of(n: usize) -> String {
    format!("z{}", n % 2)
}

/// Labels of a worker without a kind.
fn labels_of(n: usize) -> Vec<String> {
    vec![format!("rack-{}", n % 2)]
}

impl Simulation {
    pub(crate) fn new(plan: Plan) -> Simulation {
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(plan.seed),
            plan,
            now: Timestamp::from_micros(1_000_000),
            events: BinaryHeap::new(),
            event_slots: BTreeMap::new(),
            next_event: 0,
            machines: Vec::new(),
            agent_hosts: Vec::new(),
            disconnected: BTreeSet::new(),
            last_deliveries: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            next_token: 1,
            checker: Checker::default(),
            last_version: 0,
            without_faults: false,
            seeds: vec![0, 1, 2],
            last_wipe: Timestamp::ZERO,
            run_times: BTreeMap::new(),
            acknowledged_evacuation: None,
            told_waiting: None,
        };
        for n in 0..5 {
            simulation.machines.push(NodeMachine {
                node: None,
                incarnation: 0,
                has_disk: n < 4,
                id: NodeId(simulation.rng.random()),
                written_records: Vec::new(),
                durable_count: 0,
                disk_free_at: Timestamp::ZERO,
                paused_until: Timestamp::ZERO,
                is_first_start: true,
            });
            simulation.start_node(n);
        }
        for n in 0..4 {
            let mut worker = Worker::new(simulation.now, 1, MILLICORES).with_labels(labels_of(n));
            worker.started_at_ms = simulation.clock().wall_ms;
            worker.max_listed_ends = simulation.plan.max_listed_ends;
            worker.ignores_fencing =
                simulation.plan.injected_bug == InjectedBug::WorkersIgnoreFencing;
            let paused_until = Timestamp::ZERO;
            simulation.agent_hosts.push(AgentHost {
                agent: None,
                incarnation: 0,
                worker,
                heartbeat_sequence: 0,
                paused_until,
                calls_late_until: Timestamp::ZERO,
                polls_lost_until: Timestamp::ZERO,
                starts_lost_until: Timestamp::ZERO,
                rejects_starts: false,
                wall_clock_lag_ms: 0,
            });
            if simulation.plan.kinds_change {
                simulation.change_kind(n);
            }
            simulation.start_agent(n);
            simulation.schedule(Duration::from_millis(20 * n as u64), Event::Heartbeat(n));
        }
        simulation.schedule(TICK_INTERVAL, Event::Tick);
        simulation
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let slot = self.next_event;
        self.next_event += 1;
        let order: u64 = slot as u64;
        self.events.push(Reverse((self.now + after, order, slot)));
        self.event_slots.insert(slot, event);
    }

    fn random_delay(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(low..high))
    }

    fn clock(&self) -> Clock {
        Clock {
            now: self.now,
            wall_ms: 1_700_000_000_000 + self.now.as_micros() / 1_000,
        }
    }

    /// Returns the time by the agents' clock, which an injected bug slows down.
    fn agent_now(&self) -> Timestamp {
        match self.plan.injected_bug {
            InjectedBug::SlowAgentClocks => Timestamp::from_micros(self.now.as_micros() / 4),
            _ => self.now,
        }
    }

    fn start_node(&mut self, n: usize) {
        let seeds = self.seeds.iter().copied().map(node_address).collect();
        let clock = self.clock();
        let seed = self.rng.random();
        let machine = &mut self.machines[n];
        machine.incarnation += 1;
        let (mut hard_state, mut log, mut snapshot) = (HardState::default(), Log::default(), None);
        for write in &machine.written_records[..machine.durable_count] {
            match write.clone() {
                StorageWrite::HardState(new) => hard_state = new,
                StorageWrite::Entry(entry) => log.append(entry),
                StorageWrite::Snapshot(new) => {
                    let new: Snapshot = new;
                    log = Log::from_snapshot(new.last, new.members.clone());
                    snapshot = Some(new);
                }
            }
        }
        let options = Options {
            address: node_address(n),
            data_centre: format!("z{n}"),
            has_disk: machine.has_disk,
            bootstrap: machine.is_first_start,
            seeds,
            voter_count: 3,
            min_resubmit_delay: RESUBMIT_DELAY,
            stored_bytes: 64 << 20,
            data_centres: BTreeSet::new(),
            limits: Limits::default(),
        };
        machine.is_first_start = false;
        let raft = Raft::new(machine.id, hard_state, log, clock.now, seed);
        machine.node =
            Some(Node::new(options, raft, snapshot, clock).expect("the state must be readable"));
    }

    fn start_agent(&mut self, n: usize) {
        let seeds = self.seeds.iter().copied().map(node_address).collect();
        let session = self.rng.random();
        let agent_host = &mut self.agent_hosts[n];
        agent_host.incarnation += 1;
        agent_host.agent = Some(Agent::new(agent_address(n), session, seeds));
    }

    fn start_worker(&mut self, n: usize) {
        let wall_ms = self.clock().wall_ms;
        let host = &mut self.agent_hosts[n];
        let incarnation = host.worker.incarnation + 1;
        let mut worker = Worker::new(self.now, incarnation, MILLICORES).with_labels(labels_of(n));
        worker.started_at_ms = wall_ms - host.wall_clock_lag_ms;
        worker.ignores_fencing = host.worker.ignores_fencing;
        worker.max_listed_ends = host.worker.max_listed_ends;
        host.worker = worker;
        host.heartbeat_sequence = 0;
        if self.plan.kinds_change {
            self.change_kind(n);
        }
    }

    /// Runs the simulation until `end`.
    pub(crate) fn run_until(&mut self, end: Timestamp) {
        while let Some(Reverse((at, _, slot))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, slot as u64, slot)));
                break;
            }
            self.now = at;
            crate::NOW.set(at.as_micros());
            for agent_host in &mut self.agent_hosts {
                agent_host.worker.advance(at);
                self.checker
                    .completed_tasks
                    .extend(agent_host.worker.completed_tasks.drain(..));
            }
            let event = self
                .event_slots
                .remove(&slot)
                .expect("the event must exist");
            self.handle(event);
            if !self.checker.violations.is_empty() {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    /// Runs the whole plan: a start without faults, faults under load, and an end without faults in which every job
    /// must finish.
    pub(crate) fn run_plan(&mut self) {
        let second = Duration::from_secs(1);
        self.schedule(3 * second, Event::Configure(1));
        for n in 0..self.plan.job_count {
            let id = JobId(0x1000 + n);
            let at = 4 * second + self.random_delay(0, 16_000);
            self.schedule(at, Event::Submit(id));
        }
        for _ in 0..self.plan.fault_count {
            let at = 5 * second + self.random_delay(0, 14_000);
            self.schedule(at, Event::Fault);
        }
        for n in 0..4 {
            let at = 5 * second + self.random_delay(0, 14_000);
            self.schedule(at, Event::Configure(2 + 3 * n));
            let at = 5 * second + self.random_delay(0, 14_000);
            self.schedule(at, Event::ReadConfig);
        }
        if self.plan.kinds_change {
            self.schedule(5 * second, Event::AskWaiting);
        }
        self.run_until(self.now + 24 * second);
        self.without_faults = true;
        self.run_until(self.now + 16 * second);
        let stored: Vec<JobId> = self
            .checker
            .jobs
            .iter()
            .filter(|(_, s)| !s.spec.volatile)
            .map(|(id, _)| *id)
            .collect();
        for id in stored {
            self.schedule(Duration::ZERO, Event::Query(id));
        }
        self.schedule(Duration::ZERO, Event::ReadConfig);
        self.run_until(self.now + 2 * second);
        if self.checker.violations.is_empty() {
            self.checker.finish();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Deliver {
                from,
                to,
                message,
                incarnation,
            } => self.deliver(from, to, *message, incarnation),
            Event::Stored {
                node,
                incarnation,
                writes,
                last,
                send_after_sync,
            } => {
                self.on_stored(node, incarnation, writes, last, send_after_sync);
            }
            // A late call is dropped if the worker that received it has been replaced by a new incarnation.
            Event::Call {
                agent,
                late_for: Some(incarnation),
                ..
            } if self.agent_hosts[agent].worker.incarnation != incarnation => {}
            Event::Call {
                agent,
                incarnation,
                call,
                late_for,
            } => {
                self.on_worker_call(agent, incarnation, call, late_for.is_some());
            }
            Event::StartAnswered {
                agent: n,
                incarnation,
                call,
                answer,
            } if self.agent_hosts[n].paused_until > self.now => {
                let remaining_pause = self.agent_hosts[n].paused_until - self.now;
                self.schedule(
                    remaining_pause,
                    Event::StartAnswered {
                        agent: n,
                        incarnation,
                        call,
                        answer,
                    },
                );
            }
            Event::StartAnswered {
                agent,
                incarnation,
                call,
                answer,
            } => {
                let now = self.agent_now();
                if let Some(agent) = self.agent(agent, incarnation) {
                    agent.on_start_reply(now, call.task, call.run, answer);
                }
                self.process_agent_actions(agent);
            }
            Event::AnswerPoll {
                agent,
                incarnation,
                worker_incarnation,
                call,
                until,
            } => self.answer_poll(agent, incarnation, worker_incarnation, call, until),
            Event::PollTimedOut {
                agent: n,
                incarnation,
                number,
            } if self.agent_hosts[n].paused_until > self.now => {
                let remaining_pause = self.agent_hosts[n].paused_until - self.now;
                self.schedule(
                    remaining_pause,
                    Event::PollTimedOut {
                        agent: n,
                        incarnation,
                        number,
                    },
                );
            }
            Event::PollTimedOut {
                agent,
                incarnation,
                number,
            } => {
                let now = self.agent_now();
                if let Some(agent) = self.agent(agent, incarnation) {
                    agent.on_poll_reply(now, number, None);
                }
                self.process_agent_actions(agent);
            }
            Event::Submit(id) => self.submit(id),
            Event::Query(id) => {
                let path = format!("{PREFIX}{id}");
                self.send_request(
                    CallerRequest::Query(id),
                    Request::Query {
                        host: HOST.to_owned(),
                        path,
                    },
                );
            }
            Event::Cancel(id) => {
                self.checker
                    .jobs
                    .get_mut(&id)
                    .expect("the job must have been submitted")
                    .cancel_requested = true;
                let path = format!("{PREFIX}{id}");
                self.send_request(
                    CallerRequest::Cancel,
                    Request::Cancel {
                        host: HOST.to_owned(),
                        path,
                    },
                );
            }
            Event::Configure(version) => self.configure(version),
            Event::ReadConfig => {
                let known = self.checker.acknowledged_config_version;
                self.send_request(CallerRequest::Read(known), Request::ReadConfig);
            }
            Event::AskWaiting => self.ask_waiting(),
            Event::SetEvacuation(evacuated) => self.set_evacuation(evacuated),
            Event::Heartbeat(n) => self.heartbeat(n),
            Event::Fault => self.inject_fault(),
            Event::StartNode(n) => self.start_node(n),
            Event::StartAgent(n) => self.start_agent(n),
            Event::StartWorker(n) => self.start_worker(n),
            Event::CrashWorker(n) => self.crash_worker(n),
            Event::DelayedHeartbeat(n, heartbeat) => self.deliver_heartbeat(n, heartbeat),
            Event::Departure(n) if self.agent_hosts[n].paused_until > self.now => {
                let remaining_pause = self.agent_hosts[n].paused_until - self.now;
                self.schedule(remaining_pause, Event::Departure(n));
            }
            Event::Departure(n) => self.deliver_departure(n),
            Event::Reconnect(address) => {
                self.disconnected.remove(&address);
            }
        }
    }

    fn agent(&mut self, n: usize, incarnation: u64) -> Option<&mut Agent> {
        let now = self.now;
        let agent_host = self
            .agent_hosts
            .get_mut(n)
            .filter(|s| s.incarnation == incarnation && s.paused_until <= now)?;
        agent_host.agent.as_mut()
    }

    fn tick(&mut self) {
        let clock = self.clock();
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            if machine.paused_until <= clock.now
                && let Some(node) = &mut machine.node
                && node.next_tick() <= clock.now
            {
                node.tick(clock);
            }
            self.process_node_actions(n);
        }
        let now = self.agent_now();
        for n in 0..self.agent_hosts.len() {
            let agent_host = &mut self.agent_hosts[n];
            if agent_host.paused_until <= self.now
                && let Some(agent) = &mut agent_host.agent
            {
                agent.tick(now);
            }
            self.process_agent_actions(n);
        }
        let timed_out: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, (_, _, at))| *at + CALLER_TIMEOUT < clock.now)
            .map(|(token, _)| *token)
            .collect();
        for token in timed_out {
            self.on_answer(token, &Answer::OutcomeUnknown, true);
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
    }
}
