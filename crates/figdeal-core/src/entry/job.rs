//! Jobs and tasks as the owning entry tracks them.

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
    /// A job in the table of one entry.
    pub struct JobKey;
}

/// A caller's request that waits for an answer; the driver assigns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// A request that waits, and when it is told to ask again at the latest.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) id: WaiterId,
    pub(super) until: Timestamp,
}

/// A checked submission.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identity of the submission.
    pub key: SubmissionKey,
    /// Hash of its content.
    pub digest: Digest,
    /// When the caller created it.
    pub created: UnixMillis,
    /// The team that submits it.
    pub team: TeamId,
    /// Its tasks; at least one.
    pub tasks: Vec<TaskSpec>,
}

/// A task as the caller described it.
#[derive(Debug, Clone)]
pub struct TaskSpec {
    /// The kind of the task.
    pub kind: KindId,
    /// Bytes that the upstream gets untouched.
    pub payload: Arc<[u8]>,
    /// Time from the arrival of the job until the answer is worthless.
    pub deadline: Duration,
    /// Declared size.
    pub size: u32,
    /// Declared run time.
    pub declared_run_time: Option<Duration>,
}

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Progress {
    /// Waits in the queue of the entry.
    Queued(ItemKey),
    /// No live agent accepts it at the moment.
    Unplaced,
    /// Was sent to an agent.
    Sent(AgentKey),
    /// Succeeded.
    Done(Vec<u8>),
    /// FinishedJob without success.
    Ended(TaskState),
}

#[derive(Debug)]
pub(super) struct Task {
    pub(super) spec: TaskSpec,
    pub(super) progress: Progress,
    pub(super) attempts: u32,
}

impl Task {
    pub(super) fn state(&self) -> Option<TaskState> {
        match &self.progress {
            Progress::Queued(_) | Progress::Unplaced | Progress::Sent(_) => None,
            Progress::Done(_) => Some(TaskState::Done),
            Progress::Ended(state) => Some(*state),
        }
    }
}

/// Results that a collector has found so far.
#[derive(Debug, Default)]
pub(super) struct Collection {
    pub(super) results: Vec<Option<Vec<u8>>>,
    pub(super) states: Vec<TaskState>,
    pub(super) agents: Vec<AgentKey>,
}

/// Phase of a job in the table of one entry.
#[derive(Debug)]
pub(super) enum Phase {
    /// The claim is being decided.
    Claiming,
    /// This entry owns the job and runs it.
    Active,
    /// Another entry owns it and was asked for the answer.
    Remote {
        owner: EntryId,
        incarnation: Incarnation,
    },
    /// The owner is gone and this entry collects what the agents hold.
    Collecting(Collection),
    /// The answer is final.
    Finished(Arc<Outcome>),
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: SubmissionKey,
    pub(super) digest: Digest,
    pub(super) created: UnixMillis,
    pub(super) team: TeamId,
    pub(super) tasks: Vec<Task>,
    pub(super) phase: Phase,
    pub(super) waiters: Vec<Waiter>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) unresolved: usize,
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
                progress: Progress::Unplaced,
                attempts: 0,
            })
            .collect();
        Job {
            key: submission.key,
            digest: submission.digest,
            created: submission.created,
            team: submission.team,
            unresolved: tasks.len(),
            tasks,
            phase: Phase::Claiming,
            waiters: Vec::new(),
            arrived: now,
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
        matches!(self.phase, Phase::Active)
    }
}
