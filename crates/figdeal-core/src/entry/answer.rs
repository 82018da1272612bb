//! Final outcomes and the requests that wait for them.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Answer, EntryCore, FETCH_LIMIT, FinishedJob, MIN_RETRY,
    job::{JobKey, Phase, Progress, Waiter, WaiterId},
};
use crate::{
    outcome::{Outcome, RefusalReason, TaskState},
    time::Timestamp,
};

impl EntryCore {
    pub(super) fn answer(&mut self, waiter: WaiterId, answer: Answer) {
        self.actions.push(Action::Answer { waiter, answer });
    }

    /// Answers with a final outcome, else lets the waiter wait until `until` or answers that the job is running.
    pub(super) fn wait_for(&mut self, key: JobKey, waiter: WaiterId, until: Option<Timestamp>) {
        if let Phase::Finished(outcome) = &self.jobs[key].phase {
            let answer = Answer::Final(Arc::clone(outcome));
            return self.answer(waiter, answer);
        }
        let Some(until) = until else {
            return self.answer(waiter, Answer::Running);
        };
        self.jobs[key].waiters.push(Waiter { id: waiter, until });
        self.patience.insert((until, waiter, key));
    }

    /// How long a request waits that names no deadline of its own.
    pub(super) fn fetch_until(&self, key: JobKey, now: Timestamp) -> Timestamp {
        (self.jobs[key].deadline + self.limits.cancel_grace).max(now + FETCH_LIMIT)
    }

    /// Tells callers whose deadline passed to ask again. The jobs that they wait for are claimed by this entry, or
    /// owned by another one that does not answer; an owner answers at the deadline itself.
    pub(super) fn expire_waiters(&mut self, now: Timestamp) {
        while let Some(&(until, waiter, key)) = self.patience.first() {
            if until > now {
                return;
            }
            self.patience.pop_first();
            self.jobs[key].waiters.retain(|w| w.id != waiter);
            self.answer(waiter, Answer::Undecided);
        }
    }

    fn answer_waiters(&mut self, key: JobKey, waiters: Vec<Waiter>, answer: &Answer) {
        for Waiter { id, until } in waiters {
            let is_waiting = self.patience.remove(&(until, id, key));
            assert!(is_waiting, "a waiter is answered once");
            self.answer(id, answer.clone());
        }
    }

    pub(super) fn refuse(&mut self, key: JobKey, reason: RefusalReason, now: Timestamp) {
        let retry_after = self.retry_after();
        self.finish_with(
            key,
            Arc::new(Outcome::NotRun {
                reason,
                retry_after,
            }),
            now,
        );
    }

    /// Answers the waiters of a job that this entry does not own and forgets it.
    pub(super) fn dismiss(&mut self, key: JobKey, answer: Answer) {
        let job = self.jobs.remove(key).expect("the job is in the table");
        self.keys.remove(&job.key);
        self.answer_waiters(key, job.waiters, &answer);
    }

    /// Builds the answer of a job whose tasks are all resolved.
    pub(super) fn finish(&mut self, key: JobKey, now: Timestamp) {
        let job = &mut self.jobs[key];
        assert_eq!(job.unresolved, 0, "a finished job has no unresolved task");
        let states = job.states();
        let left = self.in_progress.entry(job.team).or_default();
        *left = left
            .checked_sub(states.len() as u32)
            .expect("the job counts as in progress");
        let is_complete = states.iter().all(|s| *s == TaskState::Done);
        let is_untouched = states.iter().all(|s| *s == TaskState::NotStarted);
        let outcome = if is_complete {
            let results: Vec<Vec<u8>> = job
                .tasks
                .iter_mut()
                .filter_map(|t| match &mut t.progress {
                    Progress::Done(bytes) => Some(std::mem::take(bytes)),
                    _ => None,
                })
                .collect();
            assert_eq!(
                results.len(),
                states.len(),
                "a complete answer has every result"
            );
            Outcome::Complete(results)
        } else if job.is_cancelled {
            Outcome::Cancelled(states)
        } else if is_untouched {
            let is_late = now >= job.deadline;
            let reason = if is_late {
                RefusalReason::DeadlinePassed
            } else {
                RefusalReason::Unplaceable
            };
            Outcome::NotRun {
                reason,
                retry_after: self.retry_after(),
            }
        } else {
            Outcome::Failed(states)
        };
        self.finish_with(key, Arc::new(outcome), now);
    }

    pub(super) fn finish_with(&mut self, key: JobKey, outcome: Arc<Outcome>, now: Timestamp) {
        let job = &mut self.jobs[key];
        assert!(
            !matches!(job.phase, Phase::Finished(_)),
            "a job is answered once"
        );
        let is_own = matches!(job.phase, Phase::Claiming | Phase::Active);
        job.phase = Phase::Finished(Arc::clone(&outcome));
        let tasks = std::mem::take(&mut job.tasks);
        if is_own {
            self.ended.push(FinishedJob {
                team: job.team,
                outcome: Arc::clone(&outcome),
                response: now.since(job.arrived),
                tasks: tasks
                    .iter()
                    .map(|t| (t.spec.kind, t.spec.deadline))
                    .collect(),
            });
        }
        let deadline = job.deadline;
        let waiters = std::mem::take(&mut job.waiters);
        self.deadlines.remove(&(deadline, key));
        self.deadlines
            .remove(&(deadline + self.limits.cancel_grace, key));
        self.finished.push_back((now, key));
        self.bytes += outcome_bytes(&outcome);
        match *outcome {
            Outcome::Complete(_) => self.counts.complete += 1,
            Outcome::Failed(_) => self.counts.failed += 1,
            Outcome::NotRun { .. } => self.counts.refused += 1,
            Outcome::Cancelled(_) => self.counts.cancelled += 1,
        }
        self.answer_waiters(key, waiters, &Answer::Final(Arc::clone(&outcome)));
        self.bound_answers();
    }

    pub(super) fn expire_finished(&mut self, now: Timestamp) {
        while let Some(&(at, _)) = self.finished.front() {
            if now.since(at) < self.limits.retention {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Forgets finished jobs while the table is full.
    pub(super) fn make_room(&mut self) {
        while self.jobs.len() >= self.limits.max_jobs && !self.finished.is_empty() {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, key)) = self.finished.pop_front() else {
            return;
        };
        let job = self
            .jobs
            .remove(key)
            .expect("a finished job is in the table");
        self.keys.remove(&job.key);
        let Phase::Finished(outcome) = &job.phase else {
            unreachable!("the job is finished")
        };
        self.bytes -= outcome_bytes(outcome);
    }

    /// Drops the results of the oldest complete answers; whoever asks for them later learns that the job ran.
    fn bound_answers(&mut self) {
        let mut oldest = 0;
        while self.bytes > self.limits.max_answer_bytes && oldest < self.finished.len() {
            let (_, key) = self.finished[oldest];
            oldest += 1;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let Phase::Finished(outcome) = &job.phase else {
                continue;
            };
            let Outcome::Complete(results) = &**outcome else {
                continue;
            };
            let dropped = Arc::new(Outcome::Failed(vec![TaskState::Done; results.len()]));
            self.bytes -= outcome_bytes(outcome);
            self.bytes += outcome_bytes(&dropped);
            job.phase = Phase::Finished(dropped);
        }
    }

    fn retry_after(&self) -> Duration {
        let slots: u32 = self.fleet.iter().map(|(_, a)| a.info.slots).sum();
        let waves = self.queue.len() as u32 / slots.max(1);
        MIN_RETRY.max(Duration::from_millis(300) * waves)
    }
}

fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Complete(results) => results.iter().map(|r| r.len() + 24).sum(),
        Outcome::Failed(states) | Outcome::Cancelled(states) => states.len(),
        Outcome::NotRun { .. } => 0,
    }
}
