//! Jobs, their tasks, and the configuration of queues.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Maximum number of tasks per job. The largest jobs of the design have 390.
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

impl JobId {
    /// Returns the identity that a path ends with, if it names a job.
    ///
    /// ```
    /// use figdeal_queue::job::JobId;
    ///
    /// assert_eq!(JobId::of_path("/queue/000000000000002a"), Some(JobId(42)));
    /// assert_eq!(JobId::of_path("/queue/"), None);
    /// ```
    pub fn of_path(path: &str) -> Option<JobId> {
        path.rsplit('/').next()?.parse().ok()
    }
}

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
        let is_hex =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match is_hex {
            true => u64::from_str_radix(text, 16)
                .map(JobId)
                .map_err(|_| InvalidJobId),
            false => Err(InvalidJobId),
        }
    }
}

/// Identity of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the step, counted from 0.
    pub step: u16,
    /// Number of the task within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// Resources that a task needs or a worker offers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Resources {
    /// Thousandths of a CPU core.
    pub millicores: u32,
    /// Megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether `self` fits into `room`.
    pub fn fits_into(self, room: Resources) -> bool {
        self.millicores <= room.millicores
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// Subtracts `other`, down to zero.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Adds `other`.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }
}

/// A group of equal tasks of a job, which may run in parallel.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time of one task as estimated by the caller.
    pub estimate_ms: u32,
    /// Numbers of earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack that holds the data of the step; preferred, not required.
    pub rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
}

/// A job as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque description of the work, interpreted by the worker.
    pub payload: String,
    /// Steps; a step may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// Keeps the job in memory only: its caller waits for the outcome and resubmits it after a loss.
    pub volatile: bool,
}

impl JobSpec {
    /// Returns the number of tasks of all steps.
    pub fn task_count(&self) -> u32 {
        self.steps
            .iter()
            .fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// Returns whether the job has tasks, no more than allowed, and each step depends only on earlier ones.
    pub fn is_valid(&self) -> bool {
        let earlier =
            |(i, step): (usize, &Step)| step.depends_on.iter().all(|a| usize::from(*a) < i);
        self.steps.len() <= usize::from(u16::MAX)
            && (1..=MAX_TASKS_PER_JOB).contains(&self.task_count())
            && self.steps.iter().enumerate().all(earlier)
    }

    /// Returns the critical path of each step: the estimated milliseconds from its start to the end of the job. The job must
    /// be [valid](JobSpec::is_valid).
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut paths: Vec<u64> = self
            .steps
            .iter()
            .map(|s| u64::from(s.estimate_ms))
            .collect();
        for i in (0..self.steps.len()).rev() {
            for earlier_step in &self.steps[i].depends_on {
                let earlier_step = usize::from(*earlier_step);
                paths[earlier_step] = paths[earlier_step]
                    .max(u64::from(self.steps[earlier_step].estimate_ms) + paths[i]);
            }
        }
        paths
    }
}

/// Scheduling policy of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Priority of the jobs; 0 is served first.
    pub priority: u8,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The response-time goal is the job's critical path times this factor, plus `goal_slack_ms`.
    pub goal_factor: f32,
    /// Constant part of the response-time goal.
    pub goal_slack_ms: u32,
}

/// A queue: the host and path where its jobs arrive, and the workers that run them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name of the requests.
    pub host: String,
    /// Path prefix of the requests.
    pub prefix: String,
    /// Pool of workers that run the jobs.
    pub pool: String,
    /// Scheduling policy of its jobs.
    pub policy: Policy,
}

/// One version of the configuration of all queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Version; the highest one is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Text as the operator sent it.
    pub text: String,
}

impl QueueConfig {
    /// Returns the queue with the longest matching path prefix, and the rest of the path.
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
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task reached the maximum number of failed runs.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}
