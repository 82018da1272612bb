//! Decisions of an entry: admission, placement of its jobs' tasks, and the answers to callers.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::Duration,
};

use slotmap::SlotMap;

use self::job::{Job, Phase, Progress};
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

/// Times that a task is placed again after agents declined it.
const MAX_ATTEMPTS: u32 = 20;
/// Callers get at least this as the time to come back.
const MIN_RETRY: Duration = Duration::from_millis(500);
/// Longest wait of a request that names no deadline, and of a collection that knows none.
const FETCH_LIMIT: Duration = Duration::from_secs(30);

/// Settings of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// Largest number of queued tasks.
    pub max_queued_tasks: usize,
    /// Largest number of jobs in the table. Finished ones make room for new ones; who asks for them later is told that
    /// they are no longer remembered.
    pub max_jobs: usize,
    /// Largest sum of the bytes of held answers.
    pub max_answer_bytes: usize,
    /// How long a finished job is remembered.
    pub retention: Duration,
    /// Time after the deadline in which verdicts of cancelled tasks are awaited.
    pub cancel_grace: Duration,
    /// Time after which a task that no agent accepts is refused.
    pub unplaceable_after: Duration,
    /// A job with at most this much work left may take the slots that are kept free of large jobs.
    pub small_job_work: Duration,
    /// Placement and ejection.
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

/// Decisions of one entry incarnation.
#[derive(Debug)]
pub struct EntryCore {
    limits: EntryLimits,
    jobs: SlotMap<JobKey, Job>,
    keys: HashMap<SubmissionKey, JobKey>,
    queue: FairQueue<TaskRef>,
    fleet: Fleet,
    sent: HashMap<AgentKey, HashSet<TaskId>>,
    times: RunTimeEstimator,
    deadlines: BTreeSet<(Timestamp, JobKey)>,
    patience: BTreeSet<(Timestamp, WaiterId, JobKey)>,
    unplaced: VecDeque<(Timestamp, TaskId)>,
    finished: VecDeque<(Timestamp, JobKey)>,
    quotas: HashMap<TeamId, u32>,
    bounds: HashMap<KindId, usize>,
    weights: HashMap<KindId, u32>,
    is_scarce: bool,
    slots: u32,
    slots_due: Timestamp,
    in_progress: HashMap<TeamId, u32>,
    bytes: usize,
    counts: EntryCounts,
    actions: Vec<Action>,
    ended: Vec<FinishedJob>,
}

impl EntryCore {
    /// Creates an entry without agents and jobs.
    ///
    /// Entries need different seeds, so that they do not all choose the same one of agents that look alike.
    pub fn new(limits: EntryLimits, seed: u64) -> EntryCore {
        EntryCore {
            fleet: Fleet::with_seed(limits.fleet, seed),
            limits,
            jobs: SlotMap::with_key(),
            keys: HashMap::new(),
            queue: FairQueue::new(),
            sent: HashMap::new(),
            times: RunTimeEstimator::default(),
            deadlines: BTreeSet::new(),
            patience: BTreeSet::new(),
            unplaced: VecDeque::new(),
            finished: VecDeque::new(),
            quotas: HashMap::new(),
            bounds: HashMap::new(),
            weights: HashMap::new(),
            is_scarce: false,
            slots: 0,
            slots_due: Timestamp::ZERO,
            in_progress: HashMap::new(),
            bytes: 0,
            counts: EntryCounts::default(),
            actions: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Sets the bounds; what is over a smaller bound already stays.
    pub fn set_limits(&mut self, limits: EntryLimits) {
        self.limits = limits;
        self.fleet.set_limits(limits.fleet);
    }

    /// Sets the share of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.weights.insert(kind, share.weight);
        self.queue.set_share(kind, share);
    }

    /// Sets the largest number of a team's tasks in progress at this entry.
    pub fn set_quota(&mut self, team: TeamId, tasks: u32) {
        self.quotas.insert(team, tasks);
    }

    /// Takes the actions that the last calls produced, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the jobs that this entry owned and that ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.ended)
    }

    /// Takes a submission. The waiter gets the final answer, or [`Answer::Running`] at once without `wait`. When
    /// nothing is known shortly after the longest deadline of the tasks, it gets [`Answer::Undecided`].
    pub fn submit(&mut self, submission: Submission, waiter: WaiterId, wait: bool, now: Timestamp) {
        let longest = submission.tasks.iter().map(|t| t.deadline).max();
        let longest = longest.expect("a submission has tasks");
        let until = wait.then(|| now + longest + self.limits.cancel_grace);
        if let Some(&key) = self.keys.get(&submission.key) {
            if self.jobs[key].digest != submission.digest {
                return self.answer(waiter, Answer::Conflict);
            }
            return self.wait_for(key, waiter, until);
        }
        self.make_room();
        if self.turns_away(&submission) {
            return self.answer(waiter, Answer::Undecided);
        }
        let claim = Action::Claim {
            key: submission.key,
            digest: submission.digest,
            created: submission.created,
            dead: None,
        };
        let id = submission.key;
        let key = self.jobs.insert(Job::new(submission, now));
        self.keys.insert(id, key);
        self.actions.push(claim);
        self.wait_for(key, waiter, until);
    }

    /// Answers with the outcome of a known submission, waiting for it if `wait` is set.
    pub fn fetch(&mut self, id: SubmissionKey, waiter: WaiterId, wait: bool, now: Timestamp) {
        match self.keys.get(&id) {
            Some(&key) => {
                let until = wait.then(|| self.fetch_until(key, now));
                self.wait_for(key, waiter, until);
            }
            None => self.answer(waiter, Answer::Unknown),
        }
    }

    /// Cancels a known submission; the waiter gets the final outcome. An owner elsewhere is asked to cancel it.
    pub fn cancel(&mut self, id: SubmissionKey, waiter: WaiterId, now: Timestamp) {
        if let Some(&key) = self.keys.get(&id)
            && let Phase::Remote { owner, .. } = self.jobs[key].phase
        {
            let until = self.fetch_until(key, now);
            self.wait_for(key, waiter, Some(until));
            self.actions.push(Action::CancelAtOwner { key: id, owner });
            return;
        }
        self.cancel_owned(id, waiter, now);
    }

    /// Cancels a submission for another entry. One that is owned elsewhere is unknown, so that requests do not circle.
    pub fn cancel_owned(&mut self, id: SubmissionKey, waiter: WaiterId, now: Timestamp) {
        let known = self.keys.get(&id).copied();
        let is_elsewhere = |key: &JobKey| matches!(self.jobs[*key].phase, Phase::Remote { .. });
        let Some(key) = known.filter(|key| !is_elsewhere(key)) else {
            return self.answer(waiter, Answer::Unknown);
        };
        let until = self.fetch_until(key, now);
        self.wait_for(key, waiter, Some(until));
        let job = &mut self.jobs[key];
        if matches!(job.phase, Phase::Claiming | Phase::Active) {
            job.is_cancelled = true;
        }
        if job.is_active() {
            self.stop_tasks(key, now);
        }
    }

    /// Takes the decision of a claim.
    pub fn on_claim_result(&mut self, id: SubmissionKey, claimed: ClaimResult, now: Timestamp) {
        let Some(&key) = self.keys.get(&id) else {
            return;
        };
        if !matches!(self.jobs[key].phase, Phase::Claiming) {
            return;
        }
        match claimed {
            // A takeover for a fetch has no content that could be started. Nobody else can start it from now on.
            ClaimResult::Owner if self.jobs[key].tasks.is_empty() => {
                self.refuse(key, RefusalReason::OwnerLost, now);
            }
            ClaimResult::Owner => self.admit(key, now),
            ClaimResult::OwnedBy(owner, incarnation) => {
                self.jobs[key].phase = Phase::Remote { owner, incarnation };
                self.actions.push(Action::AwaitAnswer {
                    key: id,
                    owner,
                    incarnation,
                });
                if self.jobs[key].is_cancelled {
                    self.actions.push(Action::CancelAtOwner { key: id, owner });
                }
            }
            ClaimResult::Collector => self.start_collect(key, now),
            ClaimResult::Conflict => self.dismiss(key, Answer::Conflict),
            ClaimResult::Expired => self.dismiss(key, Answer::Expired),
            ClaimResult::Undecided => self.dismiss(key, Answer::Undecided),
            ClaimResult::CreatedInFuture => self.dismiss(key, Answer::CreatedInFuture),
        }
    }

    /// Takes what the owner answered; `None` when it is gone, which starts a takeover.
    pub fn on_owner_answer(&mut self, id: SubmissionKey, answer: Option<Answer>, now: Timestamp) {
        let Some(&key) = self.keys.get(&id) else {
            return;
        };
        let job = &mut self.jobs[key];
        let Phase::Remote { owner, incarnation } = job.phase else {
            return;
        };
        match answer {
            Some(Answer::Final(outcome)) => self.finish_with(key, outcome, now),
            Some(answer) => self.dismiss(key, answer),
            None => {
                job.phase = Phase::Claiming;
                let claim = Action::Claim {
                    key: id,
                    digest: job.digest,
                    created: job.created,
                    dead: Some((owner, incarnation)),
                };
                self.actions.push(claim);
            }
        }
    }

    /// Waits for a submission of an owner that did not answer a fetch, which brings no content. The owner is asked once
    /// more before it is taken over, because one broken connection does not prove that it is gone.
    pub fn take_over(&mut self, orphan: TakeoverRequest, waiter: WaiterId, now: Timestamp) {
        if let Some(&key) = self.keys.get(&orphan.key) {
            let until = self.fetch_until(key, now);
            return self.wait_for(key, waiter, Some(until));
        }
        let TakeoverRequest {
            key: id,
            digest,
            created,
            owner,
        } = orphan;
        let submission = Submission {
            key: id,
            digest,
            created,
            team: TeamId(0),
            tasks: Vec::new(),
        };
        let mut job = Job::new(submission, now);
        let (owner, incarnation) = owner;
        job.phase = Phase::Remote { owner, incarnation };
        let key = self.jobs.insert(job);
        self.keys.insert(id, key);
        self.actions.push(Action::AwaitAnswer {
            key: id,
            owner,
            incarnation,
        });
        let until = self.fetch_until(key, now);
        self.wait_for(key, waiter, Some(until));
    }

    /// Takes an announcement of an agent and returns its key, or `None` for an incarnation that was replaced.
    pub fn announce(
        &mut self,
        info: AgentInfo,
        load: AgentLoad,
        now: Timestamp,
    ) -> Option<AgentKey> {
        let key = match self.fleet.announce(info, load, now) {
            FleetChange::New(key) | FleetChange::Renewed(key) => key,
            FleetChange::Replaced { new, old } => {
                self.lose_agent(old, now);
                self.fleet.remove(old);
                new
            }
            FleetChange::Stale => return None,
        };
        self.retry_unplaced(now);
        self.dispatch(now);
        Some(key)
    }

    /// Takes the verdict on a task and the load that rode on it. A repeated or unexpected verdict is ignored.
    pub fn on_run_outcome(
        &mut self,
        agent: AgentKey,
        task: TaskId,
        verdict: RunOutcome,
        load: Option<AgentLoad>,
        now: Timestamp,
    ) {
        if let Some(load) = load {
            self.fleet.report(agent, load, now);
        }
        if let Some((key, index)) = self.find_sent(agent, task) {
            let kind = self.jobs[key].tasks[index].spec.kind;
            self.release(key, index, agent, sample(&verdict), now);
            match verdict {
                RunOutcome::Ran { result, run } => {
                    if !run.is_zero() {
                        let declared = self.jobs[key].tasks[index].spec.declared_run_time;
                        self.times.record_declared(kind, declared, run);
                    }
                    let progress = match result {
                        TaskResult::Done(bytes) => Progress::Done(bytes),
                        TaskResult::Failed => Progress::Ended(TaskState::Failed),
                        TaskResult::Unknown => Progress::Ended(TaskState::MayHaveRun),
                    };
                    self.resolve(key, index, progress, now);
                }
                RunOutcome::ResultDropped => {
                    self.resolve(key, index, Progress::Ended(TaskState::MayHaveRun), now);
                }
                RunOutcome::NotStarted(declined) => {
                    if matches!(
                        declined,
                        DeclineReason::Draining | DeclineReason::Incarnation
                    ) {
                        self.set_aside(agent, now);
                    }
                    self.place_again(key, index, declined, now);
                }
            }
        }
        self.dispatch(now);
    }

    /// Takes the failure to open a connection for a task: the agent did not get it. The task goes elsewhere, and so
    /// does all new work until the agent announces itself again.
    pub fn on_connect_failed(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        self.set_aside(agent, now);
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.release(key, index, agent, HealthSample::Inconclusive, now);
            self.place_again(key, index, DeclineReason::Draining, now);
        }
        self.dispatch(now);
    }

    /// Takes the loss of the connection that carried a task: its agent is asked again on a new connection.
    pub fn on_connection_lost(&mut self, agent: AgentKey, task: TaskId) {
        if self.find_sent(agent, task).is_some() {
            self.actions.push(Action::Query { agent, task });
        }
    }

    /// Takes the word of another incarnation of an agent that it knows nothing of a task.
    pub fn on_incarnation_gone(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.release(key, index, agent, HealthSample::Inconclusive, now);
            self.resolve(key, index, Progress::Ended(TaskState::MayHaveRun), now);
        }
    }

    /// Acts on deadlines and expiries.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some(&(at, key)) = self.deadlines.first() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            self.pass_deadline(key, now);
        }
        self.fleet.tick(now);
        self.count_slots(now);
        self.refuse_unplaced(now);
        self.expire_waiters(now);
        self.expire_finished(now);
        self.dispatch(now);
    }

    /// When [`EntryCore::tick`] has something to do next, at the latest.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let unplaced = self.unplaced.front().map(|&(at, _)| at);
        let waiter = self.patience.first().map(|&(until, ..)| until);
        [deadline, unplaced, waiter].into_iter().flatten().min()
    }

    /// Whether the submission is in the table.
    pub fn contains(&self, id: SubmissionKey) -> bool {
        self.keys.contains_key(&id)
    }

    /// The fleet as this entry sees it.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The queue of this entry.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Queued tasks of a kind.
    pub fn queued(&self, kind: KindId) -> usize {
        self.queue.queued(kind)
    }

    /// Jobs without a final answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|j| !matches!(j.phase, Phase::Finished(_)))
            .count()
    }

    /// EntryCounts since the start.
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    fn find_sent(&self, agent: AgentKey, task: TaskId) -> Option<(JobKey, usize)> {
        let &key = self.keys.get(&task.key)?;
        let index = usize::from(task.index);
        let progress = &self.jobs[key].tasks.get(index)?.progress;
        (*progress == Progress::Sent(agent)).then_some((key, index))
    }

    fn release(
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
        if let Some(tasks) = self.sent.get_mut(&agent) {
            tasks.remove(&id);
        }
    }

    fn lose_agent(&mut self, agent: AgentKey, now: Timestamp) {
        let tasks = self.sent.remove(&agent).unwrap_or_default();
        for task in tasks {
            self.on_incarnation_gone(agent, task, now);
        }
    }

    fn resolve(&mut self, key: JobKey, index: usize, progress: Progress, now: Timestamp) {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index];
        assert!(task.state().is_none(), "a task is resolved once");
        task.progress = progress;
        job.unresolved -= 1;
        if job.unresolved == 0 {
            self.finish(key, now);
        }
    }

    /// Takes queued tasks back and asks agents to fence the sent ones.
    fn stop_tasks(&mut self, key: JobKey, now: Timestamp) {
        let mut cancels: HashMap<AgentKey, Vec<TaskId>> = HashMap::new();
        for index in 0..self.jobs[key].tasks.len() {
            // The job ends with its last open task, which drops the tasks after it.
            let Some(job) = self.jobs.get(key).filter(|j| j.is_active()) else {
                break;
            };
            let id = TaskId {
                key: job.key,
                index: index as u16,
            };
            match job.tasks[index].progress {
                Progress::Queued(item) => {
                    self.queue
                        .remove(item)
                        .expect("a queued task is in the queue");
                    self.resolve(key, index, Progress::Ended(TaskState::NotStarted), now);
                }
                Progress::Unplaced => {
                    self.resolve(key, index, Progress::Ended(TaskState::NotStarted), now);
                }
                Progress::Sent(agent) => cancels.entry(agent).or_default().push(id),
                Progress::Done(_) | Progress::Ended(_) => {}
            }
        }
        let cancels = cancels
            .into_iter()
            .map(|(agent, tasks)| Action::Cancel { agent, tasks });
        self.actions.extend(cancels);
    }

    /// First passes at the deadline: stops what did not start. After the grace, what is still out may have run.
    fn pass_deadline(&mut self, key: JobKey, now: Timestamp) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.phase, Phase::Collecting(_)) {
            return self.finish_collect(key, now);
        }
        if !job.is_active() {
            return;
        }
        if now < job.deadline + self.limits.cancel_grace {
            let again = job.deadline + self.limits.cancel_grace;
            self.stop_tasks(key, now);
            if self.jobs.get(key).is_some_and(Job::is_active) {
                self.deadlines.insert((again, key));
            }
            return;
        }
        let is_unsent =
            |t: &job::Task| matches!(t.progress, Progress::Queued(_) | Progress::Unplaced);
        // A driver that was held up may call for the first time after the grace.
        if job.tasks.iter().any(is_unsent) {
            self.stop_tasks(key, now);
        }
        let job = self.jobs.get(key).filter(|j| j.is_active());
        let sent: Vec<(usize, AgentKey)> = job
            .into_iter()
            .flat_map(|j| j.tasks.iter().enumerate())
            .filter_map(|(i, task)| match task.progress {
                Progress::Sent(agent) => Some((i, agent)),
                _ => None,
            })
            .collect();
        for (index, agent) in sent {
            self.release(key, index, agent, HealthSample::Inconclusive, now);
            self.resolve(key, index, Progress::Ended(TaskState::MayHaveRun), now);
        }
    }
}

fn sample(verdict: &RunOutcome) -> HealthSample {
    match verdict {
        RunOutcome::Ran {
            result: TaskResult::Done(_),
            run,
        } => HealthSample::Success(*run),
        RunOutcome::Ran { .. } => HealthSample::Failure,
        RunOutcome::ResultDropped | RunOutcome::NotStarted(_) => HealthSample::Inconclusive,
    }
}

fn not_started(count: usize) -> Vec<TaskState> {
    vec![TaskState::NotStarted; count]
}
