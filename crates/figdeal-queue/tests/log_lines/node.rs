//! Lines, counts and gauges of a leader whose queue is flooded, and of one whose job is late.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    dispatch::{Limits, PoolUsage, QueueUsage},
    job::{JobId, JobSpec, Policy, Queue, QueueConfig, Resources, Step},
    message::{
        AgentReport, Announce, Answer, LeaderInfo, Order, PeerMessage, Request, RunEvent,
        RunOutcome, WorkerInfo,
    },
    node::{Action, Clock, Node, Options},
    raft::{HardState, Log, NodeId, Raft},
};

use crate::{capture_lines, field, lines, sample::omitted};

const POOL: &str = "pool";
const SESSION: u64 = 1;
const NEEDS: Resources = Resources {
    millicores: 1_300,
    memory_mb: 0,
    gpus: 0,
};

fn own() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

fn agent() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_001))
}

/// A leader that is the only voter, with its disk and its connection to one agent.
struct Leader {
    node: Node,
    at_ms: u64,
    sent: Vec<PeerMessage>,
    replies: Vec<Answer>,
    next_token: u64,
}

impl Leader {
    /// Creates a node that knows no leader. With `bootstrap`, it becomes one.
    fn node(bootstrap: bool) -> Leader {
        capture_lines();
        let options = Options {
            address: own(),
            data_centre: "a".to_owned(),
            has_disk: true,
            bootstrap,
            seeds: vec![own()],
            voter_count: 1,
            min_resubmit_delay: Duration::ZERO,
            stored_bytes: 64 << 20,
            data_centres: BTreeSet::new(),
            limits: Limits::default(),
        };
        let clock = clock(0);
        let raft = Raft::new(
            NodeId(1),
            HardState::default(),
            Log::default(),
            clock.now,
            1,
        );
        Leader {
            node: Node::new(options, raft, None, clock).unwrap(),
            at_ms: 0,
            sent: Vec::new(),
            replies: Vec::new(),
            next_token: 0,
        }
    }

    fn new() -> Leader {
        let mut leader = Leader::node(true);
        while !leader.node.is_serving() {
            leader.advance(10);
            assert!(leader.at_ms < 10_000, "the node becomes the leader");
        }
        let queue = Queue {
            name: "main".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            pool: POOL.to_owned(),
            policy: Policy {
                priority: 0,
                max_attempts: 3,
                goal_factor: 1.6,
                goal_slack_ms: 60,
            },
        };
        leader.request(Request::Configure(QueueConfig {
            version: 1,
            queues: vec![queue],
            text: String::new(),
        }));
        leader
    }

    /// Lets time pass and carries out all actions.
    fn advance(&mut self, ms: u64) {
        self.at_ms += ms;
        self.node.tick(clock(self.at_ms));
        self.run_actions();
    }

    fn run_actions(&mut self) {
        let clock = clock(self.at_ms);
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send(to, message) => self.send(to, message),
                    Action::Reply(_, answer) => self.replies.push(answer),
                    Action::Store {
                        last,
                        send_after_sync,
                        ..
                    } => {
                        self.node.on_stored(clock, last);
                        for (to, message) in send_after_sync {
                            self.send(to, message);
                        }
                    }
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        match to == own() {
            true => self.node.on_message(clock(self.at_ms), message),
            false => self.sent.push(message),
        }
    }

    fn request(&mut self, request: Request) {
        self.next_token += 1;
        let wait = Duration::from_secs(10);
        self.node
            .on_request(clock(self.at_ms), self.next_token, request, wait);
        self.run_actions();
    }

    fn submit(&mut self, job: JobId, needs: Resources) {
        let step = Step {
            count: 1,
            needs,
            estimate_ms: 60,
            ..Step::default()
        };
        self.request(Request::Submit {
            host: "h".to_owned(),
            path: format!("/q/{job}"),
            spec: JobSpec {
                steps: vec![step],
                volatile: true,
                ..JobSpec::default()
            },
            age_ms: 0,
            resubmitted: false,
        });
    }

    /// Adds an agent whose worker has room for one task.
    fn add_agent(&mut self) {
        let announce = Announce {
            address: agent(),
            session: SESSION,
            sent_us: self.at_ms * 1_000,
        };
        self.message(PeerMessage::Announce(announce));
        self.report(Vec::new());
        self.advance(50);
        self.report(Vec::new());
    }

    fn message(&mut self, message: PeerMessage) {
        self.node.on_message(clock(self.at_ms), message);
        self.run_actions();
    }

    fn report(&mut self, events: Vec<RunEvent>) {
        let report = AgentReport {
            address: agent(),
            session: SESSION,
            term: self.node.raft().term(),
            sent_us: self.at_ms * 1_000,
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
            running: Some(Vec::new()),
            undecided: Vec::new(),
            events,
            slow: Vec::new(),
            unanswered_starts: 0,
        };
        self.message(PeerMessage::Report(Box::new(report)));
    }

    fn refusals(&mut self) -> Vec<(&'static str, String, u64)> {
        let counts = self.node.take_refusals();
        let counts = counts.iter().map(|(r, q, n)| (r, q.to_owned(), n));
        counts.collect()
    }
}

fn clock(millis: u64) -> Clock {
    Clock {
        now: Timestamp::from_micros(1_000_000 + millis * 1_000),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// Guards against a leader that writes two lines for each volatile job of a flood, and against a refused job that is in
/// no line or no counter.
#[test]
fn flood_without_workers_names_each_refused_job() {
    let mut leader = Leader::new();
    for number in 0..900 {
        leader.submit(JobId(number), NEEDS);
    }
    for _ in 0..40 {
        leader.advance(50);
    }
    assert_eq!(leader.replies.len(), 901);
    let refused = ("overload_in_queue", "main".to_owned(), 900);
    assert_eq!(leader.refusals(), [refused]);
    assert_eq!((lines("E632").len(), lines("E630").len()), (10, 10));
    assert_eq!(omitted("E632", "Accepted").1, 890);
    let (mut named, suppressed) = omitted("E630", "Refused");
    assert_eq!(suppressed, 890);
    let in_full = lines("E630");
    named.extend(in_full.iter().map(|line| field(line, "job").to_owned()));
    assert_eq!(named.len(), 900, "each refused job is named");
    for (name, value) in [
        ("queue", "main"),
        ("outcome", "Refused"),
        ("goal_ms", "156"),
    ] {
        assert_eq!(field(&in_full[0], name), value, "{}", in_full[0]);
    }
}

/// Guards against a refusal on arrival that is not counted, and against a reason or a queue that is missing from it.
#[test]
fn refusal_on_arrival_has_its_reason_and_queue() {
    let mut leader = Leader::new();
    leader.add_agent();
    leader.advance(50);
    let needs = Resources {
        millicores: 9_000,
        ..NEEDS
    };
    leader.submit(JobId(7), needs);
    let refused = ("too_large", "main".to_owned(), 1);
    assert_eq!(leader.refusals(), [refused]);
    assert!(leader.refusals().is_empty(), "counted once");
    let line = lines("E622").pop().expect("the refusal is logged");
    for (name, value) in [("queue", "main"), ("reason", "TooLarge")] {
        assert_eq!(field(&line, name), value, "{line}");
    }
    assert_eq!(field(&line, "job"), JobId(7).to_string());
}

/// Guards against a late job whose line does not tell its goal and its queue, and against gauges that do not show which
/// queue uses the fleet.
#[test]
fn late_job_has_its_times_and_the_fleet_its_use() {
    let mut leader = Leader::new();
    leader.add_agent();
    leader.submit(JobId(1), NEEDS);
    let orders = leader.sent.iter().filter_map(|message| match message {
        PeerMessage::Orders(orders) => Some(&orders.orders),
        _ => None,
    });
    let start = orders.flatten().find_map(|order| match order {
        Order::Start { task, run, .. } => Some((*task, *run)),
        _ => None,
    });
    let (task, run) = start.expect("the task starts");
    leader.submit(JobId(2), NEEDS);
    let usage = leader.node.usage().expect("the node leads");
    let pool = PoolUsage {
        total: 1_300,
        used: 1_300,
        free: 0,
    };
    let queue = QueueUsage {
        used: 1_300,
        waiting: 1_300,
    };
    assert_eq!(usage.pools[POOL], pool);
    assert_eq!(usage.queues["main"], queue);
    leader.advance(250);
    leader.report(vec![RunEvent {
        seq: 1,
        task,
        run,
        outcome: RunOutcome::Done,
        elapsed_ms: 250,
    }]);
    let ended = lines("E630").into_iter();
    let mut ended = ended.filter(|line| field(line, "outcome") == "Done");
    let line = ended.next().expect("the end is logged");
    let expected = [
        ("job", "0000000000000001"),
        ("queue", "main"),
        ("late", "true"),
        ("took_ms", "250"),
        ("goal_ms", "156"),
        ("resubmitted", "false"),
    ];
    for (name, value) in expected {
        assert_eq!(field(&line, name), value, "{line}");
    }
}

/// Guards against an entry node that writes a line for each request when its leader falls silent, and against lines from
/// which the job cannot be told.
#[test]
fn requests_without_an_answer_name_their_jobs() {
    let mut entry = Leader::node(false);
    let leader = agent();
    entry.message(PeerMessage::LeaderInfo(LeaderInfo {
        from: leader,
        leader: Some(leader),
        serving: true,
        term: 1,
        members: Vec::new(),
    }));
    for number in 0..30 {
        entry.submit(JobId(number), NEEDS);
    }
    // Long enough to give up the jobs, and for the lines about them.
    for _ in 0..60 {
        entry.advance(50);
    }
    let unknown = |answer: &&Answer| **answer == Answer::OutcomeUnknown;
    assert_eq!(entry.replies.iter().filter(unknown).count(), 30);
    let in_full = lines("E614");
    assert_eq!(in_full.len(), 10);
    let (mut named, suppressed) = omitted("E614", "NoAnswer");
    assert_eq!(suppressed, 20);
    let paths = in_full.iter().map(|line| field(line, "path"));
    named.extend(paths.map(|path| path.trim_start_matches("/q/").to_owned()));
    assert_eq!(named.len(), 30, "each job is named");
}
