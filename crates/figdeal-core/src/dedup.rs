//! Deduplication at an agent: a start mark for each task that it received, so that no task is started twice.
//!
//! A fenced task or submission must never start: a later run request for it is declined.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    id::{SubmissionKey, TaskId},
    time::Timestamp,
};

/// Result of a task at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskResult {
    /// The upstream reported success and returned these bytes.
    Done(Vec<u8>),
    /// The upstream reported a failure.
    Failed,
    /// The call ended without an answer, so the task may have run.
    Unknown,
}

/// State of a task in the deduplication table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartMark {
    /// The task is in the queue.
    Queued,
    /// The task was sent to the upstream.
    Running,
    /// The task has ended.
    Finished {
        /// The result; `None` after it was dropped to limit memory.
        result: Option<TaskResult>,
        /// Run time at the upstream.
        run_time: Duration,
    },
    /// The task was not started and never will be.
    Fenced,
}

/// Why the table does not admit a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The task already has a start mark.
    Duplicate,
    /// The submission of the task is fenced.
    Fenced,
    /// The table holds its maximum number of marks.
    Full,
}

/// Limits of a deduplication table.
#[derive(Debug, Clone, Copy)]
pub struct DedupLimits {
    /// Maximum number of start marks, including fences.
    pub max_marks: usize,
    /// Maximum total size of the stored results in bytes.
    pub max_result_bytes: usize,
    /// Time for which the mark of a finished or fenced task is kept.
    pub mark_retention: Duration,
    /// Maximum number of fenced submissions.
    pub max_fenced_submissions: usize,
    /// Time for which a submission stays fenced.
    pub submission_fence_retention: Duration,
}

impl Default for DedupLimits {
    fn default() -> DedupLimits {
        DedupLimits {
            max_marks: 500_000,
            max_result_bytes: 32 << 20,
            mark_retention: Duration::from_secs(600),
            max_fenced_submissions: 100_000,
            // The retention of submissions plus twice the maximum clock skew: no entry starts tasks of an older
            // submission.
            submission_fence_retention: Duration::from_secs(3_604),
        }
    }
}

/// Start marks of the tasks that one agent incarnation received, and its fenced submissions.
///
/// ```
/// use figdeal_core::{
///     dedup::{DedupLimits, DedupTable, RejectReason},
///     id::{SubmissionKey, TaskId},
///     time::Timestamp,
/// };
///
/// let mut table = DedupTable::new(DedupLimits::default());
/// let task = TaskId { key: SubmissionKey([1; 16]), index: 0 };
/// assert!(table.admit(task, Timestamp::ZERO).is_ok());
/// assert_eq!(table.admit(task, Timestamp::ZERO), Err(RejectReason::Duplicate));
/// ```
#[derive(Debug)]
pub struct DedupTable {
    limits: DedupLimits,
    /// Ordered by task, so that the tasks of a submission form a range.
    marks: BTreeMap<TaskId, StartMark>,
    /// Number of queued and running tasks.
    open_tasks: usize,
    /// The finished and fenced tasks in the order in which they ended, which is the order in which their marks expire.
    mark_expiry: VecDeque<(Timestamp, TaskId)>,
    /// The finished tasks with a stored result that is not empty, in the order in which they ended.
    stored_results: VecDeque<TaskId>,
    result_bytes: usize,
    /// The fenced submissions with the time at which each was last fenced.
    fenced_submissions: HashMap<SubmissionKey, Timestamp>,
    /// The same, ordered by that time, which is the order in which the fences expire.
    fence_expiry: BTreeSet<(Timestamp, SubmissionKey)>,
    /// The latest time passed in; the expiry queues need times that never go back.
    latest_time: Timestamp,
}

impl DedupTable {
    /// Creates an empty table.
    pub fn new(limits: DedupLimits) -> DedupTable {
        DedupTable {
            limits,
            marks: BTreeMap::new(),
            open_tasks: 0,
            mark_expiry: VecDeque::new(),
            stored_results: VecDeque::new(),
            result_bytes: 0,
            fenced_submissions: HashMap::new(),
            fence_expiry: BTreeSet::new(),
            latest_time: Timestamp::ZERO,
        }
    }

    /// Admits a task without a mark and marks it as queued.
    ///
    /// # Errors
    /// [`RejectReason::Duplicate`] for a task with a mark, [`RejectReason::Fenced`] for a task of a fenced submission,
    /// [`RejectReason::Full`] if the table is full.
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
        self.open_tasks += 1;
        self.check_invariants();
        Ok(())
    }

    /// Marks a queued task as running, when it is sent to the upstream.
    ///
    /// # Panics
    /// Panics when the task is not queued or its submission is fenced: the task would start twice, or start after
    /// the agent has answered that it never will.
    pub fn start(&mut self, task: TaskId) {
        assert!(
            !self.is_fenced(task.key),
            "task {task} is fenced and must not start"
        );
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a started task has a mark");
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
    pub fn finish(&mut self, task: TaskId, result: TaskResult, run_time: Duration, now: Timestamp) {
        let now = self.advance(now);
        let mark = self
            .marks
            .get_mut(&task)
            .expect("a finished task has a mark");
        assert_eq!(
            *mark,
            StartMark::Running,
            "task {task} must be running to finish"
        );
        let bytes = size_of_result(&result);
        *mark = StartMark::Finished {
            result: Some(result),
            run_time,
        };
        self.mark_expiry.push_back((now, task));
        self.open_tasks -= 1;
        if bytes > 0 {
            self.result_bytes += bytes;
            self.stored_results.push_back(task);
        }
        while self.result_bytes > self.limits.max_result_bytes {
            self.drop_oldest_result();
        }
        self.check_invariants();
    }

    /// Fences a task that is marked as running but never reached the upstream.
    ///
    /// # Panics
    /// Panics when the task is not running.
    pub fn fence_undelivered(&mut self, task: TaskId, now: Timestamp) {
        let now = self.advance(now);
        let mark = self
            .marks
            .get_mut(&task)
            .expect("an undelivered task has a mark");
        assert_eq!(
            *mark,
            StartMark::Running,
            "task {task} must be running to be fenced as undelivered"
        );
        *mark = StartMark::Fenced;
        self.mark_expiry.push_back((now, task));
        self.open_tasks -= 1;
        self.check_invariants();
    }

    /// Fences a task that is queued or unknown. Returns whether the task is certain never to start: `false` for a
    /// running or finished task, and for an unknown task of a submission that is not fenced while the table is full,
    /// because the fence needs a mark.
    pub fn fence(&mut self, task: TaskId, now: Timestamp) -> bool {
        self.expire(now);
        match self.marks.get(&task) {
            None if self.is_fenced(task.key) => return true,
            None if self.marks.len() >= self.limits.max_marks => return false,
            None => {}
            Some(StartMark::Queued) => self.open_tasks -= 1,
            Some(StartMark::Fenced) => return true,
            Some(StartMark::Running | StartMark::Finished { .. }) => return false,
        }
        self.marks.insert(task, StartMark::Fenced);
        self.mark_expiry.push_back((self.latest_time, task));
        self.check_invariants();
        true
    }

    /// Fences a submission, or renews its fence: none of its tasks is admitted while the fence is kept. Returns `false`
    /// if the table of fenced submissions is full. The caller must fence the queued tasks itself, see
    /// [`DedupTable::tasks_of`].
    pub fn fence_submission(&mut self, key: SubmissionKey, now: Timestamp) -> bool {
        self.expire(now);
        if let Some(at) = self.fenced_submissions.get(&key) {
            self.fence_expiry.remove(&(*at, key));
        } else if self.fenced_submissions.len() >= self.limits.max_fenced_submissions {
            return false;
        }
        self.fenced_submissions.insert(key, self.latest_time);
        self.fence_expiry.insert((self.latest_time, key));
        assert_eq!(
            self.fenced_submissions.len(),
            self.fence_expiry.len(),
            "every fenced submission has one expiry entry"
        );
        true
    }

    /// Whether a submission is fenced.
    pub fn is_fenced(&self, key: SubmissionKey) -> bool {
        self.fenced_submissions.contains_key(&key)
    }

    /// Returns the mark of a task.
    pub fn mark(&self, task: TaskId) -> Option<&StartMark> {
        self.marks.get(&task)
    }

    /// Returns the tasks of a submission with their marks, ordered by index.
    pub fn tasks_of(&self, key: SubmissionKey) -> impl Iterator<Item = (TaskId, &StartMark)> {
        self.marks
            .range(TaskId::all_of(key))
            .map(|(&task, mark)| (task, mark))
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Total size of the stored results in bytes.
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// The latest time that was passed in.
    pub fn latest_time(&self) -> Timestamp {
        self.latest_time
    }

    /// Removes the marks and fences whose retention has passed. Each mark is visited once, so apart from the lookup the
    /// cost per task is constant.
    pub fn expire(&mut self, now: Timestamp) {
        let now = self.advance(now);
        while let Some(&(at, task)) = self.mark_expiry.front() {
            if now.since(at) < self.limits.mark_retention {
                break;
            }
            self.mark_expiry.pop_front();
            if let Some(StartMark::Finished {
                result: Some(result),
                ..
            }) = self.marks.remove(&task)
            {
                let bytes = size_of_result(&result);
                if bytes > 0 {
                    let oldest = self.stored_results.pop_front();
                    assert_eq!(
                        oldest,
                        Some(task),
                        "results expire in the order in which they were stored"
                    );
                    self.result_bytes -= bytes;
                }
            }
        }
        while let Some(&(at, key)) = self.fence_expiry.first() {
            if now.since(at) < self.limits.submission_fence_retention {
                break;
            }
            self.fence_expiry.pop_first();
            self.fenced_submissions.remove(&key);
        }
        self.check_invariants();
    }

    fn advance(&mut self, now: Timestamp) -> Timestamp {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    fn drop_oldest_result(&mut self) {
        let task = self
            .stored_results
            .pop_front()
            .expect("stored bytes belong to a stored result");
        let Some(StartMark::Finished { result, .. }) = self.marks.get_mut(&task) else {
            panic!("a stored result belongs to a finished task");
        };
        let result = result.take().expect("a result is dropped only once");
        self.result_bytes -= size_of_result(&result);
    }

    fn check_invariants(&self) {
        assert_eq!(
            self.open_tasks + self.mark_expiry.len(),
            self.marks.len(),
            "every mark belongs to an open task or has an expiry entry"
        );
        assert!(
            self.result_bytes <= self.limits.max_result_bytes,
            "the stored results exceed their limit"
        );
    }
}

fn size_of_result(result: &TaskResult) -> usize {
    match result {
        TaskResult::Done(bytes) => bytes.len(),
        TaskResult::Failed | TaskResult::Unknown => 0,
    }
}
