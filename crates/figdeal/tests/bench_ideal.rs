//! Tests of the references of the bench on cases worked out by hand.

use std::time::Duration;

use figdeal::bench::{
    ideal, naive,
    workload::{Declared, Job, KINDS, OfferedLoad, Task, draw, mean_run_ms, mean_size, merge},
};

const SEED: u64 = 20_261_204;

fn job(at_ms: u64, runs: &[u32]) -> Job {
    let task = |&run_ms: &u32| Task {
        run_ms,
        declared_ms: None,
    };
    Job {
        at: Duration::from_millis(at_ms),
        kind: 0,
        is_flood: false,
        entry: 0,
        tasks: runs.iter().map(task).collect(),
    }
}

fn ideal_ms(jobs: &[Job], slots: u32) -> Vec<u128> {
    let times = ideal::schedule(jobs, slots);
    times.iter().map(Duration::as_millis).collect()
}

fn naive_ms(jobs: &[Job], upstreams: u16, slots: u32) -> Vec<u128> {
    let times = naive::schedule(jobs, upstreams, slots);
    times.iter().map(Duration::as_millis).collect()
}

/// Guards against a reference that is better or worse than the run times on free slots.
#[test]
fn a_job_on_free_slots_takes_its_longest_task() {
    assert_eq!(ideal_ms(&[job(0, &[50, 300, 100])], 3), [300]);
    assert_eq!(ideal_ms(&[job(700, &[50])], 1), [50]);
}

/// Guards against shortest-first order inside a job: 100 and 100 before 200 would end at 300.
#[test]
fn the_longest_task_of_a_job_goes_first() {
    assert_eq!(ideal_ms(&[job(0, &[100, 200, 100])], 2), [200]);
}

/// Guards against FIFO order: the small job that arrives later overtakes what has not started.
#[test]
fn the_job_with_the_smallest_work_left_goes_first() {
    // Slot: 0-100 and 100-200 hold the large job's first tasks; at 150 the small one waits and gets 200-250.
    let jobs = [job(0, &[100, 100, 100]), job(150, &[50])];
    assert_eq!(ideal_ms(&jobs, 1), [350, 100]);
}

/// Guards against preemption, which the upstreams cannot do.
#[test]
fn a_running_task_is_not_interrupted() {
    assert_eq!(
        ideal_ms(&[job(0, &[1_000]), job(10, &[50])], 1),
        [1_000, 1_040]
    );
}

/// Guards against a remaining work that counts the tasks that already started.
#[test]
fn started_tasks_do_not_count_as_work_left() {
    // At 0 the first job starts 300 and 100 and has 90 left, so at 100 it goes before the job with 100.
    let jobs = [job(0, &[300, 100, 90]), job(50, &[100])];
    assert_eq!(ideal_ms(&jobs, 2), [300, 240]);
}

/// Guards against arrivals at the time at which a slot becomes free being left out of the choice.
#[test]
fn an_arrival_at_the_end_of_a_task_takes_part_in_the_choice() {
    let jobs = [job(0, &[100, 100]), job(100, &[50])];
    assert_eq!(ideal_ms(&jobs, 1), [250, 50]);
}

/// Guards against lost or doubled work: on one slot the reference is busy without gaps while work waits.
#[test]
fn one_slot_serves_all_work_without_gaps() {
    let mut jobs = draw(&offer(0.7, None), SEED);
    jobs.iter_mut().for_each(|j| j.at = Duration::ZERO);
    let work: Duration = jobs.iter().map(Job::work).sum();
    let last = ideal::schedule(&jobs, 1).into_iter().max();
    assert_eq!(last, Some(work));
}

/// Guards against a baseline that balances by load: tasks alternate even when the other upstream is idle.
#[test]
fn the_naive_baseline_takes_the_upstreams_in_turn() {
    let jobs = [job(0, &[1_000, 50]), job(100, &[100, 50])];
    assert_eq!(naive_ms(&jobs, 2, 1), [1_000, 1_000]);
}

/// Guards against a baseline with shares: a flood that arrived earlier goes first.
#[test]
fn the_naive_baseline_is_first_in_first_out() {
    let jobs = [job(0, &[100; 10]), job(1, &[50])];
    assert_eq!(naive_ms(&jobs, 1, 2), [500, 549]);
}

fn offer(load: f64, flood: Option<usize>) -> OfferedLoad {
    OfferedLoad {
        load,
        slots: 80,
        window: Duration::from_secs(2_000),
        entries: 3,
        declared: Declared::Rough,
        flood,
    }
}

/// Guards against arrivals whose load or means differ from what the output states.
#[test]
fn the_drawn_arrivals_have_the_stated_means() {
    let jobs = draw(&offer(0.7, None), SEED);
    let tasks: usize = jobs.iter().map(|j| j.tasks.len()).sum();
    let work: Duration = jobs.iter().map(Job::work).sum();
    let near = |a: f64, b: f64| (a / b - 1.0).abs() < 0.05;
    assert!(near(tasks as f64 / jobs.len() as f64, mean_size()));
    assert!(near(work.as_secs_f64() * 1e3 / tasks as f64, mean_run_ms()));
    assert!(near(work.as_secs_f64() / (2_000.0 * 80.0), 0.7));
    for (k, kind) in KINDS.iter().enumerate() {
        let count = jobs.iter().filter(|j| j.kind == k).count();
        let expected = jobs.len() as f64 * f64::from(kind.weight) / 7.0;
        assert!(
            near(count as f64, expected),
            "{} jobs of {}",
            count,
            kind.name
        );
    }
}

/// Guards against declared times that change the arrivals, which would make runs incomparable.
#[test]
fn what_is_declared_does_not_change_the_arrivals() {
    let mut exact = offer(0.7, None);
    exact.declared = Declared::Exact;
    let (rough, exact) = (draw(&offer(0.7, None), SEED), draw(&exact, SEED));
    assert_eq!(rough.len(), exact.len());
    for (a, b) in rough.iter().zip(&exact) {
        let runs = |job: &Job| job.tasks.iter().map(|t| t.run_ms).collect::<Vec<_>>();
        assert_eq!(
            (a.at, a.kind, a.entry, runs(a)),
            (b.at, b.kind, b.entry, runs(b))
        );
    }
}

/// Guards against a flood that changes the measured arrivals or carries another kind.
#[test]
fn a_flood_is_added_to_the_same_arrivals() {
    let base = draw(&offer(0.7, None), SEED);
    let flood = draw(&offer(1.0, Some(2)), SEED + 1);
    assert!(flood.iter().all(|j| j.is_flood && j.kind == 2));
    let mut merged = merge(base.clone(), flood);
    assert!(merged.is_sorted_by_key(|j| j.at));
    merged.retain(|j| !j.is_flood);
    assert_eq!(merged, base);
}
