//! Queueing and placement of the tasks of jobs that this entry owns.

use std::{sync::Arc, time::Duration};

use super::{
    Action, EntryCore, MAX_DISPATCH_ATTEMPTS, TaskDispatch, TaskRef,
    job::{JobKey, TaskProgress},
};
use crate::{
    agent::DeclineReason,
    fleet::{AgentKey, TaskClass},
    id::{KindId, TaskId},
    outcome::TaskState,
    time::Timestamp,
};

impl EntryCore {
    /// Queues the tasks of a job, the longest first, because the job waits for its last task.
    pub(super) fn enqueue_all(&mut self, key: JobKey, now: Timestamp) {
        let job = &self.jobs[key];
        let estimates: Vec<Duration> = job
            .tasks
            .iter()
            .map(|t| {
                self.run_times
                    .estimate(t.spec.kind, t.spec.declared_run_time)
            })
            .collect();
        let total: Duration = estimates.iter().sum();
        let mut indices: Vec<usize> = (0..job.tasks.len()).collect();
        indices.sort_by_key(|&i| std::cmp::Reverse(estimates[i]));
        for index in indices {
            self.enqueue(key, index, total.as_micros() as u64, now);
        }
    }

    /// Queues a task. If no available agent accepts it, the task is kept as unplaced instead.
    pub(super) fn enqueue(&mut self, key: JobKey, index: usize, sort_key: u64, now: Timestamp) {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index];
        let (kind, size) = (task.spec.kind, task.spec.size);
        if !self.fleet.is_placeable(kind, size, now) {
            task.progress = TaskProgress::Unplaced;
            let id = TaskId {
                key: job.key,
                index: index as u16,
            };
            self.unplaced
                .push_back((now + self.limits.unplaceable_after, id));
            return;
        }
        let item = TaskRef {
            job: key,
            index: index as u16,
        };
        task.progress = TaskProgress::Queued(self.queue.push(kind, job.team, sort_key, item));
    }

    /// Sends queued tasks as long as some agent has room for the kind of the next one. A task for which no agent can be
    /// chosen, for example because of its size, becomes unplaced.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        loop {
            let open = self.open_kinds(now);
            let Some((item, task_ref)) = self.queue.pop(|kind| open.contains(&kind)) else {
                return;
            };
            let job = &mut self.jobs[task_ref.job];
            let index = usize::from(task_ref.index);
            let task = &mut job.tasks[index];
            let id = TaskId {
                key: job.key,
                index: task_ref.index,
            };
            let estimate = self
                .run_times
                .estimate(task.spec.kind, task.spec.declared_run_time);
            let remaining_work = estimate.as_micros() as u64 * job.unresolved_tasks as u64;
            let is_small = item.sort_key() <= self.limits.small_job_work.as_micros() as u64;
            let class = TaskClass {
                kind: task.spec.kind,
                is_small,
            };
            let Some(agent) = self.fleet.place_class(class, task.spec.size, now) else {
                self.queue.finish(item.kind(), item.team());
                task.progress = TaskProgress::Unplaced;
                self.unplaced
                    .push_back((now + self.limits.unplaceable_after, id));
                continue;
            };
            task.progress = TaskProgress::Sent(agent);
            task.dispatch_attempts += 1;
            self.counts.sent += 1;
            let dispatch = TaskDispatch {
                agent,
                task: id,
                kind: task.spec.kind,
                team: job.team,
                remaining_work_us: remaining_work,
                time_left: (job.arrived_at + task.spec.deadline).since(now),
                payload: Arc::clone(&task.spec.payload),
            };
            let is_first = self.sent_tasks.entry(agent).or_default().insert(id);
            assert!(is_first, "task {id} is already sent to this agent");
            self.actions.push(Action::Run(dispatch));
        }
    }

    /// The kinds whose next task some agent has room for, regardless of the size of the task.
    fn open_kinds(&self, now: Timestamp) -> Vec<KindId> {
        let max_small_work = self.limits.small_job_work.as_micros() as u64;
        let is_open = |kind: &KindId| {
            let is_small = self
                .queue
                .next_sort_key(*kind)
                .is_some_and(|sort_key| sort_key <= max_small_work);
            self.fleet.has_room_for_class(
                TaskClass {
                    kind: *kind,
                    is_small,
                },
                0,
                now,
            )
        };
        self.queue
            .backlog()
            .map(|(kind, _)| kind)
            .filter(is_open)
            .collect()
    }

    /// Queues a task again that an agent declined. Its sort key of 0 puts it before the other tasks of its team and
    /// lets this entry place it on slots reserved for small jobs. The task ends as not started instead if it is late or
    /// cancelled, or if it has been sent too often.
    pub(super) fn requeue(
        &mut self,
        key: JobKey,
        index: usize,
        reason: DeclineReason,
        now: Timestamp,
    ) {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let is_late = job.arrived_at + task.spec.deadline <= now;
        let is_given_up =
            is_late || job.is_cancelled || task.dispatch_attempts >= MAX_DISPATCH_ATTEMPTS;
        if is_given_up || matches!(reason, DeclineReason::Deadline | DeclineReason::Cancelled) {
            return self.resolve(key, index, TaskProgress::Ended(TaskState::NotStarted), now);
        }
        self.counts.replaced += 1;
        self.enqueue(key, index, 0, now);
    }

    /// Marks an agent as draining, so that it gets no tasks until it announces itself again.
    pub(super) fn suspend_placement(&mut self, agent: AgentKey, now: Timestamp) {
        let Some(known) = self.fleet.get(agent) else {
            return;
        };
        let mut info = known.info.clone();
        let load = known.load.clone();
        info.draining = true;
        self.fleet.announce(info, load, now);
    }

    /// Queues the unplaced tasks that an available agent accepts now, with a sort key of 0 as in
    /// [`EntryCore::requeue`].
    pub(super) fn retry_unplaced(&mut self, now: Timestamp) {
        for _ in 0..self.unplaced.len() {
            let Some((until, task)) = self.unplaced.pop_front() else {
                return;
            };
            let Some((key, index)) = self.find_unplaced(task) else {
                continue;
            };
            let spec = &self.jobs[key].tasks[index].spec;
            if self.fleet.is_placeable(spec.kind, spec.size, now) {
                self.enqueue(key, index, 0, now);
            } else {
                self.unplaced.push_back((until, task));
            }
        }
    }

    /// Ends the tasks that no available agent has accepted for too long.
    pub(super) fn expire_unplaced(&mut self, now: Timestamp) {
        while let Some(&(until, task)) = self.unplaced.front() {
            if until > now {
                return;
            }
            self.unplaced.pop_front();
            if let Some((key, index)) = self.find_unplaced(task) {
                self.resolve(key, index, TaskProgress::Ended(TaskState::NotStarted), now);
            }
        }
    }

    fn find_unplaced(&self, task: TaskId) -> Option<(JobKey, usize)> {
        let &key = self.job_keys.get(&task.key)?;
        let job = &self.jobs[key];
        let index = usize::from(task.index);
        let is_unplaced = matches!(job.tasks.get(index)?.progress, TaskProgress::Unplaced);
        (is_unplaced && job.is_active()).then_some((key, index))
    }
}
