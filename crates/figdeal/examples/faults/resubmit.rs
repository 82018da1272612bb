//! Scenario `resubmit`: each job is submitted through all entries at once, and once more shortly after.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Result,
    caller::{Job, Reply, call},
    check,
    fleet::{ENTRIES, Fleet},
    summary::Summary,
};

/// Number of concurrent callers.
const CONCURRENT_CALLERS: u64 = 24;
/// Maximum number of tasks of a job.
const MAX_TASKS: usize = 6;
/// Run time of a task in milliseconds.
const TASK_RUN_MS: std::ops::Range<u64> = 20..80;
/// Time until a job is submitted once more in milliseconds.
const RESUBMIT_DELAY_MS: std::ops::Range<u64> = 0..400;

/// A job with the replies to all its submissions.
struct ResubmittedJob {
    job: Job,
    replies: Vec<(Reply, Duration)>,
    /// Reply to a submission of the same id with other content, which must be a conflict.
    conflict_reply: Reply,
}

pub(crate) fn run(fleet: &Arc<Fleet>, seed: u64, count: u64, summary: &mut Summary) -> Result<()> {
    let next = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|caller| {
            let fleet = Arc::clone(fleet);
            let next = Arc::clone(&next);
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + caller);
            thread::spawn(move || {
                let mut jobs = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return jobs;
                    }
                    jobs.push(submit_repeatedly(
                        &fleet,
                        &format!("{seed}-{number}"),
                        &mut rng,
                    ));
                }
            })
        })
        .collect();
    let mut all = Vec::new();
    for caller in callers {
        all.extend(
            caller
                .join()
                .map_err(|_| "step resubmit: a caller panicked")?,
        );
    }
    check_all(fleet, &all, summary);
    Ok(())
}

fn submit_repeatedly(fleet: &Arc<Fleet>, id: &str, rng: &mut SmallRng) -> ResubmittedJob {
    let tasks = rng.random_range(1..=MAX_TASKS);
    let runs: Vec<u64> = (0..tasks).map(|_| rng.random_range(TASK_RUN_MS)).collect();
    let job = Job::new(id, 0, runs);
    let delay = Duration::from_millis(rng.random_range(RESUBMIT_DELAY_MS));
    let entry = rng.random_range(0..ENTRIES);
    let replies = thread::scope(|scope| {
        let mut calls: Vec<_> = (0..ENTRIES)
            .map(|entry| {
                let job = &job;
                scope.spawn(move || call(fleet, entry, "POST", job))
            })
            .collect();
        let job = &job;
        calls.push(scope.spawn(move || {
            thread::sleep(delay);
            call(fleet, entry, "POST", job)
        }));
        calls
            .into_iter()
            .map(|c| c.join().expect("a request does not panic"))
            .collect()
    });
    let mut other = job.clone();
    other.request.tasks[0].payload.push_str(" changed");
    let conflict_reply = call(fleet, rng.random_range(0..ENTRIES), "POST", &other).0;
    ResubmittedJob {
        job,
        replies,
        conflict_reply,
    }
}

fn check_all(fleet: &Fleet, all: &[ResubmittedJob], summary: &mut Summary) {
    thread::sleep(Duration::from_secs(1));
    let journal = fleet.journal();
    check::check_starts(&journal, summary);
    let tasks: usize = all.iter().map(|r| r.job.request.tasks.len()).sum();
    if journal.len() != tasks {
        summary.violation(format!("{} of {tasks} tasks started", journal.len()));
    }
    let mut latest = Duration::ZERO;
    for repeated in all {
        let id = &repeated.job.request.id;
        let first = &repeated.replies[0].0;
        for (reply, took) in &repeated.replies {
            latest = latest.max(*took);
            match reply {
                Reply::Answer(200, body) => {
                    check::check_answer(&repeated.job, 200, body, &journal, summary);
                }
                _ => summary.violation(format!("not complete: {id}, {reply:?}")),
            }
            if reply != first {
                summary.violation(format!("answers differ: {id}, {first:?} and {reply:?}"));
            }
        }
        if repeated.conflict_reply.outcome() != "conflict" {
            let changed = &repeated.conflict_reply;
            summary.violation(format!(
                "no conflict: {id} with another content, {changed:?}"
            ));
        }
    }
    summary.count("submissions", all.len());
    summary.count(
        "requests",
        all.iter().map(|r| r.replies.len() + 1).sum::<usize>(),
    );
    summary.count("tasks", tasks);
    summary.count("longest request, ms", latest.as_millis() as u64);
}
