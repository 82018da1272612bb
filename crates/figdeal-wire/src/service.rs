//! The tarpc services.

use figdeal_core::{
    claim::{ClaimReply, ClaimRequest},
    id::{SubmissionKey, TaskId},
};

use crate::message::{
    AnnounceReply, Announcement, CollectReply, ConfigFiles, OwnerRecord, PeerAnswer, PeerQuery,
    QueryRequest, RunRequest, TaskReply,
};

/// What an agent offers to entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a task and replies when its verdict is final.
    async fn run(request: RunRequest) -> TaskReply;
    /// Replies with the verdict on a task that was sent before; an unknown task is fenced.
    async fn query(request: QueryRequest) -> TaskReply;
    /// Fences tasks that have not started.
    async fn cancel(tasks: Vec<TaskId>);
    /// Fences a submission and replies with its results once its running tasks ended.
    async fn collect_results(key: SubmissionKey) -> CollectReply;
    /// Shows that the connection works.
    async fn ping();
}

/// What an entry offers to agents and to other entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Takes an announcement.
    async fn announce(announcement: Announcement) -> AnnounceReply;
    /// Answers claims as a member of their registers; `None` when the process is stopping.
    async fn claim(request: ClaimRequest) -> Option<ClaimReply>;
    /// Replies with the outcome once it is final.
    async fn await_answer(query: PeerQuery) -> PeerAnswer;
    /// Cancels a submission that this entry owns and replies with its outcome.
    async fn cancel(key: SubmissionKey) -> PeerAnswer;
    /// Replies with what this entry remembers as a member of the submission's register.
    async fn find_owner(key: SubmissionKey) -> Option<OwnerRecord>;
    /// Replies with the accepted configuration if it is newer than `version`.
    async fn fetch_config(version: u64) -> Option<ConfigFiles>;
    /// Shows that the connection works.
    async fn ping();
}
