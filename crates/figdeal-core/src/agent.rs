//! Decisions of an agent: which queued task takes a free slot, and what the ledger says about each request.

use std::{collections::HashMap, time::Duration};

use crate::{
    fleet::Load,
    id::{EntryId, Incarnation, KindId, SubmissionKey, TaskId, TeamId},
    ledger::{Ledger, LedgerLimits, Mark, Rejected, TaskResult},
    runtime::RunTimes,
    share::{FairQueue, ItemKey, KindShare},
    time::Timestamp,
};

/// A task as an entry hands it over.
#[derive(Debug, Clone)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// Its kind.
    pub kind: KindId,
    /// Its team.
    pub team: TeamId,
    /// Remaining work of its job in microseconds; the smallest goes first inside a team.
    pub order: u64,
    /// When the caller's deadline passes, on this agent's clock.
    pub deadline: Timestamp,
    /// The agent incarnation that the request is meant for.
    pub incarnation: Incarnation,
    /// The entry that owns the job.
    pub entry: EntryId,
}

/// Why a task was not started, for good, at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// The request is meant for another incarnation.
    Incarnation,
    /// The upstream is leaving or not announced.
    Draining,
    /// The ledger or the queue is full.
    Full,
    /// The task was fenced before.
    Fenced,
    /// The deadline passed before a slot was free.
    Deadline,
    /// The owner cancelled it.
    Cancelled,
}

/// Final word of an agent on one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The task was started; this is its result.
    Ran {
        /// Result of the upstream.
        result: TaskResult,
        /// Time that the upstream took.
        run: Duration,
    },
    /// The task was started before and its result is no longer held.
    ResultDropped,
    /// The task was not started and never will be at this agent.
    NotStarted(Declined),
}

/// What a driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the upstream with the task.
    Call(TaskId),
    /// Answer every request that waits for the task.
    Reply(TaskId, Verdict),
}

/// State of a task as an agent answers a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// It waits or runs; the verdict follows.
    Pending,
    /// It ended.
    Ended(Verdict),
}

#[derive(Debug)]
struct Queued {
    task: TaskId,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Place {
    key: ItemKey,
    started: Option<Timestamp>,
}

/// Decisions of one agent incarnation.
#[derive(Debug)]
pub struct AgentCore {
    incarnation: Incarnation,
    ledger: Ledger,
    queue: FairQueue<Queued>,
    places: HashMap<TaskId, Place>,
    times: RunTimes,
    slots: u32,
    busy: u32,
    draining: bool,
    max_queued: usize,
}

/// Largest number of tasks that wait at one agent.
const MAX_QUEUED: usize = 4_096;

impl AgentCore {
    /// Creates an agent without an announced upstream: it declines work until [`AgentCore::set_slots`].
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> AgentCore {
        AgentCore {
            incarnation,
            ledger: Ledger::new(limits),
            queue: FairQueue::new(),
            places: HashMap::new(),
            times: RunTimes::default(),
            slots: 0,
            busy: 0,
            draining: true,
            max_queued: MAX_QUEUED,
        }
    }

    /// Sets the slots of the announced upstream and starts to accept work.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.draining = false;
    }

    /// Sets the share of a kind.
    pub fn set_share(&mut self, kind: KindId, share: KindShare) {
        self.queue.set_share(kind, share);
    }

    /// Stops accepting work and declines what is queued; running tasks go on.
    pub fn drain(&mut self, now: Timestamp) -> Vec<Action> {
        self.draining = true;
        let queued: Vec<TaskId> = self
            .places
            .iter()
            .filter(|(_, p)| p.started.is_none())
            .map(|(&task, _)| task)
            .collect();
        queued
            .into_iter()
            .map(|t| self.decline_queued(t, Declined::Draining, now))
            .collect()
    }

    /// Takes a task. Known tasks are not started again: their verdict is repeated or still to come.
    pub fn run(&mut self, order: TaskOrder, now: Timestamp) -> Vec<Action> {
        let task = order.task;
        if order.incarnation != self.incarnation {
            return vec![Action::Reply(
                task,
                Verdict::NotStarted(Declined::Incarnation),
            )];
        }
        if let Some(mark) = self.ledger.mark(task) {
            return match ended(mark) {
                Some(verdict) => vec![Action::Reply(task, verdict)],
                None => Vec::new(),
            };
        }
        let declined = if self.draining {
            Some(Declined::Draining)
        } else if self.queue.len() >= self.max_queued {
            Some(Declined::Full)
        } else {
            match self.ledger.admit(task, now) {
                Ok(()) => None,
                Err(Rejected::Full | Rejected::Known) => Some(Declined::Full),
            }
        };
        if let Some(declined) = declined {
            return vec![Action::Reply(task, Verdict::NotStarted(declined))];
        }
        let queued = Queued {
            task,
            deadline: order.deadline,
        };
        let key = self.queue.push(order.kind, order.team, order.order, queued);
        self.places.insert(task, Place { key, started: None });
        self.fill(now)
    }

    /// Takes the end of a call to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn finish(&mut self, task: TaskId, result: TaskResult, now: Timestamp) -> Vec<Action> {
        let place = self
            .places
            .remove(&task)
            .expect("a finished task holds a place");
        let started = place.started.expect("a finished task was started");
        let run = now.since(started);
        self.queue.finish(place.key.kind(), place.key.team());
        self.busy -= 1;
        self.times.record(place.key.kind(), run);
        self.ledger.finish(task, result.clone(), now);
        let mut actions = vec![Action::Reply(task, Verdict::Ran { result, run })];
        actions.extend(self.fill(now));
        actions
    }

    /// Answers what became of a task. An unknown task is fenced, so that a delayed request cannot start it.
    pub fn query(&mut self, task: TaskId, incarnation: Incarnation, now: Timestamp) -> Known {
        if incarnation != self.incarnation {
            return Known::Ended(Verdict::NotStarted(Declined::Incarnation));
        }
        match self.ledger.mark(task) {
            Some(mark) => ended(mark).map_or(Known::Pending, Known::Ended),
            None => {
                self.ledger.fence(task, now);
                Known::Ended(Verdict::NotStarted(Declined::Fenced))
            }
        }
    }

    /// Fences a queued or unknown task. A running task goes on; its verdict is still to come.
    pub fn cancel(&mut self, task: TaskId, now: Timestamp) -> Vec<Action> {
        match self.ledger.mark(task) {
            Some(Mark::Queued) => {
                let action = self.decline_queued(task, Declined::Cancelled, now);
                vec![action]
            }
            Some(mark) => match ended(mark) {
                Some(verdict) => vec![Action::Reply(task, verdict)],
                None => Vec::new(),
            },
            None => {
                self.ledger.fence(task, now);
                vec![Action::Reply(
                    task,
                    Verdict::NotStarted(Declined::Cancelled),
                )]
            }
        }
    }

    /// Declines queued tasks whose deadline passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.fill(now)
    }

    /// Tasks of a submission that were started here and not finished.
    pub fn running(&self, key: SubmissionKey) -> Vec<TaskId> {
        self.places
            .iter()
            .filter(|(t, p)| t.key == key && p.started.is_some())
            .map(|(&t, _)| t)
            .collect()
    }

    /// Results that the ledger holds of a submission, by task index.
    pub fn held(&self, key: SubmissionKey) -> Vec<(u16, TaskResult)> {
        self.ledger.held(key)
    }

    /// Number of tasks at the upstream.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Whether nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether the agent declines new work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The load as it rides on replies.
    pub fn load(&self, now: Timestamp) -> Load {
        let wait = self
            .places
            .values()
            .filter_map(|p| Some((p.key.kind(), p.started?)))
            .map(|(kind, started)| {
                self.times
                    .estimate(kind, None)
                    .saturating_sub(now.since(started))
            })
            .min()
            .unwrap_or_default();
        Load {
            free: self.slots.saturating_sub(self.busy),
            queued: self.queue.backlog().map(|(k, n)| (k, n as u32)).collect(),
            wait,
        }
    }

    fn fill(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.busy < self.slots {
            let Some((key, item)) = self.queue.pop(|_| true) else {
                break;
            };
            if item.deadline <= now {
                self.queue.finish(key.kind(), key.team());
                self.places.remove(&item.task);
                self.ledger.fence(item.task, now);
                let verdict = Verdict::NotStarted(Declined::Deadline);
                actions.push(Action::Reply(item.task, verdict));
                continue;
            }
            self.ledger.start(item.task);
            self.busy += 1;
            let place = self
                .places
                .get_mut(&item.task)
                .expect("a queued task holds a place");
            place.started = Some(now);
            actions.push(Action::Call(item.task));
        }
        assert!(
            self.busy <= self.slots || self.draining,
            "more calls than slots"
        );
        actions
    }

    fn decline_queued(&mut self, task: TaskId, declined: Declined, now: Timestamp) -> Action {
        let place = self
            .places
            .remove(&task)
            .expect("a queued task holds a place");
        self.queue
            .remove(place.key)
            .expect("the place names a queued item");
        let is_fenced = self.ledger.fence(task, now);
        assert!(is_fenced, "a queued task can be fenced");
        Action::Reply(task, Verdict::NotStarted(declined))
    }
}

fn ended(mark: &Mark) -> Option<Verdict> {
    match mark {
        Mark::Queued | Mark::Running => None,
        Mark::Finished(Some(result)) => Some(Verdict::Ran {
            result: result.clone(),
            run: Duration::ZERO,
        }),
        Mark::Finished(None) => Some(Verdict::ResultDropped),
        Mark::Fenced => Some(Verdict::NotStarted(Declined::Fenced)),
    }
}
