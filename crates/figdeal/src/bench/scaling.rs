//! Throughput, CPU time and memory, each at three sizes, so that the cost per task can be computed.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{
    Result,
    cluster::{Cluster, ClusterSize},
    load_generator::{LoadGenerator, PAYLOAD_BYTES},
    plan::Plan,
    report::Report,
    response::{describe_cpu, messages, messages_since},
    summary::round,
    usage::{cpu_between, load_average, memory_kib},
    workload::{Job, Task},
};

/// Number of tasks of a job in each throughput run.
const THROUGHPUT_JOB_TASKS: [usize; 3] = [1, 10, 100];
/// Number of concurrent requests in the throughput runs.
const CONCURRENT_REQUESTS: usize = 48;
/// Number of tasks in each memory run, in addition to two for each slot that keep the slots busy.
const QUEUED_TASKS: [usize; 3] = [2_500, 5_000, 10_000];
/// Number of tasks of a job in the memory runs.
const MEMORY_JOB_TASKS: usize = 390;
/// Run time of the tasks in the memory runs, which keep the slots busy while memory is read.
const BLOCKING_RUN_MS: u32 = 30_000;
/// Delay before memory is read, in which the queue settles.
const QUEUE_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Measures tasks per second and CPU time per task with tasks of run time 0.
///
/// # Errors
/// Fails when a cluster cannot be started.
pub fn measure_throughput(plan: &Plan, report: &mut Report) -> Result<()> {
    for size in THROUGHPUT_JOB_TASKS {
        let generator = LoadGenerator::new()?;
        let cluster = Cluster::start(cluster_size(plan))?;
        let job = job(size, 0);
        let (sent, cpu) = (messages(), cluster.threads.cpu()?);
        let start = Instant::now();
        let run = format!("rush-{size}");
        let addresses = cluster.addresses();
        let (complete, other) = generator.run_closed_loop(
            &job,
            &addresses,
            &run,
            CONCURRENT_REQUESTS,
            plan.throughput_window,
        );
        let elapsed = start.elapsed().as_secs_f64();
        let cpu = cpu_between(&cpu, &cluster.threads.cpu()?);
        let sent = messages_since(&sent);
        let tasks = complete * size as u64;
        let per_task = |seconds: f64| round(seconds * 1e6 / tasks.max(1) as f64);
        let mut micros = json!({});
        for (part, time) in &cpu {
            micros[part.name()] = json!(per_task(time.as_secs_f64()));
        }
        let figures = json!({
            "sizes": plan.describe(),
            "job_tasks": size,
            "requests_in_progress": CONCURRENT_REQUESTS,
            "run_ms": 0,
            "elapsed_s": round(elapsed),
            "jobs": { "complete": complete, "other": other },
            "tasks_per_s": round(tasks as f64 / elapsed),
            "jobs_per_s": round(complete as f64 / elapsed),
            "cpu_us_per_task": micros,
            "cpu_s": describe_cpu(&cpu),
            "messages": sent,
            "double_starts": cluster.starts().1,
            "load_average": load_average(),
        });
        report.emit("throughput", &figures);
        cluster.stop();
        generator.stop();
    }
    Ok(())
}

/// Measures the memory use of this process with queued tasks in large jobs. It must run before the other measurements,
/// with growing sizes, because the peak memory of a process never decreases.
///
/// # Errors
/// Fails when a cluster cannot be started or does not accept the jobs.
pub fn measure_memory(plan: &Plan, report: &mut Report) -> Result<()> {
    for count in QUEUED_TASKS {
        let generator = LoadGenerator::new()?;
        let cluster = Cluster::start(cluster_size(plan))?;
        let before = (memory_kib("VmHWM")?, memory_kib("VmRSS")?);
        let blocking_tasks = usize::try_from(plan.all_slots()).unwrap_or(0) * 2;
        let mut left = count + blocking_tasks;
        let mut jobs = 0;
        while left > 0 {
            let size = left.min(MEMORY_JOB_TASKS);
            let addresses = cluster.addresses();
            let entry = addresses[jobs % addresses.len()];
            let reply = generator.submit_only(
                &job(size, BLOCKING_RUN_MS),
                entry,
                &format!("m-{count}-{jobs}"),
            );
            if reply.outcome != "running" {
                let text = format!(
                    "step queue, entry {entry}: {} {:?}",
                    reply.outcome, reply.reason
                );
                return Err(text.into());
            }
            left -= size;
            jobs += 1;
        }
        thread::sleep(QUEUE_SETTLE_TIME);
        let figures = memory_figures(plan, &cluster, count, jobs, before)?;
        report.emit("memory", &figures);
        cluster.stop();
        generator.stop();
    }
    Ok(())
}

/// Reads the memory use; `before` is the peak and the resident memory in KiB before the jobs were submitted.
fn memory_figures(
    plan: &Plan,
    cluster: &Cluster,
    count: usize,
    jobs: usize,
    before: (u64, u64),
) -> Result<Value> {
    let (peak, now) = (memory_kib("VmHWM")?, memory_kib("VmRSS")?);
    Ok(json!({
        "sizes": plan.describe(),
        "submitted_beyond_slots": count,
        "queued_at_entries": cluster.queued()?,
        "jobs": jobs,
        "job_tasks": MEMORY_JOB_TASKS,
        "payload_bytes": PAYLOAD_BYTES,
        "before_kib": { "VmHWM": before.0, "VmRSS": before.1 },
        "after_kib": { "VmHWM": peak, "VmRSS": now },
        "rss_growth_bytes_per_task":
            round(now.saturating_sub(before.1) as f64 * 1024.0 / count as f64),
        "note": "the whole process: entries, agents, stand-ins and client",
    }))
}

fn cluster_size(plan: &Plan) -> ClusterSize {
    ClusterSize {
        entries: plan.entries,
        upstreams: plan.upstreams,
        slots: plan.slots,
    }
}

fn job(size: usize, run_ms: u32) -> Job {
    let task = Task {
        run_ms,
        declared_ms: None,
    };
    Job {
        at: Duration::ZERO,
        kind: 1,
        is_flood: false,
        entry: 0,
        tasks: vec![task; size],
    }
}
