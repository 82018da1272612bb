//! A stand-in for a worker: leases, fences, runs and ends as the platform describes them.

use std::collections::{BTreeMap, VecDeque};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{ListedOutcome, ListedRun, PollCall, PollReply, StartCall, StartReply, StopCall},
    job::{Resources, TaskId},
    message::StartRejection,
};

/// Longest hold in milliseconds.
const MAX_HOLD: u64 = 1_000;

/// One run that has begun.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub run: u64,
    /// When it began.
    pub start: Timestamp,
    /// When it ends.
    pub end: Timestamp,
    /// How it ends.
    pub how: ListedOutcome,
    /// What it takes.
    pub needs: Resources,
}

impl Run {
    fn listed(&self, task: TaskId, now: Timestamp) -> ListedRun {
        let whole = self.end.since(self.start).as_micros().max(1);
        let done = 100 * now.since(self.start).as_micros() / whole;
        ListedRun {
            task,
            run: self.run,
            progress_percent: Some(done.min(100) as u8),
        }
    }
}

/// An end that has not been taken.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Number of the end.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ends.
    pub how: ListedOutcome,
    /// When it ended.
    pub at: Timestamp,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// It runs.
    pub up: bool,
    /// Number of its life.
    pub born: u64,
    /// Zero of its clock.
    start: Timestamp,
    /// What it offers.
    pub capacity: Resources,
    /// What runs.
    pub runs: BTreeMap<TaskId, Run>,
    /// Ends that were not taken note of.
    pub ends: VecDeque<End>,
    next: u64,
    lease: u64,
    /// When the lease ran out.
    pub lapses: Vec<Timestamp>,
    /// Tasks that have ended as done since the judge looked.
    pub done: Vec<TaskId>,
    fence: u64,
    /// Highest run of a task that has ended or was stopped.
    past: BTreeMap<TaskId, u64>,
    /// Breaks the rule on fences and ends of holds, for a test that must notice it.
    pub lax: bool,
}

impl Worker {
    /// A worker that starts now.
    pub fn new(now: Timestamp, born: u64, cpu: u32) -> Worker {
        Worker {
            up: true,
            born,
            start: now,
            capacity: Resources {
                millicores: cpu,
                memory_mb: 100_000,
                gpus: 0,
            },
            runs: BTreeMap::new(),
            ends: VecDeque::new(),
            next: 1,
            lease: 0,
            lapses: Vec::new(),
            done: Vec::new(),
            fence: 0,
            past: BTreeMap::new(),
            lax: false,
        }
    }

    /// Its clock in milliseconds.
    pub fn clock(&self, now: Timestamp) -> u64 {
        now.since(self.start).as_millis() as u64
    }

    /// Ends what is due by now.
    pub fn advance(&mut self, now: Timestamp) {
        let due: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.end <= now)
            .map(|(t, _)| *t)
            .collect();
        for task in due {
            let run = self.runs.remove(&task).unwrap();
            self.end(run.end, task, run.run, run.how);
        }
        if self.lease > 0 && self.clock(now) >= self.lease {
            self.lease = 0;
            log::debug!("E690 worker lease ran out born={}", self.born);
            self.lapses.push(now);
            for (task, run) in std::mem::take(&mut self.runs) {
                self.end(now, task, run.run, ListedOutcome::Lost);
            }
        }
    }

    fn end(&mut self, at: Timestamp, task: TaskId, run: u64, how: ListedOutcome) {
        log::debug!(
            "E691 worker lists end={} task={task} run={run} how={how:?}",
            self.next
        );
        let past = self.past.entry(task).or_default();
        *past = (*past).max(run);
        if how == ListedOutcome::Done {
            self.done.push(task);
        }
        self.ends.push_back(End {
            number: self.next,
            task,
            run,
            how,
            at,
        });
        self.next += 1;
    }

    fn grant(&mut self, now: Timestamp, expiry: u64) {
        let expiry = expiry.min(self.clock(now) + MAX_HOLD);
        if expiry > self.clock(now) {
            self.lease = self.lease.max(expiry);
        }
    }

    /// Whether a start would begin a run, or why not.
    pub fn check(&mut self, now: Timestamp, call: &StartCall) -> StartReply {
        if self.runs.get(&call.task).is_some_and(|r| r.run == call.run) {
            return StartReply::Started;
        }
        let old = self
            .past
            .get(&call.task)
            .is_some_and(|past| call.run <= *past);
        let fenced = call.fence < self.fence || call.lease_expiry_ms <= self.clock(now);
        if !self.lax && (fenced || old || self.runs.contains_key(&call.task)) {
            return StartReply::Rejected(StartRejection::StaleOrder);
        }
        self.fence = self.fence.max(call.fence);
        StartReply::Started
    }

    /// Begins a run that [`Worker::check`] has allowed.
    pub fn begin(&mut self, now: Timestamp, call: &StartCall, run: Run) {
        self.grant(
            now,
            if self.lax {
                u64::MAX
            } else {
                call.lease_expiry_ms
            },
        );
        self.runs.insert(call.task, run);
    }

    /// Stops a run and refuses it from now on.
    pub fn stop(&mut self, now: Timestamp, call: &StopCall) {
        if call.fence < self.fence {
            return;
        }
        self.fence = call.fence;
        let past = self.past.entry(call.task).or_default();
        *past = (*past).max(call.run);
        if self.runs.get(&call.task).is_some_and(|r| r.run == call.run) {
            self.runs.remove(&call.task);
            self.end(now, call.task, call.run, ListedOutcome::Lost);
        }
    }

    /// Renews the hold. Returns the ends that are taken note of, or nothing for a low fence.
    pub fn hold(&mut self, now: Timestamp, call: &PollCall) -> Option<Vec<End>> {
        if call.fence < self.fence {
            return None;
        }
        self.fence = call.fence;
        if let Some(expiry) = call.lease_expiry_ms {
            self.grant(now, expiry);
        }
        let mut taken = Vec::new();
        while self
            .ends
            .front()
            .is_some_and(|e| e.number <= call.acked_end)
        {
            taken.extend(self.ends.pop_front());
        }
        Some(taken)
    }

    /// What it lists.
    pub fn view(&self, now: Timestamp) -> PollReply {
        PollReply {
            clock_ms: self.clock(now),
            started_at_ms: Some(self.born),
            running: self.runs.iter().map(|(t, r)| r.listed(*t, now)).collect(),
            ended: self
                .ends
                .iter()
                .map(|e| (e.number, e.task, e.run, e.how))
                .collect(),
        }
    }
}
