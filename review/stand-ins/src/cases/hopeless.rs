//! One stored job in twenty needs a label that no runner has, so it can never be done.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use super::traffic::{self, Planned};
use crate::{
    Verdict,
    cluster::{self, Cluster, Result, Route},
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
const JOBS: u64 = 720;
/// Jobs arrive in waves, since clients press at the same moments.
const WAVES: u64 = 6;
/// One job in this many can't be done, which is a share of 0.05.
const HOPELESS_JOB_INTERVAL: u64 = 20;
const ESTIMATE_MS: u64 = 90;
const TASK_CPU: u64 = 1_600;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict> {
    let cluster = Cluster::start(RUNNERS, &[ROUTE], record)?;
    let jobs = (0..JOBS).map(|n| {
        let is_hopeless = trouble && n % HOPELESS_JOB_INTERVAL == HOPELESS_JOB_INTERVAL - 1;
        let id = 0x2000 + n;
        let mut job = cluster::job(ESTIMATE_MS, 1, TASK_CPU, ESTIMATE_MS, false);
        if is_hopeless {
            job["steps"][0]["required_label"] = json!("c");
        }
        Planned {
            at: Duration::from_millis(n * WAVES / JOBS * TRAFFIC_MS / WAVES),
            id,
            path: format!("{}{id:016x}", ROUTE.prefix),
            body: job.to_string(),
            cpu: TASK_CPU,
            possible: !is_hopeless,
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
