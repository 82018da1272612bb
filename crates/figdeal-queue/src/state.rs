//! Replicated state machine: the result of applying the committed log entries.

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

/// How long the outcome of an ended job is kept. Callers may ask for 120 s; the rest allows for clocks of successive
/// leaders that differ by seconds.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(150);

/// A command in the log that changes the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a job.
    Accept {
        /// Identity of the job.
        id: JobId,
        /// Name of its queue.
        queue: String,
        /// Pool of workers that serves the queue.
        pool: String,
        /// Policy of the queue when the job was accepted.
        policy: Policy,
        /// What to run.
        spec: Arc<JobSpec>,
        /// Term of the leader, from which the run numbers are derived.
        term: Term,
    },
    /// A run of a task has ended as done or failed.
    EndRun {
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run; later runs of a task have higher numbers.
        run: u64,
        /// Whether the run was successful.
        done: bool,
    },
    /// Cancels a job.
    Cancel(JobId),
    /// Replaces the configuration if its version is higher.
    Configure(QueueConfig),
    /// Registers an agent, which may start tasks from here on. The index of the entry becomes its fencing token.
    RegisterAgent {
        /// Address of the agent.
        address: SocketAddr,
        /// Identity of the agent's process.
        session: u64,
    },
    /// Removes an agent after all its runs have ended; it must register again before it starts another.
    DeregisterAgent {
        /// Address of the agent.
        address: SocketAddr,
    },
    /// Evacuates a data centre unless it is the last one, or revokes its evacuation.
    SetEvacuation {
        /// Name of the data centre.
        data_centre: String,
        /// Whether the data centre is evacuated from now on.
        evacuated: bool,
        /// All data centres that the leader knew. Replicas do not know those of the workers.
        known: BTreeSet<String>,
    },
}

/// Commands of one log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Leader's clock in Unix milliseconds; only used for the age of outcomes and jobs.
    pub time_ms: u64,
    /// Commands in order.
    pub commands: Vec<Command>,
}

/// Replicated state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether a run of the task was successful.
    pub done: bool,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of the newest failed run, so that a repeated report counts once.
    pub failed_run: u64,
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of its queue.
    pub queue: String,
    /// Pool of workers.
    pub pool: String,
    /// Policy of the queue when the job was accepted.
    pub policy: Policy,
    /// What to run.
    pub spec: Arc<JobSpec>,
    /// Term in which the job was accepted.
    pub term: Term,
    /// When the job was accepted, by the leader's clock in Unix milliseconds.
    pub accepted_at_ms: u64,
    /// Tasks, grouped by step.
    pub tasks: Vec<Vec<TaskRecord>>,
    /// Number of tasks that are not done.
    pub open_tasks: u32,
}

/// Outcome of a job and when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Completed, failed or cancelled.
    pub state: JobState,
    /// Leader's clock in Unix milliseconds.
    pub ended_at_ms: u64,
}

/// What a command changed, for the dispatcher and the waiting callers.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A new job is stored.
    JobAccepted(JobId),
    /// The state already holds a job with this identity.
    JobAlreadyKnown(JobId),
    /// A task is done.
    TaskDone(TaskId),
    /// A run of a task failed, and the task has attempts left.
    TaskRetry(TaskId),
    /// A job has ended.
    JobEnded(JobId, JobState),
    /// The job to cancel is not known.
    JobNotFound(JobId),
    /// A configuration was processed; it is in force only if its version was the highest.
    Configured {
        /// Version of the processed configuration.
        version: u64,
        /// Version that is in force now.
        in_force: u64,
    },
    /// An agent was registered: address, identity of its process, fencing token.
    AgentRegistered(SocketAddr, u64, u64),
    /// An agent was removed.
    AgentDeregistered(SocketAddr),
    /// A request about an evacuation was decided.
    EvacuationDecided {
        /// Name of the data centre.
        data_centre: String,
        /// What the request asked for.
        evacuated: bool,
        /// The decision.
        decision: EvacuationDecision,
    },
}

/// Decision about a request to evacuate a data centre or to revoke its evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationDecision {
    /// The evacuation began or was revoked.
    Changed,
    /// The state was as requested before.
    Unchanged,
    /// No data centre would be left.
    LastDataCentre,
}

/// Replicated state of one group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Configuration in force.
    pub queues: Option<QueueConfig>,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, Job>,
    /// Outcomes of ended jobs.
    pub outcomes: BTreeMap<JobId, JobOutcome>,
    /// Ended jobs in the order in which they ended.
    ended: VecDeque<JobId>,
    /// Registered agents, which may have runs.
    pub agents: BTreeSet<SocketAddr>,
    /// Data centres in which no task may start.
    pub evacuated: BTreeSet<String>,
}

impl ReplicatedState {
    /// Applies the entry at `index` and returns what changed, in order.
    pub fn apply(&mut self, index: u64, batch: Batch) -> Vec<Change> {
        let time_ms = batch.time_ms;
        self.drop_old_outcomes(time_ms);
        let commands = batch.commands.into_iter();
        commands
            .filter_map(|command| self.apply_command(index, time_ms, command))
            .collect()
    }

    /// Returns the outcome of an ended job. Whether a job is queued or running is known to the dispatcher only.
    pub fn outcome_of(&self, id: JobId) -> Option<JobState> {
        self.outcomes.get(&id).map(|o| o.state)
    }

    /// Returns whether the job is known, ended or not.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.outcomes.contains_key(&id)
    }

    fn apply_command(&mut self, index: u64, time_ms: u64, command: Command) -> Option<Change> {
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
                let open_tasks = spec.task_count();
                self.jobs.insert(
                    id,
                    Job {
                        queue,
                        pool,
                        policy,
                        spec,
                        term,
                        accepted_at_ms: time_ms,
                        tasks,
                        open_tasks,
                    },
                );
                Some(Change::JobAccepted(id))
            }
            Command::EndRun { task, run, done } => self.apply_run_end(time_ms, task, run, done),
            Command::Cancel(id) if self.jobs.contains_key(&id) => {
                Some(self.end_job(time_ms, id, JobState::Cancelled))
            }
            Command::Cancel(id) => match self.outcome_of(id) {
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
            Command::SetEvacuation {
                data_centre,
                evacuated,
                known,
            } => Some(self.set_evacuation(data_centre, evacuated, &known)),
        }
    }

    fn configure(&mut self, set: QueueConfig) -> Change {
        let version = set.version;
        if self
            .queues
            .as_ref()
            .is_none_or(|current| current.version < version)
        {
            self.queues = Some(set);
        }
        let current = self.queues.as_ref().map_or(0, |current| current.version);
        Change::Configured {
            version,
            in_force: current,
        }
    }

    fn set_evacuation(
        &mut self,
        data_centre: String,
        evacuated: bool,
        known: &BTreeSet<String>,
    ) -> Change {
        let is_left = |name: &String| *name != data_centre && !self.evacuated.contains(name);
        let decision = match (evacuated, self.evacuated.contains(&data_centre)) {
            (true, true) | (false, false) => EvacuationDecision::Unchanged,
            (true, false) if !known.iter().any(is_left) => EvacuationDecision::LastDataCentre,
            (true, false) => {
                self.evacuated.insert(data_centre.clone());
                EvacuationDecision::Changed
            }
            (false, true) => {
                self.evacuated.remove(&data_centre);
                EvacuationDecision::Changed
            }
        };
        Change::EvacuationDecided {
            data_centre,
            evacuated,
            decision,
        }
    }

    fn apply_run_end(
        &mut self,
        time_ms: u64,
        task: TaskId,
        run: u64,
        done: bool,
    ) -> Option<Change> {
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
                0 => Some(self.end_job(time_ms, task.job, JobState::Completed)),
                _ => Some(Change::TaskDone(task)),
            };
        }
        if run <= record.failed_run {
            // An earlier leader stored this failure; the present leader received the report again and waits for its
            // entry.
            return Some(Change::TaskRetry(task));
        }
        record.failed_run = run;
        record.failures += 1;
        match record.failures >= job.policy.max_attempts {
            true => Some(self.end_job(time_ms, task.job, JobState::Failed)),
            false => Some(Change::TaskRetry(task)),
        }
    }

    fn end_job(&mut self, time_ms: u64, id: JobId, state: JobState) -> Change {
        self.jobs.remove(&id);
        self.outcomes.insert(
            id,
            JobOutcome {
                state,
                ended_at_ms: time_ms,
            },
        );
        self.ended.push_back(id);
        Change::JobEnded(id, state)
    }

    fn drop_old_outcomes(&mut self, time_ms: u64) {
        let retention_ms = OUTCOME_RETENTION.as_millis() as u64;
        while let Some(id) = self.ended.front() {
            let is_old = self
                .outcomes
                .get(id)
                .is_none_or(|o| o.ended_at_ms + retention_ms < time_ms);
            if !is_old {
                break;
            }
            let id = self
                .ended
                .pop_front()
                .expect("the queue of ended jobs is not empty");
            self.outcomes.remove(&id);
        }
    }
}
