//! Learned run times of kinds, and estimates made from them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use crate::id::KindId;

/// Weight of the newest sample in the moving averages.
const NEW_SAMPLE: f64 = 0.05; // 0.1 left the mean of a kind of 50 ms to 2 s off by a half at times
/// Samples are cut to this many mean deviations around the mean, so that one straggler moves it little. A lasting
/// change still gets through: cut samples widen the deviation by a tenth each.
const MAX_DEVIATIONS: f64 = 3.0;
/// Smallest mean deviation, as a part of the mean; zero would freeze the mean after equal samples.
const MIN_DEVIATION: f64 = 0.05;
/// Estimate for a kind without samples and without a declared run time.
const DEFAULT_RUN: Duration = Duration::from_millis(300);
/// Bound on how far a declared run time may pull the estimate.
const MAX_DECLARED: Duration = Duration::from_secs(60);
/// Longest measured run time; a bound keeps sums of estimates from overflowing.
const MAX_RUN: Duration = Duration::from_secs(3_600);
/// Shortest declared run time that is taken at its word, so that ratios to it stay finite.
const MIN_DECLARED: Duration = Duration::from_micros(100);

/// Samples whose median starts a moving average; a straggler among the first ones would be slow to fade.
const FIRST: usize = 5;

/// Moving average that is robust against outliers.
#[derive(Debug, Clone, Copy)]
struct Average {
    mean: f64,
    deviation: f64,
    first: [f64; FIRST],
    samples: usize,
}

impl Average {
    fn new(sample: f64) -> Average {
        Average {
            mean: sample,
            deviation: sample.abs() / 2.0,
            first: [sample; FIRST],
            samples: 1,
        }
    }

    fn add(&mut self, sample: f64) {
        if self.samples < FIRST {
            self.add_first(sample);
            return;
        }
        let bound = MAX_DEVIATIONS * self.deviation;
        let difference = (sample - self.mean).clamp(-bound, bound);
        self.mean += NEW_SAMPLE * difference;
        self.deviation += NEW_SAMPLE * (difference.abs() - self.deviation);
        self.deviation = self.deviation.max(self.mean.abs() * MIN_DEVIATION);
    }

    fn add_first(&mut self, sample: f64) {
        self.first[self.samples] = sample;
        self.samples += 1;
        let first = &self.first[..self.samples];
        self.mean = median(first.iter().copied());
        let deviation = median(first.iter().map(|s| (s - self.mean).abs()));
        self.deviation = deviation.max(self.mean.abs() * MIN_DEVIATION);
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    (values[values.len() / 2] + values[(values.len() - 1) / 2]) / 2.0
}

/// How good the declared run times of a kind are.
#[derive(Debug, Clone, Copy)]
struct Declared {
    /// Natural logarithm of measured/declared.
    ratio: Average,
    /// Mean error of the corrected declared time, in seconds.
    error: f64,
    /// Mean error of the learned mean on the same tasks, in seconds.
    mean_error: f64,
}

#[derive(Debug, Clone, Copy)]
struct Learned {
    run: Average,
    declared: Option<Declared>,
}

/// Queued and running tasks of one kind, as input to [`RunTimeEstimator::completion_time`].
#[derive(Debug, Clone, Copy)]
pub struct KindBacklog {
    /// The kind.
    pub kind: KindId,
    /// Its weight.
    pub weight: u32,
    /// Queued tasks that go before the estimated job.
    pub queued: usize,
    /// Tasks that hold a slot.
    pub active: u32,
}

/// Moving averages of run times, with a learned correction of declared times.
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
    kinds: HashMap<KindId, Learned>,
}

impl RunTimeEstimator {
    /// Records the measured run time of one task.
    pub fn record(&mut self, kind: KindId, run: Duration) {
        self.record_declared(kind, None, run);
    }

    /// Records the measured run time of one task for which the caller declared a run time.
    pub fn record_declared(&mut self, kind: KindId, declared: Option<Duration>, run: Duration) {
        let sample = run.min(MAX_RUN).as_secs_f64();
        let is_first = !self.kinds.contains_key(&kind);
        let learned = self.kinds.entry(kind).or_insert_with(|| Learned {
            run: Average::new(sample),
            declared: None,
        });
        if let Some(declared) = declared {
            learned.compare(bounded(declared).as_secs_f64(), sample);
        }
        if !is_first {
            learned.run.add(sample);
        }
        assert!(
            learned.run.mean.is_finite() && learned.run.mean >= 0.0,
            "a mean run time is a time"
        );
    }

    /// The expected run time of a task. The declared time is the first estimate; later it is used, corrected,
    /// only where it has predicted the kind better than the mean.
    pub fn estimate(&self, kind: KindId, declared: Option<Duration>) -> Duration {
        let declared = declared.map(bounded);
        let Some(learned) = self.kinds.get(&kind) else {
            return declared.unwrap_or(DEFAULT_RUN);
        };
        match (declared, learned.declared) {
            (Some(declared), Some(quality)) if quality.error < quality.mean_error => {
                declared.mul_f64(quality.ratio.mean.exp()).min(MAX_DECLARED)
            }
            _ => Duration::from_secs_f64(learned.run.mean),
        }
    }

    /// The learned factor between measured and declared run times of a kind, 1 without samples.
    pub fn correction_factor(&self, kind: KindId) -> f64 {
        let declared = self.kinds.get(&kind).and_then(|l| l.declared);
        declared.map_or(1.0, |d| d.ratio.mean.exp())
    }

    /// The time from now until a job is expected to complete on `slots` slots that are shared with `backlog` by
    /// weight. The estimate is a lower one, because a job is refused when it exceeds the deadline: slots are
    /// assumed to be shared without loss, and all slots take part in the job once they are free.
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
        let mut lanes: HashMap<KindId, Lane> = HashMap::new();
        for kind in backlog {
            let run = self.estimate(kind.kind, None).as_secs_f64();
            let lane = lanes
                .entry(kind.kind)
                .or_insert_with(|| Lane::new(kind.weight));
            // A running task is half done on average.
            lane.ahead += run * (kind.queued as f64 + f64::from(kind.active) / 2.0);
        }
        for &(kind, declared) in job {
            let run = self.estimate(kind, declared);
            let lane = lanes.entry(kind).or_insert_with(|| Lane::new(1));
            lane.job.push(run);
        }
        let mut lanes: Vec<Lane> = lanes.into_values().collect();
        let seconds = share_slots(&mut lanes, f64::from(slots));
        let end = lanes
            .iter()
            .filter(|l| !l.job.is_empty())
            .map(|l| l.start + makespan(&l.job, slots).as_secs_f64())
            .fold(seconds, f64::max);
        Some(Duration::try_from_secs_f64(end).unwrap_or(Duration::MAX))
    }
}

impl Learned {
    /// Compares a declared time with the measured one, before the sample counts in the mean.
    fn compare(&mut self, declared: f64, sample: f64) {
        let ratio = (sample.max(MIN_DECLARED.as_secs_f64()) / declared).ln();
        let mean_error = (sample - self.run.mean).abs();
        let Some(quality) = &mut self.declared else {
            self.declared = Some(Declared {
                ratio: Average::new(ratio),
                error: mean_error,
                mean_error,
            });
            return;
        };
        // Errors are cut like samples, so that one straggler does not decide between the two.
        let bound = MAX_DEVIATIONS * self.run.deviation.max(self.run.mean * MIN_DEVIATION);
        let error = (sample - declared * quality.ratio.mean.exp()).abs();
        quality.error += NEW_SAMPLE * (error.min(bound) - quality.error);
        quality.mean_error += NEW_SAMPLE * (mean_error.min(bound) - quality.mean_error);
        quality.ratio.add(ratio);
    }
}

fn bounded(declared: Duration) -> Duration {
    declared.clamp(MIN_DECLARED, MAX_DECLARED)
}

/// Work of one kind, in slot seconds.
struct Lane {
    weight: f64,
    ahead: f64,
    job: Vec<Duration>,
    /// When the work ahead of the job is done.
    start: f64,
}

impl Lane {
    fn new(weight: u32) -> Lane {
        Lane {
            weight: f64::from(weight.max(1)),
            ahead: 0.0,
            job: Vec::new(),
            start: 0.0,
        }
    }
}

/// Drains all lanes at rates in proportion to their weights, as long as each has work, and returns when the last
/// lane of the job is empty. Takes at most two steps for each lane.
fn share_slots(lanes: &mut [Lane], slots: f64) -> f64 {
    let mut left: Vec<(f64, f64)> = lanes
        .iter()
        .map(|l| (l.ahead, l.job.iter().map(Duration::as_secs_f64).sum()))
        .collect();
    let (mut now, mut end) = (0.0, 0.0);
    loop {
        let is_open = |&(ahead, job): &(f64, f64)| ahead > 0.0 || job > 0.0;
        let open: f64 = lanes
            .iter()
            .zip(&left)
            .filter(|(_, l)| is_open(l))
            .map(|(l, _)| l.weight)
            .sum();
        let next = lanes
            .iter()
            .zip(&left)
            .filter(|(_, l)| is_open(l))
            .map(|(l, &(ahead, job))| {
                (if ahead > 0.0 { ahead } else { job }) * open / (slots * l.weight)
            })
            .fold(f64::INFINITY, f64::min);
        if !next.is_finite() {
            return end;
        }
        now += next;
        for (lane, (ahead, job)) in lanes.iter_mut().zip(&mut left) {
            if *ahead <= 0.0 && *job <= 0.0 {
                continue;
            }
            let done = next * slots * lane.weight / open;
            let part = if *ahead > 0.0 { &mut *ahead } else { &mut *job };
            // Rounding must not leave a remainder that never ends.
            *part = if *part - done <= 1e-9 {
                0.0
            } else {
                *part - done
            };
            if *ahead <= 0.0 && lane.start == 0.0 && lane.ahead > 0.0 {
                lane.start = now;
            }
            if *ahead <= 0.0 && *job <= 0.0 && !lane.job.is_empty() {
                end = now;
            }
        }
    }
}

/// Time that the tasks need on `slots` free slots when the longest go first.
fn makespan(job: &[Duration], slots: u32) -> Duration {
    let mut runs = job.to_vec();
    runs.sort_unstable_by(|a, b| b.cmp(a));
    let lanes = runs.len().min(slots as usize);
    let mut free: BinaryHeap<Reverse<Duration>> =
        (0..lanes).map(|_| Reverse(Duration::ZERO)).collect();
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
