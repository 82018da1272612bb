//! Polls the worker: renews its lease and processes the runs and ends that it lists.

use std::{collections::HashMap, time::Duration};

use figdeal_core::time::Timestamp;

use super::{
    Action, Agent, POLL_WAIT, PollCall, RUN_LOSS_TIMEOUT, Run, WORKER_LEASE, speed::SpeedMeter,
};
use crate::{job::TaskId, message::RunOutcome};

/// Maximum number of ends that a worker lists at once.
const MAX_LISTED_ENDS: usize = 500;
/// Delay before a worker that did not answer is polled again.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// How late an answer may be before a hedged poll is sent beside the first one, because a lost poll delays the report
/// of ends.
const HEDGE_DELAY: Duration = Duration::from_millis(15);
/// How long after an unanswered poll the wait is limited to [`SHORT_POLL_WAIT`].
const UNANSWERED_WINDOW: Duration = Duration::from_secs(3);
/// Wait of a poll while polls stay unanswered.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of polls without an answer at one time.
const MAX_PENDING_POLLS: usize = 6;
/// Time after which a poll counts as unanswered even if the driver has not reported that.
const PENDING_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without an answer after which the worker lease is not renewed any more, so that it expires at a known time.
const WORKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How a run ended, as listed by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedOutcome {
    /// The run was successful.
    Done,
    /// The run failed.
    Failed,
    /// The run ended for any other reason.
    Lost,
}

/// A run that the worker lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Completed part of the work, if the worker tells it.
    pub progress_percent: Option<u8>,
}

/// Answer of the worker to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation of the worker in Unix milliseconds, if the worker tells it.
    pub started_at_ms: Option<u64>,
    /// Runs on the worker.
    pub running: Vec<ListedRun>,
    /// Ends that were not acknowledged yet: number of the end, task, number of the run, outcome.
    pub ended: Vec<(u64, TaskId, u64, ListedOutcome)>,
}

/// A poll without an answer.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    number: u64,
    fence: u64,
    sent_at: Timestamp,
    /// When the answer is due.
    reply_due: Timestamp,
}

/// State of the polls to the worker.
#[derive(Debug, Default)]
pub(super) struct PollState {
    last_number: u64,
    pending: Vec<PendingPoll>,
    pub(super) next_poll: Timestamp,
    /// When a poll was last found to have no answer.
    unanswered_at: Option<Timestamp>,
    /// When the worker's clock was read, and its value in milliseconds.
    worker_clock: Option<(Timestamp, u64)>,
    /// When a call with a new expiry of the worker lease was last sent.
    renewed_at: Option<Timestamp>,
    /// When the worker last answered, or when polls to it began.
    answered_at: Option<Timestamp>,
    /// Fencing token of the newest poll that this incarnation of the worker answered.
    answered_fence: Option<u64>,
    /// Number of the newest end that was processed.
    last_listed_end: u64,
    /// Ends that wait for an acknowledgement of the leader: number of the event, number of the end.
    unacked_ends: std::collections::VecDeque<(u64, u64)>,
    acked_end: u64,
    /// Whether the present incarnation answered the last poll. Otherwise ends are not acknowledged to the worker,
    /// because a new incarnation under the same identity numbers its ends from 1 again.
    last_poll_answered: bool,
}

impl PollState {
    pub(super) fn set_renewed(&mut self, now: Timestamp) {
        self.renewed_at = Some(now);
    }

    /// Returns whether runs and ends are known under `fence` or under the registration that it belongs to.
    pub(super) fn is_current(&self, fence: u64) -> bool {
        self.answered_fence.is_some_and(|answered| {
            answered >> super::LOCAL_FENCE_BITS == fence >> super::LOCAL_FENCE_BITS
        })
    }

    pub(super) fn reset_for_new_worker(&mut self) {
        *self = PollState {
            last_number: self.last_number,
            ..PollState::default()
        };
    }

    /// Lets the worker forget the ends whose events the leader has acknowledged.
    pub(super) fn on_events_acked(&mut self, event: u64) {
        while let Some(&(seq, end)) = self.unacked_ends.front()
            && seq <= event
        {
            self.unacked_ends.pop_front();
            self.acked_end = end;
        }
    }
}

impl Agent {
    /// Returns the expiry of a renewed lease by the worker's clock.
    pub(super) fn new_lease_expiry(&self, now: Timestamp) -> Option<u64> {
        let (read, clock) = self.poll.worker_clock?;
        Some(clock + (now.since(read) + WORKER_LEASE).as_millis() as u64)
    }

    /// Raises the fencing token and polls the worker with it: a start that the answer does not list can never take
    /// effect.
    pub(super) fn raise_fence(&mut self, now: Timestamp, fence: u64) {
        if fence > self.fence {
            self.fence = fence;
            self.poll_worker(now, Duration::ZERO);
        }
    }

    pub(super) fn tick_poll(&mut self, now: Timestamp) {
        if !self.is_leased(now) || self.fence == 0 {
            self.poll.next_poll = now + POLL_RETRY_DELAY;
            self.check_lease_expiry(now);
            return;
        }
        self.poll.answered_at.get_or_insert(now);
        self.poll
            .pending
            .retain(|poll| poll.sent_at + PENDING_POLL_TIMEOUT > now);
        self.check_lease_expiry(now);
        if now < self.poll.next_poll {
            return;
        }
        let overdue = self
            .latest_reply_due()
            .is_none_or(|reply_due| reply_due + HEDGE_DELAY <= now);
        if overdue && self.poll.pending.len() < MAX_PENDING_POLLS {
            let had_unanswered = self
                .poll
                .unanswered_at
                .is_some_and(|at| at + UNANSWERED_WINDOW > now);
            let wait = match (self.poll.worker_clock.is_none(), had_unanswered) {
                (true, _) => Duration::ZERO,
                (false, true) => SHORT_POLL_WAIT,
                (false, false) => POLL_WAIT,
            };
            self.poll_worker(now, wait);
        } else {
            self.poll.next_poll = now + POLL_RETRY_DELAY;
        }
    }

    /// Returns when the answer to the newest poll under the present fencing token is due, if one is pending.
    fn latest_reply_due(&self) -> Option<Timestamp> {
        let pending = self.poll.pending.iter();
        let current = pending.filter(|poll| poll.fence == self.fence);
        current.map(|poll| poll.reply_due).max()
    }

    /// Returns when to poll next: immediately if no poll is pending, otherwise when the newest is overdue.
    fn next_poll_at(&self, now: Timestamp) -> Timestamp {
        self.latest_reply_due()
            .map_or(now, |reply_due| reply_due + HEDGE_DELAY)
    }

    /// Reports all runs as lost once the worker lease must have expired.
    fn check_lease_expiry(&mut self, now: Timestamp) {
        let expired = self
            .poll
            .renewed_at
            .is_some_and(|at| at + RUN_LOSS_TIMEOUT < now);
        if expired && !self.runs.is_empty() {
            log::warn!(
                "E715 worker lease expired; reporting its runs as lost runs={}",
                self.runs.len()
            );
            self.report_runs_lost(now);
        }
    }

    fn poll_worker(&mut self, now: Timestamp, wait: Duration) {
        let worker_silent = self
            .poll
            .answered_at
            .is_some_and(|at| at + WORKER_SILENCE_TIMEOUT < now);
        // An expiry cannot be given without the worker's clock. The worker would shorten one far in the future to its
        // longest lease, counted from when it carries out the call, which may be seconds later.
        let lease_expiry_ms = if worker_silent {
            None
        } else {
            self.new_lease_expiry(now)
        };
        if lease_expiry_ms.is_some() {
            self.poll.set_renewed(now);
        }
        self.poll.last_number += 1;
        let acked_end = if self.poll.last_poll_answered {
            self.poll.acked_end
        } else {
            0
        };
        let (number, fence) = (self.poll.last_number, self.fence);
        let reply_due = now + wait;
        self.poll.pending.push(PendingPoll {
            number,
            fence,
            sent_at: now,
            reply_due,
        });
        self.poll.next_poll = reply_due + HEDGE_DELAY;
        let worker = self.worker_id();
        let call = PollCall {
            number,
            fence,
            acked_end,
            lease_expiry_ms,
            wait,
            worker_id: worker,
        };
        self.actions.push(Action::Poll(call));
    }

    /// Handles the answer of the worker to a poll; `None` if it did not answer.
    pub fn on_poll_reply(&mut self, now: Timestamp, number: u64, answer: Option<PollReply>) {
        let Some(position) = self.poll.pending.iter().position(|l| l.number == number) else {
            return;
        };
        let PendingPoll { fence, sent_at, .. } = self.poll.pending.swap_remove(position);
        let Some(reply) = answer else {
            log::info!("E716 worker did not answer a poll number={number}");
            self.poll.last_poll_answered = false;
            self.poll.unanswered_at = Some(now);
            self.poll.next_poll = self.next_poll_at(now + POLL_RETRY_DELAY);
            return;
        };
        if self.worker_started_at_ms.is_some()
            && reply.started_at_ms.is_some()
            && reply.started_at_ms != self.worker_started_at_ms
        {
            if reply.started_at_ms < self.worker_started_at_ms {
                return;
            }
            self.new_incarnation(now, reply.started_at_ms);
        }
        if self.worker_started_at_ms.is_none() && self.worker.is_none() {
            self.worker_started_at_ms = reply.started_at_ms;
        }
        self.poll.answered_at = Some(now);
        self.poll.last_poll_answered = true;
        if self
            .poll
            .worker_clock
            .is_none_or(|(_, clock)| clock <= reply.clock_ms)
        {
            self.poll.worker_clock = Some((now, reply.clock_ms));
        }
        self.process_ends(now, &reply);
        self.process_runs(now, sent_at, fence, &reply);
        if fence == self.fence {
            if !self.poll.is_current(fence) {
                self.report_pending = true;
                self.next_report = now;
            }
            self.poll.answered_fence = Some(fence);
            self.poll.next_poll = self.next_poll_at(now);
        }
    }

    fn process_ends(&mut self, now: Timestamp, reply: &PollReply) {
        for &(number, task, run, listed_outcome) in &reply.ended {
            if number <= self.poll.last_listed_end {
                continue;
            }
            self.poll.last_listed_end = number;
            let started_at = match self.runs.get(&task) {
                Some(known) if known.run == run => {
                    let started_at = known.started_at;
                    self.runs.remove(&task);
                    started_at
                }
                _ => now,
            };
            let outcome = match listed_outcome {
                ListedOutcome::Done => RunOutcome::Done,
                ListedOutcome::Failed => RunOutcome::Failed,
                ListedOutcome::Lost => RunOutcome::Lost,
            };
            self.push_event(now, task, run, outcome, started_at);
            self.poll.unacked_ends.push_back((self.last_event, number));
        }
    }

    /// Compares the runs that the worker lists with those that were started before the poll was sent.
    fn process_runs(&mut self, now: Timestamp, sent_at: Timestamp, fence: u64, reply: &PollReply) {
        for &ListedRun { task, run, .. } in &reply.running {
            let known = self.runs.get(&task).is_some_and(|r| r.run >= run);
            let ended = self.events.iter().any(|e| e.task == task && e.run >= run);
            if !known && !ended {
                let found_run = Run {
                    run,
                    needs: None,
                    fence,
                    started_at: now,
                    confirmed_at: Some(now),
                    listed_in: Some(self.incarnation),
                    start_unknown: false,
                    speed: SpeedMeter::new(Duration::ZERO, now),
                    stop_sent_at: None,
                };
                log::info!("E717 found an unknown run on the worker task={task} run={run}");
                self.runs.insert(task, found_run);
            }
        }
        if reply.ended.len() >= MAX_LISTED_ENDS {
            return;
        }
        let mut missing = Vec::new();
        let listed: HashMap<(TaskId, u64), Option<u8>> = reply
            .running
            .iter()
            .map(|l| ((l.task, l.run), l.progress_percent))
            .collect();
        for (task, run) in &mut self.runs {
            if let Some(progress) = listed.get(&(*task, run.run)) {
                run.confirmed_at.get_or_insert(now);
                run.listed_in = Some(self.incarnation);
                run.start_unknown = false;
                if let Some(progress) = progress {
                    run.speed.record(now, *progress);
                }
                continue;
            }
            let vanished = run.confirmed_at.is_some_and(|at| at < sent_at);
            if vanished || (run.start_unknown && run.fence < fence) {
                missing.push(*task);
            }
        }
        for task in missing {
            let run = self.runs.remove(&task).expect("the run must be known");
            log::warn!(
                "E718 run is missing on the worker task={task} run={}",
                run.run
            );
            self.push_event(now, task, run.run, RunOutcome::Lost, run.started_at);
        }
        self.find_slow_runs(now);
    }
}
