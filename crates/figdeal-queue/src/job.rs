//! Jobs, their tasks, and the rules of their queues.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Most tasks of one job. The largest jobs of the design have 390.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// Identity of a job, chosen by its caller.
///
/// ```
/// use figdeal_queue::job::JobId;
///
/// let id: JobId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5c0e".parse::<JobId>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// the text is not 16 hexadecimal digits
#[derive(Debug, displaydoc::Display)]
pub struct InvalidJobId;

impl std::error::Error for InvalidJobId {}

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> std::result::Result<JobId, InvalidJobId> {
        let digits =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match digits {
            true => u64::from_str_radix(text, 16)
                .map(JobId)
                .map_err(|_| InvalidJobId),
            false => Err(InvalidJobId),
        }
    }
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// What a task takes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Whether `self` fits into `room`.
    pub fn fits_into(self, room: Resources) -> bool {
        self.millicores <= room.millicores
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// What remains of `self` without `other`, at least nothing.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// The sum of both.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }
}

/// Tasks of a job that may run side by side.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub needs: Resources,
    /// Run time that the caller expects, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack with the data of the step.
    pub rack: Option<String>,
    /// Most tasks of the step on one worker, 0 for no limit.
    pub max_per_worker: u32,
}

/// What a caller hands in.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// What the tasks do, for the worker only.
    pub payload: String,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// The job need not be stored: its caller waits for the outcome and hands it in again after a loss.
    pub volatile: bool,
}

impl JobSpec {
    /// Number of tasks.
    pub fn task_count(&self) -> u32 {
        self.steps
            .iter()
            .fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// Whether the steps can be run at all: tasks exist, and steps wait only for earlier ones.
    pub fn is_valid(&self) -> bool {
        let earlier =
            |(i, step): (usize, &Step)| step.depends_on.iter().all(|a| usize::from(*a) < i);
        self.steps.len() <= usize::from(u16::MAX)
            && (1..=MAX_TASKS_PER_JOB).contains(&self.task_count())
            && self.steps.iter().enumerate().all(earlier)
    }

    /// Expected milliseconds from the start of each step to the end of the job.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut chains: Vec<u64> = self
            .steps
            .iter()
            .map(|s| u64::from(s.estimate_ms))
            .collect();
        for i in (0..self.steps.len()).rev() {
            for before in &self.steps[i].depends_on {
                let before = usize::from(*before);
                chains[before] =
                    chains[before].max(u64::from(self.steps[before].estimate_ms) + chains[i]);
            }
        }
        chains
    }
}

/// How a queue treats its jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The response-time goal allows this many times the chain of work.
    pub goal_factor: f32,
    /// Milliseconds that the goal allows besides.
    pub goal_slack_ms: u32,
}

/// A queue: where its jobs arrive and which workers run them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Start of the path of the requests.
    pub prefix: String,
    /// Pool of workers.
    pub pool: String,
    /// How its jobs are treated.
    pub policy: Policy,
}

/// One version of the configuration of all queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Version; the highest is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The text as the operator sent it.
    pub text: String,
}

impl QueueConfig {
    /// The queue with the longest prefix of `path`, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.iter().filter(|q| q.host == host);
        let matching = matching.filter_map(|q| Some((q, path.strip_prefix(q.prefix.as_str())?)));
        matching.max_by_key(|(q, _)| q.prefix.len())
    }
}

/// State of a job as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}
