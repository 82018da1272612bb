//! Jobs are cancelled while the process of an agent is killed and starts again. What the agent was told in between is
//! lost, and its runs go on under the runner's lease.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cluster::{self, Cluster, EDGES, Result, Route},
    record::Record,
};

const ROUTE: Route = Route {
    prefix: "/orders/",
    priority: 2,
    max_attempts: 3,
};
const RUNNERS: usize = 3;
const JOBS: u64 = 6;
/// Duration of each task, and its estimate.
const TASK_MS: u64 = 10_000;
const TASK_CPU: u64 = 1_600;
/// How long the killed process is down.
const DOWN: Duration = Duration::from_millis(100);
/// `contact_window_ms`, after which the disruption isn't near any more.
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
/// `cancel_ms` and `stop_ms`: within this calm time, the tasks of a cancelled job have to be gone.
const CANCEL_BOUND: Duration = Duration::from_millis(3_050);
/// Added to the bound, as the moments are measured by this process.
const MARGIN: Duration = Duration::from_millis(500);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
const START_TIMEOUT: Duration = Duration::from_secs(5);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict> {
    let mut cluster = Cluster::start(RUNNERS, &[ROUTE], record)?;
    let paths: Vec<String> = (0..JOBS)
        .map(|n| format!("{}{:016x}", ROUTE.prefix, 0x3000 + n))
        .collect();
    for path in &paths {
        let body = cluster::job(TASK_MS, 1, TASK_CPU, TASK_MS, false).to_string();
        let status = cluster
            .client(EDGES - 1, "POST", path, &body, CLIENT_TIMEOUT)
            .map(|answer| answer.status);
        record.line(format!("POST {path} -> {status:?}"));
        if status != Some(200) {
            return Err("a job was not accepted".to_owned());
        }
    }
    let start = Instant::now();
    let running = |cluster: &Cluster| -> usize {
        cluster
            .workers
            .iter()
            .map(|worker| worker.running().len())
            .sum()
    };
    while running(&cluster) < JOBS as usize {
        if start.elapsed() > START_TIMEOUT {
            return Err("not all jobs have started".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    let busiest = (0..RUNNERS)
        .max_by_key(|n| cluster.workers[*n].running().len())
        .unwrap_or(0);
    record.line(format!(
        "worker-{busiest} runs {:?}",
        cluster.workers[busiest].running()
    ));
    if trouble {
        cluster.kill(EDGES + busiest);
    }
    let killed_at = Instant::now();
    for path in &paths {
        let status = cluster
            .client(EDGES - 1, "DELETE", path, "", CLIENT_TIMEOUT)
            .map(|answer| answer.status);
        record.line(format!("DELETE {path} -> {status:?}"));
        if status != Some(200) {
            return Err("a cancelling was not acknowledged".to_owned());
        }
    }
    record.line("all cancellings are acknowledged");
    if trouble {
        thread::sleep(DOWN.saturating_sub(killed_at.elapsed()));
        cluster.start_process(EDGES + busiest, false)?;
    }
    thread::sleep(CONTACT_WINDOW + CANCEL_BOUND + MARGIN);
    let mut left = Vec::new();
    for (n, worker) in cluster.workers.iter().enumerate() {
        left.extend(
            worker
                .running()
                .into_iter()
                .map(|task| format!("worker-{n} still runs {task}")),
        );
    }
    for line in &left {
        record.print(format!(
            "{line}, {} ms after the kill",
            killed_at.elapsed().as_millis()
        ));
    }
    for path in &paths {
        let state = cluster
            .client(EDGES - 1, "GET", path, "", CLIENT_TIMEOUT)
            .map(|answer| answer.body);
        record.line(format!("GET {path} -> {state:?}"));
    }
    cluster.stop();
    Ok(if left.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
