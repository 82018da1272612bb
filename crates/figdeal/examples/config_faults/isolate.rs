//! Scenario `isolate`: one replica is isolated while changes are made, and reconnected.

use std::time::{Duration, Instant};

use figdeal::{
    cli::Result,
    control_client::{Client, Step},
};
use rand::{Rng, rngs::StdRng};

use crate::{
    Report,
    cluster::{CHANGE_TARGET, COMMAND_TIMEOUT, Cluster, REPLICAS, bundle},
    relay::IsolationMode,
    restarts::{AcceptedChange, check_propagation, check_state, summary},
};

/// Number of changes in each phase.
const CHANGES_PER_PHASE: u64 = 20;
/// Number of reads, and of proposals, sent to the isolated replica.
const REQUEST_ROUNDS: usize = 3;
/// Delay between two changes.
const CHANGE_DELAY: Duration = Duration::from_millis(50);

pub async fn run(cluster: &Cluster, rng: &mut StdRng, report: &mut Report) -> Result<()> {
    let mut accepted = Vec::new();
    let all: Vec<usize> = (0..REPLICAS).collect();
    let before = change(cluster, &all, rng, &mut accepted).await?;
    report.fact("change ms, before", summary(before));
    for cut in [IsolationMode::Silent, IsolationMode::Closed] {
        let victim = rng.random_range(0..REPLICAS);
        let others: Vec<usize> = all.iter().copied().filter(|&i| i != victim).collect();
        let pid = cluster.pid(victim);
        cluster.network.isolate(pid, cut);
        let next = accepted.last().map_or(0, |a: &AcceptedChange| a.number) + 1;
        let proposal = cluster.proposal(next, &bundle(next + 1_000_000)?, 0, rng);
        let client = cluster.client_of(victim);
        let asking = async {
            let start = Instant::now();
            let mut results = Vec::new();
            for _ in 0..REQUEST_ROUNDS {
                results.push(client.read().await.map(|_| ()).map_err(|e| e.step));
                let answer = client.command(proposal.clone()).await;
                results.push(answer.map(|_| ()).map_err(|e| e.step));
            }
            (results, start.elapsed())
        };
        let (times, (results, asked)) =
            tokio::join!(change(cluster, &others, rng, &mut accepted), asking);
        report.fact(&format!("change ms, {cut:?}"), summary(times?));
        let unavailable = results.iter().filter(|r| **r == Err(Step::Quorum)).count();
        report.fact(
            &format!("unavailable answers, {cut:?}"),
            format!(
                "{unavailable} of {} in {} ms",
                results.len(),
                asked.as_millis()
            ),
        );
        report.check(unavailable == results.len(), || {
            format!("the isolated replica {victim} gave {results:?}")
        });
        let newest = accepted.last().map_or(0, |a| a.number);
        report.check(cluster.version(victim) < newest, || {
            "the isolated replica was not cut off".to_owned()
        });
        // Check the last changes against the target, at the other replicas only.
        check_propagation(cluster, &accepted[accepted.len() - 5..], &others, report);
        let start = Instant::now();
        cluster.network.reconnect_all();
        let times = change(cluster, &others, rng, &mut accepted).await;
        let late = cluster.wait_for_version(&[victim], newest, CHANGE_TARGET);
        report.check(late.is_empty(), || {
            format!("replica {victim} did not catch up")
        });
        report.fact(
            &format!("catch-up seen ms, {cut:?}"),
            catch_up_ms(cluster, victim, start, newest),
        );
        report.fact(&format!("change ms, return after {cut:?}"), summary(times?));
        let times = change(cluster, &all, rng, &mut accepted).await?;
        let slow = times.iter().filter(|t| **t > CHANGE_TARGET).count();
        report.check(slow == 0, || {
            format!("{slow} changes over {CHANGE_TARGET:?} after the return")
        });
        report.fact(&format!("change ms, after {cut:?}"), summary(times));
        let state = cluster.client_of(victim).read().await?;
        check_state(&state, &accepted, report);
    }
    report.fact("changes accepted", accepted.len());
    Ok(())
}

fn catch_up_ms(cluster: &Cluster, victim: usize, start: Instant, version: u64) -> Option<u64> {
    let process = cluster.process(victim);
    let log = process.log.lock().expect("lock");
    let seen = log.observed.iter().find(|s| s.version >= version)?;
    Some(seen.at.saturating_duration_since(start).as_millis() as u64)
}

/// Makes changes through `replicas` and returns the duration of each.
async fn change(
    cluster: &Cluster,
    replicas: &[usize],
    rng: &mut StdRng,
    accepted: &mut Vec<AcceptedChange>,
) -> Result<Vec<Duration>> {
    let mut times = Vec::new();
    for turn in 0..CHANGES_PER_PHASE as usize {
        let number = accepted.last().map_or(0, |a| a.number) + 1;
        let start = Instant::now();
        let client = |shift: usize| {
            let at = (turn + shift) % replicas.len();
            let order = replicas[at..].iter().chain(&replicas[..at]);
            Client::new(
                order.map(|&i| cluster.control[i]).collect(),
                COMMAND_TIMEOUT,
            )
        };
        let digest = cluster
            .change_through(number, &client(0), &client(1), rng)
            .await?;
        times.push(start.elapsed());
        accepted.push(AcceptedChange {
            number,
            digest,
            at: Instant::now(),
        });
        tokio::time::sleep(CHANGE_DELAY).await;
    }
    Ok(times)
}
