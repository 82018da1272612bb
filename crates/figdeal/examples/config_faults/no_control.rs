//! Scenario `no-control`: entries restart while all control replicas are down.

use std::time::{Duration, Instant};

use figdeal::cli::Result;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::{
    Report,
    cluster::{Cluster, DISKLESS, REPLICAS},
};

/// Number of changes before the control replicas are killed.
const INITIAL_CHANGES: u64 = 10;
/// Timeout of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without control replicas before an entry is restarted; the age that it reports must be at least this.
const OUTAGE_DURATION: Duration = Duration::from_secs(12);

pub async fn run(cluster: &Cluster, rng: &mut StdRng, report: &mut Report) -> Result<()> {
    for number in 1..=INITIAL_CHANGES {
        cluster.change(number, rng).await?;
    }
    let late = cluster.wait_for_version(&[0, 1, 2, 3, 4], INITIAL_CHANGES, STEP_TIMEOUT);
    report.check(late.is_empty(), || {
        format!("processes {late:?} did not reach {INITIAL_CHANGES}")
    });
    tokio::time::sleep(STEP_TIMEOUT).await;
    (0..REPLICAS).for_each(|i| cluster.kill(i));
    let gone = Instant::now();
    tokio::time::sleep(OUTAGE_DURATION).await;
    // Process 0 restarts as an entry; its control replica reaches no quorum.
    cluster.run(0)?;
    let late = cluster.wait_for_version(&[0], INITIAL_CHANGES, STEP_TIMEOUT);
    report.check(late.is_empty(), || {
        "the entry with a folder has no version".to_owned()
    });
    let status = get(cluster, 0, "/v1/status")?;
    let (age, real) = (
        status["version_age_ms"].as_u64(),
        gone.elapsed().as_millis() as u64,
    );
    report.fact("entry with folder, version", status["version"].clone());
    report.fact("entry with folder, age ms", json!(age));
    report.fact("time without control ms", real);
    report.check(status["version"] == INITIAL_CHANGES, || {
        format!("status {status}")
    });
    // The confirmation on disk is up to 5 s older than the last one, which is up to 1 s older than the kill.
    let fits = age.is_some_and(|age| (real..real + 7_000).contains(&age));
    report.check(fits, || {
        format!("age {age:?} does not fit {real} ms without control")
    });
    let kept = get(cluster, DISKLESS, "/v1/status")?;
    report.check(kept["version"] == INITIAL_CHANGES, || {
        format!("the running entry has {kept}")
    });
    // Replica 0 would return its stored version to a poll.
    cluster.kill(0);
    cluster.kill(DISKLESS);
    cluster.run(DISKLESS)?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let ready = get(cluster, DISKLESS, "/readyz")?;
    report.fact("entry without disk, readyz", ready.clone());
    report.check(
        ready["ready"] == false
            && ready["reason"]
                .as_str()
                .is_some_and(|r| r.contains("configuration")),
        || format!("the entry without a disk answers {ready}"),
    );
    Ok(())
}

fn get(cluster: &Cluster, i: usize, path: &str) -> Result<Value> {
    let url = format!("http://{}{path}", cluster.http[i]);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let start = Instant::now();
    loop {
        match agent.get(&url).call() {
            Ok(mut response) => {
                return Ok(serde_json::from_str(
                    &response.body_mut().read_to_string()?,
                )?);
            }
            Err(e) if start.elapsed() > STEP_TIMEOUT => return Err(format!("{url}: {e}").into()),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}
