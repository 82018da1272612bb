//! Runs that take too long, and runs that are better started anew elsewhere.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{AgentKey, Dispatcher};
use crate::{agent::STALLED_SPEED_PERCENT, message::SlowRun};

/// A run is too long at this many times its estimate and [`OVERRUN_SLACK`].
const OVERRUN_FACTOR: u32 = 4;
/// Time that a run of any estimate gets.
const OVERRUN_SLACK: Duration = Duration::from_millis(300);
/// Milliseconds that stopping a run and starting it on another worker takes.
const MOVE_COST_MS: f64 = 80.0;

impl Dispatcher {
    /// Moves runs that are behind to another worker if they end earlier there.
    pub(super) fn on_slow_runs(&mut self, now: Timestamp, key: AgentKey, slow: &[SlowRun]) {
        for behind in slow {
            let health = &mut self.agents[key].health;
            match behind.speed_percent < STALLED_SPEED_PERCENT {
                true => health.record_failure(now),
                false => health.record_slow(now, behind.speed_percent),
            }
        }
        for behind in slow {
            self.consider_move(now, key, *behind);
        }
    }

    fn consider_move(&mut self, now: Timestamp, key: AgentKey, behind: SlowRun) {
        let SlowRun {
            task,
            run,
            progress_percent: progress,
            speed_percent: pace,
        } = behind;
        let agent = &self.agents[key];
        let held = agent.placed.get(&task);
        let Some(placed) = held.filter(|p| p.run == run && !p.stopping) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let whole = f64::from(placed.estimate_ms) * self.run_time_ratio(&job.queue);
        let rest = whole * f64::from(100 - progress.min(100)) / f64::from(pace.max(1));
        let (spec, pool) = (Arc::clone(&job.spec), job.pool.clone());
        let step = &spec.steps[usize::from(task.step)];
        let other = self.choose_agent(now, task.job, task.step, &pool, step);
        let moved = rest > whole + MOVE_COST_MS && other.is_some_and(|other| other != key);
        log::info!(
            "E634 run is behind task={task} run={run} agent={} progress={progress} pace={pace} rest_ms={rest:.0} \
             moved={moved}",
            self.agents[key].address
        );
        if moved {
            self.order_stop(key, task, run);
        }
    }

    /// Stops runs that take far longer than expected; they are started elsewhere once they have ended.
    pub(super) fn stop_overruns(&mut self, now: Timestamp) {
        let mut late = Vec::new();
        for (key, agent) in &self.agents {
            for (task, placed) in &agent.placed {
                let bias = self
                    .jobs
                    .get(&task.job)
                    .and_then(|j| self.run_time_ratios.get(&j.queue));
                let expected =
                    f64::from(placed.estimate_ms) * bias.copied().unwrap_or(1.0).max(1.0);
                let limit = Duration::from_secs_f64(expected / 1_000.0) * OVERRUN_FACTOR;
                if !placed.stopping && placed.placed_at + limit + OVERRUN_SLACK < now {
                    late.push((key, *task, placed.run));
                }
            }
        }
        for (key, task, run) in late {
            log::warn!(
                "E607 run takes too long task={task} run={run} agent={}",
                self.agents[key].address
            );
            self.agents[key].health.record_failure(now);
            self.order_stop(key, task, run);
        }
    }
}
