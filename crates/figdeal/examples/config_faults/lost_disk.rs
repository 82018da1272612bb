//! Scenario `lost-disk`: replicas lose their data folders and are replaced by replicas with new ids.

use std::time::Duration;

use figdeal::cli::Result;
use rand::{Rng, rngs::StdRng};

use crate::{
    Report,
    cluster::{Cluster, REPLICAS, bundle},
    restarts::{AcceptedChange, check_state},
};

/// Number of changes between two steps.
const CHANGES_PER_STEP: u64 = 10;
/// Timeout for the processes to reach the last version.
const START_TIMEOUT: Duration = Duration::from_secs(5);

pub async fn run(cluster: &Cluster, rng: &mut StdRng, report: &mut Report) -> Result<()> {
    let mut accepted = Vec::new();
    change(cluster, rng, &mut accepted).await?;
    let first = rng.random_range(0..REPLICAS);
    let second = (first + 1) % REPLICAS;
    let third = (first + 2) % REPLICAS;
    lose_and_replace(cluster, first, second, third, rng, report, &accepted).await?;
    // The next replica fails directly after the first one was replaced.
    cluster.kill(second);
    change(cluster, rng, &mut accepted).await?;
    check(cluster, rng, &accepted, report).await?;
    cluster.run(second)?;
    change(cluster, rng, &mut accepted).await?;
    lose_and_replace(cluster, second, third, first, rng, report, &accepted).await?;
    cluster.kill(third);
    change(cluster, rng, &mut accepted).await?;
    check(cluster, rng, &accepted, report).await?;
    cluster.run(third)?;
    let last = accepted.last().map_or(0, |a| a.number);
    let late = cluster.wait_for_version(&[0, 1, 2, 3, 4], last, START_TIMEOUT);
    report.check(late.is_empty(), || {
        format!("processes {late:?} did not reach {last}")
    });
    report.fact("changes accepted", accepted.len());
    Ok(())
}

/// Deletes the data folder of `lost`, checks that the restarted replica does not vote, and replaces it.
async fn lose_and_replace(
    cluster: &Cluster,
    lost: usize,
    down: usize,
    up: usize,
    rng: &mut StdRng,
    report: &mut Report,
    accepted: &[AcceptedChange],
) -> Result<()> {
    cluster.kill(lost);
    // The replica must be stopped, because a running one locks its folder.
    let old = cluster.member(lost)?;
    let (old, _) = old.split_once('@').ok_or("no identity")?;
    cluster.delete_data(lost)?;
    cluster.kill(down);
    cluster.run(lost)?;
    let next = accepted.last().map_or(0, |a| a.number) + 1;
    let proposal = cluster.proposal(next, &bundle(next + 1_000_000)?, 0, rng);
    for i in [up, lost] {
        let answer = cluster.client_of(i).command(proposal.clone()).await;
        report.check(answer.is_err(), || {
            format!("replica {i} answered {answer:?} with one member of three up")
        });
        let read = cluster.client_of(i).read().await;
        report.check(read.is_err(), || {
            format!("replica {i} claims to be current")
        });
    }
    cluster.run(down)?;
    // The proposal reached no quorum, but it may be on the disk of one replica and therefore still be chosen.
    let state = cluster.client(rng).read().await?;
    report.fact(
        &format!("replica {lost}: proposal of the minority"),
        if state.pending.is_some() {
            "pending later"
        } else {
            "dropped"
        },
    );
    check_state(&state, accepted, report);
    if let Some(pending) = state.pending {
        reject(cluster, &pending, rng).await?;
    }
    let new = cluster.member_of_running(lost)?;
    let key = cluster.folder.path().join("a.key");
    if !key.exists() {
        cluster.keys[0].write(&key)?;
    }
    let control = cluster.control[up].to_string();
    let key = key.display().to_string();
    let out = cluster.command(&[
        "control",
        "replace",
        "--control",
        &control,
        "--key",
        &key,
        "--old",
        old,
        "--new",
        &new,
    ])?;
    report.fact(&format!("replica {lost}: replace"), out.trim());
    let state = cluster.client(rng).read().await?;
    report.check(
        state
            .members
            .newest()
            .iter()
            .all(|m| m.id.to_string() != old),
        || format!("{old} is still a member"),
    );
    Ok(())
}

async fn reject(
    cluster: &Cluster,
    pending: &figdeal_control::state::PendingChange,
    rng: &mut StdRng,
) -> Result<()> {
    let change = cluster.rejection(pending, rng);
    cluster.client(rng).command(change).await?;
    Ok(())
}

async fn change(
    cluster: &Cluster,
    rng: &mut StdRng,
    accepted: &mut Vec<AcceptedChange>,
) -> Result<()> {
    for _ in 0..CHANGES_PER_STEP {
        let number = accepted.last().map_or(0, |a| a.number) + 1;
        let (digest, at) = cluster.change(number, rng).await?;
        accepted.push(AcceptedChange { number, digest, at });
    }
    Ok(())
}

async fn check(
    cluster: &Cluster,
    rng: &mut StdRng,
    accepted: &[AcceptedChange],
    report: &mut Report,
) -> Result<()> {
    let state = cluster.client(rng).read().await?;
    check_state(&state, accepted, report);
    Ok(())
}
