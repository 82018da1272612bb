//! Replicated state machine: the result of applying the committed log entries.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

pub use self::task_set::TaskSet;
use crate::{
    job::{JobId, JobSpec, JobState, Policy, QueueConfig, TaskId},
    raft::Term,
    stored_size::{OUTCOME_BYTES, QueueBytes, encoded_job_bytes, job_bytes},
};

mod task_set;

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

impl Command {
    /// Returns the approximate size of the encoded command.
    pub(crate) fn approximate_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 64;
        let content = match self {
            Command::Accept { spec, .. } => encoded_job_bytes(spec),
            Command::Configure(config) => 2 * config.text.len(),
            Command::EndRun { .. }
            | Command::Cancel(_)
            | Command::RegisterAgent { .. }
            | Command::DeregisterAgent { .. }
            | Command::SetEvacuation { .. } => 0,
        };
        FIXED_BYTES + content
    }
}

/// Commands of one log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Leader's clock in Unix milliseconds; only used for the age of outcomes and jobs.
    pub time_ms: u64,
    /// Commands in order.
    pub commands: Vec<Command>,
}

/// Replicated state of the tasks of a step.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StepRecord {
    /// Tasks of which a run was successful.
    pub done: TaskSet,
    /// Failed runs of the tasks that have some.
    pub failures: BTreeMap<u32, Failures>,
}

/// Failed runs of a task.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Failures {
    /// Number of failed runs.
    pub count: u32,
    /// Number of the newest failed run, so that a repeated report counts once.
    pub last_run: u64,
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
    /// State of the tasks, by step.
    pub steps: Vec<StepRecord>,
    /// Number of tasks that are not done.
    pub open_tasks: u32,
}

impl Job {
    /// Returns whether a run of a task has ended.
    pub fn has_ended_runs(&self) -> bool {
        let mut steps = self.steps.iter();
        steps.any(|s| !s.done.is_empty() || !s.failures.is_empty())
    }
}

/// Outcome of a job and when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Completed, failed or cancelled.
    pub state: JobState,
    /// Leader's clock in Unix milliseconds.
    pub ended_at_ms: u64,
    /// Number of its queue in the state.
    pub queue: u32,
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
    /// Names of all queues that have had jobs; outcomes refer to them by number.
    queue_names: Vec<String>,
    /// What the jobs and outcomes hold.
    #[serde(skip)]
    held: QueueBytes,
}

impl ReplicatedState {
    /// Decodes the data of a snapshot.
    ///
    /// # Errors
    /// Fails on data that are not an encoded state.
    ///
    /// ```
    /// use figdeal_queue::state::ReplicatedState;
    ///
    /// let state = ReplicatedState::default();
    /// assert_eq!(ReplicatedState::decode(&state.encode()).unwrap(), state);
    /// ```
    pub fn decode(data: &[u8]) -> Result<ReplicatedState, postcard::Error> {
        let mut state: ReplicatedState = postcard::from_bytes(data)?;
        for job in state.jobs.values() {
            state.held.add(&job.queue, job_bytes(&job.spec));
        }
        for outcome in state.outcomes.values() {
            let queue = &state.queue_names[outcome.queue as usize];
            state.held.add(queue, OUTCOME_BYTES);
        }
        Ok(state)
    }

    /// Encodes the state as the data of a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state can be encoded")
    }

    /// Returns what the jobs and outcomes of each queue hold.
    pub fn held(&self) -> &QueueBytes {
        &self.held
    }

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
                self.held.add(&queue, job_bytes(&spec));
                let steps = vec![StepRecord::default(); spec.steps.len()];
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
                        steps,
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
        let step = job.steps.get_mut(usize::from(task.step))?;
        if task.index >= job.spec.steps[usize::from(task.step)].count
            || step.done.contains(task.index)
        {
            return None;
        }
        if done {
            step.done.insert(task.index);
            job.open_tasks -= 1;
            return match job.open_tasks {
                0 => Some(self.end_job(time_ms, task.job, JobState::Completed)),
                _ => Some(Change::TaskDone(task)),
            };
        }
        let failures = step.failures.entry(task.index).or_default();
        if run <= failures.last_run {
            // An earlier leader stored this failure; the present leader received the report again and waits for its
            // entry.
            return Some(Change::TaskRetry(task));
        }
        failures.last_run = run;
        failures.count += 1;
        match failures.count >= job.policy.max_attempts {
            true => Some(self.end_job(time_ms, task.job, JobState::Failed)),
            false => Some(Change::TaskRetry(task)),
        }
    }

    fn end_job(&mut self, time_ms: u64, id: JobId, state: JobState) -> Change {
        let job = self.jobs.remove(&id).expect("only a known job can end");
        self.held.remove(&job.queue, job_bytes(&job.spec));
        self.held.add(&job.queue, OUTCOME_BYTES);
        let outcome = JobOutcome {
            state,
            ended_at_ms: time_ms,
            queue: self.queue_number(&job.queue),
        };
        self.outcomes.insert(id, outcome);
        self.ended.push_back(id);
        Change::JobEnded(id, state)
    }

    fn queue_number(&mut self, queue: &str) -> u32 {
        let known = self.queue_names.iter().position(|name| name == queue);
        let number = known.unwrap_or_else(|| {
            self.queue_names.push(queue.to_owned());
            self.queue_names.len() - 1
        });
        number as u32
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
            if let Some(outcome) = self.outcomes.remove(&id) {
                let queue = &self.queue_names[outcome.queue as usize];
                self.held.remove(queue, OUTCOME_BYTES);
            }
        }
    }
}
