//! Learned run times: how the runs of a worker or of a queue compare with what was expected of them.
//!
//! The load that is meant: some to thousands of runs a second, estimates that are off by half, single runs that take
//! many times as long, and workers whose speed changes within a second.

use std::time::Duration;

use figdeal_core::time::Timestamp;

/// Time after which a run counts only about a third. A change shows after twice this time.
const MEMORY: Duration = Duration::from_millis(600);
/// Minimum number of runs over which a worker's ratio is averaged. A worker of 16 cores ends 13 runs of 900 ms a second.
const WORKER_RUNS: f64 = 10.0;
/// Minimum number of runs over which a queue's ratio is averaged.
const QUEUE_RUNS: f64 = 40.0;
/// A run of a worker counts at most as this factor above or below the present ratio.
const MAX_WORKER_STEP: f64 = 2.0;
/// Smallest and largest ratio.
const RATIO_RANGE: (f64, f64) = (0.2, 5.0);

/// Average ratio of run time to expected run time over the last runs.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal_core::time::Timestamp;
/// use figdeal_queue::dispatch::LearnedRatio;
///
/// let mut speed = LearnedRatio::for_worker();
/// let mut now = Timestamp::from_micros(0);
/// speed.record(now, 7.0);
/// assert!(speed.value() < 1.2);
/// for _ in 0..40 {
///     now = now + Duration::from_millis(50);
///     speed.record(now, 2.0);
/// }
/// assert!((1.8..2.1).contains(&speed.value()));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct LearnedRatio {
    value: f64,
    /// Runs that count, each by its age.
    runs: f64,
    updated_at: Timestamp,
    min_runs: f64,
    max_step: f64,
}

impl LearnedRatio {
    /// Returns the ratio of a worker without runs. A single outlier has little effect.
    pub fn for_worker() -> LearnedRatio {
        LearnedRatio::new(WORKER_RUNS, MAX_WORKER_STEP)
    }

    /// Returns the ratio of a queue without runs. Outliers count, since they are a part of its work.
    pub fn for_queue() -> LearnedRatio {
        LearnedRatio::new(QUEUE_RUNS, f64::INFINITY)
    }

    fn new(min_runs: f64, max_step: f64) -> LearnedRatio {
        LearnedRatio {
            value: 1.0,
            runs: min_runs,
            updated_at: Timestamp::ZERO,
            min_runs,
            max_step,
        }
    }

    /// Returns the average ratio.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Records the ratio of a run that has ended.
    pub fn record(&mut self, now: Timestamp, ratio: f64) {
        let age = now.since(self.updated_at).as_secs_f64() / MEMORY.as_secs_f64();
        self.runs = (self.runs * (-age).exp() + 1.0).max(self.min_runs);
        self.updated_at = now;
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let ratio = ratio.clamp(self.value / self.max_step, self.value * self.max_step);
        self.value += (ratio - self.value) / self.runs;
    }

    /// Replaces the average, because one run shows that the former no longer holds.
    pub(super) fn set(&mut self, ratio: f64) {
        self.value = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
    }
}
