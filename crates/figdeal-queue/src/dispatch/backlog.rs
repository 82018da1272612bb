//! Steps that wait for room, in one backlog a queue, with what each queue uses and how much work waits.

use std::{collections::BTreeSet, time::Duration};

use figdeal_core::time::Timestamp;
use slotmap::new_key_type;

use super::{
    Dispatcher, LearnedRatio, TaskState,
    overload::{QueueLoad, decayed_peak},
    view::{JobView, PlacedRun, StepView},
    waiting::{WaitingSteps, WakeCondition},
};
use crate::job::{JobId, Step, TaskId};

/// Weight of a new job in the average slack of its queue.
const SLACK_WEIGHT: f64 = 0.02;

new_key_type! {
    /// Key of the backlog of a queue.
    pub(super) struct BacklogKey;
}

/// Order of the waiting steps of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// A task of the job has started. The others come next: work on a job is lost if its last task comes too late.
    Started,
    /// No task of the job has started, and it can still meet its response-time goal.
    Waiting,
    /// The latest start has passed.
    Late,
    /// No worker of the pool outside the evacuated data centres can run the step, even when it is idle. Steps that have
    /// to wait for a worker to join must not hold up the others.
    Unplaceable,
}

/// Position of a waiting step in the backlog of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    pub(super) class: Class,
    pub(super) latest_start: Timestamp,
    pub(super) job: JobId,
    pub(super) step: u16,
}

/// Waiting and running work of one queue.
#[derive(Debug)]
pub(super) struct Backlog {
    pub(super) queue: String,
    /// Pool of workers that run the jobs.
    pub(super) pool: String,
    /// Priority of the queue; 0 is served first.
    pub(super) priority: u8,
    /// Steps with ready tasks.
    pub(super) steps: BTreeSet<StepRank>,
    /// The same steps, by what they wait for.
    pub(super) waiting: WaitingSteps,
    /// Expected work of the steps that wait for a rack, in millicores times microseconds.
    pub(super) rack_work: u128,
    /// Number of ready tasks.
    pub(super) ready_tasks: usize,
    /// Work of the ready tasks by their estimates, in millicores times milliseconds.
    pub(super) waiting_work: u128,
    /// Millicores that the ready tasks need.
    pub(super) waiting_millicores: u64,
    /// Most millicores that the queue needed recently.
    pub(super) peak_millicores: u64,
    /// Millicores of the placed runs.
    pub(super) used_millicores: u64,
    /// Average ratio of run time to estimate.
    pub(super) run_time_ratio: LearnedRatio,
    /// Average slack of the accepted jobs; `None` before the first.
    pub(super) mean_slack: Option<Duration>,
}

impl Backlog {
    fn new(queue: &str, pool: &str, priority: u8) -> Backlog {
        Backlog {
            queue: queue.to_owned(),
            pool: pool.to_owned(),
            priority,
            steps: BTreeSet::new(),
            waiting: WaitingSteps::default(),
            rack_work: 0,
            ready_tasks: 0,
            waiting_work: 0,
            waiting_millicores: 0,
            peak_millicores: 0,
            used_millicores: 0,
            run_time_ratio: LearnedRatio::for_queue(),
            mean_slack: None,
        }
    }

    /// Returns whether the queue uses or waits for workers.
    pub(super) fn is_active(&self) -> bool {
        self.ready_tasks > 0 || self.used_millicores > 0
    }

    fn add_ready(&mut self, step: &Step) {
        self.ready_tasks += 1;
        self.waiting_work += task_work(step);
        self.waiting_millicores += u64::from(step.needs.millicores);
        if step.label.is_none() {
            self.raise_peak();
        }
    }

    /// Returns the millicores that the queue uses or can use. The steps that were set aside can use none of the free
    /// room.
    fn demand(&self) -> u64 {
        self.used_millicores + self.waiting_millicores - self.waiting.aside_millicores()
    }

    fn raise_peak(&mut self) {
        self.peak_millicores = self.peak_millicores.max(self.demand());
    }

    /// Adds a waiting step, or lets it be tried again.
    fn insert_step(&mut self, rank: StepRank) {
        self.steps.insert(rank);
        self.waiting.insert(rank);
    }

    /// Removes a waiting step, and lets the next one that waits for the same room be tried. Returns whether it waited.
    fn remove_step(&mut self, rank: &StepRank, step: &Step) -> bool {
        let was_waiting = self.steps.remove(rank);
        if was_waiting {
            self.waiting.remove(rank);
            self.waiting.wake_first(&WakeCondition::room(step));
        }
        was_waiting
    }

    fn subtract_ready(&mut self, step: &Step, count: usize) {
        self.ready_tasks -= count;
        self.waiting_work -= task_work(step) * count as u128;
        self.waiting_millicores -= u64::from(step.needs.millicores) * count as u64;
    }

    /// Lets the recent peak of the demand fade.
    pub(super) fn decay_peak(&mut self) {
        self.peak_millicores = decayed_peak(self.peak_millicores, self.demand());
    }

    /// Records the slack of an accepted job.
    pub(super) fn record_slack(&mut self, slack: Duration) {
        let mean = self.mean_slack.get_or_insert(slack);
        *mean = mean.mul_f64(1.0 - SLACK_WEIGHT) + slack.mul_f64(SLACK_WEIGHT);
    }

    /// Returns the load of the queue for the decisions under overload.
    pub(super) fn load(&self) -> QueueLoad {
        // What waits for a rack does not compete for the other room of the pool.
        let rack_work = self.rack_work as f64 / 1_000.0;
        QueueLoad {
            priority: self.priority,
            used_millicores: self.used_millicores,
            peak_millicores: self.peak_millicores,
            mean_slack: self.mean_slack.unwrap_or_default(),
            waiting_work: (self.waiting_work as f64 * self.run_time_ratio.value() - rack_work)
                .max(0.0),
        }
    }
}

/// Work of one task in millicores times milliseconds, by its estimate.
fn task_work(step: &Step) -> u128 {
    u128::from(step.needs.millicores) * u128::from(step.estimate_ms)
}

impl Dispatcher {
    /// Returns the backlog of a queue, which is created with its first job.
    pub(super) fn backlog(&mut self, queue: &str, pool: &str, priority: u8) -> BacklogKey {
        let known = self.find_backlog(queue, pool);
        let key =
            known.unwrap_or_else(|| self.backlogs.insert(Backlog::new(queue, pool, priority)));
        self.backlogs[key].priority = priority;
        key
    }

    /// Returns the backlog of a queue, if it has had a job in this term.
    pub(super) fn find_backlog(&self, queue: &str, pool: &str) -> Option<BacklogKey> {
        let mut found = self.backlogs.iter();
        found
            .find(|(_, b)| b.queue == queue && b.pool == pool)
            .map(|(key, _)| key)
    }

    /// Makes the blocked tasks of a job ready if the steps that they depend on are done.
    pub(super) fn unblock(&mut self, id: JobId) {
        self.end_job_waits(id);
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_held) else {
            return;
        };
        let backlog = &mut self.backlogs[job.backlog];
        let done: Vec<bool> = job.steps.iter().map(|s| s.open_tasks == 0).collect();
        for (number, step) in job.steps.iter_mut().enumerate() {
            if !step.depends_on.iter().all(|d| done[usize::from(*d)]) {
                continue;
            }
            let before = step.ready_tasks.len();
            for (index, task) in step.tasks.iter_mut().enumerate() {
                if *task == TaskState::Blocked {
                    *task = TaskState::Ready;
                    step.ready_tasks.insert(index as u32);
                    backlog.add_ready(&job.spec.steps[number]);
                }
            }
            if step.ready_tasks.len() > before {
                backlog.insert_step(rank(step, id, number as u16));
            }
        }
        if job.started {
            self.move_steps(id, Class::Started);
        }
    }

    /// Makes a single task ready again, if the steps that its step depends on are done.
    pub(super) fn requeue(&mut self, task: TaskId) {
        self.end_step_wait(task.job, task.step);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let number = usize::from(task.step);
        let depends_on = &job.steps[number].depends_on;
        let mut before = depends_on.iter().map(|d| &job.steps[usize::from(*d)]);
        let is_blocked = job.is_held || before.any(|step| step.open_tasks > 0);
        let step = &mut job.steps[number];
        if is_blocked {
            step.tasks[task.index as usize] = TaskState::Blocked;
            return;
        }
        step.tasks[task.index as usize] = TaskState::Ready;
        let backlog = &mut self.backlogs[job.backlog];
        // A step that was set aside counts its ready tasks, so it is woken first.
        backlog.insert_step(rank(step, task.job, task.step));
        if step.ready_tasks.insert(task.index) {
            backlog.add_ready(&job.spec.steps[number]);
        }
    }

    /// Removes a task from the backlog if it is ready.
    pub(super) fn remove_ready(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let step = &mut job.steps[usize::from(task.step)];
        if step.ready_tasks.remove(&task.index) {
            self.count_removed(task.job, task.step, 1);
        }
    }

    fn count_removed(&mut self, id: JobId, number: u16, removed: usize) {
        self.end_step_wait(id, number);
        let job = &self.jobs[&id];
        let step = &job.steps[usize::from(number)];
        let spec = &job.spec.steps[usize::from(number)];
        let backlog = &mut self.backlogs[job.backlog];
        backlog.subtract_ready(spec, removed);
        match step.ready_tasks.is_empty() {
            true => {
                backlog.remove_step(&rank(step, id, number), spec);
            }
            // A step that was set aside counts its ready tasks.
            false => backlog.waiting.wake(id, number),
        }
    }

    /// Removes all steps of a job that has ended from its backlog.
    pub(super) fn remove_steps(&mut self, id: JobId, job: &JobView) {
        for wait in job.steps.iter().filter_map(|step| step.rack_wait) {
            self.end_wait(job.backlog, wait);
        }
        let backlog = &mut self.backlogs[job.backlog];
        for (number, (step, spec)) in job.steps.iter().zip(&job.spec.steps).enumerate() {
            backlog.subtract_ready(spec, step.ready_tasks.len());
            backlog.remove_step(&rank(step, id, number as u16), spec);
        }
    }

    /// Moves the steps of a job to another class of its backlog, but those that no worker can run.
    pub(super) fn move_steps(&mut self, id: JobId, class: Class) {
        self.end_job_waits(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let backlog = &mut self.backlogs[job.backlog];
        for (number, step) in job.steps.iter_mut().enumerate() {
            if step.class == Class::Unplaceable {
                continue;
            }
            let number = number as u16;
            if step.class == class {
                continue;
            }
            let spec = &job.spec.steps[usize::from(number)];
            let is_waiting = backlog.remove_step(&rank(step, id, number), spec);
            step.class = class;
            if is_waiting {
                backlog.insert_step(rank(step, id, number));
            }
        }
    }

    /// Moves the steps that no worker of their pool may run behind all others, and back once a worker can.
    pub(super) fn sort_out_unplaceable(&mut self) {
        let mut changed = Vec::new();
        for (key, backlog) in &self.backlogs {
            let Some(pool) = self.pools.get(&backlog.pool) else {
                continue;
            };
            for rank in &backlog.steps {
                let step = &self.jobs[&rank.job].spec.steps[usize::from(rank.step)];
                if pool.can_place(step) == (rank.class == Class::Unplaceable) {
                    changed.push((key, *rank));
                }
            }
        }
        for (key, rank) in changed {
            self.end_step_wait(rank.job, rank.step);
            let job = self.jobs.get_mut(&rank.job).expect("the job must be known");
            let step = &mut job.steps[usize::from(rank.step)];
            let spec = &job.spec.steps[usize::from(rank.step)];
            self.backlogs[key].remove_step(&rank, spec);
            step.class = match rank.class {
                Class::Unplaceable if job.started => Class::Started,
                // A step that is late by now is found with the next check.
                Class::Unplaceable => Class::Waiting,
                _ => Class::Unplaceable,
            };
            log::info!(
                "E642 step can be placed again or no longer job={} step={} placeable={}",
                rank.job,
                rank.step,
                step.class != Class::Unplaceable
            );
            let rank = self::rank(step, rank.job, rank.step);
            self.backlogs[key].insert_step(rank);
        }
    }

    /// Records that a run of a job was ordered, so that its other tasks come next.
    pub(super) fn set_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.started) else {
            return;
        };
        job.started = true;
        self.move_steps(id, Class::Started);
    }

    /// Records that a task of a job has started, as its worker has told.
    pub(super) fn set_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.begun = true;
        }
    }

    /// Counts a run that an agent has or gets.
    pub(super) fn add_placed(&mut self, key: super::AgentKey, task: TaskId, placed: PlacedRun) {
        let agent = &mut self.agents[key];
        agent.used = agent.used.saturating_add(placed.needs);
        agent.placed.insert(task, placed);
        let agents = self.placed_tasks.entry(task).or_default();
        if !agents.contains(&key) {
            agents.push(key);
        }
        if let Some(backlog) = self.backlogs.get_mut(placed.backlog) {
            backlog.used_millicores += u64::from(placed.needs.millicores);
            backlog.raise_peak();
        }
        self.add_rack_run(key, &placed);
        self.update_room(key);
    }

    /// Removes a run that an agent no longer has.
    pub(super) fn remove_placed(&mut self, key: super::AgentKey, task: TaskId) {
        let agent = &mut self.agents[key];
        let Some(placed) = agent.placed.remove(&task) else {
            return;
        };
        agent.used = agent.used.saturating_sub(placed.needs);
        if let Some(agents) = self.placed_tasks.get_mut(&task) {
            agents.retain(|k| *k != key);
            if agents.is_empty() {
                self.placed_tasks.remove(&task);
            }
        }
        if let Some(backlog) = self.backlogs.get_mut(placed.backlog) {
            backlog.used_millicores -= u64::from(placed.needs.millicores);
            backlog.waiting.run_ended(task.job, task.step);
        }
        self.remove_rack_run(key, &placed);
        self.update_room(key);
    }
}

pub(super) fn rank(step: &StepView, job: JobId, number: u16) -> StepRank {
    StepRank {
        class: step.class,
        latest_start: step.latest_start,
        job,
        step: number,
    }
}
