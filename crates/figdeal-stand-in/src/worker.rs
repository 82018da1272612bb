//! A stand-in for a worker, with its lease, fencing, runs and ended runs as the platform specifies them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{ListedOutcome, ListedRun, PollCall, PollReply, StartCall, StartReply, StopCall},
    job::{Resources, TaskId},
    message::StartRejection,
};

/// Maximum number of ended runs in one list.
pub const MAX_LISTED_ENDS: usize = 500;
/// Longest lease that a call can grant, in milliseconds from now.
const MAX_LEASE_MS: u64 = 1_000;

/// What the clock of a worker does while the worker is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PausedClock {
    /// The clock runs on, as when only the processes of a machine are paused.
    RunsOn,
    /// The clock stands still, as when the whole machine is paused.
    StandsStill,
}

/// A run in progress.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub run: u64,
    /// When the run started.
    pub start: Timestamp,
    /// When the run will end.
    pub end: Timestamp,
    /// Outcome of the run.
    pub outcome: ListedOutcome,
    /// Resources that the run uses.
    pub needs: Resources,
}

impl Run {
    fn to_listed(&self, task: TaskId, now: Timestamp) -> ListedRun {
        let total = self.end.since(self.start).as_micros().max(1);
        let done = 100 * now.since(self.start).as_micros() / total;
        ListedRun {
            task,
            run: self.run,
            progress_percent: Some(done.min(100) as u8),
        }
    }
}

/// An ended run whose end is not yet acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct EndedRun {
    /// Sequence number of the end, within the incarnation.
    pub number: u64,
    /// Id of the task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Outcome of the run.
    pub outcome: ListedOutcome,
    /// When the run ended.
    pub ended_at: Timestamp,
}

/// State of one worker.
#[derive(Debug)]
pub struct Worker {
    /// Whether the worker is running.
    pub is_up: bool,
    /// Number of the incarnation.
    pub incarnation: u64,
    /// Start of the incarnation in Unix milliseconds, as the worker tells it. Goes back if the time of day does.
    pub started_at_ms: u64,
    /// Origin of the worker's clock.
    clock_origin: Timestamp,
    /// Capacity for runs.
    pub capacity: Resources,
    /// Labels such as the kind of the worker.
    pub labels: Vec<String>,
    /// Runs in progress.
    pub runs: BTreeMap<TaskId, Run>,
    /// Ended runs whose end the agent has not acknowledged.
    pub unacknowledged_ends: VecDeque<EndedRun>,
    /// Maximum number of ended runs in one list, [`MAX_LISTED_ENDS`] unless a test lowers it.
    pub max_listed_ends: usize,
    /// Number of the next end.
    next_end: u64,
    /// Expiry of the lease on the worker's clock; 0 without a lease.
    lease_expiry_ms: u64,
    /// Times at which the lease expired.
    pub lease_expirations: Vec<Timestamp>,
    /// Tasks that were completed since the checker last took this list.
    pub completed_tasks: Vec<TaskId>,
    /// Highest fencing token seen; calls with a lower one are rejected.
    highest_fence: u64,
    /// For each task, the highest number of a run that has ended or was stopped.
    highest_past_run: BTreeMap<TaskId, u64>,
    /// When the worker was paused.
    paused_at: Option<Timestamp>,
    /// Runs whose lease would have expired during a pause if the clock had not stood still.
    overdue_runs: BTreeMap<TaskId, u64>,
    /// When the lease of the overdue runs expires on the worker's own clock.
    overdue_until: Timestamp,
    /// Accepts starts regardless of fencing tokens, lease expiry and earlier runs, for a test that must detect this.
    pub ignores_fencing: bool,
}

impl Worker {
    /// Creates a worker that starts now.
    pub fn new(now: Timestamp, incarnation: u64, millicores: u32) -> Worker {
        Worker {
            is_up: true,
            incarnation,
            started_at_ms: incarnation,
            clock_origin: now,
            capacity: Resources {
                millicores,
                memory_mb: 100_000,
                gpus: 0,
            },
            labels: Vec::new(),
            runs: BTreeMap::new(),
            unacknowledged_ends: VecDeque::new(),
            max_listed_ends: MAX_LISTED_ENDS,
            next_end: 1,
            lease_expiry_ms: 0,
            lease_expirations: Vec::new(),
            completed_tasks: Vec::new(),
            highest_fence: 0,
            highest_past_run: BTreeMap::new(),
            paused_at: None,
            overdue_runs: BTreeMap::new(),
            overdue_until: Timestamp::ZERO,
            ignores_fencing: false,
        }
    }

    /// Sets the labels.
    pub fn with_labels(self, labels: Vec<String>) -> Worker {
        Worker { labels, ..self }
    }

    /// Returns the worker's clock in milliseconds.
    pub fn clock(&self, now: Timestamp) -> u64 {
        now.since(self.clock_origin).as_millis() as u64
    }

    /// Returns whether the worker is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    /// Pauses the worker: its runs make no progress, and nothing ends.
    pub fn pause(&mut self, now: Timestamp) {
        self.advance(now);
        self.paused_at.get_or_insert(now);
    }

    /// Ends a pause. Has no effect on a worker that is not paused. Even if the clock stood still, the lease counts as
    /// expired when a running clock would have ended it, since no lease holds while its clock stands still.
    pub fn resume(&mut self, now: Timestamp, clock: PausedClock) {
        let Some(paused_at) = self.paused_at.take() else {
            return;
        };
        let pause = now.since(paused_at);
        for run in self.runs.values_mut() {
            run.start = run.start + pause;
            run.end = run.end + pause;
        }
        let is_overdue = self.is_lease_over(now);
        let rest = self.lease_expiry_ms.saturating_sub(self.clock(paused_at));
        let rest = Duration::from_millis(rest);
        if is_overdue {
            self.lease_expirations.push(paused_at + rest);
        }
        if clock == PausedClock::StandsStill {
            self.clock_origin = self.clock_origin + pause;
            if is_overdue {
                self.overdue_until = now + rest;
                self.overdue_runs = self.runs.iter().map(|(t, r)| (*t, r.run)).collect();
            }
        }
        self.advance(now);
    }

    fn is_lease_over(&self, now: Timestamp) -> bool {
        self.lease_expiry_ms > 0 && self.clock(now) >= self.lease_expiry_ms
    }

    /// Returns whether a run of the task counts as in progress. One whose lease ended during a pause does not until the
    /// pause is over and, if the clock stood still, the rest of that lease has passed.
    pub fn is_at_work(&self, now: Timestamp, task: TaskId) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let paused_without_lease = self.is_paused() && self.is_lease_over(now);
        let overdue = self.overdue_runs.get(&task) == Some(&run.run);
        self.is_up && !paused_without_lease && !overdue
    }

    /// Returns the overdue runs that go on although the lease that they had before the pause has expired. From then on
    /// they count as in progress.
    pub fn take_renewed_runs(&mut self, now: Timestamp) -> Vec<TaskId> {
        if self.is_paused() || self.overdue_until > now {
            return Vec::new();
        }
        let overdue = std::mem::take(&mut self.overdue_runs).into_iter();
        let renewed =
            overdue.filter(|(task, run)| self.runs.get(task).is_some_and(|r| r.run == *run));
        renewed.map(|(task, _)| task).collect()
    }

    /// Ends the runs that are due. Once the lease has expired, all other runs end as lost.
    pub fn advance(&mut self, now: Timestamp) {
        if self.is_paused() {
            return;
        }
        let due: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.end <= now)
            .map(|(t, _)| *t)
            .collect();
        for task in due {
            let run = self.runs.remove(&task).unwrap();
            self.end_run(run.end, task, run.run, run.outcome);
        }
        if self.is_lease_over(now) {
            self.lease_expiry_ms = 0;
            log::debug!("E690 worker lease expired incarnation={}", self.incarnation);
            self.lease_expirations.push(now);
            for (task, run) in std::mem::take(&mut self.runs) {
                self.end_run(now, task, run.run, ListedOutcome::Lost);
            }
        }
    }

    fn end_run(&mut self, at: Timestamp, task: TaskId, run: u64, outcome: ListedOutcome) {
        log::debug!(
            "E691 worker reports the end of a run end={} task={task} run={run} outcome={outcome:?}",
            self.next_end
        );
        let past = self.highest_past_run.entry(task).or_default();
        *past = (*past).max(run);
        if outcome == ListedOutcome::Done {
            self.completed_tasks.push(task);
        }
        self.unacknowledged_ends.push_back(EndedRun {
            number: self.next_end,
            task,
            run,
            outcome,
            ended_at: at,
        });
        self.next_end += 1;
    }

    /// Returns the number of the newest end of a run, 0 before the first.
    pub fn last_end(&self) -> u64 {
        self.next_end - 1
    }

    fn extend_lease(&mut self, now: Timestamp, expiry: u64) {
        let expiry = expiry.min(self.clock(now) + MAX_LEASE_MS);
        if expiry > self.clock(now) {
            self.lease_expiry_ms = self.lease_expiry_ms.max(expiry);
        }
    }

    /// Decides whether a start is accepted. A repeated start of a run in progress is accepted without effect.
    /// Otherwise, an accepted start raises the fencing token.
    pub fn check_start(&mut self, now: Timestamp, call: &StartCall) -> StartReply {
        if self.runs.get(&call.task).is_some_and(|r| r.run == call.run) {
            return StartReply::Started;
        }
        let old = self
            .highest_past_run
            .get(&call.task)
            .is_some_and(|past| call.run <= *past);
        let fenced = call.fence < self.highest_fence || call.lease_expiry_ms <= self.clock(now);
        if !self.ignores_fencing && (fenced || old || self.runs.contains_key(&call.task)) {
            return StartReply::Rejected(StartRejection::StaleOrder);
        }
        self.highest_fence = self.highest_fence.max(call.fence);
        StartReply::Started
    }

    /// Starts a run that [`Worker::check_start`] has accepted.
    pub fn start_run(&mut self, now: Timestamp, call: &StartCall, run: Run) {
        self.extend_lease(
            now,
            if self.ignores_fencing {
                u64::MAX
            } else {
                call.lease_expiry_ms
            },
        );
        self.runs.insert(call.task, run);
    }

    /// Stops a run and rejects later starts of it. A call with a fencing token that is too low has no effect.
    pub fn stop(&mut self, now: Timestamp, call: &StopCall) {
        if call.fence < self.highest_fence {
            return;
        }
        self.highest_fence = call.fence;
        let past = self.highest_past_run.entry(call.task).or_default();
        *past = (*past).max(call.run);
        if self.runs.get(&call.task).is_some_and(|r| r.run == call.run) {
            self.runs.remove(&call.task);
            self.end_run(now, call.task, call.run, ListedOutcome::Lost);
        }
    }

    /// Renews the lease if the call has an expiry. Returns the ends that the call acknowledges, or `None` if its
    /// fencing token is too low.
    pub fn renew_lease(&mut self, now: Timestamp, call: &PollCall) -> Option<Vec<EndedRun>> {
        if call.fence < self.highest_fence {
            return None;
        }
        self.highest_fence = call.fence;
        if let Some(expiry) = call.lease_expiry_ms {
            self.extend_lease(now, expiry);
        }
        let mut acknowledged = Vec::new();
        while self
            .unacknowledged_ends
            .front()
            .is_some_and(|e| e.number <= call.acked_end)
        {
            acknowledged.extend(self.unacknowledged_ends.pop_front());
        }
        Some(acknowledged)
    }

    /// Returns the running runs and the oldest ends that are not acknowledged.
    pub fn status(&self, now: Timestamp) -> PollReply {
        let ends = self.unacknowledged_ends.iter().take(self.max_listed_ends);
        let ended: Vec<_> = ends.map(|e| (e.number, e.task, e.run, e.outcome)).collect();
        PollReply {
            clock_ms: self.clock(now),
            started_at_ms: Some(self.started_at_ms),
            running: self
                .runs
                .iter()
                .map(|(t, r)| r.to_listed(*t, now))
                .collect(),
            more_ends: ended.len() >= self.max_listed_ends,
            ended,
        }
    }
}
