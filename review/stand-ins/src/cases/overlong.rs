//! Some stored jobs take six times as long as their caller estimates.

use std::{sync::Arc, time::Duration};

use super::traffic::{self, Planned};
use crate::{
    Verdict,
    cluster::{self, Cluster, Result, Route},
    record::Record,
};

const ROUTE: Route = Route {
    prefix: "/slots/",
    priority: 1,
    max_attempts: 4,
};
const RUNNERS: usize = 3;
/// Duration of the traffic, as long as the disruption.
const TRAFFIC_MS: u64 = 3_000;
const JOBS: u64 = 300;
/// One job in this many takes longer, which is a share of 0.05.
const LONG_JOB_INTERVAL: u64 = 20;
const ESTIMATE_MS: u64 = 300;
/// How many times as long as estimated the long jobs take.
const LONG_FACTOR: u64 = 6;
const TASK_CPU: u64 = 500;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict> {
    let cluster = Cluster::start(RUNNERS, &[ROUTE], record)?;
    let jobs = (0..JOBS).map(|n| {
        let is_long = trouble && n % LONG_JOB_INTERVAL == LONG_JOB_INTERVAL - 1;
        let length_ms = if is_long {
            ESTIMATE_MS * LONG_FACTOR
        } else {
            ESTIMATE_MS
        };
        let id = 0x1000 + n;
        Planned {
            at: Duration::from_millis(n * TRAFFIC_MS / JOBS),
            id,
            path: format!("{}{id:016x}", ROUTE.prefix),
            body: cluster::job(length_ms, 1, TASK_CPU, ESTIMATE_MS, false).to_string(),
            cpu: TASK_CPU,
            possible: true,
        }
    });
    let jobs = Arc::new(jobs.collect::<Vec<_>>());
    let accepted = traffic::submit(&cluster, &jobs);
    let lost = traffic::count_lost(&cluster, &jobs, &accepted)?;
    record.print(format!(
        "{} of {JOBS} jobs accepted, {lost} lost",
        accepted.len()
    ));
    cluster.stop();
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
