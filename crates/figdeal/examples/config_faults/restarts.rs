//! Scenario `restarts`: configuration changes are made while one process after the other is killed and restarted.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use figdeal::cli::Result;
use figdeal_control::types::Digest;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;

use crate::{
    Report,
    cluster::{AGENT, CHANGE_TARGET, Cluster, ObservedVersion, PROCESSES, REPLICAS},
};

/// Time for which a killed process stays down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 20..400;
/// Time until the next process is killed, in milliseconds.
const UP_MS: std::ops::Range<u64> = 100..900;
/// Delay between changes in milliseconds. Without it, 500 changes would be done after a few kills.
const CHANGE_DELAY_MS: std::ops::Range<u64> = 0..60;
/// Timeout for the last version to reach all processes, well above the target.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);

/// An accepted change.
#[derive(Debug)]
pub struct AcceptedChange {
    pub number: u64,
    pub digest: Digest,
    pub at: Instant,
}

pub async fn run(
    cluster: &Cluster,
    changes: u64,
    rng: &mut StdRng,
    report: &mut Report,
) -> Result<()> {
    let stop = AtomicBool::new(false);
    let kills = AtomicU32::new(0);
    let mut kill_rng = StdRng::seed_from_u64(rng.random());
    let accepted = thread::scope(|scope| {
        let thread = scope.spawn(|| kill_processes(cluster, &mut kill_rng, &stop, &kills));
        let accepted = tokio::task::block_in_place(|| {
            tokio::runtime::Handle::current().block_on(change_all(cluster, changes, rng, report))
        });
        stop.store(true, Ordering::Relaxed);
        let killed = thread.join().expect("the killing thread does not panic");
        killed?;
        accepted
    })?;
    report.fact("changes accepted", accepted.len());
    report.fact("kills and restarts", kills.load(Ordering::Relaxed));
    let all: Vec<usize> = (0..PROCESSES).collect();
    let late = cluster.wait_for_version(&all, changes, CATCH_UP_TIMEOUT);
    report.check(late.is_empty(), || {
        format!("processes {late:?} did not reach {changes}")
    });
    check_propagation(cluster, &accepted, &all, report);
    restart_all(cluster, changes, &accepted, report).await
}

fn kill_processes(
    cluster: &Cluster,
    rng: &mut StdRng,
    stop: &AtomicBool,
    kills: &AtomicU32,
) -> std::result::Result<(), String> {
    let mut order: Vec<usize> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(UP_MS)));
        if order.is_empty() {
            order = (0..PROCESSES).collect();
        }
        let victim = order.swap_remove(rng.random_range(0..order.len()));
        cluster.kill(victim);
        thread::sleep(Duration::from_millis(rng.random_range(DOWN_MS)));
        cluster.run(victim).map_err(|e| e.to_string())?;
        kills.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// Makes changes 1 to `count` and checks random reads against the changes accepted before them.
async fn change_all(
    cluster: &Cluster,
    count: u64,
    rng: &mut StdRng,
    report: &mut Report,
) -> Result<Vec<AcceptedChange>> {
    let mut accepted: Vec<AcceptedChange> = Vec::new();
    let mut reads = 0;
    for number in 1..=count {
        let (digest, at) = cluster.change(number, rng).await?;
        accepted.push(AcceptedChange { number, digest, at });
        if rng.random_bool(0.2) {
            reads += 1;
            let state = cluster.client(rng).read().await?;
            check_state(&state, &accepted, report);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(CHANGE_DELAY_MS))).await;
    }
    report.fact("reads checked", reads);
    Ok(accepted)
}

/// Checks that no accepted change is lost or reverted in `state`.
pub fn check_state(
    state: &figdeal_control::state::RegisterState,
    accepted: &[AcceptedChange],
    report: &mut Report,
) {
    let last = accepted.last().map_or(0, |a| a.number);
    report.check(state.number == last, || {
        format!(
            "a read gave number {} after {last} was accepted",
            state.number
        )
    });
    for change in &state.history {
        let known = accepted.iter().find(|a| a.number == change.number);
        report.check(known.is_some_and(|k| k.digest == change.digest), || {
            format!("number {} has another digest than accepted", change.number)
        });
    }
}

/// Reports the time until each change was active at each process, separately for processes that were running all the
/// time and those that restarted, and checks the former against the target.
pub fn check_propagation(
    cluster: &Cluster,
    accepted: &[AcceptedChange],
    processes: &[usize],
    report: &mut Report,
) {
    for &i in processes {
        let observed = cluster
            .process(i)
            .log
            .lock()
            .expect("lock")
            .observed
            .clone();
        let (mut steady, mut restarted) = (Vec::new(), Vec::new());
        for change in accepted {
            let previous = observed.iter().rev().find(|s| s.at <= change.at);
            let Some(first) = observed
                .iter()
                .find(|s| s.at > change.at && s.version >= change.number)
            else {
                // Either it was active before the answer arrived, or the final check reports it as missing.
                if observed.iter().any(|s| s.version >= change.number) {
                    steady.push(Duration::ZERO);
                }
                continue;
            };
            let was_active = observed
                .iter()
                .any(|s| s.at <= change.at && s.version >= change.number);
            match previous {
                _ if was_active => steady.push(Duration::ZERO),
                Some(ObservedVersion { incarnation, .. }) if *incarnation == first.incarnation => {
                    steady.push(first.at - change.at)
                }
                _ => restarted.push(first.at - change.at),
            }
        }
        let name = if i == AGENT {
            "agent".to_owned()
        } else {
            format!("entry {i}")
        };
        let over = steady.iter().filter(|d| **d > CHANGE_TARGET).count();
        report.check(over == 0, || {
            format!("{over} changes took over {CHANGE_TARGET:?} at {name}")
        });
        report.fact(
            &format!("in force ms, {name}"),
            json!({ "steady": summary(steady), "restarted": summary(restarted) }),
        );
    }
}

pub fn summary(mut times: Vec<Duration>) -> serde_json::Value {
    times.sort();
    let at = |part: usize| times.get((times.len() * part / 100).min(times.len().saturating_sub(1)));
    let ms = |d: Option<&Duration>| d.map(|d| (d.as_secs_f64() * 10_000.0).round() / 10.0);
    json!({ "count": times.len(), "p50": ms(at(50)), "p99": ms(at(99)), "max": ms(times.last()) })
}

/// Restarts all replicas and checks that they start with the newest version from disk and answer reads in time.
async fn restart_all(
    cluster: &Cluster,
    changes: u64,
    accepted: &[AcceptedChange],
    report: &mut Report,
) -> Result<()> {
    let replicas: Vec<usize> = (0..REPLICAS).collect();
    replicas.iter().for_each(|&i| cluster.kill(i));
    let start = Instant::now();
    for &i in &replicas {
        cluster.run(i)?;
    }
    let late = cluster.wait_for_version(&replicas, changes, CATCH_UP_TIMEOUT);
    report.check(late.is_empty(), || {
        format!("replicas {late:?} start below {changes}")
    });
    let mut reads = Vec::new();
    for &i in &replicas {
        loop {
            if let Ok(state) = cluster.client_of(i).read().await {
                check_state(&state, accepted, report);
                reads.push(start.elapsed());
                break;
            }
            if start.elapsed() > CATCH_UP_TIMEOUT {
                report
                    .violations
                    .push(format!("replica {i} answers no read"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let slowest = reads.iter().max().copied().unwrap_or(CATCH_UP_TIMEOUT);
    report.check(slowest < CHANGE_TARGET, || {
        format!("the start took {slowest:?}, target {CHANGE_TARGET:?}")
    });
    report.fact("start from disk until read, ms", summary(reads));
    Ok(())
}
