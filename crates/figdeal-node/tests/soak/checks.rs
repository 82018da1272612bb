//! Tests of the checks that the soak relies on: two runs of a task that are in progress at once are found, also around
//! pauses of a worker.

use std::time::Duration;

use figdeal_core::time::Timestamp;
use figdeal_queue::{
    agent::{ListedOutcome, StartCall},
    job::{JobId, JobSpec, Resources, Step, TaskId},
};
use figdeal_stand_in::{
    checker::{Checker, SubmittedJob},
    worker::{PausedClock, Run, Worker},
};

const TASK: TaskId = TaskId {
    job: JobId(1),
    step: 0,
    index: 0,
};
const LEASE_MS: u64 = 500;

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

/// Creates a worker that runs the task from the time 0 with a lease of [`LEASE_MS`].
fn running_worker() -> Worker {
    let mut worker = Worker::new(at(0), 1, 8_000);
    let call = StartCall {
        task: TASK,
        run: 1,
        payload: String::new(),
        lease_expiry_ms: LEASE_MS,
        fence: 1,
        worker_id: None,
        started_at_ms: None,
    };
    let run = Run {
        run: 1,
        start: at(0),
        end: at(60_000),
        outcome: ListedOutcome::Done,
        needs: Resources::default(),
    };
    worker.start_run(at(0), &call, run);
    worker
}

/// Returns the violations when the task starts at another worker at a time.
fn violations(now: Timestamp, worker: &Worker, volatile: bool) -> Vec<String> {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    let spec = JobSpec {
        payload: String::new(),
        steps: vec![step],
        volatile,
    };
    let mut checker = Checker::default();
    checker
        .jobs
        .insert(TASK.job, SubmittedJob::new(spec, u32::MAX));
    let other = Worker::new(at(0), 1, 8_000);
    checker.on_start(now, 1, &[worker, &other], TASK);
    checker.violations
}

/// Guards against a checker that passes over two runs at once of a volatile job.
#[test]
fn two_runs_at_once_are_found_for_all_jobs() {
    for volatile in [false, true] {
        let found = violations(at(100), &running_worker(), volatile);
        assert!(
            found.len() == 1 && found[0].starts_with("TWICE"),
            "volatile={volatile}: {found:?}"
        );
    }
}

/// Guards against a checker that excuses more than a pause does: the run counts as long as the worker's lease lasts,
/// and again after the pause, if the lease is renewed beyond the rest that a standing clock has left.
#[test]
fn a_run_on_a_paused_worker_counts_while_its_lease_lasts() {
    for clock in [PausedClock::RunsOn, PausedClock::StandsStill] {
        let mut worker = running_worker();
        worker.pause(at(100));
        assert_eq!(violations(at(400), &worker, false).len(), 1, "{clock:?}");
        assert_eq!(violations(at(600), &worker, false).len(), 0, "{clock:?}");
        worker.resume(at(2_000), clock);
        let goes_on = clock == PausedClock::StandsStill;
        assert_eq!(worker.runs.contains_key(&TASK), goes_on, "{clock:?}");
        assert_eq!(violations(at(2_300), &worker, false).len(), 0, "{clock:?}");
        assert!(worker.take_renewed_runs(at(2_399)).is_empty(), "{clock:?}");
        assert_eq!(
            worker.take_renewed_runs(at(2_400)).contains(&TASK),
            goes_on,
            "{clock:?}"
        );
        assert_eq!(
            violations(at(2_400), &worker, false).len(),
            usize::from(goes_on),
            "{clock:?}"
        );
    }
}
