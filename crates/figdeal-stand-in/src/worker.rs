//! A stand-in for a worker: leases, fences, runs and ends as the platform describes them.

use std::collections::{BTreeMap, VecDeque};

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{Held, HoldCall, HoldEnd, Listed, StartCall, Started, StopCall},
    job::{Resources, TaskId},
    message::Obstacle,
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
    pub outcome: HoldEnd,
    /// What it takes.
    pub needs: Resources,
}

impl Run {
    fn listed(&self, task: TaskId, now: Timestamp) -> Listed {
        let whole = self.end.since(self.start).as_micros().max(1);
        let done = 100 * now.since(self.start).as_micros() / whole;
        Listed {
            task,
            run: self.run,
            progress: Some(done.min(100) as u8),
        }
    }
}

/// An end that has not been taken.
#[derive(Debug, Clone, Copy)]
pub struct EndedRun {
    /// Number of the end.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ends.
    pub outcome: HoldEnd,
    /// When it ended.
    pub at: Timestamp,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// It runs.
    pub is_up: bool,
    /// Number of its life.
    pub incarnation: u64,
    /// Zero of its clock.
    start: Timestamp,
    /// What it offers.
    pub capacity: Resources,
    /// What runs.
    pub runs: BTreeMap<TaskId, Run>,
    /// Ends that were not taken note of.
    pub unacknowledged_ends: VecDeque<EndedRun>,
    next: u64,
    lease: u64,
    /// When the lease ran out.
    pub lease_expirations: Vec<Timestamp>,
    /// Tasks that have ended as done since the judge looked.
    pub completed_tasks: Vec<TaskId>,
    fence: u64,
    /// Highest run of a task that has ended or was stopped.
    past: BTreeMap<TaskId, u64>,
    /// Breaks the rule on fences and ends of holds, for a test that must notice it.
    pub ignores_fencing: bool,
}

impl Worker {
    /// A worker that starts now.
    pub fn new(now: Timestamp, incarnation: u64, cpu: u32) -> Worker {
        Worker {
            is_up: true,
            incarnation,
            start: now,
            capacity: Resources {
                cpu,
                memory: 100_000,
                gpu: 0,
            },
            runs: BTreeMap::new(),
            unacknowledged_ends: VecDeque::new(),
            next: 1,
            lease: 0,
            lease_expirations: Vec::new(),
            completed_tasks: Vec::new(),
            fence: 0,
            past: BTreeMap::new(),
            ignores_fencing: false,
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
            self.end(run.end, task, run.run, run.outcome);
        }
        if self.lease > 0 && self.clock(now) >= self.lease {
            self.lease = 0;
            log::debug!("E690 worker lease ran out born={}", self.incarnation);
            self.lease_expirations.push(now);
            for (task, run) in std::mem::take(&mut self.runs) {
                self.end(now, task, run.run, HoldEnd::Lost);
            }
        }
    }

    fn end(&mut self, at: Timestamp, task: TaskId, run: u64, outcome: HoldEnd) {
        log::debug!(
            "E691 worker lists end={} task={task} run={run} how={outcome:?}",
            self.next
        );
        let past = self.past.entry(task).or_default();
        *past = (*past).max(run);
        if outcome == HoldEnd::Done {
            self.completed_tasks.push(task);
        }
        self.unacknowledged_ends.push_back(EndedRun {
            number: self.next,
            task,
            run,
            outcome,
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
    pub fn check_start(&mut self, now: Timestamp, call: &StartCall) -> Started {
        if self.runs.get(&call.task).is_some_and(|r| r.run == call.run) {
            return Started::Yes;
        }
        let old = self
            .past
            .get(&call.task)
            .is_some_and(|past| call.run <= *past);
        let fenced = call.fence < self.fence || call.expiry <= self.clock(now);
        if !self.ignores_fencing && (fenced || old || self.runs.contains_key(&call.task)) {
            return Started::No(Obstacle::Stale);
        }
        self.fence = self.fence.max(call.fence);
        Started::Yes
    }

    /// Begins a run that [`Worker::check_start`] has allowed.
    pub fn start_run(&mut self, now: Timestamp, call: &StartCall, run: Run) {
        self.grant(
            now,
            if self.ignores_fencing {
                u64::MAX
            } else {
                call.expiry
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
            self.end(now, call.task, call.run, HoldEnd::Lost);
        }
    }

    /// Renews the hold. Returns the ends that are taken note of, or nothing for a low fence.
    pub fn renew_lease(&mut self, now: Timestamp, call: &HoldCall) -> Option<Vec<EndedRun>> {
        if call.fence < self.fence {
            return None;
        }
        self.fence = call.fence;
        if let Some(expiry) = call.expiry {
            self.grant(now, expiry);
        }
        let mut taken = Vec::new();
        while self
            .unacknowledged_ends
            .front()
            .is_some_and(|e| e.number <= call.taken)
        {
            taken.extend(self.unacknowledged_ends.pop_front());
        }
        Some(taken)
    }

    /// What it lists.
    pub fn status(&self, now: Timestamp) -> Held {
        Held {
            clock: self.clock(now),
            born: Some(self.incarnation),
            running: self.runs.iter().map(|(t, r)| r.listed(*t, now)).collect(),
            ended: self
                .unacknowledged_ends
                .iter()
                .map(|e| (e.number, e.task, e.run, e.outcome))
                .collect(),
        }
    }
}
