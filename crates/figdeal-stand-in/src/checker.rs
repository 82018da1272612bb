//! Checks the guarantees of the queue against what callers and workers observe in a test.
//!
//! The stand-ins report starts and ends of runs and the answers to callers. An agent is the process beside a worker
//! that starts its runs and acknowledges their ends. The caller of a volatile job resubmits it after a loss, so the
//! rules on repeated runs, failed runs, order and loss do not apply to volatile jobs.

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
    /// The job as its caller described it.
    pub spec: JobSpec,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Number of submissions with any other answer, or none: the job may or may not have been accepted.
    pub unknown_outcomes: u32,
    /// Number of submissions that were answered with `Refused`, `Invalid` or `NoQueue`.
    pub refusals: u32,
    /// Whether a submission was answered with `Accepted`, so the job is stored.
    pub accepted: bool,
    /// Whether the caller has asked for a cancellation.
    pub cancel_requested: bool,
    /// `Completed` or `Failed`, once an answer to the caller said so. A cancellation does not set this.
    pub final_state: Option<JobState>,
}

/// Start of a run of a task.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Timestamp,
}

/// Observations of callers and workers, and the violations found in them.
#[derive(Debug, Default)]
pub struct Checker {
    /// Jobs of all callers, entered before their first submission.
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    starts: BTreeMap<TaskId, Vec<Start>>,
    /// Jobs of which a task has started.
    begun_jobs: BTreeSet<JobId>,
    /// Tasks of jobs that are not volatile, once an agent has acknowledged their completion to the worker, and whether
    /// the lease of the worker had lapsed between the two.
    acknowledged_completions: BTreeMap<TaskId, bool>,
    /// Tasks that a run on a worker has completed, whether or not an agent knows. The test adds them.
    pub completed_tasks: BTreeSet<TaskId>,
    /// For each task, the failed runs that an agent has acknowledged, as index of the worker and number of the run.
    acknowledged_failures: BTreeMap<TaskId, BTreeSet<(usize, u64)>>,
    /// Newest configuration version that was acknowledged to the operator. The test sets it.
    pub acknowledged_config_version: u64,
    /// Violated guarantees, each with the name of the rule first. The rules of this checker are:
    /// - `UNASKED`: a task starts whose job was not submitted.
    /// - `TWICE`: a task starts while another run of it is in progress, or after its completion.
    /// - `BUDGET`: a task starts after the allowed number of failed runs.
    /// - `ORDER`: a task starts before an earlier step is done.
    /// - `ROUTE`: a task starts on a worker without the label that it requires.
    /// - `REFUSED`: a job runs although all its submissions were refused.
    /// - `LOST`: an accepted job is unknown or does not end, or a job has a wrong state.
    /// - `WAITING`: fewer jobs are said to wait than were accepted and have not begun.
    ///
    /// Tests add violations of further rules.
    pub violations: Vec<String>,
}

impl SubmittedJob {
    /// Creates the record of a job that is about to be submitted.
    pub fn new(spec: JobSpec, max_attempts: u32) -> SubmittedJob {
        SubmittedJob {
            spec,
            max_attempts,
            unknown_outcomes: 0,
            refusals: 0,
            accepted: false,
            cancel_requested: false,
            final_state: None,
        }
    }
}

impl Checker {
    fn report_violation(&mut self, rule: &str, text: String) {
        self.violations.push(format!("{rule}: {text}"));
    }

    /// Checks and records the start of a run on a worker. Must be called before the run is added to the worker.
    pub fn on_start(
        &mut self,
        now: Timestamp,
        worker_index: usize,
        workers: &[&Worker],
        task: TaskId,
    ) {
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self.report_violation(
                "UNASKED",
                format!("{task} starts, its job was not submitted"),
            );
        };
        self.check_overlap(now, worker_index, workers, task);
        if !job.spec.volatile
            && let Some(lapsed) = self.acknowledged_completions.get(&task)
        {
            let text = format!(
                "{task} starts on worker {worker_index} after its completion was acknowledged, at {now:?} \
                 lapsed_before_acknowledgement={lapsed}"
            );
            self.report_violation("TWICE", text);
        }
        let failed = self
            .acknowledged_failures
            .get(&task)
            .map_or(0, BTreeSet::len);
        if !job.spec.volatile && failed >= job.max_attempts as usize {
            self.report_violation(
                "BUDGET",
                format!(
                    "{task} starts on worker {worker_index} after {failed} failed runs, at {now:?}"
                ),
            );
        }
        let step = &job.spec.steps[usize::from(task.step)];
        let labels = &workers[worker_index].labels;
        if let Some(label) = &step.label
            && !labels.contains(label)
        {
            self.report_violation(
                "ROUTE",
                format!("{task} requires {label} and starts on worker {worker_index}, which has {labels:?}"),
            );
        }
        for earlier_step in &step.depends_on {
            let count = job.spec.steps[usize::from(*earlier_step)].count;
            let all_done = (0..count).all(|index| {
                let earlier = TaskId {
                    step: *earlier_step,
                    index,
                    ..task
                };
                self.completed_tasks.contains(&earlier)
            });
            if !all_done && !job.spec.volatile {
                self.report_violation(
                    "ORDER",
                    format!("{task} starts before step {earlier_step} is done"),
                );
            }
        }
        self.starts.entry(task).or_default().push(Start { at: now });
        self.begun_jobs.insert(task.job);
    }

    /// Checks that no worker has a run of the task in progress, beside one that `worker_index` starts or goes on with.
    pub fn check_overlap(
        &mut self,
        now: Timestamp,
        worker_index: usize,
        workers: &[&Worker],
        task: TaskId,
    ) {
        for (other, worker) in workers.iter().enumerate() {
            if worker.is_at_work(now, task) {
                self.report_violation(
                    "TWICE",
                    format!("{task} on workers {other} and {worker_index} at {now:?}"),
                );
            }
        }
    }

    /// Checks and records the end of a run that an agent has acknowledged. The worker forgets the end after that.
    pub fn on_end_acknowledged(&mut self, worker_index: usize, worker: &Worker, end: EndedRun) {
        let Some(job) = self.jobs.get(&end.task.job) else {
            return;
        };
        if job.spec.volatile {
            return;
        }
        match end.outcome {
            ListedOutcome::Done => {
                let lapsed = worker.lease_expirations.iter().any(|l| *l > end.ended_at);
                self.acknowledged_completions.insert(end.task, lapsed);
                let starts = self.starts.get(&end.task).into_iter().flatten();
                // A later start is allowed if the lease of the worker had expired between the end and that start.
                let lease_expired = |s: &Start| {
                    worker
                        .lease_expirations
                        .iter()
                        .any(|l| *l > end.ended_at && *l <= s.at)
                };
                let repeated = starts
                    .filter(|s| s.at > end.ended_at && !lease_expired(s))
                    .count();
                if repeated > 0 {
                    self.report_violation(
                        "TWICE",
                        format!(
                            "{} was started again after it completed on worker {worker_index}",
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
            // A lost run does not count as a failed one.
            ListedOutcome::Lost => {}
        }
    }

    /// Records the answer to a submission.
    pub fn on_submit_answer(&mut self, id: JobId, answer: &Answer) {
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        match answer {
            Answer::Accepted => job.accepted = true,
            Answer::VolatileEnded(succeeded) => {
                let state = if *succeeded {
                    JobState::Completed
                } else {
                    JobState::Failed
                };
                job.final_state = Some(state);
            }
            Answer::Refused { .. } | Answer::Invalid | Answer::NoQueue => job.refusals += 1,
            _ => job.unknown_outcomes += 1,
        }
    }

    /// Checks and records the answer to a query for a job.
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
                if *state == JobState::Cancelled && !job.cancel_requested {
                    self.report_violation(
                        "LOST",
                        format!("{id} is cancelled, but its caller did not cancel it"),
                    );
                }
                let ended = matches!(state, JobState::Completed | JobState::Failed);
                if ended {
                    self.jobs.get_mut(&id).unwrap().final_state = Some(*state);
                }
            }
            _ => {}
        }
    }

    /// Returns the jobs that wait for certain: they are stored, and no task of them has started.
    pub fn waiting_jobs(&self) -> BTreeSet<JobId> {
        let waits = |(id, job): &(&JobId, &SubmittedJob)| {
            let is_open = job.final_state.is_none() && !job.cancel_requested;
            job.accepted && !job.spec.volatile && is_open && !self.has_started(**id)
        };
        let waiting = self.jobs.iter().filter(waits);
        waiting.map(|(id, _)| *id).collect()
    }

    /// Checks the number of waiting jobs that a caller was told. `asked` are the [`Checker::waiting_jobs`] from when the
    /// caller asked; those that have begun since may be left out.
    pub fn on_waiting_answer(&mut self, asked: &BTreeSet<JobId>, told: u32) {
        let waiting: Vec<JobId> = self.waiting_jobs().intersection(asked).copied().collect();
        if (told as usize) < waiting.len() {
            self.report_violation(
                "WAITING",
                format!("{told} jobs are said to wait, and these have not begun: {waiting:?}"),
            );
        }
    }

    /// Checks the guarantees that concern whole jobs, at the end of a test. Accepted jobs must have been queried until
    /// they ended.
    pub fn finish(&mut self) {
        for (id, job) in self.jobs.clone() {
            let started = self.has_started(id);
            let was_refused = job.refusals > 0 && job.unknown_outcomes == 0 && !job.accepted;
            // A volatile job with a final state was not accepted but has run after another submission.
            if was_refused && job.final_state.is_none() && started {
                self.report_violation("REFUSED", format!("{id} was refused and has run"));
            }
            if job.accepted
                && !job.spec.volatile
                && !job.cancel_requested
                && job.final_state.is_none()
            {
                self.report_violation(
                    "LOST",
                    format!("{id} was accepted and no final state was reported"),
                );
            }
        }
    }

    /// Returns whether a task of the job has failed as often as it may, as its workers have told the agents.
    pub fn has_failed(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let mut failures = self.acknowledged_failures.iter();
        failures.any(|(task, runs)| task.job == id && runs.len() >= job.max_attempts as usize)
    }

    /// Returns whether a task of the job has started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.begun_jobs.contains(&id)
    }

    /// Returns the number of runs that have started.
    pub fn start_count(&self) -> usize {
        self.starts.values().map(Vec::len).sum()
    }
}
