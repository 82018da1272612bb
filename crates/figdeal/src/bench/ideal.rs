//! The ideal reference: a clairvoyant scheduler that treats all slots as one pool and has no overhead.
//!
//! It knows the true run times. Whenever a slot is free, it starts the longest waiting task of the job with the least
//! work left to start. It does not preempt running tasks.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use super::workload::Job;

struct JobState {
    /// Run times of the waiting tasks in microseconds, longest last.
    waiting: Vec<u64>,
    /// Sum of the run times of the waiting tasks in microseconds.
    left: u64,
    /// End of the last started task in microseconds.
    end: u64,
}

/// Returns the response times of the jobs, in the order of `jobs`.
///
/// # Panics
/// Panics if `slots` is 0.
///
/// ```
/// use std::time::Duration;
///
/// use figdeal::bench::{
///     ideal::schedule,
///     workload::{Job, Task},
/// };
///
/// let task = |run_ms| Task { run_ms, declared_ms: None };
/// let job = Job {
///     at: Duration::ZERO,
///     kind: 0,
///     is_flood: false,
///     entry: 0,
///     tasks: vec![task(10), task(30), task(20)],
/// };
/// assert_eq!(schedule(&[job], 2), [Duration::from_millis(30)]);
/// ```
pub fn schedule(jobs: &[Job], slots: u32) -> Vec<Duration> {
    assert!(slots > 0, "the scheduler needs at least one slot");
    let mut states: Vec<JobState> = jobs.iter().map(JobState::new).collect();
    let mut arrivals: Vec<usize> = (0..jobs.len()).collect();
    arrivals.sort_by_key(|&i| jobs[i].at);
    let mut arrivals = arrivals.into_iter().peekable();
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut waiting: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut free = slots;
    loop {
        let arrival = arrivals.peek().map(|&i| micros(jobs[i].at));
        let end = ends.peek().map(|&Reverse(at)| at);
        let Some(now) = [arrival, end].into_iter().flatten().min() else {
            break;
        };
        while let Some(i) = arrivals.next_if(|&i| micros(jobs[i].at) == now) {
            waiting.insert((states[i].left, i));
        }
        while ends.peek() == Some(&Reverse(now)) {
            ends.pop();
            free += 1;
        }
        while free > 0
            && let Some((_, i)) = waiting.pop_first()
        {
            free -= 1;
            let state = &mut states[i];
            let run = state.waiting.pop().expect("a waiting job has a task");
            state.left -= run;
            state.end = state.end.max(now + run);
            ends.push(Reverse(now + run));
            if !state.waiting.is_empty() {
                waiting.insert((state.left, i));
            }
        }
    }
    let response = |(job, state): (&Job, &JobState)| Duration::from_micros(state.end) - job.at;
    jobs.iter().zip(&states).map(response).collect()
}

impl JobState {
    fn new(job: &Job) -> JobState {
        let mut waiting: Vec<u64> = job
            .tasks
            .iter()
            .map(|t| u64::from(t.run_ms) * 1_000)
            .collect();
        waiting.sort_unstable();
        JobState {
            left: waiting.iter().sum(),
            end: micros(job.at),
            waiting,
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
