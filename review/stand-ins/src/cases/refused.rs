//! A route is removed and the leader is stopped by SIGTERM while a job of the route is at work.

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cluster::{self, Cluster, EDGES, HOST, Result, Route},
    http::{self, Call},
    record::Record,
};

const KEPT_ROUTE: Route = Route {
    prefix: "/quotes/",
    priority: 0,
    max_attempts: 4,
};
const DROPPED_ROUTE: Route = Route {
    prefix: "/orders/",
    priority: 2,
    max_attempts: 3,
};
const RUNNERS: usize = 3;
/// Duration of each task, and its estimate.
const TASK_MS: u64 = 500;
const TASK_CPU: u64 = 1_600;
/// Time budget of the client.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from handing the job in to the change of the configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(100);
/// `resend_ms`: time after which a client sends a job again that got no clear answer.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
const MAX_ATTEMPTS: usize = 4;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict> {
    let mut cluster = Cluster::start(RUNNERS, &[KEPT_ROUTE, DROPPED_ROUTE], record)?;
    let path = format!("{}{:016x}", DROPPED_ROUTE.prefix, 0x5000);
    let body = cluster::job(TASK_MS, 4, TASK_CPU, TASK_MS, true).to_string();
    let (to, client_path, client_record) = (cluster.front(EDGES - 1), path.clone(), record.clone());
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for _ in 0..MAX_ATTEMPTS {
            let (path, body) = (&client_path, &body);
            let call = Call {
                to,
                method: "POST",
                host: HOST,
                path,
                body,
                timeout: CLIENT_TIMEOUT,
            };
            let start = Instant::now();
            let status = http::call(&call).map(|answer| answer.status);
            client_record.print(format!(
                "POST {path} -> {status:?} after {} ms",
                start.elapsed().as_millis()
            ));
            let _ = sender.send(status);
            // Only after these outcomes is the job sent again.
            if !matches!(status, None | Some(502 | 504)) {
                return;
            }
            thread::sleep(RESEND_DELAY);
        }
    });
    thread::sleep(CHANGE_DELAY);
    if trouble {
        let leader = cluster
            .leader_with_jobs()
            .ok_or("no machine says that it leads")?;
        cluster.configure(&[KEPT_ROUTE], leader)?;
        cluster.terminate(leader)?;
    }
    let statuses: Vec<Option<u16>> = receiver.iter().collect();
    thread::sleep(Duration::from_millis(2 * TASK_MS));
    let is_of_job = |task: &str| path.ends_with(task.split('.').next().unwrap_or("-"));
    let starts = cluster.workers.iter().flat_map(|worker| worker.starts());
    let started = starts.filter(|(task, ..)| is_of_job(task)).count();
    let done = cluster.workers.iter().flat_map(|worker| worker.done());
    let done = done.filter(|task| is_of_job(task)).count();
    record.print(format!(
        "{started} tasks of the job have started, {done} have ended done; answers: {statuses:?}"
    ));
    let is_rejection =
        |status: &Option<u16>| status.is_some_and(|status| matches!(status, 400..=499 | 503));
    let rejected = !statuses.is_empty() && statuses.iter().all(is_rejection);
    cluster.stop();
    Ok(if rejected && started > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
