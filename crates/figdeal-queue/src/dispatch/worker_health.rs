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
    speed: f64,
    /// Share of failures, averaged.
    failures: f64,
    /// Its runs were far behind, and none has ended in about its time since.
    slow: bool,
    /// When the worker may get a task again.
    rest: Timestamp,
}

impl Default for WorkerHealth {
    fn default() -> WorkerHealth {
        WorkerHealth {
            speed: 1.0,
            failures: 0.0,
            slow: false,
            rest: Timestamp::ZERO,
        }
    }
}

impl WorkerHealth {
    /// A run is done in `elapsed` with this estimate, both in milliseconds.
    pub(super) fn record_success(&mut self, elapsed: u32, expected: f64) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
        if expected > 0.0 {
            let ratio = (f64::from(elapsed) / expected).clamp(0.2, 5.0);
            self.speed += SPEED_WEIGHT * (ratio - self.speed);
            if self.slow && ratio < RECOVERED_RUN_TIME_RATIO {
                self.slow = false;
                self.speed = ratio;
            }
        }
    }

    /// A run advances at `pace` percent of its expected speed.
    pub(super) fn record_slow(&mut self, now: Timestamp, pace: u8) {
        self.slow = true;
        self.speed = self.speed.max(100.0 / f64::from(pace.max(1)));
        self.rest = now + TRIAL_INTERVAL;
    }

    /// A run has failed or takes far too long.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
        if self.is_ejected() {
            self.rest = now + TRIAL_INTERVAL;
        }
    }

    /// The worker refuses or does not answer; it gets nothing for a moment.
    pub(super) fn pause(&mut self, now: Timestamp, pause: Duration) {
        self.rest = self.rest.max(now + pause);
    }

    /// A task was placed: an ejected worker gets one trial at a time.
    pub(super) fn record_placement(&mut self, now: Timestamp) {
        if self.is_ejected() {
            self.rest = now + TRIAL_INTERVAL;
        }
    }

    /// Whether its failures or its speed keep it out.
    pub(super) fn is_ejected(&self) -> bool {
        self.slow || self.failures > EJECTION_FAILURE_FRACTION
    }

    /// Whether it may get a task.
    pub(super) fn is_available(&self, now: Timestamp) -> bool {
        now >= self.rest
    }

    /// Lower is better.
    pub(super) fn score(&self) -> f64 {
        self.speed * (1.0 + FAILURE_PENALTY * self.failures)
    }
}
