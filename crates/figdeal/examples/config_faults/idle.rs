//! Scenario `idle`: traffic, CPU time and memory of the processes when nothing changes.

use std::{fs, sync::atomic::Ordering, time::Duration};

use figdeal::cli::Result;
use rand::rngs::StdRng;
use serde_json::json;

use crate::{
    Report,
    cluster::{AGENT, Cluster, DISKLESS, PROCESSES},
};

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Delay before the measurement, in which connections and caches settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Budget of each process in design 1.4: bytes sent per second, percent of a core, and memory in MB.
const IDLE_BUDGET: (f64, f64, f64) = (5_000.0, 1.9, 128.0);
/// Clock ticks per second in `/proc/PID/stat`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

pub async fn run(cluster: &Cluster, rng: &mut StdRng, report: &mut Report) -> Result<()> {
    cluster.change(1, rng).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let read = || -> Result<Vec<[f64; 3]>> { (0..PROCESSES).map(|i| usage(cluster, i)).collect() };
    let before = read()?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = read()?;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    for i in 0..PROCESSES {
        let rate = |k: usize| (after[i][k] - before[i][k]) / seconds;
        let (bytes, chunks, cpu) = (rate(0), rate(1), rate(2) / TICKS_PER_SECOND * 100.0);
        let memory = memory(cluster.pid(i))?;
        let name = match i {
            DISKLESS => "entry without disk".to_owned(),
            AGENT => "agent".to_owned(),
            i => format!("replica and entry {i}"),
        };
        report.fact(
            &name,
            json!({ "sent B/s": bytes.round(), "sent pieces/s": (chunks * 10.0).round() / 10.0,
                "cpu %": (cpu * 100.0).round() / 100.0, "memory MB": memory.round() }),
        );
        let within = bytes <= IDLE_BUDGET.0 && cpu <= IDLE_BUDGET.1 && memory <= IDLE_BUDGET.2;
        report.check(within, || {
            format!("{name} is over the budget {IDLE_BUDGET:?}")
        });
    }
    Ok(())
}

/// Returns the bytes and chunks that a process sent through the relays, and its CPU time in ticks.
fn usage(cluster: &Cluster, i: usize) -> Result<[f64; 3]> {
    let pid = cluster.pid(i);
    let sent = cluster.network.sent(pid);
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no fields in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // User and system time are fields 14 and 15; the first one after the name is field 3.
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let load = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed) as f64;
    Ok([load(&sent.bytes), load(&sent.chunks), ticks])
}

fn memory(pid: u32) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().next())
        .ok_or("no VmRSS")?;
    Ok(kib.parse::<f64>()? / 1024.0)
}
