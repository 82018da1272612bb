//! What an agent remembers of the tasks that it was given, so that none starts twice.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
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
pub enum StartMark {
    /// Waits for a slot.
    Queued,
    /// Was handed to the upstream.
    Running,
    /// Finished.
    Finished {
        /// The result, `None` once it was dropped to bound memory.
        result: Option<TaskResult>,
        /// Time that the upstream took.
        run: Duration,
    },
    /// Never started and never will.
    Fenced,
}

/// Why the ledger does not admit a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The task is known already.
    Duplicate,
    /// The submission of the task is fenced.
    Fenced,
    /// The ledger holds as many marks as its bound allows.
    Full,
}

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct DedupLimits {
    /// Largest number of marks.
    pub max_marks: usize,
    /// Largest sum of the bytes of held results.
    pub max_result_bytes: usize,
    /// How long the mark of a finished or fenced task is kept.
    pub mark_retention: Duration,
    /// Largest number of fenced submissions.
    pub max_fenced_submissions: usize,
    /// How long a fenced submission is kept.
    pub submission_fence_retention: Duration,
}

impl Default for DedupLimits {
    fn default() -> DedupLimits {
        DedupLimits {
            max_marks: 500_000,
            max_result_bytes: 32 << 20,
            mark_retention: Duration::from_secs(600),
            max_fenced_submissions: 100_000,
            // The retention of submissions plus twice the largest clock difference: no entry starts tasks of
            // an older submission.
            submission_fence_retention: Duration::from_secs(3_604),
        }
    }
}

/// Marks of all tasks that one agent incarnation was given.
///
/// ```
/// use figdeal_core::{
///     id::{SubmissionKey, TaskId},
///     dedup::{DedupTable, DedupLimits, RejectReason},
///     time::Timestamp,
/// };
///
/// let mut ledger = DedupTable::new(DedupLimits::default());
/// let task = TaskId { key: SubmissionKey([1; 16]), index: 0 };
/// assert!(ledger.admit(task, Timestamp::ZERO).is_ok());
/// assert_eq!(ledger.admit(task, Timestamp::ZERO), Err(RejectReason::Duplicate));
/// ```
#[derive(Debug)]
pub struct DedupTable {
    limits: DedupLimits,
    /// Ordered, so that the tasks of a submission are found without a scan.
    marks: BTreeMap<TaskId, StartMark>,
    /// Number of queued and running tasks.
    open: usize,
    /// The finished and fenced tasks in the order in which they ended, which is the order of expiry.
    ended: VecDeque<(Timestamp, TaskId)>,
    /// The finished tasks whose result is held and not empty, in the order in which they ended.
    held: VecDeque<TaskId>,
    bytes: usize,
    submissions: HashMap<SubmissionKey, Timestamp>,
    /// The fenced submissions in the order of their expiry.
    fenced: BTreeSet<(Timestamp, SubmissionKey)>,
    /// The latest time seen; the queues of expiry rely on times that do not go back.
    latest: Timestamp,
}

impl DedupTable {
    /// Creates an empty ledger.
    pub fn new(limits: DedupLimits) -> DedupTable {
        DedupTable {
            limits,
            marks: BTreeMap::new(),
            open: 0,
            ended: VecDeque::new(),
            held: VecDeque::new(),
            bytes: 0,
            submissions: HashMap::new(),
            fenced: BTreeSet::new(),
            latest: Timestamp::ZERO,
        }
    }

    /// Admits a task that was never seen as queued.
    ///
    /// # Errors
    /// [`RejectReason::Duplicate`] for a task with a mark, [`RejectReason::Fenced`] for a task of a fenced submission,
    /// [`RejectReason::Full`] at the bound.
    pub fn admit(&mut self, task: TaskId, now: Timestamp) -> Result<(), RejectReason> {
        self.expire(now);
        if self.marks.contains_key(&task) {
            return Err(RejectReason::Duplicate);
        }
        if self.is_fenced(task.key) {
            return Err(RejectReason::Fenced);
        }
        if self.marks.len() >= self.limits.max_marks {
            return Err(RejectReason::Full);
        }
        self.marks.insert(task, StartMark::Queued);
        self.open += 1;
        self.check();
        Ok(())
    }

    /// Marks a queued task as handed to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not queued or its submission is fenced: that would be a second start, or a start
    /// that was denied before.
    pub fn start(&mut self, task: TaskId) {
        assert!(
            !self.is_fenced(task.key),
            "task {task} must not be fenced to start"
        );
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a started task was admitted");
        assert_eq!(
            *mark,
            StartMark::Queued,
            "task {task} must be queued to start"
        );
        *mark = StartMark::Running;
    }

    /// Records the result of a running task.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn finish(&mut self, task: TaskId, result: TaskResult, run: Duration, now: Timestamp) {
        let now = self.advance(now);
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a finished task was admitted");
        assert_eq!(
            *mark,
            StartMark::Running,
            "task {task} must be running to finish"
        );
        let bytes = held_bytes(&result);
        *mark = StartMark::Finished {
            result: Some(result),
            run,
        };
        self.ended.push_back((now, task));
        self.open -= 1;
        if bytes > 0 {
            self.bytes += bytes;
            self.held.push_back(task);
        }
        while self.bytes > self.limits.max_result_bytes {
            self.drop_oldest();
        }
        self.check();
    }

    /// Fences a running task whose call never reached the upstream.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn fence_undelivered(&mut self, task: TaskId, now: Timestamp) {
        let now = self.advance(now);
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a withdrawn task was admitted");
        assert_eq!(
            *mark,
            StartMark::Running,
            "task {task} must be running to be withdrawn"
        );
        *mark = StartMark::Fenced;
        self.ended.push_back((now, task));
        self.open -= 1;
        self.check();
    }

    /// Fences a task that is queued or unknown. Returns whether it is certain never to start. An unknown task
    /// cannot be fenced while the ledger is full, because the fence needs a mark.
    pub fn fence(&mut self, task: TaskId, now: Timestamp) -> bool {
        self.expire(now);
        match self.marks.get(&task) {
            None if self.is_fenced(task.key) => return true,
            None if self.marks.len() >= self.limits.max_marks => return false,
            None => {}
            Some(StartMark::Queued) => self.open -= 1,
            Some(StartMark::Fenced) => return true,
            Some(StartMark::Running | StartMark::Finished { .. }) => return false,
        }
        self.marks.insert(task, StartMark::Fenced);
        self.ended.push_back((self.latest, task));
        self.check();
        true
    }

    /// Fences a submission, or renews its fence: no task of it is admitted for as long as the fence is kept. Returns
    /// whether it is fenced; it is not when the table of fenced submissions is full. Queued tasks are left to the
    /// caller, see [`DedupTable::tasks_of`].
    pub fn fence_submission(&mut self, key: SubmissionKey, now: Timestamp) -> bool {
        self.expire(now);
        if let Some(at) = self.submissions.get(&key) {
            self.fenced.remove(&(*at, key));
        } else if self.submissions.len() >= self.limits.max_fenced_submissions {
            return false;
        }
        self.submissions.insert(key, self.latest);
        self.fenced.insert((self.latest, key));
        assert_eq!(
            self.submissions.len(),
            self.fenced.len(),
            "each fence expires once"
        );
        true
    }

    /// Whether a submission is fenced.
    pub fn is_fenced(&self, key: SubmissionKey) -> bool {
        self.submissions.contains_key(&key)
    }

    /// The mark of a task.
    pub fn mark(&self, task: TaskId) -> Option<&StartMark> {
        self.marks.get(&task)
    }

    /// The tasks of a submission with their marks, in order of their index.
    pub fn tasks_of(&self, key: SubmissionKey) -> impl Iterator<Item = (TaskId, &StartMark)> {
        self.marks
            .range(TaskId::all_of(key))
            .map(|(&task, mark)| (task, mark))
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no task is known.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Sum of the bytes of held results.
    pub fn result_bytes(&self) -> usize {
        self.bytes
    }

    /// The latest time that the ledger was given.
    pub fn latest_time(&self) -> Timestamp {
        self.latest
    }

    /// Drops what was kept for long enough. Each mark is visited once in its life, so the cost for each task is
    /// constant but for the look-up.
    pub fn expire(&mut self, now: Timestamp) {
        let now = self.advance(now);
        while let Some(&(at, task)) = self.ended.front() {
            if now.since(at) < self.limits.mark_retention {
                break;
            }
            self.ended.pop_front();
            if let Some(StartMark::Finished {
                result: Some(result),
                ..
            }) = self.marks.remove(&task)
            {
                let bytes = held_bytes(&result);
                if bytes > 0 {
                    let oldest = self.held.pop_front();
                    assert_eq!(
                        oldest,
                        Some(task),
                        "results expire in the order in which they are held"
                    );
                    self.bytes -= bytes;
                }
            }
        }
        while let Some(&(at, key)) = self.fenced.first() {
            if now.since(at) < self.limits.submission_fence_retention {
                break;
            }
            self.fenced.pop_first();
            self.submissions.remove(&key);
        }
        self.check();
    }

    fn advance(&mut self, now: Timestamp) -> Timestamp {
        self.latest = self.latest.max(now);
        self.latest
    }

    fn drop_oldest(&mut self) {
        let task = self
            .held
            .pop_front()
            .expect("held bytes belong to a held result");
        let Some(StartMark::Finished { result, .. }) = self.marks.get_mut(&task) else {
            panic!("a held result belongs to a finished task");
        };
        let result = result.take().expect("a result is dropped once");
        self.bytes -= held_bytes(&result);
    }

    fn check(&self) {
        assert_eq!(
            self.open + self.ended.len(),
            self.marks.len(),
            "each mark is open or waits for its expiry"
        );
        assert!(
            self.bytes <= self.limits.max_result_bytes,
            "held results exceed their bound"
        );
    }
}

fn held_bytes(result: &TaskResult) -> usize {
    match result {
        TaskResult::Done(bytes) => bytes.len(),
        TaskResult::Failed | TaskResult::Unknown => 0,
    }
}
