//! Places ready tasks: which queue comes next, and which of its steps.

use std::sync::Arc;

use figdeal_core::time::Timestamp;

use super::{
    AgentKey, Dispatcher, PlacedRun, RackKey, TaskState,
    backlog::{BacklogKey, StepRank},
    overload::{PoolRoom, reserve, service_order},
};
use crate::{
    job::{JobId, Resources, Step, TaskId},
    message::Order,
};

/// Number of steps of a queue that are tried in a row if no worker has room for them.
const MAX_PLACEMENT_MISSES: usize = 32;

impl Dispatcher {
    /// Starts ready tasks while workers have room: queue by queue as their shares decide, and within a queue first the
    /// jobs that have started, then by latest start.
    pub fn place(&mut self, now: Timestamp) {
        self.wake_rack_waits(now);
        let waiting = self.backlogs.iter().filter(|(_, b)| b.ready_tasks > 0);
        let mut open: Vec<(BacklogKey, PoolRoom)> = waiting
            .map(|(key, b)| (key, self.pool_room(&b.pool, None)))
            .collect();
        while let Some(position) = self.next_queue(&open) {
            if !self.place_next(now, open[position].0) {
                open.swap_remove(position);
            }
        }
    }

    /// Returns the position of the queue that gets the next free room.
    fn next_queue(&self, open: &[(BacklogKey, PoolRoom)]) -> Option<usize> {
        let order =
            |(key, room): &(BacklogKey, PoolRoom)| service_order(self.backlogs[*key].load(), *room);
        (0..open.len()).min_by_key(|position| order(&open[*position]))
    }

    /// Places tasks of the first step of the queue that a worker has room for. Returns whether there is one.
    fn place_next(&mut self, now: Timestamp, key: BacklogKey) -> bool {
        let backlog = &self.backlogs[key];
        let waits = backlog.rack_waits.len();
        // Steps that wait for their rack do not count as misses.
        let steps = backlog.steps.difference(&backlog.rack_waits);
        let steps: Vec<StepRank> = steps.take(MAX_PLACEMENT_MISSES).copied().collect();
        let placed = steps
            .iter()
            .any(|rank| self.place_step(now, key, rank.job, rank.step));
        placed || self.backlogs[key].rack_waits.len() > waits
    }

    /// Returns whether a task of the queue may take room that more urgent queues need next.
    fn is_allowed(&self, key: BacklogKey, needs: Resources) -> bool {
        let backlog = &self.backlogs[key];
        let room = self.pool_room(&backlog.pool, None);
        let same_pool = self.backlogs.values().filter(|b| b.pool == backlog.pool);
        let reserve = reserve(backlog.load(), same_pool.map(|b| b.load()), room);
        // About half a task does not fit into the free room of each worker.
        let workers = self
            .pools
            .get(&backlog.pool)
            .map_or(0, |p| p.worker_count());
        let unusable = workers * u64::from(needs.millicores) / 2;
        reserve == 0 || room.free_millicores >= reserve + unusable + u64::from(needs.millicores)
    }

    /// Places tasks of one step while workers have room. Returns whether a task found a worker.
    fn place_step(&mut self, now: Timestamp, key: BacklogKey, id: JobId, number: u16) -> bool {
        let Some(spec) = self.jobs.get(&id).map(|j| Arc::clone(&j.spec)) else {
            return false;
        };
        let step = &spec.steps[usize::from(number)];
        let mut placed = false;
        let pool = self.backlogs[key].pool.clone();
        let rack = self.rack_of(&pool, step);
        while !self.jobs[&id].steps[usize::from(number)]
            .ready_tasks
            .is_empty()
        {
            if !self.is_allowed(key, step.needs) {
                break;
            }
            let Some(agent) = self.choose_agent(now, id, number, &pool, step, rack) else {
                break;
            };
            if self.waits_for_rack(now, id, number, rack, agent) {
                break;
            }
            let is_local = rack.is_some_and(|rack| self.agents[agent].racks.contains(&rack));
            self.count_wait_outcome(now, id, number, is_local);
            self.set_started(id);
            let index = self
                .pop_ready(id, number)
                .expect("a ready task must be left");
            let task = TaskId {
                job: id,
                step: number,
                index,
            };
            self.place_task(now, agent, task, step, rack, spec.payload.clone());
            placed = true;
        }
        placed
    }

    fn place_task(
        &mut self,
        now: Timestamp,
        key: AgentKey,
        task: TaskId,
        step: &Step,
        data_rack: Option<RackKey>,
        payload: String,
    ) {
        let job = self.jobs.get_mut(&task.job).expect("the job must be known");
        let backlog = job.backlog;
        let starts = job.start_counts.entry((task.step, task.index)).or_default();
        *starts += 1;
        let run = job.base_run + *starts;
        job.steps[usize::from(task.step)].tasks[task.index as usize] = TaskState::Placed(key, run);
        let needs = step.needs;
        let remote_factor = self.remote_factor(key, step);
        let placed = PlacedRun {
            run,
            needs,
            progress_percent: 0,
            progressed_at: now,
            orders_number: self.agents[key].last_orders + 1,
            estimate_ms: step.estimate_ms,
            remote_factor,
            placed_at: now,
            expected_end: now + self.expected_run_time(key, backlog, step),
            data_rack,
            stop_number: None,
            backlog,
        };
        self.add_placed(key, task, placed);
        let ratio = self.backlogs[backlog].run_time_ratio.value();
        let agent = &mut self.agents[key];
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
            expected_ms: (f64::from(step.estimate_ms) * ratio * remote_factor) as u32,
            payload,
        });
        self.mark_due(key);
    }
}
