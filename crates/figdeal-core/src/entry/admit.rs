//! Admission control: refuses a job that exceeds a limit or cannot meet its deadline, before any task starts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    EntryCore, Submission,
    job::{JobKey, JobPhase, TaskSpec},
    not_started,
};
use crate::{
    id::{KindId, TeamId},
    outcome::{Outcome, RefusalReason},
    run_time::KindBacklog,
    time::Timestamp,
};

/// Interval at which the healthy slots are counted for the estimates of completion times.
const SLOT_COUNT_INTERVAL: Duration = Duration::from_millis(250);

impl EntryCore {
    /// Counts the slots of the agents that get tasks, at most once per interval. Counting takes a pass over all agents;
    /// when it was done at each admission, it cost 156 us for each job with 13,000 agents.
    pub(super) fn count_slots(&mut self, now: Timestamp) {
        if now >= self.next_slot_count {
            self.healthy_slots = self.fleet.healthy_slots(now);
            self.next_slot_count = now + SLOT_COUNT_INTERVAL;
        }
    }

    /// Sets the maximum number of queued tasks of a kind.
    pub fn set_queue_bound(&mut self, kind: KindId, tasks: usize) {
        self.queue_bounds.insert(kind, tasks);
    }

    /// Sets whether claim records are running out. While they are, a submission that would be refused is answered with
    /// [`Answer::Undecided`](super::Answer::Undecided) without a claim, because the records of refused submissions
    /// would fill the tables of the acceptors. The caller may submit it again.
    pub fn set_claims_scarce(&mut self, is_scarce: bool) {
        self.is_claim_scarce = is_scarce;
    }

    /// Whether a new submission must be rejected without a claim (load shedding).
    pub(super) fn must_shed(&self, submission: &Submission) -> bool {
        let is_full = self.jobs.len() >= self.limits.max_jobs;
        is_full
            || self.is_claim_scarce
                && self
                    .refusal(submission.team, submission.tasks.iter())
                    .is_some()
    }

    /// Queues the tasks of a job that this entry owns, or refuses the job.
    pub(super) fn admit(&mut self, key: JobKey, now: Timestamp) {
        let job = &self.jobs[key];
        let (team, count) = (job.team, job.tasks.len());
        if job.is_cancelled {
            let outcome = Outcome::Cancelled(not_started(count));
            return self.finish_with(key, Arc::new(outcome), now);
        }
        if now >= job.deadline {
            return self.refuse(key, RefusalReason::DeadlinePassed, now);
        }
        if let Some(reason) = self.refusal(team, job.tasks.iter().map(|t| &t.spec)) {
            return self.refuse(key, reason, now);
        }
        *self.tasks_in_progress.entry(team).or_default() += count as u32;
        self.deadlines.insert((job.deadline, key));
        self.jobs[key].phase = JobPhase::Active;
        self.enqueue_all(key, now);
        self.dispatch(now);
    }

    /// Returns why a job must be refused, or `None` if it can be admitted.
    fn refusal<'a>(
        &self,
        team: TeamId,
        tasks: impl Iterator<Item = &'a TaskSpec> + Clone,
    ) -> Option<RefusalReason> {
        let count = tasks.clone().count();
        let in_progress = self.tasks_in_progress.get(&team).copied().unwrap_or(0);
        let quota = self.quotas.get(&team).copied().unwrap_or(u32::MAX);
        if in_progress.saturating_add(count as u32) > quota {
            return Some(RefusalReason::QuotaExceeded);
        }
        if self.queue.len() + count > self.limits.max_queued_tasks
            || self.is_kind_full(tasks.clone())
        {
            return Some(RefusalReason::QueueFull);
        }
        let longest = tasks.clone().map(|t| t.deadline).max().unwrap_or_default();
        let is_late = self.completion(tasks).is_some_and(|end| end > longest);
        is_late.then_some(RefusalReason::DeadlineUnreachable)
    }

    fn is_kind_full<'a>(&self, tasks: impl Iterator<Item = &'a TaskSpec>) -> bool {
        let mut counts: BTreeMap<KindId, usize> = BTreeMap::new();
        tasks.for_each(|t| *counts.entry(t.kind).or_default() += 1);
        counts.into_iter().any(|(kind, count)| {
            let bound = self.queue_bounds.get(&kind).copied().unwrap_or(usize::MAX);
            self.queue.queued(kind) + count > bound
        })
    }

    /// Optimistic estimate of the time until the tasks are done, after the tasks that this entry has queued or sent;
    /// `None` if there are no slots.
    fn completion<'a>(&self, tasks: impl Iterator<Item = &'a TaskSpec>) -> Option<Duration> {
        let slots = self.healthy_slots;
        let backlog: Vec<KindBacklog> = self
            .queue
            .backlog()
            .map(|(kind, queued)| KindBacklog {
                kind,
                weight: self.kind_weights.get(&kind).copied().unwrap_or(1),
                queued,
                active: self.queue.active(kind),
            })
            .collect();
        let job: Vec<(KindId, Option<Duration>)> =
            tasks.map(|t| (t.kind, t.declared_run_time)).collect();
        self.run_times.completion_time(&job, &backlog, slots)
    }
}
