//! Tests with real processes on loopback: three nodes with a disk, an agent, and a stand-in for its worker.

mod evacuation;
#[path = "../fleet/processes.rs"]
mod processes;

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use figdeal_platform::stand_in as wire;
use figdeal_queue::job::{JobId, JobSpec, Resources, Step};
use figdeal_stand_in::{
    checker::SubmittedJob,
    server::{SharedFleet, WorkerFleet},
};
use processes::{Layout, Process, RunFolder};

/// Timeout of one step. Only a failing test reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const NODES: u8 = 3;
/// Third byte of the loopback addresses.
const SUBNET: u8 = 7;
/// Number of concurrent callers while a node shuts down.
const CALLERS: u64 = 12;

/// Not a test by itself: runs a node or agent if the parent process requests it.
#[test]
fn child_process() {
    processes::become_child();
}

fn layout(folder: &Path) -> Layout {
    Layout {
        subnet: SUBNET,
        disks: NODES,
        nodes: NODES,
        folder: folder.to_owned(),
        proxied: false,
        data_centres: &[],
        limits: String::new(),
    }
}

fn exchange(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let client = processes::client(Duration::from_secs(2));
    processes::exchange(&client, to, method, path, body.to_owned())
}

/// Repeats a request until the reply has the given status and contains the given text.
fn wait_for_reply(
    description: &str,
    status: u16,
    text: &str,
    mut request: impl FnMut() -> Option<(u16, String)>,
) {
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < STEP_TIMEOUT {
        last = request();
        if last
            .as_ref()
            .is_some_and(|(s, body)| *s == status && body.contains(text))
        {
            return;
        }
        thread::sleep(RETRY_INTERVAL);
    }
    panic!("{description}: {last:?}");
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"caller","path_prefix":"/q/",
    "kind":"non_idempotent","timeout_ms":1500,"target_duration_ms":60,"priority":0,
    "service":"pool","max_attempts":4,"stretch":1.6}],"services":[{"name":"pool"}]}"#;
const TASKS_PER_JOB: u32 = 3;

/// Registers a job with the checker and returns its JSON form.
fn register_job(fleet: &SharedFleet, id: JobId, volatile: bool) -> String {
    let step = Step {
        count: TASKS_PER_JOB,
        needs: Resources {
            millicores: 500,
            ..Resources::default()
        },
        estimate_ms: 30,
        ..Step::default()
    };
    let spec = JobSpec {
        payload: "x".to_owned(),
        steps: vec![step],
        volatile,
    };
    let text = wire::encode_job(&spec);
    fleet
        .lock()
        .checker
        .jobs
        .insert(id, SubmittedJob::new(spec, 4));
    text
}

/// Guards against the loss of jobs or of the configuration when any one node is killed and restarted.
#[test]
fn nothing_is_lost_when_nodes_are_killed() {
    let folder = RunFolder::new();
    let layout = layout(folder.path());
    let agent_machine = NODES + 1;
    let fleet = SharedFleet::new(WorkerFleet::new(1));
    fleet
        .add_worker(
            layout.worker(agent_machine),
            layout.control(agent_machine),
            8_000,
        )
        .unwrap();
    let mut nodes: Vec<Option<Process>> = (1..=NODES)
        .map(|n| Some(Process::start(&layout, n, true)))
        .collect();
    let _agent = Process::start(&layout, agent_machine, true);
    let (front, control) = (|n| layout.front(n), |n| layout.control(n));
    wait_for_reply("configuration", 200, "", || {
        exchange(control(1), "PUT", "/figdeal/config", CONFIG)
    });

    for round in 0..NODES {
        let killed = round + 1;
        let other = killed % NODES + 1;
        let id = JobId(0xa0 + u64::from(round));
        let (path, job) = (format!("/q/{id}"), register_job(&fleet, id, false));
        wait_for_reply("job accepted", 200, "", || {
            exchange(front(killed), "POST", &path, &job)
        });
        // Kills the node that has just accepted the job, whether or not it is the leader.
        nodes[usize::from(round)] = None;
        wait_for_reply("job completed", 200, "completed", || {
            exchange(front(other), "GET", &path, "")
        });
        wait_for_reply("configuration kept", 200, "\"version\":7", || {
            exchange(control(other), "GET", "/figdeal/config", "")
        });
        nodes[usize::from(round)] = Some(Process::start(&layout, killed, false));
        wait_for_reply("node back", 200, "completed", || {
            exchange(front(killed), "GET", &path, "")
        });
    }
    {
        let check = &fleet.lock().checker;
        let tasks = u32::from(NODES) * TASKS_PER_JOB;
        assert_eq!(check.start_count(), tasks as usize, "a task has run twice");
        assert!(check.violations.is_empty(), "{:?}", check.violations);
    }
    wait_for_reply("unknown job", 410, "", || {
        exchange(front(1), "GET", "/q/00000000000000ff", "")
    });
    wait_for_reply("unknown queue", 404, "", || {
        exchange(front(1), "GET", "/other/", "")
    });
    wait_for_reply("bad job", 400, "", || {
        exchange(front(1), "POST", "/q/00000000000000ee", "{")
    });
    let submit = |id| submit_volatile(&layout, &fleet, JobId(id));
    wait_for_reply("volatile job", 200, "completed", || submit(0xdd));
    stop_under_load(&mut nodes, &submit);
    check_lost_connections(&layout, agent_machine);
}

/// Checks that the lines about lost connections name the kind of the peer: the nodes that were killed were peers of the
/// agent, and of each other.
fn check_lost_connections(layout: &Layout, agent_machine: u8) {
    for machine in [1, agent_machine] {
        let log = std::fs::read_to_string(layout.log(machine)).unwrap();
        let lost: Vec<&str> = log.lines().filter(|l| l.contains("E653 ")).collect();
        assert!(
            lost.iter().any(|line| line.contains(" role=node ")),
            "machine {machine}: {lost:#?}"
        );
        assert!(
            lost.iter().all(|line| {
                let has = |name: &str| line.contains(name);
                (has(" opened_by=self ") || has(" opened_by=peer ")) && has(" unanswered_ms=")
            }),
            "machine {machine}: {lost:#?}"
        );
    }
}

fn submit_volatile(layout: &Layout, fleet: &SharedFleet, id: JobId) -> Option<(u16, String)> {
    let job = register_job(fleet, id, true);
    exchange(layout.front(2), "POST", &format!("/q/{id}"), &job)
}

/// Checks that SIGTERM ends a process within its grace period while many requests arrive.
fn stop_under_load(
    nodes: &mut [Option<Process>],
    submit: &(impl Fn(u64) -> Option<(u16, String)> + Sync),
) {
    let stopped = std::sync::atomic::AtomicBool::new(false);
    let node = nodes[1].as_mut().unwrap();
    thread::scope(|scope| {
        for thread in 0..CALLERS {
            let stopped = &stopped;
            scope.spawn(move || {
                let mut id = thread << 32;
                while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                    id += 1;
                    submit(id);
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        node.signal("TERM");
        let start = Instant::now();
        let mut status = None;
        while status.is_none() && start.elapsed() < STEP_TIMEOUT {
            status = node.0.try_wait().unwrap();
            thread::sleep(RETRY_INTERVAL);
        }
        stopped.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(
            status.is_some_and(|s| s.success()),
            "the process has not ended: {status:?}"
        );
    });
    nodes[1] = None;
}
