//! Messages between entries and agents.

use figdeal_core::{
    id::{Digest, EntryId, Incarnation, SubmissionKey, TaskId},
    outcome::Outcome,
    time::UnixMillis,
};
use serde::{Deserialize, Serialize};

/// Periodic announcement of an agent and its upstream to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream. It stays the same over restarts.
    pub name: String,
    /// Address at which entries reach the agent.
    pub address: String,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of tasks that the upstream runs concurrently.
    pub slots: u32,
    /// Kinds that the upstream accepts. An empty list accepts every kind.
    pub kinds: Vec<String>,
    /// Largest task size, as declared by callers, that the upstream accepts.
    pub max_task_size: u32,
    /// Data centre of the upstream; that of the agent if the upstream names none.
    pub data_centre: String,
    /// Whether the upstream or the agent is draining and accepts no new tasks.
    pub draining: bool,
    /// Current load of the agent.
    pub load: LoadReport,
    /// Configuration version that the agent uses; 0 for none.
    pub config_version: u64,
}

/// Reply to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Entry that replies.
    pub entry: EntryId,
    /// Configuration version that the entry uses.
    pub config_version: u64,
}

/// Load of an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of slots without a task.
    pub free_slots: u32,
    /// Number of queued tasks of each kind.
    pub queued_tasks: Vec<(String, u32)>,
    /// Expected time until the next slot is free, in microseconds.
    pub next_slot_wait_us: u64,
}

/// Request to an agent to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Entry that owns the job.
    pub entry: EntryId,
    /// Agent incarnation that the request is meant for. Any other incarnation rejects it.
    pub incarnation: Incarnation,
    /// Id of the task.
    pub task: TaskId,
    /// Kind of the task.
    pub kind: String,
    /// Team of the job.
    pub team: String,
    /// Remaining work of the job in microseconds. Orders the tasks in the agent's queue.
    pub remaining_work_us: u64,
    /// Time left until the deadline of the task, in microseconds.
    pub time_left_us: u64,
    /// Configuration version that the entry uses.
    pub config_version: u64,
    /// Wall clock time of the entry when it sent the request.
    pub sent_at: UnixMillis,
    /// Body of the call to the upstream.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// Query for the outcome of a task that was sent before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// Agent incarnation to which the task was sent.
    pub incarnation: Incarnation,
    /// Id of the task.
    pub task: TaskId,
}

/// Outcome of a task that an agent replies with. Except for [`TaskOutcome::Unproven`], it is final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The upstream ran the task and returned this result.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The upstream reported that the task failed.
    Failed,
    /// The task was started, but its result is not known.
    Unknown,
    /// The task was not started, and this agent will never start it.
    NotStarted(NotStartedReason),
    /// The agent cannot tell whether the task has run: it is another incarnation than the one that received the task,
    /// or its deduplication table is full.
    Unproven,
}

/// Reason for which an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The request was meant for another incarnation.
    Incarnation,
    /// The upstream is draining or has not announced itself.
    Draining,
    /// The queue or the deduplication table is full.
    Full,
    /// The task was fenced before it started.
    Fenced,
    /// The deadline passed before the start.
    Deadline,
    /// The owner of the job cancelled the task.
    Cancelled,
    /// The request was too old when it arrived.
    Stale,
}

/// Reply to a run request or a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    /// Id of the task that the reply is about.
    pub task: TaskId,
    /// Outcome of the task.
    pub outcome: TaskOutcome,
    /// Run time at the upstream in microseconds.
    pub run_time_us: u64,
    /// Load of the agent when it replied.
    pub load: LoadReport,
}

/// Results of a submission that an agent has stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectReply {
    /// Outcomes of tasks that have ended, with the index of the task in the job.
    pub results: Vec<(u16, TaskOutcome)>,
}

/// Answer of an entry to a query for a submission by another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The submission has ended with this outcome.
    Final(Outcome),
    /// The queried incarnation does not know the submission, or could not determine its owner.
    Unknown,
    /// The submission is in progress.
    Running,
    /// The queried process is another incarnation than the requested one.
    OtherIncarnation,
}

/// Record of a submission's owner, as one of the entries that agreed on it stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Hash of the content of the submission.
    pub digest: Digest,
    /// When the caller created the submission.
    pub created: UnixMillis,
    /// Entry process that owns the submission.
    pub owner: (EntryId, Incarnation),
}

/// The files of an accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFiles {
    /// Number of the configuration version.
    pub version: u64,
    /// File names and contents, in the order in which they were signed.
    pub files: Vec<(String, serde_bytes::ByteBuf)>,
}

/// Query of an entry for a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Whether the reply waits until the outcome is final.
    pub wait: bool,
    /// Entry incarnation that is queried, if known.
    pub incarnation: Option<Incarnation>,
}
