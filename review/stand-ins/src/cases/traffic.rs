//! Clients that submit stored jobs at set times, and the check of LOST some time after the end of the traffic.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, EDGES, HOST, Result},
    http::{self, Call},
    worker::CAPACITY,
};

/// `finish_s`: jobs are asked for this long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running, while there is room for its task.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// How long jobs are watched from `FINISH` on.
const WATCH: Duration = Duration::from_secs(16);
/// Interval at which the runs of all runners are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Number of threads that submit jobs.
const CLIENTS: usize = 24;

/// A job that a client submits.
pub struct Planned {
    /// Time from the start of the traffic.
    pub at: Duration,
    pub id: u64,
    pub path: String,
    pub body: String,
    /// What each task needs, in thousandths of a core.
    pub cpu: u64,
    /// Whether the job can be done.
    pub possible: bool,
}

/// Submits the jobs, which are sorted by time. Returns the identities of those that were accepted.
pub fn submit(cluster: &Cluster, jobs: &Arc<Vec<Planned>>) -> Vec<u64> {
    let next = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (jobs, next, accepted) =
                (Arc::clone(jobs), Arc::clone(&next), Arc::clone(&accepted));
            let fronts: Vec<_> = (0..EDGES).map(|machine| cluster.front(machine)).collect();
            let record = cluster.record.clone();
            thread::spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    thread::sleep(job.at.saturating_sub(start.elapsed()));
                    let (to, timeout) = (fronts[index % EDGES], Duration::from_millis(1_500));
                    let call = Call {
                        to,
                        method: "POST",
                        host: HOST,
                        path: &job.path,
                        body: &job.body,
                        timeout,
                    };
                    let status = http::call(&call).map(|answer| answer.status);
                    record.line(format!("POST {} {} -> {status:?}", job.path, job.body));
                    if status == Some(200) {
                        accepted.lock().unwrap().push(job.id);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client must not fail");
    }
    std::mem::take(&mut accepted.lock().unwrap())
}

/// Waits for `finish_s` and checks LOST for the accepted jobs that can be done, each of one task: after that, a job
/// must be known, and must not have nothing running for 3 s while its task would fit twice and less than half of the
/// capacity is used. Returns the number of jobs that break this.
pub fn count_lost(cluster: &Cluster, jobs: &[Planned], accepted: &[u64]) -> Result<usize> {
    cluster.record.line("end of the traffic");
    thread::sleep(FINISH);
    let asked: Vec<&Planned> = jobs
        .iter()
        .filter(|job| job.possible && accepted.contains(&job.id))
        .collect();
    let mut open = BTreeMap::new();
    let mut states = BTreeMap::<String, usize>::new();
    for job in &asked {
        let state = state_of(cluster, job);
        if state != "completed" {
            cluster.record.line(format!("GET {} -> {state}", job.path));
            open.insert(job.id, (*job, Instant::now(), Duration::ZERO));
        }
        *states.entry(state).or_default() += 1;
    }
    cluster.record.print(format!(
        "14 s after the end of the traffic: {} jobs accepted that can be done, states {states:?}",
        asked.len()
    ));
    let start = Instant::now();
    while start.elapsed() < WATCH && !open.is_empty() {
        let running: Vec<Vec<String>> = cluster
            .workers
            .iter()
            .map(|worker| worker.running())
            .collect();
        let needs = |task: &str| -> u64 {
            let id = task
                .split('.')
                .next()
                .and_then(|id| u64::from_str_radix(id, 16).ok());
            jobs.iter()
                .find(|job| Some(job.id) == id)
                .map_or(CAPACITY, |job| job.cpu)
        };
        let used: Vec<u64> = running
            .iter()
            .map(|tasks| tasks.iter().map(|task| needs(task)).sum())
            .collect();
        let is_calm = used.iter().sum::<u64>() * 2 < CAPACITY * used.len() as u64;
        let now = Instant::now();
        for (id, (job, idle_since, longest)) in &mut open {
            let prefix = format!("{id:016x}.");
            let runs = running
                .iter()
                .flatten()
                .any(|task| task.starts_with(&prefix));
            let room: u64 = used
                .iter()
                .map(|used| CAPACITY.saturating_sub(*used) / job.cpu)
                .sum();
            if runs || !is_calm || room < 2 {
                *idle_since = now;
            }
            *longest = (*longest).max(now - *idle_since);
        }
        thread::sleep(WATCH_INTERVAL);
    }
    let mut lost = 0;
    for (job, _, longest) in open.values() {
        let state = state_of(cluster, job);
        let prefix = format!("{:016x}.", job.id);
        let starts = cluster.workers.iter().flat_map(|worker| worker.starts());
        let starts = starts
            .filter(|(task, ..)| task.starts_with(&prefix))
            .count();
        let is_lost = *longest >= IDLE_LIMIT && state != "completed";
        cluster.record.print(format!(
            "job {:016x}: {state}, {starts} starts, nothing running for up to {} ms with room for it: {}",
            job.id,
            longest.as_millis(),
            if is_lost { "LOST" } else { "held" }
        ));
        lost += usize::from(is_lost);
    }
    Ok(lost)
}

fn state_of(cluster: &Cluster, job: &Planned) -> String {
    let timeout = Duration::from_millis(1_500);
    let answer = (0..EDGES).find_map(|machine| {
        cluster
            .client(machine, "GET", &job.path, "", timeout)
            .filter(|answer| answer.status < 500)
    });
    match answer {
        Some(answer) if answer.status == 200 => {
            let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
            body["state"].as_str().unwrap_or("unreadable").to_owned()
        }
        Some(answer) => answer.status.to_string(),
        None => "no answer".to_owned(),
    }
}
