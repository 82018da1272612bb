//! Some jobs can never be done: a step waits for one that the job doesn't have.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Verdict,
    cluster::{self, Cluster, EDGES, Result, Route},
    record::Record,
};

const ROUTE: Route = Route {
    prefix: "/quotes/",
    priority: 0,
    max_attempts: 4,
};
const RUNNERS: usize = 3;
/// Duration of the traffic, as long as the disruption.
const TRAFFIC_MS: u64 = 3_000;
const JOBS: u64 = 300;
/// One job in this many can't be done, which is a share of 0.05.
const HOPELESS_JOB_INTERVAL: u64 = 20;
/// Number of requests in a row that come to the same node.
const CLIENT_REQUESTS: u64 = 7;
const TASK_MS: u64 = 60;
const TASK_CPU: u64 = 1_600;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After this delay, the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// Number of ends of its own by which a machine counts for the rule.
const OWN_ENDS: usize = 3;
/// Number of machines that break the rule.
const MACHINES: usize = 2;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict> {
    let mut cluster = Cluster::start(RUNNERS, &[ROUTE], record)?;
    let mut own_ends = [0; EDGES];
    let mut answered = 0;
    let start = Instant::now();
    for n in 0..JOBS {
        thread::sleep(Duration::from_millis(n * TRAFFIC_MS / JOBS).saturating_sub(start.elapsed()));
        let is_hopeless = trouble && n % HOPELESS_JOB_INTERVAL == HOPELESS_JOB_INTERVAL - 1;
        let mut job = cluster::job(TASK_MS, 2, TASK_CPU, TASK_MS, true);
        if is_hopeless {
            job["steps"][0]["after"] = json!([1]);
        }
        // A client stays with its node for some requests.
        let (machine, path) = (
            (n / CLIENT_REQUESTS) as usize % EDGES,
            format!("{}{:016x}", ROUTE.prefix, 0x4000 + n),
        );
        let status = cluster
            .client(machine, "POST", &path, &job.to_string(), CLIENT_TIMEOUT)
            .map(|answer| answer.status);
        record.line(format!(
            "POST {path} to machine {machine} {job} -> {status:?}"
        ));
        answered += usize::from(status.is_some());
        for (machine, ends) in own_ends.iter_mut().enumerate() {
            if let Some(status) = cluster.own_end(machine) {
                *ends += 1;
                let reason = cluster.logged(machine, "panicked at");
                record.print(format!(
                    "process of machine {machine} ended by itself: {status}, {reason:?}"
                ));
                thread::sleep(RESTART_DELAY);
                cluster.start_process(machine, false)?;
            }
        }
    }
    record.print(format!(
        "{answered} of {JOBS} requests answered; ends by themselves by machine: {own_ends:?}"
    ));
    let machines = own_ends.iter().filter(|ends| **ends >= OWN_ENDS).count();
    cluster.stop();
    Ok(if machines >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
