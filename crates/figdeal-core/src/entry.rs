//! State machine of an entry: admits jobs, places their tasks at agents, and answers callers.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::Duration,
};

use slotmap::SlotMap;

use self::job::{Job, JobPhase, TaskProgress};
pub use self::{
    action::{
        Action, Answer, ClaimResult, EntryCounts, FinishedJob, TakeoverRequest, TaskDispatch,
    },
    collect::CollectedResults,
    job::{JobKey, Submission, TaskSpec, WaiterId},
};
use crate::{
    agent::{DeclineReason, RunOutcome},
    dedup::TaskResult,
    fair_queue::{FairQueue, KindShare},
    fleet::{AgentInfo, AgentKey, AgentLoad, Fleet, FleetChange, FleetLimits, HealthSample},
    id::{KindId, SubmissionKey, TaskId, TeamId},
    outcome::{RefusalReason, TaskState},
    run_time::RunTimeEstimator,
    time::Timestamp,
};

mod action;
mod admit;
mod answer;
mod collect;
mod job;
mod place;

/// A task is sent to agents at most this often, if they decline it.
const MAX_DISPATCH_ATTEMPTS: u32 = 20;
/// Shortest retry delay that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum timeout of fetches and cancellations, which state no deadline, and of collections without a known deadline.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits and timeouts of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// Maximum number of queued tasks.
    pub max_queued_tasks: usize,
    /// Maximum number of jobs in the table. Finished jobs are evicted to make room for new ones; a caller that asks for
    /// one of them later is told that it is no longer known.
    pub max_jobs: usize,
    /// Maximum total size of the stored answers in bytes.
    pub max_answer_bytes: usize,
    /// Time for which a finished job stays in the table.
    pub retention: Duration,
    /// Time after the deadline of a job during which the entry waits for the outcomes of its cancelled tasks.
    pub cancel_grace: Duration,
    /// A task that no available agent accepts for this long ends as not started. It is also the minimum time for the
    /// collection of the results of a dead owner.
    pub unplaceable_after: Duration,
    /// A job with at most this much estimated work when it is queued is a small job and may take the slots reserved for
    /// small jobs.
    pub small_job_work: Duration,
    /// Limits of placement and outlier ejection.
    pub fleet: FleetLimits,
}

impl Default for EntryLimits {
    fn default() -> EntryLimits {
        EntryLimits {
            max_queued_tasks: 20_000,
            max_jobs: 50_000,
            max_answer_bytes: 32 << 20,
            retention: Duration::from_secs(3600),
            cancel_grace: Duration::from_millis(500),
            unplaceable_after: Duration::from_secs(2),
            small_job_work: Duration::from_secs(4),
            fleet: FleetLimits::default(),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct TaskRef {
    job: JobKey,
    index: u16,
}

/// State machine of one entry incarnation: all its jobs, its queue and its view of the agents.
#[derive(Debug)]
pub struct EntryCore {
    limits: EntryLimits,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<SubmissionKey, JobKey>,
    queue: FairQueue<TaskRef>,
    fleet: Fleet,
    /// The tasks without an outcome, by the agent to which they were sent.
    sent_tasks: HashMap<AgentKey, HashSet<TaskId>>,
    run_times: RunTimeEstimator,
    /// For each active job its deadline, later the end of its grace time; for each collection its deadline.
    deadlines: BTreeSet<(Timestamp, JobKey)>,
    waiter_deadlines: BTreeSet<(Timestamp, WaiterId, JobKey)>,
    /// Tasks that no available agent accepts, with the time at which they end as not started.
    unplaced: VecDeque<(Timestamp, TaskId)>,
    /// The finished jobs with the time at which they finished, oldest first.
    finish_order: VecDeque<(Timestamp, JobKey)>,
    /// Maximum number of tasks in progress by team.
    quotas: HashMap<TeamId, u32>,
    /// Maximum number of queued tasks by kind.
    queue_bounds: HashMap<KindId, usize>,
    kind_weights: HashMap<KindId, u32>,
    /// Whether claim records are running out, see [`EntryCore::set_claims_scarce`].
    is_claim_scarce: bool,
    /// Number of slots of the agents that get tasks, at the last count.
    healthy_slots: u32,
    /// Time at which the healthy slots are counted again.
    next_slot_count: Timestamp,
    tasks_in_progress: HashMap<TeamId, u32>,
    answer_bytes: usize,
    counts: EntryCounts,
    actions: Vec<Action>,
    newly_finished: Vec<FinishedJob>,
}

impl EntryCore {
    /// Creates an entry without agents and jobs.
    ///
    /// Entries need different seeds, so that they do not all choose the same agent among equal ones.
    pub fn new(limits: EntryLimits, seed: u64) -> EntryCore {
        EntryCore {
            fleet: Fleet::with_seed(limits.fleet, seed),
            limits,
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            queue: FairQueue::new(),
            sent_tasks: HashMap::new(),
            run_times: RunTimeEstimator::default(),
            deadlines: BTreeSet::new(),
            waiter_deadlines: BTreeSet::new(),
            unplaced: VecDeque::new(),
            finish_order: VecDeque::new(),
            quotas: HashMap::new(),
            queue_bounds: HashMap::new(),
            kind_weights: HashMap::new(),
            is_claim_scarce: false,
            healthy_slots: 0,
            next_slot_count: Timestamp::ZERO,
            tasks_in_progress: HashMap::new(),
            answer_bytes: 0,
            counts: EntryCounts::default(),
            actions: Vec::new(),
            newly_finished: Vec::new(),
        }
    }

    /// Sets the limits. Jobs and tasks that already exceed a lowered limit are kept.
    pub fn set_limits(&mut self, limits: EntryLimits) {
        self.limits = limits;
        self.fleet.set_limits(limits.fleet);
    }

    /// Sets the share and urgency of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.kind_weights.insert(kind, share.weight);
        self.queue.set_share(kind, share);
    }

    /// Sets the quota of a team: its maximum number of tasks in progress at this entry.
    pub fn set_quota(&mut self, team: TeamId, tasks: u32) {
        self.quotas.insert(team, tasks);
    }

    /// Returns the actions since the last call, in order, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the jobs owned by this entry that finished since the last call, and clears them.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.newly_finished)
    }

    /// Handles a submission. The waiter gets the final answer. If there is none yet, it gets [`Answer::Running`]
    /// immediately without `wait`; with `wait`, it gets [`Answer::Undecided`] if there is still none shortly after the
    /// longest deadline of the tasks.
    pub fn submit(&mut self, submission: Submission, waiter: WaiterId, wait: bool, now: Timestamp) {
        let longest = submission.tasks.iter().map(|t| t.deadline).max();
        let longest = longest.expect("a submission has at least one task");
        let deadline = wait.then(|| now + longest + self.limits.cancel_grace);
        if let Some(&key) = self.job_keys.get(&submission.key) {
            if self.jobs[key].digest != submission.digest {
                return self.answer(waiter, Answer::Conflict);
            }
            return self.add_waiter(key, waiter, deadline);
        }
        self.evict_finished();
        if self.must_shed(&submission) {
            return self.answer(waiter, Answer::Undecided);
        }
        let claim = Action::Claim {
            key: submission.key,
            digest: submission.digest,
            created: submission.created,
            dead_owner: None,
        };
        let id = submission.key;
        let key = self.jobs.insert(Job::new(submission, now));
        self.job_keys.insert(id, key);
        self.actions.push(claim);
        self.add_waiter(key, waiter, deadline);
    }

    /// Handles a fetch: answers with the outcome of a known submission, after waiting for it if `wait` is set.
    pub fn fetch(&mut self, id: SubmissionKey, waiter: WaiterId, wait: bool, now: Timestamp) {
        match self.job_keys.get(&id) {
            Some(&key) => {
                let deadline = wait.then(|| self.fetch_deadline(key, now));
                self.add_waiter(key, waiter, deadline);
            }
            None => self.answer(waiter, Answer::Unknown),
        }
    }

    /// Cancels a submission; the waiter gets its final outcome, or [`Answer::Unknown`] if it is not in the job table.
    /// If another entry owns the submission, that one is asked to cancel it.
    pub fn cancel(&mut self, id: SubmissionKey, waiter: WaiterId, now: Timestamp) {
        if let Some(&key) = self.job_keys.get(&id)
            && let JobPhase::OwnedElsewhere { owner, .. } = self.jobs[key].phase
        {
            let deadline = self.fetch_deadline(key, now);
            self.add_waiter(key, waiter, Some(deadline));
            self.actions.push(Action::CancelAtOwner { key: id, owner });
            return;
        }
        self.cancel_owned(id, waiter, now);
    }

    /// Cancels a submission on behalf of another entry. If it is unknown here or owned by another entry, the answer is
    /// [`Answer::Unknown`], so that entries do not forward cancellations in a circle.
    pub fn cancel_owned(&mut self, id: SubmissionKey, waiter: WaiterId, now: Timestamp) {
        let known = self.job_keys.get(&id).copied();
        let is_owned_elsewhere =
            |key: &JobKey| matches!(self.jobs[*key].phase, JobPhase::OwnedElsewhere { .. });
        let Some(key) = known.filter(|key| !is_owned_elsewhere(key)) else {
            return self.answer(waiter, Answer::Unknown);
        };
        let deadline = self.fetch_deadline(key, now);
        self.add_waiter(key, waiter, Some(deadline));
        let job = &mut self.jobs[key];
        if matches!(job.phase, JobPhase::Claiming | JobPhase::Active) {
            job.is_cancelled = true;
        }
        if job.is_active() {
            self.stop_tasks(key, now);
        }
    }

    /// Handles the result of a claim.
    pub fn on_claim_result(&mut self, id: SubmissionKey, result: ClaimResult, now: Timestamp) {
        let Some(&key) = self.job_keys.get(&id) else {
            return;
        };
        if !matches!(self.jobs[key].phase, JobPhase::Claiming) {
            return;
        }
        match result {
            // A takeover for a fetch has no tasks to start. As this entry is the owner, no other entry can start them.
            ClaimResult::Owner if self.jobs[key].tasks.is_empty() => {
                self.refuse(key, RefusalReason::OwnerLost, now);
            }
            ClaimResult::Owner => self.admit(key, now),
            ClaimResult::OwnedBy(owner, incarnation) => {
                self.jobs[key].phase = JobPhase::OwnedElsewhere { owner, incarnation };
                self.actions.push(Action::AwaitAnswer {
                    key: id,
                    owner,
                    incarnation,
                });
                if self.jobs[key].is_cancelled {
                    self.actions.push(Action::CancelAtOwner { key: id, owner });
                }
            }
            ClaimResult::Collector => self.start_collection(key, now),
            ClaimResult::Conflict => self.discard(key, Answer::Conflict),
            ClaimResult::Expired => self.discard(key, Answer::Expired),
            ClaimResult::Undecided => self.discard(key, Answer::Undecided),
            ClaimResult::CreatedInFuture => self.discard(key, Answer::CreatedInFuture),
        }
    }

    /// Handles the answer of the owner. `None` means that the owner is gone, which starts a takeover.
    pub fn on_owner_answer(&mut self, id: SubmissionKey, answer: Option<Answer>, now: Timestamp) {
        let Some(&key) = self.job_keys.get(&id) else {
            return;
        };
        let job = &mut self.jobs[key];
        let JobPhase::OwnedElsewhere { owner, incarnation } = job.phase else {
            return;
        };
        match answer {
            Some(Answer::Final(outcome)) => self.finish_with(key, outcome, now),
            Some(answer) => self.discard(key, answer),
            None => {
                job.phase = JobPhase::Claiming;
                let claim = Action::Claim {
                    key: id,
                    digest: job.digest,
                    created: job.created,
                    dead_owner: Some((owner, incarnation)),
                };
                self.actions.push(claim);
            }
        }
    }

    /// Waits for a submission whose owner did not answer a fetch. The job has no tasks here, because a fetch does not
    /// contain them. The owner is asked once more before the takeover, because one broken connection does not prove
    /// that it is gone.
    pub fn take_over(&mut self, request: TakeoverRequest, waiter: WaiterId, now: Timestamp) {
        if let Some(&key) = self.job_keys.get(&request.key) {
            let deadline = self.fetch_deadline(key, now);
            return self.add_waiter(key, waiter, Some(deadline));
        }
        let TakeoverRequest {
            key: id,
            digest,
            created,
            owner,
        } = request;
        let submission = Submission {
            key: id,
            digest,
            created,
            team: TeamId(0),
            tasks: Vec::new(),
        };
        let mut job = Job::new(submission, now);
        let (owner, incarnation) = owner;
        job.phase = JobPhase::OwnedElsewhere { owner, incarnation };
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        self.actions.push(Action::AwaitAnswer {
            key: id,
            owner,
            incarnation,
        });
        let deadline = self.fetch_deadline(key, now);
        self.add_waiter(key, waiter, Some(deadline));
    }

    /// Handles the announcement of an agent. Returns its key, or `None` if its incarnation has been replaced.
    pub fn announce(
        &mut self,
        info: AgentInfo,
        load: AgentLoad,
        now: Timestamp,
    ) -> Option<AgentKey> {
        let key = match self.fleet.announce(info, load, now) {
            FleetChange::New(key) | FleetChange::Renewed(key) => key,
            FleetChange::Replaced { new, old } => {
                self.fail_tasks_of(old, now);
                self.fleet.remove(old);
                new
            }
            FleetChange::Stale => return None,
        };
        self.retry_unplaced(now);
        self.dispatch(now);
        Some(key)
    }

    /// Handles the outcome of a task and the load report sent with it. A repeated or unexpected outcome is ignored.
    pub fn on_run_outcome(
        &mut self,
        agent: AgentKey,
        task: TaskId,
        outcome: RunOutcome,
        load: Option<AgentLoad>,
        now: Timestamp,
    ) {
        if let Some(load) = load {
            self.fleet.report_load(agent, load, now);
        }
        if let Some((key, index)) = self.find_sent(agent, task) {
            let kind = self.jobs[key].tasks[index].spec.kind;
            self.end_dispatch(key, index, agent, health_sample(&outcome), now);
            match outcome {
                RunOutcome::Ran { result, run_time } => {
                    if !run_time.is_zero() {
                        let declared = self.jobs[key].tasks[index].spec.declared_run_time;
                        self.run_times.record_declared(kind, declared, run_time);
                    }
                    let progress = match result {
                        TaskResult::Done(bytes) => TaskProgress::Done(bytes),
                        TaskResult::Failed => TaskProgress::Ended(TaskState::Failed),
                        TaskResult::Unknown => TaskProgress::Ended(TaskState::MayHaveRun),
                    };
                    self.resolve(key, index, progress, now);
                }
                RunOutcome::ResultDropped => {
                    self.resolve(key, index, TaskProgress::Ended(TaskState::MayHaveRun), now);
                }
                RunOutcome::NotStarted(reason) => {
                    if matches!(reason, DeclineReason::Draining | DeclineReason::Incarnation) {
                        self.suspend_placement(agent, now);
                    }
                    self.requeue(key, index, reason, now);
                }
            }
        }
        self.dispatch(now);
    }

    /// Handles the failure to connect to an agent for a task, which the agent therefore did not get. The task is placed
    /// again, and the agent gets no tasks until it announces itself again.
    pub fn on_connect_failed(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        self.suspend_placement(agent, now);
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.end_dispatch(key, index, agent, HealthSample::Inconclusive, now);
            self.requeue(key, index, DeclineReason::Draining, now);
        }
        self.dispatch(now);
    }

    /// Handles the loss of the connection on which a task was sent: queries the agent on a new connection.
    pub fn on_connection_lost(&mut self, agent: AgentKey, task: TaskId) {
        if self.find_sent(agent, task).is_some() {
            self.actions.push(Action::Query { agent, task });
        }
    }

    /// Handles that the agent incarnation to which a task was sent is gone: the task may have run.
    pub fn on_incarnation_gone(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.end_dispatch(key, index, agent, HealthSample::Inconclusive, now);
            self.resolve(key, index, TaskProgress::Ended(TaskState::MayHaveRun), now);
        }
    }

    /// Handles deadlines, timeouts and expired jobs, and sends queued tasks.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some(&(at, key)) = self.deadlines.first() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            self.on_deadline(key, now);
        }
        self.fleet.tick(now);
        self.count_slots(now);
        self.expire_unplaced(now);
        self.expire_waiters(now);
        self.expire_finished(now);
        self.dispatch(now);
    }

    /// Time at which a deadline, an unplaced task or a waiting request needs the next [`EntryCore::tick`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let unplaced = self.unplaced.front().map(|&(at, _)| at);
        let waiter = self
            .waiter_deadlines
            .first()
            .map(|&(deadline, ..)| deadline);
        [deadline, unplaced, waiter].into_iter().flatten().min()
    }

    /// Whether the submission is in the job table.
    pub fn contains(&self, id: SubmissionKey) -> bool {
        self.job_keys.contains_key(&id)
    }

    /// The agents known to this entry.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of tasks in the queue of this entry.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of queued tasks of a kind.
    pub fn queued(&self, kind: KindId) -> usize {
        self.queue.queued(kind)
    }

    /// Number of jobs without a final answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|j| !matches!(j.phase, JobPhase::Finished(_)))
            .count()
    }

    /// Event counts since the start of the entry.
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    /// Finds a task by its id if it was sent to `agent` and has no outcome yet.
    fn find_sent(&self, agent: AgentKey, task: TaskId) -> Option<(JobKey, usize)> {
        let &key = self.job_keys.get(&task.key)?;
        let index = usize::from(task.index);
        let progress = &self.jobs[key].tasks.get(index)?.progress;
        (*progress == TaskProgress::Sent(agent)).then_some((key, index))
    }

    /// Frees the slot that a sent task holds in the queue and at the agent, and records its result for outlier
    /// ejection.
    fn end_dispatch(
        &mut self,
        key: JobKey,
        index: usize,
        agent: AgentKey,
        sample: HealthSample,
        now: Timestamp,
    ) {
        let job = &self.jobs[key];
        let kind = job.tasks[index].spec.kind;
        let id = TaskId {
            key: job.key,
            index: index as u16,
        };
        self.queue.finish(kind, job.team);
        self.fleet.record_result(agent, kind, sample, now);
        if let Some(tasks) = self.sent_tasks.get_mut(&agent) {
            tasks.remove(&id);
        }
    }

    /// Ends the tasks that were sent to a replaced agent incarnation as `MayHaveRun`.
    fn fail_tasks_of(&mut self, agent: AgentKey, now: Timestamp) {
        let tasks = self.sent_tasks.remove(&agent).unwrap_or_default();
        for task in tasks {
            self.on_incarnation_gone(agent, task, now);
        }
    }

    /// Sets the final state of a task, and finishes the job after its last task.
    fn resolve(&mut self, key: JobKey, index: usize, progress: TaskProgress, now: Timestamp) {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index];
        assert!(task.state().is_none(), "a task is resolved once");
        task.progress = progress;
        job.unresolved_tasks -= 1;
        if job.unresolved_tasks == 0 {
            self.finish(key, now);
        }
    }

    /// Removes the queued tasks of a job from the queue and asks the agents to cancel the ones that were sent.
    fn stop_tasks(&mut self, key: JobKey, now: Timestamp) {
        let mut cancels: HashMap<AgentKey, Vec<TaskId>> = HashMap::new();
        for index in 0..self.jobs[key].tasks.len() {
            // The job finishes with its last open task, which removes the list of tasks that this loop counts through.
            let Some(job) = self.jobs.get(key).filter(|j| j.is_active()) else {
                break;
            };
            let id = TaskId {
                key: job.key,
                index: index as u16,
            };
            match job.tasks[index].progress {
                TaskProgress::Queued(item) => {
                    self.queue
                        .remove(item)
                        .expect("a queued task is in the queue");
                    self.resolve(key, index, TaskProgress::Ended(TaskState::NotStarted), now);
                }
                TaskProgress::Unplaced => {
                    self.resolve(key, index, TaskProgress::Ended(TaskState::NotStarted), now);
                }
                TaskProgress::Sent(agent) => cancels.entry(agent).or_default().push(id),
                TaskProgress::Done(_) | TaskProgress::Ended(_) => {}
            }
        }
        let cancels = cancels
            .into_iter()
            .map(|(agent, tasks)| Action::Cancel { agent, tasks });
        self.actions.extend(cancels);
    }

    /// Handles the deadline of a job. At the deadline, stops the tasks that have not started; after the grace time, the
    /// tasks without an outcome end as `MayHaveRun`.
    fn on_deadline(&mut self, key: JobKey, now: Timestamp) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.phase, JobPhase::Collecting(_)) {
            return self.finish_collection(key, now);
        }
        if !job.is_active() {
            return;
        }
        if now < job.deadline + self.limits.cancel_grace {
            let grace_end = job.deadline + self.limits.cancel_grace;
            self.stop_tasks(key, now);
            if self.jobs.get(key).is_some_and(Job::is_active) {
                self.deadlines.insert((grace_end, key));
            }
            return;
        }
        let is_unsent =
            |t: &job::Task| matches!(t.progress, TaskProgress::Queued(_) | TaskProgress::Unplaced);
        // If the driver was delayed, the first call may come after the grace time.
        if job.tasks.iter().any(is_unsent) {
            self.stop_tasks(key, now);
        }
        let job = self.jobs.get(key).filter(|j| j.is_active());
        let sent: Vec<(usize, AgentKey)> = job
            .into_iter()
            .flat_map(|j| j.tasks.iter().enumerate())
            .filter_map(|(i, task)| match task.progress {
                TaskProgress::Sent(agent) => Some((i, agent)),
                _ => None,
            })
            .collect();
        for (index, agent) in sent {
            self.end_dispatch(key, index, agent, HealthSample::Inconclusive, now);
            self.resolve(key, index, TaskProgress::Ended(TaskState::MayHaveRun), now);
        }
    }
}

fn health_sample(outcome: &RunOutcome) -> HealthSample {
    match outcome {
        RunOutcome::Ran {
            result: TaskResult::Done(_),
            run_time,
        } => HealthSample::Success(*run_time),
        RunOutcome::Ran { .. } => HealthSample::Failure,
        RunOutcome::ResultDropped | RunOutcome::NotStarted(_) => HealthSample::Inconclusive,
    }
}

fn not_started(count: usize) -> Vec<TaskState> {
    vec![TaskState::NotStarted; count]
}
