//! Tests of the bound for stored jobs, with a group of one node.

use std::{collections::BTreeSet, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::Limits,
    job::{JobId, JobSpec, Policy, Queue, QueueConfig, Step},
    message::{Answer, RefusalReason, Request},
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, Member, NodeId, Raft},
    state::{OUTCOME_RETENTION, ReplicatedState},
    stored_size::{OUTCOME_BYTES, job_bytes},
};

const BOUND: usize = 1 << 20;
/// What one of two queues may hold: the half for all, and its part of the other half.
const FLOOD_BOUND: usize = BOUND / 4 * 3;
const FLOODED: &str = "flooded";
const OTHER: &str = "other";
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A group of one node, whose writes are durable at once.
struct Group {
    node: Node,
    now_ms: u64,
    next_token: u64,
}

fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        pool: "pool".to_owned(),
        policy: Policy {
            priority: 0,
            max_attempts: 4,
            goal_factor: 2.0,
            goal_slack_ms: 100,
        },
    }
}

fn spec(payload: usize, volatile: bool) -> JobSpec {
    let step = Step {
        count: 2,
        estimate_ms: 50,
        ..Step::default()
    };
    JobSpec {
        payload: "x".repeat(payload),
        steps: vec![step],
        volatile,
    }
}

impl Group {
    fn start() -> Group {
        let address = "127.0.0.1:7000".parse().unwrap();
        let options = Options {
            address,
            data_centre: "a".to_owned(),
            has_disk: true,
            bootstrap: false,
            seeds: Vec::new(),
            voter_count: 1,
            min_resubmit_delay: Duration::ZERO,
            stored_bytes: BOUND,
            data_centres: BTreeSet::new(),
            limits: Limits::default(),
        };
        let id = NodeId(1);
        let start = Timestamp::from_micros(1_000_000);
        let mut raft = Raft::new(id, HardState::default(), Log::default(), start, 1);
        raft.bootstrap(vec![Member { id, address }]);
        let clock = Clock {
            now: start,
            wall_ms: 1_700_000_000_000,
        };
        let mut group = Group {
            node: Node::new(options, raft, None, clock).unwrap(),
            now_ms: 0,
            next_token: 1,
        };
        group.run(3_000);
        assert!(group.node.is_serving());
        let config = QueueConfig {
            version: 1,
            queues: vec![queue(FLOODED), queue(OTHER)],
            text: String::new(),
        };
        assert_eq!(
            group.request(Request::Configure(config)),
            Answer::Configured
        );
        group
    }

    fn clock(&self) -> Clock {
        Clock {
            now: Timestamp::from_micros(1_000_000 + self.now_ms * 1_000),
            wall_ms: 1_700_000_000_000 + self.now_ms,
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now_ms += 10;
            self.node.tick(self.clock());
            self.settle();
        }
    }

    /// Carries out all actions. Returns the answers to requests.
    fn settle(&mut self) -> Vec<(u64, Answer)> {
        let mut answers = Vec::new();
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return answers;
            }
            for action in actions {
                match action {
                    Action::Reply(token, answer) => answers.push((token, answer)),
                    // The group has no other process.
                    Action::Send(_, message) => self.node.on_message(self.clock(), message),
                    Action::Store {
                        last,
                        send_after_sync,
                        ..
                    } => {
                        self.node.on_stored(self.clock(), last);
                        for (_, message) in send_after_sync {
                            self.node.on_message(self.clock(), message);
                        }
                    }
                }
            }
        }
    }

    /// Sends a request. Returns its answer, which must come at once.
    fn request(&mut self, request: Request) -> Answer {
        let token = self.send(request);
        let answers = self.settle();
        let answer = answers.into_iter().find(|(t, _)| *t == token);
        answer.expect("the request must be answered").1
    }

    fn send(&mut self, request: Request) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.node.on_request(self.clock(), token, request, MAX_WAIT);
        token
    }

    fn submit(&mut self, queue: &str, id: u64, spec: JobSpec) -> Answer {
        self.request(submission(queue, id, spec))
    }

    /// Submits jobs until one is refused. Returns the number of accepted ones.
    fn fill(&mut self, queue: &str, first_id: u64) -> u64 {
        for count in 0..10_000 {
            match self.submit(queue, first_id + count, spec(1_000, false)) {
                Answer::Accepted => {}
                Answer::Refused { reason, .. } => {
                    assert_eq!(reason, RefusalReason::Storage);
                    return count;
                }
                other => panic!("{other:?}"),
            }
        }
        panic!("no bound");
    }

    fn cancel(&mut self, queue: &str, id: u64) -> Answer {
        self.request(Request::Cancel {
            host: "host".to_owned(),
            path: path(queue, id),
        })
    }
}

fn path(queue: &str, id: u64) -> String {
    format!("/{queue}/{}", JobId(id))
}

fn submission(queue: &str, id: u64, spec: JobSpec) -> Request {
    Request::Submit {
        host: "host".to_owned(),
        path: path(queue, id),
        spec,
        age_ms: 0,
        resubmitted: false,
    }
}

/// Guards against stored jobs without a bound, and against a flood of one queue that takes the room of the others.
#[test]
fn a_flood_leaves_other_queues_their_share() {
    let mut group = Group::start();
    let accepted = group.fill(FLOODED, 1);
    let job = job_bytes(&spec(1_000, false));
    assert_eq!(accepted as usize, FLOOD_BOUND / job);
    let others = group.fill(OTHER, 100_000);
    assert_eq!(others as usize, (BOUND - accepted as usize * job) / job);
    assert!(group.node.state().held().total() <= BOUND);
}

/// Guards against a full group that cannot work itself empty, or that treats known jobs as new ones.
#[test]
fn a_full_group_serves_known_jobs() {
    let mut group = Group::start();
    let accepted = group.fill(FLOODED, 1);
    assert_eq!(
        group.submit(FLOODED, 1, spec(1_000, false)),
        Answer::Accepted,
        "a resent submission"
    );
    let query = Request::Query {
        host: "host".to_owned(),
        path: path(FLOODED, 1),
    };
    assert!(matches!(group.request(query), Answer::State(_)));
    for id in 1..=10 {
        assert_eq!(group.cancel(FLOODED, id), Answer::Cancelled);
    }
    let left = FLOOD_BOUND - group.node.state().held().total();
    let more = group.fill(FLOODED, accepted + 1);
    assert_eq!(more as usize, left / job_bytes(&spec(1_000, false)));
    assert!(more > 0);
}

/// Guards against a cost of ended jobs that stays, and against callers who fill the memory with outcomes.
#[test]
fn outcomes_count_until_they_are_dropped() {
    let mut group = Group::start();
    let mut ended = 0;
    while group.submit(FLOODED, ended, spec(0, false)) == Answer::Accepted {
        assert_eq!(group.cancel(FLOODED, ended), Answer::Cancelled);
        ended += 1;
        assert!(ended < 100_000, "no bound");
    }
    assert_eq!(
        group.node.state().held().total(),
        ended as usize * OUTCOME_BYTES
    );
    group.run(OUTCOME_RETENTION.as_millis() as u64 + 1_000);
    assert_eq!(
        group.submit(OTHER, 200_000, spec(0, false)),
        Answer::Accepted
    );
    assert_eq!(
        group.node.state().held().total(),
        job_bytes(&spec(0, false))
    );
}

/// Guards against volatile jobs that are outside the bound, and whose room is not returned.
#[test]
fn volatile_jobs_count_until_they_end() {
    let mut group = Group::start();
    let mut tokens = Vec::new();
    let refused = loop {
        let id = tokens.len() as u64;
        let token = group.send(submission(FLOODED, id, spec(4_000, true)));
        let answers = group.settle();
        if let Some((_, answer)) = answers.into_iter().find(|(t, _)| *t == token) {
            break answer;
        }
        tokens.push(token);
        assert!(tokens.len() < 10_000, "no bound");
    };
    assert!(matches!(
        refused,
        Answer::Refused {
            reason: RefusalReason::Storage,
            ..
        }
    ));
    for token in &tokens {
        group.node.withdraw(group.clock(), *token);
    }
    group.settle();
    let accepted = group.fill(FLOODED, 100_000);
    let job = job_bytes(&spec(1_000, false));
    assert_eq!(accepted as usize, FLOOD_BOUND / job);
}

/// Guards against a new leader that refuses by other figures than the former one, after a snapshot.
#[test]
fn a_snapshot_keeps_the_figures() {
    let mut group = Group::start();
    let accepted = group.fill(FLOODED, 1);
    group.cancel(FLOODED, accepted);
    let state = group.node.state();
    let decoded = ReplicatedState::decode(&state.encode()).unwrap();
    assert_eq!(decoded.held(), state.held());
    assert_eq!(&decoded, state);
}
