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
        Action as AgentAction, Agent, CALL_LIMIT, Heartbeat, HoldCall, HoldEnd, StartCall, Started,
        StopCall,
    },
    job::{JobId, JobSpec, Policy, Queue, QueueSet, Resources, Step},
    message::{Answer, Peer, Request},
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, NodeId, Raft, Write, log::Position, log::Snapshot},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    check::{Check, Sent},
    worker::{Run, Worker},
};

/// Every kind of fault.
pub(crate) const ALL_FAULTS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
const POOL: &str = "pool";
const HOST: &str = "host";
const PREFIX: &str = "/q/";
const SYNC: Duration = Duration::from_millis(9);
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
    /// Agents believe that less time passes than does, so their leases last too long.
    SlowAgents,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: SocketAddr,
        to: SocketAddr,
        peer: Box<Peer>,
        life: u64,
    },
    Stored {
        node: usize,
        life: u64,
        writes: usize,
        last: Position,
        after: Vec<(SocketAddr, Peer)>,
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
        answer: Started,
    },
    Held {
        agent: usize,
        life: u64,
        call: HoldCall,
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
    Hold(HoldCall),
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
    written: Vec<Write>,
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
    pub(crate) check: Check,
    version: u64,
    quiet: bool,
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
            check: Check::default(),
            version: 0,
            quiet: false,
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
            worker.lax = world.plan.sabotage == Sabotage::LaxWorkers;
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
            wall: 1_700_000_000_000 + self.now.as_micros() / 1_000,
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
        let seeds = (0..3).map(node_address).collect();
        let clock = self.clock();
        let seed = self.rng.random();
        let machine = &mut self.machines[n];
        machine.life += 1;
        let (mut hard, mut log, mut snapshot) = (HardState::default(), Log::default(), None);
        for write in &machine.written[..machine.durable] {
            match write.clone() {
                Write::Hard(new) => hard = new,
                Write::Entry(entry) => log.append(entry),
                Write::Snapshot(new) => {
                    let new: Snapshot = new;
                    log = Log::after(new.last, new.members.clone());
                    snapshot = Some(new);
                }
            }
        }
        let options = Options {
            address: node_address(n),
            data_centre: format!("z{n}"),
            disk: machine.disk,
            bootstrap: machine.first,
            seeds,
            voters: 3,
        };
        machine.first = false;
        let raft = Raft::new(machine.id, hard, log, clock.now, seed);
        machine.node =
            Some(Node::new(options, raft, snapshot, clock).expect("the state is readable"));
    }

    fn start_agent(&mut self, n: usize) {
        let seeds = (0..3).map(node_address).collect();
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
                self.check.ended.extend(side.worker.done.drain(..));
            }
            let event = self.slots.remove(&slot).expect("the event is kept");
            self.handle(event);
            if !self.check.broken.is_empty() {
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
        if self.check.broken.is_empty() {
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
            } if self.sides[agent].worker.born != born => {}
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
                    agent.started(now, call.task, call.run, answer);
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
                    agent.held(now, number, None);
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
                    .cancelled = true;
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
                let known = self.check.acknowledged;
                self.ask(Question::Read(known), Request::ReadConfig);
            }
            Event::Heartbeat(n) => self.heartbeat(n),
            Event::Fault => self.fault(),
            Event::Start(n) => self.start_node(n),
            Event::StartAgent(n) => self.start_agent(n),
            Event::StartWorker(n) => {
                let born = self.sides[n].worker.born + 1;
                let lax = self.sides[n].worker.lax;
                self.sides[n].worker = Worker::new(self.now, born, 8_000);
                self.sides[n].worker.lax = lax;
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
            self.answered(token, &Answer::Unclear, true);
        }
        self.schedule(STEP, Event::Tick);
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, peer: Peer) {
        // Messages of one pair arrive in order.
        let delay = Duration::from_micros(self.rng.random_range(300..2_500));
        let link = self.links.entry((from, to)).or_insert(Timestamp::ZERO);
        let at = (self.now + delay).max(*link + Duration::from_micros(1));
        *link = at;
        let life = self.life_of(to);
        let event = Event::Deliver {
            from,
            to,
            peer: Box::new(peer),
            life,
        };
        self.schedule(at - self.now, event);
    }

    fn life_of(&self, address: SocketAddr) -> u64 {
        let node = (0..self.machines.len()).find(|n| node_address(*n) == address);
        let agent = (0..self.sides.len()).find(|n| agent_address(*n) == address);
        node.map(|n| self.machines[n].life)
            .or_else(|| agent.map(|n| self.sides[n].life))
            .expect("the address exists")
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, peer: Peer, life: u64) {
        if self.cut.contains(&from) || self.cut.contains(&to) || self.life_of(to) != life {
            return;
        }
        let clock = self.clock();
        if let Some(n) = (0..self.machines.len()).find(|n| node_address(*n) == to) {
            let frozen = self.machines[n].frozen;
            if frozen > self.now {
                // What arrives meanwhile waits in the socket.
                let event = Event::Deliver {
                    from,
                    to,
                    peer: Box::new(peer),
                    life,
                };
                return self.schedule(frozen - self.now, event);
            }
            if let Some(node) = &mut self.machines[n].node {
                node.on_peer(clock, peer);
            }
            self.drain_node(n);
        } else {
            let n = (0..self.sides.len())
                .find(|n| agent_address(*n) == to)
                .expect("an agent");
            let frozen = self.sides[n].frozen;
            if frozen > self.now {
                let event = Event::Deliver {
                    from,
                    to,
                    peer: Box::new(peer),
                    life,
                };
                return self.schedule(frozen - self.now, event);
            }
            let now = self.agent_now();
            if let Some(agent) = &mut self.sides[n].agent {
                agent.on_peer(now, peer);
            }
            self.drain_agent(n);
        }
    }

    fn drain_node(&mut self, n: usize) {
        loop {
            let Some(node) = &mut self.machines[n].node else {
                return;
            };
            let actions = node.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, peer) if to == node_address(n) => {
                        let clock = self.clock();
                        self.machines[n].node.as_mut().unwrap().on_peer(clock, peer);
                    }
                    Action::Send(to, peer) => self.send(node_address(n), to, peer),
                    Action::Reply(token, answer) => self.answered(token, &answer, false),
                    Action::Store {
                        writes,
                        last,
                        after,
                    } => {
                        let now = self.now;
                        let machine = &mut self.machines[n];
                        machine.written.extend(writes);
                        let free = machine.disk_free.max(now) + SYNC;
                        machine.disk_free = free;
                        let (life, writes) = (machine.life, machine.written.len());
                        let early = self.plan.sabotage == Sabotage::SkipSync;
                        let delay = if early { Duration::ZERO } else { free - now };
                        self.schedule(
                            delay,
                            Event::Stored {
                                node: n,
                                life,
                                writes,
                                last,
                                after,
                            },
                        );
                    }
                }
            }
        }
    }

    fn stored(
        &mut self,
        n: usize,
        life: u64,
        writes: usize,
        last: Position,
        after: Vec<(SocketAddr, Peer)>,
    ) {
        let clock = self.clock();
        let skip = self.plan.sabotage == Sabotage::SkipSync;
        let machine = &mut self.machines[n];
        if machine.life != life || machine.node.is_none() {
            return;
        }
        if !skip {
            machine.durable = machine.durable.max(writes);
        }
        machine.node.as_mut().unwrap().stored(clock, last);
        for (to, peer) in after {
            if to == node_address(n) {
                self.machines[n].node.as_mut().unwrap().on_peer(clock, peer);
            } else {
                self.send(node_address(n), to, peer);
            }
        }
        self.drain_node(n);
    }

    fn drain_agent(&mut self, n: usize) {
        let life = self.sides[n].life;
        let Some(agent) = &mut self.sides[n].agent else {
            return;
        };
        for action in agent.take_actions() {
            let call = match action {
                AgentAction::Send(to, peer) => {
                    self.send(agent_address(n), to, peer);
                    continue;
                }
                AgentAction::Hold(call) => Call::Hold(call),
                AgentAction::Start(call) => Call::Start(call),
                AgentAction::Stop(call) => Call::Stop(call),
            };
            if let Call::Hold(call) = &call {
                // Without effect if the answer comes before.
                let (number, limit) = (call.number, call.wait + CALL_LIMIT);
                self.schedule(
                    limit,
                    Event::NotHeld {
                        agent: n,
                        life,
                        number,
                    },
                );
            }
            let late = self.rng.random_bool(self.plan.late) && !self.quiet;
            if late {
                if let Call::Start(start) = &call {
                    let (call, answer) = (start.clone(), Started::Unclear);
                    let limit = CALL_LIMIT;
                    self.schedule(
                        limit,
                        Event::Started {
                            agent: n,
                            life,
                            call,
                            answer,
                        },
                    );
                }
                let after = self.millis(2_000, 6_000);
                let late = Some(self.sides[n].worker.born);
                self.schedule(
                    after,
                    Event::Call {
                        agent: n,
                        life,
                        call,
                        late,
                    },
                );
            } else {
                let after = Duration::from_micros(self.rng.random_range(100..800));
                self.schedule(
                    after,
                    Event::Call {
                        agent: n,
                        life,
                        call,
                        late: None,
                    },
                );
            }
        }
    }

    /// The worker carries out a call.
    fn call(&mut self, n: usize, life: u64, call: Call, late: bool) {
        if !self.sides[n].worker.up {
            // The connection is reset.
            if let Call::Hold(call) = &call {
                let number = call.number;
                return self.handle(Event::NotHeld {
                    agent: n,
                    life,
                    number,
                });
            }
            if let (Call::Start(call), false) = (call, late) {
                let answer = Started::Unclear;
                self.schedule(
                    CALL_LIMIT,
                    Event::Started {
                        agent: n,
                        life,
                        call,
                        answer,
                    },
                );
            }
            return;
        }
        match call {
            Call::Start(call) => {
                let answer = self.begin(n, &call);
                if !late {
                    let after = Duration::from_micros(300);
                    self.schedule(
                        after,
                        Event::Started {
                            agent: n,
                            life,
                            call,
                            answer,
                        },
                    );
                }
            }
            Call::Stop(call) => self.sides[n].worker.stop(self.now, &call),
            Call::Hold(call) => {
                let Some(taken) = self.sides[n].worker.hold(self.now, &call) else {
                    return;
                };
                for end in taken {
                    self.check.noted(n, &self.sides[n].worker, end);
                }
                let until = self.now + call.wait;
                if !late {
                    self.held(n, life, call, until);
                }
            }
        }
    }

    fn begin(&mut self, n: usize, call: &StartCall) -> Started {
        let known = self.sides[n]
            .worker
            .runs
            .get(&call.task)
            .is_some_and(|r| r.run == call.run);
        let answer = self.sides[n].worker.check(self.now, call);
        if answer != Started::Yes || known {
            return answer;
        }
        let workers: Vec<&Worker> = self.sides.iter().map(|s| &s.worker).collect();
        self.check.start(self.now, n, &workers, call.task);
        let Some(sent) = self.check.jobs.get(&call.task.job) else {
            return answer;
        };
        let needs = sent.spec.steps[usize::from(call.task.step)].needs;
        let how = if self.rng.random_bool(0.03) {
            HoldEnd::Failed
        } else {
            HoldEnd::Done
        };
        let end = self.now + self.millis(20, 400);
        let run = Run {
            run: call.run,
            end,
            how,
            needs,
        };
        let worker = &mut self.sides[n].worker;
        log::debug!("worker {n} begins task={} run={}", call.task, call.run);
        worker.begin(self.now, call, run);
        let used: u32 = worker.runs.values().map(|r| r.needs.cpu).sum();
        if used > worker.capacity.cpu {
            self.check
                .broken
                .push(format!("LIMIT: worker {n} uses {used}"));
        }
        answer
    }

    /// Answers a look once there is an end or its wait is over.
    fn held(&mut self, n: usize, life: u64, call: HoldCall, until: Timestamp) {
        let worker = &self.sides[n].worker;
        if !worker.up {
            let number = call.number;
            return self.handle(Event::NotHeld {
                agent: n,
                life,
                number,
            });
        }
        if worker.ends.is_empty() && self.now < until {
            return self.schedule(
                STEP,
                Event::Held {
                    agent: n,
                    life,
                    call,
                    until,
                },
            );
        }
        let frozen = self.sides[n].frozen;
        if frozen > self.now {
            return self.schedule(
                frozen - self.now,
                Event::Held {
                    agent: n,
                    life,
                    call,
                    until,
                },
            );
        }
        let view = self.sides[n].worker.view(self.now);
        let now = self.agent_now();
        if let Some(agent) = self.agent(n, life) {
            agent.held(now, call.number, Some(view));
            agent.tick(now);
        }
        self.drain_agent(n);
    }

    fn heartbeat(&mut self, n: usize) {
        let now = self.agent_now();
        let side = &mut self.sides[n];
        if side.worker.up && side.frozen <= self.now {
            side.beat += 1;
            let beat = Heartbeat {
                id: format!("w{n}"),
                born: Some(side.worker.born),
                sequence: side.beat,
                pool: POOL.to_owned(),
                capacity: side.worker.capacity,
                labels: Vec::new(),
                draining: false,
            };
            if let Some(agent) = &mut side.agent {
                agent.heartbeat(now, beat);
            }
        }
        self.schedule(BEAT, Event::Heartbeat(n));
    }

    /// Asks a random node that runs.
    fn ask(&mut self, question: Question, request: Request) {
        let n = self.rng.random_range(0..self.machines.len());
        let token = self.next_token;
        self.next_token += 1;
        self.questions.insert(token, (question, n, self.now));
        let clock = self.clock();
        let machine = &mut self.machines[n];
        match &mut machine.node {
            Some(node) if machine.frozen <= clock.now => {
                node.request(clock, token, request, PATIENCE);
                self.drain_node(n);
            }
            // Nobody answers; the caller gives up at the end of its patience.
            _ => {}
        }
    }

    fn submit(&mut self, id: JobId) {
        if !self.check.jobs.contains_key(&id) {
            let volatile = self.rng.random_bool(self.plan.volatile);
            let spec = self.draw_job(volatile);
            let sent = Sent {
                spec,
                attempts: 3,
                unclear: 0,
                refused: 0,
                accepted: false,
                cancelled: false,
                ended: None,
            };
            self.check.jobs.insert(id, sent);
        }
        let spec = self.check.jobs[&id].spec.clone();
        let (host, path) = (HOST.to_owned(), format!("{PREFIX}{id}"));
        self.ask(
            Question::Submit(id),
            Request::Submit {
                host,
                path,
                spec,
                age: 0,
            },
        );
    }

    fn draw_job(&mut self, volatile: bool) -> JobSpec {
        let steps = self.rng.random_range(1..3u16);
        let steps = (0..steps).map(|n| Step {
            count: self.rng.random_range(1..6),
            needs: Resources {
                cpu: self.rng.random_range(500..3_000),
                memory: 64,
                gpu: 0,
            },
            estimate: 200,
            after: if n > 0 { vec![n - 1] } else { Vec::new() },
            ..Step::default()
        });
        JobSpec {
            payload: "work".to_owned(),
            steps: steps.collect(),
            volatile,
        }
    }

    fn configure(&mut self, version: u64) {
        self.version = self.version.max(version);
        let queue = Queue {
            name: "q".to_owned(),
            host: HOST.to_owned(),
            prefix: PREFIX.to_owned(),
            pool: POOL.to_owned(),
            policy: Policy {
                priority: 0,
                attempts: 3,
                stretch: 20.0,
                goal: 20_000,
            },
        };
        let set = QueueSet {
            version,
            queues: vec![queue],
            text: version.to_string(),
        };
        self.ask(Question::Configure(version), Request::Configure(set));
    }

    fn answered(&mut self, token: u64, answer: &Answer, gone: bool) {
        let Some((question, n, _)) = self.questions.remove(&token) else {
            return;
        };
        if gone {
            let clock = self.clock();
            let machine = &mut self.machines[n];
            if machine.frozen <= clock.now
                && let Some(node) = &mut machine.node
            {
                node.withdraw(clock, token);
            }
        }
        match question {
            Question::Submit(id) => {
                self.check.answered(id, answer);
                let sent = &self.check.jobs[&id];
                let open = !sent.accepted && sent.ended.is_none();
                if matches!(answer, Answer::Unclear) && open {
                    self.schedule(RESEND, Event::Submit(id));
                }
                if matches!(answer, Answer::Accepted) && self.rng.random_bool(0.05) {
                    let after = self.millis(1, 300);
                    self.schedule(after, Event::Cancel(id));
                }
            }
            Question::Query(id) => self.check.shown(id, answer),
            Question::Cancel => {}
            Question::Configure(version) => match answer {
                Answer::Configured => {
                    self.check.acknowledged = self.check.acknowledged.max(version);
                }
                _ => self.schedule(Duration::from_millis(500), Event::Configure(version)),
            },
            Question::Read(known) => {
                if let Answer::Config(text) = answer {
                    let version: u64 = text.parse().unwrap();
                    if version < known {
                        let text = format!("CONFIG: read {version} after {known} was acknowledged");
                        self.check.broken.push(text);
                    }
                } else if self.quiet {
                    self.schedule(Duration::from_millis(200), Event::ReadConfig);
                }
            }
        }
    }

    fn stop_node(&mut self, n: usize, power: bool) {
        let machine = &mut self.machines[n];
        machine.life += 1;
        machine.node = None;
        if power {
            machine.written.truncate(machine.durable);
        } else {
            // The files of a killed process stay as they were.
            machine.durable = machine.written.len();
        }
        machine.disk_free = Timestamp::ZERO;
        let gone: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, (_, at, _))| *at == n)
            .map(|(t, _)| *t)
            .collect();
        for token in gone {
            self.answered(token, &Answer::Unclear, false);
        }
        for other in 0..self.machines.len() {
            let clock = self.clock();
            if let Some(node) = &mut self.machines[other].node {
                node.link_lost(clock, node_address(n), !power);
            }
            self.drain_node(other);
        }
    }

    /// Wipes the disk of a machine whose data others hold, one at a time.
    fn wipe(&mut self, n: usize) {
        self.wiped = self.now;
        self.stop_node(n, true);
        let machine = &mut self.machines[n];
        machine.written.clear();
        machine.durable = 0;
        if self.plan.sabotage != Sabotage::KeepIdentity {
            machine.id = NodeId(self.rng.random());
        }
        let after = self.millis(100, 1_500);
        self.schedule(after, Event::Start(n));
    }

    fn fault(&mut self) {
        let n = self.rng.random_range(0..self.machines.len());
        let side = self.rng.random_range(0..self.sides.len());
        let kind = self.plan.kinds[self.rng.random_range(0..self.plan.kinds.len())];
        log::debug!("fault kind={kind} node={n} side={side}");
        match kind {
            0 | 1 if self.machines[n].node.is_some() => {
                self.stop_node(n, false);
                let after = self.millis(50, 1_500);
                self.schedule(after, Event::Start(n));
            }
            2 if self.machines.iter().all(|m| m.node.is_some()) => {
                // All lose power at once.
                for n in 0..self.machines.len() {
                    self.stop_node(n, true);
                    let after = self.millis(200, 900);
                    self.schedule(after, Event::Start(n));
                }
            }
            3 => {
                let spell = self.millis(300, 4_000);
                self.machines[n].frozen = self.now + spell;
            }
            4 => {
                let spell = self.millis(300, 4_000);
                self.cut.insert(node_address(n));
                self.schedule(spell, Event::Heal(node_address(n)));
            }
            5 => {
                let spell = self.millis(300, 4_000);
                self.cut.insert(agent_address(side));
                self.schedule(spell, Event::Heal(agent_address(side)));
            }
            6 => {
                self.sides[side].life += 1;
                self.sides[side].agent = None;
                let after = self.millis(50, 1_500);
                self.schedule(after, Event::StartAgent(side));
            }
            7 => {
                let spell = self.millis(300, 4_000);
                self.sides[side].frozen = self.now + spell;
            }
            8 => {
                let worker = &mut self.sides[side].worker;
                worker.up = false;
                worker.runs.clear();
                let after = self.millis(100, 2_000);
                self.schedule(after, Event::StartWorker(side));
            }
            _ => {
                let whole = self
                    .machines
                    .iter()
                    .all(|m| m.node.is_some() && m.frozen <= self.now);
                let ids: Vec<NodeId> = self.machines.iter().map(|m| m.id).collect();
                let leaders = self.machines.iter().filter_map(|m| m.node.as_ref());
                let replaced = |n: &Node| {
                    let members = n.raft().members();
                    members.len() == 3 && members.iter().all(|m| ids.contains(&m.id))
                };
                // The loss of one disk is to be borne, the next one only after its replacement.
                let settled = leaders.filter(|n| n.is_serving()).any(replaced)
                    && self.wiped + WIPE_GAP <= self.now;
                if whole && settled && self.machines[n].disk {
                    self.wipe(n);
                }
            }
        }
    }
}
