//! Admission control and load shedding: refuses jobs that cannot be run, or not in time.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{AgentView, Dispatcher, JobView, LATE_CLASS, VolatileOutcome};
use crate::{
    agent::AGENT_LOSS_TIMEOUT,
    job::{JobId, JobSpec, Queue, Resources},
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

/// Minimum delay before a refused job should be resubmitted.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long reachable agents take to report to a new leader.
const AGENT_REPORT_WINDOW: Duration = Duration::from_millis(150);
/// Delay before a job that is too large for every worker should be resubmitted, since workers may be added.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Returns why a job should be refused, if so: no worker is large enough for a task, or a volatile job would miss
    /// its response-time goal.
    pub fn rejection(
        &self,
        now: Timestamp,
        queue: &Queue,
        id: JobId,
        spec: &JobSpec,
        age: Duration,
    ) -> Option<Rejection> {
        let in_pool = |a: &&AgentView| a.worker.as_ref().is_some_and(|w| w.pool == queue.pool);
        let workers = self
            .agents
            .values()
            .filter(in_pool)
            .filter_map(|a| a.worker.as_ref());
        let capacities: Vec<Resources> = workers.map(|w| w.capacity).collect();
        let fits = |needs: Resources| capacities.iter().any(|capacity| needs.fits_into(*capacity));
        if !capacities.is_empty() && !spec.steps.iter().all(|step| fits(step.needs)) {
            return Some(Rejection {
                reason: RefusalReason::TooLarge,
                retry_after: TOO_LARGE_RETRY_DELAY,
            });
        }
        let total_millicores: u64 = capacities
            .iter()
            .map(|capacity| u64::from(capacity.millicores))
            .sum();
        if !spec.volatile || total_millicores == 0 {
            return None;
        }
        let ratio = self.run_time_ratio(&queue.name);
        let critical_path = spec.critical_paths_ms().into_iter().max().unwrap_or(0) as f64 * ratio;
        let slack = critical_path * f64::from(queue.policy.goal_factor - 1.0)
            + f64::from(queue.policy.goal_slack_ms);
        let hold_time = match self.is_held(now, id, false) {
            true => self.remaining_hold_time(now),
            false => Duration::ZERO,
        };
        let wait = self.queued_work(queue) / total_millicores as f64
            + hold_time.max(age).as_millis() as f64;
        let retry_after = MIN_RETRY_DELAY.max(Duration::from_secs_f64(wait / 1_000.0));
        (wait > slack).then_some(Rejection {
            reason: RefusalReason::Overload,
            retry_after,
        })
    }

    /// Returns how long held jobs still wait for unreachable agents; zero as long as reachable agents may still report.
    fn remaining_hold_time(&self, now: Timestamp) -> Duration {
        let no_wait = self.agents_with_unknown_runs.is_empty()
            || now < self.leading_since + AGENT_REPORT_WINDOW;
        match no_wait {
            true => Duration::ZERO,
            false => (self.leading_since + AGENT_LOSS_TIMEOUT).since(now),
        }
    }

    /// Returns the work queued ahead of a new job of the queue, in millicores times milliseconds.
    fn queued_work(&self, queue: &Queue) -> f64 {
        let steps_ahead = self
            .ready_steps
            .iter()
            .take_while(|(class, ..)| *class <= queue.policy.priority);
        let work = steps_ahead.filter_map(|(_, _, id, number)| {
            let job = self.jobs.get(id).filter(|job| job.pool == queue.pool)?;
            let step = &job.spec.steps[usize::from(*number)];
            let tasks = job.steps[usize::from(*number)].ready_tasks.len() as f64;
            let ratio = self.run_time_ratio(&job.queue);
            Some(tasks * f64::from(step.needs.millicores) * f64::from(step.estimate_ms) * ratio)
        });
        work.sum()
    }

    /// Handles steps that are past their latest start: refuses their job if it is volatile and no task of it can have
    /// run, and otherwise moves the step behind those that are in time. Also ends expired volatile jobs.
    pub(super) fn shed_load(&mut self, now: Timestamp) {
        let late = self
            .ready_steps
            .iter()
            .filter(|(class, latest, ..)| *class < LATE_CLASS && *latest < now);
        let late: Vec<_> = late.copied().collect();
        for key @ (_, latest, id, number) in late {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.spec.volatile && !job.started && !job.resubmitted {
                self.finish_volatile(id, VolatileOutcome::Refused);
                continue;
            }
            let step = &mut job.steps[usize::from(number)];
            step.class |= LATE_CLASS;
            let class = step.class;
            self.ready_steps.remove(&key);
            self.ready_steps.insert((class, latest, id, number));
        }
        let has_expired = |job: &JobView| job.spec.volatile && job.expires_at < now;
        let waiting = self.ready_steps.iter().map(|(.., id, _)| *id);
        let mut expired: Vec<JobId> = waiting
            .filter(|id| self.jobs.get(id).is_some_and(has_expired))
            .collect();
        expired.dedup();
        for id in expired {
            if self.jobs.contains_key(&id) {
                self.finish_volatile(id, VolatileOutcome::Expired);
            }
        }
    }
}
