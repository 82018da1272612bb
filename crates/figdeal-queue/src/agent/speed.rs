//! How fast runs advance, and which of them have fallen behind.
//!
//! An estimate may be wrong by a factor of two and a worker a little slow, so a run counts as behind only far below its
//! expected speed, and beside others that keep theirs only if it stands still.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::Agent;
use crate::message::SlowRun;

/// Shortest time over which a speed is measured: half of the shortest tasks.
const MIN_SPEED_SPAN: Duration = Duration::from_millis(40);
/// Part of the expected run time over which a speed is measured, so that steps of one percent do not matter.
const SPEED_SPAN_DIVISOR: u32 = 8;
/// Percent of the expected speed below which a run is behind.
const SLOW_SPEED_PERCENT: u8 = 30;
/// Percent of the expected speed below which a run stands still, which the leader counts as a failure of the worker.
pub(crate) const STALLED_SPEED_PERCENT: u8 = 8;
/// Percent of the expected speed of another run that clears the worker.
const NORMAL_SPEED_PERCENT: u8 = 50;
/// Time in which the speed of another run counts.
const SPEED_MAX_AGE: Duration = Duration::from_millis(250);

/// The speed of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedMeter {
    expected: Duration,
    /// When the present measurement began, and the percent done then.
    span_start: (Timestamp, u8),
    /// Newest percent done.
    progress: u8,
    /// The last speed in percent of the expected one, and when it was measured.
    last_speed: Option<(Timestamp, u8)>,
    /// The newest speed is reported if it is behind.
    reported: bool,
}

impl SpeedMeter {
    /// A run that starts now. Without an expected run time it is never behind.
    pub(super) fn new(expected: Duration, now: Timestamp) -> SpeedMeter {
        SpeedMeter {
            expected,
            span_start: (now, 0),
            progress: 0,
            last_speed: None,
            reported: false,
        }
    }

    /// Takes the percent done.
    pub(super) fn record(&mut self, now: Timestamp, progress: u8) {
        self.progress = progress;
        let (since, before) = self.span_start;
        let span = now.since(since);
        if self.expected.is_zero() || span < MIN_SPEED_SPAN.max(self.expected / SPEED_SPAN_DIVISOR)
        {
            return;
        }
        let done = u64::from(progress.saturating_sub(before)) * self.expected.as_micros() as u64;
        let speed = done / span.as_micros().max(1) as u64;
        self.last_speed = Some((now, speed.min(u64::from(u8::MAX)) as u8));
        self.span_start = (now, progress);
        self.reported = false;
    }
}

impl Agent {
    /// Collects the runs that are behind for the next report.
    pub(super) fn find_slow_runs(&mut self, now: Timestamp) {
        let speeds = self.runs.values().filter_map(|run| run.speed.last_speed);
        let recent = speeds.filter(|(at, _)| *at + SPEED_MAX_AGE > now);
        let sound = recent.map(|(_, speed)| speed).max().unwrap_or(0) >= NORMAL_SPEED_PERCENT;
        let limit = if sound {
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
                "E726 run is behind task={task} run={} progress={progress} pace={speed} sound={sound}",
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
