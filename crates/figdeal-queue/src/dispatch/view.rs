//! What the leader knows of agents, jobs and tasks.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::{AgentKey, worker_health::WorkerHealth};
use crate::{
    job::{JobSpec, Policy, Resources, TaskId},
    message::{Order, WorkerInfo},
};

/// Place of the steps that have missed their goal, after every priority.
pub(super) const LATE_CLASS: u8 = 128;
/// A late outcome is of use up to this many times the goal.
const EXPIRY_FACTOR: u64 = 3;

/// A run that the leader has ordered.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedRun {
    pub(super) run: u64,
    pub(super) needs: Resources,
    pub(super) placed_at: Timestamp,
    /// Number of the orders that carried the start.
    pub(super) orders_number: u64,
    /// Estimate of the caller in milliseconds.
    pub(super) estimate_ms: u32,
    pub(super) stopping: bool,
}

/// What the leader knows of an agent.
#[derive(Debug)]
pub(super) struct AgentView {
    pub(super) address: SocketAddr,
    pub(super) session: u64,
    pub(super) fence: u64,
    /// Enrolled in the log under `session`; an entry for it is on its way otherwise.
    pub(super) registered: bool,
    pub(super) deregistering: bool,
    pub(super) lease_start_us: u64,
    pub(super) heard_at: Timestamp,
    /// The runs of the session are known.
    pub(super) runs_known: bool,
    pub(super) last_orders: u64,
    pub(super) received_event: Option<u64>,
    /// Events that are not taken for good, with the batch that must be committed first.
    pub(super) unacked_events: VecDeque<(u64, u64)>,
    pub(super) acked_event: u64,
    pub(super) worker: Option<WorkerInfo>,
    pub(super) placed: BTreeMap<TaskId, PlacedRun>,
    pub(super) used: Resources,
    pub(super) health: WorkerHealth,
    pub(super) outbox: Vec<Order>,
    pub(super) orders_due: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskState {
    /// Waits for earlier steps, or for the agents after a change of the leader.
    Blocked,
    Ready,
    Placed(AgentKey, u64),
    /// It has ended as done or not, and the entry that says so is not committed yet.
    EndPending(bool),
    Done,
}

#[derive(Debug)]
pub(super) struct StepView {
    pub(super) tasks: Vec<TaskState>,
    pub(super) ready_tasks: VecDeque<u32>,
    pub(super) open_tasks: u32,
    pub(super) depends_on: Vec<u16>,
    /// Latest time to start a task of this step that still meets the goal.
    pub(super) latest_start: Timestamp,
    /// Its place among the ready steps.
    pub(super) class: u8,
}

/// How a volatile job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VolatileOutcome {
    /// All tasks are done.
    Done,
    /// A task has failed as often as its queue allows.
    Failed,
    /// It would miss its goal, and no task of it has started.
    Refused,
    /// It is of no use any more, and tasks of it may have run.
    Expired,
}

/// How a volatile job came to this leader.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// Time since it arrived at its node.
    pub age: Duration,
    /// Its node has handed it to a leader before, so tasks of it may have run.
    pub resubmitted: bool,
}

/// How long a job may take.
pub(super) struct ResponseGoal {
    /// 0 comes first.
    pub(super) priority: u8,
    /// The goal allows this many times the chain of work.
    pub(super) factor: f32,
    /// Milliseconds that it allows besides.
    pub(super) slack_ms: u32,
    /// Time since the job arrived.
    pub(super) age: Duration,
}

impl ResponseGoal {
    pub(super) fn new(policy: &Policy, age: Duration) -> ResponseGoal {
        ResponseGoal {
            priority: policy.priority,
            factor: policy.goal_factor,
            slack_ms: policy.goal_slack_ms,
            age,
        }
    }
}

#[derive(Debug)]
pub(super) struct JobView {
    pub(super) queue: String,
    pub(super) pool: String,
    pub(super) spec: Arc<JobSpec>,
    /// Failed runs after which the job has failed.
    pub(super) max_attempts: u32,
    /// Failed runs of a volatile job by task; those of other jobs are in the log.
    pub(super) failures: HashMap<(u16, u32), u32>,
    /// Starts in this term by task.
    pub(super) start_counts: HashMap<(u16, u32), u64>,
    /// The number before the first run of this leader.
    pub(super) base_run: u64,
    pub(super) steps: Vec<StepView>,
    pub(super) started: bool,
    pub(super) is_held: bool,
    /// It has been at a leader before, so tasks of it may have run.
    pub(super) resubmitted: bool,
    /// When this leader took it.
    pub(super) taken_at: Timestamp,
    /// From then on its outcome is of no use.
    pub(super) expires_at: Timestamp,
}

impl JobView {
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskState> {
        let step = self.steps.get_mut(usize::from(task.step))?;
        step.tasks.get_mut(task.index as usize)
    }

    /// A job whose tasks all wait. `bias` is the run time of tasks of its queue against their estimates.
    pub(super) fn new(
        now: Timestamp,
        queue: &str,
        pool: &str,
        spec: &Arc<JobSpec>,
        goal: ResponseGoal,
        bias: f64,
    ) -> JobView {
        let chains = spec.critical_paths_ms();
        let total = chains.iter().copied().max().unwrap_or(0);
        let limit =
            (total as f64 * bias * f64::from(goal.factor)) as u64 + u64::from(goal.slack_ms);
        let latest = |chain: u64| {
            let slack = limit.saturating_sub((chain as f64 * bias) as u64);
            now + Duration::from_millis(slack) - goal.age
        };
        let steps = spec
            .steps
            .iter()
            .zip(&chains)
            .map(|(step, chain)| StepView {
                tasks: vec![TaskState::Blocked; step.count as usize],
                ready_tasks: VecDeque::new(),
                open_tasks: step.count,
                depends_on: step.depends_on.clone(),
                latest_start: latest(*chain),
                class: goal.priority.min(LATE_CLASS - 1),
            });
        JobView {
            queue: queue.to_owned(),
            pool: pool.to_owned(),
            spec: Arc::clone(spec),
            max_attempts: 1,
            failures: HashMap::new(),
            start_counts: HashMap::new(),
            base_run: 0,
            steps: steps.collect(),
            started: false,
            is_held: false,
            resubmitted: false,
            taken_at: now,
            expires_at: now + Duration::from_millis(limit * EXPIRY_FACTOR) - goal.age,
        }
    }
}
