//! Placement by the leader alone: which waiting steps hold up others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::Dispatcher,
    job::{JobId, JobSpec, Policy, Queue, Resources, Step},
    message::{AgentReport, Announce, Order, RefusalReason, WorkerInfo},
    state::{Batch, Command, ReplicatedState},
};

const POOL: &str = "pool";
const MILLICORES: u32 = 8_000;
const SESSION: u64 = 1;

/// A leader with one agent, whose worker has the label `a`.
struct Leader {
    now: Timestamp,
    state: ReplicatedState,
    dispatcher: Dispatcher,
    agent: SocketAddr,
    labels: Vec<String>,
    last_index: u64,
}

impl Leader {
    fn new() -> Leader {
        let now = Timestamp::from_micros(1_000_000);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let state = ReplicatedState::default();
        let dispatcher = Dispatcher::new(&state, address, 1, now, 0);
        let mut leader = Leader {
            now,
            state,
            dispatcher,
            agent: SocketAddr::from(([127, 0, 0, 1], 2)),
            labels: vec!["a".to_owned()],
            last_index: 0,
        };
        let announce = Announce {
            address: leader.agent,
            session: SESSION,
            sent_us: now.as_micros(),
        };
        leader.dispatcher.on_announce(now, &announce);
        leader.commit();
        let agent = leader.agent;
        leader.dispatcher.agent_registered(agent, SESSION, 1);
        leader.report();
        leader
    }

    fn commit(&mut self) {
        while let Some((batch, commands)) = self.dispatcher.take_commands() {
            self.last_index += 1;
            let entry = Batch {
                time_ms: 0,
                commands,
            };
            self.state.apply(self.last_index, entry);
            self.dispatcher.on_batch_committed(batch);
        }
    }

    fn report(&mut self) {
        let report = AgentReport {
            address: self.agent,
            session: SESSION,
            term: 1,
            sent_us: self.now.as_micros(),
            last_orders: 0,
            first_event: 1,
            last_event: 0,
            worker: Some(WorkerInfo {
                incarnation: 1,
                pool: POOL.to_owned(),
                capacity: Resources {
                    millicores: MILLICORES,
                    ..Resources::default()
                },
                labels: self.labels.clone(),
                draining: false,
                data_centre: None,
                cold_ms: 0,
            }),
            running: Some(Vec::new()),
            undecided: Vec::new(),
            events: Vec::new(),
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        assert!(self.dispatcher.on_report(self.now, report));
    }

    /// Lets time pass until the next check, and returns the identities of the jobs that start.
    fn advance(&mut self) -> Vec<u64> {
        self.now = self.now + Duration::from_millis(100);
        self.report();
        self.dispatcher.tick(self.now);
        self.dispatcher.place(self.now);
        let orders = self.dispatcher.take_orders().into_iter();
        let orders = orders.flat_map(|(_, orders)| orders.orders);
        let started = orders.filter_map(|order| match order {
            Order::Start { task, .. } => Some(task.job.0),
            _ => None,
        });
        started.collect()
    }

    /// Stores a job of one task that needs this label.
    fn accept(&mut self, id: u64, label: &str) {
        let command = Command::Accept {
            id: JobId(id),
            queue: "q".to_owned(),
            pool: POOL.to_owned(),
            policy: queue().policy,
            spec: Arc::new(spec(label)),
            term: 1,
        };
        self.last_index += 1;
        let entry = Batch {
            time_ms: 0,
            commands: vec![command],
        };
        self.state.apply(self.last_index, entry);
        let job = &self.state.jobs[&JobId(id)];
        self.dispatcher.job_accepted(self.now, 0, JobId(id), job);
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
            goal_factor: 1.6,
            goal_slack_ms: 60,
        },
    }
}

fn spec(label: &str) -> JobSpec {
    JobSpec {
        steps: vec![Step {
            count: 1,
            needs: Resources {
                millicores: 1_000,
                ..Resources::default()
            },
            estimate_ms: 90,
            label: Some(label.to_owned()),
            ..Step::default()
        }],
        ..JobSpec::default()
    }
}

/// Guards against stored jobs that never start behind older ones that need a label which no worker has (LOST, review/2), and
/// against such a job that does not start once a worker has the label.
#[test]
fn steps_that_no_worker_can_run_do_not_hold_up_others() {
    let mut leader = Leader::new();
    for id in 0..100 {
        leader.accept(id, "b");
    }
    leader.accept(200, "a");
    let mut started = leader.advance();
    started.extend(leader.advance());
    assert_eq!(started, [200]);
    leader.labels.push("b".to_owned());
    let mut started = leader.advance();
    started.extend(leader.advance());
    assert_eq!(started.len(), 7, "{started:?}");
}

/// Guards against a caller whose job waits for a label that no worker has, although it can be told so at once.
#[test]
fn a_job_for_which_no_worker_has_the_label_is_rejected_at_once() {
    let leader = Leader::new();
    let rejection = |label| {
        let (id, age) = (JobId(1), Duration::ZERO);
        let found = leader
            .dispatcher
            .rejection(leader.now, &queue(), id, &spec(label), age);
        found.map(|rejection| rejection.reason)
    };
    assert_eq!(rejection("b"), Some(RefusalReason::NoWorker));
    assert_eq!(rejection("a"), None);
}
