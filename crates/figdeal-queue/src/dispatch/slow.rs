//! Runs that take too long, and runs that are better started anew elsewhere.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{AgentKey, Dispatch};
use crate::{agent::STILL, message::Slow};

/// A run is too long at this many times its estimate and [`OVERRUN_SLACK`].
const OVERRUN: u32 = 4;
/// Time that a run of any estimate gets.
const OVERRUN_SLACK: Duration = Duration::from_millis(300);
/// Milliseconds that stopping a run and starting it on another worker takes.
const MOVE_COST: f64 = 80.0;

impl Dispatch {
    /// Moves runs that are behind to another worker if they end earlier there.
    pub(super) fn take_slow(&mut self, now: Timestamp, key: AgentKey, slow: &[Slow]) {
        for behind in slow {
            let health = &mut self.agents[key].health;
            match behind.pace < STILL {
                true => health.failed(now),
                false => health.slowed(now, behind.pace),
            }
        }
        for behind in slow {
            self.move_run(now, key, *behind);
        }
    }

    fn move_run(&mut self, now: Timestamp, key: AgentKey, behind: Slow) {
        let Slow {
            task,
            run,
            progress,
            pace,
        } = behind;
        let agent = &self.agents[key];
        let held = agent.placed.get(&task);
        let Some(placed) = held.filter(|p| p.run == run && !p.stopping) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let whole = f64::from(placed.estimate) * self.bias_of(&job.queue);
        let rest = whole * f64::from(100 - progress.min(100)) / f64::from(pace.max(1));
        let (spec, pool) = (Arc::clone(&job.spec), job.pool.clone());
        let step = &spec.steps[usize::from(task.step)];
        let other = self.choose(now, task.job, task.step, &pool, step);
        let moved = rest > whole + MOVE_COST && other.is_some_and(|other| other != key);
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
                    .and_then(|j| self.bias.get(&j.queue));
                let expected = f64::from(placed.estimate) * bias.copied().unwrap_or(1.0).max(1.0);
                let limit = Duration::from_secs_f64(expected / 1_000.0) * OVERRUN;
                if !placed.stopping && placed.at + limit + OVERRUN_SLACK < now {
                    late.push((key, *task, placed.run));
                }
            }
        }
        for (key, task, run) in late {
            log::warn!(
                "E607 run takes too long task={task} run={run} agent={}",
                self.agents[key].address
            );
            self.agents[key].health.failed(now);
            self.order_stop(key, task, run);
        }
    }
}
