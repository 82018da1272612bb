//! Run times of kinds: moving averages of the measured times, and estimates of run and completion times.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use crate::id::KindId;

/// Weight of the newest sample in the exponential moving averages. With 0.1, the mean of a kind with run times of 50 ms
/// to 2 s was sometimes wrong by half.
const NEW_SAMPLE_WEIGHT: f64 = 0.05;
/// Samples are clamped to this many mean deviations around the mean, so that one straggler changes it little. A lasting
/// change still takes effect, because each clamped sample increases the deviation by a tenth.
const MAX_SAMPLE_DEVIATIONS: f64 = 3.0;
/// Minimum mean deviation as a fraction of the mean; with zero, the mean could not change any more after equal samples.
const MIN_DEVIATION_FRACTION: f64 = 0.05;
/// Estimate for a kind without samples, for a task without a declared run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);
/// Longer declared run times, and corrected ones, are clamped to this, which limits their effect on the estimate.
const MAX_DECLARED_RUN_TIME: Duration = Duration::from_secs(60);
/// Longer measured run times are clamped to this, so that sums of estimates do not overflow.
const MAX_MEASURED_RUN_TIME: Duration = Duration::from_secs(3_600);
/// Shorter declared run times are raised to this, so that ratios to them stay finite.
const MIN_DECLARED_RUN_TIME: Duration = Duration::from_micros(100);

/// Number of first samples whose median starts a moving average. A straggler among them would otherwise affect the
/// average for long.
const INITIAL_SAMPLES: usize = 5;

/// Exponential moving average of the mean and the mean deviation, robust against outliers.
#[derive(Debug, Clone, Copy)]
struct RobustAverage {
    mean: f64,
    /// Mean absolute deviation from the mean.
    deviation: f64,
    initial: [f64; INITIAL_SAMPLES],
    /// Number of samples so far, counted up to `INITIAL_SAMPLES`.
    samples: usize,
}

impl RobustAverage {
    fn new(sample: f64) -> RobustAverage {
        RobustAverage {
            mean: sample,
            deviation: sample.abs() / 2.0,
            initial: [sample; INITIAL_SAMPLES],
            samples: 1,
        }
    }

    fn add(&mut self, sample: f64) {
        if self.samples < INITIAL_SAMPLES {
            self.add_initial(sample);
            return;
        }
        let bound = MAX_SAMPLE_DEVIATIONS * self.deviation;
        let difference = (sample - self.mean).clamp(-bound, bound);
        self.mean += NEW_SAMPLE_WEIGHT * difference;
        self.deviation += NEW_SAMPLE_WEIGHT * (difference.abs() - self.deviation);
        self.deviation = self.deviation.max(self.mean.abs() * MIN_DEVIATION_FRACTION);
    }

    fn add_initial(&mut self, sample: f64) {
        self.initial[self.samples] = sample;
        self.samples += 1;
        let initial = &self.initial[..self.samples];
        self.mean = median(initial.iter().copied());
        let deviation = median(initial.iter().map(|s| (s - self.mean).abs()));
        self.deviation = deviation.max(self.mean.abs() * MIN_DEVIATION_FRACTION);
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    (values[values.len() / 2] + values[(values.len() - 1) / 2]) / 2.0
}

/// Quality of the declared run times of a kind.
#[derive(Debug, Clone, Copy)]
struct DeclaredQuality {
    /// Average of the natural logarithm of measured/declared run time.
    ratio: RobustAverage,
    /// Mean absolute error of the corrected declared run time in seconds.
    declared_error: f64,
    /// Mean absolute error of the measured mean for the same tasks in seconds.
    mean_estimate_error: f64,
}

/// What was learned about the run times of a kind.
#[derive(Debug, Clone, Copy)]
struct KindRunTimes {
    /// Average of the measured run times in seconds.
    run_time: RobustAverage,
    /// `None` until a task with a declared run time was measured.
    declared: Option<DeclaredQuality>,
}

/// Queued and active tasks of one kind, as input to [`RunTimeEstimator::completion_time`].
#[derive(Debug, Clone, Copy)]
pub struct KindBacklog {
    /// Kind of the tasks.
    pub kind: KindId,
    /// Weight of its share.
    pub weight: u32,
    /// Number of queued tasks that are served before the job.
    pub queued: usize,
    /// Number of tasks that hold a slot.
    pub active: u32,
}

/// Moving averages of the run times of each kind, with a learned correction of declared run times.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::{id::KindId, run_time::RunTimeEstimator};
///
/// let mut times = RunTimeEstimator::default();
/// assert_eq!(times.estimate(KindId(0), Some(Duration::from_millis(90))).as_millis(), 90);
/// times.record(KindId(0), Duration::from_millis(200));
/// assert_eq!(times.estimate(KindId(0), None).as_millis(), 200);
/// ```
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    kinds: HashMap<KindId, KindRunTimes>,
}

impl RunTimeEstimator {
    /// Records the measured run time of one task.
    pub fn record(&mut self, kind: KindId, run: Duration) {
        self.record_declared(kind, None, run);
    }

    /// Records the measured run time of one task for which the caller declared a run time.
    pub fn record_declared(&mut self, kind: KindId, declared: Option<Duration>, run: Duration) {
        let sample = run.min(MAX_MEASURED_RUN_TIME).as_secs_f64();
        let is_first = !self.kinds.contains_key(&kind);
        let learned = self.kinds.entry(kind).or_insert_with(|| KindRunTimes {
            run_time: RobustAverage::new(sample),
            declared: None,
        });
        if let Some(declared) = declared {
            learned.update_declared(clamp_declared(declared).as_secs_f64(), sample);
        }
        if !is_first {
            learned.run_time.add(sample);
        }
        assert!(
            learned.run_time.mean.is_finite() && learned.run_time.mean >= 0.0,
            "the mean run time is finite and not negative"
        );
    }

    /// Returns the expected run time of a task. Without samples, this is the declared run time, or a default. Later,
    /// the declared run time is used, with the learned correction, only if it has predicted the tasks of the kind
    /// better than the mean.
    pub fn estimate(&self, kind: KindId, declared: Option<Duration>) -> Duration {
        let declared = declared.map(clamp_declared);
        let Some(learned) = self.kinds.get(&kind) else {
            return declared.unwrap_or(DEFAULT_RUN_TIME);
        };
        match (declared, learned.declared) {
            (Some(declared), Some(quality))
                if quality.declared_error < quality.mean_estimate_error =>
            {
                declared
                    .mul_f64(quality.ratio.mean.exp())
                    .min(MAX_DECLARED_RUN_TIME)
            }
            _ => Duration::from_secs_f64(learned.run_time.mean),
        }
    }

    /// Returns the learned ratio of measured to declared run times of a kind, 1 without samples.
    pub fn correction_factor(&self, kind: KindId) -> f64 {
        let declared = self.kinds.get(&kind).and_then(|k| k.declared);
        declared.map_or(1.0, |d| d.ratio.mean.exp())
    }

    /// Returns the expected time until a job completes on `slots` slots, which it shares with `backlog` by weight. The
    /// estimate is optimistic, because a job is refused when the estimate exceeds its deadline: it assumes that slots
    /// are shared without loss, and that all slots work on the job once they are free.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use figdeal_core::{id::KindId, run_time::RunTimeEstimator};
    ///
    /// let mut times = RunTimeEstimator::default();
    /// times.record(KindId(0), Duration::from_millis(100));
    /// let job = [(KindId(0), None); 9];
    /// assert_eq!(times.completion_time(&job, &[], 8).unwrap().as_millis(), 200);
    /// ```
    ///
    /// Returns `None` without slots.
    pub fn completion_time(
        &self,
        job: &[(KindId, Option<Duration>)],
        backlog: &[KindBacklog],
        slots: u32,
    ) -> Option<Duration> {
        if slots == 0 {
            return None;
        }
        let mut kinds: HashMap<KindId, KindWork> = HashMap::new();
        for kind in backlog {
            let run = self.estimate(kind.kind, None).as_secs_f64();
            let kind_work = kinds
                .entry(kind.kind)
                .or_insert_with(|| KindWork::new(kind.weight));
            // A running task is on average half done.
            kind_work.ahead += run * (kind.queued as f64 + f64::from(kind.active) / 2.0);
        }
        for &(kind, declared) in job {
            let run = self.estimate(kind, declared);
            let kind_work = kinds.entry(kind).or_insert_with(|| KindWork::new(1));
            kind_work.job.push(run);
        }
        let mut kinds: Vec<KindWork> = kinds.into_values().collect();
        // Sharing treats work as divisible; the makespan accounts for tasks that each need one slot for their run time.
        let seconds = simulate_sharing(&mut kinds, f64::from(slots));
        let end = kinds
            .iter()
            .filter(|k| !k.job.is_empty())
            .map(|k| k.start + makespan(&k.job, slots).as_secs_f64())
            .fold(seconds, f64::max);
        Some(Duration::try_from_secs_f64(end).unwrap_or(Duration::MAX))
    }
}

impl KindRunTimes {
    /// Updates the quality of the declared run times. Must be called before the sample is added to the mean.
    fn update_declared(&mut self, declared: f64, sample: f64) {
        let ratio = (sample.max(MIN_DECLARED_RUN_TIME.as_secs_f64()) / declared).ln();
        let mean_estimate_error = (sample - self.run_time.mean).abs();
        let Some(quality) = &mut self.declared else {
            self.declared = Some(DeclaredQuality {
                ratio: RobustAverage::new(ratio),
                declared_error: mean_estimate_error,
                mean_estimate_error,
            });
            return;
        };
        // Errors are clamped like samples, so that one straggler does not decide which estimate is used.
        let bound = MAX_SAMPLE_DEVIATIONS
            * self
                .run_time
                .deviation
                .max(self.run_time.mean * MIN_DEVIATION_FRACTION);
        let declared_error = (sample - declared * quality.ratio.mean.exp()).abs();
        quality.declared_error +=
            NEW_SAMPLE_WEIGHT * (declared_error.min(bound) - quality.declared_error);
        quality.mean_estimate_error +=
            NEW_SAMPLE_WEIGHT * (mean_estimate_error.min(bound) - quality.mean_estimate_error);
        quality.ratio.add(ratio);
    }
}

fn clamp_declared(declared: Duration) -> Duration {
    declared.clamp(MIN_DECLARED_RUN_TIME, MAX_DECLARED_RUN_TIME)
}

/// Work of one kind in the estimate of a completion time.
struct KindWork {
    weight: f64,
    /// Sum of the run times in seconds of the tasks that are served before the job.
    ahead: f64,
    /// Run times of the tasks of the job.
    job: Vec<Duration>,
    /// Time in seconds at which the work ahead of the job is done, zero without such work.
    start: f64,
}

impl KindWork {
    fn new(weight: u32) -> KindWork {
        KindWork {
            weight: f64::from(weight.max(1)),
            ahead: 0.0,
            job: Vec::new(),
            start: 0.0,
        }
    }
}

/// Simulates fair sharing: the kinds with work left get slots in proportion to their weights. Returns the time in
/// seconds at which the work of the job is done. Takes at most two steps for each kind.
fn simulate_sharing(kinds: &mut [KindWork], slots: f64) -> f64 {
    let mut remaining: Vec<(f64, f64)> = kinds
        .iter()
        .map(|k| (k.ahead, k.job.iter().map(Duration::as_secs_f64).sum()))
        .collect();
    let (mut now, mut end) = (0.0, 0.0);
    loop {
        let has_work = |&(ahead, job): &(f64, f64)| ahead > 0.0 || job > 0.0;
        let open_weight: f64 = kinds
            .iter()
            .zip(&remaining)
            .filter(|(_, k)| has_work(k))
            .map(|(k, _)| k.weight)
            .sum();
        let step = kinds
            .iter()
            .zip(&remaining)
            .filter(|(_, k)| has_work(k))
            .map(|(k, &(ahead, job))| {
                (if ahead > 0.0 { ahead } else { job }) * open_weight / (slots * k.weight)
            })
            .fold(f64::INFINITY, f64::min);
        if !step.is_finite() {
            return end;
        }
        now += step;
        for (kind_work, (ahead, job)) in kinds.iter_mut().zip(&mut remaining) {
            if *ahead <= 0.0 && *job <= 0.0 {
                continue;
            }
            let done = step * slots * kind_work.weight / open_weight;
            let part = if *ahead > 0.0 { &mut *ahead } else { &mut *job };
            // A remainder from rounding would never be used up.
            *part = if *part - done <= 1e-9 {
                0.0
            } else {
                *part - done
            };
            if *ahead <= 0.0 && kind_work.start == 0.0 && kind_work.ahead > 0.0 {
                kind_work.start = now;
            }
            if *ahead <= 0.0 && *job <= 0.0 && !kind_work.job.is_empty() {
                end = now;
            }
        }
    }
}

/// Time that the tasks need on `slots` free slots when the longest tasks start first.
fn makespan(job: &[Duration], slots: u32) -> Duration {
    let mut runs = job.to_vec();
    runs.sort_unstable_by(|a, b| b.cmp(a));
    let used_slots = runs.len().min(slots as usize);
    let mut free: BinaryHeap<Reverse<Duration>> =
        (0..used_slots).map(|_| Reverse(Duration::ZERO)).collect();
    let mut end = Duration::ZERO;
    for run in runs {
        let Some(Reverse(start)) = free.pop() else {
            break;
        };
        end = end.max(start + run);
        free.push(Reverse(start + run));
    }
    end
}
