//! Lines of the leader that explain why it starts a task again, or stops a run of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{AGENT_LOSS_TIMEOUT, REPORTED_RUN_LOSS_TIMEOUT},
    dispatch::Dispatcher,
    job::{JobId, JobSpec, Policy, Resources, Step, TaskId},
    message::{
        AgentReport, Announce, LossReason, Order, RunEvent, RunId, RunOutcome, RunStatus,
        WorkerInfo,
    },
    state::{Batch, Command, ReplicatedState},
};

use crate::{capture_lines, field, lines};

const POOL: &str = "pool";
const SESSION: u64 = 1;
const TERM: u64 = 6;
const NEEDS: Resources = Resources {
    millicores: 1_000,
    memory_mb: 0,
    gpus: 0,
};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7_000))
}

/// A leader with two agents, each with a worker that has room for one task.
struct Leader {
    now: Timestamp,
    dispatcher: Dispatcher,
}

impl Leader {
    fn new() -> Leader {
        capture_lines();
        let now = Timestamp::from_micros(1_000_000);
        let mut state = ReplicatedState::default();
        let dispatcher = Dispatcher::new(&state, address(1), TERM, now, 0);
        let mut leader = Leader { now, dispatcher };
        for agent in [address(2), address(3)] {
            let announce = Announce {
                address: agent,
                session: SESSION,
                sent_us: now.as_micros(),
            };
            leader.dispatcher.on_announce(now, &announce);
            leader.dispatcher.agent_registered(agent, SESSION, 1);
            leader.report(agent, &[], Vec::new());
        }
        let accept = Command::Accept {
            id: JobId(1),
            queue: "q".to_owned(),
            pool: POOL.to_owned(),
            policy: Policy {
                priority: 0,
                max_attempts: 3,
                goal_factor: 1.6,
                goal_slack_ms: 60,
            },
            spec: Arc::new(JobSpec {
                steps: vec![Step {
                    count: 1,
                    needs: NEEDS,
                    estimate_ms: 90,
                    ..Step::default()
                }],
                ..JobSpec::default()
            }),
            term: TERM,
        };
        let entry = Batch {
            time_ms: 0,
            commands: vec![accept],
        };
        state.apply(1, entry);
        let job = &state.jobs[&JobId(1)];
        leader.dispatcher.job_accepted(now, 0, JobId(1), job);
        leader
    }

    fn report(&mut self, agent: SocketAddr, running: &[RunId], events: Vec<RunEvent>) {
        let running = running.iter().map(|id| RunStatus {
            id: *id,
            progress_percent: 0,
            stopping: false,
            needs_known: true,
            confirmed: true,
        });
        let report = AgentReport {
            address: agent,
            session: SESSION,
            term: TERM,
            sent_us: self.now.as_micros(),
            last_orders: 0,
            first_event: 1,
            last_event: events.last().map_or(0, |event| event.seq),
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: NEEDS,
                labels: Vec::new(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: Some(running.collect()),
            undecided: Vec::new(),
            events,
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        assert!(self.dispatcher.on_report(self.now, report));
    }

    /// Places the task and returns the run and its agent.
    fn place(&mut self) -> (RunId, SocketAddr) {
        self.dispatcher.place(self.now);
        let orders = self.dispatcher.take_orders().into_iter();
        let mut starts = orders.flat_map(|(agent, message)| {
            let starts = message.orders.into_iter();
            starts.filter_map(move |order| match order {
                Order::Start { task, run, .. } => Some((RunId { task, run }, agent)),
                _ => None,
            })
        });
        starts.next().expect("the task must start")
    }
}

/// Guards against a second run of a task whose cause and place the lines of the leader do not tell.
#[test]
fn a_second_run_is_named_with_its_reason_and_both_agents() {
    let mut leader = Leader::new();
    let (first, first_agent) = leader.place();
    let event = RunEvent {
        seq: 1,
        task: first.task,
        run: first.run,
        outcome: RunOutcome::Lost(LossReason::NewIncarnation),
        elapsed_ms: 9,
    };
    leader.report(first_agent, &[], vec![event]);
    let lost = lines("E641").pop().expect("the loss is logged");
    assert_eq!(field(&lost, "outcome"), "Lost(NewIncarnation)");
    assert_eq!(field(&lost, "agent"), first_agent.to_string());
    assert_eq!(field(&lost, "term"), "6");
    let (second, second_agent) = leader.place();
    // The worker has the first run after all.
    leader.report(first_agent, &[first], Vec::new());
    let stopped = lines("E610").pop().expect("the stop is logged");
    let expected = [
        ("run", first.run.to_string()),
        ("agent", first_agent.to_string()),
        ("term", "6".to_owned()),
        ("job_known", "true".to_owned()),
        ("placed_run", second.run.to_string()),
        ("placed_agent", second_agent.to_string()),
    ];
    for (name, value) in expected {
        assert_eq!(field(&stopped, name), value, "{stopped}");
    }
}

/// Guards against a stop of a run of an ended job that looks like a stop of a second run.
#[test]
fn a_run_of_an_unknown_job_is_named_as_such() {
    let mut leader = Leader::new();
    leader.now = leader.now + Duration::from_secs(1);
    let task = TaskId {
        job: JobId(9),
        step: 0,
        index: 0,
    };
    leader.report(address(2), &[RunId { task, run: 5 }], Vec::new());
    let stopped = lines("E610").pop().expect("the stop is logged");
    assert_eq!(
        ["job_known", "placed_run", "placed_agent"].map(|name| field(&stopped, name)),
        ["false", "-", "-"]
    );
}

/// Guards against a task that starts again because its agent is unreachable, without a line that names it.
#[test]
fn runs_of_an_unreachable_agent_are_named() {
    let mut leader = Leader::new();
    let (run, agent) = leader.place();
    for timeout in [REPORTED_RUN_LOSS_TIMEOUT, AGENT_LOSS_TIMEOUT] {
        leader.now = leader.now + timeout;
        leader.dispatcher.tick(leader.now);
    }
    let [lost] = &lines("E931")[..] else {
        panic!("one run is lost: {:?}", lines("E931"))
    };
    let expected = [
        ("task", run.task.to_string()),
        ("run", run.run.to_string()),
        ("agent", agent.to_string()),
        ("term", "6".to_owned()),
    ];
    for (name, value) in expected {
        assert_eq!(field(lost, name), value, "{lost}");
    }
}
