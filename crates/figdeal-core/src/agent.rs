//! State machine of an agent: queues tasks, starts them on free slots of the upstream, and detects duplicate requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    dedup::{DedupLimits, DedupTable, RejectReason, StartMark, TaskResult},
    fair_queue::{FairQueue, ItemKey, KindShare, QueueLimits},
    fleet::AgentLoad,
    id::{EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    run_time::RunTimeEstimator,
    time::{Timestamp, UnixMillis},
};

/// Maximum number of queued tasks of one kind.
const MAX_QUEUED_TASKS_PER_KIND: usize = 2_048;
/// Maximum number of queued tasks.
const MAX_QUEUED_TASKS: usize = 4_096;
/// Maximum age of a run request. Start marks are kept for 600 s, so no request for a task is still valid when its mark
/// expires.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(60);

/// Default number of slots that are reserved for small jobs.
const DEFAULT_SMALL_JOB_SLOTS: u32 = 1;
/// Default for the largest remaining work of a small job.
const DEFAULT_SMALL_JOB_WORK: Duration = Duration::from_secs(4);

/// Request of an entry to run a task.
#[derive(Debug, Clone)]
pub struct TaskRequest {
    /// Id of the task, by which duplicate requests are detected.
    pub task: TaskId,
    /// Kind of the task, which decides its share of the slots.
    pub kind: KindId,
    /// Team that submitted the task; the share of a kind is divided among teams.
    pub team: TeamId,
    /// Remaining work of its job in microseconds. Inside a team, the task with the smallest value goes first.
    pub remaining_work_us: u64,
    /// Deadline of the caller, in the time of this agent.
    pub deadline: Timestamp,
    /// The agent incarnation to which the request is addressed.
    pub incarnation: Incarnation,
    /// The entry that owns the job.
    pub entry: EntryId,
    /// Wall clock of the entry when it sent the request.
    pub sent_at: UnixMillis,
}

/// Why an agent declined a task. A task that was queued, fenced or cancelled never starts afterwards, because its start
/// mark or the fence of its submission is kept. A request that is declined on arrival for another reason leaves no
/// mark, so a later request for the task may be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineReason {
    /// The request is addressed to another incarnation.
    Incarnation,
    /// The upstream is shutting down, has not announced itself, or could not be reached.
    Draining,
    /// The deduplication table or the queue is full.
    Full,
    /// The task was fenced by an earlier request.
    Fenced,
    /// The deadline had passed on arrival, or passed before a slot was free.
    Deadline,
    /// The owner cancelled the task.
    Cancelled,
    /// The request was sent more than 60 s ago, or the wall clocks of entry and agent differ by more than that.
    Stale,
}

/// Final answer of an agent about one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task was started and has ended.
    Ran {
        /// Result from the upstream.
        result: TaskResult,
        /// Time from the call to the upstream until its result. Zero if it is unknown; an entry ignores it then.
        run_time: Duration,
    },
    /// The task was started and has ended, but its result is no longer stored.
    ResultDropped,
    /// The task was not started.
    NotStarted(DeclineReason),
}

/// Action that the driver of the agent has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the task to the upstream.
    Call(TaskId),
    /// Answer all requests that wait for the task.
    Reply(TaskId, RunOutcome),
}

/// Answer of an agent to a query about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskStatus {
    /// The task is queued or running; its outcome follows.
    Pending,
    /// The task has ended or will never start.
    Ended(RunOutcome),
    /// The agent cannot rule out that the task ran or will run: the query names another incarnation, or the full
    /// deduplication table has no room for a fence.
    Unproven,
}

/// What an agent knows of a submission, as an answer to a collector. If `is_fenced` is set, no task of the submission
/// will start here any more. Tasks that are not listed are unknown here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectReport {
    /// Whether the whole submission was fenced; this fails if the table of fenced submissions is full.
    pub is_fenced: bool,
    /// Tasks that have ended or will never start, with their outcomes.
    pub ended: Vec<(TaskId, RunOutcome)>,
    /// Tasks that are running; a later query returns their outcome.
    pub running: Vec<TaskId>,
    /// Replies to requests that waited for tasks which are now fenced, and starts of other tasks.
    pub actions: Vec<Action>,
}

#[derive(Debug)]
struct QueuedTask {
    key: ItemKey,
    deadline: Timestamp,
}

#[derive(Debug)]
struct RunningTask {
    kind: KindId,
    team: TeamId,
    started_at: Timestamp,
}

/// State machine of one agent incarnation.
///
/// ```
/// use figdeal_core::{
///     agent::{Action, AgentCore, TaskRequest},
///     dedup::DedupLimits,
///     id::{EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
///     time::{Timestamp, UnixMillis},
/// };
///
/// let (now, wall) = (Timestamp::ZERO, UnixMillis(1_000_000));
/// let mut agent = AgentCore::new(Incarnation(1), DedupLimits::default());
/// agent.set_clock(wall, now);
/// agent.set_slots(1);
/// let task = TaskId { key: SubmissionKey([1; 16]), index: 0 };
/// let request = TaskRequest {
///     task,
///     kind: KindId(0),
///     team: TeamId(0),
///     remaining_work_us: 0,
///     deadline: Timestamp::from_micros(1_000_000),
///     incarnation: Incarnation(1),
///     entry: EntryId(0),
///     sent_at: wall,
/// };
/// assert_eq!(agent.run(request, now), [Action::Call(task)]);
/// ```
#[derive(Debug)]
pub struct AgentCore {
    incarnation: Incarnation,
    dedup: DedupTable,
    queue: FairQueue<TaskId>,
    queued_tasks: BTreeMap<TaskId, QueuedTask>,
    /// The queued tasks, ordered by deadline.
    deadlines: BTreeSet<(Timestamp, TaskId)>,
    running_tasks: BTreeMap<TaskId, RunningTask>,
    run_times: RunTimeEstimator,
    /// Slots of the announced upstream, zero before the first announcement.
    slots: u32,
    /// Slots that a kind which holds its share may not take.
    reserved_slots: u32,
    /// Slots that are reserved for tasks of small jobs.
    small_job_slots: u32,
    /// Largest remaining work of a small job.
    small_job_work_us: u64,
    /// Whether new tasks are declined, as before the first announcement.
    draining: bool,
    /// A reading of the wall clock and the monotonic time at which it was taken.
    wall_clock: Option<(UnixMillis, Timestamp)>,
}

impl AgentCore {
    /// Creates an agent without an upstream and without a wall clock. It declines all tasks until
    /// [`AgentCore::set_slots`] and [`AgentCore::set_clock`] are called.
    pub fn new(incarnation: Incarnation, limits: DedupLimits) -> AgentCore {
        AgentCore {
            incarnation,
            dedup: DedupTable::new(limits),
            queue: FairQueue::with_limits(QueueLimits {
                max_per_kind: MAX_QUEUED_TASKS_PER_KIND,
                max_total: MAX_QUEUED_TASKS,
            }),
            queued_tasks: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running_tasks: BTreeMap::new(),
            run_times: RunTimeEstimator::default(),
            slots: 0,
            reserved_slots: 0,
            small_job_slots: DEFAULT_SMALL_JOB_SLOTS,
            small_job_work_us: DEFAULT_SMALL_JOB_WORK.as_micros() as u64,
            draining: true,
            wall_clock: None,
        }
    }

    /// Sets the wall clock as read at `now`. The agent advances it by the monotonic clock, so that adjustments of the
    /// wall clock do not change the age of requests.
    pub fn set_clock(&mut self, wall: UnixMillis, now: Timestamp) {
        self.wall_clock = Some((wall, now));
    }

    /// Sets the number of slots of the announced upstream and starts to accept tasks. When the number is reduced,
    /// running tasks keep their slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.draining = false;
    }

    /// Sets the number of slots that a kind may not take while it already holds its share.
    pub fn set_reserved_slots(&mut self, reserved_slots: u32) {
        self.reserved_slots = reserved_slots;
    }

    /// Reserves a number of slots for small jobs, which have at most `work` remaining.
    pub fn set_small_job_slots(&mut self, slots: u32, work: Duration) {
        self.small_job_slots = slots;
        self.small_job_work_us = work.as_micros() as u64;
    }

    /// Sets the share and urgency of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.queue.set_share(kind, share);
    }

    /// Removes the share of a kind that is no longer configured.
    pub fn clear_share(&mut self, kind: KindId) {
        self.queue.clear_share(kind);
    }

    /// Sets the weight of a team inside each kind.
    pub fn set_team_weight(&mut self, team: TeamId, weight: u32) {
        self.queue.set_team_weight(team, weight);
    }

    /// Stops accepting tasks and declines the queued ones; running tasks continue.
    pub fn drain(&mut self, now: Timestamp) -> Vec<Action> {
        self.draining = true;
        let queued: Vec<TaskId> = self.queued_tasks.keys().copied().collect();
        queued
            .into_iter()
            .map(|t| self.decline_queued(t, DeclineReason::Draining, now))
            .collect()
    }

    /// Handles a run request. A known task is not started again: its outcome is repeated, or follows when it ends.
    pub fn run(&mut self, request: TaskRequest, now: Timestamp) -> Vec<Action> {
        let task = request.task;
        if request.incarnation != self.incarnation {
            return vec![not_started(task, DeclineReason::Incarnation)];
        }
        self.dedup.expire(now);
        if let Some(mark) = self.dedup.mark(task) {
            let outcome = final_outcome(mark).map(|outcome| Action::Reply(task, outcome));
            return outcome.into_iter().collect();
        }
        if let Err(reason) = self.admit(&request, now) {
            return vec![not_started(task, reason)];
        }
        let deadline = request.deadline;
        let key = self
            .queue
            .push(request.kind, request.team, request.remaining_work_us, task);
        self.queued_tasks.insert(task, QueuedTask { key, deadline });
        self.deadlines.insert((deadline, task));
        self.start_queued(now)
    }

    /// Handles the end of a call to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn finish(&mut self, task: TaskId, result: TaskResult, now: Timestamp) -> Vec<Action> {
        let running = self
            .running_tasks
            .remove(&task)
            .expect("a finished task was running");
        let run_time = now.since(running.started_at);
        self.queue.finish(running.kind, running.team);
        self.run_times.record(running.kind, run_time);
        self.dedup.finish(task, result.clone(), run_time, now);
        let mut actions = vec![Action::Reply(task, RunOutcome::Ran { result, run_time })];
        actions.extend(self.start_queued(now));
        actions
    }

    /// Handles a call that could not connect to the upstream: the task did not start and never will here. The agent
    /// declines tasks until the upstream announces itself again.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn on_unreachable(&mut self, task: TaskId, now: Timestamp) -> Vec<Action> {
        let running = self
            .running_tasks
            .remove(&task)
            .expect("a task that was sent to the upstream is running");
        self.queue.finish(running.kind, running.team);
        self.dedup.fence_undelivered(task, now);
        let mut actions = vec![not_started(task, DeclineReason::Draining)];
        actions.extend(self.drain(now));
        actions
    }

    /// Answers a query about a task. An unknown task is fenced, so that a delayed request cannot start it; if that
    /// fails because the deduplication table is full, the answer is [`TaskStatus::Unproven`].
    pub fn query(&mut self, task: TaskId, incarnation: Incarnation, now: Timestamp) -> TaskStatus {
        if incarnation != self.incarnation {
            return TaskStatus::Unproven;
        }
        if let Some(mark) = self.dedup.mark(task) {
            return final_outcome(mark).map_or(TaskStatus::Pending, TaskStatus::Ended);
        }
        if !self.dedup.fence(task, now) {
            return TaskStatus::Unproven;
        }
        TaskStatus::Ended(RunOutcome::NotStarted(DeclineReason::Fenced))
    }

    /// Fences a queued or unknown task. A running task continues and its outcome follows. If the deduplication table is
    /// full, an unknown task cannot be fenced and there is no reply about it. For requests whose incarnation has not
    /// been checked, use [`AgentCore::cancel_for`].
    pub fn cancel(&mut self, task: TaskId, now: Timestamp) -> Vec<Action> {
        match self.dedup.mark(task) {
            Some(StartMark::Queued) => {
                let mut actions = vec![self.decline_queued(task, DeclineReason::Cancelled, now)];
                actions.extend(self.start_queued(now));
                return actions;
            }
            Some(mark) => {
                let outcome = final_outcome(mark).map(|outcome| Action::Reply(task, outcome));
                return outcome.into_iter().collect();
            }
            None => {}
        }
        if !self.dedup.fence(task, now) {
            return Vec::new();
        }
        vec![not_started(task, DeclineReason::Cancelled)]
    }

    /// Cancels a task that was sent to `incarnation`. Returns `None`, without fencing the task, if that is another
    /// incarnation, because it may have run the task.
    pub fn cancel_for(
        &mut self,
        task: TaskId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Vec<Action>> {
        (incarnation == self.incarnation).then(|| self.cancel(task, now))
    }

    /// Fences all tasks of a submission that have not started, including those that arrive later, and returns what this
    /// agent knows of the submission.
    pub fn collect(&mut self, key: SubmissionKey, now: Timestamp) -> CollectReport {
        let is_fenced = self.dedup.fence_submission(key, now);
        let queued: Vec<TaskId> = self
            .dedup
            .tasks_of(key)
            .filter(|(_, mark)| **mark == StartMark::Queued)
            .map(|(task, _)| task)
            .collect();
        let mut actions: Vec<Action> = queued
            .into_iter()
            .map(|task| self.decline_queued(task, DeclineReason::Fenced, now))
            .collect();
        actions.extend(self.start_queued(now));
        let ended = self
            .dedup
            .tasks_of(key)
            .filter_map(|(task, mark)| Some((task, final_outcome(mark)?)))
            .collect();
        let running = self.running(key);
        CollectReport {
            is_fenced,
            ended,
            running,
            actions,
        }
    }

    /// Declines queued tasks whose deadline has passed, starts tasks on free slots and removes expired start marks.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.dedup.expire(now);
        self.start_queued(now)
    }

    /// Tasks of a submission that are running at the upstream.
    pub fn running(&self, key: SubmissionKey) -> Vec<TaskId> {
        self.running_tasks
            .range(TaskId::all_of(key))
            .map(|(&task, _)| task)
            .collect()
    }

    /// Number of running tasks, each of which holds a slot of the upstream.
    pub fn busy_slots(&self) -> u32 {
        self.running_tasks.len() as u32
    }

    /// Number of queued tasks.
    pub fn queued(&self) -> usize {
        self.queued_tasks.len()
    }

    /// Whether no task is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queued_tasks.is_empty() && self.running_tasks.is_empty()
    }

    /// Whether the agent declines new tasks.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of start marks, including fences, and total bytes of the stored results.
    pub fn dedup_usage(&self) -> (usize, usize) {
        (self.dedup.len(), self.dedup.result_bytes())
    }

    /// The current load, which the agent sends with each reply.
    pub fn load(&self, now: Timestamp) -> AgentLoad {
        let free = self.slots.saturating_sub(self.busy_slots());
        let next_slot_wait = self
            .running_tasks
            .values()
            // A task that has exceeded its estimate by some time is expected to need about as much time again.
            .map(|r| {
                self.run_times
                    .estimate(r.kind, None)
                    .abs_diff(now.since(r.started_at))
            })
            .min()
            .filter(|_| free == 0)
            .unwrap_or_default();
        AgentLoad {
            free_slots: free,
            queued: self.queue.backlog().map(|(k, n)| (k, n as u32)).collect(),
            next_slot_wait,
        }
    }

    fn admit(&mut self, request: &TaskRequest, now: Timestamp) -> Result<(), DeclineReason> {
        if self.is_stale(request.sent_at, now) {
            return Err(DeclineReason::Stale);
        }
        if self.dedup.is_fenced(request.task.key) {
            return Err(DeclineReason::Fenced);
        }
        if self.draining {
            return Err(DeclineReason::Draining);
        }
        if request.deadline <= now {
            return Err(DeclineReason::Deadline);
        }
        if self.queue.free_space(request.kind) == 0 {
            return Err(DeclineReason::Full);
        }
        self.dedup
            .admit(request.task, now)
            .map_err(|reason| match reason {
                // A duplicate does not occur: `run` handles tasks that have a mark before it calls this method.
                RejectReason::Full | RejectReason::Duplicate => DeclineReason::Full,
                RejectReason::Fenced => DeclineReason::Fenced,
            })
    }

    fn is_stale(&self, sent: UnixMillis, now: Timestamp) -> bool {
        let Some((wall, at)) = self.wall_clock else {
            return true;
        };
        let now = now.max(self.dedup.latest_time());
        wall.plus(now.since(at)).distance(sent) > MAX_REQUEST_AGE
    }

    fn start_queued(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.decline_expired(now);
        while let Some((key, task)) = self.pop_next() {
            let queued = self
                .queued_tasks
                .remove(&task)
                .expect("a queued task is in the table of queued tasks");
            self.deadlines.remove(&(queued.deadline, task));
            self.dedup.start(task);
            let (kind, team) = (key.kind(), key.team());
            self.running_tasks.insert(
                task,
                RunningTask {
                    kind,
                    team,
                    started_at: now,
                },
            );
            assert!(
                self.busy_slots() <= self.slots,
                "more tasks are running than there are slots"
            );
            actions.push(Action::Call(task));
        }
        self.check_invariants();
        actions
    }

    /// Takes the next task to start. The last `small_job_slots` free slots, but never all slots, are reserved for small
    /// jobs: otherwise their tasks would wait for a slot that a large job holds at this agent, instead of the next free
    /// slot of the whole fleet. A kind that holds less than its share may use the reserved slots for a large job too,
    /// so that a flood of another kind does not delay it.
    fn pop_next(&mut self) -> Option<(ItemKey, TaskId)> {
        let free = self.slots.saturating_sub(self.busy_slots());
        let reserved_for_small = self.small_job_slots.min(self.slots.saturating_sub(1));
        if free > reserved_for_small {
            return self.queue.pop_for_slot(self.slots, self.reserved_slots);
        }
        self.queue
            .pop_small_for_slot(self.slots, self.reserved_slots, self.small_job_work_us)
            .or_else(|| {
                self.queue
                    .pop_below_share(self.slots, self.slots - reserved_for_small)
            })
    }

    fn decline_expired(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(deadline, task)) = self.deadlines.first()
            && deadline <= now
        {
            actions.push(self.decline_queued(task, DeclineReason::Deadline, now));
        }
        actions
    }

    fn decline_queued(&mut self, task: TaskId, reason: DeclineReason, now: Timestamp) -> Action {
        let queued = self
            .queued_tasks
            .remove(&task)
            .expect("a queued task is in the table of queued tasks");
        self.deadlines.remove(&(queued.deadline, task));
        self.queue
            .remove(queued.key)
            .expect("a task in the table is in the queue");
        let is_fenced = self.dedup.fence(task, now);
        assert!(is_fenced, "a queued task can always be fenced");
        not_started(task, reason)
    }

    fn check_invariants(&self) {
        assert_eq!(
            self.queued_tasks.len(),
            self.queue.len(),
            "every task in the table is in the queue"
        );
        assert_eq!(
            self.queued_tasks.len(),
            self.deadlines.len(),
            "every queued task has a deadline"
        );
    }
}

fn not_started(task: TaskId, reason: DeclineReason) -> Action {
    Action::Reply(task, RunOutcome::NotStarted(reason))
}

fn final_outcome(mark: &StartMark) -> Option<RunOutcome> {
    match mark {
        StartMark::Queued | StartMark::Running => None,
        StartMark::Finished {
            result: Some(result),
            run_time,
        } => Some(RunOutcome::Ran {
            result: result.clone(),
            run_time: *run_time,
        }),
        StartMark::Finished { result: None, .. } => Some(RunOutcome::ResultDropped),
        StartMark::Fenced => Some(RunOutcome::NotStarted(DeclineReason::Fenced)),
    }
}
