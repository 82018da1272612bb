//! Renewal of the hold on the worker, and the runs and ends that it lists.

use std::{collections::HashMap, time::Duration};

use figdeal_core::time::Timestamp;

use super::{
    Action, Agent, POLL_WAIT, PollCall, RUN_LOSS_TIMEOUT, Run, WORKER_LEASE, speed::SpeedMeter,
};
use crate::{job::TaskId, message::RunOutcome};

/// Most ends that a worker lists at once.
const MAX_LISTED_ENDS: usize = 500;
/// Time between two looks at a worker that does not answer.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time by which an answer may be late before a second look is sent beside the first: a look that is lost hides ends.
const HEDGE_DELAY: Duration = Duration::from_millis(15);
/// Time after a look without an answer in which looks wait for [`SHORT_POLL_WAIT`] only.
const UNANSWERED_WINDOW: Duration = Duration::from_secs(3);
/// Time that a worker gets to list an end while looks stay without an answer.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(20);
/// Looks that may be out at once.
const MAX_PENDING_POLLS: usize = 6;
/// Time after which a call counts as unanswered even if the driver has not said so.
const PENDING_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without an answer after which the hold is not renewed any more, so that it runs out at a known time.
const WORKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How a run ended, in the words of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedOutcome {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It ended for any other cause.
    Lost,
}

/// A run that the worker lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Share of its work that is done in percent, if the worker tells it.
    pub progress_percent: Option<u8>,
}

/// What the worker answered.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Clock of the worker in milliseconds.
    pub clock_ms: u64,
    /// Unix milliseconds of the worker's start, if it tells them.
    pub started_at_ms: Option<u64>,
    /// Runs.
    pub running: Vec<ListedRun>,
    /// Ends that were not taken yet, by their number.
    pub ended: Vec<(u64, TaskId, u64, ListedOutcome)>,
}

/// A look that is out.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    number: u64,
    fence: u64,
    sent_at: Timestamp,
    /// When its answer is due.
    reply_due: Timestamp,
}

/// State of the calls.
#[derive(Debug, Default)]
pub(super) struct PollState {
    last_number: u64,
    pending: Vec<PendingPoll>,
    pub(super) next_poll: Timestamp,
    /// When a look was found to have no answer.
    unanswered_at: Option<Timestamp>,
    /// The worker's clock in milliseconds and when it was read.
    worker_clock: Option<(Timestamp, u64)>,
    /// When a call with a new end of the hold was sent last.
    renewed_at: Option<Timestamp>,
    /// When the worker last answered, or when calls to it began.
    answered_at: Option<Timestamp>,
    /// Fence of the newest look that was answered in this life of the worker.
    answered_fence: Option<u64>,
    /// Last end that was read.
    last_listed_end: u64,
    /// Ends that are reported under these event numbers.
    unacked_ends: std::collections::VecDeque<(u64, u64)>,
    acked_end: u64,
    /// The last look was answered by the present life. Otherwise ends are not given up: a new life under the same
    /// identity numbers its own from 1.
    last_poll_answered: bool,
}

impl PollState {
    pub(super) fn set_renewed(&mut self, now: Timestamp) {
        self.renewed_at = Some(now);
    }

    /// Whether runs and ends are known under `fence` or the enrolment that it belongs to.
    pub(super) fn is_current(&self, fence: u64) -> bool {
        self.answered_fence.is_some_and(|looked| {
            looked >> super::LOCAL_FENCE_BITS == fence >> super::LOCAL_FENCE_BITS
        })
    }

    pub(super) fn reset_for_new_worker(&mut self) {
        *self = PollState {
            last_number: self.last_number,
            ..PollState::default()
        };
    }

    /// Ends whose events the leader has taken may be forgotten by the worker.
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
    /// The end of a renewed hold on the worker's clock.
    pub(super) fn new_lease_expiry(&self, now: Timestamp) -> Option<u64> {
        let (read, clock) = self.poll.worker_clock?;
        Some(clock + (now.since(read) + WORKER_LEASE).as_millis() as u64)
    }

    /// Raises the fence and looks at the worker under it: what it does not list then can never start.
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
            .retain(|look| look.sent_at + PENDING_POLL_TIMEOUT > now);
        self.check_lease_expiry(now);
        if now < self.poll.next_poll {
            return;
        }
        let overdue = self
            .latest_reply_due()
            .is_none_or(|due| due + HEDGE_DELAY <= now);
        if overdue && self.poll.pending.len() < MAX_PENDING_POLLS {
            let troubled = self
                .poll
                .unanswered_at
                .is_some_and(|at| at + UNANSWERED_WINDOW > now);
            let wait = match (self.poll.worker_clock.is_none(), troubled) {
                (true, _) => Duration::ZERO,
                (false, true) => SHORT_POLL_WAIT,
                (false, false) => POLL_WAIT,
            };
            self.poll_worker(now, wait);
        } else {
            self.poll.next_poll = now + POLL_RETRY_DELAY;
        }
    }

    /// When the answer to the newest look under the present fence is due, if one is out.
    fn latest_reply_due(&self) -> Option<Timestamp> {
        let looks = self.poll.pending.iter();
        let own = looks.filter(|look| look.fence == self.fence);
        own.map(|look| look.reply_due).max()
    }

    /// A look is due at once if none is out, else when the newest is overdue.
    fn next_poll_at(&self, now: Timestamp) -> Timestamp {
        self.latest_reply_due().map_or(now, |due| due + HEDGE_DELAY)
    }

    /// Once the hold must have run out, everything on the worker is over.
    fn check_lease_expiry(&mut self, now: Timestamp) {
        let lapsed = self
            .poll
            .renewed_at
            .is_some_and(|at| at + RUN_LOSS_TIMEOUT < now);
        if lapsed && !self.runs.is_empty() {
            log::warn!("E715 hold ran out runs={}", self.runs.len());
            self.report_runs_lost(now);
        }
    }

    fn poll_worker(&mut self, now: Timestamp, wait: Duration) {
        let mute = self
            .poll
            .answered_at
            .is_some_and(|at| at + WORKER_SILENCE_TIMEOUT < now);
        // Without the worker's clock no end of the hold can be named. A far one would be shortened to the longest hold from
        // the time at which the call is carried out, which may be seconds later.
        let expiry = if mute {
            None
        } else {
            self.new_lease_expiry(now)
        };
        if expiry.is_some() {
            self.poll.set_renewed(now);
        }
        self.poll.last_number += 1;
        let taken = if self.poll.last_poll_answered {
            self.poll.acked_end
        } else {
            0
        };
        let (number, fence) = (self.poll.last_number, self.fence);
        let due = now + wait;
        self.poll.pending.push(PendingPoll {
            number,
            fence,
            sent_at: now,
            reply_due: due,
        });
        self.poll.next_poll = due + HEDGE_DELAY;
        let worker = self.worker_id();
        let call = PollCall {
            number,
            fence,
            acked_end: taken,
            lease_expiry_ms: expiry,
            wait,
            worker_id: worker,
        };
        self.actions.push(Action::Poll(call));
    }

    /// Takes the worker's answer to a look, or nothing if there was none.
    pub fn on_poll_reply(&mut self, now: Timestamp, number: u64, answer: Option<PollReply>) {
        let Some(at) = self.poll.pending.iter().position(|l| l.number == number) else {
            return;
        };
        let PendingPoll {
            fence,
            sent_at: sent,
            ..
        } = self.poll.pending.swap_remove(at);
        let Some(held) = answer else {
            log::info!("E716 worker did not answer a look number={number}");
            self.poll.last_poll_answered = false;
            self.poll.unanswered_at = Some(now);
            self.poll.next_poll = self.next_poll_at(now + POLL_RETRY_DELAY);
            return;
        };
        if self.worker_started_at_ms.is_some()
            && held.started_at_ms.is_some()
            && held.started_at_ms != self.worker_started_at_ms
        {
            if held.started_at_ms < self.worker_started_at_ms {
                return;
            }
            self.new_incarnation(now, held.started_at_ms);
        }
        if self.worker_started_at_ms.is_none() && self.worker.is_none() {
            self.worker_started_at_ms = held.started_at_ms;
        }
        self.poll.answered_at = Some(now);
        self.poll.last_poll_answered = true;
        if self
            .poll
            .worker_clock
            .is_none_or(|(_, clock)| clock <= held.clock_ms)
        {
            self.poll.worker_clock = Some((now, held.clock_ms));
        }
        self.process_ends(now, &held);
        self.process_runs(now, sent, fence, &held);
        if fence == self.fence {
            if !self.poll.is_current(fence) {
                self.report_pending = true;
                self.next_report = now;
            }
            self.poll.answered_fence = Some(fence);
            self.poll.next_poll = self.next_poll_at(now);
        }
    }

    fn process_ends(&mut self, now: Timestamp, held: &PollReply) {
        for &(number, task, run, how) in &held.ended {
            if number <= self.poll.last_listed_end {
                continue;
            }
            self.poll.last_listed_end = number;
            let since = match self.runs.get(&task) {
                Some(known) if known.run == run => {
                    let since = known.started_at;
                    self.runs.remove(&task);
                    since
                }
                _ => now,
            };
            let ending = match how {
                ListedOutcome::Done => RunOutcome::Done,
                ListedOutcome::Failed => RunOutcome::Failed,
                ListedOutcome::Lost => RunOutcome::Lost,
            };
            self.push_event(now, task, run, ending, since);
            self.poll.unacked_ends.push_back((self.last_event, number));
        }
    }

    /// Compares the runs that the worker lists with those that were ordered before the look was sent.
    fn process_runs(&mut self, now: Timestamp, sent: Timestamp, fence: u64, held: &PollReply) {
        for &ListedRun { task, run, .. } in &held.running {
            let known = self.runs.get(&task).is_some_and(|r| r.run >= run);
            let ended = self.events.iter().any(|e| e.task == task && e.run >= run);
            if !known && !ended {
                let found = Run {
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
                log::info!("E717 run found on the worker task={task} run={run}");
                self.runs.insert(task, found);
            }
        }
        if held.ended.len() >= MAX_LISTED_ENDS {
            return;
        }
        let mut gone = Vec::new();
        let listed: HashMap<(TaskId, u64), Option<u8>> = held
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
            let vanished = run.confirmed_at.is_some_and(|at| at < sent);
            if vanished || (run.start_unknown && run.fence < fence) {
                gone.push(*task);
            }
        }
        for task in gone {
            let run = self.runs.remove(&task).expect("the run is known");
            log::warn!("E718 run is not on the worker task={task} run={}", run.run);
            self.push_event(now, task, run.run, RunOutcome::Lost, run.started_at);
        }
        self.find_slow_runs(now);
    }
}
