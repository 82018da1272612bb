//! The agent's long polls of its worker. Each poll renews the lease under which the worker keeps its runs; the reply
//! lists the present runs and those that have ended.

use std::{collections::HashMap, time::Duration};

use figdeal_core::time::Timestamp;

use super::{
    Action, Agent, FORMER_CLOCK_LOSS_TIMEOUT, POLL_WAIT, PollCall, RUN_LOSS_TIMEOUT, Run,
    UNANSWERED_START_TIMEOUT, WORKER_LEASE, speed::SpeedMeter,
};
use crate::{
    job::TaskId,
    log_value::OrUnknown,
    message::{LossReason, RunOutcome},
};

/// Delay before a worker that did not reply is polled again.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before the next poll of a worker whose list of ends is cut and holds none that can be acknowledged yet.
const CUT_LIST_DELAY: Duration = Duration::from_millis(10);
/// How long after a reply was due a second, hedged poll is sent. Without it, a lost poll would delay the report of
/// ended runs.
const HEDGE_DELAY: Duration = Duration::from_millis(15);
/// How long after a failed poll the worker may hold polls open for [`SHORT_POLL_WAIT`] only.
const FAILED_POLL_WINDOW: Duration = Duration::from_secs(3);
/// How long the worker may hold a poll open if one has failed within [`FAILED_POLL_WINDOW`].
const SHORT_POLL_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of pending polls.
const MAX_PENDING_POLLS: usize = 6;
/// Number of pending polls from which on no poll is sent only to learn which incarnation runs.
const MAX_CHECK_POLLS: usize = 4;
/// Time after which a pending poll is forgotten if the driver has reported neither a reply nor a failure.
const PENDING_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a reply after which the worker lease is not renewed any more, so that the agent can tell when it has
/// expired for certain, and no run is started.
const WORKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How a run ended, as listed by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedOutcome {
    /// The run was successful.
    Done,
    /// The run failed.
    Failed,
    /// The run ended without a result for any other reason, for example because it was stopped.
    Lost,
}

/// A run that the worker lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// Completed part of the work, if the worker tells it.
    pub progress_percent: Option<u8>,
}

/// Reply of the worker to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Worker's clock in milliseconds; expiries of the worker lease are given by this clock.
    pub clock_ms: u64,
    /// Start of this incarnation of the worker in Unix milliseconds, if the worker tells it.
    pub started_at_ms: Option<u64>,
    /// Runs on the worker.
    pub running: Vec<ListedRun>,
    /// Ended runs that no poll has acknowledged, oldest first: number of the end, task, number of the run, outcome.
    pub ended: Vec<(u64, TaskId, u64, ListedOutcome)>,
    /// Whether `ended` may be cut: the worker may have further ends, which it lists once these are acknowledged.
    pub more_ends: bool,
}

/// A poll whose reply is still awaited.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    number: u64,
    fence: u64,
    sent_at: Timestamp,
    /// `sent_at` plus the time for which the worker may hold the poll open.
    reply_due: Timestamp,
}

/// How much of a worker's runs and ends its lists have told a process of the agent. Each process and each incarnation
/// starts from [`Listing::Unknown`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Listing {
    /// The worker has not replied.
    #[default]
    Unknown,
    /// Each list of ends was cut. A run that an earlier process of the agent has started may have ended beyond it, so
    /// a run that is not known may have ended as done.
    Cut,
    /// One list held all ends. From then on a run that is not known does not exist: this process has started each
    /// later one, and the fencing token keeps off the starts of earlier processes.
    Complete,
}

/// State of the polls to the worker.
#[derive(Debug, Default)]
pub(super) struct PollState {
    last_poll_number: u64,
    pending: Vec<PendingPoll>,
    pub(super) next_poll: Timestamp,
    /// When a poll last failed, which means that the driver reported no reply.
    failed_at: Option<Timestamp>,
    /// When the worker's clock was read, and its value in milliseconds.
    worker_clock: Option<(Timestamp, u64)>,
    /// When a poll or a start that renews the worker lease was last sent.
    renewed_at: Option<Timestamp>,
    /// Latest time at which the worker may have taken an expiry that `renewed_at` does not tell of: until the agent
    /// learned of a new incarnation, found a run that it did not know to be there, or found runs although the lease
    /// that it knows of had expired.
    unknown_renewal_at: Option<Timestamp>,
    /// When the worker last replied, or when the polls began.
    replied_at: Option<Timestamp>,
    /// Fencing token of the newest poll that this incarnation of the worker replied to.
    replied_fence: Option<u64>,
    /// What this process of the agent knows of the runs and ends of this incarnation.
    listing: Listing,
    /// Number of the newest end on the worker's list that was processed.
    last_processed_end: u64,
    /// Ends reported to the leader but not acknowledged by it: number of the event that reports the end, number of the
    /// end on the worker's list.
    unacked_ends: std::collections::VecDeque<(u64, u64)>,
    /// Number of the newest end whose event the leader has acknowledged; sent to the worker with the next poll.
    acked_end: u64,
    /// Whether the next poll directly follows a reply. Otherwise the worker may have restarted under the same identity
    /// and numbers its ends from 1 again, so no end is acknowledged to it.
    follows_reply: bool,
}

impl PollState {
    pub(super) fn set_renewed(&mut self, now: Timestamp) {
        self.renewed_at = Some(now);
    }

    /// Returns when the worker last replied, or when the polls of this incarnation began.
    pub(super) fn replied_at(&self) -> Option<Timestamp> {
        self.replied_at
    }

    /// Returns for how many milliseconds the worker has not replied, if it was polled.
    pub(super) fn silent_ms(&self, now: Timestamp) -> Option<u128> {
        self.replied_at.map(|at| now.since(at).as_millis())
    }

    /// Returns whether all runs that may be on the worker are known: it has replied to a poll under the registration
    /// of `fence`, and has listed all ends to this process of the agent.
    pub(super) fn runs_known(&self, fence: u64) -> bool {
        let replied = self.replied_fence.is_some_and(|replied| {
            replied >> super::LOCAL_FENCE_BITS == fence >> super::LOCAL_FENCE_BITS
        });
        replied && self.listing == Listing::Complete
    }

    /// Forgets the previous incarnation. Poll numbers continue, so that late replies match no pending poll.
    pub(super) fn reset_for_new_incarnation(&mut self, now: Timestamp) {
        *self = PollState {
            last_poll_number: self.last_poll_number,
            unknown_renewal_at: Some(now),
            ..PollState::default()
        };
    }

    /// Raises `acked_end` to the newest end whose event the leader has acknowledged.
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

    /// Raises the fencing token and polls the worker with it. The worker rejects starts under lower tokens from then
    /// on, so an earlier start that the reply does not list can never take effect.
    pub(super) fn raise_fence(&mut self, now: Timestamp, fence: u64) {
        if fence > self.fence {
            self.fence = fence;
            self.poll_worker(now, Duration::ZERO);
        }
    }

    pub(super) fn tick_poll(&mut self, now: Timestamp) {
        if !self.has_agent_lease(now) || self.fence == 0 {
            self.poll.next_poll = now + POLL_RETRY_DELAY;
            self.check_lease_expiry(now);
            return;
        }
        self.poll.replied_at.get_or_insert(now);
        self.poll
            .pending
            .retain(|poll| poll.sent_at + PENDING_POLL_TIMEOUT > now);
        self.check_lease_expiry(now);
        self.check_candidates(now);
        if now < self.poll.next_poll {
            return;
        }
        let poll_needed = self
            .latest_reply_due()
            .is_none_or(|reply_due| reply_due + HEDGE_DELAY <= now);
        if poll_needed && self.poll.pending.len() < MAX_PENDING_POLLS {
            let failed_recently = self
                .poll
                .failed_at
                .is_some_and(|at| at + FAILED_POLL_WINDOW > now);
            // The worker lease cannot be renewed before the worker's clock is known, and ends beyond a cut list are
            // there already.
            let at_once = self.poll.worker_clock.is_none() || self.poll.listing == Listing::Cut;
            let wait = match (at_once, failed_recently) {
                (true, _) => Duration::ZERO,
                (false, true) => SHORT_POLL_WAIT,
                (false, false) => POLL_WAIT,
            };
            self.poll_worker(now, wait);
        } else {
            self.poll.next_poll = now + POLL_RETRY_DELAY;
        }
    }

    /// Returns when the reply to the newest poll under the present fencing token is due, if one is pending.
    fn latest_reply_due(&self) -> Option<Timestamp> {
        let pending = self.poll.pending.iter();
        let current = pending.filter(|poll| poll.fence == self.fence);
        current.map(|poll| poll.reply_due).max()
    }

    /// Returns when to poll next: at `earliest` if no poll is pending, otherwise when a hedged poll is due.
    fn next_poll_at(&self, earliest: Timestamp) -> Timestamp {
        self.latest_reply_due()
            .map_or(earliest, |reply_due| reply_due + HEDGE_DELAY)
    }

    /// Reports the runs as lost that must have ended without a renewal of the worker lease.
    fn check_lease_expiry(&mut self, now: Timestamp) {
        let has_ended = |run: &Run| self.has_ended(now, run);
        let ended = self.runs.iter().filter(|(_, run)| has_ended(run));
        let ended: Vec<TaskId> = ended.map(|(task, _)| *task).collect();
        if !ended.is_empty() {
            log::warn!(
                "E715 worker lease expired; reporting runs as lost runs={} undecided={} {} \
                 worker_silent_ms={} renewal_age_ms={}",
                ended.len(),
                self.runs.len() - ended.len(),
                self.known_worker(),
                OrUnknown(self.poll.silent_ms(now)),
                OrUnknown(self.poll.renewed_at.map(|at| now.since(at).as_millis()))
            );
        }
        let reason = match self.left_at {
            Some(_) => LossReason::WorkerLeft,
            None => LossReason::LeaseExpired,
        };
        for task in ended {
            self.report_lost(now, task, reason);
        }
        self.finish_departure(now);
    }

    /// Returns whether a run must have ended, although the worker has not listed its end.
    fn has_ended(&self, now: Timestamp, run: &Run) -> bool {
        if run.listed_by == Some(self.incarnation) {
            return self.is_lease_over(now, RUN_LOSS_TIMEOUT);
        }
        // The worker may have restarted since its last reply. The expiry of a start is by the former clock, so it is
        // no limit for a start that the new incarnation carries out.
        match run.confirmed_at.is_some() {
            true => self.is_lease_over(now, FORMER_CLOCK_LOSS_TIMEOUT),
            false => run.started_at.max(self.resumed_at) + UNANSWERED_START_TIMEOUT < now,
        }
    }

    /// Returns whether the worker lease has expired, of which the last renewal was longer than `time` ago. A lease
    /// that only an earlier process of the agent has renewed does not count as expired.
    pub(super) fn is_lease_over(&self, now: Timestamp, time: Duration) -> bool {
        let (renewed_at, unknown) = (self.poll.renewed_at, self.poll.unknown_renewal_at);
        let is_past = |at: Option<Timestamp>, time| at.is_none_or(|at| at + time < now);
        renewed_at.max(unknown).is_some()
            && is_past(renewed_at, time)
            && is_past(unknown, FORMER_CLOCK_LOSS_TIMEOUT)
    }

    /// Returns whether the worker has not replied for so long that its lease is not renewed any more.
    pub(super) fn is_worker_silent(&self, now: Timestamp) -> bool {
        let replied_at = self.poll.replied_at;
        replied_at.is_some_and(|at| at + WORKER_SILENCE_TIMEOUT < now)
    }

    /// Returns whether nothing can run on the worker any more, because no call of this agent or of an earlier process
    /// of it can still be carried out.
    pub(super) fn is_worker_gone(&self, now: Timestamp) -> bool {
        let replied_at = self.poll.replied_at;
        let silent =
            replied_at.is_some_and(|at| at.max(self.resumed_at) + UNANSWERED_START_TIMEOUT < now);
        silent && self.runs.is_empty()
    }

    fn poll_worker(&mut self, now: Timestamp, wait: Duration) {
        // Without the worker's clock no expiry is sent. One far in the future is no substitute: the worker would cap it
        // at its longest lease, counted from when it carries out the call, which may be seconds later.
        // Runs that are not known are not prolonged, so that a new leader knows when they have ended.
        let may_renew = self.poll.listing == Listing::Complete && !self.is_worker_out_of_use(now);
        let lease_expiry_ms = self.new_lease_expiry(now).filter(|_| may_renew);
        if lease_expiry_ms.is_some() {
            self.poll.set_renewed(now);
        }
        self.poll.last_poll_number += 1;
        // A worker that has restarted numbers its ends from 1 again, so ends are acknowledged right after a reply only.
        let may_have_restarted = !self.poll.follows_reply
            || !self.poll.pending.is_empty()
            || self.has_unanswered_start();
        let acked_end = match may_have_restarted {
            true => 0,
            false => self.poll.acked_end,
        };
        self.poll.next_poll = now + wait + HEDGE_DELAY;
        let worker = self.worker_id();
        let call = PollCall {
            number: self.poll.last_poll_number,
            fence: self.fence,
            acked_end,
            lease_expiry_ms,
            wait,
            worker_id: worker,
        };
        self.send_poll(now, call);
    }

    /// Returns whether a start had no answer since the last reply. One from before stays undecided as long as the list
    /// of ends is cut, and says nothing about the worker since.
    fn has_unanswered_start(&self) -> bool {
        let replied = self.poll.replied_fence;
        let mut runs = self.runs.values();
        runs.any(|run| run.start_unanswered && replied.is_none_or(|replied| replied <= run.fence))
    }

    /// Polls whichever incarnation of the worker runs, without a renewal or an acknowledgement, which are meant for the
    /// known one only.
    pub(super) fn poll_any_incarnation(&mut self, now: Timestamp) {
        let may_poll = self.has_agent_lease(now) && self.fence > 0;
        if !may_poll || self.poll.pending.len() >= MAX_CHECK_POLLS {
            return;
        }
        self.poll.last_poll_number += 1;
        let call = PollCall {
            number: self.poll.last_poll_number,
            fence: self.fence,
            acked_end: 0,
            lease_expiry_ms: None,
            wait: Duration::ZERO,
            worker_id: None,
        };
        self.send_poll(now, call);
    }

    fn send_poll(&mut self, now: Timestamp, call: PollCall) {
        self.poll.pending.push(PendingPoll {
            number: call.number,
            fence: call.fence,
            sent_at: now,
            reply_due: now + call.wait,
        });
        self.actions.push(Action::Poll(call));
    }

    /// Handles the reply of the worker to a poll; `None` if the poll failed.
    pub fn on_poll_reply(&mut self, now: Timestamp, number: u64, reply: Option<PollReply>) {
        let Some(position) = self.poll.pending.iter().position(|p| p.number == number) else {
            return;
        };
        let PendingPoll { fence, sent_at, .. } = self.poll.pending.swap_remove(position);
        let Some(reply) = reply else {
            log::info!("E716 worker did not reply to a poll number={number}");
            self.poll.follows_reply = false;
            self.poll.failed_at = Some(now);
            self.poll.next_poll = self.next_poll_at(now + POLL_RETRY_DELAY);
            return;
        };
        // Polls of an earlier incarnation are no longer pending. The start may be earlier than that of the former
        // incarnation, as it is a time of day.
        if self.worker_started_at_ms.is_some()
            && reply.started_at_ms.is_some()
            && reply.started_at_ms != self.worker_started_at_ms
        {
            self.new_incarnation(now, reply.started_at_ms, LossReason::NewIncarnation);
        }
        // Before the first heartbeat, the poll tells which incarnation runs.
        if self.worker_started_at_ms.is_none() && self.worker.is_none() {
            self.worker_started_at_ms = reply.started_at_ms;
        }
        self.settle_candidates(now, sent_at, reply.started_at_ms);
        self.contradict_departure(sent_at);
        self.poll.replied_at = Some(now);
        self.poll.follows_reply = true;
        if self
            .poll
            .worker_clock
            .is_none_or(|(_, clock)| clock <= reply.clock_ms)
        {
            self.poll.worker_clock = Some((now, reply.clock_ms));
        }
        if !reply.running.is_empty() && self.is_lease_over(now, RUN_LOSS_TIMEOUT) {
            self.poll.unknown_renewal_at = Some(now);
        }
        let runs_known = self.poll.runs_known(self.fence);
        self.process_ends(now, &reply);
        self.process_runs(now, sent_at, fence, &reply);
        self.poll.listing = match (self.poll.listing, reply.more_ends) {
            (Listing::Complete, _) | (_, false) => Listing::Complete,
            (_, true) => Listing::Cut,
        };
        if fence == self.fence {
            self.poll.replied_fence = Some(fence);
            self.poll.next_poll = self.next_poll_at(now);
        }
        let first_end = reply.ended.first().map(|(number, ..)| *number);
        if self.poll.listing == Listing::Cut && first_end > Some(self.poll.acked_end) {
            self.poll.next_poll = self.poll.next_poll.max(now + CUT_LIST_DELAY);
            self.poll.follows_reply = false;
        }
        // The first report with all runs tells the leader which of its runs exist.
        if !runs_known && self.poll.runs_known(self.fence) {
            self.report_pending = true;
            self.next_report = now;
        }
    }

    fn process_ends(&mut self, now: Timestamp, reply: &PollReply) {
        for &(number, task, run, listed_outcome) in &reply.ended {
            if number <= self.poll.last_processed_end {
                continue;
            }
            self.poll.last_processed_end = number;
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
                ListedOutcome::Lost => RunOutcome::Lost(LossReason::EndedWithoutResult),
            };
            self.push_event(now, task, run, outcome, started_at);
            self.poll.unacked_ends.push_back((self.last_event, number));
        }
    }

    /// Adds listed runs that the agent does not know, and reports as lost the runs that must be on the list but are
    /// not: those that the worker was known to have before the poll was sent, and unanswered starts under an older
    /// fencing token.
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
                    listed_by: Some(self.incarnation),
                    start_unanswered: false,
                    speed: SpeedMeter::new(Duration::ZERO, now),
                    stop_sent_at: None,
                };
                log::info!(
                    "E717 found an unknown run on the worker task={task} run={run} {}",
                    self.known_worker()
                );
                self.runs.insert(task, found_run);
                self.poll.unknown_renewal_at = Some(now);
            }
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
                run.listed_by = Some(self.incarnation);
                if std::mem::take(&mut run.start_unanswered) {
                    // The start may just have been carried out, with an expiry by a former clock.
                    self.poll.unknown_renewal_at = Some(now);
                }
                if let Some(progress) = progress {
                    run.speed.record(now, *progress);
                }
                continue;
            }
            let confirmed_before = run.confirmed_at.is_some_and(|at| at < sent_at);
            // A run that is not listed may have ended beyond a cut list.
            if !reply.more_ends && (confirmed_before || (run.start_unanswered && run.fence < fence))
            {
                missing.push(*task);
            }
        }
        for task in missing {
            log::warn!(
                "E718 run is missing on the worker task={task} run={} {}",
                self.runs[&task].run,
                self.known_worker()
            );
            self.report_lost(now, task, LossReason::NotListed);
        }
        self.find_slow_runs(now);
    }
}
