//! The replicated state: what the committed entries of the log add up to.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    job::{JobId, JobSpec, JobState, Policy, QueueConfig, TaskId},
    raft::Term,
};

/// Time for which the outcome of an ended job is kept. Callers may ask for 120 s; the rest allows for clocks that
/// jump by seconds between two leaders.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(150);

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a job.
    Accept {
        /// Identity of the job.
        id: JobId,
        /// Name of its queue.
        queue: String,
        /// Pool of workers of its queue.
        pool: String,
        /// Policy of its queue at this moment.
        policy: Policy,
        /// What to run.
        spec: Arc<JobSpec>,
        /// Term of the leader, for the numbers of runs.
        term: Term,
    },
    /// A run of a task has ended by itself.
    EndRun {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Whether it has done its work.
        done: bool,
    },
    /// Cancels a job.
    Cancel(JobId),
    /// Replaces the configuration if its version is higher.
    Configure(QueueConfig),
    /// An agent may start tasks from here on. The index of the entry becomes its fence.
    RegisterAgent {
        /// Address of the agent.
        address: SocketAddr,
        /// Identity of the agent's process.
        session: u64,
    },
    /// Whatever an agent has started is over, and it starts nothing more.
    DeregisterAgent {
        /// Address of the agent.
        address: SocketAddr,
    },
}

/// Commands of one entry, with the time of the leader in Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Time of the leader, for the age of outcomes only.
    pub time_ms: u64,
    /// Commands in order.
    pub commands: Vec<Command>,
}

/// Replicated state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether a run has ended as done.
    pub done: bool,
    /// Runs that have failed.
    pub failures: u32,
    /// The newest run that has failed, so that a repeated report counts once.
    pub failed_run: u64,
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of its queue.
    pub queue: String,
    /// Pool of workers.
    pub pool: String,
    /// Policy of its queue when it was accepted.
    pub policy: Policy,
    /// What to run.
    pub spec: Arc<JobSpec>,
    /// Term in which it was accepted.
    pub term: Term,
    /// When it was accepted, in Unix milliseconds of the leader.
    pub accepted_at_ms: u64,
    /// Tasks by step.
    pub tasks: Vec<Vec<TaskRecord>>,
    /// Tasks that are not done.
    pub open_tasks: u32,
}

/// How a job has ended, and when by the leader's clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Completed, failed or cancelled.
    pub state: JobState,
    /// Unix milliseconds.
    pub ended_at_ms: u64,
}

/// What a command changed, for the placement and the waiting callers.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A new job is stored.
    JobAccepted(JobId),
    /// A job with this identity was known before.
    JobAlreadyKnown(JobId),
    /// A task is done.
    TaskDone(TaskId),
    /// A run of a task failed, and the task has attempts left.
    TaskRetry(TaskId),
    /// A job has ended.
    JobEnded(JobId, JobState),
    /// A cancellation found no job.
    JobNotFound(JobId),
    /// A version of the configuration was handled; `held` is the one in force.
    Configured {
        /// The version that was sent.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// An agent is enrolled with this fence.
    AgentRegistered(SocketAddr, u64, u64),
    /// An agent is dismissed.
    AgentDeregistered(SocketAddr),
}

/// The state of one group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The configuration in force.
    pub queues: Option<QueueConfig>,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended.
    pub outcomes: BTreeMap<JobId, JobOutcome>,
    /// Ended jobs in the order of their ends.
    ended: VecDeque<JobId>,
    /// Agents that may have started something.
    pub agents: BTreeSet<SocketAddr>,
}

impl ReplicatedState {
    /// Applies the entry at `index` and returns what changed, in order.
    pub fn apply(&mut self, index: u64, batch: Batch) -> Vec<Change> {
        let time = batch.time_ms;
        self.drop_old_outcomes(time);
        let commands = batch.commands.into_iter();
        commands
            .filter_map(|command| self.apply_command(index, time, command))
            .collect()
    }

    /// The state of a job as its caller sees it; queued or running is for the placement to say.
    pub fn outcome(&self, id: JobId) -> Option<JobState> {
        self.outcomes.get(&id).map(|o| o.state)
    }

    /// Whether the job is known, ended or not.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.outcomes.contains_key(&id)
    }

    fn apply_command(&mut self, index: u64, time: u64, command: Command) -> Option<Change> {
        match command {
            Command::Accept { id, .. } if self.contains(id) => Some(Change::JobAlreadyKnown(id)),
            Command::Accept {
                id,
                queue,
                pool,
                policy,
                spec,
                term,
            } => {
                let record = TaskRecord::default();
                let tasks = spec
                    .steps
                    .iter()
                    .map(|s| vec![record; s.count as usize])
                    .collect();
                let open = spec.task_count();
                self.jobs.insert(
                    id,
                    Job {
                        queue,
                        pool,
                        policy,
                        spec,
                        term,
                        accepted_at_ms: time,
                        tasks,
                        open_tasks: open,
                    },
                );
                Some(Change::JobAccepted(id))
            }
            Command::EndRun { task, run, done } => self.apply_run_end(time, task, run, done),
            Command::Cancel(id) if self.jobs.contains_key(&id) => {
                Some(self.end_job(time, id, JobState::Cancelled))
            }
            Command::Cancel(id) => match self.outcome(id) {
                Some(state) => Some(Change::JobEnded(id, state)),
                None => Some(Change::JobNotFound(id)),
            },
            Command::Configure(set) => Some(self.configure(set)),
            Command::RegisterAgent { address, session } => {
                self.agents.insert(address);
                Some(Change::AgentRegistered(address, session, index))
            }
            Command::DeregisterAgent { address } => {
                self.agents.remove(&address);
                Some(Change::AgentDeregistered(address))
            }
        }
    }

    fn configure(&mut self, set: QueueConfig) -> Change {
        let version = set.version;
        if self
            .queues
            .as_ref()
            .is_none_or(|held| held.version < version)
        {
            self.queues = Some(set);
        }
        let held = self.queues.as_ref().map_or(0, |held| held.version);
        Change::Configured {
            version,
            in_force: held,
        }
    }

    fn apply_run_end(&mut self, time: u64, task: TaskId, run: u64, done: bool) -> Option<Change> {
        let job = self.jobs.get_mut(&task.job)?;
        let step = job.tasks.get_mut(usize::from(task.step))?;
        let record = step.get_mut(task.index as usize)?;
        if record.done {
            return None;
        }
        if done {
            record.done = true;
            job.open_tasks -= 1;
            return match job.open_tasks {
                0 => Some(self.end_job(time, task.job, JobState::Completed)),
                _ => Some(Change::TaskDone(task)),
            };
        }
        if run <= record.failed_run {
            // A leader before has stored this failure, and the one that got the report again waits for its entry.
            return Some(Change::TaskRetry(task));
        }
        record.failed_run = run;
        record.failures += 1;
        match record.failures >= job.policy.max_attempts {
            true => Some(self.end_job(time, task.job, JobState::Failed)),
            false => Some(Change::TaskRetry(task)),
        }
    }

    fn end_job(&mut self, time: u64, id: JobId, state: JobState) -> Change {
        self.jobs.remove(&id);
        self.outcomes.insert(
            id,
            JobOutcome {
                state,
                ended_at_ms: time,
            },
        );
        self.ended.push_back(id);
        Change::JobEnded(id, state)
    }

    fn drop_old_outcomes(&mut self, time: u64) {
        let keep = OUTCOME_RETENTION.as_millis() as u64;
        while let Some(id) = self.ended.front() {
            let old = self
                .outcomes
                .get(id)
                .is_none_or(|o| o.ended_at_ms + keep < time);
            if !old {
                break;
            }
            let id = self.ended.pop_front().expect("the first ended job exists");
            self.outcomes.remove(&id);
        }
    }
}
