//! Jobs, their tasks, and the rules of their queues.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Most tasks of one job. The largest jobs of the design have 390.
pub const MAX_TASKS: u32 = 10_000;

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
pub struct BadId;

impl std::error::Error for BadId {}

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> std::result::Result<JobId, BadId> {
        let digits =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match digits {
            true => u64::from_str_radix(text, 16).map(JobId).map_err(|_| BadId),
            false => Err(BadId),
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
    pub cpu: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Resources {
    /// Whether `self` fits into `room`.
    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.gpu <= room.gpu
    }

    /// What remains of `self` without `other`, at least nothing.
    pub fn without(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The sum of both.
    pub fn with(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
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
    pub estimate: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack with the data of the step.
    pub rack: Option<String>,
    /// Most tasks of the step on one worker, 0 for no limit.
    pub spread: u32,
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
    pub fn is_sound(&self) -> bool {
        let earlier = |(i, step): (usize, &Step)| step.after.iter().all(|a| usize::from(*a) < i);
        self.steps.len() <= usize::from(u16::MAX)
            && (1..=MAX_TASKS).contains(&self.task_count())
            && self.steps.iter().enumerate().all(earlier)
    }

    /// Expected milliseconds from the start of each step to the end of the job.
    pub fn chains(&self) -> Vec<u64> {
        let mut chains: Vec<u64> = self.steps.iter().map(|s| u64::from(s.estimate)).collect();
        for i in (0..self.steps.len()).rev() {
            for before in &self.steps[i].after {
                let before = usize::from(*before);
                chains[before] =
                    chains[before].max(u64::from(self.steps[before].estimate) + chains[i]);
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
    pub attempts: u32,
    /// The response-time goal allows this many times the chain of work.
    pub stretch: f32,
    /// Milliseconds that the goal allows besides.
    pub goal: u32,
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
pub struct QueueSet {
    /// Version; the highest is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The text as the operator sent it.
    pub text: String,
}

impl QueueSet {
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
