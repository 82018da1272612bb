//! Decisions of an entry: admission, placement of its jobs' tasks, and the answers to callers.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use slotmap::SlotMap;

use self::job::{Job, Phase, Progress};
pub use self::{
    collect::Held,
    job::{JobKey, Submission, TaskSpec, WaiterId},
};
use crate::{
    agent::{Declined, Verdict},
    fleet::{AgentInfo, AgentKey, Announced, Fleet, FleetLimits, Lane, Load, Sample},
    id::{Digest, EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    ledger::TaskResult,
    outcome::{Outcome, Refusal, TaskState},
    runtime::RunTimes,
    share::{FairQueue, KindShare},
    time::{Timestamp, UnixMillis},
};

mod admit;
mod answer;
mod collect;
mod job;

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
    pub queued: usize,
    /// Largest number of jobs in the table. Finished ones make room for new ones; who asks for them later is told that
    /// they are no longer remembered.
    pub jobs: usize,
    /// Largest sum of the bytes of held answers.
    pub bytes: usize,
    /// How long a finished job is remembered.
    pub retention: Duration,
    /// Time after the deadline in which verdicts of cancelled tasks are awaited.
    pub grace: Duration,
    /// Time after which a task that no agent accepts is refused.
    pub unplaceable_after: Duration,
    /// A job with at most this much work left may take the slots that are kept free of large jobs.
    pub small_work: Duration,
    /// Placement and ejection.
    pub fleet: FleetLimits,
}

impl Default for EntryLimits {
    fn default() -> EntryLimits {
        EntryLimits {
            queued: 20_000,
            jobs: 50_000,
            bytes: 32 << 20,
            retention: Duration::from_secs(3600),
            grace: Duration::from_millis(500),
            unplaceable_after: Duration::from_secs(2),
            small_work: Duration::from_secs(4),
            fleet: FleetLimits::default(),
        }
    }
}

/// What a caller's request gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The final outcome.
    Final(Arc<Outcome>),
    /// The job is in progress.
    Running,
    /// The same id was used with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// The submission is not known here.
    Unknown,
    /// This entry could not find out whether the submission may start.
    Undecided,
    /// The creation time lies in the future.
    Future,
}

/// A submission whose owner is gone.
#[derive(Debug, Clone, Copy)]
pub struct Orphan {
    /// The submission.
    pub key: SubmissionKey,
    /// Hash of its content.
    pub digest: Digest,
    /// When the caller created it.
    pub created: UnixMillis,
    /// The owner that is gone.
    pub owner: (EntryId, Incarnation),
}

/// Decision of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimed {
    /// This entry incarnation is the owner and may start tasks.
    Owner,
    /// Another entry incarnation is the owner.
    OwnedBy(EntryId, Incarnation),
    /// This entry took over and only collects.
    Collector,
    /// The same id was claimed with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// No majority answered.
    Undecided,
    /// The creation time lies in the future.
    Future,
}

/// A task on its way to an agent.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The agent that gets the task.
    pub agent: AgentKey,
    /// Identity of the task.
    pub task: TaskId,
    /// Its kind.
    pub kind: KindId,
    /// Its team.
    pub team: TeamId,
    /// Remaining work of its job in microseconds.
    pub order: u64,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Bytes for the upstream.
    pub payload: Arc<[u8]>,
}

/// What the driver has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Decide who owns a submission.
    Claim {
        /// The submission.
        key: SubmissionKey,
        /// Hash of its content.
        digest: Digest,
        /// When the caller created it.
        created: UnixMillis,
        /// The owner that was found gone, when this is a takeover.
        dead: Option<(EntryId, Incarnation)>,
    },
    /// Ask the owner for the answer.
    AwaitAnswer {
        /// The submission.
        key: SubmissionKey,
        /// The owner.
        owner: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Send a task.
    Run(Dispatch),
    /// Ask an agent what became of a task that was sent.
    Query {
        /// The agent.
        agent: AgentKey,
        /// The task.
        task: TaskId,
    },
    /// Ask an agent to fence tasks.
    Cancel {
        /// The agent.
        agent: AgentKey,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Ask an agent for everything that it holds of a submission, and fence the rest.
    Collect {
        /// The agent.
        agent: AgentKey,
        /// The submission.
        key: SubmissionKey,
        /// How long its answer is awaited.
        remaining: Duration,
    },
    /// Ask the owner to cancel a submission; its answer comes with [`Action::AwaitAnswer`].
    CancelAtOwner {
        /// The submission.
        key: SubmissionKey,
        /// The owner.
        owner: EntryId,
    },
    /// Answer a caller.
    Answer {
        /// The request.
        waiter: WaiterId,
        /// The answer.
        answer: Answer,
    },
}

/// Counts of what the entry did since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Tasks that were sent to an agent.
    pub sent: u64,
    /// Tasks that were placed again.
    pub replaced: u64,
    /// Jobs that ended complete.
    pub complete: u64,
    /// Jobs that ended failed.
    pub failed: u64,
    /// Jobs that were not run.
    pub refused: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
}

/// A job that this entry owned and that has its final outcome.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The team that submitted it.
    pub team: TeamId,
    /// The outcome.
    pub outcome: Arc<Outcome>,
    /// Time from the arrival to the outcome.
    pub response: Duration,
    /// Kind and deadline of each task, in order.
    pub tasks: Vec<(KindId, Duration)>,
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
    times: RunTimes,
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
    counts: Counts,
    actions: Vec<Action>,
    ended: Vec<Ended>,
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
            times: RunTimes::default(),
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
            counts: Counts::default(),
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
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Takes a submission. The waiter gets the final answer, or [`Answer::Running`] at once without `wait`. When nothing
    /// is known shortly after the longest deadline of the tasks, it gets [`Answer::Undecided`].
    pub fn submit(&mut self, submission: Submission, waiter: WaiterId, wait: bool, now: Timestamp) {
        let longest = submission.tasks.iter().map(|t| t.deadline).max();
        let longest = longest.expect("a submission has tasks");
        let until = wait.then(|| now + longest + self.limits.grace);
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
    pub fn claimed(&mut self, id: SubmissionKey, claimed: Claimed, now: Timestamp) {
        let Some(&key) = self.keys.get(&id) else {
            return;
        };
        if !matches!(self.jobs[key].phase, Phase::Claiming) {
            return;
        }
        match claimed {
            // A takeover for a fetch has no content that could be started. Nobody else can start it from now on.
            Claimed::Owner if self.jobs[key].tasks.is_empty() => {
                self.refuse(key, Refusal::OwnerLost, now);
            }
            Claimed::Owner => self.admit(key, now),
            Claimed::OwnedBy(owner, incarnation) => {
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
            Claimed::Collector => self.start_collect(key, now),
            Claimed::Conflict => self.dismiss(key, Answer::Conflict),
            Claimed::Expired => self.dismiss(key, Answer::Expired),
            Claimed::Undecided => self.dismiss(key, Answer::Undecided),
            Claimed::Future => self.dismiss(key, Answer::Future),
        }
    }

    /// Takes what the owner answered; `None` when it is gone, which starts a takeover.
    pub fn remote_answer(&mut self, id: SubmissionKey, answer: Option<Answer>, now: Timestamp) {
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
    pub fn take_over(&mut self, orphan: Orphan, waiter: WaiterId, now: Timestamp) {
        if let Some(&key) = self.keys.get(&orphan.key) {
            let until = self.fetch_until(key, now);
            return self.wait_for(key, waiter, Some(until));
        }
        let Orphan {
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
    pub fn announce(&mut self, info: AgentInfo, load: Load, now: Timestamp) -> Option<AgentKey> {
        let key = match self.fleet.announce(info, load, now) {
            Announced::New(key) | Announced::Renewed(key) => key,
            Announced::Replaced { new, old } => {
                self.lose_agent(old, now);
                self.fleet.remove(old);
                new
            }
            Announced::Stale => return None,
        };
        self.retry_unplaced(now);
        self.dispatch(now);
        Some(key)
    }

    /// Takes the verdict on a task and the load that rode on it. A repeated or unexpected verdict is ignored.
    pub fn verdict(
        &mut self,
        agent: AgentKey,
        task: TaskId,
        verdict: Verdict,
        load: Option<Load>,
        now: Timestamp,
    ) {
        if let Some(load) = load {
            self.fleet.report(agent, load, now);
        }
        if let Some((key, index)) = self.find_sent(agent, task) {
            let kind = self.jobs[key].tasks[index].spec.kind;
            self.release(key, index, agent, sample(&verdict), now);
            match verdict {
                Verdict::Ran { result, run } => {
                    if !run.is_zero() {
                        let declared = self.jobs[key].tasks[index].spec.declared;
                        self.times.record_declared(kind, declared, run);
                    }
                    let progress = match result {
                        TaskResult::Done(bytes) => Progress::Done(bytes),
                        TaskResult::Failed => Progress::Ended(TaskState::Failed),
                        TaskResult::Unknown => Progress::Ended(TaskState::MayHaveRun),
                    };
                    self.resolve(key, index, progress, now);
                }
                Verdict::ResultDropped => {
                    self.resolve(key, index, Progress::Ended(TaskState::MayHaveRun), now);
                }
                Verdict::NotStarted(declined) => {
                    if matches!(declined, Declined::Draining | Declined::Incarnation) {
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
    pub fn unsent(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        self.set_aside(agent, now);
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.release(key, index, agent, Sample::Nothing, now);
            self.place_again(key, index, Declined::Draining, now);
        }
        self.dispatch(now);
    }

    /// Takes the loss of the connection that carried a task: its agent is asked again on a new connection.
    pub fn connection_lost(&mut self, agent: AgentKey, task: TaskId) {
        if self.find_sent(agent, task).is_some() {
            self.actions.push(Action::Query { agent, task });
        }
    }

    /// Takes the word of another incarnation of an agent that it knows nothing of a task.
    pub fn incarnation_gone(&mut self, agent: AgentKey, task: TaskId, now: Timestamp) {
        if let Some((key, index)) = self.find_sent(agent, task) {
            self.release(key, index, agent, Sample::Nothing, now);
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
    pub fn knows(&self, id: SubmissionKey) -> bool {
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

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Queues the longest tasks first, because a job waits for its last task.
    fn enqueue_all(&mut self, key: JobKey, now: Timestamp) {
        let job = &self.jobs[key];
        let estimates: Vec<Duration> = job
            .tasks
            .iter()
            .map(|t| self.times.estimate(t.spec.kind, t.spec.declared))
            .collect();
        let total: Duration = estimates.iter().sum();
        let mut indices: Vec<usize> = (0..job.tasks.len()).collect();
        indices.sort_by_key(|&i| std::cmp::Reverse(estimates[i]));
        for index in indices {
            self.enqueue(key, index, total.as_micros() as u64, now);
        }
    }

    fn enqueue(&mut self, key: JobKey, index: usize, order: u64, now: Timestamp) {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index];
        let (kind, size) = (task.spec.kind, task.spec.size);
        if !self.fleet.is_placeable(kind, size, now) {
            task.progress = Progress::Unplaced;
            let id = TaskId {
                key: job.key,
                index: index as u16,
            };
            self.unplaced
                .push_back((now + self.limits.unplaceable_after, id));
            return;
        }
        let item = TaskRef {
            job: key,
            index: index as u16,
        };
        task.progress = Progress::Queued(self.queue.push(kind, job.team, order, item));
    }

    fn dispatch(&mut self, now: Timestamp) {
        loop {
            let open = self.open_kinds(now);
            let Some((item, task_ref)) = self.queue.pop(|kind| open.contains(&kind)) else {
                return;
            };
            let job = &mut self.jobs[task_ref.job];
            let index = usize::from(task_ref.index);
            let task = &mut job.tasks[index];
            let id = TaskId {
                key: job.key,
                index: task_ref.index,
            };
            let mean = self.times.estimate(task.spec.kind, task.spec.declared);
            let left = mean.as_micros() as u64 * job.unresolved as u64;
            let is_small = item.order() <= self.limits.small_work.as_micros() as u64;
            let lane = Lane {
                kind: task.spec.kind,
                is_small,
            };
            let Some(agent) = self.fleet.place_in(lane, task.spec.size, now) else {
                self.queue.finish(item.kind(), item.team());
                task.progress = Progress::Unplaced;
                self.unplaced
                    .push_back((now + self.limits.unplaceable_after, id));
                continue;
            };
            task.progress = Progress::Sent(agent);
            task.attempts += 1;
            self.counts.sent += 1;
            let dispatch = Dispatch {
                agent,
                task: id,
                kind: task.spec.kind,
                team: job.team,
                order: left,
                remaining: (job.arrived + task.spec.deadline).since(now),
                payload: Arc::clone(&task.spec.payload),
            };
            let is_new = self.sent.entry(agent).or_default().insert(id);
            assert!(is_new, "task {id} is sent to one agent once at a time");
            self.actions.push(Action::Run(dispatch));
        }
    }

    /// The kinds whose next task has room somewhere.
    fn open_kinds(&self, now: Timestamp) -> Vec<KindId> {
        let largest = self.limits.small_work.as_micros() as u64;
        let is_open = |kind: &KindId| {
            let is_small = self
                .queue
                .next_order(*kind)
                .is_some_and(|order| order <= largest);
            self.fleet.has_room_in(
                Lane {
                    kind: *kind,
                    is_small,
                },
                0,
                now,
            )
        };
        self.queue
            .backlog()
            .map(|(kind, _)| kind)
            .filter(is_open)
            .collect()
    }

    fn place_again(&mut self, key: JobKey, index: usize, declined: Declined, now: Timestamp) {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let is_late = job.arrived + task.spec.deadline <= now;
        let is_over = is_late || job.is_cancelled || task.attempts >= MAX_ATTEMPTS;
        if is_over || matches!(declined, Declined::Deadline | Declined::Cancelled) {
            return self.resolve(key, index, Progress::Ended(TaskState::NotStarted), now);
        }
        self.counts.replaced += 1;
        self.enqueue(key, index, 0, now);
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
        sample: Sample,
        now: Timestamp,
    ) {
        let job = &self.jobs[key];
        let kind = job.tasks[index].spec.kind;
        let id = TaskId {
            key: job.key,
            index: index as u16,
        };
        self.queue.finish(kind, job.team);
        self.fleet.settle(agent, kind, sample, now);
        if let Some(tasks) = self.sent.get_mut(&agent) {
            tasks.remove(&id);
        }
    }

    /// Gives an agent no new work until it announces itself again.
    fn set_aside(&mut self, agent: AgentKey, now: Timestamp) {
        let Some(known) = self.fleet.get(agent) else {
            return;
        };
        let mut info = known.info.clone();
        let load = known.load.clone();
        info.draining = true;
        self.fleet.announce(info, load, now);
    }

    fn lose_agent(&mut self, agent: AgentKey, now: Timestamp) {
        let tasks = self.sent.remove(&agent).unwrap_or_default();
        for task in tasks {
            self.incarnation_gone(agent, task, now);
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
        if now < job.deadline + self.limits.grace {
            let again = job.deadline + self.limits.grace;
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
            self.release(key, index, agent, Sample::Nothing, now);
            self.resolve(key, index, Progress::Ended(TaskState::MayHaveRun), now);
        }
    }

    fn retry_unplaced(&mut self, now: Timestamp) {
        for _ in 0..self.unplaced.len() {
            let Some((until, task)) = self.unplaced.pop_front() else {
                return;
            };
            let Some((key, index)) = self.find_unplaced(task) else {
                continue;
            };
            let spec = &self.jobs[key].tasks[index].spec;
            if self.fleet.is_placeable(spec.kind, spec.size, now) {
                self.enqueue(key, index, 0, now);
            } else {
                self.unplaced.push_back((until, task));
            }
        }
    }

    fn refuse_unplaced(&mut self, now: Timestamp) {
        while let Some(&(until, task)) = self.unplaced.front() {
            if until > now {
                return;
            }
            self.unplaced.pop_front();
            if let Some((key, index)) = self.find_unplaced(task) {
                self.resolve(key, index, Progress::Ended(TaskState::NotStarted), now);
            }
        }
    }

    fn find_unplaced(&self, task: TaskId) -> Option<(JobKey, usize)> {
        let &key = self.keys.get(&task.key)?;
        let job = &self.jobs[key];
        let index = usize::from(task.index);
        let is_unplaced = matches!(job.tasks.get(index)?.progress, Progress::Unplaced);
        (is_unplaced && job.is_active()).then_some((key, index))
    }
}

fn sample(verdict: &Verdict) -> Sample {
    match verdict {
        Verdict::Ran {
            result: TaskResult::Done(_),
            run,
        } => Sample::Success(*run),
        Verdict::Ran { .. } => Sample::Failure,
        Verdict::ResultDropped | Verdict::NotStarted(_) => Sample::Nothing,
    }
}

fn not_started(count: usize) -> Vec<TaskState> {
    vec![TaskState::NotStarted; count]
}
