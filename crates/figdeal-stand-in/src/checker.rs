//! Checks the guarantees of the queue against what callers and workers observe.

use std::collections::{BTreeMap, BTreeSet};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::ListedOutcome,
    job::{JobId, JobSpec, JobState, TaskId},
    message::Answer,
};

use crate::worker::{EndedRun, Worker};

/// A job and what its caller observed.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// The submitted job.
    pub spec: JobSpec,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Number of submissions whose outcome the caller does not know.
    pub unknown_answers: u32,
    /// Number of submissions that were refused.
    pub refusals: u32,
    /// Whether the job was acknowledged as stored.
    pub accepted: bool,
    /// Whether the caller has cancelled the job.
    pub cancelled: bool,
    /// Final state as reported to the caller.
    pub final_state: Option<JobState>,
}

/// Start of a run on a worker.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Timestamp,
}

/// Observations of callers and workers, and the violations found in them.
#[derive(Debug, Default)]
pub struct Checker {
    /// Jobs that callers have submitted.
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    starts: BTreeMap<TaskId, Vec<Start>>,
    /// Tasks whose completion an agent has acknowledged to the worker.
    acknowledged_done: BTreeSet<TaskId>,
    /// Tasks that a run has completed, whether or not the completion was reported.
    pub finished_tasks: BTreeSet<TaskId>,
    /// For each task, the failed runs that an agent has acknowledged, as worker index and run number.
    acknowledged_failures: BTreeMap<TaskId, BTreeSet<(usize, u64)>>,
    /// Newest acknowledged version of the configuration.
    pub acknowledged_version: u64,
    /// Violated guarantees, each with the name of the rule first.
    pub violations: Vec<String>,
}

impl SubmittedJob {
    /// Creates the record of a job that is about to be submitted.
    pub fn new(spec: JobSpec, max_attempts: u32) -> SubmittedJob {
        SubmittedJob {
            spec,
            max_attempts,
            unknown_answers: 0,
            refusals: 0,
            accepted: false,
            cancelled: false,
            final_state: None,
        }
    }
}

impl Checker {
    fn report_violation(&mut self, rule: &str, text: String) {
        self.violations.push(format!("{rule}: {text}"));
    }

    /// Checks the start of a run on a worker.
    pub fn on_start(
        &mut self,
        now: Timestamp,
        worker_index: usize,
        workers: &[&Worker],
        task: TaskId,
    ) {
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self.report_violation("UNASKED", format!("{task}"));
        };
        for (other, worker) in workers.iter().enumerate() {
            if worker.is_up && worker.runs.contains_key(&task) {
                self.report_violation(
                    "TWICE",
                    format!("{task} on workers {other} and {worker_index} at {now:?}"),
                );
            }
        }
        if !job.spec.volatile && self.acknowledged_done.contains(&task) {
            self.report_violation(
                "TWICE",
                format!("{task} starts after its end was stored, at {now:?}"),
            );
        }
        let failed = self
            .acknowledged_failures
            .get(&task)
            .map_or(0, BTreeSet::len);
        if !job.spec.volatile && failed >= job.max_attempts as usize {
            self.report_violation("BUDGET", format!("{task} starts after {failed} failures"));
        }
        let step = &job.spec.steps[usize::from(task.step)];
        for earlier_step in &step.depends_on {
            let count = job.spec.steps[usize::from(*earlier_step)].count;
            let all_done = (0..count).all(|index| {
                let earlier = TaskId {
                    step: *earlier_step,
                    index,
                    ..task
                };
                self.finished_tasks.contains(&earlier)
            });
            if !all_done && !job.spec.volatile {
                self.report_violation(
                    "ORDER",
                    format!("{task} starts before step {earlier_step} is done"),
                );
            }
        }
        self.starts.entry(task).or_default().push(Start { at: now });
    }

    /// Records an end that the agent has acknowledged, after which the worker forgets it.
    pub fn on_end_acknowledged(&mut self, worker_index: usize, worker: &Worker, end: EndedRun) {
        let Some(job) = self.jobs.get(&end.task.job) else {
            return;
        };
        if job.spec.volatile {
            return;
        }
        match end.outcome {
            ListedOutcome::Done => {
                self.acknowledged_done.insert(end.task);
                let later = self.starts.get(&end.task).into_iter().flatten();
                let lease_expired = |s: &Start| {
                    worker
                        .lease_expirations
                        .iter()
                        .any(|l| *l > end.ended_at && *l <= s.at)
                };
                let repeated = later
                    .filter(|s| s.at > end.ended_at && !lease_expired(s))
                    .count();
                if repeated > 0 {
                    self.report_violation(
                        "TWICE",
                        format!(
                            "{} started after an end that was acknowledged later",
                            end.task
                        ),
                    );
                }
            }
            ListedOutcome::Failed => {
                self.acknowledged_failures
                    .entry(end.task)
                    .or_default()
                    .insert((worker_index, end.run));
            }
            ListedOutcome::Lost => {}
        }
    }

    /// Records the answer to a submission.
    pub fn on_submit_answer(&mut self, id: JobId, answer: &Answer) {
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        match answer {
            Answer::Accepted => job.accepted = true,
            Answer::VolatileEnded(done) => {
                let state = if *done {
                    JobState::Completed
                } else {
                    JobState::Failed
                };
                job.final_state = Some(state);
            }
            Answer::Refused { .. } | Answer::Invalid | Answer::NoQueue => job.refusals += 1,
            _ => job.unknown_answers += 1,
        }
    }

    /// Checks the answer to a query for a stored job.
    pub fn on_query_answer(&mut self, id: JobId, answer: &Answer) {
        let job = self.jobs[&id].clone();
        match answer {
            Answer::NoJob if job.accepted => {
                self.report_violation("LOST", format!("{id} is not known"))
            }
            Answer::State(state) => {
                if let Some(before) = job.final_state
                    && before != *state
                {
                    self.report_violation("LOST", format!("{id} was {before:?} and is {state:?}"));
                }
                if *state == JobState::Cancelled && !job.cancelled {
                    self.report_violation("LOST", format!("{id} is cancelled without cause"));
                }
                let ended = matches!(state, JobState::Completed | JobState::Failed);
                if ended {
                    self.jobs.get_mut(&id).unwrap().final_state = Some(*state);
                }
            }
            _ => {}
        }
    }

    /// Checks the guarantees that can only be checked at the end of a test.
    pub fn finish(&mut self) {
        for (id, job) in self.jobs.clone() {
            let started = self.starts.keys().any(|t| t.job == id);
            let rejected = job.refusals > 0 && job.unknown_answers == 0 && !job.accepted;
            if rejected && job.final_state.is_none() && started {
                self.report_violation("REFUSED", format!("{id} was refused and has run"));
            }
            if job.accepted && !job.spec.volatile && !job.cancelled && job.final_state.is_none() {
                self.report_violation("LOST", format!("{id} was accepted and has not ended"));
            }
        }
    }

    /// Returns whether a task of the job has started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.starts.keys().any(|task| task.job == id)
    }

    /// Returns the number of runs that have started.
    pub fn start_count(&self) -> usize {
        self.starts.values().map(Vec::len).sum()
    }
}
