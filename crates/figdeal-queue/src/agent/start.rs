//! The agent's calls that start and stop runs on the worker.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{
    Action, Agent, REPLIES_PER_REPORT, Run, STOP_RETRY_DELAY, StartCall, StopCall,
    speed::SpeedMeter,
};
use crate::{
    job::{Resources, TaskId},
    message::{Incarnation, RunOutcome, StartRejection},
};

/// Reply of the worker to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The worker has the run.
    Started,
    /// The worker has not started the run and will not.
    Rejected(StartRejection),
    /// The worker did not reply, or its reply does not tell whether it has the run.
    Unknown,
}

/// Order of the leader to start a run, without the payload.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartOrder {
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) incarnation: Incarnation,
    pub(super) needs: Resources,
    /// Run time that the leader expects.
    pub(super) expected: Duration,
}

impl Agent {
    pub(super) fn start(&mut self, now: Timestamp, order: StartOrder, payload: String) {
        let StartOrder {
            task,
            run,
            incarnation,
            needs,
            expected,
        } = order;
        if self
            .runs
            .get(&task)
            .is_some_and(|known_run| known_run.run == run)
        {
            return;
        }
        if let Some(rejection) = self.start_rejection(now, task, incarnation, needs) {
            log::info!("E711 did not start a run task={task} run={run} reason={rejection:?}");
            self.push_event(now, task, run, RunOutcome::NotStarted(rejection), now);
            return;
        }
        let lease_expiry_ms = self
            .new_lease_expiry(now)
            .expect("the clock of the worker must be known");
        let (fence, worker) = (self.fence, self.worker_id());
        let needs = Some(needs);
        self.runs.insert(
            task,
            Run {
                run,
                needs,
                fence,
                started_at: now,
                confirmed_at: None,
                listed_by: None,
                start_unanswered: false,
                speed: SpeedMeter::new(expected, now),
                stop_sent_at: None,
            },
        );
        self.poll.set_renewed(now);
        let call = StartCall {
            task,
            run,
            payload,
            lease_expiry_ms,
            fence,
            worker_id: worker,
            started_at_ms: self.worker_started_at_ms,
        };
        self.unanswered_starts += 1;
        self.actions.push(Action::Start(call));
    }

    fn start_rejection(
        &self,
        now: Timestamp,
        task: TaskId,
        incarnation: Incarnation,
        needs: Resources,
    ) -> Option<StartRejection> {
        let Some((_, worker)) = &self.worker else {
            return Some(StartRejection::WrongWorker);
        };
        let is_leaving = worker.draining || self.shutting_down || self.left_at.is_some();
        if worker.incarnation != incarnation || is_leaving {
            return Some(StartRejection::WrongWorker);
        }
        if !self.may_start(now)
            || self.new_lease_expiry(now).is_none()
            || !self.poll.runs_known(self.fence)
        {
            return Some(StartRejection::StaleOrder);
        }
        // A start without an answer may be decided only much later, so there must not be many.
        if self.is_worker_silent(now) || self.runs.values().any(|run| run.start_unanswered) {
            return Some(StartRejection::WorkerSilent);
        }
        let has_room =
            !self.runs.contains_key(&task) && needs.fits_into(self.free_resources(worker.capacity));
        (!has_room).then_some(StartRejection::NoRoom)
    }

    /// Returns what is free on the worker. A run whose needs are not known counts as using the whole capacity.
    fn free_resources(&self, capacity: Resources) -> Resources {
        let needs = self.runs.values().map(|run| run.needs.unwrap_or(capacity));
        let used = needs.fold(Resources::default(), Resources::saturating_add);
        capacity.saturating_sub(used)
    }

    /// Handles the reply of the worker to a start. Each start has exactly one, [`StartReply::Unknown`] if there is none.
    pub fn on_start_reply(&mut self, now: Timestamp, task: TaskId, run: u64, reply: StartReply) {
        self.unanswered_starts = self.unanswered_starts.saturating_sub(1);
        self.unreported_replies += 1;
        if self.unreported_replies >= REPLIES_PER_REPORT {
            self.report_pending = true;
        }
        let Some(known_run) = self
            .runs
            .get_mut(&task)
            .filter(|known_run| known_run.run == run)
        else {
            return;
        };
        match reply {
            StartReply::Started => {
                known_run.confirmed_at.get_or_insert(now);
            }
            StartReply::Rejected(rejection) => {
                self.runs.remove(&task);
                log::info!(
                    "E712 worker rejected the start of a run task={task} run={run} reason={rejection:?} {}",
                    self.known_worker()
                );
                self.push_event(now, task, run, RunOutcome::NotStarted(rejection), now);
                if rejection == StartRejection::WrongWorker {
                    self.poll_any_incarnation(now);
                }
            }
            StartReply::Unknown if known_run.confirmed_at.is_some() => {}
            StartReply::Unknown => {
                known_run.start_unanswered = true;
                let fence = self.fence + 1;
                log::warn!(
                    "E713 worker did not reply to a start; polling it with a higher fence \
                     task={task} run={run} fence={fence} {}",
                    self.known_worker()
                );
                self.raise_fence(now, fence);
            }
        }
    }

    pub(super) fn stop(&mut self, now: Timestamp, task: TaskId, run: u64) {
        let fence = self.fence;
        let worker = self.worker_id();
        let Some(known_run) = self
            .runs
            .get_mut(&task)
            .filter(|known_run| known_run.run == run)
        else {
            return;
        };
        known_run.stop_sent_at = Some(now);
        log::info!("E714 sending a stop to the worker task={task} run={run}");
        self.actions.push(Action::Stop(StopCall {
            task,
            run,
            fence,
            worker_id: worker,
        }));
    }

    /// Repeats stops of runs whose end is not listed yet.
    pub(super) fn retry_stops(&mut self, now: Timestamp) {
        let due = |run: &Run| {
            run.stop_sent_at
                .is_some_and(|at| at + STOP_RETRY_DELAY < now)
        };
        let overdue: Vec<(TaskId, u64)> = self
            .runs
            .iter()
            .filter(|(_, r)| due(r))
            .map(|(t, r)| (*t, r.run))
            .collect();
        for (task, run) in overdue {
            self.stop(now, task, run);
        }
    }

    pub(super) fn worker_id(&self) -> Option<String> {
        self.worker.as_ref().map(|(id, _)| id.clone())
    }
}
