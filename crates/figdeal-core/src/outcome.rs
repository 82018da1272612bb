//! What a caller is told about a submission.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// State of one task in an answer that is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The upstream ran the task and reported success.
    Done,
    /// The upstream ran the task and reported a failure.
    Failed,
    /// The task was handed over and its fate is unknown.
    MayHaveRun,
    /// The task never started and never will.
    NotStarted,
}

/// Why a submission was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue of the kind or of the entry is full.
    QueueFull,
    /// The estimated completion is later than the deadline.
    DeadlineUnreachable,
    /// The deadline passed before any task started.
    DeadlinePassed,
    /// No announced upstream accepts the kind or the size.
    Unplaceable,
    /// The team has as many tasks in progress as its quota allows.
    QuotaExceeded,
    /// The entry that took it in is gone and had not started anything.
    OwnerLost,
}

/// The final answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task succeeded; one result for each task, in order.
    Complete(Vec<Vec<u8>>),
    /// At least one task failed or may have run.
    Failed(Vec<TaskState>),
    /// Nothing ran or ever will.
    NotRun {
        /// The reason.
        reason: RefusalReason,
        /// When a new submission may be accepted.
        retry_after: Duration,
    },
    /// The caller cancelled it.
    Cancelled(Vec<TaskState>),
}

impl Outcome {
    /// The name of the outcome in answers and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Complete(_) => "complete",
            Outcome::Failed(_) => "failed",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Cancelled(_) => "cancelled",
        }
    }
}
