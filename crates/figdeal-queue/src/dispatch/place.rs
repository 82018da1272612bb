//! Places ready tasks: which queue comes next, and which of its steps.

use std::{sync::Arc, time::Duration};

use figdeal_core::time::Timestamp;

use super::{
    AgentKey, Dispatcher, PlacedRun, RackKey, TaskState,
    backlog::{self, BacklogKey, StepRank},
    overload::{PoolRoom, fragmentation_margin, reserve, service_order},
    waiting::WakeCondition,
};
use crate::{
    job::{JobId, Step, TaskId},
    message::Order,
};

/// Time after which a step looks again for a worker of its rack that has not replied to its last starts.
const START_REPLY_DELAY: Duration = Duration::from_millis(5);

/// Result of an attempt to place tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// A task found a worker.
    Placed,
    /// The step waits for something else than room, so that the room is left to others.
    OtherCondition,
    /// No worker has room for the step, or its queue has to leave the room to others.
    NoRoom,
}

impl Dispatcher {
    /// Starts ready tasks while workers have room: queue by queue as their shares decide, and within a queue first the
    /// jobs that have started, then by latest start. Steps that cannot be placed are set aside.
    pub fn place(&mut self, now: Timestamp) {
        self.wake_rack_waits(now);
        self.wake_due(now);
        let check_wakes = std::mem::take(&mut self.check_wakes);
        if check_wakes {
            let since = std::mem::replace(&mut self.availability_checked_at, now);
            self.wake_for_available(since, now);
        }
        self.wake_for_room();
        while self.place_awake(now) && !self.gained_agents.is_empty() {
            self.wake_for_room();
        }
        self.gained_agents.clear();
        if check_wakes {
            self.wake_missed(now);
        }
    }

    /// Places tasks of the steps that are awake. Returns whether another step may now take the room that these were
    /// woken for.
    fn place_awake(&mut self, now: Timestamp) -> bool {
        let waiting = self.backlogs.iter();
        let waiting = waiting.filter(|(_, b)| b.waiting.first_awake().is_some());
        let mut open: Vec<(BacklogKey, PoolRoom)> = waiting
            .map(|(key, b)| (key, self.pool_room(&b.pool, None)))
            .collect();
        let mut progressed = false;
        while let Some(position) = self.next_queue(&open) {
            if !self.place_next(now, open[position].0, &mut progressed) {
                open.swap_remove(position);
            }
        }
        progressed
    }

    /// Returns the position of the queue that gets the next free room.
    fn next_queue(&self, open: &[(BacklogKey, PoolRoom)]) -> Option<usize> {
        let order =
            |(key, room): &(BacklogKey, PoolRoom)| service_order(self.backlogs[*key].load(), *room);
        (0..open.len()).min_by_key(|position| order(&open[*position]))
    }

    /// Places tasks of the first step of the queue that a worker has room for, and sets aside the steps before it.
    /// Returns whether there is one. Sets `progressed` unless all steps only lacked room.
    fn place_next(&mut self, now: Timestamp, key: BacklogKey, progressed: &mut bool) -> bool {
        while let Some(rank) = self.backlogs[key].waiting.first_awake() {
            let attempt = self.place_step(now, key, rank);
            *progressed |= attempt != Attempt::NoRoom;
            if attempt == Attempt::Placed {
                return true;
            }
        }
        false
    }

    /// Returns whether a task of the queue may take room that more urgent queues need next.
    pub(super) fn is_allowed(&self, key: BacklogKey, millicores: u32) -> bool {
        let backlog = &self.backlogs[key];
        let room = self.pool_room(&backlog.pool, None);
        let same_pool = self.backlogs.values().filter(|b| b.pool == backlog.pool);
        let reserve = reserve(backlog.load(), same_pool.map(|b| b.load()), room);
        let workers = self
            .pools
            .get(&backlog.pool)
            .map_or(0, |p| p.worker_count());
        let needed = reserve + fragmentation_margin(reserve, workers, millicores);
        reserve == 0 || room.free_millicores >= needed + u64::from(millicores)
    }

    /// Places tasks of one step while workers have room, and sets the step aside if tasks are left.
    fn place_step(&mut self, now: Timestamp, key: BacklogKey, rank: StepRank) -> Attempt {
        let (id, number) = (rank.job, rank.step);
        let spec = Arc::clone(&self.jobs[&id].spec);
        let step = &spec.steps[usize::from(number)];
        let mut attempt = Attempt::NoRoom;
        let pool = self.backlogs[key].pool.clone();
        let rack = self.rack_of(&pool, step);
        while !self.jobs[&id].steps[usize::from(number)]
            .ready_tasks
            .is_empty()
        {
            let start = self.next_start(now, key, rank, step);
            let start = start.and_then(|(agent, task)| {
                match self.rack_condition(now, id, number, rack, agent) {
                    Some(condition) => Err(condition),
                    None => Ok((agent, task)),
                }
            });
            match start {
                Ok((agent, task)) => {
                    let is_local =
                        rack.is_some_and(|rack| self.agents[agent].racks.contains(&rack));
                    self.count_wait_outcome(now, id, number, is_local);
                    self.set_started(id);
                    self.remove_ready(task);
                    self.place_task(now, agent, task, step, rack, spec.payload.clone());
                    attempt = Attempt::Placed;
                }
                Err(condition) => {
                    if attempt != Attempt::Placed && !condition.lacks_room() {
                        attempt = Attempt::OtherCondition;
                    }
                    self.set_aside_step(key, id, number, condition);
                    break;
                }
            }
        }
        attempt
    }

    /// Returns what a step waits for instead of a start at `agent`, if a start in the rack of its data is worth it.
    fn rack_condition(
        &mut self,
        now: Timestamp,
        id: JobId,
        number: u16,
        rack: Option<RackKey>,
        agent: AgentKey,
    ) -> Option<WakeCondition> {
        let rack = rack.filter(|rack| !self.agents[agent].racks.contains(rack))?;
        if self.awaits_start_replies(now, id, number, rack) {
            let at = now + START_REPLY_DELAY;
            return Some(WakeCondition::Time { at });
        }
        let waits = self.waits_for_rack(now, id, number, rack, agent);
        waits.then_some(WakeCondition::Rack {
            job: id,
            step: number,
        })
    }

    fn set_aside_step(
        &mut self,
        key: BacklogKey,
        id: JobId,
        number: u16,
        condition: WakeCondition,
    ) {
        let step = &self.jobs[&id].steps[usize::from(number)];
        let rank = backlog::rank(step, id, number);
        self.set_aside(key, rank, condition);
    }

    /// Returns the next task of a step and an agent that can start it, or what the step has to wait for.
    fn next_start(
        &self,
        now: Timestamp,
        key: BacklogKey,
        rank: StepRank,
        step: &Step,
    ) -> Result<(AgentKey, TaskId), WakeCondition> {
        let (id, number) = (rank.job, rank.step);
        let millicores = step.needs.millicores;
        if !self.is_allowed(key, millicores) {
            return Err(WakeCondition::Reserve { millicores });
        }
        let pool = &self.backlogs[key].pool;
        let Some(agent) = self.choose_agent(now, id, number, pool, step, None) else {
            return Err(self.wait_condition(now, key, rank, step));
        };
        self.choose_task(now, key, rank, step, agent)
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
            confirmed: false,
            backlog,
        };
        let agent = &mut self.agents[key];
        agent.start_flow.record_start(agent.last_orders + 1);
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
