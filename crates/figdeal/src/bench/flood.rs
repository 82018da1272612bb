//! Effect on the other kinds while one kind submits ten times as much work as all upstreams can do.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{
    Result,
    cluster::{Cluster, ClusterSize},
    load_generator::{LoadGenerator, Reply},
    naive,
    plan::Plan,
    report::{Report, at_least, at_most},
    response::{describe_cpu, outcomes},
    summary::{SortedSamples, round},
    usage::{cpu_between, load_average},
    workload::{self, Job, KINDS},
};

/// Offered load of the flood as a multiple of the capacity.
const FLOOD_LOAD: f64 = 10.0;
/// Target of the design (1.3): minimum number of completions in time, as a fraction of those without a flood.
const MIN_KEPT_FRACTION: f64 = 0.95;
/// Target of the design (1.3): maximum factor by which the p99 response time grows.
const MAX_P99_GROWTH: f64 = 2.0;
/// Delay between the start of a run and the earliest arrival.
const START_DELAY: Duration = Duration::from_millis(200);
/// Additional time for which answers are awaited after the window and [`answer_wait`]; later answers count as lost.
const LOST_AFTER: Duration = Duration::from_secs(2);

/// Results of one run, with the base jobs only or with a flood of one kind in addition.
#[derive(Debug, Clone)]
struct Run {
    jobs: Arc<Vec<Job>>,
    replies: Vec<Reply>,
    double_starts: u64,
    cpu: Value,
    load_average: Option<f64>,
}

/// Measures a flood of the least and of the most urgent kind, with all entries and with a single one.
///
/// # Errors
/// Fails when a cluster cannot be started.
pub fn measure(plan: &Plan, report: &mut Report) -> Result<()> {
    let mut counts = vec![plan.entries, 1];
    counts.dedup();
    let floods = [None, Some(KINDS.len() - 1), Some(0)];
    let mut base_runs = Vec::new();
    for flood in floods {
        for (n, run) in run_all(plan, &counts, flood)?.into_iter().enumerate() {
            let Some(kind) = flood else {
                base_runs.push(run);
                continue;
            };
            let figures = compare(plan, counts[n], kind, &base_runs[n], &run);
            report.emit("flood", &figures);
            let naive = compare_naive(plan, kind, &base_runs[n].jobs, &run.jobs);
            if n == 0 {
                report.emit("flood-naive", &naive);
            }
        }
    }
    Ok(())
}

/// Runs the same load with each number of entries; concurrently in a quick run.
fn run_all(plan: &Plan, counts: &[u16], flood: Option<usize>) -> Result<Vec<Run>> {
    if !plan.is_quick {
        return counts.iter().map(|&n| run(plan, n, flood)).collect();
    }
    thread::scope(|scope| {
        let spawn = |&n: &u16| scope.spawn(move || run(plan, n, flood).map_err(|e| e.to_string()));
        let threads: Vec<_> = counts.iter().map(spawn).collect();
        let join = |t: thread::ScopedJoinHandle<'_, std::result::Result<Run, String>>| {
            let run = t.join().map_err(|_| "step flood: a run panicked")?;
            Ok(run?)
        };
        threads.into_iter().map(join).collect()
    })
}

fn run(plan: &Plan, entries: u16, flood: Option<usize>) -> Result<Run> {
    let window = plan.flood_window;
    let base_load = plan.offered_load(window, entries);
    let mut jobs = workload::generate(&base_load, plan.seed);
    if let Some(kind) = flood {
        let mut flood_load = base_load;
        flood_load.load = FLOOD_LOAD;
        flood_load.flood = Some(kind);
        // The flood continues until the last measured job is answered or has missed its deadline.
        flood_load.window = window + answer_wait(plan);
        jobs = workload::merge(jobs, workload::generate(&flood_load, plan.seed + 1));
    }
    let jobs = Arc::new(jobs);
    let generator = LoadGenerator::new()?;
    let cluster = Cluster::start(ClusterSize {
        entries,
        upstreams: plan.upstreams,
        slots: plan.slots,
    })?;
    let cpu = cluster.threads.cpu()?;
    let start = Instant::now() + START_DELAY;
    let pending = generator.submit_all(&jobs, &cluster.addresses(), "flood", start);
    let until = start + window + answer_wait(plan) + LOST_AFTER;
    let replies = generator.collect(pending, |i| !jobs[i].is_flood, until);
    // Concurrent runs share the process, so their CPU times cannot be told apart.
    let cpu = match plan.is_quick {
        true => Value::Null,
        false => describe_cpu(&cpu_between(&cpu, &cluster.threads.cpu()?)),
    };
    let (_, double_starts) = cluster.starts();
    cluster.stop();
    generator.stop();
    Ok(Run {
        jobs,
        replies,
        double_starts,
        cpu,
        load_average: load_average(),
    })
}

/// Returns the time after the window in which answers are awaited: the longest deadline of all kinds. A quick run waits
/// only for the length of the window and gives up the jobs that take longer.
fn answer_wait(plan: &Plan) -> Duration {
    let deadline = KINDS.iter().map(|k| k.deadline).max().unwrap_or_default();
    if plan.is_quick {
        plan.flood_window
    } else {
        deadline
    }
}

/// Returns the response times of the base jobs of a kind that completed within the deadline.
fn in_time(jobs: &[Job], replies: &[Reply], kind: usize) -> SortedSamples {
    let times = jobs
        .iter()
        .zip(replies)
        .filter(|(j, _)| j.kind == kind && !j.is_flood)
        .filter(|(j, r)| r.is_complete(j.tasks.len()) && r.response_time <= KINDS[kind].deadline)
        .map(|(_, r)| r.response_time);
    SortedSamples::from_times(times)
}

fn compare(plan: &Plan, entries: u16, flood: usize, base: &Run, run: &Run) -> Value {
    let mut figures = json!({
        "sizes": plan.describe(),
        "entries": entries,
        "window_s": plan.flood_window.as_secs_f64(),
        "flood_kind": KINDS[flood].name,
        "flood_load": FLOOD_LOAD,
    });
    let mut targets = Vec::new();
    for (k, kind) in KINDS.iter().enumerate() {
        let before = in_time(&base.jobs, &base.replies, k);
        let after = in_time(&run.jobs, &run.replies, k);
        let offered = base.jobs.iter().filter(|j| j.kind == k).count();
        let base_jobs = run.jobs.iter().zip(&run.replies);
        let base_jobs = base_jobs.filter(|(j, _)| j.kind == k && !j.is_flood);
        let (kept, growth) = flood_effect(&before, &after);
        figures["kinds"][kind.name] = json!({
            "jobs": offered,
            "without_flood_ms": before.describe(),
            "with_flood_ms": after.describe(),
            "kept": kept.map(round),
            "p99_growth": growth.map(round),
            "outcomes": outcomes(base_jobs.map(|(_, r)| r)),
        });
        if k != flood {
            let title = |what: &str| {
                format!(
                    "{} under {} flood, {entries} entries: {what}",
                    kind.name, KINDS[flood].name
                )
            };
            targets.push(at_least(&title("kept"), MIN_KEPT_FRACTION, kept));
            targets.push(at_most(&title("p99 growth"), MAX_P99_GROWTH, growth));
        }
    }
    let flooding = run
        .jobs
        .iter()
        .zip(&run.replies)
        .filter(|(j, _)| j.is_flood);
    figures["flood_outcomes"] = outcomes(flooding.map(|(_, r)| r));
    let measured = run
        .jobs
        .iter()
        .zip(&run.replies)
        .filter(|(j, _)| !j.is_flood);
    figures["client_lag_ms"] = SortedSamples::from_times(measured.map(|(_, r)| r.lag)).describe();
    figures["double_starts"] = json!(base.double_starts + run.double_starts);
    figures["cpu_s"] = run.cpu.clone();
    figures["load_average"] = json!([base.load_average, run.load_average]);
    figures["targets"] = json!(targets);
    figures
}

/// Returns the fraction of completions that remains with the flood, and the factor by which the p99 grows.
fn flood_effect(before: &SortedSamples, after: &SortedSamples) -> (Option<f64>, Option<f64>) {
    let kept = (!before.is_empty()).then(|| after.len() as f64 / before.len() as f64);
    let growth = before.percentile(99.0).zip(after.percentile(99.0));
    (kept, growth.map(|(b, a)| a / b))
}

fn compare_naive(plan: &Plan, flood: usize, base: &[Job], flooded: &[Job]) -> Value {
    let in_time = |jobs: &[Job], kind: usize| {
        let times = naive::schedule(jobs, plan.upstreams, plan.slots);
        let times = jobs
            .iter()
            .zip(times)
            .filter(|(j, t)| j.kind == kind && !j.is_flood && *t <= KINDS[kind].deadline)
            .map(|(_, t)| t);
        SortedSamples::from_times(times.collect::<Vec<_>>())
    };
    let mut figures = json!({ "sizes": plan.describe(), "flood_kind": KINDS[flood].name });
    let mut targets = Vec::new();
    for (k, kind) in KINDS.iter().enumerate() {
        let (before, after) = (in_time(base, k), in_time(flooded, k));
        let (kept, growth) = flood_effect(&before, &after);
        figures["kinds"][kind.name] = json!({
            "without_flood_ms": before.describe(), "with_flood_ms": after.describe(),
            "kept": kept.map(round), "p99_growth": growth.map(round),
        });
        if k != flood {
            let title =
                |what: &str| format!("{} under {} flood: {what}", kind.name, KINDS[flood].name);
            targets.push(at_least(&title("kept"), MIN_KEPT_FRACTION, kept));
            targets.push(at_most(&title("p99 growth"), MAX_P99_GROWTH, growth));
        }
    }
    figures["baseline"] = json!(targets);
    figures
}
