//! What an agent remembers of the tasks that it was given, so that none starts twice.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    id::{SubmissionKey, TaskId},
    time::Timestamp,
};

/// Result of a task as the upstream gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskResult {
    /// The upstream reported success with these bytes.
    Done(Vec<u8>),
    /// The upstream reported a failure.
    Failed,
    /// The call ended without an answer, so the task may have run.
    Unknown,
}

/// State of a task in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mark {
    /// Waits for a slot.
    Queued,
    /// Was handed to the upstream.
    Running,
    /// Finished; the result is `None` once it was dropped to bound memory.
    Finished(Option<TaskResult>),
    /// Never started and never will.
    Fenced,
}

/// Why the ledger does not admit a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// The task is known already.
    Known,
    /// The ledger holds as many marks as its bound allows.
    Full,
}

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Largest number of marks.
    pub marks: usize,
    /// Largest sum of the bytes of held results.
    pub bytes: usize,
    /// How long the mark of a finished or fenced task is kept.
    pub keep: Duration,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            marks: 500_000,
            bytes: 32 << 20,
            keep: Duration::from_secs(600),
        }
    }
}

/// Marks of all tasks that one agent incarnation was given.
///
/// ```
/// use figdeal_core::{
///     id::{SubmissionKey, TaskId},
///     ledger::{Ledger, LedgerLimits, Rejected},
///     time::Timestamp,
/// };
///
/// let mut ledger = Ledger::new(LedgerLimits::default());
/// let task = TaskId { key: SubmissionKey([1; 16]), index: 0 };
/// assert!(ledger.admit(task, Timestamp::ZERO).is_ok());
/// assert_eq!(ledger.admit(task, Timestamp::ZERO), Err(Rejected::Known));
/// ```
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    marks: HashMap<TaskId, Mark>,
    ended: VecDeque<(Timestamp, TaskId)>,
    held: VecDeque<TaskId>,
    bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Ledger {
        Ledger {
            limits,
            marks: HashMap::new(),
            ended: VecDeque::new(),
            held: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Admits a task that was never seen as queued.
    ///
    /// # Errors
    /// [`Rejected::Known`] for a task with a mark, [`Rejected::Full`] at the bound.
    pub fn admit(&mut self, task: TaskId, now: Timestamp) -> Result<(), Rejected> {
        self.expire(now);
        if self.marks.contains_key(&task) {
            return Err(Rejected::Known);
        }
        if self.marks.len() >= self.limits.marks {
            return Err(Rejected::Full);
        }
        self.marks.insert(task, Mark::Queued);
        Ok(())
    }

    /// Marks a queued task as handed to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not queued: that would be a second start.
    pub fn start(&mut self, task: TaskId) {
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a started task was admitted");
        assert_eq!(*mark, Mark::Queued, "task {task} must be queued to start");
        *mark = Mark::Running;
    }

    /// Records the result of a running task.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn finish(&mut self, task: TaskId, result: TaskResult, now: Timestamp) {
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a finished task was admitted");
        assert_eq!(
            *mark,
            Mark::Running,
            "task {task} must be running to finish"
        );
        self.bytes += held_bytes(&result);
        *mark = Mark::Finished(Some(result));
        self.ended.push_back((now, task));
        self.held.push_back(task);
        while self.bytes > self.limits.bytes {
            self.drop_oldest();
        }
    }

    /// Fences a task that is queued or unknown. Returns whether it is certain never to start.
    pub fn fence(&mut self, task: TaskId, now: Timestamp) -> bool {
        match self.marks.get(&task) {
            None | Some(Mark::Queued) => {
                self.marks.insert(task, Mark::Fenced);
                self.ended.push_back((now, task));
                true
            }
            Some(Mark::Fenced) => true,
            Some(Mark::Running | Mark::Finished(_)) => false,
        }
    }

    /// The mark of a task.
    pub fn mark(&self, task: TaskId) -> Option<&Mark> {
        self.marks.get(&task)
    }

    /// Results of a submission's tasks by index; the scan is paid only when another entry collects.
    pub fn held(&self, key: SubmissionKey) -> Vec<(u16, TaskResult)> {
        self.marks
            .iter()
            .filter(|(task, _)| task.key == key)
            .filter_map(|(task, mark)| match mark {
                Mark::Finished(Some(result)) => Some((task.index, result.clone())),
                _ => None,
            })
            .collect()
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no task is known.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some(task) = self.held.pop_front() else {
            return;
        };
        if let Some(Mark::Finished(result)) = self.marks.get_mut(&task)
            && let Some(result) = result.take()
        {
            self.bytes -= held_bytes(&result);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(&(at, task)) = self.ended.front() {
            if now.since(at) < self.limits.keep {
                return;
            }
            self.ended.pop_front();
            if let Some(Mark::Finished(Some(result))) = self.marks.remove(&task) {
                self.bytes -= held_bytes(&result);
                self.held.retain(|t| *t != task);
            }
        }
    }
}

fn held_bytes(result: &TaskResult) -> usize {
    match result {
        TaskResult::Done(bytes) => bytes.len(),
        TaskResult::Failed | TaskResult::Unknown => 0,
    }
}
