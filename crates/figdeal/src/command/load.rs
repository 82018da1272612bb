//! `figdeal load`: open-loop load generator that submits jobs to running entries and counts the answers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::Args as ClapArgs;
use figdeal_core::time::UnixMillis;
use hdrhistogram::Histogram;
use hyper::body::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep_until},
};

use crate::{
    bench::client::{Http, Reply, http, submit},
    cli::Result,
};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Maximum response time in a histogram in milliseconds; longer ones are recorded as this value.
const MAX_RESPONSE_MS: u64 = 3_600_000;
/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of `figdeal load`.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// HTTP address of an entry; if repeated, each job goes to a random one
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    entries: Vec<SocketAddr>,
    /// Kind and its relative share of the jobs, such as `quote-check=3`; may be repeated
    #[arg(long = "kind", value_name = "NAME[=PART]", required = true, value_parser = parse_weighted_kind)]
    kinds: Vec<WeightedKind>,
    /// Team that submits
    #[arg(long)]
    team: String,
    /// Jobs per second; the arrivals are a Poisson process
    #[arg(long, default_value_t = 10.0, value_parser = parse_rate)]
    rate: f64,
    /// Number of tasks of a job, log-uniformly distributed
    #[arg(long, value_name = "MIN..MAX", default_value = "1..20", value_parser = parse_range)]
    size: Range,
    /// Run times in milliseconds, log-uniformly distributed; a stand-in upstream reads them from the payload
    #[arg(long, value_name = "MIN..MAX", default_value = "50..1000", value_parser = parse_range)]
    run_ms: Range,
    /// Deadline of the tasks in milliseconds; defaults to the deadline of the kind
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// Time in seconds during which jobs are submitted; outstanding answers are awaited after that
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of arrivals, kinds, sizes and run times
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Maximum number of unanswered jobs; jobs beyond it are skipped and counted
    #[arg(long, default_value_t = 4_000)]
    open: usize,
    /// Print the summary as JSON, one object per line
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Clone)]
struct WeightedKind {
    kind: String,
    weight: u32,
}

#[derive(Debug, Clone, Copy)]
struct Range {
    min: u32,
    max: u32,
}

/// Statistics of one kind and outcome.
struct OutcomeStats {
    tasks: u64,
    /// Reason in the first answer with this outcome.
    reason: String,
    times: Histogram<u64>,
}

struct Totals {
    by_outcome: BTreeMap<(String, String), OutcomeStats>,
    offered: u64,
    skipped: u64,
    /// Maximum delay between the planned arrival of a job and its request.
    max_lag: Duration,
}

struct AnsweredJob {
    kind: String,
    tasks: usize,
    reply: Reply,
}

/// Submits jobs and prints a summary by kind and outcome.
///
/// # Errors
/// Fails when the threads cannot be started.
pub fn run(args: &Args) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let start = Instant::now();
    let totals = runtime.block_on(offer_jobs(args));
    print_summary(args, &totals, start.elapsed());
    Ok(ExitCode::SUCCESS)
}

async fn offer_jobs(args: &Args) -> Totals {
    let http = http();
    let mut rng = StdRng::seed_from_u64(args.seed);
    // Ids must differ between runs, because an entry remembers outcomes for an hour.
    let run = UnixMillis::now().0;
    let start = Instant::now();
    let end = start + Duration::from_secs(args.seconds);
    let mut due = start + arrival_gap(&mut rng, args.rate);
    let mut open = JoinSet::new();
    let mut totals = Totals::new();
    let mut progress = interval(PROGRESS_INTERVAL);
    progress.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        if due >= end && open.is_empty() {
            return totals;
        }
        tokio::select! {
            Some(done) = open.join_next() => match done {
                Ok(done) => totals.count(done),
                Err(e) => log::error!("E501 task of the load generator panicked: {e}"),
            },
            () = sleep_until(due.into()), if due < end => {
                totals.offered += 1;
                let (kind, tasks, body) = draw_job(args, &mut rng, run, totals.offered);
                let entry = args.entries[rng.random_range(0..args.entries.len())];
                if open.len() < args.open {
                    open.spawn(call(http.clone(), entry, kind, tasks, body, due));
                } else {
                    totals.skipped += 1;
                }
                due += arrival_gap(&mut rng, args.rate);
            }
            _ = progress.tick() => eprintln!(
                "{:4} s: {} offered, {} open, {} skipped",
                start.elapsed().as_secs(), totals.offered, open.len(), totals.skipped,
            ),
        }
    }
}

async fn call(
    http: Http,
    entry: SocketAddr,
    kind: String,
    tasks: usize,
    body: Bytes,
    due: Instant,
) -> AnsweredJob {
    let reply = submit(&http, entry, "wait=true", body, due).await;
    AnsweredJob { kind, tasks, reply }
}

fn draw_job(args: &Args, rng: &mut StdRng, run: u64, number: u64) -> (String, usize, Bytes) {
    let total: u32 = args.kinds.iter().map(|k| k.weight).sum();
    let mut left = rng.random_range(0..total);
    let kind = args.kinds.iter().find(|k| {
        let is_picked = left < k.weight;
        left = left.saturating_sub(k.weight);
        is_picked
    });
    let kind = kind.expect("the parts sum up to the total").kind.clone();
    let size = args.size.draw(rng);
    let tasks: Vec<Value> = (0..size)
        .map(|_| {
            let run_ms = args.run_ms.draw(rng);
            let mut task = json!({ "kind": kind, "payload": format!("{run_ms} {kind}") });
            if let Some(ms) = args.deadline_ms {
                task["deadline_ms"] = json!(ms);
            }
            task
        })
        .collect();
    let body = json!({
        "id": format!("load-{run}-{number}"), "team": args.team,
        "created_ms": UnixMillis::now().0, "tasks": tasks,
    });
    (kind, tasks.len(), Bytes::from(body.to_string()))
}

fn arrival_gap(rng: &mut StdRng, rate: f64) -> Duration {
    // 1 - random() is in (0, 1], so the logarithm is finite.
    Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
}

impl Totals {
    fn new() -> Totals {
        Totals {
            by_outcome: BTreeMap::new(),
            offered: 0,
            skipped: 0,
            max_lag: Duration::ZERO,
        }
    }

    fn count(&mut self, done: AnsweredJob) {
        self.max_lag = self.max_lag.max(done.reply.lag);
        let key = (done.kind, done.reply.outcome);
        let reason = done.reply.reason.unwrap_or_default();
        let line = self
            .by_outcome
            .entry(key)
            .or_insert_with(|| OutcomeStats::new(reason));
        line.tasks += done.tasks as u64;
        line.times
            .saturating_record(done.reply.response.as_millis() as u64);
    }
}

impl OutcomeStats {
    fn new(reason: String) -> OutcomeStats {
        let times = Histogram::new_with_max(MAX_RESPONSE_MS, HISTOGRAM_DIGITS);
        OutcomeStats {
            tasks: 0,
            reason,
            times: times.expect("the bounds of the histogram are valid"),
        }
    }
}

impl Range {
    fn draw(self, rng: &mut StdRng) -> u32 {
        let (min, max) = (f64::from(self.min), f64::from(self.max));
        (min * (max / min).powf(rng.random::<f64>())).round() as u32
    }
}

fn print_summary(args: &Args, totals: &Totals, elapsed: Duration) {
    if !args.json {
        println!(
            "kind                 outcome       jobs    tasks  p50 ms  p90 ms  p99 ms  max ms"
        );
    }
    for ((kind, outcome), line) in &totals.by_outcome {
        let times = &line.times;
        let at = |p| times.value_at_percentile(p);
        if args.json {
            let figures = json!({
                "kind": kind, "outcome": outcome, "jobs": times.len(), "tasks": line.tasks,
                "p50_ms": at(50.0), "p90_ms": at(90.0), "p99_ms": at(99.0), "max_ms": times.max(),
                "reason": line.reason,
            });
            println!("{figures}");
            continue;
        }
        println!(
            "{kind:20} {outcome:10} {:7} {:8} {:7} {:7} {:7} {:7}  {}",
            times.len(),
            line.tasks,
            at(50.0),
            at(90.0),
            at(99.0),
            times.max(),
            line.reason,
        );
    }
    let (offered, skipped) = (totals.offered, totals.skipped);
    let lag = totals.max_lag.as_millis() as u64;
    if args.json {
        let figures = json!({
            "offered": offered, "skipped": skipped, "seconds": elapsed.as_secs_f64(),
            "max_lag_ms": lag, "seed": args.seed, "rate": args.rate,
        });
        println!("{figures}");
        return;
    }
    println!(
        "{offered} offered, {skipped} skipped, {:.1} s, maximum delay of the load generator {lag} ms",
        elapsed.as_secs_f64()
    );
}

fn parse_weighted_kind(text: &str) -> std::result::Result<WeightedKind, String> {
    let (kind, part) = text.split_once('=').unwrap_or((text, "1"));
    match part.parse() {
        Ok(part) if part > 0 && part <= 1_000 && !kind.is_empty() => Ok(WeightedKind {
            kind: kind.to_owned(),
            weight: part,
        }),
        _ => Err("expected NAME or NAME=PART with a part from 1 to 1000".to_owned()),
    }
}

fn parse_rate(text: &str) -> std::result::Result<f64, String> {
    match text.parse() {
        Ok(rate) if rate > 0.0 && rate <= 100_000.0 => Ok(rate),
        _ => Err("expected jobs per second, more than 0 and at most 100000".to_owned()),
    }
}

fn parse_range(text: &str) -> std::result::Result<Range, String> {
    let (min, max) = text.split_once("..").unwrap_or((text, text));
    match (min.parse(), max.parse()) {
        (Ok(min), Ok(max)) if min > 0 && min <= max => Ok(Range { min, max }),
        _ => Err("expected MIN..MAX with 0 < MIN <= MAX".to_owned()),
    }
}
