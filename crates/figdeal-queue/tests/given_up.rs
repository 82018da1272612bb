//! A leader alone that gives up agents without reports: when it takes their runs as lost, and which.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{
        AGENT_LOSS_TIMEOUT, FORMER_CLOCK_LOSS_TIMEOUT, REPORTED_RUN_LOSS_TIMEOUT, START_WINDOW,
    },
    dispatch::{Dispatcher, Submission},
    job::{JobId, JobSpec, Policy, Queue, Resources, Step, TaskId},
    message::{AgentReport, Announce, Order, RunEvent, RunId, RunOutcome, RunStatus, WorkerInfo},
    state::{Batch, Command, ReplicatedState},
};

const POOL: &str = "pool";
const SESSION: u64 = 2;
const TERM: u64 = 2;
const STEP: Duration = Duration::from_millis(10);
/// Interval between two reports, in steps.
const REPORT_STEPS: u64 = 15;
const NEEDS: Resources = Resources {
    millicores: 8_000,
    memory_mb: 0,
    gpus: 0,
};

/// An agent whose worker has room for one run. Without `reports` it is cut off.
struct Agent {
    address: SocketAddr,
    reports: bool,
    /// Whether it tells its runs. Otherwise its worker has not listed all of them.
    runs_known: bool,
    /// Number of the newest orders that it has got; it is told in its next report.
    last_orders: u64,
    runs: BTreeMap<TaskId, u64>,
    events: Vec<RunEvent>,
}

/// A leader with agents, which each have a worker.
struct Leader {
    now: Timestamp,
    steps: u64,
    dispatcher: Dispatcher,
    agents: Vec<Agent>,
    /// Starts that were ordered: when, from which agent, of which task.
    starts: Vec<(Timestamp, usize, TaskId)>,
}

impl Leader {
    fn new(agent_count: u16) -> Leader {
        let mut leader = Leader::with_state(&ReplicatedState::default());
        for _ in 0..agent_count {
            leader.add_agent(true);
        }
        leader
    }

    /// Returns a leader without agents that has this state from earlier leaders.
    fn with_state(state: &ReplicatedState) -> Leader {
        let now = Timestamp::from_micros(1_000_000);
        Leader {
            now,
            steps: 0,
            dispatcher: Dispatcher::new(state, agent_address(0), TERM, now, 0),
            agents: Vec::new(),
            starts: Vec::new(),
        }
    }

    /// Registers a new process of the next agent, and lets it report.
    fn add_agent(&mut self, runs_known: bool) {
        let n = self.agents.len();
        let address = agent_address(n + 1);
        self.announce(n + 1, SESSION);
        self.commit();
        let fence = n as u64 + 1;
        self.dispatcher.agent_registered(address, SESSION, fence);
        self.agents.push(Agent {
            address,
            reports: true,
            runs_known,
            last_orders: 0,
            runs: BTreeMap::new(),
            events: Vec::new(),
        });
        self.report(n);
    }

    /// Delivers the announcement of the agent at [`agent_address`] of `n`.
    fn announce(&mut self, n: usize, session: u64) {
        let announce = Announce {
            address: agent_address(n),
            session,
            sent_us: self.now.as_micros(),
        };
        self.dispatcher.on_announce(self.now, &announce);
    }

    fn commit(&mut self) {
        while let Some((batch, _)) = self.dispatcher.take_commands() {
            self.dispatcher.on_batch_committed(batch);
        }
    }

    fn report(&mut self, n: usize) {
        let agent = &self.agents[n];
        let running = agent.runs.iter().map(|(task, run)| RunStatus {
            id: RunId {
                task: *task,
                run: *run,
            },
            progress_percent: 10,
            stopping: false,
            needs_known: true,
            confirmed: true,
        });
        let report = AgentReport {
            address: agent.address,
            session: SESSION,
            term: TERM,
            sent_us: self.now.as_micros(),
            last_orders: agent.last_orders,
            first_event: 1,
            last_event: agent.events.len() as u64,
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: NEEDS,
                labels: Vec::new(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: agent.runs_known.then(|| running.collect()),
            undecided: Vec::new(),
            events: agent.events.clone(),
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        assert!(self.dispatcher.on_report(self.now, report));
    }

    /// Submits a volatile job of one task.
    fn submit(&mut self, id: u64) {
        let submission = Submission {
            age: Duration::ZERO,
            resubmitted: false,
        };
        let (id, spec) = (JobId(id), Arc::new(job(true)));
        self.dispatcher
            .submit(self.now, id, &queue(), &spec, submission);
    }

    /// Lets time pass. Agents that report carry out their orders.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps += 1;
            self.dispatcher.tick(self.now);
            self.dispatcher.place(self.now);
            self.take_orders();
            for n in 0..self.agents.len() {
                if self.agents[n].reports && self.steps.is_multiple_of(REPORT_STEPS) {
                    self.report(n);
                }
            }
            self.commit();
        }
    }

    fn take_orders(&mut self) {
        for (address, orders) in self.dispatcher.take_orders() {
            let mut agents = self.agents.iter();
            let n = agents.position(|a| a.address == address).expect("an agent");
            for order in orders.orders {
                match order {
                    Order::Start { task, run, .. } => {
                        self.starts.push((self.now, n, task));
                        self.agents[n].runs.insert(task, run);
                    }
                    Order::Stop { task, .. } => drop(self.agents[n].runs.remove(&task)),
                    Order::Adopt { .. } => {}
                }
            }
            if self.agents[n].reports {
                self.agents[n].last_orders = orders.number;
            }
        }
    }

    /// Returns when and where the starts of a job were ordered.
    fn starts_of(&self, id: u64) -> Vec<(Timestamp, usize)> {
        let starts = self.starts.iter().filter(|(.., task)| task.job.0 == id);
        starts.map(|(at, n, _)| (*at, *n)).collect()
    }
}

fn agent_address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))
}

/// Returns a job of one task.
fn job(volatile: bool) -> JobSpec {
    JobSpec {
        steps: vec![Step {
            count: 1,
            needs: NEEDS,
            estimate_ms: 5_000,
            ..Step::default()
        }],
        volatile,
        ..JobSpec::default()
    }
}

fn queue() -> Queue {
    Queue {
        name: "q".to_owned(),
        host: "host".to_owned(),
        prefix: "/q/".to_owned(),
        pool: POOL.to_owned(),
        policy: Policy {
            priority: 0,
            max_attempts: 3,
            goal_factor: 10.0,
            goal_slack_ms: 60_000,
        },
    }
}

fn task(id: u64) -> TaskId {
    TaskId {
        job: JobId(id),
        step: 0,
        index: 0,
    }
}

/// Guards against a task that waits although a worker has room, because its agent is heard of again without a report
/// (simulation, seed 285 of 300).
#[test]
fn a_step_starts_when_a_silent_agent_announces_itself() {
    let mut leader = Leader::new(1);
    leader.agents[0].reports = false;
    leader.advance(Duration::from_millis(500));
    leader.submit(1);
    leader.advance(STEP);
    assert_eq!(leader.starts_of(1).len(), 0);
    leader.announce(1, SESSION);
    leader.advance(STEP);
    assert_eq!(leader.starts_of(1).len(), 1);
}

/// Guards against a task that waits for ever, and room that counts as used for good, because a job that is handed in again
/// adopts a run at an agent that has been given up (simulation with cut lists, seed 98).
#[test]
fn runs_of_a_given_up_agent_are_not_adopted() {
    let mut leader = Leader::new(2);
    leader.agents[0].runs.insert(task(1), 7);
    leader.report(0);
    leader.agents[0].reports = false;
    leader.advance(Duration::from_millis(2_500));
    leader.submit(1);
    leader.advance(Duration::from_millis(300));
    let agents: Vec<usize> = leader.starts_of(1).iter().map(|(_, n)| *n).collect();
    assert_eq!(agents, [1]);
}

/// Guards against a task that is not started for a while because its job adopts a run that has ended.
#[test]
fn ended_runs_are_not_adopted() {
    let mut leader = Leader::new(1);
    leader.agents[0].runs.insert(task(1), 7);
    leader.report(0);
    leader.agents[0].runs.clear();
    leader.agents[0].events.push(RunEvent {
        seq: 1,
        task: task(1),
        run: 7,
        outcome: RunOutcome::Failed,
        elapsed_ms: 10,
    });
    leader.report(0);
    leader.submit(1);
    leader.advance(STEP);
    assert_eq!(leader.starts_of(1).len(), 1);
}

/// Guards against a second run of a task whose start began after the last report of its agent: its worker had restarted
/// unnoticed and took the expiry for its longest lease (TWICE, review/10).
#[test]
fn a_run_that_may_have_begun_after_the_last_report_is_lost_later() {
    let mut leader = Leader::new(2);
    leader.advance(Duration::from_millis(155));
    leader.submit(1);
    leader.advance(STEP);
    let (ordered_at, first) = leader.starts_of(1)[0];
    leader.agents[first].reports = false;
    leader.advance(Duration::from_millis(2_000));
    let starts = leader.starts_of(1);
    let wait = starts[1].0.since(ordered_at);
    let longest = START_WINDOW + FORMER_CLOCK_LOSS_TIMEOUT;
    assert_eq!(starts[1].1, 1 - first);
    assert!(
        wait >= longest.saturating_sub(Duration::from_millis(150)),
        "{wait:?}"
    );
    assert!(
        wait <= AGENT_LOSS_TIMEOUT + Duration::from_millis(100),
        "{wait:?}"
    );
}

/// Guards against tasks of an unreachable agent that wait for longer than their leases can last.
#[test]
fn runs_from_before_the_last_report_are_lost_first() {
    let mut leader = Leader::new(2);
    leader.submit(1);
    leader.advance(Duration::from_millis(500));
    let (_, first) = leader.starts_of(1)[0];
    leader.report(first);
    leader.agents[first].reports = false;
    let silent_since = leader.now;
    leader.advance(Duration::from_millis(2_000));
    let wait = leader.starts_of(1)[1].0.since(silent_since);
    let limit = REPORTED_RUN_LOSS_TIMEOUT..REPORTED_RUN_LOSS_TIMEOUT + Duration::from_millis(100);
    assert!(limit.contains(&wait), "{wait:?}");
}
/// Returns what an earlier leader has left: two agents, and a stored job that one of them may have started.
fn state_with_job(id: u64) -> ReplicatedState {
    let register = |n| Command::RegisterAgent {
        address: agent_address(n),
        session: 1,
    };
    let accept = Command::Accept {
        id: JobId(id),
        queue: "q".to_owned(),
        pool: POOL.to_owned(),
        policy: queue().policy,
        spec: Arc::new(job(false)),
        term: 1,
    };
    let mut state = ReplicatedState::default();
    let entry = Batch {
        time_ms: 0,
        commands: vec![register(1), register(2), accept],
    };
    state.apply(1, entry);
    state
}

/// Guards against a task that starts although a run of it may go on or has ended as done, because a new leader took the
/// silence of an agent's new process on its runs for their end.
#[test]
fn a_new_leader_waits_for_a_process_that_does_not_know_its_runs_yet() {
    let mut leader = Leader::with_state(&state_with_job(1));
    leader.add_agent(true);
    leader.advance(Duration::from_millis(1_400));
    let joined_at = leader.now;
    leader.add_agent(false);
    leader.advance(AGENT_LOSS_TIMEOUT + Duration::from_millis(100));
    let starts = leader.starts_of(1);
    assert_eq!(starts.len(), 1, "the wait is bounded");
    let wait = starts[0].0.since(joined_at);
    assert!(wait >= AGENT_LOSS_TIMEOUT, "{wait:?}");
}

/// Guards against a new leader that holds the jobs of earlier ones for longer than the runs of unreachable agents can last.
#[test]
fn a_new_leader_does_not_wait_for_agents_that_are_gone() {
    let mut leader = Leader::with_state(&state_with_job(1));
    let elected_at = leader.now;
    leader.add_agent(true);
    leader.advance(AGENT_LOSS_TIMEOUT + Duration::from_millis(100));
    let wait = leader.starts_of(1)[0].0.since(elected_at);
    assert!(wait >= AGENT_LOSS_TIMEOUT, "{wait:?}");
}

/// Guards against a held job that starts although the agent that got a lease since the election has not reported.
#[test]
fn a_new_leader_waits_for_the_lease_of_an_agent_that_announced_itself() {
    let mut leader = Leader::with_state(&state_with_job(1));
    leader.add_agent(true);
    leader.advance(Duration::from_millis(1_400));
    leader.announce(2, 1);
    let announced_at = leader.now;
    leader.advance(AGENT_LOSS_TIMEOUT + Duration::from_millis(200));
    let wait = leader.starts_of(1)[0].0.since(announced_at);
    assert!(wait >= AGENT_LOSS_TIMEOUT, "{wait:?}");
}

/// Guards against a held job that starts although an agent that has reported before has got a new lease since, under which
/// it may have come to know its runs.
#[test]
fn a_new_leader_waits_for_an_agent_that_announces_itself_again() {
    let mut leader = Leader::with_state(&state_with_job(1));
    leader.add_agent(true);
    leader.add_agent(false);
    leader.agents[1].reports = false;
    leader.advance(Duration::from_millis(1_000));
    leader.announce(2, SESSION);
    let announced_at = leader.now;
    leader.advance(AGENT_LOSS_TIMEOUT + Duration::from_millis(200));
    let wait = leader.starts_of(1)[0].0.since(announced_at);
    assert!(wait >= AGENT_LOSS_TIMEOUT, "{wait:?}");
}

/// Guards against stored jobs that wait for ever for an agent whose messages arrive, but that gets no answers (LOST).
#[test]
fn a_new_leader_does_not_wait_for_ever_for_an_agent_that_only_announces_itself() {
    let mut leader = Leader::with_state(&state_with_job(1));
    leader.add_agent(true);
    for _ in 0..40 {
        leader.announce(2, 1);
        leader.advance(Duration::from_millis(100));
    }
    assert_eq!(leader.starts_of(1).len(), 1);
}
