//! Stops runs that make no progress, and moves slow runs to another worker if they end earlier there.
//!
//! A slow run is the fault of its worker or of its task, whose estimate may be far off. The first slow run of a task
//! counts against the worker. From the second on the task itself is assumed to take longer, so that a task of any length
//! ends. Workers are ejected only as long as most workers of their pool are in order.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{AgentKey, Dispatcher, TaskId};
use crate::{agent::STALLED_SPEED_PERCENT, message::SlowRun};

/// A run is stopped without progress for its expected run time multiplied by this, plus [`STALL_SLACK`].
const STALL_FACTOR: u32 = 4;
/// Time added to the limit of every run, whatever its estimate.
const STALL_SLACK: Duration = Duration::from_millis(300);
/// Milliseconds that it takes to stop a run and start it on another worker.
const MOVE_COST_MS: f64 = 80.0;
/// The expected time of a task doubles with each of its runs that was stopped, at most this often.
const MAX_DOUBLINGS: u32 = 16;

impl Dispatcher {
    /// Records slow runs of a worker, and moves them if they end earlier elsewhere.
    pub(super) fn on_slow_runs(&mut self, now: Timestamp, key: AgentKey, slow: &[SlowRun]) {
        for slow_run in slow {
            if self.slow_stops(slow_run.task) > 0 {
                continue;
            }
            let agent = &mut self.agents[key];
            let is_cold = agent.cold_until.is_some();
            let health = &mut agent.health;
            match slow_run.speed_percent < STALLED_SPEED_PERCENT {
                true => health.record_failure(now),
                // A cold worker is slow for a known time, so it is not ejected for it.
                false if is_cold => {}
                false => health.record_slow(now, slow_run.speed_percent),
            }
        }
        for slow_run in slow {
            self.consider_move(now, key, *slow_run);
        }
    }

    fn consider_move(&mut self, now: Timestamp, key: AgentKey, slow_run: SlowRun) {
        let SlowRun {
            task,
            run,
            progress_percent,
            speed_percent,
        } = slow_run;
        let agent = &self.agents[key];
        let found = agent.placed.get(&task);
        let Some(placed) = found.filter(|p| p.run == run && !p.is_stopping()) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let backlog = &self.backlogs[job.backlog];
        let local_ms = f64::from(placed.estimate_ms) * backlog.run_time_ratio.value();
        let remaining_ms =
            local_ms * placed.remote_factor * f64::from(100 - progress_percent.min(100))
                / f64::from(speed_percent.max(1));
        let slow_stops = self.slow_stops(task);
        let spec = Arc::clone(&job.spec);
        let step = &spec.steps[usize::from(task.step)];
        let other = self.choose_agent(now, task.job, task.step, &backlog.pool, step, None);
        let other_factor = other.map_or(1.0, |other| self.remote_factor(other, step));
        let restart_ms =
            local_ms * other_factor * f64::from(time_factor(slow_stops)) + MOVE_COST_MS;
        let moved = remaining_ms > restart_ms && other.is_some_and(|other| other != key);
        log::info!(
            "E634 run is slow task={task} run={run} agent={} progress_percent={progress_percent} \
             speed_percent={speed_percent} remaining_ms={remaining_ms:.0} slow_stops={slow_stops} \
             moved={moved}",
            self.agents[key].address
        );
        if moved {
            self.stop_slow_run(key, task, run);
        }
    }

    /// Returns how many runs of the task were stopped because they were too slow.
    fn slow_stops(&self, task: TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let stops = job.and_then(|job| job.slow_stops.get(&(task.step, task.index)));
        stops.copied().unwrap_or(0)
    }

    fn stop_slow_run(&mut self, key: AgentKey, task: TaskId, run: u64) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            *job.slow_stops.entry((task.step, task.index)).or_default() += 1;
        }
        self.order_stop(key, task, run);
    }

    /// Stops runs without progress. Their tasks are started again once the runs have ended.
    pub(super) fn stop_stalled_runs(&mut self, now: Timestamp) {
        let mut stalled = Vec::new();
        for (key, agent) in &self.agents {
            for (task, placed) in &agent.placed {
                let backlog = self.backlogs.get(placed.backlog);
                let ratio = backlog.map(|b| b.run_time_ratio.value());
                let expected = f64::from(placed.estimate_ms)
                    * ratio.unwrap_or(1.0).max(1.0)
                    * placed.remote_factor;
                let limit =
                    Duration::from_secs_f64(expected / 1_000.0) * STALL_FACTOR + STALL_SLACK;
                let is_over = |limit| placed.progressed_at + limit < now;
                // Few runs are beyond the lower limit, so few jobs are looked up.
                if !placed.is_stopping()
                    && is_over(limit)
                    && is_over(limit * time_factor(self.slow_stops(*task)))
                {
                    stalled.push((key, *task, placed.run, placed.progress_percent));
                }
            }
        }
        for (key, task, run, progress_percent) in stalled {
            let slow_stops = self.slow_stops(task);
            log::warn!(
                "E607 stopping a run without progress task={task} run={run} agent={} \
                 progress_percent={progress_percent} slow_stops={slow_stops}",
                self.agents[key].address
            );
            if slow_stops == 0 {
                self.agents[key].health.record_failure(now);
            }
            self.stop_slow_run(key, task, run);
        }
    }
}

/// Returns by which factor a task is expected to take longer after this many of its runs were stopped.
fn time_factor(slow_stops: u32) -> u32 {
    1 << slow_stops.min(MAX_DOUBLINGS)
}
