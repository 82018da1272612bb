//! What the runs of a worker tell about it.

use std::time::Duration;

use figdeal_core::time::Timestamp;

/// Weight of one run in the speed of its worker.
const SPEED_WEIGHT: f64 = 0.05;
/// Weight of one run in the share of failures of its worker.
const FAILURE_WEIGHT: f64 = 0.25;
/// Share of failures above which a worker is ejected.
const EJECTION_FAILURE_FRACTION: f64 = 0.55;
/// Time between two trials of an ejected worker.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Run time over estimate of a run after which a slow worker counts as recovered.
const RECOVERED_RUN_TIME_RATIO: f64 = 2.0;
/// How much a worker with failures is shunned.
const FAILURE_PENALTY: f64 = 8.0;

/// Speed and failures of one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerHealth {
    /// Run time over estimate, averaged.
    run_time_ratio: f64,
    /// Share of failures, averaged.
    failure_fraction: f64,
    /// Its runs were far behind, and none has ended in about its time since.
    is_slow: bool,
    /// When the worker may get a task again.
    paused_until: Timestamp,
}

impl Default for WorkerHealth {
    fn default() -> WorkerHealth {
        WorkerHealth {
            run_time_ratio: 1.0,
            failure_fraction: 0.0,
            is_slow: false,
            paused_until: Timestamp::ZERO,
        }
    }
}

impl WorkerHealth {
    /// A run is done in `elapsed` with this estimate, both in milliseconds.
    pub(super) fn record_success(&mut self, elapsed: u32, expected: f64) {
        self.failure_fraction *= 1.0 - FAILURE_WEIGHT;
        if expected > 0.0 {
            let ratio = (f64::from(elapsed) / expected).clamp(0.2, 5.0);
            self.run_time_ratio += SPEED_WEIGHT * (ratio - self.run_time_ratio);
            if self.is_slow && ratio < RECOVERED_RUN_TIME_RATIO {
                self.is_slow = false;
                self.run_time_ratio = ratio;
            }
        }
    }

    /// A run advances at `pace` percent of its expected speed.
    pub(super) fn record_slow(&mut self, now: Timestamp, pace: u8) {
        self.is_slow = true;
        self.run_time_ratio = self.run_time_ratio.max(100.0 / f64::from(pace.max(1)));
        self.paused_until = now + TRIAL_INTERVAL;
    }

    /// A run has failed or takes far too long.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failure_fraction += FAILURE_WEIGHT * (1.0 - self.failure_fraction);
        if self.is_ejected() {
            self.paused_until = now + TRIAL_INTERVAL;
        }
    }

    /// The worker refuses or does not answer; it gets nothing for a moment.
    pub(super) fn pause(&mut self, now: Timestamp, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// A task was placed: an ejected worker gets one trial at a time.
    pub(super) fn record_placement(&mut self, now: Timestamp) {
        if self.is_ejected() {
            self.paused_until = now + TRIAL_INTERVAL;
        }
    }

    /// Whether its failures or its speed keep it out.
    pub(super) fn is_ejected(&self) -> bool {
        self.is_slow || self.failure_fraction > EJECTION_FAILURE_FRACTION
    }

    /// Whether it may get a task.
    pub(super) fn is_available(&self, now: Timestamp) -> bool {
        now >= self.paused_until
    }

    /// Lower is better.
    pub(super) fn score(&self) -> f64 {
        self.run_time_ratio * (1.0 + FAILURE_PENALTY * self.failure_fraction)
    }
}
