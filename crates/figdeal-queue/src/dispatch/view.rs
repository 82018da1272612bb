//! What the leader knows about agents, jobs and tasks.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::{
    AgentKey,
    backlog::{BacklogKey, Class},
    overload::millis,
    racks::{RackKey, RackWait},
    retry::FailedRun,
    room::RoomEntry,
    start_flow::StartFlow,
    worker_health::WorkerHealth,
};
use crate::{
    job::{JobSpec, Policy, Resources, TaskId},
    message::{Order, WorkerInfo},
};

/// A volatile job expires after its response-time goal multiplied by this.
const EXPIRY_FACTOR: u32 = 3;

/// What a job holds in the books of the dispatcher, beside its steps.
pub const BOOK_BYTES_PER_JOB: usize = size_of::<JobView>();
/// What a step holds in the books of the dispatcher, beside its tasks.
pub const BOOK_BYTES_PER_STEP: usize = size_of::<StepView>();
/// What a task holds in the books of the dispatcher: its state, its index among the ready ones, and the number of its
/// starts with its key.
pub const BOOK_BYTES_PER_TASK: usize =
    size_of::<TaskState>() + 2 * size_of::<u32>() + 2 * size_of::<((u16, u32), u64)>();

/// A run that the leader has ordered.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedRun {
    pub(super) run: u64,
    pub(super) needs: Resources,
    /// Newest reported progress.
    pub(super) progress_percent: u8,
    /// When the run was placed or adopted, or when its progress last grew.
    pub(super) progressed_at: Timestamp,
    /// Number of the orders message that carried the start.
    pub(super) orders_number: u64,
    /// Run time as estimated by the caller.
    pub(super) estimate_ms: u32,
    /// Factor by which the run takes longer because of the place of its data; 1 in the rack of the data.
    pub(super) remote_factor: f64,
    /// When the run was placed or adopted.
    pub(super) placed_at: Timestamp,
    /// When the run is expected to end.
    pub(super) expected_end: Timestamp,
    /// Rack of the data of the task, if it is known.
    pub(super) data_rack: Option<RackKey>,
    /// Number of the orders message that carried the stop, if one was ordered.
    pub(super) stop_number: Option<u64>,
    /// Whether the worker has told that it has started the run.
    pub(super) confirmed: bool,
    /// Backlog of the queue that the run belongs to.
    pub(super) backlog: BacklogKey,
}

impl PlacedRun {
    /// Returns whether a stop was ordered.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop_number.is_some()
    }

    /// Records the progress that the agent has reported.
    pub(super) fn record_progress(&mut self, now: Timestamp, percent: u8) {
        if percent > self.progress_percent {
            self.progress_percent = percent;
            self.progressed_at = now;
        }
    }
}

/// What the leader knows about an agent.
#[derive(Debug)]
pub(super) struct AgentView {
    pub(super) address: SocketAddr,
    /// Identity of the agent's process.
    pub(super) session: u64,
    /// Fencing token of the session's registration.
    pub(super) fence: u64,
    /// Whether `session` is registered in the log; otherwise the entry for that is not committed yet.
    pub(super) registered: bool,
    /// Whether the agent has sent no report for so long that it has to register again.
    pub(super) given_up: bool,
    /// Whether the removal of the agent from the log is proposed and not committed yet.
    pub(super) deregistering: bool,
    /// Newest `sent_us` of the agent; its lease counts from it.
    pub(super) lease_start_us: u64,
    /// When the agent last reported or announced itself.
    pub(super) heard_at: Timestamp,
    /// When the session was first heard of.
    pub(super) joined_at: Timestamp,
    /// Whether the agent has sent a report since it last announced itself.
    pub(super) has_reported: bool,
    /// Whether the agent has reported all runs of the session.
    pub(super) runs_known: bool,
    /// Number of the newest orders message to the agent.
    pub(super) last_orders: u64,
    /// Number of the newest orders message that the agent had received when it sent a report.
    pub(super) received_orders: u64,
    /// Number of the newest event received from the session; `None` before its first report.
    pub(super) received_event: Option<u64>,
    /// Events that are not acknowledged to the agent, each with the batch that must be committed first.
    pub(super) unacked_events: VecDeque<(u64, u64)>,
    /// Number of the newest event that may be acknowledged to the agent.
    pub(super) acked_event: u64,
    pub(super) worker: Option<WorkerInfo>,
    /// Time until which the worker is slow because its caches are cold; `None` if it is not.
    pub(super) cold_until: Option<Timestamp>,
    /// Runs ordered or adopted whose end is not known.
    pub(super) placed: BTreeMap<TaskId, PlacedRun>,
    /// Sum of the needs of the placed runs.
    pub(super) used: Resources,
    /// Entry in the index of free room, if the worker may take tasks.
    pub(super) room: Option<RoomEntry>,
    /// Known racks that the worker is in.
    pub(super) racks: Vec<RackKey>,
    pub(super) health: WorkerHealth,
    /// Starts that the agent has not carried out yet.
    pub(super) start_flow: StartFlow,
    /// Orders for the next message to the agent.
    pub(super) outbox: Vec<Order>,
    /// Whether a message to the agent is due.
    pub(super) orders_due: bool,
}

impl AgentView {
    /// Returns whether a report has told that the agent had received the order to start this run.
    pub(super) fn has_received(&self, placed: &PlacedRun) -> bool {
        placed.orders_number <= self.received_orders
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskState {
    /// Waits for earlier steps, or for the reports of agents after a change of the leader.
    Blocked,
    Ready,
    /// A run with this number was ordered from the agent.
    Placed(AgentKey, u64),
    /// The task has ended as done (`true`) or failed, and the entry for that is not committed yet.
    EndPending(bool),
    Done,
}

#[derive(Debug)]
pub(super) struct StepView {
    pub(super) tasks: Vec<TaskState>,
    /// Indexes of the tasks that may be started.
    pub(super) ready_tasks: BTreeSet<u32>,
    /// Number of tasks that are not done.
    pub(super) open_tasks: u32,
    pub(super) depends_on: Vec<u16>,
    /// Latest start of a task of this step that still meets the response-time goal.
    pub(super) latest_start: Timestamp,
    /// Class of the step in its backlog.
    pub(super) class: Class,
    /// Wait for the rack of the step's data; until its end the step is not placed.
    pub(super) rack_wait: Option<RackWait>,
    /// Since when the step has waited for its rack, if no task has started since.
    pub(super) waiting_since: Option<Timestamp>,
}

/// How a volatile job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VolatileOutcome {
    /// All tasks are done.
    Done,
    /// A task reached the maximum number of failed runs.
    Failed,
    /// The job would miss its goal, and no task of it has started.
    Refused,
    /// The response-time goal is exceeded by so much that the outcome is useless; tasks of the job may have run.
    Expired,
}

/// How a volatile job was submitted to this leader.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// Time since the job arrived at its entry node.
    pub age: Duration,
    /// Whether the entry node has already handed the job to a leader, so that tasks of it may have run.
    pub resubmitted: bool,
}

/// Response-time goal of a job.
pub(super) struct ResponseGoal {
    /// Factor of the critical path in the goal.
    pub(super) factor: f32,
    /// Constant part of the goal in milliseconds.
    pub(super) slack_ms: u32,
    /// Time since the job arrived.
    pub(super) age: Duration,
}

impl ResponseGoal {
    pub(super) fn new(policy: &Policy, age: Duration) -> ResponseGoal {
        ResponseGoal {
            factor: policy.goal_factor,
            slack_ms: policy.goal_slack_ms,
            age,
        }
    }
}

#[derive(Debug)]
pub(super) struct JobView {
    pub(super) queue: String,
    /// Backlog of the queue.
    pub(super) backlog: BacklogKey,
    pub(super) spec: Arc<JobSpec>,
    /// Number of failed runs of a task after which the job fails.
    pub(super) max_attempts: u32,
    /// Failed runs of a volatile job, by step and task; those of other jobs are in the log.
    pub(super) failures: HashMap<(u16, u32), u32>,
    /// Number of starts in this term, by step and task.
    pub(super) start_counts: HashMap<(u16, u32), u64>,
    /// Number of runs that were stopped because they were too slow, by step and task.
    pub(super) slow_stops: HashMap<(u16, u32), u32>,
    /// Last failed runs, by step and task.
    pub(super) last_failures: HashMap<(u16, u32), FailedRun>,
    /// Number of the run before the first one of this leader.
    pub(super) base_run: u64,
    pub(super) steps: Vec<StepView>,
    /// Whether a run of the job was ordered, as far as this leader knows. The worker may have refused it.
    pub(super) started: bool,
    /// Whether a task of the job has started, as far as this leader knows.
    pub(super) begun: bool,
    /// Whether the tasks have to wait, because an unknown run of an earlier leader may exist.
    pub(super) is_held: bool,
    /// Whether an earlier leader may have started tasks of the job.
    pub(super) resubmitted: bool,
    /// When this leader accepted the job or took it over from the log.
    pub(super) taken_at: Timestamp,
    /// Time from which on the outcome of the job is useless, if it is volatile.
    pub(super) expires_at: Timestamp,
}

impl JobView {
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskState> {
        let step = self.steps.get_mut(usize::from(task.step))?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Creates a job whose tasks are all blocked. `ratio` is the average ratio of run time to estimate of its queue.
    pub(super) fn new(
        now: Timestamp,
        queue: &str,
        backlog: BacklogKey,
        spec: &Arc<JobSpec>,
        goal: ResponseGoal,
        ratio: f64,
    ) -> JobView {
        let critical_paths = spec.critical_paths_ms();
        let longest_path = critical_paths.iter().copied().max().unwrap_or(0);
        let goal_time =
            millis(longest_path as f64 * ratio * f64::from(goal.factor) + f64::from(goal.slack_ms));
        let latest_start = |critical_path: u64| {
            let slack = goal_time.saturating_sub(millis(critical_path as f64 * ratio));
            now + slack - goal.age
        };
        let steps = spec
            .steps
            .iter()
            .zip(&critical_paths)
            .map(|(step, critical_path)| StepView {
                tasks: vec![TaskState::Blocked; step.count as usize],
                ready_tasks: BTreeSet::new(),
                open_tasks: step.count,
                depends_on: step.depends_on.clone(),
                latest_start: latest_start(*critical_path),
                class: Class::Waiting,
                rack_wait: None,
                waiting_since: None,
            });
        JobView {
            queue: queue.to_owned(),
            backlog,
            spec: Arc::clone(spec),
            max_attempts: 1,
            failures: HashMap::new(),
            start_counts: HashMap::new(),
            slow_stops: HashMap::new(),
            last_failures: HashMap::new(),
            base_run: 0,
            steps: steps.collect(),
            started: false,
            begun: false,
            is_held: false,
            resubmitted: false,
            taken_at: now,
            expires_at: now + goal_time * EXPIRY_FACTOR - goal.age,
        }
    }
}
