//! What jobs hold in the memory of a node, and how much of the bound each queue may use.
//!
//! The bound covers all that a job holds: its specification and its tasks in the replicated state and in the books of
//! the dispatcher, and its copies in a snapshot. Half of the bound is divided equally among the queues, so a flood of
//! one queue leaves the others room; any queue may use the other half.

use std::{collections::BTreeMap, mem::size_of};

use crate::{
    dispatch::{BOOK_BYTES_PER_JOB, BOOK_BYTES_PER_STEP, BOOK_BYTES_PER_TASK},
    job::{JobId, JobSpec, Step},
    state::{Failures, Job, JobOutcome, StepRecord},
};

/// Copies of an encoded job beside the state: one in the present snapshot, one in the next one while it is written, and
/// one in the log.
const ENCODED_COPIES: usize = 3;
/// Encoded job without its steps and payload.
const ENCODED_JOB_BYTES: usize = 64;
/// Encoded step without its texts and dependencies.
const ENCODED_STEP_BYTES: usize = 24;
/// Encoded outcome, with its place in the order of ends.
const ENCODED_OUTCOME_BYTES: usize = 32;
/// What the nodes of ordered maps and the allocator add to a value.
const ALLOCATION_BYTES: usize = 32;
/// What the outcome of an ended job holds until it is dropped: its entry, its place in the order of ends, and its copies
/// in snapshots.
pub const OUTCOME_BYTES: usize = size_of::<JobOutcome>()
    + 2 * size_of::<JobId>()
    + ALLOCATION_BYTES
    + ENCODED_COPIES * ENCODED_OUTCOME_BYTES;

/// Returns how many bytes a job may hold until it has ended, never less than [`OUTCOME_BYTES`].
///
/// ```
/// use figdeal_queue::{job::{JobSpec, Step}, stored_size::job_bytes};
///
/// let step = Step { count: 1, ..Step::default() };
/// let small = JobSpec { steps: vec![step], ..JobSpec::default() };
/// let large = JobSpec { payload: "x".repeat(1_000), ..small.clone() };
/// assert!(job_bytes(&large) >= job_bytes(&small) + 1_000);
/// ```
pub fn job_bytes(spec: &JobSpec) -> usize {
    let steps = spec.steps.iter().map(step_bytes).sum::<usize>();
    size_of::<Job>()
        + BOOK_BYTES_PER_JOB
        + ALLOCATION_BYTES
        + OUTCOME_BYTES
        + spec.payload.len()
        + steps
        + ENCODED_COPIES * encoded_job_bytes(spec)
}

/// Returns the approximate size of an encoded job.
pub(crate) fn encoded_job_bytes(spec: &JobSpec) -> usize {
    let step_bytes = |step: &Step| {
        let texts = step.label.iter().chain(&step.rack).map(String::len);
        // A dependency takes up to three bytes, a task that is done a bit.
        let dependencies = 3 * step.depends_on.len();
        ENCODED_STEP_BYTES + texts.sum::<usize>() + dependencies + step.count as usize / 8
    };
    ENCODED_JOB_BYTES + spec.payload.len() + spec.steps.iter().map(step_bytes).sum::<usize>()
}

fn step_bytes(step: &Step) -> usize {
    let texts = step.label.iter().chain(&step.rack);
    let texts = texts.map(|t| ALLOCATION_BYTES + t.len());
    // A bit for a task that is done, and the record of its failures.
    let task_bytes = BOOK_BYTES_PER_TASK + 1 + size_of::<Failures>() + size_of::<u32>();
    size_of::<Step>()
        + size_of::<StepRecord>()
        + BOOK_BYTES_PER_STEP
        + 3 * ALLOCATION_BYTES
        + texts.sum::<usize>()
        // The dispatcher has a copy.
        + 2 * size_of::<u16>() * step.depends_on.len()
        + task_bytes * step.count as usize
}

/// Bytes that the jobs and outcomes of each queue hold.
///
/// ```
/// use figdeal_queue::stored_size::QueueBytes;
///
/// let mut bytes = QueueBytes::default();
/// bytes.add("main", 100);
/// bytes.remove("main", 40);
/// assert_eq!((bytes.of("main"), bytes.total()), (60, 60));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueBytes(BTreeMap<String, usize>);

impl QueueBytes {
    /// Adds bytes to a queue.
    pub fn add(&mut self, queue: &str, bytes: usize) {
        match self.0.get_mut(queue) {
            Some(held) => *held += bytes,
            None => drop(self.0.insert(queue.to_owned(), bytes)),
        }
    }

    /// Removes bytes that were added to a queue.
    pub fn remove(&mut self, queue: &str, bytes: usize) {
        let held = self.0.get_mut(queue).expect("the queue holds bytes");
        *held = held.checked_sub(bytes).expect("more bytes were added");
        if *held == 0 {
            self.0.remove(queue);
        }
    }

    /// Returns the bytes of a queue.
    pub fn of(&self, queue: &str) -> usize {
        self.0.get(queue).copied().unwrap_or(0)
    }

    /// Returns the bytes of all queues.
    pub fn total(&self) -> usize {
        self.0.values().sum()
    }

    fn iter(&self) -> impl Iterator<Item = (&str, usize)> {
        self.0.iter().map(|(queue, bytes)| (queue.as_str(), *bytes))
    }
}

/// Returns whether a queue may take `bytes` more within `bound`. `queues` are the configured queues, and `held` is what
/// each queue holds in several books.
///
/// ```
/// use figdeal_queue::stored_size::{QueueBytes, has_room};
///
/// let mut held = QueueBytes::default();
/// held.add("flooded", 75);
/// assert!(!has_room(100, &["flooded", "other"], &[&held], "flooded", 1));
/// assert!(has_room(100, &["flooded", "other"], &[&held], "other", 25));
/// ```
pub fn has_room(
    bound: usize,
    queues: &[&str],
    held: &[&QueueBytes],
    queue: &str,
    bytes: usize,
) -> bool {
    let share = bound / 2 / queues.len().max(1);
    let common = bound - share * queues.len();
    let mut sums: BTreeMap<&str, usize> = BTreeMap::new();
    for (name, held) in held.iter().flat_map(|h| h.iter()) {
        *sums.entry(name).or_default() += held;
    }
    *sums.entry(queue).or_default() += bytes;
    let beyond_share = |name: &str, sum: usize| match queues.contains(&name) {
        true => sum.saturating_sub(share),
        // Jobs of a queue that is no longer configured.
        false => sum,
    };
    if beyond_share(queue, sums[queue]) == 0 {
        return true;
    }
    let beyond = sums.iter().map(|(name, sum)| beyond_share(name, *sum));
    beyond.sum::<usize>() <= common
}
