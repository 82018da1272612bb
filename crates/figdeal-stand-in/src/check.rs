//! The promises, judged by what callers and workers see.

use std::collections::{BTreeMap, BTreeSet};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::ListedOutcome,
    job::{JobId, JobSpec, JobState, TaskId},
    message::Answer,
};

use crate::worker::{End, Worker};

/// What a caller saw of one job.
#[derive(Debug, Clone)]
pub struct Sent {
    /// What was handed in.
    pub spec: JobSpec,
    /// Failed runs of a task after which the job has failed.
    pub attempts: u32,
    /// Tries without an answer or with an unclear one.
    pub unclear: u32,
    /// Tries that were refused.
    pub refused: u32,
    /// It was acknowledged as stored.
    pub accepted: bool,
    /// Its caller has cancelled it.
    pub cancelled: bool,
    /// How it has ended, as its caller was told.
    pub ended: Option<JobState>,
}

/// A start that a worker carried out.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Timestamp,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Check {
    /// Jobs that callers have handed in.
    pub jobs: BTreeMap<JobId, Sent>,
    starts: BTreeMap<TaskId, Vec<Start>>,
    done: BTreeSet<TaskId>,
    /// Tasks of which a run has ended as done, whether anybody knows or not.
    pub ended: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, BTreeSet<(usize, u64)>>,
    /// Newest version of the configuration that was acknowledged.
    pub acknowledged: u64,
    /// Broken promises.
    pub broken: Vec<String>,
}

impl Sent {
    /// A job that is about to be handed in.
    pub fn new(spec: JobSpec, attempts: u32) -> Sent {
        Sent {
            spec,
            attempts,
            unclear: 0,
            refused: 0,
            accepted: false,
            cancelled: false,
            ended: None,
        }
    }
}

impl Check {
    fn fail(&mut self, rule: &str, text: String) {
        self.broken.push(format!("{rule}: {text}"));
    }

    /// A worker is about to begin a run.
    pub fn start(&mut self, now: Timestamp, at: usize, workers: &[&Worker], task: TaskId) {
        let Some(sent) = self.jobs.get(&task.job).cloned() else {
            return self.fail("UNASKED", format!("{task}"));
        };
        for (other, worker) in workers.iter().enumerate() {
            if worker.up && worker.runs.contains_key(&task) {
                self.fail(
                    "TWICE",
                    format!("{task} on workers {other} and {at} at {now:?}"),
                );
            }
        }
        if !sent.spec.volatile && self.done.contains(&task) {
            self.fail(
                "TWICE",
                format!("{task} starts after its end was stored, at {now:?}"),
            );
        }
        let failed = self.failed.get(&task).map_or(0, BTreeSet::len);
        if !sent.spec.volatile && failed >= sent.attempts as usize {
            self.fail("BUDGET", format!("{task} starts after {failed} failures"));
        }
        let step = &sent.spec.steps[usize::from(task.step)];
        for before in &step.depends_on {
            let count = sent.spec.steps[usize::from(*before)].count;
            let all = (0..count).all(|index| {
                let earlier = TaskId {
                    step: *before,
                    index,
                    ..task
                };
                self.ended.contains(&earlier)
            });
            if !all && !sent.spec.volatile {
                self.fail(
                    "ORDER",
                    format!("{task} starts before step {before} is done"),
                );
            }
        }
        self.starts.entry(task).or_default().push(Start { at: now });
    }

    /// An agent tells its worker to forget an end, so it is taken note of.
    pub fn noted(&mut self, at: usize, worker: &Worker, end: End) {
        let Some(sent) = self.jobs.get(&end.task.job) else {
            return;
        };
        if sent.spec.volatile {
            return;
        }
        match end.how {
            ListedOutcome::Done => {
                self.done.insert(end.task);
                let later = self.starts.get(&end.task).into_iter().flatten();
                let lapsed = |s: &Start| worker.lapses.iter().any(|l| *l > end.at && *l <= s.at);
                let bad = later.filter(|s| s.at > end.at && !lapsed(s)).count();
                if bad > 0 {
                    self.fail(
                        "TWICE",
                        format!("{} started after an end noted later", end.task),
                    );
                }
            }
            ListedOutcome::Failed => {
                self.failed
                    .entry(end.task)
                    .or_default()
                    .insert((at, end.run));
            }
            ListedOutcome::Lost => {}
        }
    }

    /// What a caller got for a job that it handed in.
    pub fn answered(&mut self, id: JobId, answer: &Answer) {
        let sent = self.jobs.get_mut(&id).expect("the job was handed in");
        match answer {
            Answer::Accepted => sent.accepted = true,
            Answer::VolatileEnded(done) => {
                let state = if *done {
                    JobState::Completed
                } else {
                    JobState::Failed
                };
                sent.ended = Some(state);
            }
            Answer::Refused { .. } | Answer::Invalid | Answer::NoQueue => sent.refused += 1,
            _ => sent.unclear += 1,
        }
    }

    /// What a caller was told of a stored job.
    pub fn shown(&mut self, id: JobId, answer: &Answer) {
        let sent = self.jobs[&id].clone();
        match answer {
            Answer::NoJob if sent.accepted => self.fail("LOST", format!("{id} is not known")),
            Answer::State(state) => {
                if let Some(before) = sent.ended
                    && before != *state
                {
                    self.fail("LOST", format!("{id} was {before:?} and is {state:?}"));
                }
                if *state == JobState::Cancelled && !sent.cancelled {
                    self.fail("LOST", format!("{id} is cancelled without cause"));
                }
                let ended = matches!(state, JobState::Completed | JobState::Failed);
                if ended {
                    self.jobs.get_mut(&id).unwrap().ended = Some(*state);
                }
            }
            _ => {}
        }
    }

    /// Judges the whole run.
    pub fn finish(&mut self) {
        for (id, sent) in self.jobs.clone() {
            let started = self.starts.keys().any(|t| t.job == id);
            let rejected = sent.refused > 0 && sent.unclear == 0 && !sent.accepted;
            if rejected && sent.ended.is_none() && started {
                self.fail("REFUSED", format!("{id} was refused and has run"));
            }
            if sent.accepted && !sent.spec.volatile && !sent.cancelled && sent.ended.is_none() {
                self.fail("LOST", format!("{id} was accepted and has not ended"));
            }
        }
    }

    /// Whether a task of the job has started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.starts.keys().any(|task| task.job == id)
    }

    /// Number of starts.
    pub fn start_count(&self) -> usize {
        self.starts.values().map(Vec::len).sum()
    }
}
