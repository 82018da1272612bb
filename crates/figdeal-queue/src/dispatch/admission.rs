//! RefusalReason of jobs that cannot be run, or not in time.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{AgentView, Dispatcher, JobView, LATE_CLASS, VolatileOutcome};
use crate::{
    agent::AGENT_LOSS_TIMEOUT,
    job::{JobId, JobSpec, Queue, Resources},
    message::RefusalReason,
};

/// A job that the leader does not take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: RefusalReason,
    /// When another try may succeed.
    pub retry_after: Duration,
}

/// Shortest time after which a refused job should come again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time in which agents in reach report to a new leader.
const AGENT_REPORT_WINDOW: Duration = Duration::from_millis(150);
/// Time after which a job that no worker can hold should come again, since workers may be added.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Why a job should not be accepted, if so: no worker can hold a task, or a volatile job would miss its goal.
    pub fn rejection(
        &self,
        now: Timestamp,
        queue: &Queue,
        id: JobId,
        spec: &JobSpec,
        age: Duration,
    ) -> Option<Rejection> {
        let of_pool = |a: &&AgentView| a.worker.as_ref().is_some_and(|w| w.pool == queue.pool);
        let workers = self
            .agents
            .values()
            .filter(of_pool)
            .filter_map(|a| a.worker.as_ref());
        let rooms: Vec<Resources> = workers.map(|w| w.capacity).collect();
        let fits = |needs: Resources| rooms.iter().any(|room| needs.fits_into(*room));
        if !rooms.is_empty() && !spec.steps.iter().all(|step| fits(step.needs)) {
            return Some(Rejection {
                reason: RefusalReason::TooLarge,
                retry_after: TOO_LARGE_RETRY_DELAY,
            });
        }
        let cpu: u64 = rooms.iter().map(|room| u64::from(room.millicores)).sum();
        if !spec.volatile || cpu == 0 {
            return None;
        }
        let bias = self.run_time_ratio(&queue.name);
        let chain = spec.critical_paths_ms().into_iter().max().unwrap_or(0) as f64 * bias;
        let slack = chain * f64::from(queue.policy.goal_factor - 1.0)
            + f64::from(queue.policy.goal_slack_ms);
        let held = match self.is_held(now, id, false) {
            true => self.remaining_hold_time(now),
            false => Duration::ZERO,
        };
        let wait = self.queued_work(queue) / cpu as f64 + held.max(age).as_millis() as f64;
        let retry = MIN_RETRY_DELAY.max(Duration::from_secs_f64(wait / 1_000.0));
        (wait > slack).then_some(Rejection {
            reason: RefusalReason::Overload,
            retry_after: retry,
        })
    }

    /// Time for which nothing starts, once the agents in reach have told what they run and others have not.
    fn remaining_hold_time(&self, now: Timestamp) -> Duration {
        let settled =
            self.unresolved_agents.is_empty() || now < self.leading_since + AGENT_REPORT_WINDOW;
        match settled {
            true => Duration::ZERO,
            false => (self.leading_since + AGENT_LOSS_TIMEOUT).since(now),
        }
    }

    /// Work that waits before a new job of the queue, in thousandths of a core times milliseconds.
    fn queued_work(&self, queue: &Queue) -> f64 {
        let ahead = self
            .ready_steps
            .iter()
            .take_while(|(class, ..)| *class <= queue.policy.priority);
        let work = ahead.filter_map(|(_, _, id, number)| {
            let job = self.jobs.get(id).filter(|job| job.pool == queue.pool)?;
            let step = &job.spec.steps[usize::from(*number)];
            let tasks = job.steps[usize::from(*number)].ready_tasks.len() as f64;
            let bias = self.run_time_ratio(&job.queue);
            Some(tasks * f64::from(step.needs.millicores) * f64::from(step.estimate_ms) * bias)
        });
        work.sum()
    }

    /// Refuses waiting jobs that can no longer meet their goal, and puts those behind the others that must be kept.
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
        let useless = |job: &JobView| job.spec.volatile && job.expires_at < now;
        let waiting = self.ready_steps.iter().map(|(.., id, _)| *id);
        let mut expired: Vec<JobId> = waiting
            .filter(|id| self.jobs.get(id).is_some_and(useless))
            .collect();
        expired.dedup();
        for id in expired {
            if self.jobs.contains_key(&id) {
                self.finish_volatile(id, VolatileOutcome::Expired);
            }
        }
    }
}
