//! Where a task whose run has failed is started again: on another worker than the one that failed it, if there is one.
//!
//! A worker that fails a part of its runs frees room with each failure, so it is the most likely one to have room for the
//! same task again and could use up all its attempts.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{
    AgentKey, Dispatcher, TaskId,
    backlog::{BacklogKey, StepRank},
    room::{has_required_label, is_reachable},
    view::JobView,
    waiting::WakeCondition,
};
use crate::job::Step;

/// How long a task waits for another worker to get room. It then starts where its last run failed.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(200);
/// Interval at which a waiting task looks for another worker.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of tasks of a step that are looked at if the chosen worker has failed the ones before.
const MAX_RETRY_CHECKS: usize = 8;

/// Last failed run of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedRun {
    agent: AgentKey,
    failed_at: Timestamp,
}

impl JobView {
    /// Records the failed run of a task.
    pub(super) fn record_failed_run(&mut self, now: Timestamp, task: TaskId, agent: AgentKey) {
        let failed_run = FailedRun {
            agent,
            failed_at: now,
        };
        let key = (task.step, task.index);
        self.last_failures.insert(key, failed_run);
    }
}

impl Dispatcher {
    /// Returns a ready task of a step and the agent that should start it, or what the step has to wait for. `agent` can
    /// start any of them; a task that failed there goes to another worker.
    pub(super) fn choose_task(
        &self,
        now: Timestamp,
        key: BacklogKey,
        rank: StepRank,
        step: &Step,
        agent: AgentKey,
    ) -> std::result::Result<(AgentKey, TaskId), WakeCondition> {
        let pool = &self.backlogs[key].pool;
        let job = &self.jobs[&rank.job];
        let ready = job.steps[usize::from(rank.step)].ready_tasks.iter();
        let mut other = None;
        for &index in ready.take(MAX_RETRY_CHECKS) {
            let task = TaskId {
                job: rank.job,
                step: rank.step,
                index,
            };
            let last = job.last_failures.get(&(rank.step, index));
            let Some(failed) = last.filter(|failed| failed.agent == agent) else {
                return Ok((agent, task));
            };
            let other = *other.get_or_insert_with(|| {
                self.choose_agent(now, rank.job, rank.step, pool, step, Some(agent))
            });
            if let Some(other) = other {
                return Ok((other, task));
            }
            if now >= failed.failed_at + MAX_RETRY_WAIT
                || !self.has_other_worker(now, pool, step, agent)
            {
                return Ok((agent, task));
            }
        }
        Err(WakeCondition::Time {
            at: now + RETRY_CHECK_INTERVAL,
        })
    }

    /// Returns whether another worker can run a task of the step once it has room.
    fn has_other_worker(&self, now: Timestamp, pool: &str, step: &Step, agent: AgentKey) -> bool {
        self.agents.iter().any(|(key, other)| {
            let is_usable = other.room.as_ref().is_some_and(|room| room.is_in(pool));
            let can_run = other.worker.as_ref().is_some_and(|worker| {
                step.needs.fits_into(worker.capacity)
                    && has_required_label(&worker.labels, step.label.as_ref())
            });
            key != agent && is_usable && can_run && is_reachable(other, now)
        })
    }
}
