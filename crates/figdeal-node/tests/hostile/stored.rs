//! Clients that submit complete jobs of legal size without end, which no worker serves.

use std::{
    fs,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use figdeal_queue::job::JobId;

use crate::{
    AGENT, Fleet, NODES, STEP_TIMEOUT, TARGET, exchange, peak_memory_kb, processes,
    processes::Process, run_alone,
};

/// Bound of the peak memory of each node: that of the smallest machine.
const MAX_NODE_MEMORY_KB: u64 = 160 * 1024;
/// Number of submitted jobs. If all were accepted, their log entries would have more than 12 MiB, so that the nodes take a
/// snapshot.
const JOBS: u64 = 3_600;
/// Number of concurrent clients.
const CLIENTS: u64 = 48;
/// Timeout of one request of the crowd.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CONFIG: &str = r#"{"version":2,"routes":[
    {"name":"flooded","host":"caller","path_prefix":"/flooded/","kind":"non_idempotent","timeout_ms":1500,
     "target_duration_ms":60,"priority":0,"service":"pool","max_attempts":4,"stretch":1.6},
    {"name":"other","host":"caller","path_prefix":"/other/","kind":"non_idempotent","timeout_ms":1500,
     "target_duration_ms":60,"priority":0,"service":"pool","max_attempts":4,"stretch":1.6}],
    "services":[{"name":"pool"}]}"#;

/// Returns a job of 4 KB with as many tasks as a job may have.
fn large_job() -> String {
    let payload = "x".repeat(3_900);
    format!(
        r#"{{"specification":"{payload}","steps":[{{"count":10000,"cpu":500,"estimated_ms":30}}]}}"#
    )
}

const SMALL_JOB: &str =
    r#"{"specification":"x","steps":[{"count":1,"cpu":500,"estimated_ms":30}]}"#;

/// Starts three nodes without an agent, and submits the jobs. Returns the identities of the accepted ones.
fn fill() -> (Fleet, Vec<JobId>) {
    let mut fleet = Fleet::start();
    fleet.processes.truncate(usize::from(NODES));
    let control = fleet.layout.control(TARGET);
    fleet.wait_for_answer("configuration", |_| {
        exchange(control, "PUT", "/figdeal/config", CONFIG)
    });
    let job = large_job();
    let accepted = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, job, accepted) = (&fleet, &job, &accepted);
            scope.spawn(move || {
                let connection = processes::client(REQUEST_TIMEOUT);
                let front = fleet.layout.front(client as u8 % NODES + 1);
                for number in (client..JOBS).step_by(CLIENTS as usize) {
                    let id = JobId(number + 1);
                    let path = format!("/flooded/{id}");
                    let answer =
                        processes::exchange(&connection, front, "POST", &path, job.clone());
                    if answer.is_some_and(|(status, _)| status == 200) {
                        accepted.lock().unwrap().push(id);
                    }
                }
            });
        }
    });
    let accepted = accepted.into_inner().unwrap();
    println!("submitted={JOBS} accepted={}", accepted.len());
    assert!(!accepted.is_empty(), "no job was accepted");
    (fleet, accepted)
}

impl Fleet {
    fn restart(&mut self, machine: u8) {
        self.processes[usize::from(machine) - 1] = Process::start(&self.layout, machine, false);
    }

    /// Checks that each job is known to the group.
    fn assert_known(&self, machine: u8, jobs: &[JobId]) {
        let front = self.layout.front(machine);
        let connection = processes::client(REQUEST_TIMEOUT);
        let query = |id: JobId| {
            let path = format!("/flooded/{id}");
            processes::exchange(&connection, front, "GET", &path, String::new()).map(|a| a.0)
        };
        self.wait_for_answer("restart", |_| query(jobs[0]));
        for id in jobs {
            let start = Instant::now();
            let mut status = query(*id);
            while status.is_none_or(|s| s >= 500) && start.elapsed() < STEP_TIMEOUT {
                thread::sleep(POLL_INTERVAL);
                status = query(*id);
            }
            assert_eq!(status, Some(200), "state of the accepted job {id}");
        }
    }

    /// Returns whether the newest set of voters that a machine knows has `voter` and no longer has `former`.
    fn is_replaced(&self, machine: u8, former: &str, voter: &str) -> bool {
        let log = fs::read_to_string(self.layout.log(machine)).unwrap();
        let voters = log.lines().rfind(|l| l.contains("E616 set of voters"));
        voters.is_some_and(|line| line.contains(voter) && !line.contains(former))
    }

    /// Returns the identity of the storage that the newest process of a machine has opened, as the list of voters in
    /// the log shows it.
    fn node_id(&self, machine: u8) -> Option<String> {
        let log = fs::read_to_string(self.layout.log(machine)).ok()?;
        let line = log.lines().rfind(|l| l.contains("E664 node created"))?;
        let id = line.split("node=").nth(1)?.split(' ').next()?;
        let id = u64::from_str_radix(id, 16).unwrap();
        Some(format!("NodeId({id})"))
    }
}

/// Guards against nodes that run out of memory because of stored jobs, and against a flood of one queue that keeps the
/// callers of another one out.
#[test]
fn stored_jobs_stay_within_the_memory() {
    let _running = run_alone();
    let (mut fleet, _) = fill();
    fleet.wait_for_answer("other queue", |f| {
        f.call_node(TARGET, "POST", "/other/00000000000f0000", SMALL_JOB)
    });
    for machine in 1..AGENT {
        let process = &mut fleet.processes[usize::from(machine) - 1].0;
        assert_eq!(process.try_wait().unwrap(), None, "the process has ended");
        let memory_kb = peak_memory_kb(&format!("/proc/{}", process.id()));
        println!("machine={machine} memory_kb={memory_kb}");
        assert!(memory_kb <= MAX_NODE_MEMORY_KB, "peak of {memory_kb} KiB");
    }
}

/// Guards against a restart of the whole group that loses accepted jobs.
#[test]
fn a_restart_keeps_every_accepted_job() {
    let _running = run_alone();
    let (mut fleet, accepted) = fill();
    for machine in 1..=NODES {
        fleet.kill(machine);
    }
    for machine in 1..=NODES {
        fleet.restart(machine);
    }
    fleet.assert_known(TARGET, &accepted);
}

/// Guards against a node with a wiped disk that never becomes a voter again, because the state is too large to be sent.
#[test]
fn a_wiped_voter_joins() {
    let _running = run_alone();
    let (mut fleet, accepted) = fill();
    let wiped = NODES;
    fleet.kill(wiped);
    fs::remove_dir_all(fleet.layout.data(wiped)).unwrap();
    let former = fleet.node_id(wiped).unwrap();
    fleet.restart(wiped);
    let start = Instant::now();
    let joined = |fleet: &Fleet| {
        let voter = fleet.node_id(wiped).filter(|id| *id != former);
        voter.is_some_and(|voter| fleet.is_replaced(wiped, &former, &voter))
    };
    while !joined(&fleet) {
        assert!(start.elapsed() < STEP_TIMEOUT, "the wiped node is no voter");
        thread::sleep(POLL_INTERVAL);
    }
    // The other two are a quorum only if the wiped node votes.
    fleet.kill(TARGET);
    fleet.assert_known(wiped, &accepted);
}
