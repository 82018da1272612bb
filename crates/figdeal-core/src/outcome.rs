//! Outcomes of submissions and tasks, as callers see them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Final state of one task, listed for a submission that did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The upstream ran the task and reported success.
    Done,
    /// The upstream ran the task and reported a failure.
    Failed,
    /// The task was sent to an agent and it is unknown whether it ran.
    MayHaveRun,
    /// The task never started and never will.
    NotStarted,
}

/// Why a submission was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue of a kind or of the entry is full.
    QueueFull,
    /// The estimated completion time is later than the deadline.
    DeadlineUnreachable,
    /// The deadline passed before any task started.
    DeadlinePassed,
    /// No available upstream accepts the kind or the size of the tasks.
    Unplaceable,
    /// The submission would exceed the number of tasks in progress that the quota of the team allows.
    QuotaExceeded,
    /// The entry that accepted the submission is gone and had not started any task.
    OwnerLost,
}

/// The final answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task succeeded; contains one result for each task, in order.
    Complete(Vec<Vec<u8>>),
    /// At least one task failed or may have run.
    Failed(Vec<TaskState>),
    /// No task was started, and none will be.
    NotRun {
        /// Why the submission was not run.
        reason: RefusalReason,
        /// Time after which a new submission may be accepted.
        retry_after: Duration,
    },
    /// The caller cancelled the submission.
    Cancelled(Vec<TaskState>),
}

impl Outcome {
    /// Returns the name of the outcome in answers and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Complete(_) => "complete",
            Outcome::Failed(_) => "failed",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Cancelled(_) => "cancelled",
        }
    }
}
