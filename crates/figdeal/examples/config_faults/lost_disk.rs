//! Data folders are lost, and their replicas replaced under new identities.

use std::time::Duration;

use figdeal::cli::Result;
use rand::{Rng, rngs::StdRng};

use crate::{
    Report,
    cluster::{Cluster, REPLICAS, bundle},
    restarts::{Accepted, check_state},
};

/// Changes between the steps.
const CHANGES: u64 = 10;
/// Time that a process gets to start.
const START: Duration = Duration::from_secs(5);

pub async fn run(cluster: &Cluster, rng: &mut StdRng, report: &mut Report) -> Result<()> {
    let mut accepted = Vec::new();
    change(cluster, rng, &mut accepted).await?;
    let first = rng.random_range(0..REPLICAS);
    let second = (first + 1) % REPLICAS;
    let third = (first + 2) % REPLICAS;
    lose(cluster, first, second, third, rng, report, &accepted).await?;
    // The second loss follows right after the repair of the first one.
    cluster.kill(second);
    change(cluster, rng, &mut accepted).await?;
    check(cluster, rng, &accepted, report).await?;
    cluster.run(second)?;
    change(cluster, rng, &mut accepted).await?;
    lose(cluster, second, third, first, rng, report, &accepted).await?;
    cluster.kill(third);
    change(cluster, rng, &mut accepted).await?;
    check(cluster, rng, &accepted, report).await?;
    cluster.run(third)?;
    let last = accepted.last().map_or(0, |a| a.number);
    let late = cluster.wait(&[0, 1, 2, 3, 4], last, START);
    report.check(late.is_empty(), || {
        format!("processes {late:?} did not reach {last}")
    });
    report.fact("changes accepted", accepted.len());
    Ok(())
}

/// Deletes the folder of `lost`, shows that it does not vote, and replaces it.
async fn lose(
    cluster: &Cluster,
    lost: usize,
    down: usize,
    up: usize,
    rng: &mut StdRng,
    report: &mut Report,
    accepted: &[Accepted],
) -> Result<()> {
    cluster.kill(lost);
    // A running replica locks its folder.
    let old = cluster.member(lost)?;
    let (old, _) = old.split_once('@').ok_or("no identity")?;
    cluster.delete_data(lost)?;
    cluster.kill(down);
    cluster.run(lost)?;
    let next = accepted.last().map_or(0, |a| a.number) + 1;
    let proposal = cluster.proposal(next, &bundle(next + 1_000_000)?, 0, rng);
    for i in [up, lost] {
        let answer = cluster.only(i).command(proposal.clone()).await;
        report.check(answer.is_err(), || {
            format!("replica {i} answered {answer:?} with one member of three up")
        });
        let read = cluster.only(i).read().await;
        report.check(read.is_err(), || {
            format!("replica {i} claims to be current")
        });
    }
    cluster.run(down)?;
    // The proposal without a majority may have reached the disk of one replica, so it may still win.
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

async fn change(cluster: &Cluster, rng: &mut StdRng, accepted: &mut Vec<Accepted>) -> Result<()> {
    for _ in 0..CHANGES {
        let number = accepted.last().map_or(0, |a| a.number) + 1;
        let (digest, at) = cluster.change(number, rng).await?;
        accepted.push(Accepted { number, digest, at });
    }
    Ok(())
}

async fn check(
    cluster: &Cluster,
    rng: &mut StdRng,
    accepted: &[Accepted],
    report: &mut Report,
) -> Result<()> {
    let state = cluster.client(rng).read().await?;
    check_state(&state, accepted, report);
    Ok(())
}
