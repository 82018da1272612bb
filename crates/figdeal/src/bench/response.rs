//! Response times relative to the ideal scheduler, and the number of messages between the processes.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use figdeal_wire::message_count::{MESSAGE_CLASSES, MessageClass, total};
use serde_json::{Map, Value, json};

use super::{
    Result,
    cluster::{Cluster, ClusterSize},
    ideal,
    load_generator::{LoadGenerator, Reply},
    naive,
    plan::Plan,
    report::{Report, at_most},
    summary::{SortedSamples, round},
    usage::{CpuTimes, cpu_between, load_average},
    workload::{self, Job, KINDS},
};

/// Delay between the start of a run and the earliest arrival.
const START_DELAY: Duration = Duration::from_millis(200);
/// Targets of the design (1.3): maximum ratio of the response time to the ideal at p50 and p99.
const MAX_RATIOS: (f64, f64) = (1.05, 1.5);
/// Target of the design (1.3): maximum number of wasted messages per started task.
const MAX_WASTED_PER_TASK: f64 = 0.1;

/// Number of messages by class.
pub type Messages = BTreeMap<&'static str, u64>;

/// Returns the number of messages in this process so far.
pub fn messages() -> Messages {
    MESSAGE_CLASSES
        .iter()
        .map(|&c| (c.name(), total(c)))
        .collect()
}

/// Returns the number of messages since an earlier reading.
pub fn messages_since(before: &Messages) -> Messages {
    let now = messages();
    now.iter()
        .map(|(&name, &n)| (name, n - before.get(name).copied().unwrap_or(0)))
        .collect()
}

/// Measures response times and wasted messages under load, then the messages when idle.
///
/// # Errors
/// Fails when the cluster cannot be started.
pub fn measure(plan: &Plan, report: &mut Report) -> Result<()> {
    let size = ClusterSize {
        entries: plan.entries,
        upstreams: plan.upstreams,
        slots: plan.slots,
    };
    let jobs = Arc::new(workload::generate(
        &plan.offered_load(plan.window, plan.entries),
        plan.seed,
    ));
    let generator = LoadGenerator::new()?;
    let cluster = Cluster::start(size)?;
    let load_before = load_average();
    let (sent, cpu) = (messages(), cluster.threads.cpu()?);
    let start = Instant::now() + START_DELAY;
    let pending = generator.submit_all(&jobs, &cluster.addresses(), "response", start);
    // The last kind has the longest deadline.
    let until = start + plan.window + KINDS[2].deadline;
    let replies = generator.collect(pending, |_| true, until);
    let elapsed = start.elapsed();
    let cpu = cpu_between(&cpu, &cluster.threads.cpu()?);
    let sent = messages_since(&sent);
    let (started, duplicates) = cluster.starts();

    let ideal = ideal::schedule(&jobs, plan.all_slots());
    let naive = naive::schedule(&jobs, plan.upstreams, plan.slots);
    let mut figures = ratios(&jobs, &replies, &ideal);
    figures["sizes"] = plan.describe();
    figures["window_s"] = json!(plan.window.as_secs_f64());
    figures["workload"] = workload::describe();
    figures["offered_load"] = json!(round(offered(&jobs, plan)));
    figures["double_starts"] = json!(duplicates);
    figures["cpu_s"] = describe_cpu(&cpu);
    figures["load_average"] = json!([load_before, load_average()]);
    report.emit("response", &figures);

    let complete = vec![true; jobs.len()];
    let mut figures = ratio_figures(&jobs, &naive, &ideal, &complete);
    figures["sizes"] = plan.describe();
    // The targets apply to figdeal only; for the naive scheduler they are printed but not counted.
    let targets = figures.as_object_mut().and_then(|f| f.remove("targets"));
    figures["baseline"] = json!(targets);
    report.emit("response-naive", &figures);

    let figures = wasted_messages(&sent, started, jobs.len(), elapsed, plan);
    report.emit("messages", &figures);
    measure_idle(plan, report);
    cluster.stop();
    generator.stop();
    Ok(())
}

/// Returns the load of the generated jobs as a fraction of the capacity of the slots in the window.
pub fn offered(jobs: &[Job], plan: &Plan) -> f64 {
    let work: Duration = jobs.iter().map(Job::work).sum();
    work.as_secs_f64() / (plan.window.as_secs_f64() * f64::from(plan.all_slots()))
}

/// Returns the CPU seconds by part.
pub fn describe_cpu(cpu: &CpuTimes) -> Value {
    let parts: Map<String, Value> = cpu
        .iter()
        .map(|(part, time)| (part.name().to_owned(), json!(round(time.as_secs_f64()))))
        .collect();
    Value::Object(parts)
}

/// Returns the number of jobs by outcome.
pub fn outcomes<'a>(replies: impl IntoIterator<Item = &'a Reply>) -> Value {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for reply in replies {
        let name = match &reply.reason {
            Some(reason) => format!("{}: {reason}", reply.outcome),
            None => reply.outcome.clone(),
        };
        *counts.entry(name).or_default() += 1;
    }
    json!(counts)
}

fn ratios(jobs: &[Job], replies: &[Reply], ideal: &[Duration]) -> Value {
    let times: Vec<Duration> = replies.iter().map(|r| r.response_time).collect();
    let complete: Vec<bool> = jobs
        .iter()
        .zip(replies)
        .map(|(job, reply)| reply.is_complete(job.tasks.len()))
        .collect();
    let mut figures = ratio_figures(jobs, &times, ideal, &complete);
    figures["outcomes"] = outcomes(replies);
    let lags = SortedSamples::from_times(replies.iter().map(|r| r.lag));
    figures["client_lag_ms"] = lags.describe();
    figures
}

/// Computes the ratio of each response time to the ideal. A job that is not complete counts as infinitely late.
fn ratio_figures(jobs: &[Job], times: &[Duration], ideal: &[Duration], complete: &[bool]) -> Value {
    let ratio = |i: usize| match complete[i] {
        true => times[i].as_secs_f64() / ideal[i].as_secs_f64(),
        false => f64::INFINITY,
    };
    let select = |is_in: &dyn Fn(usize) -> bool| {
        let picked: Vec<usize> = (0..jobs.len()).filter(|&i| is_in(i)).collect();
        let ratios = SortedSamples::new(picked.iter().map(|&i| ratio(i)).collect());
        let done = picked.iter().filter(|&&i| complete[i]);
        let measured = SortedSamples::from_times(done.map(|&i| times[i]));
        let best = SortedSamples::from_times(picked.iter().map(|&i| ideal[i]));
        (ratios, measured, best)
    };
    let describe = |is_in: &dyn Fn(usize) -> bool| {
        let (ratios, measured, best) = select(is_in);
        json!({
            "ratio": ratios.describe(), "response_ms": measured.describe(),
            "ideal_ms": best.describe(),
        })
    };
    let (all, _, _) = select(&|_| true);
    let mut figures = describe(&|_| true);
    figures["tasks"] = json!(jobs.iter().map(|j| j.tasks.len()).sum::<usize>());
    for (k, kind) in KINDS.iter().enumerate() {
        figures["by_kind"][kind.name] = describe(&|i| jobs[i].kind == k);
    }
    for (_, low, high) in workload::JOB_SIZES {
        let range = usize::from(low)..=usize::from(high);
        let is_in = move |i: usize| range.contains(&jobs[i].tasks.len());
        figures["by_size"][format!("{low}-{high}")] = describe(&is_in);
    }
    figures["targets"] = json!([
        at_most("response / ideal, p50", MAX_RATIOS.0, all.percentile(50.0)),
        at_most("response / ideal, p99", MAX_RATIOS.1, all.percentile(99.0)),
    ]);
    figures
}

/// Computes the messages per started task. A started task needs one work and one result message; all messages beyond
/// these two are wasted.
fn wasted_messages(
    sent: &Messages,
    started: u64,
    jobs: usize,
    elapsed: Duration,
    plan: &Plan,
) -> Value {
    let tasks = started.max(1) as f64;
    let count = |class: MessageClass| sent.get(class.name()).copied().unwrap_or(0) as f64;
    let extra_work = count(MessageClass::Work) + count(MessageClass::Result) - 2.0 * started as f64;
    let other =
        count(MessageClass::Claim) + count(MessageClass::Heartbeat) + count(MessageClass::Recovery);
    let by_class: Map<String, Value> = sent
        .iter()
        .map(|(&name, &n)| (name.to_owned(), json!(round(n as f64 / tasks))))
        .collect();
    let wasted = (extra_work + other) / tasks;
    let heartbeats = count(MessageClass::Heartbeat) / tasks;
    json!({
        "sizes": plan.describe(),
        "tasks_started": started,
        "jobs": jobs,
        "elapsed_s": round(elapsed.as_secs_f64()),
        "messages": sent,
        "per_task": by_class,
        "wasted_per_task": round(wasted),
        "wasted_per_task_without_heartbeats": round(wasted - heartbeats),
        "heartbeats_per_s": round(count(MessageClass::Heartbeat) / elapsed.as_secs_f64()),
        "targets": [at_most("wasted messages for each task", MAX_WASTED_PER_TASK, Some(wasted))],
    })
}

/// Measures the messages of the cluster, which is still running, without any jobs.
fn measure_idle(plan: &Plan, report: &mut Report) {
    let before = messages();
    let start = Instant::now();
    thread::sleep(plan.idle_window);
    let seconds = start.elapsed().as_secs_f64();
    let sent = messages_since(&before);
    let rates: Map<String, Value> = sent
        .iter()
        .map(|(&name, &n)| (name.to_owned(), json!(round(n as f64 / seconds))))
        .collect();
    let beats = MessageClass::Heartbeat.name();
    let others: u64 = sent
        .iter()
        .filter(|(n, _)| **n != beats)
        .map(|(_, n)| n)
        .sum();
    let figures = json!({
        "sizes": plan.describe(),
        "window_s": round(seconds),
        "per_s": rates,
        "targets": [at_most("messages beyond heartbeats when idle", 0.0, Some(others as f64))],
    });
    report.emit("idle", &figures);
}
