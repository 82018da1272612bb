//! Steps that wait, the reserve and the flow of starts, played against a leader alone with agents that carry out at most
//! as many calls at a time as the real ones.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{Dispatcher, Submission, VolatileOutcome},
    job::{JobId, JobSpec, Policy, Queue, Resources, Step, TaskId},
    message::{
        AgentReport, Announce, Order, RunEvent, RunId, RunOutcome, RunStatus, StartRejection,
        WorkerInfo,
    },
    state::{Command, ReplicatedState},
};

const POOL: &str = "pool";
/// Calls that an agent makes at a time; it rejects further starts.
const MAX_CALLS: usize = 48;
/// Time until the worker has answered a call.
const CALL_TIME: Duration = Duration::from_millis(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Replies to starts after which an agent reports before the interval has passed.
const REPLIES_PER_REPORT: u32 = 16;
const STEP: Duration = Duration::from_millis(1);

/// An agent and its worker.
struct Runner {
    address: SocketAddr,
    labels: Vec<String>,
    millicores: u32,
    /// Whether all its runs fail.
    fails: bool,
    /// Number and end of each run.
    runs: BTreeMap<TaskId, (u64, Timestamp)>,
    /// Ends of the starts that the worker has not answered.
    calls: Vec<Timestamp>,
    replies: u32,
    rejected: usize,
    events: Vec<RunEvent>,
    last_event: u64,
    last_orders: u64,
    next_report: Timestamp,
}

/// A leader with its agents.
struct Leader {
    now: Timestamp,
    dispatcher: Dispatcher,
    runners: Vec<Runner>,
    /// The only step of each job.
    jobs: BTreeMap<u64, Step>,
    /// Number of starts of each job.
    starts: BTreeMap<u64, usize>,
    finished: BTreeMap<u64, VolatileOutcome>,
}

impl Leader {
    fn new() -> Leader {
        let now = Timestamp::from_micros(1_000_000);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let state = ReplicatedState::default();
        Leader {
            now,
            dispatcher: Dispatcher::new(&state, address, 1, now, 0),
            runners: Vec::new(),
            jobs: BTreeMap::new(),
            starts: BTreeMap::new(),
            finished: BTreeMap::new(),
        }
    }

    fn add_runner(&mut self, label: &str, millicores: u32) {
        let address = SocketAddr::from(([127, 0, 0, 1], 100 + self.runners.len() as u16));
        let announce = Announce {
            address,
            session: 1,
            sent_us: self.now.as_micros(),
        };
        self.dispatcher.on_announce(self.now, &announce);
        self.commit();
        self.runners.push(Runner {
            address,
            labels: vec![label.to_owned()],
            millicores,
            fails: false,
            runs: BTreeMap::new(),
            calls: Vec::new(),
            replies: 0,
            rejected: 0,
            events: Vec::new(),
            last_event: 0,
            last_orders: 0,
            next_report: self.now,
        });
        self.advance(STEP);
    }

    fn commit(&mut self) {
        while let Some((batch, commands)) = self.dispatcher.take_commands() {
            for command in commands {
                if let Command::RegisterAgent { address, session } = command {
                    self.dispatcher.agent_registered(address, session, 1);
                }
            }
            self.dispatcher.on_batch_committed(batch);
        }
    }

    fn submit(&mut self, id: u64, priority: u8, step: Step) {
        let queue = Queue {
            name: format!("queue-{priority}"),
            host: "host".to_owned(),
            prefix: format!("/{priority}/"),
            pool: POOL.to_owned(),
            policy: Policy {
                priority,
                max_attempts: 2,
                goal_factor: 2.0 + 20.0 * f32::from(priority),
                goal_slack_ms: 60_000,
            },
        };
        let spec = JobSpec {
            payload: String::new(),
            steps: vec![step.clone()],
            volatile: true,
        };
        let submission = Submission {
            age: Duration::ZERO,
            resubmitted: false,
        };
        self.jobs.insert(id, step);
        self.dispatcher
            .submit(self.now, JobId(id), &queue, &Arc::new(spec), submission);
        self.place();
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.runners.len() {
                self.end_runs(index);
                self.report(index);
            }
            if self.dispatcher.next_tick() <= self.now {
                self.dispatcher.tick(self.now);
            }
            self.place();
        }
    }

    fn place(&mut self) {
        self.dispatcher.place(self.now);
        for (address, orders) in self.dispatcher.take_orders() {
            let runner = self.runners.iter_mut().find(|r| r.address == address);
            let Some(runner) = runner else { continue };
            runner.last_orders = orders.number;
            for order in orders.orders {
                match order {
                    Order::Start { task, run, .. } if runner.calls.len() < MAX_CALLS => {
                        runner.calls.push(self.now + CALL_TIME);
                        let run_ms = u64::from(self.jobs[&task.job.0].estimate_ms);
                        let end = self.now + CALL_TIME + Duration::from_millis(run_ms);
                        runner.runs.insert(task, (run, end));
                        *self.starts.entry(task.job.0).or_default() += 1;
                    }
                    Order::Start { task, run, .. } => {
                        runner.rejected += 1;
                        let outcome = RunOutcome::NotStarted(StartRejection::WorkerSilent);
                        runner.push_event(task, run, outcome, 0);
                    }
                    Order::Stop { task, run } => {
                        if runner.runs.remove(&task).is_some() {
                            runner.push_event(task, run, RunOutcome::Failed, 0);
                        }
                    }
                    Order::Adopt { .. } => {}
                }
            }
        }
        let finished = self.dispatcher.take_finished().into_iter();
        self.finished
            .extend(finished.map(|(id, outcome)| (id.0, outcome)));
    }

    fn end_runs(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let before = runner.calls.len();
        runner.calls.retain(|end| *end > self.now);
        runner.replies += (before - runner.calls.len()) as u32;
        let ended = runner.runs.iter().filter(|(_, (_, end))| *end <= self.now);
        let ended: Vec<(TaskId, u64)> = ended.map(|(task, (run, _))| (*task, *run)).collect();
        for (task, run) in ended {
            runner.runs.remove(&task);
            let outcome = match runner.fails {
                true => RunOutcome::Failed,
                false => RunOutcome::Done,
            };
            runner.push_event(task, run, outcome, self.jobs[&task.job.0].estimate_ms);
        }
    }

    fn report(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let is_periodic = self.now >= runner.next_report;
        if runner.events.is_empty() && runner.replies < REPLIES_PER_REPORT && !is_periodic {
            return;
        }
        let running = runner.runs.iter().map(|(task, (run, _))| RunStatus {
            id: RunId {
                task: *task,
                run: *run,
            },
            progress_percent: 1,
            stopping: false,
            needs_known: true,
            confirmed: true,
        });
        let report = AgentReport {
            address: runner.address,
            session: 1,
            term: 1,
            sent_us: self.now.as_micros(),
            last_orders: runner.last_orders,
            first_event: runner.last_event + 1 - runner.events.len() as u64,
            last_event: runner.last_event,
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: cores(runner.millicores),
                labels: runner.labels.clone(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: is_periodic.then(|| running.collect()),
            undecided: Vec::new(),
            events: std::mem::take(&mut runner.events),
            slow: Vec::new(),
            unanswered_starts: runner.calls.len() as u32,
        };
        runner.replies = 0;
        if is_periodic {
            runner.next_report = self.now + REPORT_INTERVAL;
        }
        self.dispatcher.on_report(self.now, report);
    }

    fn starts(&self, ids: impl Iterator<Item = u64>) -> usize {
        let starts = ids.filter_map(|id| self.starts.get(&id));
        starts.sum()
    }

    fn used_millicores(&self) -> u32 {
        let tasks = self.runners.iter().flat_map(|r| r.runs.keys());
        tasks.map(|t| self.jobs[&t.job.0].needs.millicores).sum()
    }
}

impl Runner {
    fn push_event(&mut self, task: TaskId, run: u64, outcome: RunOutcome, elapsed_ms: u32) {
        self.last_event += 1;
        self.events.push(RunEvent {
            seq: self.last_event,
            task,
            run,
            outcome,
            elapsed_ms,
        });
    }
}

fn cores(millicores: u32) -> Resources {
    Resources {
        millicores,
        ..Resources::default()
    }
}

fn step(count: u32, millicores: u32, estimate_ms: u32) -> Step {
    Step {
        count,
        needs: cores(millicores),
        estimate_ms,
        ..Step::default()
    }
}

fn limited(count: u32, estimate_ms: u32) -> Step {
    Step {
        max_per_worker: 1,
        ..step(count, 100, estimate_ms)
    }
}

/// Guards against steps that wait because of `max_per_worker` and hide all steps behind them (LOST, review/8).
#[test]
fn steps_at_their_worker_limit_do_not_hold_up_others() {
    let mut leader = Leader::new();
    for _ in 0..6 {
        leader.add_runner("a", 16_000);
    }
    for id in 0..40 {
        leader.submit(id, 0, limited(12, 60_000));
        leader.advance(Duration::from_millis(10));
    }
    for id in 100..105 {
        leader.submit(id, 0, step(1, 100, 200));
    }
    leader.advance(Duration::from_millis(50));
    assert_eq!(leader.starts(0..40), 40 * 6);
    assert_eq!(leader.starts(100..105), 5);
}

/// Guards against steps that were set aside and are never tried again: after the end of a run of the same step, and after
/// a worker has joined.
#[test]
fn steps_at_their_worker_limit_go_on_with_the_next_chance() {
    let mut leader = Leader::new();
    leader.add_runner("a", 16_000);
    for id in 0..3 {
        leader.submit(id, 0, limited(3, 300));
    }
    leader.submit(3, 0, limited(3, 60_000));
    leader.advance(Duration::from_millis(100));
    assert_eq!(leader.starts(0..4), 4);
    leader.advance(Duration::from_millis(300));
    assert_eq!(leader.starts(0..4), 7, "runs of three steps have ended");
    leader.add_runner("a", 16_000);
    leader.advance(Duration::from_millis(10));
    assert_eq!(leader.starts(0..4), 11, "a worker has joined");
}

/// Guards against a step that is not woken by the room that it waits for, in a backlog of steps of many sizes.
#[test]
fn each_end_of_a_run_starts_a_step_that_fits() {
    let mut leader = Leader::new();
    leader.add_runner("a", 8_000);
    leader.add_runner("b", 8_000);
    for id in 0..400 {
        let mut step = step(1 + id as u32 % 3, 900 + 700 * (id as u32 % 4), 20);
        step.label = (id % 5 == 0).then(|| "b".to_owned());
        step.max_per_worker = id as u32 % 2;
        leader.submit(id, (id % 3) as u8, step);
    }
    leader.advance(Duration::from_secs(8));
    let done = |outcome: &&VolatileOutcome| **outcome == VolatileOutcome::Done;
    assert_eq!(leader.finished.values().filter(done).count(), 400);
}

/// Guards against an urgent queue that waits for a label and keeps workers empty without it (LOST, review/9).
#[test]
fn a_job_that_waits_for_a_label_reserves_no_other_workers() {
    let mut leader = Leader::new();
    for _ in 0..10 {
        leader.add_runner("a", 16_000);
    }
    leader.add_runner("b", 16_000);
    for id in 0..2 {
        let label = Some("b".to_owned());
        let step = Step {
            label,
            ..step(1, 16_000, 60_000)
        };
        leader.submit(id, 0, step);
    }
    leader.advance(Duration::from_millis(500));
    for id in 10..20 {
        leader.submit(id, 2, step(1, 16_000, 60_000));
    }
    leader.advance(Duration::from_secs(3));
    assert_eq!(leader.starts(10..20), 10);
}

/// Guards against more starts than an agent can carry out, which it rejects and the leader repeats (LOST, review/7).
#[test]
fn starts_of_many_small_tasks_are_not_rejected() {
    start_many_small_tasks(None);
}

/// Guards against the same for tasks whose data is in the rack of the workers, which are found in an index of their own.
#[test]
fn starts_of_many_small_tasks_in_a_rack_are_not_rejected() {
    start_many_small_tasks(Some("a".to_owned()));
}

fn start_many_small_tasks(rack: Option<String>) {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.add_runner("a", 64_000);
    }
    for id in 0..20 {
        let step = Step {
            rack: rack.clone(),
            ..step(390, 5, 500)
        };
        leader.submit(id, 0, step);
        leader.advance(Duration::from_millis(25));
    }
    leader.advance(Duration::from_secs(2));
    let rejected: usize = leader.runners.iter().map(|r| r.rejected).sum();
    assert_eq!((leader.starts(0..20), rejected), (7_800, 0));
    assert_eq!(leader.finished.len(), 20);
}

/// Guards against a task that fails again and again on the same worker, until its attempts are used up.
#[test]
fn a_failed_task_starts_on_another_worker() {
    let mut leader = Leader::new();
    for _ in 0..2 {
        leader.add_runner("a", 1_000);
    }
    leader.runners[0].fails = true;
    for id in 0..4 {
        leader.submit(id, 0, step(3, 1_000, 40));
    }
    leader.advance(Duration::from_secs(5));
    for id in 0..4 {
        assert_eq!(leader.finished.get(&id), Some(&VolatileOutcome::Done));
    }
}

/// Guards against a task that never starts again because its last run failed on the only worker.
#[test]
fn a_failed_task_starts_again_on_the_only_worker() {
    let mut leader = Leader::new();
    leader.add_runner("a", 1_000);
    leader.runners[0].fails = true;
    leader.submit(1, 0, step(1, 1_000, 40));
    leader.advance(Duration::from_secs(3));
    assert_eq!(leader.finished.get(&1), Some(&VolatileOutcome::Failed));
}

/// Guards against room that stays empty in a burst although there is work to place.
#[test]
fn a_sustained_burst_uses_the_capacity() {
    let mut leader = Leader::new();
    for _ in 0..9 {
        leader.add_runner("a", 16_000);
    }
    let kinds = [(8, 60), (2, 200), (4, 900)];
    let (mut used, mut samples) = (0.0, 0.0);
    for id in 0..4_000 {
        let (count, run_ms) = kinds[id as usize % 3];
        leader.submit(id, (id % 3) as u8, step(count, 1_300, run_ms));
        if id % 2 == 0 {
            leader.advance(STEP);
        }
        if id >= 1_000 {
            used += f64::from(leader.used_millicores());
            samples += 1.0;
        }
    }
    let part = used / samples / (9.0 * 16_000.0);
    println!("{part:.3} of the capacity is in use");
    assert!(part >= 0.9, "{part:.3} of the capacity is in use");
}
