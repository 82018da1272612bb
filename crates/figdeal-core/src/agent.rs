//! Decisions of an agent: which queued task takes a free slot, and what the dedup says about each request.

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

/// Largest number of tasks of one kind that wait at one agent.
const MAX_QUEUED_KIND: usize = 2_048;
/// Largest number of tasks that wait at one agent.
const MAX_QUEUED: usize = 4_096;
/// Largest age of an order. Marks are kept for 600 s, so a task is forgotten only when no order for it is valid.
const MAX_ORDER_AGE: Duration = Duration::from_secs(60);

/// Slots kept free of large jobs until the configuration says otherwise.
const SMALL_SLOTS: u32 = 1;
/// Work that a small job has left at most until the configuration says otherwise.
const SMALL_WORK: Duration = Duration::from_secs(4);

/// A task as an entry hands it over.
#[derive(Debug, Clone)]
pub struct TaskRequest {
    /// The task.
    pub task: TaskId,
    /// Its kind.
    pub kind: KindId,
    /// Its team.
    pub team: TeamId,
    /// Remaining work of its job in microseconds; the smallest goes first inside a team.
    pub remaining_work_us: u64,
    /// When the caller's deadline passes, on this agent's clock.
    pub deadline: Timestamp,
    /// The agent incarnation that the request is meant for.
    pub incarnation: Incarnation,
    /// The entry that owns the job.
    pub entry: EntryId,
    /// When the entry sent the request, by its wall clock.
    pub sent_at: UnixMillis,
}

/// Why a task was not started, for good, at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineReason {
    /// The request is meant for another incarnation.
    Incarnation,
    /// The upstream is leaving or not announced.
    Draining,
    /// The dedup or the queue is full.
    Full,
    /// The task was fenced before.
    Fenced,
    /// The deadline passed before a slot was free.
    Deadline,
    /// The owner cancelled it.
    Cancelled,
    /// The request was sent more than 60 s ago, or the clocks of the entry and the agent differ that much.
    Stale,
}

/// Final word of an agent on one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task was started; this is its result.
    Ran {
        /// Result of the upstream.
        result: TaskResult,
        /// Time that the upstream took.
        run: Duration,
    },
    /// The task was started before and its result is no longer held.
    ResultDropped,
    /// The task was not started and never will be at this agent.
    NotStarted(DeclineReason),
}

/// What a driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the upstream with the task.
    Call(TaskId),
    /// Answer every request that waits for the task.
    Reply(TaskId, RunOutcome),
}

/// State of a task as an agent answers a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskStatus {
    /// It waits or runs; the verdict follows.
    Pending,
    /// It ended.
    Ended(RunOutcome),
    /// Nothing is proven: the task may have run at the incarnation that it was sent to.
    Unproven,
}

/// What an agent holds of a submission that a collector asked for. Nothing of it starts here any more if
/// `is_fenced`; tasks that are not listed are unknown here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectReport {
    /// Whether the whole submission is fenced; it is not when the table of fenced submissions is full.
    pub is_fenced: bool,
    /// Tasks that ended, or never started, with their verdicts.
    pub ended: Vec<(TaskId, RunOutcome)>,
    /// Tasks that run; a query returns their verdict later.
    pub running: Vec<TaskId>,
    /// Replies to requests that wait for tasks that the fence declined.
    pub actions: Vec<Action>,
}

#[derive(Debug)]
struct Waiting {
    key: ItemKey,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Running {
    kind: KindId,
    team: TeamId,
    started: Timestamp,
}

/// Decisions of one agent incarnation.
///
/// ```
/// use figdeal_core::{
///     agent::{Action, AgentCore, TaskRequest},
///     id::{EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
///     dedup::DedupLimits,
///     time::{Timestamp, UnixMillis},
/// };
///
/// let (now, wall) = (Timestamp::ZERO, UnixMillis(1_000_000));
/// let mut agent = AgentCore::new(Incarnation(1), DedupLimits::default());
/// agent.set_clock(wall, now);
/// agent.set_slots(1);
/// let task = TaskId { key: SubmissionKey([1; 16]), index: 0 };
/// let order = TaskRequest {
///     task,
///     kind: KindId(0),
///     team: TeamId(0),
///     remaining_work_us: 0,
///     deadline: Timestamp::from_micros(1_000_000),
///     incarnation: Incarnation(1),
///     entry: EntryId(0),
///     sent_at: wall,
/// };
/// assert_eq!(agent.run(order, now), [Action::Call(task)]);
/// ```
#[derive(Debug)]
pub struct AgentCore {
    incarnation: Incarnation,
    dedup: DedupTable,
    queue: FairQueue<TaskId>,
    waiting: BTreeMap<TaskId, Waiting>,
    deadlines: BTreeSet<(Timestamp, TaskId)>,
    running: BTreeMap<TaskId, Running>,
    times: RunTimeEstimator,
    slots: u32,
    reserve: u32,
    small_slots: u32,
    small_work: u64,
    draining: bool,
    clock: Option<(UnixMillis, Timestamp)>,
}

impl AgentCore {
    /// Creates an agent without an announced upstream and without a wall clock: it declines work until
    /// [`AgentCore::set_slots`] and [`AgentCore::set_clock`].
    pub fn new(incarnation: Incarnation, limits: DedupLimits) -> AgentCore {
        AgentCore {
            incarnation,
            dedup: DedupTable::new(limits),
            queue: FairQueue::with_limits(QueueLimits {
                max_per_kind: MAX_QUEUED_KIND,
                max_total: MAX_QUEUED,
            }),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            times: RunTimeEstimator::default(),
            slots: 0,
            reserve: 0,
            small_slots: SMALL_SLOTS,
            small_work: SMALL_WORK.as_micros() as u64,
            draining: true,
            clock: None,
        }
    }

    /// Sets the wall clock as it was read at `now`. The agent advances it by the monotonic clock, so that a jump
    /// of the wall clock changes no age.
    pub fn set_clock(&mut self, wall: UnixMillis, now: Timestamp) {
        self.clock = Some((wall, now));
    }

    /// Sets the slots of the announced upstream and starts to accept work. Running tasks keep their slots when
    /// the number shrinks.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.draining = false;
    }

    /// Sets the number of slots that are kept free of kinds that hold their share.
    pub fn set_reserved_slots(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Sets the number of slots that are kept free of tasks whose job has more than `work` left.
    pub fn set_small_job_slots(&mut self, slots: u32, work: Duration) {
        self.small_slots = slots;
        self.small_work = work.as_micros() as u64;
    }

    /// Sets the share of a kind.
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

    /// Stops accepting work and declines what is queued; running tasks go on.
    pub fn drain(&mut self, now: Timestamp) -> Vec<Action> {
        self.draining = true;
        let queued: Vec<TaskId> = self.waiting.keys().copied().collect();
        queued
            .into_iter()
            .map(|t| self.decline_queued(t, DeclineReason::Draining, now))
            .collect()
    }

    /// Takes a task. TaskStatus tasks are not started again: their verdict is repeated or still to come.
    pub fn run(&mut self, order: TaskRequest, now: Timestamp) -> Vec<Action> {
        let task = order.task;
        if order.incarnation != self.incarnation {
            return vec![not_started(task, DeclineReason::Incarnation)];
        }
        self.dedup.expire(now);
        if let Some(mark) = self.dedup.mark(task) {
            let verdict = ended(mark).map(|verdict| Action::Reply(task, verdict));
            return verdict.into_iter().collect();
        }
        if let Err(declined) = self.admit(&order, now) {
            return vec![not_started(task, declined)];
        }
        let deadline = order.deadline;
        let key = self
            .queue
            .push(order.kind, order.team, order.remaining_work_us, task);
        self.waiting.insert(task, Waiting { key, deadline });
        self.deadlines.insert((deadline, task));
        self.fill(now)
    }

    /// Takes the end of a call to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn finish(&mut self, task: TaskId, result: TaskResult, now: Timestamp) -> Vec<Action> {
        let call = self
            .running
            .remove(&task)
            .expect("a finished task holds a slot");
        let run = now.since(call.started);
        self.queue.finish(call.kind, call.team);
        self.times.record(call.kind, run);
        self.dedup.finish(task, result.clone(), run, now);
        let mut actions = vec![Action::Reply(task, RunOutcome::Ran { result, run })];
        actions.extend(self.fill(now));
        actions
    }

    /// Takes a call that could not connect to the upstream: the task did not start and never will here. The agent
    /// declines work until the upstream announces itself again.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn on_unreachable(&mut self, task: TaskId, now: Timestamp) -> Vec<Action> {
        let call = self
            .running
            .remove(&task)
            .expect("a called task holds a slot");
        self.queue.finish(call.kind, call.team);
        self.dedup.fence_undelivered(task, now);
        let mut actions = vec![not_started(task, DeclineReason::Draining)];
        actions.extend(self.drain(now));
        actions
    }

    /// Answers what became of a task. An unknown task is fenced, so that a delayed request cannot start it.
    pub fn query(&mut self, task: TaskId, incarnation: Incarnation, now: Timestamp) -> TaskStatus {
        if incarnation != self.incarnation {
            return TaskStatus::Unproven;
        }
        if let Some(mark) = self.dedup.mark(task) {
            return ended(mark).map_or(TaskStatus::Pending, TaskStatus::Ended);
        }
        if !self.dedup.fence(task, now) {
            return TaskStatus::Unproven;
        }
        TaskStatus::Ended(RunOutcome::NotStarted(DeclineReason::Fenced))
    }

    /// Fences a queued or unknown task. A running task goes on; its verdict is still to come. No reply follows
    /// for an unknown task while the dedup is full: nothing is proven then. For requests whose incarnation was
    /// not checked, use [`AgentCore::cancel_for`].
    pub fn cancel(&mut self, task: TaskId, now: Timestamp) -> Vec<Action> {
        match self.dedup.mark(task) {
            Some(StartMark::Queued) => {
                let mut actions = vec![self.decline_queued(task, DeclineReason::Cancelled, now)];
                actions.extend(self.fill(now));
                return actions;
            }
            Some(mark) => {
                let verdict = ended(mark).map(|verdict| Action::Reply(task, verdict));
                return verdict.into_iter().collect();
            }
            None => {}
        }
        if !self.dedup.fence(task, now) {
            return Vec::new();
        }
        vec![not_started(task, DeclineReason::Cancelled)]
    }

    /// Cancels a task that was sent to `incarnation`. Returns `None` if that is another incarnation, which may
    /// have run the task: nothing is proven, and the task is not fenced here.
    pub fn cancel_for(
        &mut self,
        task: TaskId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Vec<Action>> {
        (incarnation == self.incarnation).then(|| self.cancel(task, now))
    }

    /// Fences everything of a submission that is not started, also tasks that arrive later, and returns what this
    /// agent holds of it.
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
        actions.extend(self.fill(now));
        let ended = self
            .dedup
            .tasks_of(key)
            .filter_map(|(task, mark)| Some((task, ended(mark)?)))
            .collect();
        let running = self.running(key);
        CollectReport {
            is_fenced,
            ended,
            running,
            actions,
        }
    }

    /// Declines queued tasks whose deadline passed, fills free slots and drops marks that were kept long enough.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.dedup.expire(now);
        self.fill(now)
    }

    /// Tasks of a submission that were started here and not finished.
    pub fn running(&self, key: SubmissionKey) -> Vec<TaskId> {
        self.running
            .range(TaskId::all_of(key))
            .map(|(&task, _)| task)
            .collect()
    }

    /// Number of tasks at the upstream.
    pub fn busy_slots(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of tasks that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Whether the agent declines new work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of start marks and fences, and bytes of held results.
    pub fn dedup_usage(&self) -> (usize, usize) {
        (self.dedup.len(), self.dedup.result_bytes())
    }

    /// The load as it rides on replies.
    pub fn load(&self, now: Timestamp) -> AgentLoad {
        let free = self.slots.saturating_sub(self.busy_slots());
        let next_slot_wait = self
            .running
            .values()
            // A task that exceeds its estimate by some time is expected to need about that time again.
            .map(|r| {
                self.times
                    .estimate(r.kind, None)
                    .abs_diff(now.since(r.started))
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

    fn admit(&mut self, order: &TaskRequest, now: Timestamp) -> Result<(), DeclineReason> {
        if self.is_stale(order.sent_at, now) {
            return Err(DeclineReason::Stale);
        }
        if self.dedup.is_fenced(order.task.key) {
            return Err(DeclineReason::Fenced);
        }
        if self.draining {
            return Err(DeclineReason::Draining);
        }
        if order.deadline <= now {
            return Err(DeclineReason::Deadline);
        }
        if self.queue.free_space(order.kind) == 0 {
            return Err(DeclineReason::Full);
        }
        self.dedup
            .admit(order.task, now)
            .map_err(|rejected| match rejected {
                RejectReason::Full | RejectReason::Duplicate => DeclineReason::Full,
                RejectReason::Fenced => DeclineReason::Fenced,
            })
    }

    fn is_stale(&self, sent: UnixMillis, now: Timestamp) -> bool {
        let Some((wall, at)) = self.clock else {
            return true;
        };
        let now = now.max(self.dedup.latest_time());
        wall.plus(now.since(at)).distance(sent) > MAX_ORDER_AGE
    }

    fn fill(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.expire_queued(now);
        while let Some((key, task)) = self.pop_next() {
            let waiting = self.waiting.remove(&task).expect("a queued task waits");
            self.deadlines.remove(&(waiting.deadline, task));
            self.dedup.start(task);
            let (kind, team) = (key.kind(), key.team());
            self.running.insert(
                task,
                Running {
                    kind,
                    team,
                    started: now,
                },
            );
            assert!(self.busy_slots() <= self.slots, "more calls than slots");
            actions.push(Action::Call(task));
        }
        self.check();
        actions
    }

    /// The last `small_slots` free slots are for jobs with little work left, which would otherwise wait for one of the
    /// slots that a large job holds here, while the ideal is the next free slot of the whole fleet. A kind that holds
    /// less than its share may take them for a large job too, so that a flood of another kind costs it nothing.
    fn pop_next(&mut self) -> Option<(ItemKey, TaskId)> {
        let free = self.slots.saturating_sub(self.busy_slots());
        let kept = self.small_slots.min(self.slots.saturating_sub(1));
        if free > kept {
            return self.queue.pop_for_slot(self.slots, self.reserve);
        }
        self.queue
            .pop_small_for_slot(self.slots, self.reserve, self.small_work)
            .or_else(|| self.queue.pop_below_share(self.slots, self.slots - kept))
    }

    fn expire_queued(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(deadline, task)) = self.deadlines.first()
            && deadline <= now
        {
            actions.push(self.decline_queued(task, DeclineReason::Deadline, now));
        }
        actions
    }

    fn decline_queued(&mut self, task: TaskId, declined: DeclineReason, now: Timestamp) -> Action {
        let waiting = self.waiting.remove(&task).expect("a queued task waits");
        self.deadlines.remove(&(waiting.deadline, task));
        self.queue
            .remove(waiting.key)
            .expect("a waiting task is queued");
        let is_fenced = self.dedup.fence(task, now);
        assert!(is_fenced, "a queued task can be fenced");
        not_started(task, declined)
    }

    fn check(&self) {
        assert_eq!(
            self.waiting.len(),
            self.queue.len(),
            "each waiting task is queued"
        );
        assert_eq!(
            self.waiting.len(),
            self.deadlines.len(),
            "each waiting task has a deadline"
        );
    }
}

fn not_started(task: TaskId, declined: DeclineReason) -> Action {
    Action::Reply(task, RunOutcome::NotStarted(declined))
}

fn ended(mark: &StartMark) -> Option<RunOutcome> {
    match mark {
        StartMark::Queued | StartMark::Running => None,
        StartMark::Finished {
            result: Some(result),
            run,
        } => Some(RunOutcome::Ran {
            result: result.clone(),
            run: *run,
        }),
        StartMark::Finished { result: None, .. } => Some(RunOutcome::ResultDropped),
        StartMark::Fenced => Some(RunOutcome::NotStarted(DeclineReason::Fenced)),
    }
}
