//! Workers, callers and the scheduler of a leader, without a network. Jobs arrive at random, run for as long as the
//! plan says, and are counted by their outcome.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{Dispatcher, Limits, Submission, VolatileOutcome},
    job::{JobId, JobSpec, Policy, Queue, Resources, Step, TaskId},
    message::{
        AgentReport, Announce, Order, RunEvent, RunId, RunOutcome, RunStatus, SlowRun, WorkerInfo,
    },
    state::{Command, ReplicatedState},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Delay of a message between the leader and an agent, with the call to the worker.
pub(crate) const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Interval between two reports of an agent.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time over which jobs arrive.
pub(crate) const LOAD_DURATION: Duration = Duration::from_secs(8);
pub(crate) const WORKER_MILLICORES: u32 = 64_000;
pub(crate) const GOAL_FACTOR: f64 = 1.6;
pub(crate) const GOAL_SLACK_MS: f64 = 60.0;
/// How long callers wait at least, in milliseconds.
pub(crate) const DEADLINE_MS: f64 = 1_500.0;

/// A kind of job: tasks, mean run time of a task, millicores of a task, priority.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) tasks: u32,
    pub(crate) run_ms: f64,
    pub(crate) millicores: u32,
    pub(crate) priority: u8,
}

/// What a deployment with racks adds. Without racks, workers have no labels and data is everywhere.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// Workers of a rack; 0 for a deployment without racks.
    pub(crate) rack_size: usize,
    /// Factor by which a run outside the rack of its data takes longer.
    pub(crate) remote_factor: f64,
    /// Part of the jobs of the middle kind whose data is in the first rack. That of the others is anywhere.
    pub(crate) hot_part: f64,
    /// Factor by which all estimates are off.
    pub(crate) estimate_factor: f64,
}

impl Site {
    /// Site without racks, with estimates that are right on average.
    pub(crate) const PLAIN: Site = Site {
        rack_size: 0,
        remote_factor: 1.0,
        hot_part: 0.0,
        estimate_factor: 1.0,
    };
}

/// Short urgent jobs, jobs of middle length that are most of the work, and long jobs.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        tasks: 8,
        run_ms: 60.0,
        millicores: 6_200,
        priority: 0,
    },
    Kind {
        tasks: 2,
        run_ms: 200.0,
        millicores: 6_200,
        priority: 1,
    },
    Kind {
        tasks: 4,
        run_ms: 900.0,
        millicores: 6_200,
        priority: 2,
    },
];
/// Part of the offered work that belongs to each kind.
pub(crate) const WORK_PARTS: [f64; 3] = [0.21, 0.51, 0.28];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrival(usize),
    Report(usize),
    RunEnd(usize, TaskId, u64),
}

pub(crate) struct Agent {
    pub(crate) address: SocketAddr,
    pub(crate) runs: BTreeMap<TaskId, u64>,
    pub(crate) events: u64,
    pub(crate) last_orders: u64,
    pub(crate) lost: bool,
    /// Time by which the worker's runs take longer or shorter than those of others.
    pub(crate) run_time_factor: f64,
    pub(crate) labels: Vec<String>,
}

pub(crate) struct JobRecord {
    pub(crate) kind: usize,
    pub(crate) arrived_at: Timestamp,
    pub(crate) run_ms: f64,
    /// Rack of the job's data.
    pub(crate) rack: Option<String>,
}

/// What callers got, by kind of job. `in_time` counts the jobs that ended within their response-time goal.
#[derive(Debug, Default)]
pub(crate) struct Served {
    pub(crate) offered: [u32; 3],
    pub(crate) in_time: [u32; 3],
    /// Jobs that were done before the caller's deadline.
    pub(crate) done: [u32; 3],
    /// Jobs refused on arrival.
    pub(crate) refused: u32,
    /// Jobs refused after a wait.
    pub(crate) shed: u32,
    pub(crate) expired: u32,
    /// Work of all runs while jobs arrive, in millicores times milliseconds.
    pub(crate) work: f64,
    /// Starts of tasks whose data is in a rack: in that rack, and elsewhere.
    pub(crate) hot_starts: [u32; 2],
    /// Work of the offered jobs whose data is in a rack, in millicores times milliseconds.
    pub(crate) hot_work: f64,
    /// Outcome of the jobs whose data is in a rack: offered, in time.
    pub(crate) hot_jobs: [u32; 2],
}

impl Served {
    pub(crate) fn part(&self, kind: usize) -> f64 {
        f64::from(self.in_time[kind]) / f64::from(self.offered[kind].max(1))
    }
}

pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) agents: Vec<Agent>,
    pub(crate) events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    pub(crate) sequence: u64,
    pub(crate) jobs: HashMap<JobId, JobRecord>,
    pub(crate) served: Served,
    pub(crate) random: StdRng,
    pub(crate) site: Site,
}

/// Label of the workers of a rack.
pub(crate) fn rack(index: usize) -> String {
    format!("rack-{index}")
}

pub(crate) fn queue(kind: usize) -> Queue {
    Queue {
        name: format!("queue-{kind}"),
        host: "host".to_owned(),
        prefix: format!("/{kind}/"),
        pool: "pool".to_owned(),
        policy: Policy {
            priority: KINDS[kind].priority,
            max_attempts: 3,
            goal_factor: GOAL_FACTOR as f32,
            goal_slack_ms: GOAL_SLACK_MS as u32,
        },
    }
}

pub(crate) fn capacity() -> Resources {
    Resources {
        millicores: WORKER_MILLICORES,
        memory_mb: 100_000,
        gpus: 0,
    }
}

impl Fleet {
    pub(crate) fn new(workers: usize, seed: u64) -> Fleet {
        Fleet::with_site(workers, seed, Site::PLAIN)
    }

    pub(crate) fn with_site(workers: usize, seed: u64, site: Site) -> Fleet {
        let now = Timestamp::from_micros(1_000_000);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let state = ReplicatedState::default();
        let mut fleet = Fleet {
            now,
            dispatcher: Dispatcher::new(&state, address, 1, now, 0).with_limits(Limits {
                remote_factor: site.remote_factor,
                ..Limits::default()
            }),
            agents: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: HashMap::new(),
            served: Served::default(),
            random: StdRng::seed_from_u64(seed),
            site,
        };
        for index in 0..workers {
            let address = SocketAddr::from(([127, 0, 0, 1], 2_000 + index as u16));
            fleet.agents.push(Agent {
                address,
                runs: BTreeMap::new(),
                events: 0,
                last_orders: 0,
                lost: false,
                run_time_factor: 1.0,
                labels: index
                    .checked_div(site.rack_size)
                    .map(rack)
                    .into_iter()
                    .collect(),
            });
            let announce = Announce {
                address,
                session: 1,
                sent_us: now.as_micros(),
            };
            fleet.dispatcher.on_announce(now, &announce);
            fleet.push(Duration::ZERO, Event::Report(index));
        }
        fleet.commit();
        fleet
    }

    pub(crate) fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    /// Commits the commands of the scheduler at once.
    fn commit(&mut self) {
        while let Some((batch, commands)) = self.dispatcher.take_commands() {
            for command in commands {
                match command {
                    Command::RegisterAgent { address, session } => {
                        self.dispatcher.agent_registered(address, session, 1)
                    }
                    Command::DeregisterAgent { address } => {
                        self.dispatcher.agent_deregistered(address)
                    }
                    _ => {}
                }
            }
            self.dispatcher.on_batch_committed(batch);
        }
    }

    /// Returns a factor with the mean 1 that spreads by about 40%.
    fn spread(&mut self) -> f64 {
        let sum: f64 = (0..6).map(|_| self.random.random_range(-1.0..1.0f64)).sum();
        (0.28 * sum).exp() / 1.08
    }

    /// Lets jobs arrive whose work is `load` times the capacity of `workers` workers. `parts` is the part of each kind.
    pub(crate) fn offer(&mut self, load: f64, workers: usize, parts: [f64; 3]) {
        let capacity_ms = workers as f64 * f64::from(WORKER_MILLICORES);
        for (kind, part) in parts.into_iter().enumerate() {
            let Kind {
                tasks,
                run_ms,
                millicores,
                ..
            } = KINDS[kind];
            let work = f64::from(tasks) * run_ms * f64::from(millicores);
            let per_ms = capacity_ms * load * part / work;
            let mut at = 0.0;
            loop {
                at += -self.random.random_range(1e-9..1.0f64).ln() / per_ms;
                if at > LOAD_DURATION.as_millis() as f64 {
                    break;
                }
                self.push(Duration::from_secs_f64(at / 1_000.0), Event::Arrival(kind));
            }
        }
    }

    pub(crate) fn run(&mut self) {
        self.run_until(self.now + LOAD_DURATION + Duration::from_secs(4));
    }

    pub(crate) fn run_until(&mut self, end: Timestamp) {
        while let Some(next) = self.events.pop() {
            let Reverse((at, _, event)) = next;
            if at > end {
                self.events.push(Reverse((at, next.0.1, event)));
                break;
            }
            self.now = at;
            match event {
                Event::Arrival(kind) => self.arrive(kind),
                Event::Report(agent) => self.report(agent, None),
                Event::RunEnd(agent, task, run) => self.end_run(agent, task, run),
            }
            self.step();
        }
    }

    /// Lets the scheduler work after an input, as a node does.
    pub(crate) fn step(&mut self) {
        if self.dispatcher.next_tick() <= self.now {
            self.dispatcher.tick(self.now);
        }
        self.dispatcher.place(self.now);
        self.commit();
        self.deliver();
        self.count_finished();
    }

    fn arrive(&mut self, kind: usize) {
        let Kind { tasks, run_ms, .. } = KINDS[kind];
        let id = JobId(self.random.random());
        let run_ms = run_ms * self.spread();
        let estimate = run_ms * self.spread() * self.site.estimate_factor;
        let count = (f64::from(tasks) * self.spread()).round().max(1.0) as u32;
        let is_hot = kind == 1 && self.site.hot_part > 0.0;
        let rack = (is_hot && self.random.random_bool(self.site.hot_part)).then(|| rack(0));
        let step = Step {
            count,
            needs: Resources {
                millicores: KINDS[kind].millicores,
                memory_mb: 64,
                gpus: 0,
            },
            estimate_ms: estimate as u32,
            rack: rack.clone(),
            ..Step::default()
        };
        self.served.offered[kind] += 1;
        if rack.is_some() {
            self.served.hot_jobs[0] += 1;
            self.served.hot_work += run_ms * f64::from(count * KINDS[kind].millicores);
        }
        if !self.submit(id, kind, step, run_ms) {
            self.served.refused += 1;
        }
    }

    /// Submits a job of one step, whose tasks run for `run_ms` on a worker of normal speed in the rack of the data.
    /// Returns whether it is accepted.
    pub(crate) fn submit(&mut self, id: JobId, kind: usize, step: Step, run_ms: f64) -> bool {
        let rack = step.rack.clone();
        let spec = JobSpec {
            payload: String::new(),
            steps: vec![step],
            volatile: true,
        };
        let queue = queue(kind);
        let rejection = self
            .dispatcher
            .rejection(self.now, &queue, id, &spec, Duration::ZERO);
        if rejection.is_some() {
            return false;
        }
        let record = JobRecord {
            kind,
            arrived_at: self.now,
            run_ms,
            rack,
        };
        self.jobs.insert(id, record);
        let submission = Submission {
            age: Duration::ZERO,
            resubmitted: false,
        };
        self.dispatcher
            .submit(self.now, id, &queue, &Arc::new(spec), submission);
        true
    }

    pub(crate) fn report(&mut self, index: usize, event: Option<RunEvent>) {
        self.report_slow(index, event, Vec::new());
    }

    /// Reports with runs that are far slower than expected.
    pub(crate) fn report_slow(
        &mut self,
        index: usize,
        event: Option<RunEvent>,
        slow: Vec<SlowRun>,
    ) {
        let agent = &self.agents[index];
        if agent.lost {
            return;
        }
        let is_periodic = event.is_none();
        let running = agent.runs.iter().map(|(task, run)| RunStatus {
            id: RunId {
                task: *task,
                run: *run,
            },
            progress_percent: 0,
            stopping: false,
            needs_known: true,
            confirmed: true,
        });
        let report = AgentReport {
            address: agent.address,
            session: 1,
            term: 1,
            sent_us: self.now.as_micros(),
            last_orders: agent.last_orders,
            first_event: agent.events + 1 - event.iter().count() as u64,
            last_event: agent.events,
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: "pool".to_owned(),
                capacity: capacity(),
                labels: agent.labels.clone(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: is_periodic.then(|| running.collect()),
            undecided: Vec::new(),
            events: event.into_iter().collect(),
            slow,
            unanswered_starts: 0,
        };
        self.dispatcher.on_report(self.now, report);
        if is_periodic {
            self.push(REPORT_INTERVAL, Event::Report(index));
        }
    }

    pub(crate) fn end_run(&mut self, index: usize, task: TaskId, run: u64) {
        let agent = &mut self.agents[index];
        if agent.runs.get(&task) != Some(&run) {
            return;
        }
        agent.runs.remove(&task);
        agent.events += 1;
        let event = RunEvent {
            seq: agent.events,
            task,
            run,
            outcome: RunOutcome::Done,
            elapsed_ms: self.run_ms(index, task) as u32,
        };
        self.report(index, Some(event));
    }

    fn deliver(&mut self) {
        for (address, orders) in self.dispatcher.take_orders() {
            let found = self.agents.iter().position(|a| a.address == address);
            let index = found.expect("the agent must be known");
            self.agents[index].last_orders = orders.number;
            for order in orders.orders {
                match order {
                    Order::Start { task, run, .. } if !self.agents[index].lost => {
                        self.agents[index].runs.insert(task, run);
                        self.check_capacity(index);
                        self.count_hot_start(index, task);
                        let run_ms = self.run_ms(index, task);
                        if self.now < Timestamp::from_micros(1_000_000) + LOAD_DURATION {
                            let kind = self.jobs[&task.job].kind;
                            self.served.work += run_ms * f64::from(KINDS[kind].millicores);
                        }
                        let duration = Duration::from_secs_f64(run_ms / 1_000.0);
                        let after = duration + MESSAGE_DELAY * 2;
                        self.push(after, Event::RunEnd(index, task, run));
                    }
                    Order::Stop { task, .. } => {
                        self.agents[index].runs.remove(&task);
                    }
                    _ => {}
                }
            }
        }
    }

    fn is_remote(&self, index: usize, task: TaskId) -> bool {
        let rack = self.jobs[&task.job].rack.as_ref();
        rack.is_some_and(|rack| !self.agents[index].labels.contains(rack))
    }

    /// Returns how long a task runs at this agent.
    fn run_ms(&self, index: usize, task: TaskId) -> f64 {
        let factor = match self.is_remote(index, task) {
            true => self.site.remote_factor,
            false => 1.0,
        };
        self.jobs[&task.job].run_ms * self.agents[index].run_time_factor * factor
    }

    fn count_hot_start(&mut self, index: usize, task: TaskId) {
        if self.jobs[&task.job].rack.is_some() {
            self.served.hot_starts[usize::from(self.is_remote(index, task))] += 1;
        }
    }

    fn check_capacity(&self, index: usize) {
        let runs = self.agents[index].runs.keys();
        let used: u32 = runs.map(|t| KINDS[self.jobs[&t.job].kind].millicores).sum();
        assert!(
            used <= WORKER_MILLICORES,
            "worker {index} runs {used} millicores"
        );
    }

    fn count_finished(&mut self) {
        for (id, outcome) in self.dispatcher.take_finished() {
            let job = &self.jobs[&id];
            let took_ms = self.now.since(job.arrived_at).as_millis() as f64;
            let goal_ms = job.run_ms * GOAL_FACTOR + GOAL_SLACK_MS;
            if outcome == VolatileOutcome::Done && took_ms <= goal_ms.max(DEADLINE_MS) {
                self.served.done[job.kind] += 1;
            }
            match outcome {
                VolatileOutcome::Done if took_ms <= goal_ms => {
                    self.served.in_time[job.kind] += 1;
                    self.served.hot_jobs[1] += u32::from(job.rack.is_some());
                }
                VolatileOutcome::Refused => self.served.shed += 1,
                VolatileOutcome::Expired => self.served.expired += 1,
                _ => {}
            }
        }
    }
}
