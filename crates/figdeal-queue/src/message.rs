//! Messages between the processes of the queue. They are encoded with postcard, so the order of fields and variants
//! matters.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    job::{JobId, JobSpec, JobState, QueueConfig, Resources, TaskId},
    raft::{Member, NodeId, RaftMessage, Term},
};

/// Request of a caller or an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a job.
    Submit {
        /// Host name of the request.
        host: String,
        /// Path; its last part is the identity of the job.
        path: String,
        /// The job.
        spec: JobSpec,
        /// Milliseconds since the job arrived at its entry node, which received it from the caller.
        age_ms: u32,
        /// Whether the sending node has already handed the job to a leader, so that tasks of it may have run.
        resubmitted: bool,
    },
    /// Asks for the state of a job or of a queue.
    Query {
        /// Host name of the request.
        host: String,
        /// Path of the job or the queue.
        path: String,
    },
    /// Cancels a job.
    Cancel {
        /// Host name of the request.
        host: String,
        /// Path of the job.
        path: String,
    },
    /// Replaces the configuration.
    Configure(QueueConfig),
    /// Asks for the newest configuration.
    ReadConfig,
    /// Evacuates a data centre, so that no task starts there, or revokes its evacuation.
    SetEvacuation {
        /// Name of the data centre.
        data_centre: String,
        /// Whether the data centre is evacuated from now on.
        evacuated: bool,
    },
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job was not accepted and never runs.
    Refused {
        /// Milliseconds after which another attempt may succeed.
        retry_after_ms: u32,
        /// Reason for the refusal; only logged by the entry node.
        reason: RefusalReason,
    },
    /// The outcome is not known; the caller has to repeat the request with the same identity.
    OutcomeUnknown,
    /// No queue matches the request.
    NoQueue,
    /// The job is not known.
    NoJob,
    /// State of a job.
    State(JobState),
    /// A volatile job has ended; `true` if all its tasks are done.
    VolatileEnded(bool),
    /// Number of jobs of a queue of which no task is known to have started.
    QueuedJobs(u32),
    /// The job has ended or is cancelled.
    Cancelled,
    /// The configuration is stored, or a newer one is in force.
    Configured,
    /// The configuration in force, as the operator sent it.
    Config(String),
    /// The request is malformed.
    Invalid,
    /// The evacuation is stored, or its revocation.
    EvacuationSet,
    /// Neither the settings nor a worker name the data centre.
    UnknownDataCentre,
    /// The data centre is the last one that is not evacuated, so it stays in use.
    LastDataCentre,
}

impl RunOutcome {
    /// Returns whether the outcome shows that the run has begun. Otherwise it may have or not.
    ///
    /// ```
    /// use figdeal_queue::message::{LossReason, RunOutcome, StartRejection};
    ///
    /// assert!(RunOutcome::Failed.shows_begin());
    /// assert!(!RunOutcome::Lost(LossReason::LeaseExpired).shows_begin());
    /// assert!(!RunOutcome::NotStarted(StartRejection::RefusedByWorker).shows_begin());
    /// ```
    pub fn shows_begin(&self) -> bool {
        match self {
            RunOutcome::Done | RunOutcome::Failed => true,
            // The worker has listed the run.
            RunOutcome::Lost(LossReason::NewIncarnation | LossReason::EndedWithoutResult) => true,
            RunOutcome::Lost(_) | RunOutcome::NotStarted(_) => false,
        }
    }
}

impl Answer {
    /// Returns whether the answer tells the caller of a new job that the job was not accepted and never runs.
    ///
    /// ```
    /// use figdeal_queue::message::Answer;
    ///
    /// assert!(Answer::NoQueue.rejects_job());
    /// assert!(!Answer::OutcomeUnknown.rejects_job());
    /// ```
    pub fn rejects_job(&self) -> bool {
        matches!(
            self,
            Answer::Refused { .. } | Answer::NoQueue | Answer::Invalid
        )
    }
}

/// Why a request was refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No leader can be reached.
    NoLeader,
    /// No configuration is in force yet.
    NoConfig,
    /// The node will shut down before the job could end.
    ShuttingDown,
    /// The job would miss its response-time goal.
    Overload,
    /// No worker is large enough for one of the tasks.
    TooLarge,
    /// The job uses a feature that this version does not support.
    Unsupported,
    /// No worker that is large enough has the label that one of the tasks requires.
    NoWorker,
    /// A new leader does not know the data centres of all workers yet.
    WorkersUnknown,
    /// The node was paused, so the request may be so old that its operator has sent others since.
    AfterPause,
    /// The jobs of the queue hold as much memory as they may.
    Storage,
}

/// Number of an incarnation of a worker, as counted by its agent.
pub type Incarnation = u32;

/// What an agent knows about its worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Number of the present incarnation.
    pub incarnation: Incarnation,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Resources that the worker offers.
    pub capacity: Resources,
    /// Labels such as the kind and the rack of the worker.
    pub labels: Vec<String>,
    /// Whether the worker is draining and takes no new tasks.
    pub draining: bool,
    /// Data centre of the worker; `None` if it names none.
    pub data_centre: Option<String>,
    /// Milliseconds for which the worker will still be slow, because its caches are cold.
    pub cold_ms: u32,
}

/// How a run ended or why it did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run was successful.
    Done,
    /// The run failed through its own fault or the worker's.
    Failed,
    /// The run ended without a result, or its agent can no longer tell how it ends.
    Lost(LossReason),
    /// The run did not start and never will.
    NotStarted(StartRejection),
}

/// Why an agent reports a run as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossReason {
    /// The agent did not renew the worker lease, so it must have expired.
    LeaseExpired,
    /// Another incarnation of the worker runs than the one that listed the run.
    NewIncarnation,
    /// The worker has deregistered.
    WorkerLeft,
    /// The worker does not list the run, although it would if it had it.
    NotListed,
    /// The worker lists the run as ended without a result, for example because it was stopped.
    EndedWithoutResult,
}

/// Why a run did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRejection {
    /// The worker has too few free resources, or an earlier run of the task may still be on it.
    NoRoom,
    /// The worker is draining or gone, or is another incarnation than the one meant.
    WrongWorker,
    /// The agent had no recent lease or did not know all runs under its present registration, or the worker rejected the
    /// start as outdated.
    StaleOrder,
    /// The worker refused the start for any other reason.
    RefusedByWorker,
    /// The worker cannot be reached or does not answer, so it was not asked.
    WorkerSilent,
}

/// End of a run, which an agent reports until the leader acknowledges it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunEvent {
    /// Number within the session, counted from 1.
    pub seq: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Milliseconds from the start to the end, as measured by the agent.
    pub elapsed_ms: u32,
}

/// Identity of a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunId {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; it increases with each start of the task.
    pub run: u64,
}

/// A run that may be on the worker, as its agent sees it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Identity of the run.
    pub id: RunId,
    /// Newest progress that the worker has told; 0 if it tells none.
    pub progress_percent: u8,
    /// Whether the agent has an order to stop the run.
    pub stopping: bool,
    /// Whether the agent knows what the run needs. Until then it takes it for the whole worker.
    pub needs_known: bool,
    /// Whether the worker has told that it has started the run.
    pub confirmed: bool,
}

/// Report of an agent to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Identity of the agent's process.
    pub session: u64,
    /// Term of the leader that the report is addressed to.
    pub term: Term,
    /// Agent's clock at the sending, in microseconds; the lease of the agent counts from it.
    pub sent_us: u64,
    /// Number of the newest orders message that the agent has processed.
    pub last_orders: u64,
    /// Number of the oldest event that the leader has not acknowledged, or of the next event if there is none.
    pub first_event: u64,
    /// Number of the newest event, sent or not.
    pub last_event: u64,
    /// The worker; `None` before its first heartbeat.
    pub worker: Option<WorkerInfo>,
    /// All runs that may be on the worker; `None` between two periodic reports, and while they are not known.
    pub running: Option<Vec<RunStatus>>,
    /// Runs that may be on the worker, if the agent cannot tell all of them, because the worker has not replied under
    /// the present registration or has not listed all its ends to this process of the agent.
    pub undecided: Vec<RunId>,
    /// Events that were not sent to this leader before, in order; at intervals all unacknowledged events.
    pub events: Vec<RunEvent>,
    /// Runs that have become slow since the last report.
    pub slow: Vec<SlowRun>,
    /// Number of starts to which the worker has not replied, of the orders up to `last_orders`.
    pub unanswered_starts: u32,
}

/// A run that progresses far more slowly than expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// Completed part of the work.
    pub progress_percent: u8,
    /// Present speed relative to the expected speed.
    pub speed_percent: u8,
}

/// Order of the leader to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run; later runs of a task have higher numbers.
        run: u64,
        /// Incarnation of the worker that the order is meant for.
        incarnation: Incarnation,
        /// Resources that the task needs.
        needs: Resources,
        /// Run time that the leader expects, in milliseconds; 0 if it is not known.
        expected_ms: u32,
        /// Description of the work for the worker.
        payload: String,
    },
    /// Stops a run.
    Stop {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run; later runs of a task have higher numbers.
        run: u64,
    },
    /// Tells the resource needs of a run that the agent found on its worker.
    Adopt {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run; later runs of a task have higher numbers.
        run: u64,
        /// Resources that the task needs.
        needs: Resources,
    },
}

/// Message of the leader to an agent: renews its lease, acknowledges events and carries orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Address of the leader.
    pub leader: SocketAddr,
    /// Term of the leader.
    pub term: Term,
    /// Session of the agent that the message is addressed to.
    pub session: u64,
    /// Fencing token of the session; it increases with each registration.
    pub fence: u64,
    /// Newest `sent_us` of the agent that the leader has seen; the lease of the agent counts from it.
    pub lease_start_us: u64,
    /// Number of this message within term and session.
    pub number: u64,
    /// Number of the newest event that the leader has acknowledged; the agent may drop the events up to it.
    pub acked_event: u64,
    /// Orders in the sequence in which the agent has to process them.
    pub orders: Vec<Order>,
}

/// A node introduces itself and asks who is the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Identity of the node's storage.
    pub node: NodeId,
    /// Address where the node listens for other processes.
    pub address: SocketAddr,
    /// Data centre of the node's machine.
    pub data_centre: String,
    /// Whether the node can store the log.
    pub has_disk: bool,
    /// Whether the system starts for the first time, so that a group has to be created.
    pub bootstrap: bool,
}

/// Tells who is the leader. A new leader sends it to nodes and agents, and repeats it to those that it does not hear
/// from. It also answers [`Hello`], and an [`Announce`] or [`AgentReport`] that the receiver cannot process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderInfo {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Address of the leader, as far as the sender knows it.
    pub leader: Option<SocketAddr>,
    /// Whether the sender itself is the leader and serves requests.
    pub serving: bool,
    /// Newest term that the sender knows.
    pub term: Term,
    /// Voters as known to the sender.
    pub members: Vec<Member>,
}

/// An agent without a leader looks for one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Identity of the agent's process.
    pub session: u64,
    /// Agent's clock at the sending, in microseconds.
    pub sent_us: u64,
}

/// Volatile jobs that a leader has accepted recently, sent to its voters. The next leader learns from them which jobs
/// no earlier leader can have had.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecentJobs {
    /// Term of the leader.
    pub term: Term,
    /// Number of the first of `ids` within the term.
    pub first: u64,
    /// Whether the message starts a new list with all jobs that may still run.
    pub is_full: bool,
    /// Jobs in the order in which they were accepted.
    pub ids: Vec<JobId>,
    /// Newest heartbeat of the log that the receiver has acknowledged, by the leader's clock in microseconds. The
    /// list has every job that was accepted before that acknowledgement was sent.
    pub acked_heartbeat_us: u64,
    /// Whether all runs of earlier leaders are known and no running job is old enough to have left the list.
    pub is_complete: bool,
}

/// Any message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A node introduces itself.
    Hello(Hello),
    /// Tells who is the leader.
    LeaderInfo(LeaderInfo),
    /// Initial voters, from the node that creates the group.
    Bootstrap(Vec<Member>),
    /// A message of the Raft log.
    Raft {
        /// Identity of the sender's storage.
        from: NodeId,
        /// Address where the sender listens for other processes.
        address: SocketAddr,
        /// Identity of the receiver's storage; a node whose storage was wiped ignores the message.
        to: NodeId,
        /// The message.
        message: RaftMessage,
    },
    /// Volatile jobs that the leader has accepted recently.
    RecentJobs(RecentJobs),
    /// A node forwards a request to the leader.
    Forward {
        /// Address for the reply.
        origin: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
        /// The request.
        request: Request,
    },
    /// The caller of a forwarded request no longer waits.
    Withdraw {
        /// Address of the node that forwarded the request.
        origin: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
    },
    /// Answer of the leader to a forwarded request.
    Reply {
        /// Address of the replying node; a reply of a former leader is ignored.
        from: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// An agent looks for the leader.
    Announce(Announce),
    /// An agent reports to the leader.
    Report(Box<AgentReport>),
    /// The leader sends orders to an agent.
    Orders(Orders),
}
