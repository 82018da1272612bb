//! Hostile clients against real processes on loopback. Each test checks that the attacked process stays alive, that its
//! memory and descriptors stay within a bound, and that it answers an ordinary request while the crowd is connected.

mod crowd;
// These tests send no signals.
#[allow(dead_code)]
#[path = "../fleet/processes.rs"]
mod processes;
mod stored;

use std::{
    fs,
    io::Read,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use processes::{Layout, Process, RunFolder};

/// Timeout of one step. Only a failing test reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const NODES: u8 = 3;
/// The node that the crowds attack.
const TARGET: u8 = 1;
const AGENT: u8 = NODES + 1;
/// Third byte of the loopback addresses.
const SUBNET: u8 = 9;
/// Limits of the processes. The bounds below follow from them.
const LIMITS: &str = "[limits]\nbudget_bytes = 8388608\nconnections = 128\nconnections_per_address = 128\n\
                      reserved_connections = 32\npeer_budget_bytes = 16777216\npeer_connections = 64\n";
/// Bound of the peak memory of an attacked process: both budgets, 160 HTTP connections and the process itself.
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Bound of the open descriptors of an attacked process: 224 connections, and 36 for files, listeners and own
/// connections.
const MAX_DESCRIPTORS: usize = 260;
/// Bound of the peak memory under crowds at the listener for other processes: its budget, a read buffer of 64 KiB for
/// each of its 64 connections, and the process itself.
const MAX_PEER_MEMORY_KB: u64 = (16 + 4 + 16) * 1024;
const METRICS_PORT: u16 = figdeal_platform::settings::METRICS_PORT;
/// Size of the configuration in the test of unread answers.
const LARGE_CONFIG_BYTES: usize = 900_000;
/// Largest body within the limits.
const LEGAL_BODY_BYTES: usize = 262_144;

/// Held by the one test that runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test runs, and keeps others out until the returned value is dropped.
fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Not a test by itself: runs a node or agent if the parent process requests it.
#[test]
fn child_process() {
    processes::become_child();
}

/// Three nodes and an agent.
struct Fleet {
    layout: Layout,
    processes: Vec<Process>,
    _folder: RunFolder,
}

impl Fleet {
    /// Starts the processes and waits until a configuration is in force.
    fn start() -> Fleet {
        let folder = RunFolder::new();
        let layout = Layout {
            subnet: SUBNET,
            disks: NODES,
            nodes: NODES,
            folder: folder.path().to_owned(),
            proxied: false,
            data_centres: &[],
            limits: LIMITS.to_owned(),
        };
        let processes = (1..=AGENT).map(|machine| Process::start(&layout, machine, true));
        let fleet = Fleet {
            processes: processes.collect(),
            layout,
            _folder: folder,
        };
        let control = fleet.layout.control(TARGET);
        fleet.wait_for_answer("start", |_| {
            exchange(control, "PUT", "/figdeal/config", &config(1, ""))
        });
        fleet
    }

    fn wait_for_answer(&self, step: &str, call: impl Fn(&Fleet) -> Option<u16>) {
        let start = Instant::now();
        while start.elapsed() < STEP_TIMEOUT {
            if call(self).is_some_and(|status| status < 500) {
                return;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        panic!("no answer: {step}");
    }

    fn call_node(&self, machine: u8, method: &str, path: &str, body: &str) -> Option<u16> {
        exchange(self.layout.front(machine), method, path, body)
    }

    fn call_agent(&self) -> Option<u16> {
        exchange(self.layout.control(AGENT), "GET", "/none", "")
    }

    fn metrics(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.layout.front(machine).ip(), METRICS_PORT)
    }

    fn kill(&mut self, machine: u8) {
        let process = &mut self.processes[usize::from(machine) - 1].0;
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Checks an attacked process while the crowd is still connected.
    fn check(&mut self, machine: u8, max_memory_kb: u64) {
        match machine {
            AGENT => self.wait_for_answer("agent", Fleet::call_agent),
            _ => {
                self.wait_for_answer("caller", |f| f.call_node(machine, "GET", "/none/", ""));
                let body = "x".repeat(LEGAL_BODY_BYTES);
                self.wait_for_answer("body", |f| f.call_node(machine, "POST", "/none/1", &body));
                let control = self.layout.control(machine);
                self.wait_for_answer("operator", |_| {
                    exchange(control, "GET", "/figdeal/config", "")
                });
            }
        }
        let metrics = self.metrics(machine);
        self.wait_for_answer("metrics", |_| exchange(metrics, "GET", "/", ""));
        let process = &mut self.processes[usize::from(machine) - 1].0;
        assert_eq!(process.try_wait().unwrap(), None, "the process has ended");
        let folder = format!("/proc/{}", process.id());
        let memory_kb = peak_memory_kb(&folder);
        let descriptors = fs::read_dir(format!("{folder}/fd")).unwrap().count();
        println!("memory_kb={memory_kb} descriptors={descriptors}");
        assert!(memory_kb <= max_memory_kb, "peak of {memory_kb} KiB");
        assert!(
            descriptors <= MAX_DESCRIPTORS,
            "{descriptors} descriptors are open"
        );
    }
}

fn config(version: u64, name: &str) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"{name}"}}]}}"#)
}

fn exchange(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let client = processes::client(Duration::from_secs(5));
    processes::exchange(&client, to, method, path, body.to_owned()).map(|(status, _)| status)
}

fn peak_memory_kb(process_folder: &str) -> u64 {
    let status = fs::read_to_string(format!("{process_folder}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Runs a crowd against a machine and checks it before the crowd disconnects.
fn attack<C>(machine: u8, crowd: impl FnOnce(&Fleet) -> C) {
    attack_within(MAX_MEMORY_KB, machine, crowd);
}

/// Like [`attack`], with another bound of the peak memory.
fn attack_within<C>(max_memory_kb: u64, machine: u8, crowd: impl FnOnce(&Fleet) -> C) {
    let _running = run_alone();
    let mut fleet = Fleet::start();
    let connected = crowd(&fleet);
    fleet.check(machine, max_memory_kb);
    drop(connected);
}

/// Guards against a process that runs out of memory because of many large bodies at once, sent whole or in pieces.
#[test]
fn large_bodies_that_stop_short() {
    attack(TARGET, |fleet| {
        crowd::connect(300, fleet.layout.front(TARGET), |n, stream| {
            let piece = if n % 2 == 0 { 1_000_000 } else { 8_192 };
            crowd::send_body(stream, 1_000_000, 999_990, piece)
        })
    });
}

/// Guards against a process that runs out of memory because of chunked bodies, in particular of very small chunks, each
/// of which held a part of a read buffer.
#[test]
fn chunked_bodies_that_stop_short() {
    attack(TARGET, |fleet| {
        crowd::connect(240, fleet.layout.front(TARGET), |n, stream| {
            let (size, count) = if n % 12 == 0 {
                (1, 200_000)
            } else {
                (65_536, 15)
            };
            crowd::send_chunks(stream, size, count)
        })
    });
}

/// Guards against a process that reads bodies far over the limit.
#[test]
fn bodies_over_the_limit() {
    attack(TARGET, |fleet| {
        crowd::connect(300, fleet.layout.front(TARGET), |n, stream| match n % 2 {
            0 => crowd::send_body(stream, 1 << 30, 1_000_000, 65_536),
            _ => crowd::send_chunks(stream, 65_536, 64),
        })
    });
}

/// Guards against waiting for a body whose announced length is over the limit.
#[test]
fn an_announced_length_is_refused_before_the_body() {
    attack(TARGET, |fleet| {
        let mut stream = TcpStream::connect(fleet.layout.front(TARGET)).unwrap();
        crowd::send_body(&mut stream, 1 << 30, 0, 1).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        let mut status = [0; 12];
        stream.read_exact(&mut status).unwrap();
        assert_eq!(&status, b"HTTP/1.1 413");
    });
}

/// Guards against connections that hold descriptors and buffers because their headers never end.
#[test]
fn headers_that_never_end() {
    attack(TARGET, |fleet| {
        crowd::connect(400, fleet.layout.front(TARGET), |_, stream| {
            crowd::send_headers(stream, 15_000)
        })
    });
}

/// Guards against connections without a request that use up all descriptors, at each HTTP listener of a node.
#[test]
fn silent_connections() {
    attack(TARGET, |fleet| {
        let targets = [
            fleet.layout.front(TARGET),
            fleet.layout.control(TARGET),
            fleet.metrics(TARGET),
        ];
        targets.map(|to| crowd::connect(400, to, |_, _| Ok(())))
    });
}

/// Guards against answers that use up the memory because nobody reads them.
#[test]
fn answers_that_are_never_read() {
    attack(TARGET, |fleet| {
        let config = config(2, &"x".repeat(LARGE_CONFIG_BYTES));
        let control = fleet.layout.control(TARGET);
        fleet.wait_for_answer("configuration", |_| {
            exchange(control, "PUT", "/figdeal/config", &config)
        });
        crowd::connect(100, control, |_, stream| {
            crowd::send_requests(stream, "/figdeal/config", 20)?;
            crowd::wait_for_answer(stream)
        })
    });
}

/// Guards against connections that stay open, or bytes that stay counted, after a reset at any step of a request.
#[test]
fn resets_at_each_step() {
    attack(TARGET, |fleet| {
        for _ in 0..6 {
            let front = fleet.layout.front(TARGET);
            drop(crowd::connect(100, front, |n, stream| {
                crowd::reset_at_step(stream, n % 6)
            }));
        }
    });
}

/// Guards against an agent that runs out of memory or descriptors because of heartbeats.
#[test]
fn hostile_heartbeats() {
    attack(AGENT, |fleet| {
        let control = fleet.layout.control(AGENT);
        let silent = crowd::connect(400, control, |_, _| Ok(()));
        let bodies = crowd::connect(300, control, |_, stream| {
            crowd::send_body(stream, 1_000_000, 999_990, 65_536)
        });
        (silent, bodies)
    });
}

/// Guards against large messages that stop short, at the listener for other processes.
#[test]
fn peer_messages_that_stop_short() {
    attack_within(MAX_PEER_MEMORY_KB, TARGET, |fleet| {
        crowd::connect(6, fleet.layout.internal(TARGET).0, |n, stream| {
            crowd::send_greeting(stream, n)?;
            crowd::send_frame(stream, 60 << 20, 50 << 20)
        })
    });
}

/// Guards against many large messages that stop short, of which each one alone fits into the budget.
#[test]
fn many_peer_messages_that_stop_short() {
    attack_within(MAX_PEER_MEMORY_KB, TARGET, |fleet| {
        crowd::connect(200, fleet.layout.internal(TARGET).0, |n, stream| {
            crowd::send_greeting(stream, n)?;
            crowd::send_frame(stream, 60 << 20, 4 << 20)
        })
    });
}

/// Guards against connections of other processes that send nothing after their address.
#[test]
fn silent_peers() {
    attack(TARGET, |fleet| {
        crowd::connect(400, fleet.layout.internal(TARGET).0, |n, stream| {
            crowd::send_greeting(stream, n)
        })
    });
}

/// Guards against bodies that share no budget because they arrive at several listeners of a process.
#[test]
fn bodies_at_every_listener() {
    attack(TARGET, |fleet| {
        let targets = [
            fleet.layout.front(TARGET),
            fleet.layout.control(TARGET),
            fleet.metrics(TARGET),
        ];
        targets.map(|to| {
            crowd::connect(100, to, |_, stream| {
                crowd::send_body(stream, 1_000_000, 999_990, 65_536)
            })
        })
    });
}

/// Guards against protocols that the process does not speak, and against bodies that are announced with a question.
#[test]
fn other_protocols() {
    attack(TARGET, |fleet| {
        crowd::connect(300, fleet.layout.front(TARGET), |n, stream| match n % 3 {
            0 => crowd::send_preface(stream),
            1 => crowd::send_upgrade(stream),
            _ => crowd::send_expectation(stream, 1_000_000, 999_990),
        })
    });
}

/// Guards against a group that finds no new leader, or a node that hangs, while a crowd is connected.
#[test]
fn a_node_is_lost_under_a_crowd() {
    let _running = run_alone();
    for lost in 1..=NODES {
        let mut fleet = Fleet::start();
        let attacked = lost % NODES + 1;
        let crowd = crowd::connect(300, fleet.layout.front(attacked), |_, stream| {
            crowd::send_body(stream, 1_000_000, 999_990, 65_536)
        });
        fleet.kill(lost);
        fleet.check(attacked, MAX_MEMORY_KB);
        drop(crowd);
    }
}

/// Guards against a crowd that keeps a node from ending after SIGTERM.
#[test]
fn a_node_ends_under_a_crowd() {
    let _running = run_alone();
    let mut fleet = Fleet::start();
    let crowd = crowd::connect(300, fleet.layout.front(TARGET), |n, stream| match n % 2 {
        0 => Ok(()),
        _ => crowd::send_body(stream, 1_000_000, 999_990, 65_536),
    });
    let process = &mut fleet.processes[usize::from(TARGET) - 1];
    process.signal("TERM");
    let start = Instant::now();
    while process.0.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < STEP_TIMEOUT, "the process does not end");
        thread::sleep(RETRY_INTERVAL);
    }
    drop(crowd);
}
