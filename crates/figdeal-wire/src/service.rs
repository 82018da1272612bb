//! tarpc services of agents and entries.

use figdeal_core::{
    claim::{ClaimReply, ClaimRequest},
    id::{SubmissionKey, TaskId},
};

use crate::message::{
    AnnounceReply, Announcement, CollectReply, ConfigFiles, OwnerRecord, PeerAnswer, PeerQuery,
    QueryRequest, RunRequest, TaskReply,
};

/// Service that agents offer to entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a task and replies when its outcome is final.
    async fn run(request: RunRequest) -> TaskReply;
    /// Replies with the outcome of a task that was sent before. Fences the task if it is unknown, so that it cannot
    /// start later.
    async fn query(request: QueryRequest) -> TaskReply;
    /// Fences the tasks that have not started, so that they never start.
    async fn cancel(tasks: Vec<TaskId>);
    /// Fences a submission and replies with its results once its running tasks have ended.
    async fn collect_results(key: SubmissionKey) -> CollectReply;
    /// Replies at once, to show that the connection works.
    async fn ping();
}

/// Service that entries offer to agents and to other entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Receives the announcement of an agent.
    async fn announce(announcement: Announcement) -> AnnounceReply;
    /// Answers a claim as an acceptor of the consensus on the owner. Replies `None` when the process is stopping.
    async fn claim(request: ClaimRequest) -> Option<ClaimReply>;
    /// Replies with the state of a submission, once its outcome is final if the query asks for that.
    async fn await_answer(query: PeerQuery) -> PeerAnswer;
    /// Cancels a submission that this entry owns and replies with its outcome.
    async fn cancel(key: SubmissionKey) -> PeerAnswer;
    /// Replies with the owner of a submission as this entry has stored it as an acceptor.
    async fn find_owner(key: SubmissionKey) -> Option<OwnerRecord>;
    /// Replies with the accepted configuration if it is newer than `version`.
    async fn fetch_config(version: u64) -> Option<ConfigFiles>;
    /// Replies at once, to show that the connection works.
    async fn ping();
}
