//! Scenario `cancel`: batches of jobs are submitted and cancelled through random entries.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Result,
    caller::{Job, Reply, call},
    check,
    fleet::{ENTRIES, Fleet},
    summary::Summary,
};

/// Number of jobs in a batch, which are submitted concurrently.
const BATCH_JOBS: usize = 40;
/// Maximum number of tasks of a job.
const MAX_TASKS: usize = 30;
/// Run time of a task in milliseconds.
const TASK_RUN_MS: std::ops::Range<u64> = 50..500;
/// Time from the submission to its cancellation in milliseconds.
const CANCEL_DELAY_MS: std::ops::Range<u64> = 0..1_200;
/// Index of the kind with the longest deadline.
const KIND_INDEX: usize = 2;

struct CancelledJob {
    job: Job,
    submitted: Reply,
    cancelled: Reply,
}

pub(crate) fn run(
    fleet: &Arc<Fleet>,
    seed: u64,
    span: Duration,
    summary: &mut Summary,
) -> Result<()> {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut batches = 0;
    while start.elapsed() < span {
        let calls: Vec<_> = (0..BATCH_JOBS)
            .map(|i| {
                let fleet = Arc::clone(fleet);
                let id = format!("{seed}-{batches}-{i}");
                let mut rng = SmallRng::seed_from_u64(rng.random());
                thread::spawn(move || cancel(&fleet, &id, &mut rng))
            })
            .collect();
        for call in calls {
            all.push(call.join().map_err(|_| "step cancel: a caller panicked")?);
        }
        batches += 1;
    }
    check_all(fleet, &all, summary);
    summary.count("waves", batches);
    Ok(())
}

fn cancel(fleet: &Arc<Fleet>, id: &str, rng: &mut SmallRng) -> CancelledJob {
    let tasks = rng.random_range(1..=MAX_TASKS);
    let runs: Vec<u64> = (0..tasks).map(|_| rng.random_range(TASK_RUN_MS)).collect();
    let job = Job::new(id, KIND_INDEX, runs);
    let pause = Duration::from_millis(rng.random_range(CANCEL_DELAY_MS));
    let (first, second) = (rng.random_range(0..ENTRIES), rng.random_range(0..ENTRIES));
    let (submitted, cancelled) = thread::scope(|scope| {
        let submitted = scope.spawn(|| call(fleet, first, "POST", &job).0);
        thread::sleep(pause);
        let cancelled = call(fleet, second, "DELETE", &job).0;
        (
            submitted.join().expect("a request does not panic"),
            cancelled,
        )
    });
    CancelledJob {
        job,
        submitted,
        cancelled,
    }
}

fn check_all(fleet: &Fleet, all: &[CancelledJob], summary: &mut Summary) {
    thread::sleep(Duration::from_secs(4));
    let journal = fleet.journal();
    check::check_starts(&journal, summary);
    let (mut cancelled, mut complete, mut early) = (0, 0, 0);
    for one in all {
        let id = &one.job.request.id;
        for reply in [&one.submitted, &one.cancelled] {
            match reply {
                Reply::Answer(404, _) if reply == &one.cancelled => early += 1,
                Reply::Answer(status, body) => {
                    check::check_answer(&one.job, *status, body, &journal, summary);
                }
                _ => summary.violation(format!("no answer: {id}, {reply:?}")),
            }
        }
        match one.submitted.outcome() {
            "cancelled" => cancelled += 1,
            "complete" => complete += 1,
            _ => {}
        }
        let is_early = matches!(one.cancelled, Reply::Answer(404, _));
        if !is_early && one.submitted != one.cancelled {
            summary.violation(format!(
                "answers differ: {id}, {:?} and {:?}",
                one.submitted, one.cancelled
            ));
        }
    }
    summary.count("jobs", all.len());
    summary.count("outcome cancelled", cancelled);
    summary.count("outcome complete", complete);
    summary.count("cancelled before the submission arrived", early);
}
