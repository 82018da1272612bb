//! Real processes on loopback: three nodes with a disk, an agent, and a stand-in for its worker.

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
    check::Sent,
    server::{Shared, Yard},
};
use processes::{Layout, Process};

/// Time after which a step counts as failed; it only ends a broken run.
const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);
const NODES: u8 = 3;
/// Third part of the addresses.
const NET: u8 = 7;
/// Callers at once while a node stops.
const CALLERS: u64 = 12;

/// Becomes a process if the parent asks for it; nothing otherwise.
#[test]
fn child_process() {
    processes::become_child();
}

fn layout(folder: &Path) -> Layout {
    Layout {
        net: NET,
        disks: NODES,
        nodes: NODES,
        folder: folder.to_owned(),
        proxied: false,
    }
}

fn ask(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let client = processes::client(Duration::from_secs(2));
    processes::exchange(&client, to, method, path, body.to_owned())
}
/// Repeats a question until its answer has the status and the text.
fn until(what: &str, status: u16, text: &str, mut question: impl FnMut() -> Option<(u16, String)>) {
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < LIMIT {
        last = question();
        if last
            .as_ref()
            .is_some_and(|(s, body)| *s == status && body.contains(text))
        {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("{what}: {last:?}");
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"caller","path_prefix":"/q/",
    "kind":"non_idempotent","timeout_ms":1500,"target_duration_ms":60,"priority":0,
    "service":"pool","max_attempts":4,"stretch":1.6}],"services":[{"name":"pool"}]}"#;
const TASKS: u32 = 3;

/// Tells the judge of a job and returns the text to hand in.
fn introduce(yard: &Shared, id: JobId, volatile: bool) -> String {
    let step = Step {
        count: TASKS,
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
    let text = wire::job(&spec);
    yard.lock().check.jobs.insert(id, Sent::new(spec, 4));
    text
}

/// Guards against jobs and a configuration that are lost when any one node is killed and starts again.
#[test]
fn nothing_is_lost_when_nodes_are_killed() {
    let folder = tempfile::tempdir().unwrap();
    let layout = layout(folder.path());
    let side = NODES + 1;
    let yard = Shared::new(Yard::new(1));
    yard.add_worker(layout.worker(side), layout.control(side), 8_000)
        .unwrap();
    let mut nodes: Vec<Option<Process>> = (1..=NODES)
        .map(|n| Some(Process::start(&layout, n, true)))
        .collect();
    let _agent = Process::start(&layout, side, true);
    let (front, control) = (|n| layout.front(n), |n| layout.control(n));
    until("configuration", 200, "", || {
        ask(control(1), "PUT", "/figdeal/config", CONFIG)
    });

    for round in 0..NODES {
        let killed = round + 1;
        let other = killed % NODES + 1;
        let id = JobId(0xa0 + u64::from(round));
        let (path, job) = (format!("/q/{id}"), introduce(&yard, id, false));
        until("job accepted", 200, "", || {
            ask(front(killed), "POST", &path, &job)
        });
        // Killed with the job just accepted, whether it leads or not.
        nodes[usize::from(round)] = None;
        until("job completed", 200, "completed", || {
            ask(front(other), "GET", &path, "")
        });
        until("configuration kept", 200, "\"version\":7", || {
            ask(control(other), "GET", "/figdeal/config", "")
        });
        nodes[usize::from(round)] = Some(Process::start(&layout, killed, false));
        until("node back", 200, "completed", || {
            ask(front(killed), "GET", &path, "")
        });
    }
    {
        let check = &yard.lock().check;
        let tasks = u32::from(NODES) * TASKS;
        assert_eq!(check.start_count(), tasks as usize, "a task has run twice");
        assert!(check.broken.is_empty(), "{:?}", check.broken);
    }
    until("unknown job", 410, "", || {
        ask(front(1), "GET", "/q/00000000000000ff", "")
    });
    until("unknown queue", 404, "", || {
        ask(front(1), "GET", "/other/", "")
    });
    until("bad job", 400, "", || {
        ask(front(1), "POST", "/q/00000000000000ee", "{")
    });
    let volatile = |id| volatile(&layout, &yard, JobId(id));
    until("volatile job", 200, "completed", || volatile(0xdd));
    stop_under_load(&mut nodes, &volatile);
}

fn volatile(layout: &Layout, yard: &Shared, id: JobId) -> Option<(u16, String)> {
    let job = introduce(yard, id, true);
    ask(layout.front(2), "POST", &format!("/q/{id}"), &job)
}

/// SIGTERM among many other inputs must end the process in its grace time.
fn stop_under_load(
    nodes: &mut [Option<Process>],
    volatile: &(impl Fn(u64) -> Option<(u16, String)> + Sync),
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
                    volatile(id);
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        node.signal("TERM");
        let start = Instant::now();
        let mut status = None;
        while status.is_none() && start.elapsed() < LIMIT {
            status = node.0.try_wait().unwrap();
            thread::sleep(PAUSE);
        }
        stopped.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(
            status.is_some_and(|s| s.success()),
            "the process has not ended: {status:?}"
        );
    });
    nodes[1] = None;
}
