//! Evacuation of data centres: the decisions in the log, and the scheduler alone.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{ColdLimit, Dispatcher, Limits},
    job::{JobId, JobSpec, Policy, Queue, Resources, Step},
    message::{AgentReport, Announce, Order, RunEvent, RunId, RunOutcome, RunStatus, WorkerInfo},
    state::{Batch, Change, Command, EvacuationDecision, ReplicatedState},
};

const POOL: &str = "pool";
const SESSION: u64 = 1;
const AGENTS: usize = 4;
/// Label that only the workers of the second data centre have.
const RARE_LABEL: &str = "rare";

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn command(data_centre: &str, evacuated: bool, known: &[&str]) -> Command {
    Command::SetEvacuation {
        data_centre: data_centre.to_owned(),
        evacuated,
        known: names(known),
    }
}

fn decide(state: &mut ReplicatedState, commands: Vec<Command>) -> Vec<EvacuationDecision> {
    let batch = Batch {
        time_ms: 0,
        commands,
    };
    let changes = state.apply(1, batch).into_iter();
    let decisions = changes.map(|change| match change {
        Change::EvacuationDecided { decision, .. } => decision,
        other => panic!("{other:?}"),
    });
    decisions.collect()
}

/// Guards against two concurrent requests that evacuate the last two data centres, and against a repeated request that is
/// refused.
#[test]
fn the_log_decides_requests_in_its_order() {
    use EvacuationDecision::{Changed, LastDataCentre, Unchanged};
    let known = ["a", "b"];
    let mut state = ReplicatedState::default();
    let requests = vec![
        command("a", true, &known),
        command("b", true, &known),
        command("a", true, &known),
        command("b", false, &known),
    ];
    let decisions = decide(&mut state, requests);
    assert_eq!(decisions, [Changed, LastDataCentre, Unchanged, Unchanged]);
    assert_eq!(state.evacuated, names(&["a"]));
    let requests = vec![command("a", false, &known), command("b", true, &known)];
    assert_eq!(decide(&mut state, requests), [Changed, Changed]);
    assert_eq!(state.evacuated, names(&["b"]));
    // The workers of `b` are gone, so `a` is the last data centre even if the leader knows no other one.
    let requests = vec![command("a", true, &["a"])];
    assert_eq!(decide(&mut state, requests), [LastDataCentre]);
}

/// Guards against an evacuation that a replica forgets when it restores its state from a snapshot.
#[test]
fn an_evacuation_is_in_the_snapshot() {
    let mut state = ReplicatedState::default();
    decide(&mut state, vec![command("a", true, &["a", "b"])]);
    let snapshot = postcard::to_stdvec(&state).unwrap();
    let restored: ReplicatedState = postcard::from_bytes(&snapshot).unwrap();
    assert_eq!(restored.evacuated, names(&["a"]));
}

/// A leader with agents in two data centres, by turns `a` and `b`.
struct Leader {
    now: Timestamp,
    dispatcher: Dispatcher,
    /// Runs of each agent that have not ended.
    runs: Vec<BTreeMap<(JobId, u32), (u64, RunEvent)>>,
    event_counts: [u64; AGENTS],
    /// Number of the newest orders message of each agent.
    last_orders: [u64; AGENTS],
    cold_ms: [u32; AGENTS],
    /// Run time that the agents report.
    elapsed_ms: u32,
    /// Run time that the leader expected of the newest run.
    expected_ms: u32,
}

fn agent_address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, n as u8 + 1], 7_001))
}

fn is_in_b(n: usize) -> bool {
    n % 2 == 1
}

impl Leader {
    fn new(evacuated: &[&str], limits: Limits) -> Leader {
        let now = Timestamp::from_micros(1_000_000);
        let mut state = ReplicatedState::default();
        state.evacuated = names(evacuated);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let dispatcher = Dispatcher::new(&state, address, 1, now, 0).with_limits(limits);
        let mut leader = Leader {
            now,
            dispatcher,
            runs: vec![BTreeMap::new(); AGENTS],
            event_counts: [0; AGENTS],
            last_orders: [0; AGENTS],
            cold_ms: [0; AGENTS],
            elapsed_ms: 100,
            expected_ms: 0,
        };
        for n in 0..AGENTS {
            let address = agent_address(n);
            let sent_us = now.as_micros();
            let announce = Announce {
                address,
                session: SESSION,
                sent_us,
            };
            leader.dispatcher.on_announce(now, &announce);
            leader.dispatcher.agent_registered(address, SESSION, 1);
            leader.report(n, Vec::new());
        }
        leader
    }

    fn report(&mut self, n: usize, events: Vec<RunEvent>) {
        let first_event = self.event_counts[n] + 1;
        self.event_counts[n] += events.len() as u64;
        let label = if is_in_b(n) { RARE_LABEL } else { "usual" };
        let running = self.runs[n].values().map(|(run, end)| RunStatus {
            id: RunId {
                task: end.task,
                run: *run,
            },
            progress_percent: 0,
            stopping: false,
            needs_known: true,
            confirmed: true,
        });
        let running: Vec<RunStatus> = running.collect();
        let report = AgentReport {
            address: agent_address(n),
            session: SESSION,
            term: 1,
            sent_us: self.now.as_micros(),
            last_orders: self.last_orders[n],
            first_event,
            last_event: self.event_counts[n],
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: Resources {
                    millicores: 8_000,
                    ..Resources::default()
                },
                labels: vec![label.to_owned()],
                draining: false,
                data_centre: Some(if is_in_b(n) { "b" } else { "a" }.to_owned()),
                cold_ms: self.cold_ms[n],
            }),
            running: (events.is_empty()).then_some(running),
            undecided: Vec::new(),
            events,
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        assert!(self.dispatcher.on_report(self.now, report));
    }

    fn submit(&mut self, id: u64, tasks: u32, label: Option<&str>) {
        let (id, spec) = (JobId(id), spec(tasks, label));
        let submission = figdeal_queue::dispatch::Submission {
            age: Duration::ZERO,
            resubmitted: false,
        };
        let spec = Arc::new(spec);
        self.dispatcher
            .submit(self.now, id, &queue(), &spec, submission);
    }

    /// Lets time pass until the next check. Returns the number of starts at each agent.
    fn advance(&mut self) -> [usize; AGENTS] {
        self.now = self.now + Duration::from_millis(100);
        for n in 0..AGENTS {
            self.report(n, Vec::new());
        }
        self.dispatcher.tick(self.now);
        self.place()
    }

    fn place(&mut self) -> [usize; AGENTS] {
        self.dispatcher.place(self.now);
        let mut starts = [0; AGENTS];
        for (address, orders) in self.dispatcher.take_orders() {
            let n = (0..AGENTS).find(|n| agent_address(*n) == address).unwrap();
            self.last_orders[n] = orders.number;
            for order in orders.orders {
                let Order::Start {
                    task,
                    run,
                    expected_ms,
                    ..
                } = order
                else {
                    continue;
                };
                self.expected_ms = expected_ms;
                starts[n] += 1;
                let end = RunEvent {
                    seq: 0,
                    task,
                    run,
                    outcome: RunOutcome::Done,
                    elapsed_ms: 100,
                };
                self.runs[n].insert((task.job, task.index), (run, end));
            }
        }
        starts
    }

    fn run_counts(&self) -> [usize; AGENTS] {
        std::array::from_fn(|n| self.runs[n].len())
    }

    /// Ends all runs of an agent.
    fn end_runs(&mut self, n: usize) {
        let first = self.event_counts[n] + 1;
        let ends = std::mem::take(&mut self.runs[n]).into_values();
        let ends = ends.zip(first..).map(|((_, end), seq)| RunEvent {
            seq,
            elapsed_ms: self.elapsed_ms,
            ..end
        });
        self.report(n, ends.collect());
    }

    fn set_evacuated(&mut self, evacuated: &[&str]) {
        self.dispatcher.set_evacuated(&names(evacuated));
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
            goal_factor: 100.0,
            goal_slack_ms: 60_000,
        },
    }
}

fn spec(tasks: u32, label: Option<&str>) -> JobSpec {
    let step = Step {
        count: tasks,
        needs: Resources {
            millicores: 1_000,
            ..Resources::default()
        },
        estimate_ms: 100,
        label: label.map(str::to_owned),
        ..Step::default()
    };
    JobSpec {
        steps: vec![step],
        volatile: true,
        ..JobSpec::default()
    }
}

/// Guards against starts in an evacuated data centre, against an evacuation that ends runs in progress, and against
/// workers that stay out of use after the evacuation was revoked.
#[test]
fn no_task_starts_in_an_evacuated_data_centre() {
    let mut leader = Leader::new(&[], Limits::default());
    leader.submit(1, 40, None);
    assert_eq!(leader.advance(), [8, 8, 8, 8]);
    leader.set_evacuated(&["b"]);
    for n in 0..AGENTS {
        leader.end_runs(n);
    }
    // The ends of the runs in `b` count, and only the workers of `a` get the last 8 tasks.
    let starts = leader.place();
    assert_eq!((starts[0] + starts[2], starts[1] + starts[3]), (8, 0));
    leader.submit(2, 40, None);
    let starts = leader.advance();
    assert_eq!((starts[0] + starts[2], starts[1] + starts[3]), (8, 0));
    leader.set_evacuated(&[]);
    assert_eq!(leader.advance(), [0, 8, 0, 8]);
}

/// Guards against a new leader that uses the workers of an evacuated data centre when they report to it.
#[test]
fn a_new_leader_starts_with_the_evacuated_data_centres() {
    let mut leader = Leader::new(&["a"], Limits::default());
    leader.submit(1, 40, None);
    assert_eq!(leader.advance(), [0, 8, 0, 8]);
}

/// Guards against a job that is refused or fails because its label exists only in an evacuated data centre, and against
/// such steps that hold up the others.
#[test]
fn a_job_that_needs_an_evacuated_data_centre_waits() {
    let mut leader = Leader::new(&["b"], Limits::default());
    leader.advance();
    let spec = spec(1, Some(RARE_LABEL));
    let rejection =
        leader
            .dispatcher
            .rejection(leader.now, &queue(), JobId(1), &spec, Duration::ZERO);
    assert_eq!(rejection, None);
    for id in 0..100 {
        leader.submit(id, 1, Some(RARE_LABEL));
    }
    leader.submit(100, 1, None);
    let starts: usize = leader.advance().iter().chain(&leader.advance()).sum();
    assert_eq!(starts, 1);
    leader.set_evacuated(&[]);
    let first = leader.advance();
    let second = leader.advance();
    assert_eq!(first[1] + first[3] + second[1] + second[3], 16);
}

/// Guards against capacity in an evacuated data centre that counts as free for admission.
#[test]
fn an_evacuated_data_centre_is_no_capacity_for_admission() {
    // In the third case, runs of the queue go on in the data centre.
    let refused = |before: &[&str], evacuated: &[&str]| {
        let mut leader = Leader::new(before, Limits::default());
        leader.submit(1, 64, None);
        leader.advance();
        leader.set_evacuated(evacuated);
        // 32 or 48 of 64 tasks wait. They take 0.1 s on all workers, and 0.2 s or 0.3 s on half of them.
        let tight = Queue {
            policy: Policy {
                goal_factor: 1.0,
                goal_slack_ms: 180,
                ..queue().policy
            },
            ..queue()
        };
        let (id, age) = (JobId(2), Duration::ZERO);
        let rejection = leader
            .dispatcher
            .rejection(leader.now, &tight, id, &spec(1, None), age);
        rejection.is_some()
    };
    assert!(!refused(&[], &[]));
    assert!(refused(&["b"], &["b"]));
    assert!(refused(&[], &["b"]));
}

/// Guards against a flood of tasks on workers that are cold after the evacuation of their data centre, and against a limit
/// that stays in force once they are warm, or without settings for it.
#[test]
fn cold_workers_get_a_limited_number_of_runs() {
    let cold = ColdLimit {
        overage: 0.5,
        slack: 1.0,
    };
    let limited = Limits {
        cold: Some(cold),
        ..Limits::default()
    };
    // The warm workers have 8 runs each, so a cold one may have 0.5 * 8 + 1 = 5.
    for (limits, expected) in [(limited, [8, 5, 8, 5]), (Limits::default(), [8, 8, 8, 8])] {
        let mut leader = Leader::new(&["b"], limits);
        leader.cold_ms = [0, 150, 0, 150];
        leader.advance();
        leader.set_evacuated(&[]);
        leader.submit(1, 64, None);
        leader.place();
        assert_eq!(leader.run_counts(), expected);
        leader.cold_ms = [0; AGENTS];
        leader.advance();
        assert_eq!(leader.run_counts(), [8; AGENTS]);
    }
}

/// Guards against a cold worker whose limit outlasts its cold time because its agent is silent.
#[test]
fn the_cold_time_ends_without_a_report() {
    let cold = ColdLimit {
        overage: 0.0,
        slack: 0.0,
    };
    let mut leader = Leader::new(
        &[],
        Limits {
            cold: Some(cold),
            ..Limits::default()
        },
    );
    leader.cold_ms = [0, 150, 0, 150];
    leader.submit(1, 64, None);
    leader.advance();
    assert_eq!(leader.run_counts(), [8, 0, 8, 0]);
    leader.now = leader.now + Duration::from_millis(160);
    leader.dispatcher.tick(leader.now);
    leader.place();
    assert_eq!(leader.run_counts(), [8; AGENTS]);
}

/// Guards against tasks that go to a cold worker while a warm one has room, and against run times on cold workers that make
/// the leader expect longer runs everywhere, so that it refuses jobs after the end of an evacuation.
#[test]
fn cold_workers_are_the_last_choice_and_not_learned_from() {
    let cold = ColdLimit {
        overage: 1.5,
        slack: 5.0,
    };
    let mut leader = Leader::new(
        &[],
        Limits {
            cold: Some(cold),
            ..Limits::default()
        },
    );
    // Without regard to cold workers, the one with the least room would come next.
    leader.submit(1, 2, Some(RARE_LABEL));
    leader.place();
    leader.cold_ms = [0, 500, 0, 500];
    leader.submit(2, 2, None);
    let starts = leader.advance();
    assert_eq!((starts[1], starts[3]), (0, 0));
    let expected_before = leader.expected_ms;
    leader.elapsed_ms = 400;
    leader.end_runs(1);
    leader.end_runs(3);
    leader.submit(3, 1, None);
    leader.place();
    assert_eq!(leader.expected_ms, expected_before);
}
