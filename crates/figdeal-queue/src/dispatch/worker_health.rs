//! Outlier ejection at the leader: derives the health of a worker from the speed and the failures of its runs.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::LearnedRatio;

/// Weight of one run in the average failure fraction of its worker.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure fraction above which a worker is ejected.
const EJECTION_FAILURE_FRACTION: f64 = 0.55;
/// Interval between two trial runs on a worker that is ejected because of its failures.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between two trial runs on a slow worker. A run there is found to be slow within an eighth of its time and
/// moved, so a trial costs little, and a worker that has recovered is in use again soon.
const SLOW_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Run time ratio of a run below which a slow worker counts as recovered.
const RECOVERED_RUN_TIME_RATIO: f64 = 2.0;
/// How strongly the failure fraction worsens the score of a worker.
const FAILURE_PENALTY: f64 = 8.0;

/// Run times and failures of one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerHealth {
    /// Ratio of run time to expected run time.
    run_time_ratio: LearnedRatio,
    /// Moving average of the fraction of failed runs.
    failure_fraction: f64,
    /// Whether runs were far too slow and none has ended in about the expected time since.
    is_slow: bool,
    /// Time until which the worker gets no task because a start was rejected.
    paused_until: Timestamp,
    /// Time of the next trial run while the worker is ejected.
    next_trial: Timestamp,
}

impl Default for WorkerHealth {
    fn default() -> WorkerHealth {
        WorkerHealth {
            run_time_ratio: LearnedRatio::for_worker(),
            failure_fraction: 0.0,
            is_slow: false,
            paused_until: Timestamp::ZERO,
            next_trial: Timestamp::ZERO,
        }
    }
}

impl WorkerHealth {
    /// Records a successful run. Both times are in milliseconds.
    pub(super) fn record_success(&mut self, now: Timestamp, elapsed_ms: u32, expected_ms: f64) {
        self.failure_fraction *= 1.0 - FAILURE_WEIGHT;
        if expected_ms > 0.0 {
            let ratio = f64::from(elapsed_ms) / expected_ms;
            self.run_time_ratio.record(now, ratio);
            if self.is_slow && ratio < RECOVERED_RUN_TIME_RATIO {
                self.is_slow = false;
                self.run_time_ratio.set(ratio);
            }
        }
    }

    /// Records a run that progresses at `speed` percent of its expected speed.
    pub(super) fn record_slow(&mut self, now: Timestamp, speed: u8) {
        self.is_slow = true;
        let ratio = 100.0 / f64::from(speed.max(1));
        self.run_time_ratio
            .set(self.run_time_ratio.value().max(ratio));
        self.next_trial = now + self.trial_interval();
    }

    /// Records a run that failed or took far too long.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failure_fraction += FAILURE_WEIGHT * (1.0 - self.failure_fraction);
        if self.is_ejected() {
            self.next_trial = now + self.trial_interval();
        }
    }

    /// Gives no starts to the worker for the time `pause`, because it or its agent rejected a start.
    pub(super) fn pause_starts(&mut self, now: Timestamp, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Records a placed task: an ejected worker gets one trial run at a time.
    pub(super) fn record_placement(&mut self, now: Timestamp) {
        if self.is_ejected() {
            self.next_trial = now + self.trial_interval();
        }
    }

    fn trial_interval(&self) -> Duration {
        match self.failure_fraction > EJECTION_FAILURE_FRACTION {
            true => TRIAL_INTERVAL,
            false => SLOW_TRIAL_INTERVAL,
        }
    }

    /// Returns whether the worker is ejected because of its failures or its speed.
    pub(super) fn is_ejected(&self) -> bool {
        self.is_slow || self.failure_fraction > EJECTION_FAILURE_FRACTION
    }

    /// Returns whether the worker may get a task. `with_ejection` tells whether an ejected worker waits for its trial.
    pub(super) fn is_available(&self, now: Timestamp, with_ejection: bool) -> bool {
        now >= self.paused_until && (!with_ejection || now >= self.next_trial)
    }

    /// Returns the time from which on [`WorkerHealth::is_available`] holds.
    pub(super) fn available_at(&self, with_ejection: bool) -> Timestamp {
        match with_ejection {
            true => self.paused_until.max(self.next_trial),
            false => self.paused_until,
        }
    }

    /// Returns the learned ratio of run time to expected run time.
    pub(super) fn run_time_ratio(&self) -> f64 {
        self.run_time_ratio.value()
    }

    /// Returns the score of the worker; lower is better.
    pub(super) fn score(&self) -> f64 {
        self.run_time_ratio.value() * (1.0 + FAILURE_PENALTY * self.failure_fraction)
    }
}
