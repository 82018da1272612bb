//! Messages between entries and agents.

use figdeal_core::{
    id::{Digest, EntryId, Incarnation, SubmissionKey, TaskId},
    outcome::Outcome,
    time::UnixMillis,
};
use serde::{Deserialize, Serialize};

/// Announcement of an agent and its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream, stable over restarts.
    pub name: String,
    /// Where entries reach the agent.
    pub address: String,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// Tasks that the upstream runs at the same time.
    pub slots: u32,
    /// Kinds that the upstream accepts; empty accepts every kind.
    pub kinds: Vec<String>,
    /// Largest task size that the upstream accepts.
    pub max_task_size: u32,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Whether the upstream or the agent is leaving.
    pub draining: bool,
    /// Current load.
    pub load: LoadReport,
    /// Version of the configuration that the agent runs on.
    pub config_version: u64,
}

/// Reply to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The entry that replies.
    pub entry: EntryId,
    /// Version of the configuration that the entry runs on.
    pub config_version: u64,
}

/// Load of an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots without a task.
    pub free_slots: u32,
    /// Queued tasks of each kind.
    pub queued_tasks: Vec<(String, u32)>,
    /// Expected time until the next slot is free, in microseconds.
    pub next_slot_wait_us: u64,
}

/// A task for an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The entry that owns the job.
    pub entry: EntryId,
    /// The agent incarnation that the request is meant for.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Its kind.
    pub kind: String,
    /// Its team.
    pub team: String,
    /// Remaining work of its job in microseconds.
    pub remaining_work_us: u64,
    /// Time left until its deadline, in microseconds.
    pub time_left_us: u64,
    /// Version of the configuration that the entry runs on.
    pub config_version: u64,
    /// Wall clock of the entry when it sent the request.
    pub sent_at: UnixMillis,
    /// Bytes for the upstream.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// Asks what became of a task that was sent before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// The agent incarnation that got the task.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
}

/// Final word of an agent on a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The upstream succeeded with these bytes.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The upstream reported a failure.
    Failed,
    /// The task was started and its result is not known.
    Unknown,
    /// The task was not started and never will be at this agent.
    NotStarted(NotStartedReason),
    /// The agent can prove nothing: it is another incarnation than the one that got the task, or its ledger is full.
    Unproven,
}

/// Why an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The request was meant for another incarnation.
    Incarnation,
    /// The upstream is leaving or not announced.
    Draining,
    /// The queue or the ledger is full.
    Full,
    /// The task was fenced.
    Fenced,
    /// The deadline passed first.
    Deadline,
    /// The owner cancelled it.
    Cancelled,
    /// The request was too old when it arrived.
    Stale,
}

/// Reply to a run request or a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    /// The task that the reply is about.
    pub task: TaskId,
    /// The agent's word.
    pub outcome: TaskOutcome,
    /// Run time at the upstream in microseconds.
    pub run_time_us: u64,
    /// Load of the agent after the task.
    pub load: LoadReport,
}

/// What an agent holds of a submission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectReply {
    /// Results of tasks that ended, by index.
    pub results: Vec<(u16, TaskOutcome)>,
}

/// What one entry knows of a submission when another entry asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The final outcome.
    Final(Outcome),
    /// The asked incarnation knows nothing of it, or could not decide who owns it.
    Unknown,
    /// The submission is in progress.
    Running,
    /// The asked process is another incarnation.
    OtherIncarnation,
}

/// What a member remembers of a submission's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Hash of the content.
    pub digest: Digest,
    /// When the caller created it.
    pub created: UnixMillis,
    /// The owner.
    pub owner: (EntryId, Incarnation),
}

/// The files of an accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFiles {
    /// Number of the version.
    pub version: u64,
    /// Names and contents, in the order that was signed.
    pub files: Vec<(String, serde_bytes::ByteBuf)>,
}

/// Asks an entry about a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerQuery {
    /// The submission.
    pub key: SubmissionKey,
    /// Whether to reply only once the outcome is final.
    pub wait: bool,
    /// The incarnation that is meant, where it is known.
    pub incarnation: Option<Incarnation>,
}
