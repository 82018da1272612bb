//! Final outcomes of jobs, and the requests that wait for them.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Answer, EntryCore, FETCH_TIMEOUT, FinishedJob, MIN_RETRY_AFTER,
    job::{JobKey, JobPhase, TaskProgress, Waiter, WaiterId},
};
use crate::{
    outcome::{Outcome, RefusalReason, TaskState},
    time::Timestamp,
};

impl EntryCore {
    pub(super) fn answer(&mut self, waiter: WaiterId, answer: Answer) {
        self.actions.push(Action::Answer { waiter, answer });
    }

    /// Answers a request if the job is finished. Otherwise the request waits until `deadline`, or gets
    /// [`Answer::Running`] if there is none.
    pub(super) fn add_waiter(
        &mut self,
        key: JobKey,
        waiter: WaiterId,
        deadline: Option<Timestamp>,
    ) {
        if let JobPhase::Finished(outcome) = &self.jobs[key].phase {
            let answer = Answer::Final(Arc::clone(outcome));
            return self.answer(waiter, answer);
        }
        let Some(deadline) = deadline else {
            return self.answer(waiter, Answer::Running);
        };
        self.jobs[key].waiters.push(Waiter {
            id: waiter,
            deadline,
        });
        self.waiter_deadlines.insert((deadline, waiter, key));
    }

    /// Deadline of a request that states none: the end of the grace time of the job, but at least `FETCH_TIMEOUT` from
    /// now.
    pub(super) fn fetch_deadline(&self, key: JobKey, now: Timestamp) -> Timestamp {
        (self.jobs[key].deadline + self.limits.cancel_grace).max(now + FETCH_TIMEOUT)
    }

    /// Answers requests whose deadline has passed with [`Answer::Undecided`]. Their jobs are still being claimed or
    /// collected by this entry, or owned by another one that does not answer; as the owner, this entry finishes a job
    /// by the end of its grace time.
    pub(super) fn expire_waiters(&mut self, now: Timestamp) {
        while let Some(&(deadline, waiter, key)) = self.waiter_deadlines.first() {
            if deadline > now {
                return;
            }
            self.waiter_deadlines.pop_first();
            self.jobs[key].waiters.retain(|w| w.id != waiter);
            self.answer(waiter, Answer::Undecided);
        }
    }

    fn answer_waiters(&mut self, key: JobKey, waiters: Vec<Waiter>, answer: &Answer) {
        for Waiter { id, deadline } in waiters {
            let is_waiting = self.waiter_deadlines.remove(&(deadline, id, key));
            assert!(is_waiting, "a waiter is answered only once");
            self.answer(id, answer.clone());
        }
    }

    /// Finishes a job as not run.
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

    /// Removes a job that this entry does not own, and answers its waiters.
    pub(super) fn discard(&mut self, key: JobKey, answer: Answer) {
        let job = self.jobs.remove(key).expect("the job is in the table");
        self.job_keys.remove(&job.key);
        self.answer_waiters(key, job.waiters, &answer);
    }

    /// Finishes a job whose tasks all have a final state, with the outcome that follows from these.
    pub(super) fn finish(&mut self, key: JobKey, now: Timestamp) {
        let job = &mut self.jobs[key];
        assert_eq!(
            job.unresolved_tasks, 0,
            "a finished job has no unresolved tasks"
        );
        let states = job.states();
        let left = self.tasks_in_progress.entry(job.team).or_default();
        *left = left
            .checked_sub(states.len() as u32)
            .expect("the tasks of the job are counted as in progress");
        let is_complete = states.iter().all(|s| *s == TaskState::Done);
        let is_not_started = states.iter().all(|s| *s == TaskState::NotStarted);
        let outcome = if is_complete {
            let results: Vec<Vec<u8>> = job
                .tasks
                .iter_mut()
                .filter_map(|t| match &mut t.progress {
                    TaskProgress::Done(bytes) => Some(std::mem::take(bytes)),
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
        } else if is_not_started {
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

    /// Finishes a job with `outcome`, which is stored and sent to its waiters.
    pub(super) fn finish_with(&mut self, key: JobKey, outcome: Arc<Outcome>, now: Timestamp) {
        let job = &mut self.jobs[key];
        assert!(
            !matches!(job.phase, JobPhase::Finished(_)),
            "a job is finished only once"
        );
        let is_owner = matches!(job.phase, JobPhase::Claiming | JobPhase::Active);
        job.phase = JobPhase::Finished(Arc::clone(&outcome));
        let tasks = std::mem::take(&mut job.tasks);
        if is_owner {
            self.newly_finished.push(FinishedJob {
                team: job.team,
                outcome: Arc::clone(&outcome),
                response_time: now.since(job.arrived_at),
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
        self.finish_order.push_back((now, key));
        self.answer_bytes += outcome_bytes(&outcome);
        match *outcome {
            Outcome::Complete(_) => self.counts.complete += 1,
            Outcome::Failed(_) => self.counts.failed += 1,
            Outcome::NotRun { .. } => self.counts.refused += 1,
            Outcome::Cancelled(_) => self.counts.cancelled += 1,
        }
        self.answer_waiters(key, waiters, &Answer::Final(Arc::clone(&outcome)));
        self.drop_old_results();
    }

    pub(super) fn expire_finished(&mut self, now: Timestamp) {
        while let Some(&(at, _)) = self.finish_order.front() {
            if now.since(at) < self.limits.retention {
                return;
            }
            self.remove_oldest();
        }
    }

    /// Removes the oldest finished jobs while the table is full.
    pub(super) fn evict_finished(&mut self) {
        while self.jobs.len() >= self.limits.max_jobs && !self.finish_order.is_empty() {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, key)) = self.finish_order.pop_front() else {
            return;
        };
        let job = self
            .jobs
            .remove(key)
            .expect("a finished job is in the table");
        self.job_keys.remove(&job.key);
        let JobPhase::Finished(outcome) = &job.phase else {
            unreachable!("the job is finished")
        };
        self.answer_bytes -= outcome_bytes(outcome);
    }

    /// Drops the results of the oldest completed jobs while the stored answers exceed their limit. A caller that asks
    /// for one of them later only learns that its tasks are done.
    fn drop_old_results(&mut self) {
        let mut oldest = 0;
        while self.answer_bytes > self.limits.max_answer_bytes && oldest < self.finish_order.len() {
            let (_, key) = self.finish_order[oldest];
            oldest += 1;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let JobPhase::Finished(outcome) = &job.phase else {
                continue;
            };
            let Outcome::Complete(results) = &**outcome else {
                continue;
            };
            let dropped = Arc::new(Outcome::Failed(vec![TaskState::Done; results.len()]));
            self.answer_bytes -= outcome_bytes(outcome);
            self.answer_bytes += outcome_bytes(&dropped);
            job.phase = JobPhase::Finished(dropped);
        }
    }

    /// Retry delay that a refused caller is told: 300 ms for each task that every known slot has to run before the
    /// queue is empty, but at least `MIN_RETRY_AFTER`.
    fn retry_after(&self) -> Duration {
        let slots: u32 = self.fleet.iter().map(|(_, a)| a.info.slots).sum();
        let rounds = self.queue.len() as u32 / slots.max(1);
        MIN_RETRY_AFTER.max(Duration::from_millis(300) * rounds)
    }
}

/// Approximate size of a stored outcome, with 24 bytes of overhead for each result.
fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Complete(results) => results.iter().map(|r| r.len() + 24).sum(),
        Outcome::Failed(states) | Outcome::Cancelled(states) => states.len(),
        Outcome::NotRun { .. } => 0,
    }
}
