//! Output of an entry: answers to callers, actions for the driver, and counts.

use std::{sync::Arc, time::Duration};

use super::job::WaiterId;
use crate::{
    fleet::AgentKey,
    id::{Digest, EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    outcome::Outcome,
    time::UnixMillis,
};

/// Answer to a request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The final outcome of the submission.
    Final(Arc<Outcome>),
    /// The job has no final outcome yet.
    Running,
    /// The id was used before with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// This entry does not know the submission.
    Unknown,
    /// This entry could not determine whether the submission may start; the caller may ask again with the same id.
    Undecided,
    /// The creation time lies in the future.
    CreatedInFuture,
}

/// A submission that is taken over, because its owner did not answer.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverRequest {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Hash of its content.
    pub digest: Digest,
    /// When the caller created the submission.
    pub created: UnixMillis,
    /// The owner that did not answer.
    pub owner: (EntryId, Incarnation),
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResult {
    /// This entry incarnation is the owner and may start tasks.
    Owner,
    /// Another entry incarnation is the owner.
    OwnedBy(EntryId, Incarnation),
    /// This entry took over from a dead owner and only collects results.
    Collector,
    /// The id was claimed before with another content.
    Conflict,
    /// The submission is older than the retention.
    Expired,
    /// The claim did not determine an owner, for example because no quorum answered.
    Undecided,
    /// The creation time lies in the future.
    CreatedInFuture,
}

/// A task to send to an agent.
#[derive(Debug, Clone)]
pub struct TaskDispatch {
    /// The agent that gets the task.
    pub agent: AgentKey,
    /// Identity of the task.
    pub task: TaskId,
    /// Kind of the task.
    pub kind: KindId,
    /// Team that submitted the task.
    pub team: TeamId,
    /// Estimated remaining work of its job in microseconds.
    pub remaining_work_us: u64,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Payload for the upstream.
    pub payload: Arc<[u8]>,
}

/// Action that the driver of the entry has to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Claim a submission.
    Claim {
        /// Key of the submission.
        key: SubmissionKey,
        /// Hash of its content.
        digest: Digest,
        /// When the caller created the submission.
        created: UnixMillis,
        /// The dead owner, if this is a takeover.
        dead_owner: Option<(EntryId, Incarnation)>,
    },
    /// Ask the owner for the answer and wait for it.
    AwaitAnswer {
        /// Key of the submission.
        key: SubmissionKey,
        /// Entry that owns the submission.
        owner: EntryId,
        /// Incarnation of the owning entry.
        incarnation: Incarnation,
    },
    /// Send a task to an agent.
    Run(TaskDispatch),
    /// Query an agent for the outcome of a task that was sent to it.
    Query {
        /// Agent to which the task was sent.
        agent: AgentKey,
        /// Id of the task.
        task: TaskId,
    },
    /// Ask an agent to cancel tasks; it fences those that have not started.
    Cancel {
        /// Agent to which the tasks were sent.
        agent: AgentKey,
        /// Ids of the tasks.
        tasks: Vec<TaskId>,
    },
    /// Ask an agent for the results that it holds of a submission and let it fence the tasks that have not started.
    Collect {
        /// Agent that may hold results.
        agent: AgentKey,
        /// Key of the submission.
        key: SubmissionKey,
        /// Timeout of the request.
        timeout: Duration,
    },
    /// Ask the owner to cancel a submission; its answer comes with [`Action::AwaitAnswer`].
    CancelAtOwner {
        /// Key of the submission.
        key: SubmissionKey,
        /// Entry that owns the submission.
        owner: EntryId,
    },
    /// Answer a caller.
    Answer {
        /// Id of the waiting request.
        waiter: WaiterId,
        /// Answer to the request.
        answer: Answer,
    },
}

/// Counts of events since the start of the entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryCounts {
    /// Tasks sent to an agent, counting each time.
    pub sent: u64,
    /// Tasks queued again after an agent did not start them.
    pub replaced: u64,
    /// Jobs with the outcome `Complete`.
    pub complete: u64,
    /// Jobs with the outcome `Failed`.
    pub failed: u64,
    /// Jobs with the outcome `NotRun`.
    pub refused: u64,
    /// Jobs with the outcome `Cancelled`.
    pub cancelled: u64,
}

/// A finished job that this entry owned.
#[derive(Debug, Clone)]
pub struct FinishedJob {
    /// Team that submitted the job.
    pub team: TeamId,
    /// Final outcome of the job.
    pub outcome: Arc<Outcome>,
    /// Time from the arrival of the job to its outcome.
    pub response_time: Duration,
    /// Kind and deadline of each task, in order.
    pub tasks: Vec<(KindId, Duration)>,
}
