//! Which worker an agent serves: its identity, its incarnations and its departure.
//!
//! An incarnation is told by the time of day of its start, which differs between incarnations but does not order
//! them. A restarted worker has the same identity, and its clock and fencing token start anew.
//!
//! Heartbeats come over the network, also from other writers and from earlier incarnations, so a heartbeat of another
//! worker than the known one is only a hint. The runs of the known worker go on until the worker itself tells, in its
//! reply to a poll, that another incarnation runs.

use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    time::Duration,
};

use figdeal_core::time::Timestamp;

use super::{Agent, FORMER_CLOCK_LOSS_TIMEOUT, Heartbeat};
use crate::{
    log_value::OrUnknown,
    message::{Incarnation, LossReason, RunOutcome, WorkerInfo},
};

/// Maximum number of heartbeats of unknown workers that are kept; the oldest is dropped.
const MAX_CANDIDATES: usize = 4;
/// Interval at which the worker is asked which incarnation runs, as long as a heartbeat names another one.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A heartbeat of a worker that is not the known one.
#[derive(Debug)]
pub(super) struct Candidate {
    received_at: Timestamp,
    heartbeat: Heartbeat,
}

impl Agent {
    /// Handles a heartbeat. One that is out of order has no effect, and one of another worker or incarnation takes
    /// effect once the worker confirms it.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        if self.is_foreign(&heartbeat) {
            return self.log_foreign(&heartbeat);
        }
        match self.is_known(&heartbeat) {
            true => self.update_worker(now, heartbeat),
            false => self.add_candidate(now, heartbeat),
        }
    }

    /// Returns whether a heartbeat cannot be from the known worker or its successor: a worker that has told its start
    /// tells it always, and its identity and pool stay the same as long as it runs.
    fn is_foreign(&self, heartbeat: &Heartbeat) -> bool {
        let Some((id, worker)) = &self.worker else {
            return false;
        };
        let start_known = self.worker_started_at_ms.is_some();
        let same_start = self.worker_started_at_ms == heartbeat.started_at_ms;
        let same_id = *id == heartbeat.id;
        (start_known && heartbeat.started_at_ms.is_none())
            || (start_known && same_start && !same_id)
            || (same_start && same_id && worker.pool != heartbeat.pool)
    }

    /// Returns whether a heartbeat is from the incarnation that runs.
    fn is_known(&self, heartbeat: &Heartbeat) -> bool {
        let same_start = self.worker_started_at_ms == heartbeat.started_at_ms;
        same_start
            && match &self.worker {
                Some((id, _)) => *id == heartbeat.id,
                // The worker has told its start in its reply to a poll.
                None => heartbeat.started_at_ms.is_some(),
            }
    }

    fn add_candidate(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        self.candidates.retain(|c| c.heartbeat.id != heartbeat.id);
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(Candidate {
            received_at: now,
            heartbeat,
        });
        self.next_check = now;
        self.check_candidates(now);
    }

    /// Asks the worker which incarnation runs, if that is due.
    pub(super) fn check_candidates(&mut self, now: Timestamp) {
        if self.candidates.is_empty() || now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.poll_any_incarnation(now);
    }

    /// Uses or drops the candidates from before a poll, to which the worker has replied that it started at
    /// `started_at_ms`.
    pub(super) fn settle_candidates(
        &mut self,
        now: Timestamp,
        poll_sent_at: Timestamp,
        started_at_ms: Option<u64>,
    ) {
        let candidates = std::mem::take(&mut self.candidates);
        let (settled, rest): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|c| c.received_at <= poll_sent_at);
        self.candidates = rest;
        for Candidate { heartbeat, .. } in settled {
            let confirmed = started_at_ms.is_none() || started_at_ms == heartbeat.started_at_ms;
            if !confirmed || self.is_foreign(&heartbeat) {
                self.log_foreign(&heartbeat);
                continue;
            }
            if !self.is_known(&heartbeat) && self.worker.is_some() {
                self.new_incarnation(now, heartbeat.started_at_ms, LossReason::NewIncarnation);
            }
            self.worker_started_at_ms = heartbeat.started_at_ms;
            self.update_worker(now, heartbeat);
        }
    }

    /// Takes over what a heartbeat of the present incarnation tells.
    fn update_worker(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        if self.worker.is_none() {
            self.heartbeat_sequence = 0;
            log::info!(
                "E703 worker joined worker={} pool={} millicores={} incarnation={}",
                heartbeat.id,
                heartbeat.pool,
                heartbeat.capacity.millicores,
                self.incarnation
            );
        }
        if heartbeat.sequence < self.heartbeat_sequence {
            return;
        }
        self.heartbeat_sequence = heartbeat.sequence;
        self.report_pending |= self.cold_until <= now && !heartbeat.cold_time.is_zero();
        self.cold_until = now + heartbeat.cold_time;
        let worker = WorkerInfo {
            incarnation: self.incarnation,
            pool: heartbeat.pool,
            capacity: heartbeat.capacity,
            labels: heartbeat.labels,
            draining: heartbeat.draining,
            data_centre: heartbeat.data_centre,
            cold_ms: 0,
        };
        let changed = self
            .worker
            .as_ref()
            .is_none_or(|(_, current)| *current != worker);
        if changed {
            if worker.draining {
                log::info!(
                    "E704 worker is draining worker={} runs={}",
                    heartbeat.id,
                    self.runs.len()
                );
            }
            self.report_pending = true;
        }
        self.worker = Some((heartbeat.id, worker));
    }

    /// Handles the final departure of a worker. The message may be late, from an earlier incarnation with the same
    /// identity, so the worker gets no further starts and no renewal of its lease, and its runs end with the lease if
    /// it does not reply to a later poll.
    pub fn worker_left(&mut self, now: Timestamp, id: &str) {
        let known = self.worker.as_ref();
        if known.is_some_and(|(known_id, _)| known_id == id) {
            log::info!(
                "E705 worker left {} runs={}",
                self.known_worker(),
                self.runs.len()
            );
            self.left_at = Some(now);
            self.report_pending = true;
            self.poll_any_incarnation(now);
        }
        self.candidates
            .retain(|candidate| candidate.heartbeat.id != id);
    }

    /// Returns whether the worker gets no starts and no renewal of its lease for the present.
    pub(super) fn is_worker_out_of_use(&self, now: Timestamp) -> bool {
        self.left_at.is_some() || self.is_worker_silent(now)
    }

    /// Uses the worker again if it has replied to a poll that was sent after its departure was received.
    pub(super) fn contradict_departure(&mut self, poll_sent_at: Timestamp) {
        if self.left_at.is_some_and(|left_at| left_at <= poll_sent_at) {
            log::warn!(
                "E728 worker goes on after a departure in its name {}",
                self.known_worker()
            );
            self.left_at = None;
            self.report_pending = true;
        }
    }

    /// Forgets a worker that has left, once its lease must have expired.
    pub(super) fn finish_departure(&mut self, now: Timestamp) {
        let is_over = self.runs.is_empty() || self.is_lease_over(now, FORMER_CLOCK_LOSS_TIMEOUT);
        let left_long_ago = self
            .left_at
            .is_some_and(|at| at + FORMER_CLOCK_LOSS_TIMEOUT < now);
        if left_long_ago && is_over {
            self.new_incarnation(now, None, LossReason::WorkerLeft);
        }
    }

    /// Handles a new incarnation or the departure of the worker, as `reason` tells. Runs that the previous
    /// incarnation listed have ended. A start that it did not list may have reached the new incarnation; a poll under
    /// a higher fencing token decides that.
    pub(super) fn new_incarnation(
        &mut self,
        now: Timestamp,
        started_at_ms: Option<u64>,
        reason: LossReason,
    ) {
        let previous = self.incarnation;
        let previous_worker = self.known_worker().to_string();
        self.incarnation += 1;
        self.worker_started_at_ms = started_at_ms;
        self.worker = None;
        self.cold_until = Timestamp::ZERO;
        self.left_at = None;
        self.poll.reset_for_new_incarnation(now);
        let runs = std::mem::take(&mut self.runs);
        let (ended, undecided): (BTreeMap<_, _>, BTreeMap<_, _>) = runs
            .into_iter()
            .partition(|(_, run)| run.listed_by == Some(previous));
        log::warn!(
            "E706 worker has a new incarnation {previous_worker} new_started_at_ms={} \
             reason={reason:?} lost_runs={} unknown_runs={}",
            OrUnknown(started_at_ms),
            ended.len(),
            undecided.len()
        );
        for (task, run) in ended {
            let outcome = RunOutcome::Lost(reason);
            self.push_event(now, task, run.run, outcome, run.started_at);
        }
        self.runs = undecided;
        for run in self.runs.values_mut() {
            run.start_unanswered = true;
            run.confirmed_at = None;
        }
        // A late call that was meant for the previous incarnation would discard ends of the new one, so the worker
        // has to know a higher fencing token by then.
        if self.fence > 0 {
            self.raise_fence(now, self.fence + 1);
        }
    }

    /// Returns the worker that the agent holds, for log lines.
    pub(super) fn known_worker(&self) -> KnownWorker<'_> {
        KnownWorker {
            id: self.worker.as_ref().map(|(id, _)| id.as_str()),
            started_at_ms: self.worker_started_at_ms,
            incarnation: self.incarnation,
        }
    }

    fn log_foreign(&self, heartbeat: &Heartbeat) {
        log::warn!(
            "E727 ignored a heartbeat that the worker cannot have sent {} heartbeat_worker={} \
             heartbeat_started_at_ms={} heartbeat_pool={}",
            self.known_worker(),
            heartbeat.id,
            OrUnknown(heartbeat.started_at_ms),
            heartbeat.pool
        );
    }
}

/// The worker that an agent holds, as its log lines name it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownWorker<'a> {
    id: Option<&'a str>,
    started_at_ms: Option<u64>,
    incarnation: Incarnation,
}

impl Display for KnownWorker<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worker={} started_at_ms={} incarnation={}",
            OrUnknown(self.id),
            OrUnknown(self.started_at_ms),
            self.incarnation
        )
    }
}
