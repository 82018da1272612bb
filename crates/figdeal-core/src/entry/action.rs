//! What an entry decides: answers to callers, actions for the driver, counts.

use std::{sync::Arc, time::Duration};

use super::job::WaiterId;
use crate::{
    fleet::AgentKey,
    id::{Digest, EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    outcome::Outcome,
    time::UnixMillis,
};

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
    CreatedInFuture,
}

/// A submission whose owner is gone.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverRequest {
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
pub enum ClaimResult {
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
    CreatedInFuture,
}

/// A task on its way to an agent.
#[derive(Debug, Clone)]
pub struct TaskDispatch {
    /// The agent that gets the task.
    pub agent: AgentKey,
    /// Identity of the task.
    pub task: TaskId,
    /// Its kind.
    pub kind: KindId,
    /// Its team.
    pub team: TeamId,
    /// Remaining work of its job in microseconds.
    pub remaining_work_us: u64,
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
    Run(TaskDispatch),
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

/// EntryCounts of what the entry did since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryCounts {
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
pub struct FinishedJob {
    /// The team that submitted it.
    pub team: TeamId,
    /// The outcome.
    pub outcome: Arc<Outcome>,
    /// Time from the arrival to the outcome.
    pub response: Duration,
    /// Kind and deadline of each task, in order.
    pub tasks: Vec<(KindId, Duration)>,
}
