//! Chooses a worker for each ready task.

use std::sync::Arc;

use figdeal_core::time::Timestamp;

use super::{AGENT_SILENCE_TIMEOUT, AgentKey, AgentView, Dispatcher, PlacedRun, TaskState};
use crate::{
    job::{JobId, Step, TaskId},
    message::Order,
};

/// A round of placement ends after this many steps for which no worker has room.
const MAX_PLACEMENT_MISSES: usize = 32;
/// Factor by which a task is assumed to run longer on a worker in another rack than its data.
const REMOTE_RACK_FACTOR: f64 = 1.5;

impl Dispatcher {
    /// Starts ready tasks while workers have room, by priority and then by latest start.
    pub fn place(&mut self, now: Timestamp) {
        let mut misses = 0;
        let mut cursor = self.ready_steps.first().copied();
        while let Some(key @ (_, _, id, number)) = cursor {
            if !self.place_step(now, id, number) {
                misses += 1;
            }
            let rest = self.jobs.get(&id).map(|j| &j.steps[usize::from(number)]);
            if rest.is_none_or(|step| step.ready_tasks.is_empty()) {
                self.ready_steps.remove(&key);
            }
            if misses >= MAX_PLACEMENT_MISSES {
                break;
            }
            let after = (std::ops::Bound::Excluded(key), std::ops::Bound::Unbounded);
            cursor = self.ready_steps.range(after).next().copied();
        }
    }

    /// Places tasks of one step. Returns whether all of them found a worker.
    fn place_step(&mut self, now: Timestamp, id: JobId, number: u16) -> bool {
        let Some(spec) = self.jobs.get(&id).map(|j| Arc::clone(&j.spec)) else {
            return true;
        };
        let step = &spec.steps[usize::from(number)];
        loop {
            let Some(job) = self.jobs.get(&id) else {
                return true;
            };
            let Some(&index) = job.steps[usize::from(number)].ready_tasks.front() else {
                return true;
            };
            let pool = job.pool.clone();
            let Some(key) = self.choose_agent(now, id, number, &pool, step) else {
                return false;
            };
            let task = TaskId {
                job: id,
                step: number,
                index,
            };
            self.place_task(now, key, task, step, spec.payload.clone());
        }
    }

    fn place_task(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        task: TaskId,
        step: &Step,
        payload: String,
    ) {
        let job = self.jobs.get_mut(&task.job).expect("the job must be known");
        let ratio = self.run_time_ratios.get(&job.queue).copied().unwrap_or(1.0);
        let starts = job.start_counts.entry((task.step, task.index)).or_default();
        *starts += 1;
        let run = job.base_run + *starts;
        let view = &mut job.steps[usize::from(task.step)];
        view.ready_tasks.pop_front();
        view.tasks[task.index as usize] = TaskState::Placed(key, run);
        job.started = true;
        let agent = &mut self.agents[key];
        let needs = step.needs;
        agent.placed.insert(
            task,
            PlacedRun {
                run,
                needs,
                placed_at: now,
                orders_number: agent.last_orders + 1,
                estimate_ms: step.estimate_ms,
                stopping: false,
            },
        );
        agent.used = agent.used.saturating_add(needs);
        agent.health.record_placement(now);
        let incarnation = agent
            .worker
            .as_ref()
            .expect("the worker must be known")
            .incarnation;
        agent.outbox.push(Order::Start {
            task,
            run,
            incarnation,
            needs,
            expected_ms: (f64::from(step.estimate_ms) * ratio) as u32,
            payload,
        });
        agent.orders_due = true;
    }

    /// Returns the agent with the lowest score among those that can start a task of step `number` now.
    pub(super) fn choose_agent(
        &self,
        now: Timestamp,
        id: JobId,
        number: u16,
        pool: &str,
        step: &Step,
    ) -> Option<AgentKey> {
        let fits = |agent: &AgentView| {
            let Some(worker) = agent.worker.as_ref() else {
                return false;
            };
            let has_label = step
                .label
                .as_ref()
                .is_none_or(|l| worker.labels.contains(l));
            let available = agent.registered
                && agent.runs_known
                && agent.heard_at + AGENT_SILENCE_TIMEOUT > now
                && !worker.draining
                && agent.health.is_available(now);
            available
                && has_label
                && worker.pool == pool
                && step
                    .needs
                    .fits_into(worker.capacity.saturating_sub(agent.used))
        };
        let below_worker_limit = |agent: &AgentView| {
            let same = agent
                .placed
                .keys()
                .filter(|t| t.job == id && t.step == number);
            step.max_per_worker == 0 || same.count() < step.max_per_worker as usize
        };
        let score = |agent: &AgentView| {
            let worker = agent.worker.as_ref().expect("the worker must be known");
            let in_other_rack = step
                .rack
                .as_ref()
                .is_some_and(|r| !worker.labels.contains(r));
            agent.health.score()
                * if in_other_rack {
                    REMOTE_RACK_FACTOR
                } else {
                    1.0
                }
        };
        let candidates = self
            .agents
            .iter()
            .filter(|(_, a)| fits(a) && below_worker_limit(a));
        candidates
            .min_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)))
            .map(|(key, _)| key)
    }
}
