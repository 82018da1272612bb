//! A whole installation in one thread: nodes, disks, agents, workers, callers and faults under one seed.

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
    job::{JobId, JobSpec, Policy, Queue, QueueConfig, Resources, Step},
    message::{Answer, PeerMessage, Request},
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, NodeId, Raft, StorageWrite, log::Position, log::Snapshot},
};
use figdeal_stand_in::{
    checker::{Checker, SubmittedJob},
    worker::{Run, Worker},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod callers;
mod faults;
mod lost;
mod machines;
mod seeds;

pub(crate) use lost::Lost;

/// Every kind of fault.
pub(crate) const ALL_FAULTS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
const POOL: &str = "pool";
const HOST: &str = "host";
const PREFIX: &str = "/q/";
const SYNC: Duration = Duration::from_millis(9);
/// Usual estimate of a task in milliseconds.
const ESTIMATE: u32 = 200;
const STEP: Duration = Duration::from_millis(5);
const BEAT: Duration = Duration::from_millis(1_500);
const RESEND: Duration = Duration::from_millis(1_300);
/// Time after the loss of a disk in which no other is lost.
const WIPE_GAP: Duration = Duration::from_secs(4);
const PATIENCE: Duration = Duration::from_millis(3_000);

/// A guard that is broken on purpose, to show that the run notices it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sabotage {
    None,
    /// Writes count as durable before they are.
    SkipSync,
    /// A store that was wiped keeps its identity.
    KeepIdentity,
    /// Workers carry out orders whose hold or fence is over.
    LaxWorkers,
    /// Callers hand jobs in again long before the time that the nodes are told.
    HastyCallers,
    /// Agents believe that less time passes than does, so their leases last too long.
    SlowAgents,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: SocketAddr,
        to: SocketAddr,
        peer: Box<PeerMessage>,
        life: u64,
    },
    Stored {
        node: usize,
        life: u64,
        writes: usize,
        last: Position,
        after: Vec<(SocketAddr, PeerMessage)>,
    },
    Tick,
    Call {
        agent: usize,
        life: u64,
        call: Call,
        late: Option<u64>,
    },
    Started {
        agent: usize,
        life: u64,
        call: StartCall,
        answer: StartReply,
    },
    Held {
        agent: usize,
        life: u64,
        call: PollCall,
        until: Timestamp,
    },
    NotHeld {
        agent: usize,
        life: u64,
        number: u64,
    },
    Submit(JobId),
    Ask(JobId),
    Cancel(JobId),
    Configure(u64),
    ReadConfig,
    Heartbeat(usize),
    Fault,
    Start(usize),
    StartAgent(usize),
    StartWorker(usize),
    Heal(SocketAddr),
}

#[derive(Debug, Clone)]
enum Call {
    Hold(PollCall),
    Start(StartCall),
    Stop(StopCall),
}

#[derive(Debug, Clone, Copy)]
enum Question {
    Submit(JobId),
    Query(JobId),
    Cancel,
    Configure(u64),
    /// The newest version that was acknowledged when the question was sent.
    Read(u64),
}

struct Machine {
    node: Option<Node>,
    life: u64,
    disk: bool,
    id: NodeId,
    /// Records that were written, and how many of them are durable.
    written: Vec<StorageWrite>,
    durable: usize,
    disk_free: Timestamp,
    frozen: Timestamp,
    first: bool,
}

struct Side {
    agent: Option<Agent>,
    life: u64,
    worker: Worker,
    beat: u64,
    frozen: Timestamp,
}

/// How large a run is and what goes wrong in it.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) jobs: u64,
    /// Share of volatile jobs.
    pub(crate) volatile: f64,
    pub(crate) faults: u32,
    /// Kinds of faults to draw from.
    pub(crate) kinds: &'static [u32],
    /// Share of orders to workers that are carried out seconds later.
    pub(crate) late: f64,
    pub(crate) sabotage: Sabotage,
}

pub(crate) struct World {
    plan: Plan,
    now: Timestamp,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    slots: BTreeMap<usize, Event>,
    next_event: usize,
    machines: Vec<Machine>,
    sides: Vec<Side>,
    cut: BTreeSet<SocketAddr>,
    links: BTreeMap<(SocketAddr, SocketAddr), Timestamp>,
    questions: BTreeMap<u64, (Question, usize, Timestamp)>,
    next_token: u64,
    pub(crate) check: Checker,
    version: u64,
    quiet: bool,
    /// Nodes that processes are told of at their start.
    seeds: Vec<usize>,
    /// When a disk was lost last.
    wiped: Timestamp,
}

fn node_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7_000))
}

fn agent_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n as u8 + 1], 7_001))
}

impl World {
    pub(crate) fn new(plan: Plan) -> World {
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            plan,
            now: Timestamp::from_micros(1_000_000),
            events: BinaryHeap::new(),
            slots: BTreeMap::new(),
            next_event: 0,
            machines: Vec::new(),
            sides: Vec::new(),
            cut: BTreeSet::new(),
            links: BTreeMap::new(),
            questions: BTreeMap::new(),
            next_token: 1,
            check: Checker::default(),
            version: 0,
            quiet: false,
            seeds: vec![0, 1, 2],
            wiped: Timestamp::ZERO,
        };
        for n in 0..5 {
            world.machines.push(Machine {
                node: None,
                life: 0,
                disk: n < 4,
                id: NodeId(world.rng.random()),
                written: Vec::new(),
                durable: 0,
                disk_free: Timestamp::ZERO,
                frozen: Timestamp::ZERO,
                first: true,
            });
            world.start_node(n);
        }
        for n in 0..4 {
            let mut worker = Worker::new(world.now, 1, 8_000);
            worker.ignores_fencing = world.plan.sabotage == Sabotage::LaxWorkers;
            let frozen = Timestamp::ZERO;
            world.sides.push(Side {
                agent: None,
                life: 0,
                worker,
                beat: 0,
                frozen,
            });
            world.start_agent(n);
            world.schedule(Duration::from_millis(20 * n as u64), Event::Heartbeat(n));
        }
        world.schedule(STEP, Event::Tick);
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let slot = self.next_event;
        self.next_event += 1;
        let order: u64 = slot as u64;
        self.events.push(Reverse((self.now + after, order, slot)));
        self.slots.insert(slot, event);
    }

    fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(low..high))
    }

    fn clock(&self) -> Clock {
        Clock {
            now: self.now,
            wall_ms: 1_700_000_000_000 + self.now.as_micros() / 1_000,
        }
    }

    /// The agents' clock, which a sabotaged run slows down.
    fn agent_now(&self) -> Timestamp {
        match self.plan.sabotage {
            Sabotage::SlowAgents => Timestamp::from_micros(self.now.as_micros() / 4),
            _ => self.now,
        }
    }

    fn start_node(&mut self, n: usize) {
        let seeds = self.seeds.iter().copied().map(node_address).collect();
        let clock = self.clock();
        let seed = self.rng.random();
        let machine = &mut self.machines[n];
        machine.life += 1;
        let (mut hard, mut log, mut snapshot) = (HardState::default(), Log::default(), None);
        for write in &machine.written[..machine.durable] {
            match write.clone() {
                StorageWrite::HardState(new) => hard = new,
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
            has_disk: machine.disk,
            bootstrap: machine.first,
            seeds,
            voter_count: 3,
            min_resubmit_delay: RESEND,
        };
        machine.first = false;
        let raft = Raft::new(machine.id, hard, log, clock.now, seed);
        machine.node =
            Some(Node::new(options, raft, snapshot, clock).expect("the state is readable"));
    }

    fn start_agent(&mut self, n: usize) {
        let seeds = self.seeds.iter().copied().map(node_address).collect();
        let session = self.rng.random();
        let side = &mut self.sides[n];
        side.life += 1;
        side.agent = Some(Agent::new(agent_address(n), session, seeds));
    }

    /// Runs until `end`.
    pub(crate) fn run(&mut self, end: Timestamp) {
        while let Some(Reverse((at, _, slot))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, slot as u64, slot)));
                break;
            }
            self.now = at;
            crate::NOW.set(at.as_micros());
            for side in &mut self.sides {
                side.worker.advance(at);
                self.check
                    .completed_tasks
                    .extend(side.worker.completed_tasks.drain(..));
            }
            let event = self.slots.remove(&slot).expect("the event is kept");
            self.handle(event);
            if !self.check.violations.is_empty() {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    /// The whole plan: a calm start, faults under traffic, and a calm end in which everything must finish.
    pub(crate) fn play(&mut self) {
        let second = Duration::from_secs(1);
        self.schedule(3 * second, Event::Configure(1));
        for n in 0..self.plan.jobs {
            let id = JobId(0x1000 + n);
            let at = 4 * second + self.millis(0, 16_000);
            self.schedule(at, Event::Submit(id));
        }
        for _ in 0..self.plan.faults {
            let at = 5 * second + self.millis(0, 14_000);
            self.schedule(at, Event::Fault);
        }
        for n in 0..4 {
            let at = 5 * second + self.millis(0, 14_000);
            self.schedule(at, Event::Configure(2 + 3 * n));
            let at = 5 * second + self.millis(0, 14_000);
            self.schedule(at, Event::ReadConfig);
        }
        self.run(self.now + 24 * second);
        self.quiet = true;
        self.run(self.now + 16 * second);
        let stored: Vec<JobId> = self
            .check
            .jobs
            .iter()
            .filter(|(_, s)| !s.spec.volatile)
            .map(|(id, _)| *id)
            .collect();
        for id in stored {
            self.schedule(Duration::ZERO, Event::Ask(id));
        }
        self.schedule(Duration::ZERO, Event::ReadConfig);
        self.run(self.now + 2 * second);
        if self.check.violations.is_empty() {
            self.check.finish();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Deliver {
                from,
                to,
                peer,
                life,
            } => self.deliver(from, to, *peer, life),
            Event::Stored {
                node,
                life,
                writes,
                last,
                after,
            } => {
                self.stored(node, life, writes, last, after);
            }
            // A call that is carried out late ends with the life of the worker that has received it.
            Event::Call {
                agent,
                late: Some(born),
                ..
            } if self.sides[agent].worker.incarnation != born => {}
            Event::Call {
                agent,
                life,
                call,
                late,
            } => {
                self.call(agent, life, call, late.is_some());
            }
            Event::Started {
                agent: n,
                life,
                call,
                answer,
            } if self.sides[n].frozen > self.now => {
                let thaw = self.sides[n].frozen - self.now;
                self.schedule(
                    thaw,
                    Event::Started {
                        agent: n,
                        life,
                        call,
                        answer,
                    },
                );
            }
            Event::Started {
                agent,
                life,
                call,
                answer,
            } => {
                let now = self.agent_now();
                if let Some(agent) = self.agent(agent, life) {
                    agent.on_start_reply(now, call.task, call.run, answer);
                }
                self.drain_agent(agent);
            }
            Event::Held {
                agent,
                life,
                call,
                until,
            } => self.held(agent, life, call, until),
            Event::NotHeld {
                agent: n,
                life,
                number,
            } if self.sides[n].frozen > self.now => {
                let thaw = self.sides[n].frozen - self.now;
                self.schedule(
                    thaw,
                    Event::NotHeld {
                        agent: n,
                        life,
                        number,
                    },
                );
            }
            Event::NotHeld {
                agent,
                life,
                number,
            } => {
                let now = self.agent_now();
                if let Some(agent) = self.agent(agent, life) {
                    agent.on_poll_reply(now, number, None);
                }
                self.drain_agent(agent);
            }
            Event::Submit(id) => self.submit(id),
            Event::Ask(id) => {
                let path = format!("{PREFIX}{id}");
                self.ask(
                    Question::Query(id),
                    Request::Query {
                        host: HOST.to_owned(),
                        path,
                    },
                );
            }
            Event::Cancel(id) => {
                self.check
                    .jobs
                    .get_mut(&id)
                    .expect("the job was sent")
                    .cancel_requested = true;
                let path = format!("{PREFIX}{id}");
                self.ask(
                    Question::Cancel,
                    Request::Cancel {
                        host: HOST.to_owned(),
                        path,
                    },
                );
            }
            Event::Configure(version) => self.configure(version),
            Event::ReadConfig => {
                let known = self.check.acknowledged_config_version;
                self.ask(Question::Read(known), Request::ReadConfig);
            }
            Event::Heartbeat(n) => self.heartbeat(n),
            Event::Fault => self.fault(),
            Event::Start(n) => self.start_node(n),
            Event::StartAgent(n) => self.start_agent(n),
            Event::StartWorker(n) => {
                let born = self.sides[n].worker.incarnation + 1;
                let lax = self.sides[n].worker.ignores_fencing;
                self.sides[n].worker = Worker::new(self.now, born, 8_000);
                self.sides[n].worker.ignores_fencing = lax;
                self.sides[n].beat = 0;
            }
            Event::Heal(address) => {
                self.cut.remove(&address);
            }
        }
    }

    fn agent(&mut self, n: usize, life: u64) -> Option<&mut Agent> {
        let now = self.now;
        let side = self
            .sides
            .get_mut(n)
            .filter(|s| s.life == life && s.frozen <= now)?;
        side.agent.as_mut()
    }

    fn tick(&mut self) {
        let clock = self.clock();
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            if machine.frozen <= clock.now
                && let Some(node) = &mut machine.node
                && node.next_tick() <= clock.now
            {
                node.tick(clock);
            }
            self.drain_node(n);
        }
        let now = self.agent_now();
        for n in 0..self.sides.len() {
            let side = &mut self.sides[n];
            if side.frozen <= self.now
                && let Some(agent) = &mut side.agent
            {
                agent.tick(now);
            }
            self.drain_agent(n);
        }
        let late: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, (_, _, at))| *at + PATIENCE < clock.now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.answered(token, &Answer::OutcomeUnknown, true);
        }
        self.schedule(STEP, Event::Tick);
    }
}
