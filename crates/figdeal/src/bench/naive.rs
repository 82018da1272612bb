//! The naive baseline: round-robin assignment of tasks to upstreams at their arrival, with a FIFO queue per upstream.
//!
//! It is simulated with the same run times and without any overhead, which favours the baseline. It has no shares, no
//! deadlines and no admission control.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use super::workload::Job;

/// Returns the response times of the jobs, in the order of `jobs`.
///
/// # Panics
/// Panics if `upstreams` or `slots` is 0.
pub fn schedule(jobs: &[Job], upstreams: u16, slots: u32) -> Vec<Duration> {
    assert!(
        upstreams > 0 && slots > 0,
        "the baseline needs at least one slot"
    );
    // Times at which the slots of each upstream become free.
    let idle: BinaryHeap<Reverse<Duration>> = (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
    let mut fleet = vec![idle; usize::from(upstreams)];
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&i| jobs[i].at);
    let mut responses = vec![Duration::ZERO; jobs.len()];
    let mut turn = 0;
    for i in order {
        let job = &jobs[i];
        for task in &job.tasks {
            let upstream = &mut fleet[turn];
            turn = (turn + 1) % usize::from(upstreams);
            let Reverse(free) = upstream.pop().expect("an upstream has slots");
            let end = free.max(job.at) + Duration::from_millis(u64::from(task.run_ms));
            upstream.push(Reverse(end));
            responses[i] = responses[i].max(end - job.at);
        }
    }
    responses
}
