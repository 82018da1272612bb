//! Measures what the leader spends on one placement, with 30, 100 and 300 agents and a small and a large backlog: the
//! report of an ended run, the placement of the next task and the orders message. Prints the lowest mean of several
//! rounds, since other processes only add time.
//!
//! `cargo run --release -p figdeal-queue --example placement_cost`

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{Dispatcher, Submission},
    job::{JobId, JobSpec, Policy, Queue, Resources, Step, TaskId},
    message::{AgentReport, Announce, Order, RunEvent, RunOutcome, WorkerInfo},
    state::{Command, ReplicatedState},
};

const POOL: &str = "pool";
const WORKER_MILLICORES: u32 = 16_000;
const TASK_MILLICORES: u32 = 1_300;
const ROUNDS: usize = 20;
const PLACEMENTS_PER_ROUND: u32 = 2_000;
/// Largest accepted ratio of the cost with 300 agents to that with 30.
const MAX_RATIO: f64 = 1.2;

struct Run {
    agent: usize,
    task: TaskId,
    run: u64,
}

struct Fleet {
    now: Timestamp,
    dispatcher: Dispatcher,
    /// Number of the newest event and of the newest orders of each agent.
    agents: Vec<(u64, u64)>,
    /// Runs in the order of their starts.
    runs: VecDeque<Run>,
    next_job: u64,
}

impl Fleet {
    fn new(agents: usize) -> Fleet {
        let now = Timestamp::from_micros(1_000_000);
        let state = ReplicatedState::default();
        let mut dispatcher = Dispatcher::new(&state, address(0), 1, now, 0);
        for index in 0..agents {
            let announce = Announce {
                address: address(index + 1),
                session: 1,
                sent_us: now.as_micros(),
            };
            dispatcher.on_announce(now, &announce);
        }
        while let Some((batch, commands)) = dispatcher.take_commands() {
            for command in commands {
                if let Command::RegisterAgent { address, session } = command {
                    dispatcher.agent_registered(address, session, 1);
                }
            }
            dispatcher.on_batch_committed(batch);
        }
        let mut fleet = Fleet {
            now,
            dispatcher,
            agents: vec![(0, 0); agents],
            runs: VecDeque::new(),
            next_job: 0,
        };
        for index in 0..agents {
            fleet.report(index, None);
        }
        fleet
    }

    fn report(&mut self, index: usize, event: Option<RunEvent>) {
        let is_full = event.is_none();
        let (last_event, last_orders) = self.agents[index];
        let report = AgentReport {
            address: address(index + 1),
            session: 1,
            term: 1,
            sent_us: self.now.as_micros(),
            last_orders,
            first_event: last_event + 1 - event.iter().count() as u64,
            last_event,
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: resources(WORKER_MILLICORES),
                labels: Vec::new(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: is_full.then(Vec::new),
            undecided: Vec::new(),
            events: event.into_iter().collect(),
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        assert!(self.dispatcher.on_report(self.now, report));
    }

    fn submit(&mut self, count: u32) {
        let queue = Queue {
            name: "queue".to_owned(),
            host: "host".to_owned(),
            prefix: "/".to_owned(),
            pool: POOL.to_owned(),
            policy: Policy {
                priority: 0,
                max_attempts: 3,
                goal_factor: 100.0,
                goal_slack_ms: u32::MAX,
            },
        };
        let step = Step {
            count,
            needs: resources(TASK_MILLICORES),
            estimate_ms: 60,
            ..Step::default()
        };
        let spec = JobSpec {
            steps: vec![step],
            volatile: true,
            ..JobSpec::default()
        };
        let submission = Submission {
            age: Duration::ZERO,
            resubmitted: false,
        };
        self.next_job += 1;
        let id = JobId(self.next_job);
        self.dispatcher
            .submit(self.now, id, &queue, &Arc::new(spec), submission);
    }

    /// Places what has room and takes the orders.
    fn place(&mut self) {
        self.dispatcher.place(self.now);
        for (to, orders) in self.dispatcher.take_orders() {
            let agent = usize::from(to.port() - address(0).port() - 1);
            self.agents[agent].1 = orders.number;
            for order in orders.orders {
                if let Order::Start { task, run, .. } = order {
                    self.runs.push_back(Run { agent, task, run });
                }
            }
        }
    }

    /// Ends the oldest run, so that the next task is placed.
    fn end_run(&mut self) {
        let Run { agent, task, run } = self.runs.pop_front().expect("a run must be left");
        self.agents[agent].0 += 1;
        let event = RunEvent {
            seq: self.agents[agent].0,
            task,
            run,
            outcome: RunOutcome::Done,
            elapsed_ms: 60,
        };
        self.report(agent, Some(event));
        self.place();
    }

    /// Returns the mean time of one placement in nanoseconds: each run that ends is replaced.
    fn measure(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..PLACEMENTS_PER_ROUND {
            self.end_run();
        }
        start.elapsed().as_nanos() as f64 / f64::from(PLACEMENTS_PER_ROUND)
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn resources(millicores: u32) -> Resources {
    Resources {
        millicores,
        ..Resources::default()
    }
}

/// Returns the lowest cost of a placement with a backlog of `jobs` jobs of 8 tasks on full workers.
fn full(agents: usize, jobs: usize) -> f64 {
    let mut fleet = Fleet::new(agents);
    for _ in 0..agents * 2 + jobs {
        fleet.submit(8);
    }
    fleet.place();
    let mut lowest = f64::INFINITY;
    for _ in 0..ROUNDS {
        for _ in 0..PLACEMENTS_PER_ROUND / 8 {
            fleet.submit(8);
        }
        fleet.dispatcher.place(fleet.now);
        lowest = lowest.min(fleet.measure());
    }
    lowest
}

/// Returns the lowest cost of a placement of a job of one task on workers that are half empty.
fn half_empty(agents: usize) -> f64 {
    let mut fleet = Fleet::new(agents);
    for _ in 0..agents * 6 {
        fleet.submit(1);
        fleet.place();
    }
    let mut lowest = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..PLACEMENTS_PER_ROUND {
            fleet.submit(1);
            fleet.end_run();
        }
        let mean = start.elapsed().as_nanos() as f64 / f64::from(PLACEMENTS_PER_ROUND);
        lowest = lowest.min(mean);
    }
    lowest
}

type Measurement = (&'static str, fn(usize) -> f64);

fn main() {
    let measurements: [Measurement; 3] = [
        ("full, 100 jobs wait", |agents| full(agents, 100)),
        ("full, 5,000 jobs wait", |agents| full(agents, 5_000)),
        ("half empty, none wait", half_empty),
    ];
    let mut held = true;
    for (name, measure) in measurements {
        let costs = [30, 100, 300].map(measure);
        let ratio = costs[2] / costs[0];
        held &= ratio <= MAX_RATIO;
        println!(
            "{name}: {:.0} ns with 30 agents, {:.0} ns with 100, {:.0} ns with 300, ratio {ratio:.2}",
            costs[0], costs[1], costs[2]
        );
    }
    if !held {
        println!("a ratio is over {MAX_RATIO}");
        std::process::exit(1);
    }
}
