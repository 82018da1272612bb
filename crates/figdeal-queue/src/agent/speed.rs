//! Slow runs at the agent: measures how fast runs progress, and reports those that are far too slow.
//!
//! An estimate may be wrong by a factor of two and a worker may be a little slow, so a run counts as slow only far
//! below its expected speed. If another run on the worker keeps a normal speed, it counts only if it stands still.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::Agent;
use crate::message::SlowRun;

/// Minimum time over which a speed is measured: half of the run time of the shortest tasks.
const MIN_SPEED_SPAN: Duration = Duration::from_millis(40);
/// A speed is measured over at least the expected run time divided by this, so that progress steps of one percent do
/// not matter.
const SPEED_SPAN_DIVISOR: u32 = 8;
/// Percent of the expected speed below which a run is slow.
const SLOW_SPEED_PERCENT: u8 = 30;
/// Percent of the expected speed below which a run stands still. The leader counts that as a failure of the worker.
pub(crate) const STALLED_SPEED_PERCENT: u8 = 8;
/// Percent of the expected speed of another run from which on the worker counts as working normally.
const NORMAL_SPEED_PERCENT: u8 = 50;
/// How long a measured speed of another run is considered.
const SPEED_MAX_AGE: Duration = Duration::from_millis(250);

/// Measures the speed of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedMeter {
    expected: Duration,
    /// Start of the present measurement, and the completed percentage at that time.
    span_start: (Timestamp, u8),
    /// Newest completed percentage.
    progress: u8,
    /// When the last speed was measured, and its percentage of the expected speed.
    last_speed: Option<(Timestamp, u8)>,
    /// Whether the last speed was reported.
    reported: bool,
}

impl SpeedMeter {
    /// Creates the meter of a run that starts now. Without an expected run time the run never counts as slow.
    pub(super) fn new(expected: Duration, now: Timestamp) -> SpeedMeter {
        SpeedMeter {
            expected,
            span_start: (now, 0),
            progress: 0,
            last_speed: None,
            reported: false,
        }
    }

    /// Returns the newest completed percentage.
    pub(super) fn progress(&self) -> u8 {
        self.progress
    }

    /// Records the completed percentage.
    pub(super) fn record(&mut self, now: Timestamp, progress: u8) {
        self.progress = progress;
        let (span_started_at, start_progress) = self.span_start;
        let span = now.since(span_started_at);
        if self.expected.is_zero() || span < MIN_SPEED_SPAN.max(self.expected / SPEED_SPAN_DIVISOR)
        {
            return;
        }
        let done =
            u64::from(progress.saturating_sub(start_progress)) * self.expected.as_micros() as u64;
        let speed = done / span.as_micros().max(1) as u64;
        self.last_speed = Some((now, speed.min(u64::from(u8::MAX)) as u8));
        self.span_start = (now, progress);
        self.reported = false;
    }
}

impl Agent {
    /// Collects the slow runs for the next report.
    pub(super) fn find_slow_runs(&mut self, now: Timestamp) {
        let speeds = self.runs.values().filter_map(|run| run.speed.last_speed);
        let recent = speeds.filter(|(at, _)| *at + SPEED_MAX_AGE > now);
        let worker_normal =
            recent.map(|(_, speed)| speed).max().unwrap_or(0) >= NORMAL_SPEED_PERCENT;
        let limit = if worker_normal {
            STALLED_SPEED_PERCENT
        } else {
            SLOW_SPEED_PERCENT
        };
        for (task, run) in &mut self.runs {
            let pace = &mut run.speed;
            let Some((_, speed)) = pace.last_speed else {
                continue;
            };
            if pace.reported || speed >= limit || run.stop_sent_at.is_some() {
                continue;
            }
            pace.reported = true;
            let progress = pace.progress;
            log::info!(
                "E726 run is slow task={task} run={} progress_percent={progress} \
                 speed_percent={speed} worker_normal={worker_normal}",
                run.run
            );
            self.slow_runs.push(SlowRun {
                task: *task,
                run: run.run,
                progress_percent: progress,
                speed_percent: speed,
            });
            self.report_pending = true;
        }
    }
}
