//! Scheduling by the leader: decides which task starts on which worker, and when.
//!
//! Starts of runs are not in the log. A new leader therefore holds the tasks of earlier terms until every registered
//! agent has reported its runs, or until all runs of an unreachable agent must have ended.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::Timestamp;
use slotmap::{SlotMap, new_key_type};

use crate::{
    job::{JobId, JobSpec, JobState, Queue, TaskId},
    losses::LossCounts,
    message::{AgentReport, Order, RunId},
    node::EarlierJobs,
    raft::Term,
    state::{Command, Job, ReplicatedState},
};

mod admission;
mod agents;
mod audit;
mod backlog;
mod cold;
mod evacuation;
mod limits;
mod locality;
mod overload;
mod place;
mod racks;
mod report;
mod retry;
mod room;
mod run_times;
mod slow_runs;
mod start_flow;
mod usage;
mod view;
mod waiting;
mod worker_health;

pub use admission::Rejection;
use backlog::{Backlog, BacklogKey, StepRank};
pub use limits::{ColdLimit, Limits};
pub use locality::{
    Choice, RackLoad, expected_wait, is_contended, misses_goal_everywhere, wait_end,
};
pub use overload::{
    PoolRoom, QueueLoad, decayed_peak, fragmentation_margin, is_overloaded, predicted_wait,
    reserve, retry_after, service_order,
};
pub use racks::RackWaitCounts;
use racks::{Rack, RackKey};
use room::Pools;
pub use run_times::LearnedRatio;
pub use usage::{PoolUsage, QueueUsage, Usage};
use view::{AgentView, JobView, PlacedRun, ResponseGoal, TaskState};
pub use view::{
    BOOK_BYTES_PER_JOB, BOOK_BYTES_PER_STEP, BOOK_BYTES_PER_TASK, Submission, VolatileOutcome,
};
use worker_health::WorkerHealth;

new_key_type! {
    /// Key of an agent that the leader knows.
    struct AgentKey;
}

/// Size of the range of run numbers that each term has for a task. The log does not record starts, so a new leader
/// uses a new range instead of continuing the numbers of earlier leaders.
const RUNS_PER_TERM: u64 = 1_000;
/// How long after the change of the leader a job that an earlier leader has started may be resubmitted. Callers
/// resubmit a job after 1.3 s, and wait for an answer before that.
const EARLIER_LEADER_RUNS_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of ended volatile jobs whose last run numbers are remembered.
const MAX_PAST_RUNS: usize = 4_096;
/// How long after the change of the leader runs of unknown jobs are left alone, because their job may be resubmitted
/// by its entry node.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a report after which an agent gets no new tasks.
const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval between two checks for unreachable agents, stalled runs, and late or expired jobs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Scheduler of a leader. Its state is lost with the leadership.
#[derive(Debug)]
pub struct Dispatcher {
    address: SocketAddr,
    term: Term,
    leading_since: Timestamp,
    limits: Limits,
    agents: SlotMap<AgentKey, AgentView>,
    by_address: HashMap<SocketAddr, AgentKey>,
    jobs: HashMap<JobId, JobView>,
    /// Agents whose next orders message is due.
    due_agents: Vec<AgentKey>,
    /// Workers by free room, for each pool.
    pools: Pools,
    /// Data centres in which no task may start.
    evacuated: BTreeSet<String>,
    /// Waiting steps and used room, for each queue.
    backlogs: SlotMap<BacklogKey, Backlog>,
    /// Agents that can start more tasks than before the last placement.
    gained_agents: BTreeSet<AgentKey>,
    /// Racks that hold the data of steps.
    racks: SlotMap<RackKey, Rack>,
    /// Racks whose room has changed while steps wait for them.
    racks_to_wake: Vec<RackKey>,
    /// Steps that wait for a rack, by the time after which they no longer wait.
    wait_ends: BTreeSet<(Timestamp, BacklogKey, StepRank)>,
    /// Waits for racks that have ended since the last [`Dispatcher::take_rack_waits`].
    rack_wait_counts: RackWaitCounts,
    /// Agents with a placed run of each task, so that the runs of a job are found without a look at each agent.
    placed_tasks: BTreeMap<TaskId, Vec<AgentKey>>,
    /// Volatile jobs of earlier leaders.
    earlier_jobs: EarlierJobs,
    /// Agents registered in earlier terms that have not reported their runs yet.
    agents_with_unknown_runs: BTreeSet<SocketAddr>,
    /// Jobs that are held until no unknown run of them can exist.
    held_jobs: Vec<JobId>,
    /// Runs of unknown jobs, by agent and run number. A volatile job becomes known again when its entry node resubmits
    /// it.
    orphan_runs: BTreeMap<TaskId, (AgentKey, u64)>,
    /// Last run numbers of volatile jobs that have ended.
    past_runs: HashMap<JobId, u64>,
    /// Jobs of `past_runs`, the oldest first.
    past_jobs: VecDeque<JobId>,
    /// Volatile jobs that have ended since the last [`Dispatcher::take_finished`].
    finished_volatile: Vec<(JobId, VolatileOutcome)>,
    /// Number of the batch that the next commands for the log belong to.
    next_batch: u64,
    /// Number of the newest committed batch.
    committed_batch: u64,
    commands: Vec<Command>,
    /// Runs that agents reported as lost since the last [`Dispatcher::take_losses`].
    losses: LossCounts,
    /// When the steps were woken for workers that became available by themselves.
    availability_checked_at: Timestamp,
    next_sweep: Timestamp,
    /// Whether the next placement checks for steps that were not woken.
    check_wakes: bool,
}

impl Dispatcher {
    /// Creates the scheduler of a new leader from the replicated state, to which all entries of earlier terms are
    /// applied.
    pub fn new(
        state: &ReplicatedState,
        address: SocketAddr,
        term: Term,
        now: Timestamp,
        wall_ms: u64,
    ) -> Dispatcher {
        let mut dispatcher = Dispatcher {
            address,
            term,
            leading_since: now,
            limits: Limits::default(),
            agents: SlotMap::with_key(),
            by_address: HashMap::new(),
            jobs: HashMap::new(),
            due_agents: Vec::new(),
            pools: Pools::new(),
            evacuated: state.evacuated.clone(),
            backlogs: SlotMap::with_key(),
            gained_agents: BTreeSet::new(),
            racks: SlotMap::with_key(),
            racks_to_wake: Vec::new(),
            wait_ends: BTreeSet::new(),
            rack_wait_counts: RackWaitCounts::default(),
            placed_tasks: BTreeMap::new(),
            earlier_jobs: EarlierJobs::default(),
            agents_with_unknown_runs: state.agents.clone(),
            held_jobs: Vec::new(),
            orphan_runs: BTreeMap::new(),
            past_runs: HashMap::new(),
            past_jobs: VecDeque::new(),
            finished_volatile: Vec::new(),
            next_batch: 1,
            committed_batch: 0,
            commands: Vec::new(),
            losses: LossCounts::default(),
            availability_checked_at: now,
            next_sweep: now,
            check_wakes: false,
        };
        for (id, job) in &state.jobs {
            dispatcher.add_stored(now, wall_ms, *id, job, true);
        }
        log::info!(
            "E601 became leader term={term} jobs={} agents={}",
            state.jobs.len(),
            state.agents.len()
        );
        dispatcher.release_held_jobs(now);
        dispatcher
    }

    /// Tells the scheduler which volatile jobs earlier leaders may have had.
    pub(crate) fn with_earlier_jobs(self, earlier_jobs: EarlierJobs) -> Dispatcher {
        Dispatcher {
            earlier_jobs,
            ..self
        }
    }

    /// Sets the bounds of the deployment.
    pub fn with_limits(self, limits: Limits) -> Dispatcher {
        Dispatcher { limits, ..self }
    }

    /// Returns the agents of earlier terms that have not reported; they have to be told who is the leader.
    pub fn agents_with_unknown_runs(&self) -> Vec<SocketAddr> {
        self.agents_with_unknown_runs.iter().copied().collect()
    }

    /// Adds a job that is in the log. `held` is set for jobs of earlier terms, which may have unknown runs.
    fn add_stored(&mut self, now: Timestamp, wall_ms: u64, id: JobId, job: &Job, held: bool) {
        let age = Duration::from_millis(wall_ms.saturating_sub(job.accepted_at_ms));
        let base = self.term.saturating_sub(job.term) * RUNS_PER_TERM;
        let goal = ResponseGoal::new(&job.policy, age);
        let backlog = self.backlog(&job.queue, &job.pool, job.policy.priority);
        let ratio = self.backlogs[backlog].run_time_ratio.value();
        let mut view = JobView::new(now, &job.queue, backlog, &job.spec, goal, ratio);
        view.base_run = base;
        view.max_attempts = job.policy.max_attempts;
        for (step, record) in view.steps.iter_mut().zip(&job.steps) {
            for (index, task) in step.tasks.iter_mut().enumerate() {
                if record.done.contains(index as u32) {
                    *task = TaskState::Done;
                    step.open_tasks -= 1;
                }
            }
        }
        view.started = held && job.has_ended_runs();
        view.begun = view.started;
        view.is_held = held;
        self.add_job(now, id, view);
    }

    /// Accepts a volatile job, also one that its entry node resubmits after a change of the leader.
    pub fn submit(
        &mut self,
        now: Timestamp,
        id: JobId,
        queue: &Queue,
        spec: &Arc<JobSpec>,
        submission: Submission,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let goal = ResponseGoal::new(&queue.policy, submission.age);
        let backlog = self.backlog(&queue.name, &queue.pool, queue.policy.priority);
        let slack = self.slack(queue, spec);
        self.backlogs[backlog].record_slack(slack);
        let ratio = self.backlogs[backlog].run_time_ratio.value();
        let mut view = JobView::new(now, &queue.name, backlog, spec, goal, ratio);
        let past_run = self.past_runs.get(&id).copied();
        // An earlier leader may have started runs of the same job, so its run numbers are skipped.
        let in_earlier_runs_window = now < self.leading_since + EARLIER_LEADER_RUNS_WINDOW;
        view.base_run = past_run.unwrap_or(if in_earlier_runs_window {
            self.term * RUNS_PER_TERM
        } else {
            0
        });
        view.max_attempts = queue.policy.max_attempts;
        view.is_held = self.is_held(now, id, submission.resubmitted);
        view.resubmitted = submission.resubmitted;
        self.add_job(now, id, view);
    }

    /// Returns whether a run of the job may exist at an agent of an earlier term that has not reported.
    fn is_held(&self, now: Timestamp, id: JobId, resubmitted: bool) -> bool {
        !self.agents_with_unknown_runs.is_empty()
            && (resubmitted || !self.earlier_jobs.is_new(now, id))
    }

    /// Returns whether all runs of earlier leaders are known and no volatile job is older than `max_age`.
    pub(crate) fn is_settled(&self, now: Timestamp, max_age: Duration) -> bool {
        let old = |job: &JobView| job.spec.volatile && job.taken_at + max_age < now;
        self.agents_with_unknown_runs.is_empty() && !self.jobs.values().any(old)
    }

    fn add_job(&mut self, now: Timestamp, id: JobId, mut view: JobView) {
        let first = TaskId {
            job: id,
            step: 0,
            index: 0,
        };
        // Runs that are still being stopped, or that were found before the job, belong to the job again.
        let known = self.placed_tasks.range(first..);
        for (task, agents) in known.take_while(|(t, _)| t.job == id) {
            for key in agents {
                if let Some(state) = view.task_mut(*task) {
                    let placed = &self.agents[*key].placed[task];
                    *state = TaskState::Placed(*key, placed.run);
                    view.started = true;
                    view.begun |= placed.confirmed;
                }
            }
        }
        let held = view.is_held;
        self.jobs.insert(id, view);
        let orphans = self
            .orphan_runs
            .range(first..)
            .take_while(|(t, _)| t.job == id);
        let orphans: Vec<_> = orphans
            .map(|(task, (key, run))| (*task, *key, *run))
            .collect();
        for (task, key, run) in orphans {
            self.orphan_runs.remove(&task);
            self.adopt_run(now, key, RunId { task, run });
        }
        match held {
            true => self.held_jobs.push(id),
            false => self.unblock(id),
        }
    }

    /// Releases the jobs of earlier terms once no unknown run can exist.
    fn release_held_jobs(&mut self, now: Timestamp) {
        if !self.agents_with_unknown_runs.is_empty() || self.held_jobs.is_empty() {
            return;
        }
        let held = std::mem::take(&mut self.held_jobs);
        log::info!(
            "E602 released the jobs of earlier terms jobs={} after_ms={}",
            held.len(),
            now.since(self.leading_since).as_millis()
        );
        for id in held {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_held = false;
                self.unblock(id);
            }
        }
    }

    fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskState> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }

    /// Handles a committed job.
    pub fn job_accepted(&mut self, now: Timestamp, wall_ms: u64, id: JobId, job: &Job) {
        self.add_stored(now, wall_ms, id, job, false);
    }

    /// Handles the committed end of a task.
    pub fn task_done(&mut self, task: TaskId) {
        let Some(state) = self.task_mut(task) else {
            return;
        };
        if *state == TaskState::Done {
            return;
        }
        let previous = std::mem::replace(state, TaskState::Done);
        if let TaskState::Placed(key, run) = previous {
            self.order_stop(key, task, run);
        }
        self.remove_ready(task);
        let job = self.jobs.get_mut(&task.job).expect("the job must be known");
        let step = &mut job.steps[usize::from(task.step)];
        step.open_tasks -= 1;
        if step.open_tasks > 0 {
            return;
        }
        if job.spec.volatile && job.steps.iter().all(|s| s.open_tasks == 0) {
            self.finish_volatile(task.job, VolatileOutcome::Done);
        } else {
            self.unblock(task.job);
        }
    }

    /// Ends a volatile job.
    fn finish_volatile(&mut self, id: JobId, outcome: VolatileOutcome) {
        self.finished_volatile.push((id, outcome));
        self.job_ended(id);
    }

    /// Takes the volatile jobs that have ended.
    pub fn take_finished(&mut self) -> Vec<(JobId, VolatileOutcome)> {
        std::mem::take(&mut self.finished_volatile)
    }

    /// Handles the failed run of a volatile job.
    fn fail_volatile_task(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let failures = job.failures.entry((task.step, task.index)).or_default();
        *failures += 1;
        match *failures >= job.max_attempts {
            true => self.finish_volatile(task.job, VolatileOutcome::Failed),
            false => self.requeue(task),
        }
    }

    /// Handles a committed failure of a run whose task has attempts left.
    pub fn retry_task(&mut self, task: TaskId) {
        if self
            .task_mut(task)
            .is_some_and(|state| *state == TaskState::EndPending(false))
        {
            self.requeue(task);
        }
    }

    /// Removes a job that has ended and stops its remaining runs.
    pub fn job_ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if job.spec.volatile {
            let last = job.start_counts.values().max().copied().unwrap_or(0);
            if self.past_runs.insert(id, job.base_run + last).is_none() {
                self.past_jobs.push_back(id);
            }
            if self.past_jobs.len() > MAX_PAST_RUNS
                && let Some(oldest) = self.past_jobs.pop_front()
            {
                self.past_runs.remove(&oldest);
            }
        }
        self.remove_steps(id, &job);
        for (number, step) in job.steps.into_iter().enumerate() {
            let number = number as u16;
            for (index, state) in step.tasks.into_iter().enumerate() {
                if let TaskState::Placed(key, run) = state {
                    let task = TaskId {
                        job: id,
                        step: number,
                        index: index as u32,
                    };
                    self.order_stop(key, task, run);
                }
            }
        }
    }

    /// Orders the stop of a run. It is repeated if a later report of the agent shows that the order was lost.
    fn order_stop(&mut self, key: AgentKey, task: TaskId, run: u64) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        let next_orders = agent.last_orders + 1;
        if let Some(placed) = agent.placed.get_mut(&task).filter(|p| p.run == run) {
            placed.stop_number = Some(next_orders);
            agent.outbox.push(Order::Stop { task, run });
            self.mark_due(key);
        }
    }

    /// Returns the state of a job that has not ended.
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        Some(if job.begun {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// Returns whether the job is a volatile one that has not ended.
    pub fn is_volatile(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.spec.volatile)
    }

    /// Returns whether every task has ended and only the commit of that is pending.
    pub fn is_ending(&self, id: JobId) -> bool {
        let ended = |t: &TaskState| matches!(t, TaskState::EndPending(_) | TaskState::Done);
        self.jobs
            .get(&id)
            .is_some_and(|job| job.steps.iter().flat_map(|s| &s.tasks).all(ended))
    }

    /// Returns the number of jobs of a queue of which no task is known to have started.
    pub fn queued_jobs(&self, queue: &str) -> u32 {
        self.jobs
            .values()
            .filter(|j| !j.begun && j.queue == queue)
            .count() as u32
    }

    /// Returns the number of jobs that have not ended and the number of tasks that wait for resources.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self.backlogs.values().map(|b| b.ready_tasks);
        (self.jobs.len(), waiting.sum())
    }

    /// Returns the number of steps that were set aside until a wake condition is met.
    pub fn set_aside_steps(&self) -> usize {
        self.backlogs.values().map(|b| b.waiting.counts().1).sum()
    }

    /// Takes the number of runs that agents reported as lost since the last call.
    pub fn take_losses(&mut self) -> LossCounts {
        std::mem::take(&mut self.losses)
    }

    /// Handles unreachable agents, stalled runs, and late or expired jobs if a check is due.
    pub fn tick(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.refresh_kinds();
        for backlog in self.backlogs.values_mut() {
            backlog.decay_peak();
        }
        self.drop_unreachable_agents(now);
        self.end_waits_for_agents(now);
        self.end_cold_times(now);
        self.limit_ejection(now);
        self.count_withheld_room(now);
        self.check_wakes = true;
        self.stop_stalled_runs(now);
        self.review_racks(now);
        self.sort_out_unplaceable();
        self.shed_load(now);
        if cfg!(debug_assertions) {
            self.assert_summaries();
        }
    }

    /// Returns when [`Dispatcher::tick`] has to be called next.
    pub fn next_tick(&self) -> Timestamp {
        let wait_end = self.wait_ends.first().map(|(until, ..)| *until);
        wait_end.map_or(self.next_sweep, |end| end.min(self.next_sweep))
    }

    /// Handles a run that ended without a result.
    fn run_lost(&mut self, key: AgentKey, task: TaskId, run: u64) {
        if self
            .task_mut(task)
            .is_some_and(|state| *state == TaskState::Placed(key, run))
        {
            self.requeue(task);
        }
    }

    /// Takes the commands for the log, with the number of the batch that they belong to.
    pub fn take_commands(&mut self) -> Option<(u64, Vec<Command>)> {
        if self.commands.is_empty() {
            return None;
        }
        let batch = self.next_batch;
        self.next_batch += 1;
        Some((batch, std::mem::take(&mut self.commands)))
    }

    /// Returns whether commands wait for the log.
    pub fn has_commands(&self) -> bool {
        !self.commands.is_empty()
    }

    /// Adds a command of a caller to the next batch.
    pub fn push_command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Handles the commit of a batch and of all before it.
    pub fn on_batch_committed(&mut self, batch: u64) {
        self.committed_batch = self.committed_batch.max(batch);
        for key in self.agents.keys().collect::<Vec<_>>() {
            self.ack_events(key);
        }
    }

    /// Acknowledges the events of an agent whose batches are committed.
    fn ack_events(&mut self, key: AgentKey) {
        let agent = &mut self.agents[key];
        let before = agent.acked_event;
        while let Some(&(seq, batch)) = agent.unacked_events.front()
            && batch <= self.committed_batch
        {
            agent.acked_event = seq;
            agent.unacked_events.pop_front();
        }
        if agent.acked_event != before {
            self.mark_due(key);
        }
    }
}
