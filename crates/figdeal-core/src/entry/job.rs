//! Jobs and tasks in the table of an entry.

use std::{sync::Arc, time::Duration};

use slotmap::new_key_type;

use crate::{
    fair_queue::ItemKey,
    fleet::AgentKey,
    id::{Digest, EntryId, Incarnation, KindId, SubmissionKey, TeamId},
    outcome::{Outcome, TaskState},
    time::{Timestamp, UnixMillis},
};

new_key_type! {
    /// Key of a job in the table of one entry.
    pub struct JobKey;
}

/// Id of a request that waits for an answer, assigned by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// A waiting request and the time at which it gets `Undecided` if there is no outcome.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) id: WaiterId,
    pub(super) deadline: Timestamp,
}

/// A validated submission.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Hash of its content.
    pub digest: Digest,
    /// When the caller created the submission.
    pub created: UnixMillis,
    /// Team whose quota the tasks count against.
    pub team: TeamId,
    /// Its tasks, at least one.
    pub tasks: Vec<TaskSpec>,
}

/// A task as described by the caller.
#[derive(Debug, Clone)]
pub struct TaskSpec {
    /// Kind of the task.
    pub kind: KindId,
    /// Bytes that are passed to the upstream unchanged.
    pub payload: Arc<[u8]>,
    /// Time from the arrival of the job after which the answer has no value to the caller.
    pub deadline: Duration,
    /// Size declared by the caller.
    pub size: u32,
    /// Run time declared by the caller.
    pub declared_run_time: Option<Duration>,
}

/// Progress of a task at the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TaskProgress {
    /// The task is in the queue of this entry.
    Queued(ItemKey),
    /// The job has not been admitted, or no available agent accepts the task at the moment.
    Unplaced,
    /// The task was sent to this agent and has no outcome yet.
    Sent(AgentKey),
    /// The task succeeded with this result.
    Done(Vec<u8>),
    /// The task ended without success.
    Ended(TaskState),
}

/// A task of a job that this entry owns.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) spec: TaskSpec,
    pub(super) progress: TaskProgress,
    pub(super) dispatch_attempts: u32,
}

impl Task {
    /// Returns the final state, `None` if the task is open.
    pub(super) fn state(&self) -> Option<TaskState> {
        match &self.progress {
            TaskProgress::Queued(_) | TaskProgress::Unplaced | TaskProgress::Sent(_) => None,
            TaskProgress::Done(_) => Some(TaskState::Done),
            TaskProgress::Ended(state) => Some(*state),
        }
    }
}

/// Results that a collector has received so far, by task index.
#[derive(Debug, Default)]
pub(super) struct PartialResults {
    /// Results of the tasks that succeeded.
    pub(super) results: Vec<Option<Vec<u8>>>,
    /// States of all tasks, `MayHaveRun` for those without a result.
    pub(super) states: Vec<TaskState>,
    /// Agents that have not answered yet.
    pub(super) pending_agents: Vec<AgentKey>,
}

/// Phase of a job at this entry.
#[derive(Debug)]
pub(super) enum JobPhase {
    /// The claim of this entry is in progress.
    Claiming,
    /// This entry owns the job and runs its tasks.
    Active,
    /// Another entry owns the job and was asked for the answer.
    OwnedElsewhere {
        owner: EntryId,
        incarnation: Incarnation,
    },
    /// The owner is gone and this entry collects the results from the agents.
    Collecting(PartialResults),
    /// The job has its final outcome.
    Finished(Arc<Outcome>),
}

/// A job in the table of an entry. It has no tasks if the entry took it over for a fetch, or after it finished.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: SubmissionKey,
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    pub(super) team: TeamId,
    pub(super) tasks: Vec<Task>,
    pub(super) phase: JobPhase,
    pub(super) waiters: Vec<Waiter>,
    pub(super) arrived_at: Timestamp,
    /// Longest deadline of the tasks, or the end of a collection.
    pub(super) deadline: Timestamp,
    /// Number of tasks without a final state.
    pub(super) unresolved_tasks: usize,
    pub(super) is_cancelled: bool,
}

impl Job {
    pub(super) fn new(submission: Submission, now: Timestamp) -> Job {
        let longest = submission
            .tasks
            .iter()
            .map(|t| t.deadline)
            .max()
            .unwrap_or_default();
        let tasks: Vec<Task> = submission
            .tasks
            .into_iter()
            .map(|spec| Task {
                spec,
                progress: TaskProgress::Unplaced,
                dispatch_attempts: 0,
            })
            .collect();
        Job {
            key: submission.key,
            digest: submission.digest,
            created: submission.created,
            team: submission.team,
            unresolved_tasks: tasks.len(),
            tasks,
            phase: JobPhase::Claiming,
            waiters: Vec::new(),
            arrived_at: now,
            deadline: now + longest,
            is_cancelled: false,
        }
    }

    pub(super) fn states(&self) -> Vec<TaskState> {
        self.tasks
            .iter()
            .map(|t| t.state().expect("every task is resolved"))
            .collect()
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, JobPhase::Active)
    }
}
