//! Starts and stops of runs.

use std::time::Duration;

use figdeal_core::time::Timestamp;

use super::{Action, Agent, Run, STOP_RETRY, StartCall, StopCall, pace::Pace};
use crate::{
    job::{Resources, TaskId},
    message::{Ending, Life, Obstacle},
};

/// Answer of the worker to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// The run is there.
    Yes,
    /// The worker has not started it and will not.
    No(Obstacle),
    /// No answer.
    Unclear,
}

/// The run that an order asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wanted {
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) life: Life,
    pub(super) needs: Resources,
    /// Run time that the leader expects.
    pub(super) expected: Duration,
}

impl Agent {
    pub(super) fn start(&mut self, now: Timestamp, wanted: Wanted, payload: String) {
        let Wanted {
            task,
            run,
            life,
            needs,
            expected,
        } = wanted;
        if self.runs.get(&task).is_some_and(|held| held.run == run) {
            return;
        }
        if let Some(obstacle) = self.obstacle(now, task, life, needs) {
            log::info!("E711 run not started task={task} run={run} reason={obstacle:?}");
            self.push_event(now, task, run, Ending::NotStarted(obstacle), now);
            return;
        }
        let expiry = self.expiry(now).expect("the clock of the worker is known");
        let (fence, worker) = (self.fence, self.worker_id());
        let needs = Some(needs);
        self.runs.insert(
            task,
            Run {
                run,
                needs,
                fence,
                since: now,
                confirmed: None,
                listed: None,
                unclear: false,
                pace: Pace::new(expected, now),
                stopped: None,
            },
        );
        self.hold.granted(now);
        let call = StartCall {
            task,
            run,
            payload,
            expiry,
            fence,
            worker,
        };
        self.actions.push(Action::Start(call));
    }

    fn obstacle(
        &self,
        now: Timestamp,
        task: TaskId,
        life: Life,
        needs: Resources,
    ) -> Option<Obstacle> {
        let Some((_, worker)) = &self.worker else {
            return Some(Obstacle::Worker);
        };
        if worker.life != life || worker.draining || self.closing {
            return Some(Obstacle::Worker);
        }
        if !self.is_leased(now) || self.expiry(now).is_none() || !self.hold.is_current(self.fence) {
            return Some(Obstacle::Stale);
        }
        let room = !self.runs.contains_key(&task) && needs.fits(self.room(worker.capacity));
        (!room).then_some(Obstacle::Room)
    }

    /// What the worker has free. A run of unknown size may fill it.
    fn room(&self, capacity: Resources) -> Resources {
        let needs = self.runs.values().map(|run| run.needs.unwrap_or(capacity));
        let used = needs.fold(Resources::default(), Resources::with);
        capacity.without(used)
    }

    /// Takes the worker's answer to a start.
    pub fn started(&mut self, now: Timestamp, task: TaskId, run: u64, answer: Started) {
        let Some(held) = self.runs.get_mut(&task).filter(|held| held.run == run) else {
            return;
        };
        match answer {
            Started::Yes => {
                held.confirmed.get_or_insert(now);
            }
            Started::No(obstacle) => {
                self.runs.remove(&task);
                log::info!("E712 worker refused a start task={task} run={run} reason={obstacle:?}");
                self.push_event(now, task, run, Ending::NotStarted(obstacle), now);
            }
            Started::Unclear if held.confirmed.is_some() => {}
            Started::Unclear => {
                held.unclear = true;
                let fence = self.fence + 1;
                log::warn!("E713 start without an answer task={task} run={run} fence={fence}");
                self.raise_fence(now, fence);
            }
        }
    }

    pub(super) fn stop(&mut self, now: Timestamp, task: TaskId, run: u64) {
        let fence = self.fence;
        let worker = self.worker_id();
        let Some(held) = self.runs.get_mut(&task).filter(|held| held.run == run) else {
            return;
        };
        held.stopped = Some(now);
        log::info!("E714 stop sent task={task} run={run}");
        self.actions.push(Action::Stop(StopCall {
            task,
            run,
            fence,
            worker,
        }));
    }

    /// Sends stops again whose end is not listed.
    pub(super) fn retry_stops(&mut self, now: Timestamp) {
        let due = |run: &Run| run.stopped.is_some_and(|at| at + STOP_RETRY < now);
        let late: Vec<(TaskId, u64)> = self
            .runs
            .iter()
            .filter(|(_, r)| due(r))
            .map(|(t, r)| (*t, r.run))
            .collect();
        for (task, run) in late {
            self.stop(now, task, run);
        }
    }

    pub(super) fn worker_id(&self) -> Option<String> {
        self.worker.as_ref().map(|(id, _)| id.clone())
    }
}
