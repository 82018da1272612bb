//! Real processes on loopback: three nodes with a disk, an agent, and a stand-in for its worker.

mod stand_in;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use stand_in::StandIn;

/// The test program runs itself with this variable to become one of the processes.
const ROLE: &str = "FIGDEAL_TEST_ROLE";
/// Time after which a step counts as failed; it only ends a broken run.
const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);
const NODES: u8 = 3;
const FRONT: u16 = 18_161;
const CONTROL: u16 = 18_166;
const WORKER: u16 = 18_165;
/// Callers at once while a node stops.
const CALLERS: u64 = 12;

/// Becomes a process if the parent asks for it; nothing otherwise.
#[test]
fn child_process() {
    match std::env::var(ROLE).as_deref() {
        Ok("queue") => figdeal_node::queue::run().unwrap(),
        Ok(_) => figdeal_node::agent::run().unwrap(),
        Err(_) => {}
    }
}

fn ip(machine: u8) -> String {
    format!("127.0.7.{machine}")
}

fn settings(folder: &Path, machine: u8, bootstrap: bool) -> PathBuf {
    let seeds: Vec<String> = (1..=NODES)
        .map(|n| format!("\"{}:{CONTROL}\"", ip(n)))
        .collect();
    let own = ip(machine);
    let node = machine <= NODES;
    let place = match node {
        true => format!(
            "data_directory = {:?}",
            folder.join(format!("data-{machine}"))
        ),
        false => format!("app = \"{own}:{WORKER}\""),
    };
    let front = if node {
        format!("front = \"{own}:{FRONT}\"")
    } else {
        String::new()
    };
    let text = format!(
        "node_name = \"m{machine}\"\nip = \"{own}\"\nzone = \"a\"\ninternal_ports = [18170, 18180]\n\
         seeds = [{}]\nbootstrap = {bootstrap}\n{place}\n[listen]\n{front}\n\
         control = \"{own}:{CONTROL}\"\n[fault_tolerance]\nmachines = 1\n",
        seeds.join(",")
    );
    let path = folder.join(format!("settings-{machine}.toml"));
    fs::write(&path, text).unwrap();
    path
}

/// A child process that ends with the test.
struct Process(Child);

impl Process {
    fn start(folder: &Path, machine: u8, bootstrap: bool) -> Process {
        let role = if machine <= NODES { "queue" } else { "agent" };
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["child_process", "--exact", "--nocapture"])
            .env(ROLE, role)
            .env("FIGDEAL_BOOT", settings(folder, machine, bootstrap))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Process(child.unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        self.0.wait().unwrap();
    }
}

/// Status and body of an exchange, if there was an answer.
fn exchange(request: ureq::http::Request<String>) -> Option<(u16, String)> {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = config
        .timeout_global(Some(Duration::from_secs(2)))
        .build()
        .into();
    let mut answer = agent.run(request).ok()?;
    let body = answer.body_mut().read_to_string().ok()?;
    Some((answer.status().as_u16(), body))
}

fn ask(machine: u8, port: u16, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{}:{port}{path}", ip(machine)))
        .header("host", "caller")
        .body(body.to_owned())
        .unwrap();
    exchange(request)
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
const JOB: &str = r#"{"specification":"x","steps":[{"count":3,"cpu":500,"estimated_ms":30}]}"#;

/// Guards against jobs and a configuration that are lost when any one node is killed and starts again.
#[test]
fn nothing_is_lost_when_nodes_are_killed() {
    let folder = tempfile::tempdir().unwrap();
    let address = |machine: u8, port| SocketAddr::new(ip(machine).parse().unwrap(), port);
    let side = NODES + 1;
    let worker = StandIn::start(address(side, WORKER), address(side, CONTROL));
    let mut nodes: Vec<Option<Process>> = (1..=NODES)
        .map(|n| Some(Process::start(folder.path(), n, true)))
        .collect();
    let _agent = Process::start(folder.path(), side, true);
    until("configuration", 200, "", || {
        ask(1, CONTROL, "PUT", "/figdeal/config", CONFIG)
    });

    for round in 0..NODES {
        let killed = round + 1;
        let other = killed % NODES + 1;
        let path = format!("/q/00000000000000a{round}");
        until("job accepted", 200, "", || {
            ask(killed, FRONT, "POST", &path, JOB)
        });
        // Killed with the job just accepted, whether it leads or not.
        nodes[usize::from(round)] = None;
        until("job completed", 200, "completed", || {
            ask(other, FRONT, "GET", &path, "")
        });
        until("configuration kept", 200, "\"version\":7", || {
            ask(other, CONTROL, "GET", "/figdeal/config", "")
        });
        nodes[usize::from(round)] = Some(Process::start(folder.path(), killed, false));
        until("node back", 200, "completed", || {
            ask(killed, FRONT, "GET", &path, "")
        });
    }
    let (runs, twice) = worker.runs();
    assert_eq!((runs, twice.len()), (9, 0), "{twice:?}");
    until("unknown job", 410, "", || {
        ask(1, FRONT, "GET", "/q/00000000000000ff", "")
    });
    until("unknown queue", 404, "", || {
        ask(1, FRONT, "GET", "/other/", "")
    });
    until("bad job", 400, "", || {
        ask(1, FRONT, "POST", "/q/00000000000000ee", "{")
    });
    until("volatile job", 200, "completed", || volatile(0xdd));
    stop_under_load(&mut nodes);
}

fn volatile(id: u64) -> Option<(u16, String)> {
    let job = JOB.replacen('{', "{\"best_effort\":true,", 1);
    ask(2, FRONT, "POST", &format!("/q/{id:016x}"), &job)
}

/// SIGTERM among many other inputs must end the process in its grace time.
fn stop_under_load(nodes: &mut [Option<Process>]) {
    let stopped = std::sync::atomic::AtomicBool::new(false);
    let node = &mut nodes[1].as_mut().unwrap().0;
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
        let pid = node.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &pid])
                .status()
                .unwrap()
                .success()
        );
        let start = Instant::now();
        let mut status = None;
        while status.is_none() && start.elapsed() < LIMIT {
            status = node.try_wait().unwrap();
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
