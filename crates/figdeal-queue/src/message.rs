//! Messages between the processes of the queue.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    job::{JobId, JobSpec, JobState, QueueConfig, Resources, TaskId},
    raft::{Member, NodeId, RaftMessage, Term},
};

/// What a caller or an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Hands a job in.
    Submit {
        /// Host of the request.
        host: String,
        /// Path with the identity of the job.
        path: String,
        /// The job.
        spec: JobSpec,
        /// Milliseconds since its arrival at the first node.
        age_ms: u32,
        /// The node that sends it has handed it to a leader before.
        resubmitted: bool,
    },
    /// Asks for the state of a job, or of a queue.
    Query {
        /// Host of the request.
        host: String,
        /// Path of the job or the queue.
        path: String,
    },
    /// Cancels a job.
    Cancel {
        /// Host of the request.
        host: String,
        /// Path of the job.
        path: String,
    },
    /// Replaces the configuration.
    Configure(QueueConfig),
    /// Asks for the newest configuration.
    ReadConfig,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never runs.
    Refused {
        /// Milliseconds after which another try may succeed.
        retry_after_ms: u32,
        /// Why, for the log of the entry.
        reason: RefusalReason,
    },
    /// The outcome is not known: the caller has to ask again with the same identity.
    OutcomeUnknown,
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// State of a job.
    State(JobState),
    /// A volatile job has ended, with all tasks done or not.
    VolatileEnded(bool),
    /// Jobs of a queue of which no task has started.
    QueuedJobs(u32),
    /// The job has ended or is cancelled.
    Cancelled,
    /// The configuration is stored, or a newer one is.
    Configured,
    /// The newest configuration as it was sent.
    Config(String),
    /// The request cannot be understood.
    Invalid,
}

/// Why a request was refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No leader is in reach.
    NoLeader,
    /// No configuration is in force yet.
    NoConfig,
    /// The node shuts down before the job could end.
    ShuttingDown,
    /// The job would miss its response-time goal.
    Overload,
    /// No worker is large enough for a task.
    TooLarge,
    /// The job asks for something that this version does not offer.
    Unsupported,
}

/// One life of a worker, as its agent counts them.
pub type Incarnation = u32;

/// What an agent knows of its worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Number of this life.
    pub incarnation: Incarnation,
    /// Pool that it belongs to.
    pub pool: String,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It takes no new tasks.
    pub draining: bool,
}

/// How a run ended or did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped, its lease ran out, or its worker is gone.
    Lost,
    /// It never started and never will.
    NotStarted(StartRejection),
}

/// Why a run did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRejection {
    /// No room on the worker.
    NoRoom,
    /// The worker drains, is gone, or another life than intended.
    WrongWorker,
    /// The order came too late or under an old leader.
    StaleOrder,
    /// The worker refused it or did not answer.
    RefusedByWorker,
}

/// Something that an agent reports until the leader has taken it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunEvent {
    /// Number within the session, from 1.
    pub seq: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// What happened.
    pub outcome: RunOutcome,
    /// Milliseconds from the start to the end, as the agent saw it.
    pub elapsed_ms: u32,
}

/// A run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
}

/// An agent tells the leader what changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Identity of its process.
    pub session: u64,
    /// Term of the leader that this is meant for.
    pub term: Term,
    /// The agent's clock in microseconds; the lease counts from it.
    pub sent_us: u64,
    /// Number of the last orders that were carried out or queued.
    pub last_orders: u64,
    /// Number of the oldest event that the leader has not taken, or of the next one.
    pub first_event: u64,
    /// Number of the last event, sent or not.
    pub last_event: u64,
    /// The worker, absent before its first heartbeat.
    pub worker: Option<WorkerInfo>,
    /// Every run that may be on the worker. Absent in a report of events only.
    pub running: Option<Vec<RunId>>,
    /// Events that the leader has not taken yet, in order.
    pub events: Vec<RunEvent>,
    /// Runs that have fallen behind since the last report.
    pub slow: Vec<SlowRun>,
}

/// A run that advances far slower than expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Share of its work that is done, in percent.
    pub progress_percent: u8,
    /// Its present speed, in percent of the expected one.
    pub speed_percent: u8,
}

/// An order to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// The life of the worker that is meant.
        incarnation: Incarnation,
        /// What the task takes.
        needs: Resources,
        /// Run time that the leader expects, in milliseconds; 0 if it is not known.
        expected_ms: u32,
        /// What the task does.
        payload: String,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Tells what a run takes that the agent found on its worker.
    Adopt {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// What the task takes.
        needs: Resources,
    },
}

/// The leader's word to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Address of the leader.
    pub leader: SocketAddr,
    /// Term of the leader.
    pub term: Term,
    /// Session of the agent that is meant.
    pub session: u64,
    /// Fence of the session: rises with each enrolment.
    pub fence: u64,
    /// Newest `sent` of the agent that the leader has seen; the lease counts from it.
    pub lease_start_us: u64,
    /// Number of this message within term and session.
    pub number: u64,
    /// Events up to here are taken for good.
    pub acked_event: u64,
    /// Orders.
    pub orders: Vec<Order>,
}

/// A node tells who it is and asks who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Identity of its store.
    pub node: NodeId,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Data centre of its machine.
    pub data_centre: String,
    /// It can store the log.
    pub has_disk: bool,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
}

/// Answer to [`Hello`] and [`Announce`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderInfo {
    /// Who answers.
    pub from: SocketAddr,
    /// The leader as the sender knows it.
    pub leader: Option<SocketAddr>,
    /// The sender is the leader and serves.
    pub serving: bool,
    /// Newest term that the sender knows.
    pub term: Term,
    /// The voters as the sender knows them.
    pub members: Vec<Member>,
}

/// An agent without a leader asks for one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Identity of its process.
    pub session: u64,
    /// The agent's clock in microseconds.
    pub sent_us: u64,
}

/// A leader tells its voters which volatile jobs it has taken, so that the next leader knows which jobs no earlier one had.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecentJobs {
    /// Term of the leader.
    pub term: Term,
    /// Number of the first of `ids` within the term.
    pub first: u64,
    /// The list begins anew with all jobs that may still run.
    pub is_full: bool,
    /// Jobs in the order in which they were taken.
    pub ids: Vec<JobId>,
    /// Newest heartbeat of the log that the receiver has answered, by the leader's clock in microseconds. Every job that
    /// was taken before that answer was sent is listed.
    pub acked_heartbeat_us: u64,
    /// No run of an earlier leader is unknown, and no listed job is old enough to have left the list.
    pub is_complete: bool,
}

/// Any message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A node greets another.
    Hello(Hello),
    /// Who leads.
    LeaderInfo(LeaderInfo),
    /// The founding voters, from the node that founds the group.
    Bootstrap(Vec<Member>),
    /// A message of the replicated log.
    Raft {
        /// The sender.
        from: NodeId,
        /// Where the sender listens.
        address: SocketAddr,
        /// The store that is meant; a wiped one ignores it.
        to: NodeId,
        /// The message.
        message: RaftMessage,
    },
    /// The volatile jobs of a leader.
    RecentJobs(RecentJobs),
    /// An entry passes a request to the leader.
    Forward {
        /// Where to answer.
        origin: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
        /// The request.
        request: Request,
    },
    /// The caller of a request that was passed on no longer waits.
    Withdraw {
        /// Where the request came from.
        origin: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
    },
    /// The leader answers.
    Reply {
        /// Who answers; an answer of a former leader does not count.
        from: SocketAddr,
        /// Number of the request at its origin.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// An agent looks for the leader.
    Announce(Announce),
    /// An agent reports to the leader.
    Report(AgentReport),
    /// The leader orders.
    Orders(Orders),
}
