//! Admission control and load shedding: refuses jobs that cannot be run, or not in time.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{
    Dispatcher, VolatileOutcome,
    backlog::{Class, StepRank},
    overload::{QueueLoad, is_overloaded, millis, predicted_wait, retry_after},
};
use crate::{
    job::{JobId, JobSpec, Queue},
    message::RefusalReason,
};

/// Refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which another attempt may succeed.
    pub retry_after: Duration,
}

/// How long reachable agents take to report to a new leader.
const AGENT_REPORT_WINDOW: Duration = Duration::from_millis(150);
/// Delay before a job that no worker can run should be resubmitted, since workers may be added.
const NO_WORKER_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Returns why a job should be refused, if so: no worker can run a task, or a volatile job would miss
    /// its response-time goal.
    pub fn rejection(
        &self,
        now: Timestamp,
        queue: &Queue,
        id: JobId,
        spec: &JobSpec,
        age: Duration,
    ) -> Option<Rejection> {
        let pool = self.pools.get(&queue.pool)?;
        if spec.steps.iter().any(|step| pool.is_too_small(step.needs)) {
            return Some(Rejection {
                reason: RefusalReason::TooLarge,
                retry_after: NO_WORKER_RETRY_DELAY,
            });
        }
        // Workers of agents that have not reported to a new leader may have other labels.
        let workers_known = self.agents_with_unknown_runs.is_empty() && pool.has_workers();
        if workers_known && spec.steps.iter().any(|step| !pool.can_run(step)) {
            return Some(Rejection {
                reason: RefusalReason::NoWorker,
                retry_after: NO_WORKER_RETRY_DELAY,
            });
        }
        let known = self.find_backlog(&queue.name, &queue.pool);
        let backlog = known.map(|key| &self.backlogs[key]);
        let is_idle = backlog.is_none_or(|b| !b.is_active());
        let room = self.pool_room(&queue.pool, is_idle.then_some(queue.policy.priority));
        if !spec.volatile || room.total_millicores == 0 {
            return None;
        }
        let slack = self.slack(queue, spec);
        let left = slack.saturating_sub(age);
        if let Some(wait) = known.and_then(|key| self.rack_wait_beyond_goal(now, key, spec, left)) {
            return Some(Rejection {
                reason: RefusalReason::Overload,
                retry_after: retry_after(wait, id.0),
            });
        }
        let load = backlog.map_or(QueueLoad::idle(queue.policy.priority), |b| b.load());
        let wait = predicted_wait(load, room);
        let mean_slack = backlog.and_then(|b| b.mean_slack).unwrap_or(slack);
        let hold_time = match self.is_held(now, id, false) {
            true => self.remaining_hold_time(now),
            false => Duration::ZERO,
        };
        let spent = hold_time.max(age);
        let refused = spent + wait > slack || is_overloaded(wait, slack, mean_slack);
        refused.then(|| Rejection {
            reason: RefusalReason::Overload,
            retry_after: retry_after(wait + spent, id.0),
        })
    }

    /// Returns how long a job may wait so that it still meets its response-time goal.
    pub(super) fn slack(&self, queue: &Queue, spec: &JobSpec) -> Duration {
        let backlog = self.find_backlog(&queue.name, &queue.pool);
        let ratio = backlog.map_or(1.0, |key| self.backlogs[key].run_time_ratio.value());
        let run_ms = spec.critical_paths_ms().into_iter().max().unwrap_or(0) as f64 * ratio;
        let slack_ms = run_ms * f64::from(queue.policy.goal_factor - 1.0)
            + f64::from(queue.policy.goal_slack_ms);
        millis(slack_ms)
    }

    /// Returns how long held jobs still wait for unreachable agents; zero as long as reachable agents may still report.
    fn remaining_hold_time(&self, now: Timestamp) -> Duration {
        let no_wait = self.agents_with_unknown_runs.is_empty()
            || now < self.leading_since + AGENT_REPORT_WINDOW;
        match no_wait {
            true => Duration::ZERO,
            false => self.all_runs_known_by().since(now),
        }
    }

    /// Handles steps that are past their latest start: refuses their job if it is volatile and no task of it can have
    /// run, and otherwise moves the step behind those that are in time. Also ends expired volatile jobs.
    pub(super) fn shed_load(&mut self, now: Timestamp) {
        let waiting = self.backlogs.values().flat_map(|b| &b.steps);
        let is_late = |rank: &&StepRank| {
            let not_started = matches!(rank.class, Class::Waiting | Class::Unplaceable);
            not_started && rank.latest_start < now
        };
        let mut late: Vec<JobId> = waiting.filter(is_late).map(|rank| rank.job).collect();
        late.dedup();
        for id in late {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.started) else {
                continue;
            };
            match job.spec.volatile && !job.resubmitted {
                true => self.finish_volatile(id, VolatileOutcome::Refused),
                false => self.move_steps(id, Class::Late),
            }
        }
        let waiting = self.backlogs.values().flat_map(|b| &b.steps);
        let has_expired = |id: &JobId| {
            let job = &self.jobs[id];
            job.spec.volatile && job.expires_at < now
        };
        let mut expired: Vec<JobId> = waiting.map(|rank| rank.job).filter(has_expired).collect();
        expired.dedup();
        for id in expired {
            if self.jobs.contains_key(&id) {
                self.finish_volatile(id, VolatileOutcome::Expired);
            }
        }
    }
}
