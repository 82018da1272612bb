//! Refusal of jobs that cannot be run, or not in time.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{AgentView, Dispatch, Finish, JobView, LATE};
use crate::{
    agent::AGENT_GONE,
    job::{JobId, JobSpec, Queue, Resources},
    message::Refusal,
};

/// A job that the leader does not take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: Refusal,
    /// When another try may succeed.
    pub retry: Duration,
}

/// Shortest time after which a refused job should come again.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Time in which agents in reach report to a new leader.
const SETTLE: Duration = Duration::from_millis(150);
/// Time after which a job that no worker can hold should come again, since workers may be added.
const RETRY_LARGE: Duration = Duration::from_secs(5);

impl Dispatch {
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
        let fits = |needs: Resources| rooms.iter().any(|room| needs.fits(*room));
        if !rooms.is_empty() && !spec.steps.iter().all(|step| fits(step.needs)) {
            return Some(Rejection {
                reason: Refusal::TooLarge,
                retry: RETRY_LARGE,
            });
        }
        let cpu: u64 = rooms.iter().map(|room| u64::from(room.cpu)).sum();
        if !spec.volatile || cpu == 0 {
            return None;
        }
        let bias = self.bias_of(&queue.name);
        let chain = spec.chains().into_iter().max().unwrap_or(0) as f64 * bias;
        let slack = chain * f64::from(queue.policy.stretch - 1.0) + f64::from(queue.policy.goal);
        let held = match self.is_held(now, id, false) {
            true => self.held_for(now),
            false => Duration::ZERO,
        };
        let wait = self.backlog(queue) / cpu as f64 + held.max(age).as_millis() as f64;
        let retry = RETRY_MIN.max(Duration::from_secs_f64(wait / 1_000.0));
        (wait > slack).then_some(Rejection {
            reason: Refusal::Overload,
            retry,
        })
    }

    /// Time for which nothing starts, once the agents in reach have told what they run and others have not.
    fn held_for(&self, now: Timestamp) -> Duration {
        let settled = self.unresolved.is_empty() || now < self.since + SETTLE;
        match settled {
            true => Duration::ZERO,
            false => (self.since + AGENT_GONE).since(now),
        }
    }

    /// Work that waits before a new job of the queue, in thousandths of a core times milliseconds.
    fn backlog(&self, queue: &Queue) -> f64 {
        let ahead = self
            .ready
            .iter()
            .take_while(|(class, ..)| *class <= queue.policy.priority);
        let work = ahead.filter_map(|(_, _, id, number)| {
            let job = self.jobs.get(id).filter(|job| job.pool == queue.pool)?;
            let step = &job.spec.steps[usize::from(*number)];
            let tasks = job.steps[usize::from(*number)].ready.len() as f64;
            let bias = self.bias_of(&job.queue);
            Some(tasks * f64::from(step.needs.cpu) * f64::from(step.estimate) * bias)
        });
        work.sum()
    }

    /// Refuses waiting jobs that can no longer meet their goal, and puts those behind the others that must be kept.
    pub(super) fn shed(&mut self, now: Timestamp) {
        let late = self
            .ready
            .iter()
            .filter(|(class, latest, ..)| *class < LATE && *latest < now);
        let late: Vec<_> = late.copied().collect();
        for key @ (_, latest, id, number) in late {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.spec.volatile && !job.started && !job.again {
                self.finish(id, Finish::Refused);
                continue;
            }
            let step = &mut job.steps[usize::from(number)];
            step.class |= LATE;
            let class = step.class;
            self.ready.remove(&key);
            self.ready.insert((class, latest, id, number));
        }
        let useless = |job: &JobView| job.spec.volatile && job.expiry < now;
        let waiting = self.ready.iter().map(|(.., id, _)| *id);
        let mut expired: Vec<JobId> = waiting
            .filter(|id| self.jobs.get(id).is_some_and(useless))
            .collect();
        expired.dedup();
        for id in expired {
            if self.jobs.contains_key(&id) {
                self.finish(id, Finish::GivenUp);
            }
        }
    }
}
