//! Random jobs of a measurement: Poisson arrivals from a seed, with given distributions of job sizes and run times.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

/// A kind of task in the benchmark.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name of the kind.
    pub name: &'static str,
    /// Weight in the fair queue; the offered load of the kind is proportional to it as well.
    pub weight: u32,
    /// Urgency in the fair queue.
    pub urgency: u32,
    /// Deadline of its jobs.
    pub deadline: Duration,
}

/// The kinds, most urgent first. Weights and urgencies are those of the sample deployments in the demo.
pub const KINDS: [Kind; 3] = [
    kind("urgent", 4, 3, 10),
    kind("normal", 2, 2, 20),
    kind("bulk", 1, 1, 40),
];

const fn kind(name: &'static str, weight: u32, urgency: u32, deadline_s: u64) -> Kind {
    Kind {
        name,
        weight,
        urgency,
        deadline: Duration::from_secs(deadline_s),
    }
}

/// Ranges of job sizes as (probability in percent, minimum, maximum); uniform inside a range.
pub const JOB_SIZES: [(u32, u16, u16); 5] = [
    (60, 1, 1),
    (25, 2, 10),
    (10, 11, 50),
    (4, 51, 150),
    (1, 151, 390),
];
/// Range of the run times of most tasks in milliseconds, log-uniformly distributed.
pub const SHORT_RUN_MS: (f64, f64) = (50.0, 1_000.0);
/// Range of the run times of the few long tasks in milliseconds, uniformly distributed.
pub const LONG_RUN_MS: (u32, u32) = (2_000, 4_000);
/// Probability of a long task in percent.
pub const LONG_TASK_PERCENT: u32 = 2;

/// Run times that callers declare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Declared {
    /// No run time.
    None,
    /// The true run time times a factor that is log-uniformly distributed between 0.5 and 2.
    Rough,
    /// The true run time.
    Exact,
}

impl Declared {
    /// Returns the name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Declared::None => "none",
            Declared::Rough => "rough",
            Declared::Exact => "exact",
        }
    }
}

/// One task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// True run time in milliseconds.
    pub run_ms: u32,
    /// Run time that the caller declares, in milliseconds.
    pub declared_ms: Option<u32>,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Arrival time after the start of the window.
    pub at: Duration,
    /// Index in [`KINDS`].
    pub kind: usize,
    /// Whether the job belongs to the flood.
    pub is_flood: bool,
    /// Index of the entry that a load balancer would pick.
    pub entry: usize,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the sum of the true run times.
    pub fn work(&self) -> Duration {
        Duration::from_millis(self.tasks.iter().map(|t| u64::from(t.run_ms)).sum())
    }
}

/// Parameters of a stream of arriving jobs.
#[derive(Debug, Clone, Copy)]
pub struct OfferedLoad {
    /// Offered load as a fraction of the capacity of the slots.
    pub load: f64,
    /// Slots of all upstreams.
    pub slots: u32,
    /// Length of the window.
    pub window: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Run times that callers declare.
    pub declared: Declared,
    /// Index of the only kind of a flood; `None` for a mix of all kinds.
    pub flood: Option<usize>,
}

/// Returns the mean number of tasks of a job.
pub fn mean_size() -> f64 {
    JOB_SIZES
        .iter()
        .map(|&(percent, low, high)| {
            f64::from(percent) / 100.0 * (f64::from(low) + f64::from(high)) / 2.0
        })
        .sum()
}

/// Returns the mean run time of a task in milliseconds.
pub fn mean_run_ms() -> f64 {
    let (low, high) = SHORT_RUN_MS;
    let short = (high - low) / (high / low).ln();
    let long = f64::from(LONG_RUN_MS.0 + LONG_RUN_MS.1) / 2.0;
    let part = f64::from(LONG_TASK_PERCENT) / 100.0;
    (1.0 - part) * short + part * long
}

/// Generates the jobs of a window, in the order of their arrival.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal::bench::workload::{Declared, OfferedLoad, generate};
///
/// let load = OfferedLoad {
///     load: 0.7,
///     slots: 80,
///     window: Duration::from_secs(10),
///     entries: 3,
///     declared: Declared::None,
///     flood: None,
/// };
/// assert_eq!(generate(&load, 1), generate(&load, 1));
/// ```
pub fn generate(load: &OfferedLoad, seed: u64) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = load.load * f64::from(load.slots) / (mean_size() * mean_run_ms() / 1_000.0);
    let mut at = 0.0;
    let mut jobs = Vec::new();
    loop {
        // 1 - random() is in (0, 1], so the logarithm is finite.
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= load.window.as_secs_f64() {
            return jobs;
        }
        let kind = load.flood.unwrap_or_else(|| draw_kind(&mut rng));
        let size = draw_size(&mut rng);
        let tasks = (0..size)
            .map(|_| draw_task(&mut rng, load.declared))
            .collect();
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            kind,
            is_flood: load.flood.is_some(),
            entry: rng.random_range(0..load.entries),
            tasks,
        });
    }
}

/// Merges two streams in the order of arrival.
pub fn merge(mut jobs: Vec<Job>, more: Vec<Job>) -> Vec<Job> {
    jobs.extend(more);
    jobs.sort_by_key(|j| j.at);
    jobs
}

/// Returns the distributions for the output.
pub fn describe() -> Value {
    let sizes: Vec<Value> = JOB_SIZES
        .iter()
        .map(|&(percent, low, high)| json!({ "percent": percent, "low": low, "high": high }))
        .collect();
    let kinds: Vec<Value> = KINDS
        .iter()
        .map(|k| {
            json!({
                "name": k.name, "weight": k.weight, "urgency": k.urgency,
                "deadline_ms": k.deadline.as_millis() as u64,
            })
        })
        .collect();
    json!({
        "arrivals": "Poisson, open loop; the kind of a job is drawn in proportion to the weights",
        "job_sizes": { "uniform_in_ranges": sizes, "mean": mean_size() },
        "run_ms": {
            "log_uniform": [SHORT_RUN_MS.0, SHORT_RUN_MS.1],
            "long_uniform": [LONG_RUN_MS.0, LONG_RUN_MS.1],
            "long_percent": LONG_TASK_PERCENT,
            "mean": mean_run_ms(),
        },
        "kinds": kinds,
    })
}

fn draw_kind(rng: &mut StdRng) -> usize {
    let total: u32 = KINDS.iter().map(|k| k.weight).sum();
    let mut left = rng.random_range(0..total);
    for (i, kind) in KINDS.iter().enumerate() {
        if left < kind.weight {
            return i;
        }
        left -= kind.weight;
    }
    unreachable!("the weights sum up to the total")
}

fn draw_size(rng: &mut StdRng) -> u16 {
    let mut left = rng.random_range(0..100);
    for (percent, low, high) in JOB_SIZES {
        if left < percent {
            return rng.random_range(low..=high);
        }
        left -= percent;
    }
    unreachable!("the percentages sum up to 100")
}

fn draw_task(rng: &mut StdRng, declared: Declared) -> Task {
    let run_ms = if rng.random_range(0..100) < LONG_TASK_PERCENT {
        rng.random_range(LONG_RUN_MS.0..=LONG_RUN_MS.1)
    } else {
        let (low, high) = SHORT_RUN_MS;
        (low * (high / low).powf(rng.random::<f64>())).round() as u32
    };
    // Drawn in every case, so that the arrivals do not depend on the declared run times.
    let factor = 2.0_f64.powf(rng.random_range(-1.0..1.0));
    let declared_ms = match declared {
        Declared::None => None,
        Declared::Rough => Some((f64::from(run_ms) * factor).round() as u32),
        Declared::Exact => Some(run_ms),
    };
    Task {
        run_ms,
        declared_ms,
    }
}
