//! Admission: a job that cannot end well is refused before any of its tasks starts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    EntryCore, Submission,
    job::{JobKey, Phase, TaskSpec},
    not_started,
};
use crate::{
    id::{KindId, TeamId},
    outcome::{Outcome, RefusalReason},
    run_time::KindBacklog,
    time::Timestamp,
};

/// Time between two counts of the slots for the estimates of completions.
const COUNT_SLOTS_EVERY: Duration = Duration::from_millis(250);

impl EntryCore {
    /// EntryCounts the slots that get work. Counting takes a pass over the fleet, which cost 156 us for each job at
    /// 13,000 agents when it was done at each admission.
    pub(super) fn count_slots(&mut self, now: Timestamp) {
        if now >= self.slots_due {
            self.slots = self.fleet.available_slots(now);
            self.slots_due = now + COUNT_SLOTS_EVERY;
        }
    }

    /// Sets the largest number of queued tasks of a kind.
    pub fn set_queue_bound(&mut self, kind: KindId, tasks: usize) {
        self.bounds.insert(kind, tasks);
    }

    /// Tells that claims are scarce: records of refused submissions would fill the tables of the members. A submission
    /// that would be refused is then answered [`Answer::Undecided`](super::Answer::Undecided) without a claim, and may
    /// come again.
    pub fn set_claims_scarce(&mut self, is_scarce: bool) {
        self.is_scarce = is_scarce;
    }

    /// Whether a new submission is turned away before it is claimed.
    pub(super) fn turns_away(&self, submission: &Submission) -> bool {
        let is_full = self.jobs.len() >= self.limits.max_jobs;
        is_full
            || self.is_scarce
                && self
                    .refusal(submission.team, submission.tasks.iter())
                    .is_some()
    }

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
        *self.in_progress.entry(team).or_default() += count as u32;
        self.deadlines.insert((job.deadline, key));
        self.jobs[key].phase = Phase::Active;
        self.enqueue_all(key, now);
        self.dispatch(now);
    }

    fn refusal<'a>(
        &self,
        team: TeamId,
        tasks: impl Iterator<Item = &'a TaskSpec> + Clone,
    ) -> Option<RefusalReason> {
        let count = tasks.clone().count();
        let used = self.in_progress.get(&team).copied().unwrap_or(0);
        let quota = self.quotas.get(&team).copied().unwrap_or(u32::MAX);
        if used.saturating_add(count as u32) > quota {
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
            let bound = self.bounds.get(&kind).copied().unwrap_or(usize::MAX);
            self.queue.queued(kind) + count > bound
        })
    }

    /// A lower estimate of the time until the tasks are done, behind what this entry holds; `None` without agents.
    fn completion<'a>(&self, tasks: impl Iterator<Item = &'a TaskSpec>) -> Option<Duration> {
        let slots = self.slots;
        let backlog: Vec<KindBacklog> = self
            .queue
            .backlog()
            .map(|(kind, queued)| KindBacklog {
                kind,
                weight: self.weights.get(&kind).copied().unwrap_or(1),
                queued,
                active: self.queue.active(kind),
            })
            .collect();
        let job: Vec<(KindId, Option<Duration>)> =
            tasks.map(|t| (t.kind, t.declared_run_time)).collect();
        self.times.completion_time(&job, &backlog, slots)
    }
}
